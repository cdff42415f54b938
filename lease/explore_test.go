package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// bounds limit an exploration. The field elections does not include the first election.
type bounds struct{ steps, crashes, elections, losses int }

// maxStates is far above the number of states that the bounds below reach. An exploration that stops there is incomplete.
const maxStates = 400_000

// explore visits all states within the bounds, breadth first, and returns the first history that violates an invariant. The
// first leader is voter 0 with the vote of voter 1, because the voters are interchangeable.
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
		nodes[i].cluster = nil // frees memory: all successors are in nodes
	}
	return len(seen), nil, ""
}

// Explores all histories of two claimants, one of which has a slow clock, and three voters with fast clocks. A step is about
// half a lease duration, so that within the bounds the lease expires, is granted to the other claimant and is renewed. With one
// safeguard removed, the exploration must find a violation.
func TestExhaustiveHistoriesKeepInvariants(t *testing.T) {
	for _, b := range []bounds{{steps: 5}, {steps: 3, elections: 1}, {steps: 4, losses: 1}, {steps: 3, crashes: 1, elections: 1}} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			if testing.Short() && b.elections > 0 {
				t.Skip("too many states for the race detector in short mode")
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
				t.Skip("too many states for the race detector in short mode")
			}
			t.Parallel()
			if states, history, violation := explore(safeguard, b); violation == "" {
				t.Errorf("no violation in %d states without this safeguard", states)
			} else {
				t.Logf("state %d: %s after %v", states, violation, history)
			}
		})
	}
}

// randomHistory applies random events to a cluster with more claimants, faults and events than can be explored exhaustively.
// In half of the histories commits are delayed.
func randomHistory(removedSafeguard string, seed uint64, maxEvents int) (tc *testCluster, history []event) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	tc = newTestCluster(removedSafeguard, 3)
	tc.crashesLeft, tc.electionsLeft, tc.lossesLeft, tc.delayCommits, tc.actsEnabled = 8, 12, 12, rnd.IntN(2) == 0, true
	for range maxEvents {
		events := tc.nextEvents(1 << 20)
		// Faults and ticks are drawn less often: if time advanced as often as other events, every lease would expire.
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

// No random history violates an invariant, and the histories grant leases.
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
		t.Errorf("%d grants in all histories, want 100 or more: too few leases were granted to test anything", grants)
	}
}

// If any one safeguard is removed, some history violates an invariant. Otherwise the tests above could not detect a missing
// safeguard.
func TestRemovedSafeguardBreaksInvariant(t *testing.T) {
	for _, safeguard := range safeguards {
		t.Run(safeguard, func(t *testing.T) {
			for seed := range uint64(20_000) {
				if tc, history := randomHistory(safeguard, seed, 400); tc.violation != "" {
					t.Logf("seed %d, %d events: %s", seed, len(history), tc.violation)
					return
				}
			}
			t.Error("no history violates an invariant without this safeguard")
		})
	}
}
