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
func explore(without string, b bounds) (states int, history []move, fault string) {
	type node struct {
		tc   *testCluster
		from int
		by   move
	}
	tc := newTestCluster(without, 2)
	tc.electionsLeft = 1
	tc.play(move{"elect", 0, 1})
	tc.crashesLeft, tc.electionsLeft, tc.lossesLeft = b.crashes, b.elections, b.losses
	all := []node{{tc: tc, from: -1}}
	seen, h := map[uint64]bool{}, newHash()
	for at := 0; at < len(all) && at < maxStates; at++ {
		now := all[at].tc
		for _, m := range now.moves(b.steps) {
			next := now.clone()
			next.play(m)
			if next.violation != "" {
				for history = []move{m}; all[at].from >= 0; at = all[at].from {
					history = append([]move{all[at].by}, history...)
				}
				return len(seen), history, next.violation
			}
			if p := next.fingerprint(h); !seen[p] {
				seen[p] = true
				all = append(all, node{next, at, m})
			}
		}
		all[at].tc = nil // all its successors are queued
	}
	return len(seen), nil, ""
}

// All histories of a small cluster: two claimants, one with a slow clock, three voters with fast ones. A step is about half
// a lease, so that it is lost, granted to the other and renewed within the bounds.
func TestAllSmallHistories(t *testing.T) {
	for _, b := range []bounds{{steps: 5}, {steps: 3, elections: 1}, {steps: 4, losses: 1}, {steps: 3, crashes: 1, elections: 1}} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			if testing.Short() && b.elections > 0 {
				t.Skip("too many for the race detector")
			}
			t.Parallel()
			states, history, fault := explore("", b)
			t.Log(states, "states")
			if fault != "" || states >= maxStates {
				t.Errorf("%s after %v", fault, history)
			}
		})
	}
	for without, b := range map[string]bounds{noMargin: {steps: 3}, fromAnswer: {steps: 3},
		noConfirmation: {steps: 3, elections: 1}, noVote: {steps: 3, crashes: 1, elections: 1}} {
		t.Run("without "+without, func(t *testing.T) {
			if testing.Short() && b.elections > 0 {
				t.Skip("too many for the race detector")
			}
			t.Parallel()
			if states, history, fault := explore(without, b); fault == "" {
				t.Errorf("none of %d states shows it", states)
			} else {
				t.Logf("state %d: %s after %v", states, fault, history)
			}
		})
	}
}

// randomHistory plays random events, with more of everything than can be explored, and commits that take time.
func randomHistory(without string, seed uint64, moves int) (tc *testCluster, history []move) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	tc = newTestCluster(without, 3)
	tc.crashesLeft, tc.electionsLeft, tc.lossesLeft, tc.delayCommits, tc.actsEnabled = 8, 12, 12, rnd.IntN(2) == 0, true
	for range moves {
		all := tc.moves(1 << 20)
		// Time passes slowly beside all else, or every lease expires.
		m := all[rnd.IntN(len(all))]
		if rare := m.what == "crash" || m.what == "elect" || m.what == "lose" || m.what == "tick"; rare && rnd.IntN(4) > 0 {
			m = all[rnd.IntN(len(all))]
		}
		tc.play(m)
		if history = append(history, m); tc.violation != "" {
			break
		}
	}
	return tc, history
}

func TestRandomHistories(t *testing.T) {
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
func TestEachSafeguardIsNeeded(t *testing.T) {
	for _, without := range safeguards {
		t.Run(without, func(t *testing.T) {
			for seed := range uint64(20_000) {
				if tc, history := randomHistory(without, seed, 400); tc.violation != "" {
					t.Logf("seed %d, %d moves: %s", seed, len(history), tc.violation)
					return
				}
			}
			t.Error("no history breaks a rule without it")
		})
	}
}
