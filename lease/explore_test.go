package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// bounds of an exploration, beside the first leader: steps of time, crashes, further leaders, losses.
type bounds struct{ steps, crashes, leads, lost int }

// statesMost is far beyond what the bounds below reach: an exploration that stops there is none of all histories.
const statesMost = 400_000

// explore plays all that can happen within the bounds, and gives the first history that breaks a rule. The first leader is
// voter 0, followed by voter 1: with any others it is the same but for the names.
func explore(without string, b bounds) (states int, history []move, fault string) {
	type node struct {
		w    *fleet
		from int
		by   move
	}
	w := newFleet(without, 2)
	w.leads = 1
	w.play(move{"elect", 0, 1})
	w.crashes, w.leads, w.lost = b.crashes, b.leads, b.lost
	all := []node{{w: w, from: -1}}
	seen, h := map[uint64]bool{}, newHash()
	for at := 0; at < len(all) && at < statesMost; at++ {
		now := all[at].w
		for _, m := range now.moves(b.steps) {
			next := now.clone()
			next.play(m)
			if next.fault != "" {
				for history = []move{m}; all[at].from >= 0; at = all[at].from {
					history = append([]move{all[at].by}, history...)
				}
				return len(seen), history, next.fault
			}
			if p := next.print(h); !seen[p] {
				seen[p] = true
				all = append(all, node{next, at, m})
			}
		}
		all[at].w = nil // its children are made
	}
	return len(seen), nil, ""
}

// All histories of a small fleet: two claimants, one with a slow clock, three voters with fast ones. A step is about half
// a lease, so that it is lost, granted to the other and renewed within them.
func TestAllSmallHistories(t *testing.T) {
	for _, b := range []bounds{{steps: 5}, {steps: 3, leads: 1}, {steps: 4, lost: 1}, {steps: 3, crashes: 1, leads: 1}} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			if testing.Short() && b.leads > 0 {
				t.Skip("too many for the race detector")
			}
			t.Parallel()
			states, history, fault := explore("", b)
			t.Log(states, "states")
			if fault != "" || states >= statesMost {
				t.Errorf("%s after %v", fault, history)
			}
		})
	}
	for without, b := range map[string]bounds{noMargin: {steps: 3}, fromAnswer: {steps: 3},
		noConfirmation: {steps: 3, leads: 1}, noVote: {steps: 3, crashes: 1, leads: 1}} {
		t.Run("without "+without, func(t *testing.T) {
			if testing.Short() && b.leads > 0 {
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

// walk plays a history of chance, with more of everything than can be explored, and proposals that take time.
func walk(without string, seed uint64, moves int) (w *fleet, history []move) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	w = newFleet(without, 3)
	w.crashes, w.leads, w.lost, w.later, w.acts = 8, 12, 12, rnd.IntN(2) == 0, true
	for range moves {
		all := w.moves(1 << 20)
		// Time passes slowly beside all else, or everything lapses.
		m := all[rnd.IntN(len(all))]
		if rare := m.what == "crash" || m.what == "elect" || m.what == "lose" || m.what == "tick"; rare && rnd.IntN(4) > 0 {
			m = all[rnd.IntN(len(all))]
		}
		w.play(m)
		if history = append(history, m); w.fault != "" {
			break
		}
	}
	return w, history
}

func TestHistoriesOfChance(t *testing.T) {
	grants := uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w, history := walk("", seed, 400)
		if grants += w.truth.LastToken; w.fault != "" {
			t.Fatalf("%s after %v", w.fault, history)
		}
	})
	if grants < 100 {
		t.Errorf("%d grants in all: the histories show nothing", grants)
	}
}

// With any one safeguard taken out some history breaks a rule: otherwise the histories above prove nothing.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for _, without := range safeguards {
		t.Run(without, func(t *testing.T) {
			for seed := range uint64(20_000) {
				if w, history := walk(without, seed, 400); w.fault != "" {
					t.Logf("seed %d, %d moves: %s", seed, len(history), w.fault)
					return
				}
			}
			t.Error("no history breaks a rule without it")
		})
	}
}
