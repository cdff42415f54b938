package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// bounds limit an exploration: steps of time, crashes, elections after the first, and lost messages.
type bounds struct{ steps, crashes, elections, losses int }

// maxStates is far beyond what the bounds below reach: an exploration that stops there is incomplete.
const maxStates = 400_000

// explore plays all histories within the bounds, and returns the first one that breaks an invariant. The first leader is
// voter 0, followed by voter 1: with any others it is the same but for the names.
func explore(removedSafeguard string, b bounds) (states int, history []event, violation string) {
	type node struct {
		cluster *testCluster
		parent  int
		event   event
	}
	tc := newTestCluster(removedSafeguard, 2)
	tc.electionsLeft = 1
	tc.applyEvent(event{"elect", 0, 1})
	tc.crashesLeft, tc.electionsLeft, tc.lossesLeft = b.crashes, b.elections, b.losses
	nodes := []node{{cluster: tc, parent: -1}}
	seen, h := map[uint64]bool{}, newHash()
	for i := 0; i < len(nodes) && i < maxStates; i++ {
		current := nodes[i].cluster
		for _, e := range current.nextEvents(b.steps) {
			next := current.clone()
			next.applyEvent(e)
			if next.violation != "" {
				for history = []event{e}; nodes[i].parent >= 0; i = nodes[i].parent {
					history = append([]event{nodes[i].event}, history...)
				}
				return len(seen), history, next.violation
			}
			if fingerprint := next.fingerprint(h); !seen[fingerprint] {
				seen[fingerprint] = true
				nodes = append(nodes, node{next, i, e})
			}
		}
		nodes[i].cluster = nil // all its successors are queued
	}
	return len(seen), nil, ""
}

// All histories of a small cluster: two claimants, one with a slow clock, three voters with fast ones. A step is about half
// a lease, so that it is lost, granted to the other and renewed within the bounds.
func TestExhaustiveHistoriesKeepInvariants(t *testing.T) {
	for _, b := range []bounds{{steps: 5}, {steps: 3, elections: 1}, {steps: 4, losses: 1}, {steps: 3, crashes: 1, elections: 1}} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			if testing.Short() && b.elections > 0 {
				t.Skip("too many for the race detector")
			}
			t.Parallel()
			states, history, violation := explore("", b)
			t.Log(states, "states")
			if violation != "" || states >= maxStates {
				t.Errorf("%s after %v", violation, history)
			}
		})
	}
	for safeguard, b := range map[string]bounds{driftMargin: {steps: 3}, expiryFromSend: {steps: 3},
		leaderConfirmation: {steps: 3, elections: 1}, votePersistence: {steps: 3, crashes: 1, elections: 1}} {
		t.Run("without "+safeguard, func(t *testing.T) {
			if testing.Short() && b.elections > 0 {
				t.Skip("too many for the race detector")
			}
			t.Parallel()
			if states, history, violation := explore(safeguard, b); violation == "" {
				t.Errorf("none of %d states shows it", states)
			} else {
				t.Logf("state %d: %s after %v", states, violation, history)
			}
		})
	}
}

// randomHistory plays random events, with more of everything than can be explored, and commits that take time.
func randomHistory(removedSafeguard string, seed uint64, maxEvents int) (tc *testCluster, history []event) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	tc = newTestCluster(removedSafeguard, 3)
	tc.crashesLeft, tc.electionsLeft, tc.lossesLeft, tc.delayCommits, tc.actsEnabled = 8, 12, 12, rnd.IntN(2) == 0, true
	for range maxEvents {
		events := tc.nextEvents(1 << 20)
		// Time passes slowly beside all else, or every lease expires.
		e := events[rnd.IntN(len(events))]
		if rare := e.kind == "crash" || e.kind == "elect" || e.kind == "lose" || e.kind == "tick"; rare && rnd.IntN(4) > 0 {
			e = events[rnd.IntN(len(events))]
		}
		tc.applyEvent(e)
		if history = append(history, e); tc.violation != "" {
			break
		}
	}
	return tc, history
}

func TestRandomHistoriesKeepInvariants(t *testing.T) {
	grants := uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		tc, history := randomHistory("", seed, 400)
		if grants += tc.state.LastToken; tc.violation != "" {
			t.Fatalf("%s after %v", tc.violation, history)
		}
	})
	if grants < 100 {
		t.Errorf("%d grants in all: the histories show nothing", grants)
	}
}

// With any one safeguard removed some history breaks an invariant: otherwise the tests above prove nothing.
func TestRemovedSafeguardBreaksInvariant(t *testing.T) {
	for _, safeguard := range safeguards {
		t.Run(safeguard, func(t *testing.T) {
			for seed := range uint64(20_000) {
				if tc, history := randomHistory(safeguard, seed, 400); tc.violation != "" {
					t.Logf("seed %d, %d moves: %s", seed, len(history), tc.violation)
					return
				}
			}
			t.Error("no history breaks a rule without it")
		})
	}
}
