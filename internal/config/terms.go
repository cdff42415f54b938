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
	Module                            map[string]any // names in our words to values, for logic.New
	Namespaces, Partners, Machines    map[string]int // names to places in the module's lists
	LongestLimit                      time.Duration  // of all namespaces
	Advice                            time.Duration  // the longest retry-after that clients heed; 0: give none
	ConnectWithin, IdleFor, AskWithin time.Duration  // towards the servers and the box list
	Grace                             time.Duration  // from a drain's telling to the last shot's first byte; 0: not told
}

// Replayable says whether lookups of a namespace, one that the terms name, may run any number of times.
func (t *Terms) Replayable(namespace string) bool {
	return t.Module["namespaces"].([]map[string]any)[t.Namespaces[namespace]]["repeat"] == "replayable"
}

// Memory gives the span in which repeats of a tagged lookup are dropped; 0 for other namespaces.
func (t *Terms) Memory(namespace string) time.Duration {
	ns := t.Module["namespaces"].([]map[string]any)[t.Namespaces[namespace]]
	if span, told := ns["memory span"].(routing.Time); told && ns["repeat"] == "tagged" {
		return Duration(span)
	}
	return 0
}

// KeyedForAll says whether all servers of the deployment drop repeats of a keyed request of this namespace.
func (t *Terms) KeyedForAll(namespace string) bool {
	ns := t.Module["namespaces"].([]map[string]any)[t.Namespaces[namespace]]
	return ns["repeat"] == "tagged" && ns["group"] == "all"
}

// Origin says whether a kind of machine is the origin's.
func (t *Terms) Origin(kind int) bool {
	origin, given := t.Module["origin kind"].(int)
	return given && t.Module["mode"] == "aside" && kind == origin
}

// SecondCopies says whether two shots of a lookup may be out at once: only where the settings say so.
func (t *Terms) SecondCopies() bool {
	allowed, _ := t.Module["second copies"].(bool)
	return allowed
}

// What holds where the settings are silent; each is on the cautious side of what deployments name.
const (
	defaultConnect = 100 * time.Millisecond
	defaultIdle    = 5 * time.Second
	defaultAsk     = 10 * time.Second
)

// Tenths turns milliseconds into whole tenths, rounded down.
func Tenths(ms float64) routing.Time { return routing.Time(math.Floor(ms * 10)) }

// A form turns a JSON value into ours, or says what it expected instead.
type form struct {
	expected string
	read     func(any) any // nil: not of this form
}

var (
	whole = form{"a whole number", func(v any) any {
		if x, ok := v.(float64); ok && x == math.Trunc(x) && math.Abs(x) < 1e15 {
			return int(x)
		}
		return nil
	}}
	count = form{"a whole number, 1 or more", func(v any) any {
		if x, ok := whole.read(v).(int); ok && x > 0 {
			return x
		}
		return nil
	}}
	amount = form{"a number, 0 or more", func(v any) any {
		if x, ok := v.(float64); ok && x >= 0 {
			return x
		}
		return nil
	}}
	share = form{"a number from 0 to 1", func(v any) any {
		if x, ok := v.(float64); ok && x >= 0 && x <= 1 {
			return x
		}
		return nil
	}}
	number = form{"a number", func(v any) any {
		if x, ok := v.(float64); ok {
			return x
		}
		return nil
	}}
	span = form{"a time in milliseconds, 0 or more", func(v any) any {
		if x, ok := v.(float64); ok && x >= 0 && x < 1e12 {
			return Tenths(x)
		}
		return nil
	}}
	text = form{"a text", func(v any) any {
		if x, ok := v.(string); ok {
			return x
		}
		return nil
	}}
	yesNo = form{"true or false", func(v any) any {
		if x, ok := v.(bool); ok {
			return x
		}
		return nil
	}}
	repeat = form{"safe, keyed or unsafe", func(v any) any {
		switch v {
		case "safe":
			return "replayable"
		case "keyed":
			return "tagged"
		case "unsafe":
			return "single-use"
		}
		return nil
	}}
)

// entry says under which of our names the value of a key goes on, and in what form.
type entry struct {
	key, name string
	form      form
	needed    bool // a node on sockets can't do without it
}

var general = []entry{
	{"balancers", "nodes", count, false},
	{"domain.mode", "mode", text, false},
	{"domain.origin-kind", "origin kind", whole, false},
	{"permissions.most-shots", "most shots", count, false},
	{"permissions.parallel-tries", "second copies", yesNo, false},
	{"permissions.max-retry-after-ms", "longest retry-after", span, false},
	{"invariants.cold-from", "cold share", share, false},
	{"invariants.warm-up-ms", "warm-up", span, false},
	{"invariants.overload-factor", "overload factor", amount, false},
	{"invariants.fall-ms", "fall window", span, false},
	{"invariants.ask-within-ms", "ask within", span, false},
	{"tick-ms", "tick", span, false},
}

var ofNamespace = []entry{
	{"repeat", "repeat", repeat, true},
	{"group", "group", text, false},
	{"target-time-ms", "target time", span, true},
	{"time-limit-ms", "time limit", span, true},
	{"memory-span-ms", "memory span", span, false},
	{"late-utility", "late utility", share, false},
	{"utility", "utility", amount, false},
}

var ofPartner = []entry{{"quota-rps", "lookups a second", amount, false}}

// Of gives a deployment's settings our names. What is missing or of another form is left out, so that the
// module falls back to its cautious default; the error names each key that is malformed, or missing though
// a node on sockets needs it. Keys that are unknown are passed over: operators may be newer.
func Of(settings map[string]any) (*Terms, error) {
	t := &Terms{Module: map[string]any{}, Namespaces: map[string]int{}, Partners: map[string]int{},
		Machines: map[string]int{}, ConnectWithin: defaultConnect, IdleFor: defaultIdle, AskWithin: defaultAsk}
	var faults []error
	take := func(from map[string]any, at string, entries []entry, into map[string]any) {
		for _, e := range entries {
			v, found := find(from, e.key)
			if !found && !e.needed {
				continue
			}
			if v = e.form.read(v); v != nil {
				into[e.name] = v
			} else {
				faults = append(faults, fmt.Errorf("%s%s: expected %s", at, e.key, e.form.expected))
			}
		}
	}
	take(settings, "settings.", general, t.Module)
	if advice, found := find(settings, "permissions.retry-after"); found && advice == false {
		delete(t.Module, "longest retry-after")
	}
	if longest, given := t.Module["longest retry-after"].(routing.Time); given {
		t.Advice = Duration(longest)
	}
	list := func(key string, entries []entry, places map[string]int) (out []map[string]any) {
		for i, v := range items(settings[key]) {
			m, _ := v.(map[string]any)
			at := fmt.Sprintf("settings.%s[%d].", key, i)
			name, ok := m["name"].(string)
			if !ok {
				faults = append(faults, fmt.Errorf("%sname: expected a text", at))
			}
			places[name] = i
			x := map[string]any{}
			take(m, at, entries, x)
			out = append(out, x)
		}
		return out
	}
	namespaces := list("namespaces", ofNamespace, t.Namespaces)
	if len(namespaces) == 0 {
		faults = append(faults, errors.New("settings.namespaces: expected a list of one namespace at least"))
	}
	for _, ns := range namespaces {
		if limit, ok := ns["time limit"].(routing.Time); ok {
			t.LongestLimit = max(t.LongestLimit, Duration(limit))
		}
	}
	t.Module["namespaces"], t.Module["partners"] = namespaces, list("tenants", ofPartner, t.Partners)
	for i, m := range items(settings["models"]) {
		t.Machines[fmt.Sprint(m)] = i
	}
	for key, d := range map[string]*time.Duration{"permissions.connect-timeout-ms": &t.ConnectWithin,
		"permissions.conn-idle-ms": &t.IdleFor, "invariants.ask-within-ms": &t.AskWithin,
		"invariants.stop-sending-within-ms": &t.Grace} {
		if v, found := find(settings, key); found {
			if s, ok := span.read(v).(routing.Time); ok && s > 0 {
				*d = Duration(s)
			} else {
				faults = append(faults, fmt.Errorf("settings.%s: expected %s", key, "a time in milliseconds above 0"))
			}
		}
	}
	// Lists that are asked for count as told when they are written. Of others, what discovery has counts at once, and a
	// drain's grace runs from then: the module has to know of it. Where nothing is said, the stricter of the two holds.
	if mode, _ := find(settings, "registry-mode"); mode != "ask" && t.Grace > 0 {
		t.Module["pushed grace"] = routing.Time(t.Grace / (time.Millisecond / time.Duration(routing.Millisecond)))
	}
	return t, errors.Join(faults...)
}

// Duration turns the module's time into the standard library's.
func Duration(t routing.Time) time.Duration {
	return time.Duration(t) * (time.Millisecond / time.Duration(routing.Millisecond))
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
