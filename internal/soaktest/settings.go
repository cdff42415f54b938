package soaktest

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// class is a class of requests in the settings.
type class struct {
	name          string
	idempotence   idempotence
	latencyTarget time.Duration
	deadline      time.Duration
	dedupWindow   time.Duration // how long servers remember an idempotency key; zero: the class has no keys
	sharedDedup   bool          // servers also drop repeats of requests that another server received
	isWrite       bool
}

// settings are the settings of a run's nodes, drawn from its seed.
type settings struct {
	classes        []class
	drainGrace     time.Duration
	hedging        bool
	maxAttempts    int
	connectTimeout time.Duration
	idleTimeout    time.Duration
	pollsDiscovery bool // nodes poll the endpoint list; if it were pushed, a change would take effect at once
}

// randomDuration draws a duration in whole milliseconds above the shortest.
func randomDuration(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)+1)).Truncate(time.Millisecond)
}

// randomChoice draws one of the values.
func randomChoice[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// drawSettings draws the settings of a run.
func drawSettings(rng *rand.Rand) settings {
	s := settings{
		drainGrace:     randomChoice[time.Duration](rng, 200, 300, 500, 1000) * time.Millisecond,
		hedging:        rng.IntN(2) == 0,
		maxAttempts:    1 + rng.IntN(5),
		connectTimeout: randomDuration(rng, 50*time.Millisecond, 300*time.Millisecond),
		idleTimeout:    randomDuration(rng, time.Second, 5*time.Second),
		pollsDiscovery: true,
	}
	addClass := func(name string, kind idempotence, minDeadline, maxDeadline time.Duration, isWrite bool) {
		c := class{name: name, idempotence: kind, deadline: randomDuration(rng, minDeadline, maxDeadline), isWrite: isWrite}
		c.latencyTarget = max(20*time.Millisecond, c.deadline/time.Duration(1+rng.IntN(3)))
		if kind == idempotentByKey {
			c.dedupWindow, c.sharedDedup = randomChoice[time.Duration](rng, 5, 50, 400, 3000)*time.Millisecond, rng.IntN(3) > 0
		}
		s.classes = append(s.classes, c)
	}
	addClass("read", safe, 300*time.Millisecond, 900*time.Millisecond, false)
	addClass("quick", safe, 40*time.Millisecond, 90*time.Millisecond, false)
	addClass("marked", idempotentByKey, 150*time.Millisecond, 700*time.Millisecond, true)
	addClass("once", unsafe, 200*time.Millisecond, 800*time.Millisecond, true)
	addClass("call", unsafe, 150*time.Millisecond, 600*time.Millisecond, false)
	return s
}

// maxDeadline returns the longest deadline of the classes.
func (s settings) maxDeadline() (longest time.Duration) {
	for _, c := range s.classes {
		longest = max(longest, c.deadline)
	}
	return longest
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// configObject returns the settings as they stand in the node's configuration file.
func (s settings) configObject(nodeCount int) map[string]any {
	var namespaces []any
	for _, c := range s.classes {
		namespace := map[string]any{"name": c.name, "repeat": string(c.idempotence), "target-time-ms": milliseconds(c.latencyTarget),
			"time-limit-ms": milliseconds(c.deadline), "late-utility": 0.5}
		if c.dedupWindow > 0 {
			namespace["memory-span-ms"] = milliseconds(c.dedupWindow)
			namespace["group"] = map[bool]string{true: "all", false: "zone"}[c.sharedDedup]
		}
		namespaces = append(namespaces, namespace)
	}
	return map[string]any{"balancers": nodeCount, "models": []any{"cache", "origin"}, "registry-mode": "ask",
		"domain": map[string]any{"mode": "aside", "origin-kind": 1},
		"permissions": map[string]any{"most-shots": s.maxAttempts, "parallel-tries": s.hedging, "connect-timeout-ms": milliseconds(s.connectTimeout),
			"conn-idle-ms": milliseconds(s.idleTimeout), "max-retry-after-ms": 300},
		"invariants": map[string]any{"stop-sending-within-ms": milliseconds(s.drainGrace), "warm-up-ms": 2000, "cold-from": 0.2, "overload-factor": 2,
			"fall-ms": 500, "ask-within-ms": 4000},
		"namespaces": namespaces}
}

// String returns the settings as one line.
func (s settings) String() string {
	text := fmt.Sprintf("grace %v, hedging %v, %d attempts, connect %v, idle %v", s.drainGrace, s.hedging, s.maxAttempts, s.connectTimeout, s.idleTimeout)
	for _, c := range s.classes {
		text += fmt.Sprintf("; %s: %s, %v", c.name, c.idempotence, c.deadline)
		if c.dedupWindow > 0 {
			text += fmt.Sprintf(", window %v, for all %v", c.dedupWindow, c.sharedDedup)
		}
	}
	return text
}
