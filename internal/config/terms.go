// Package config reads what a node is told at start: the deployment's terms, the same for the simulator's
// wire and for a node on sockets, and a real node's own papers (station.go). Here its keys are checked,
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

// Terms is what a deployment lays down for all its nodes.
type Terms struct {
	Module                         routing.Config
	Namespaces, Partners, Machines map[string]int // names to places in the module's lists

	LongestLimit  time.Duration // the longest deadline of all classes
	Advice        time.Duration // longest Retry-After that clients heed; 0: give none
	ConnectWithin time.Duration // for a connection to a cache server or the origin
	IdleFor       time.Duration // after which a server closes an idle connection
	AskWithin     time.Duration // between two polls of the endpoint list
	Grace         time.Duration // from a drain's notice to the first byte of the last attempt; 0: no bound

	originKindSet bool // the settings name the origin's kind
}

// class gives a class that the settings name.
func (t *Terms) class(name string) routing.Class { return t.Module.Classes[t.Namespaces[name]] }

// Replayable says whether requests of a class may run any number of times.
func (t *Terms) Replayable(namespace string) bool {
	return t.class(namespace).Idempotence == routing.Safe
}

// Memory gives the span in which servers drop repeats of a request with an idempotency key; 0 for other classes.
func (t *Terms) Memory(namespace string) time.Duration {
	if c := t.class(namespace); c.Idempotence == routing.IdempotentByKey {
		return Duration(c.DedupWindow)
	}
	return 0
}

// KeyedForAll says whether all servers together drop repeats of a request of this class by its idempotency key.
func (t *Terms) KeyedForAll(namespace string) bool {
	c := t.class(namespace)
	return c.Idempotence == routing.IdempotentByKey && c.SharedDedup
}

// Origin says whether a kind of machine is the origin's.
func (t *Terms) Origin(kind int) bool {
	return t.originKindSet && t.Module.CacheAside && kind == t.Module.OriginKind
}

// SecondCopies says whether two attempts of a request may be in flight at once: only where the settings say so.
func (t *Terms) SecondCopies() bool { return t.Module.Hedging }

// What holds where the settings are silent; each is on the cautious side of what deployments name.
const (
	defaultConnect = 100 * time.Millisecond
	defaultIdle    = 5 * time.Second
	defaultAsk     = 10 * time.Second
)

// Tenths turns milliseconds into whole tenths, rounded down.
func Tenths(ms float64) routing.Time { return routing.Time(math.Floor(ms * 10)) }

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
		return Tenths(x), true
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

// Of reads a deployment's settings. What is missing or malformed keeps its cautious default; the error names each key that
// is malformed, or missing though a node needs it. Keys that are unknown are passed over: operators may be newer.
func Of(settings map[string]any) (*Terms, error) {
	var faults []error
	o := object{settings, "settings.", &faults}
	t := &Terms{Module: routing.DefaultConfig(), ConnectWithin: defaultConnect, IdleFor: defaultIdle, AskWithin: defaultAsk}
	t.readGeneral(o)
	t.readClasses(o)
	t.readTenants(o)
	t.Machines = map[string]int{}
	for i, m := range items(settings["models"]) {
		t.Machines[fmt.Sprint(m)] = i
	}
	t.readTimeouts(o)
	return t, errors.Join(faults...)
}

// readGeneral reads what holds for all classes and tenants.
func (t *Terms) readGeneral(o object) {
	c := &t.Module
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
	t.Advice = Duration(c.MaxRetryAfter)
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

func (t *Terms) readClasses(o object) {
	classes, places := objects(o, "namespaces")
	t.Namespaces = places
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
		t.LongestLimit = max(t.LongestLimit, Duration(deadline))
		t.Module.Classes = append(t.Module.Classes, c)
	}
	if len(classes) == 0 {
		o.fault("namespaces", "a list of one namespace at least")
	}
}

func (t *Terms) readTenants(o object) {
	tenants, places := objects(o, "tenants")
	t.Partners = places
	for _, x := range tenants {
		c := routing.DefaultTenant()
		optional(x, "quota-rps", amount, &c.Quota)
		t.Module.Tenants = append(t.Module.Tenants, c)
	}
}

func (t *Terms) readTimeouts(o object) {
	optionalTimeout(o, "permissions.connect-timeout-ms", &t.ConnectWithin)
	optionalTimeout(o, "permissions.conn-idle-ms", &t.IdleFor)
	optionalTimeout(o, "invariants.ask-within-ms", &t.AskWithin)
	optionalTimeout(o, "invariants.stop-sending-within-ms", &t.Grace)
	// A polled list counts as notified when it is written. A pushed one counts as soon as discovery has it, and a drain's
	// grace runs from then, so the decisions have to know of it. Where the settings are silent, the stricter of the two holds.
	if mode, _ := find(o.values, "registry-mode"); mode != modePolled && t.Grace > 0 {
		t.Module.PushedGrace = routing.Time(t.Grace / tick)
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
