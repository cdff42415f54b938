package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/thistlerudder/thistlerudder/lease"
)

var (
	rates   = lease.BudgetConfig{Kind: lease.RateKind, Units: 4, RatePerUnit: 10, MaxNodes: 3}
	numbers = lease.BudgetConfig{Kind: lease.ConcurrencyKind, Units: 4, MaxNodes: 3}
	few     = lease.BudgetConfig{Kind: lease.ConcurrencyKind, Units: 1, MaxNodes: 3}
	aparts  = lease.BudgetConfig{Kind: lease.RateKind, Units: 7, RatePerUnit: 10, ReservedPerNode: 1, MaxNodes: 3}
)

type bounds struct {
	steps, leads, lost, demands, regrants, renews, acts int
	both                                                bool // both nodes ask from the beginning
}

const statesMost = 150_000 // far beyond what the bounds below reach

// explore plays all that can happen within the bounds, and gives the first history that passes the whole.
func explore(without string, t lease.BudgetConfig, nodes int, b bounds) (states int, history []move, fault string) {
	type node struct {
		w    *world
		from int
		by   move
	}
	w := newWorld(without, t, nodes)
	w.old = 1
	for _, p := range w.procs {
		p.asks = p.asks || b.both
	}
	w.settle(8)
	w.leads, w.lost, w.demands, w.regrants, w.renews, w.acts = b.leads, b.lost, b.demands, b.regrants, b.renews, b.acts
	all, seen, h := []node{{w: w, from: -1}}, map[uint64]bool{}, xxhash.New()
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
		all[at].w = nil
	}
	return len(seen), nil, ""
}

// All histories of two nodes within small bounds: a step is half a lease, so that parts are asked for, given, come back,
// and end with their lease within them.
func TestAllSmallHistories(t *testing.T) {
	for _, c := range []struct {
		terms lease.BudgetConfig
		bounds
	}{
		{rates, bounds{steps: 3, demands: 1}},
		{rates, bounds{steps: 3, renews: 1, both: true}},
		{few, bounds{steps: 4, demands: 1, acts: 1}},
		{aparts, bounds{steps: 2, leads: 1, demands: 1}},
		{numbers, bounds{steps: 3, demands: 1, acts: 2}},
		{rates, bounds{steps: 4, regrants: 1, both: true}},
		{rates, bounds{steps: 3, leads: 1, both: true}},
	} {
		t.Run(fmt.Sprintf("%s %d/%d %+v", c.terms.Kind, c.terms.Units, c.terms.ReservedPerNode, c.bounds), func(t *testing.T) {
			if testing.Short() {
				t.Skip("too many for the race detector")
			}
			t.Parallel()
			states, history, fault := explore("", c.terms, 2, c.bounds)
			t.Log(states, "states")
			if fault != "" || states >= statesMost {
				t.Errorf("%d states; %s after %v", states, fault, history)
			}
		})
	}
}

// The same with a safeguard taken out, where such short histories can show it.
func TestSmallHistoriesShowWhatIsMissing(t *testing.T) {
	for without, b := range map[string]bounds{noMargin: {steps: 5, renews: 1, both: true}, reuse: {steps: 3, demands: 1},
		forget: {steps: 3, leads: 1, demands: 1}, outKept: {steps: 4, demands: 1, acts: 3}} {
		t.Run(without, func(t *testing.T) {
			t.Parallel()
			of := numbers
			states, history, fault := explore(without, of, 2, b)
			if t.Logf("%d states; %s after %v", states, fault, history); fault == "" {
				t.Error("none of them shows it")
			}
		})
	}
}

// walk plays a history of chance, with more of everything than can be explored.
func walk(without string, seed uint64, moves int) (w *world, history []move) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	w = newWorld(without, []lease.BudgetConfig{rates, numbers, few, aparts}[rnd.IntN(4)], 2+rnd.IntN(2))
	w.demands, w.regrants, w.renews, w.acts, w.old = 10, 5, 1<<20, 80, 2
	if rnd.IntN(2) == 0 { // else nothing fails
		w.leads, w.lost = 6, 20
	}
	for range moves {
		all := w.moves(1 << 20)
		m := all[rnd.IntN(len(all))]
		if m.what == "finish" && rnd.IntN(8) > 0 { // acts take their time
			continue
		}
		if rare := m.what == "elect" || m.what == "lose" || m.what == "tick" || m.what == "demand"; rare && rnd.IntN(3) > 0 {
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
	parts, runs := uint64(0), uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		w, history := walk("", rapid.Uint64().Draw(t, "seed"), 300)
		runs++
		if parts += w.truth.LastToken; w.fault != "" {
			t.Fatalf("%s after %v", w.fault, history)
		}
	})
	if parts < 5*runs {
		t.Errorf("%d tokens in %d histories: they show nothing", parts, runs)
	}
}

// With any one safeguard taken out some history passes the whole: otherwise the histories above prove nothing.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for _, without := range safeguards {
		t.Run(without, func(t *testing.T) {
			for seed := range uint64(3_000) {
				if w, history := walk(without, seed, 400); w.fault != "" {
					t.Logf("seed %d, %d moves: %s", seed, len(history), w.fault)
					return
				}
			}
			t.Error("no history passes the whole without it")
		})
	}
}
