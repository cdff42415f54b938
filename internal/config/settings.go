// Package config reads what a node is told at start: the deployment's terms, the same for the simulator's
// wire and for a node on sockets, and a real node's own papers (node.go). Here its keys are checked,
// given defaults, and turned into our words; nothing else in the program knows the operators' names.
package config

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Settings is what a deployment lays down for all its nodes.
type Settings struct {
	Routing                  routing.Config
	Classes, Tenants, Models map[string]int // names to places in the module's lists

	MaxDeadline    time.Duration // the longest deadline of all classes
	MaxRetryAfter  time.Duration // longest Retry-After that clients heed; 0: give none
	ConnectTimeout time.Duration // for a connection to a cache server or the origin
	IdleTimeout    time.Duration // after which a server closes an idle connection
	PollInterval   time.Duration // between two polls of the endpoint list
	DrainGrace     time.Duration // from a drain's notice to the first byte of the last attempt; 0: no bound

	originKindSet bool // the settings name the origin's kind
}

// class gives a class that the settings name.
func (t *Settings) class(name string) routing.Class { return t.Routing.Classes[t.Classes[name]] }

// IsSafe says whether requests of a class may run any number of times.
func (t *Settings) IsSafe(namespace string) bool {
	return t.class(namespace).Idempotence == routing.Safe
}

// DedupWindow gives the span in which servers drop repeats of a request with an idempotency key; 0 for other classes.
func (t *Settings) DedupWindow(namespace string) time.Duration {
	if c := t.class(namespace); c.Idempotence == routing.IdempotentByKey {
		return Duration(c.DedupWindow)
	}
	return 0
}

// SharedDedup says whether all servers together drop repeats of a request of this class by its idempotency key.
func (t *Settings) SharedDedup(namespace string) bool {
	c := t.class(namespace)
	return c.Idempotence == routing.IdempotentByKey && c.SharedDedup
}

// IsOrigin says whether a kind of machine is the origin's.
func (t *Settings) IsOrigin(kind int) bool {
	return t.originKindSet && t.Routing.CacheAside && kind == t.Routing.OriginKind
}

// HedgingAllowed says whether two attempts of a request may be in flight at once: only where the settings say so.
func (t *Settings) HedgingAllowed() bool { return t.Routing.Hedging }

// What holds where the settings are silent; each is on the cautious side of what deployments name.
const (
	defaultConnect = 100 * time.Millisecond
	defaultIdle    = 5 * time.Second
	defaultAsk     = 10 * time.Second
)

// Ticks turns milliseconds into whole tenths, rounded down.
func Ticks(ms float64) routing.Time { return routing.Time(math.Floor(ms * 10)) }

// A form parses a JSON value.
type form[T any] struct {
	expected string
	parse    func(any) (value T, ok bool)
}

// numberForm gives a form of numbers that fulfil a condition.
func numberForm(expected string, valid func(float64) bool) form[float64] {
	return form[float64]{expected, func(v any) (float64, bool) {
		x, ok := v.(float64)
		return x, ok && valid(x)
	}}
}

const (
	integerMost      = 1e15 // far below the largest integer that a JSON number holds exactly
	millisecondsMost = 1e12 // some thirty years
)

var (
	number = numberForm("a number", func(float64) bool { return true })
	amount = numberForm("a number, 0 or more", func(x float64) bool { return x >= 0 })
	share  = numberForm("a number from 0 to 1", func(x float64) bool { return x >= 0 && x <= 1 })
	whole  = form[int]{"a whole number", func(v any) (int, bool) {
		x, ok := v.(float64)
		if !ok || x != math.Trunc(x) || math.Abs(x) >= integerMost {
			return 0, false
		}
		return int(x), true
	}}
	count = form[int]{"a whole number, 1 or more", func(v any) (int, bool) {
		x, ok := whole.parse(v)
		return x, ok && x > 0
	}}
	span = form[routing.Time]{"a time in milliseconds, 0 or more", func(v any) (routing.Time, bool) {
		x, ok := v.(float64)
		if !ok || !(x >= 0 && x < millisecondsMost) {
			return 0, false
		}
		return Ticks(x), true
	}}
	text = form[string]{"a text", func(v any) (string, bool) {
		x, ok := v.(string)
		return x, ok
	}}
	yesNo = form[bool]{"true or false", func(v any) (bool, bool) {
		x, ok := v.(bool)
		return x, ok
	}}
	idempotence = form[routing.Idempotence]{"safe, keyed or unsafe", func(v any) (routing.Idempotence, bool) {
		switch v {
		case "safe":
			return routing.Safe, true
		case "keyed":
			return routing.IdempotentByKey, true
		case "unsafe":
			return routing.Unsafe, true
		}
		return routing.Unsafe, false
	}}
)

// object is a JSON object of the settings, with where it stands in them. Reading it collects the keys at fault.
type object struct {
	values map[string]any // JSON as decoded: truly free in form, and unknown keys are passed over
	path   string
	faults *[]error
}

func (o object) fault(key, expected string) {
	*o.faults = append(*o.faults, fmt.Errorf("%s%s: expected %s", o.path, key, expected))
}

// optional reads a key into a field, which keeps its value where the key is absent or at fault.
func optional[T any](o object, key string, f form[T], into *T) {
	if v, found := find(o.values, key); found {
		parseInto(o, key, f, v, into)
	}
}

// required reads a key that a node can't do without.
func required[T any](o object, key string, f form[T], into *T) {
	v, _ := find(o.values, key)
	parseInto(o, key, f, v, into)
}

func parseInto[T any](o object, key string, f form[T], v any, into *T) {
	x, ok := f.parse(v)
	if !ok {
		o.fault(key, f.expected)
		return
	}
	*into = x
}

// optionalTimeout reads a key that is a time above 0.
func optionalTimeout(o object, key string, into *time.Duration) {
	v, found := find(o.values, key)
	if !found {
		return
	}
	t, ok := span.parse(v)
	if !ok || t <= 0 {
		o.fault(key, "a time in milliseconds above 0")
		return
	}
	*into = Duration(t)
}

const (
	modeAside  = "aside" // domain.mode: caches are filled from an origin
	groupAll   = "all"   // namespaces[].group: all servers drop repeats of a key together
	modePolled = "ask"   // registry-mode: nodes poll the endpoint list
)

// ParseSettings reads a deployment's settings. What is missing or malformed keeps its cautious default; the error names each key that
// is malformed, or missing though a node needs it. Keys that are unknown are passed over: operators may be newer.
func ParseSettings(settings map[string]any) (*Settings, error) {
	var faults []error
	o := object{settings, "settings.", &faults}
	t := &Settings{Routing: routing.DefaultConfig(), ConnectTimeout: defaultConnect, IdleTimeout: defaultIdle, PollInterval: defaultAsk}
	t.readGeneral(o)
	t.readClasses(o)
	t.readTenants(o)
	t.Models = map[string]int{}
	for i, m := range items(settings["models"]) {
		t.Models[fmt.Sprint(m)] = i
	}
	t.readTimeouts(o)
	return t, errors.Join(faults...)
}

// readGeneral reads what holds for all classes and tenants.
func (t *Settings) readGeneral(o object) {
	c := &t.Routing
	optional(o, "balancers", count, &c.Nodes)
	var mode string
	optional(o, "domain.mode", text, &mode)
	c.CacheAside = mode == modeAside
	if v, found := find(o.values, "domain.origin-kind"); found {
		_, t.originKindSet = whole.parse(v)
	}
	optional(o, "domain.origin-kind", whole, &c.OriginKind)
	optional(o, "permissions.most-shots", count, &c.MaxAttempts)
	optional(o, "permissions.parallel-tries", yesNo, &c.Hedging)
	optional(o, "permissions.max-retry-after-ms", span, &c.MaxRetryAfter)
	optional(o, "invariants.cold-from", share, &c.SlowStartShare)
	optional(o, "invariants.warm-up-ms", span, &c.SlowStartWindow)
	optional(o, "invariants.overload-factor", amount, &c.OverloadFactor)
	optional(o, "invariants.fall-ms", span, &c.OverloadWindow)
	optional(o, "invariants.ask-within-ms", span, &c.MaxPollInterval)
	optional(o, "tick-ms", span, &c.Tick)
	if advice, found := find(o.values, "permissions.retry-after"); found && advice == false {
		c.MaxRetryAfter = 0
	}
	t.MaxRetryAfter = Duration(c.MaxRetryAfter)
}

// objects gives the named objects of a list, with their places by name.
func objects(o object, key string) (all []object, places map[string]int) {
	places = map[string]int{}
	for i, v := range items(o.values[key]) {
		values, _ := v.(map[string]any)
		x := object{values, fmt.Sprintf("%s%s[%d].", o.path, key, i), o.faults}
		name, ok := values["name"].(string)
		if !ok {
			x.fault("name", text.expected)
		}
		places[name] = i
		all = append(all, x)
	}
	return all, places
}

func (t *Settings) readClasses(o object) {
	classes, places := objects(o, "namespaces")
	t.Classes = places
	for _, x := range classes {
		c := routing.DefaultClass()
		var group string
		var deadline routing.Time
		var utility float64 // checked alone: no decision reads it
		required(x, "repeat", idempotence, &c.Idempotence)
		optional(x, "group", text, &group)
		required(x, "target-time-ms", span, &c.LatencyTarget)
		required(x, "time-limit-ms", span, &deadline)
		optional(x, "memory-span-ms", span, &c.DedupWindow)
		optional(x, "late-utility", share, &c.LateUtility)
		optional(x, "utility", amount, &utility)
		c.SharedDedup = group == groupAll
		t.MaxDeadline = max(t.MaxDeadline, Duration(deadline))
		t.Routing.Classes = append(t.Routing.Classes, c)
	}
	if len(classes) == 0 {
		o.fault("namespaces", "a list of one namespace at least")
	}
}

func (t *Settings) readTenants(o object) {
	tenants, places := objects(o, "tenants")
	t.Tenants = places
	for _, x := range tenants {
		c := routing.DefaultTenant()
		optional(x, "quota-rps", amount, &c.Quota)
		t.Routing.Tenants = append(t.Routing.Tenants, c)
	}
}

func (t *Settings) readTimeouts(o object) {
	optionalTimeout(o, "permissions.connect-timeout-ms", &t.ConnectTimeout)
	optionalTimeout(o, "permissions.conn-idle-ms", &t.IdleTimeout)
	optionalTimeout(o, "invariants.ask-within-ms", &t.PollInterval)
	optionalTimeout(o, "invariants.stop-sending-within-ms", &t.DrainGrace)
	// A polled list counts as notified when it is written. A pushed one counts as soon as discovery has it, and a drain's
	// grace runs from then, so the decisions have to know of it. Where the settings are silent, the stricter of the two holds.
	if mode, _ := find(o.values, "registry-mode"); mode != modePolled && t.DrainGrace > 0 {
		t.Routing.PushedGrace = routing.Time(t.DrainGrace / tick)
	}
}

// tick is one unit of routing.Time.
const tick = time.Millisecond / time.Duration(routing.Millisecond)

// Duration turns the module's time into the standard library's.
func Duration(t routing.Time) time.Duration {
	return time.Duration(t) * tick
}

// find follows a dotted path; null counts as absent.
func find(m map[string]any, path string) (any, bool) {
	var v any = m
	for name := range strings.SplitSeq(path, ".") {
		m, ok := v.(map[string]any)
		if !ok {
			return nil, false
		}
		v = m[name]
	}
	return v, v != nil
}

func items(v any) []any {
	list, _ := v.([]any)
	return list
}
