package changelog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

const maxStates = 400_000 // far beyond what the bounds below reach; an exploration that stops there is incomplete

// explore plays all histories within the bounds, and returns the first one that violates an invariant.
func explore(u DisabledSafeguards, before []move, b bounds) (states int, history []move, fault string) {
	type node struct {
		w    *testCluster
		from int
		by   move
	}
	w := newTestCluster(u, smallRing, 1, bounds{steps: 99, agrees: 99, deposed: 9})
	for _, m := range before {
		w.play(m)
	}
	w.left = b
	all, seen, h := []node{{w: w, from: -1}}, map[uint64]bool{}, xxhash.New()
	for at := 0; at < len(all) && at < maxStates; at++ {
		now := all[at].w
		for _, m := range now.moves() {
			next := now.clone()
			next.play(m)
			if next.fault != "" {
				for history = []move{m}; all[at].from >= 0; at = all[at].from {
					history = append([]move{all[at].by}, history...)
				}
				return len(seen), history, next.fault
			}
			if p := next.fingerprint(h); !seen[p] {
				seen[p] = true
				all = append(all, node{next, at, m})
			}
		}
		all[at].w = nil // all its successors are made
	}
	return len(seen), nil, ""
}

const smallRing = 45 // bytes: two changes

var usual = []string{"tick", "agree", "hear", "tell"}

// playRandom plays a random history, with larger bounds than can be explored.
func playRandom(u DisabledSafeguards, seed uint64, moves int) (w *testCluster, history []move) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	w = newTestCluster(u, []int{0, smallRing, 90, 1000}[rnd.IntN(4)], 1+rnd.IntN(2),
		bounds{steps: 1 << 20, agrees: 60, lost: 20, late: 20, deposed: 4, founded: 2, restarts: 6, garbled: 6})
	switch rnd.IntN(4) {
	case 0: // no faults
		w.left = bounds{steps: 1 << 20, agrees: 60}
	case 1: // many restarts of relays and nodes
		w.left = bounds{steps: 1 << 20, agrees: 60, restarts: 40}
	}
	for range moves {
		all := w.moves()
		m := all[rnd.IntN(len(all))]
		for faults, agrees := rnd.IntN(12) == 0, rnd.IntN(4) == 0; !faults && !slices.Contains(usual, m.what) || !agrees && m.what == "agree"; {
			m = all[rnd.IntN(len(all))] // faults and changes are spread over the whole history
		}
		w.play(m)
		if history = append(history, m); w.fault != "" {
			break
		}
	}
	return w, history
}

func TestHistoriesOfChance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if w, history := playRandom(DisabledSafeguards{}, rapid.Uint64().Draw(t, "seed"), 400); w.fault != "" {
			t.Fatalf("%s after %v", w.fault, history)
		}
	})
}

// The random histories have enough in them: events are applied at nodes, and reported as missed. The seeds are fixed, so the sums are too.
func TestHistoriesShowSomething(t *testing.T) {
	told, missed := 0, 0
	for seed := range uint64(100) {
		w, history := playRandom(DisabledSafeguards{}, seed, 400)
		if w.fault != "" {
			t.Fatalf("seed %d: %s after %v", seed, w.fault, history)
		}
		told, missed = told+w.eventsApplied, missed+w.eventsMissed
	}
	t.Logf("%d events applied, %d gaps reported", told, missed)
	if told < 300 || missed < 300 {
		t.Errorf("%d events applied, %d gaps reported in 100 histories: they prove nothing", told, missed)
	}
}

var safeguards = map[string]DisabledSafeguards{"garbled": {AcceptMalformed: true}, "epoch": {AcceptOldEpoch: true}, "missed": {HideMissedEvents: true}, "count-from-answer": {AgeFromResponseTime: true},
	"parent's age": {IgnoreParentAge: true}, "partial": {AgeFromPartialResponse: true}, "late": {AcceptStaleResponse: true}, "torn": {ApplyPartialState: true}, "ring": {StartRelayWithoutRing: true}, "drift": {IgnoreClockDrift: true}}

// With any one safeguard disabled some history violates an invariant: otherwise the histories above prove nothing.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for without, u := range safeguards {
		t.Run(without, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5_000) {
				if w, history := playRandom(u, seed, 400); w.fault != "" {
					t.Logf("seed %d, %d moves: %s", seed, len(history), w.fault)
					return
				}
			}
			t.Error("no history violates an invariant without it")
		})
	}
}

// With a safeguard disabled, the same exploration finds a violation, where such short histories can have one.
func TestSmallHistoriesShowWhatIsMissing(t *testing.T) {
	for without, b := range map[string]bounds{"garbled": {steps: 1, agrees: 2, garbled: 1}, "count-from-answer": {steps: 2, agrees: 1},
		"parent's age": {steps: 3, agrees: 1, deposed: 1}, "partial": {steps: 2, agrees: 2}, "late": {steps: 3, agrees: 1, late: 1},
		"missed": {steps: 3, agrees: 1, restarts: 1}, "torn": {steps: 3, agrees: 1, restarts: 1}, "drift": {steps: 3, agrees: 1}} {
		t.Run(without, func(t *testing.T) {
			t.Parallel()
			states, history, fault := explore(safeguards[without], followed(3), b)
			if t.Logf("%d states; %s after %v", states, fault, history); fault == "" {
				t.Error("none of them shows it")
			}
		})
	}
}

// followed brings the children up to date with a few changes.
func followed(agrees int) (all []move) {
	pass := func() {
		all = append(all, move{what: "tick"})
		for range 1 + relays { // messages arrive in the order of the requests
			all = append(all, move{what: "hear"}, move{what: "tell"})
		}
	}
	pass()
	pass()
	for range agrees {
		all = append(all, move{what: "agree"})
		pass()
		pass()
	}
	return all
}

// All histories within bounds of a cluster that is up to date: two relays, a node, a ring of two changes.
func TestAllSmallHistories(t *testing.T) {
	for _, b := range []bounds{{steps: 3, agrees: 1}, {steps: 2, agrees: 2, late: 1}, {steps: 2, agrees: 1, deposed: 1}, {steps: 2, agrees: 1, founded: 1},
		{steps: 2, agrees: 2, restarts: 1}, {steps: 2, agrees: 2, lost: 1, garbled: 1}} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			if testing.Short() {
				t.Skip("too many for the race detector")
			}
			t.Parallel()
			states, history, fault := explore(DisabledSafeguards{}, followed(3), b)
			t.Log(states, "states")
			if fault != "" || states >= maxStates {
				t.Errorf("%d states; %s after %v", states, fault, history)
			}
		})
	}
}
