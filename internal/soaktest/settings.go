package soaktest

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// class is a kind of request, as the settings name it.
type class struct {
	name     string
	repeat   repeatRule
	target   time.Duration
	deadline time.Duration
	window   time.Duration // in which servers drop repeats of a key; zero: the class has none
	forAll   bool          // all servers do
	write    bool
}

// settings are what a run's nodes are told, drawn by its seed.
type settings struct {
	classes  []class
	grace    time.Duration
	hedging  bool
	attempts int
	connect  time.Duration
	idle     time.Duration
	ask      bool // the list is asked for; else it is pushed, and what discovery has counts at once
}

func span(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)+1)).Truncate(time.Millisecond)
}

func pick[T any](r *rand.Rand, of ...T) T { return of[r.IntN(len(of))] }

// draw draws settings.
func draw(r *rand.Rand) settings {
	s := settings{grace: pick[time.Duration](r, 200, 300, 500, 1000) * time.Millisecond, hedging: r.IntN(2) == 0, attempts: 1 + r.IntN(5),
		connect: span(r, 50*time.Millisecond, 300*time.Millisecond), idle: span(r, time.Second, 5*time.Second), ask: true}
	draws := func(name string, repeat repeatRule, least, most time.Duration, write bool) {
		c := class{name: name, repeat: repeat, deadline: span(r, least, most), write: write}
		c.target = max(20*time.Millisecond, c.deadline/time.Duration(1+r.IntN(3)))
		if repeat == keyed {
			c.window, c.forAll = pick[time.Duration](r, 5, 50, 400, 3000)*time.Millisecond, r.IntN(3) > 0
		}
		s.classes = append(s.classes, c)
	}
	draws("read", safe, 300*time.Millisecond, 900*time.Millisecond, false)
	draws("quick", safe, 40*time.Millisecond, 90*time.Millisecond, false)
	draws("marked", keyed, 150*time.Millisecond, 700*time.Millisecond, true)
	draws("once", unsafe, 200*time.Millisecond, 800*time.Millisecond, true)
	draws("call", unsafe, 150*time.Millisecond, 600*time.Millisecond, false)
	return s
}

// longest gives the longest deadline.
func (s settings) longest() (d time.Duration) {
	for _, c := range s.classes {
		d = max(d, c.deadline)
	}
	return d
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// object gives the settings as operators write them.
func (s settings) object(nodes int) map[string]any {
	var namespaces []any
	for _, c := range s.classes {
		n := map[string]any{"name": c.name, "repeat": string(c.repeat), "target-time-ms": ms(c.target), "time-limit-ms": ms(c.deadline),
			"late-utility": 0.5}
		if c.window > 0 {
			n["memory-span-ms"] = ms(c.window)
			n["group"] = map[bool]string{true: "all", false: "zone"}[c.forAll]
		}
		namespaces = append(namespaces, n)
	}
	return map[string]any{"balancers": nodes, "models": []any{"cache", "origin"}, "registry-mode": "ask",
		"domain": map[string]any{"mode": "aside", "origin-kind": 1},
		"permissions": map[string]any{"most-shots": s.attempts, "parallel-tries": s.hedging, "connect-timeout-ms": ms(s.connect),
			"conn-idle-ms": ms(s.idle), "max-retry-after-ms": 300},
		"invariants": map[string]any{"stop-sending-within-ms": ms(s.grace), "warm-up-ms": 2000, "cold-from": 0.2, "overload-factor": 2,
			"fall-ms": 500, "ask-within-ms": 4000},
		"namespaces": namespaces}
}

// String tells the settings in a line.
func (s settings) String() string {
	text := fmt.Sprintf("grace %v, hedging %v, %d attempts, connect %v, idle %v", s.grace, s.hedging, s.attempts, s.connect, s.idle)
	for _, c := range s.classes {
		text += fmt.Sprintf("; %s: %s, %v", c.name, c.repeat, c.deadline)
		if c.window > 0 {
			text += fmt.Sprintf(", window %v, for all %v", c.window, c.forAll)
		}
	}
	return text
}
