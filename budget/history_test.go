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
	rates         = lease.BudgetConfig{Kind: lease.RateKind, Units: 4, RatePerUnit: 10, MaxNodes: 3}
	concurrencies = lease.BudgetConfig{Kind: lease.ConcurrencyKind, Units: 4, MaxNodes: 3}
	oneUnit       = lease.BudgetConfig{Kind: lease.ConcurrencyKind, Units: 1, MaxNodes: 3}
	reservedRates = lease.BudgetConfig{Kind: lease.RateKind, Units: 7, RatePerUnit: 10, ReservedPerNode: 1, MaxNodes: 3}
)

type bounds struct {
	steps, elections, losses, demandChanges, regrants, renewals, requests int
	allBusy                                                               bool // both nodes have demand from the beginning
}

const maxStates = 150_000 // far beyond what the bounds below reach

// explore plays all histories within the bounds, and returns the first one that exceeds the budget.
func explore(disabled string, t lease.BudgetConfig, nodes int, b bounds) (states int, history []move, fault string) {
	type node struct {
		c    *testCluster
		from int
		by   move
	}
	c := newTestCluster(disabled, t, nodes)
	c.olderMessages = 1
	for _, p := range c.processes {
		p.busy = p.busy || b.allBusy
	}
	c.settle(8)
	c.elections, c.losses, c.demandChanges, c.regrants, c.renewals, c.requests = b.elections, b.losses, b.demandChanges, b.regrants, b.renewals, b.requests
	all, seen, h := []node{{c: c, from: -1}}, map[uint64]bool{}, xxhash.New()
	for at := 0; at < len(all) && at < maxStates; at++ {
		now := all[at].c
		for _, m := range now.moves(b.steps) {
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
		all[at].c = nil
	}
	return len(seen), nil, ""
}

// All histories of two nodes within small bounds: a step is a quarter of a lease, so that quotas are requested, granted,
// returned, and expire within them.
func TestAllSmallHistories(t *testing.T) {
	for _, c := range []struct {
		terms lease.BudgetConfig
		bounds
	}{
		{rates, bounds{steps: 3, demandChanges: 1}},
		{rates, bounds{steps: 3, renewals: 1, allBusy: true}},
		{oneUnit, bounds{steps: 4, demandChanges: 1, requests: 1}},
		{reservedRates, bounds{steps: 2, elections: 1, demandChanges: 1}},
		{concurrencies, bounds{steps: 3, demandChanges: 1, requests: 2}},
		{rates, bounds{steps: 4, regrants: 1, allBusy: true}},
		{rates, bounds{steps: 3, elections: 1, allBusy: true}},
	} {
		t.Run(fmt.Sprintf("%s %d/%d %+v", c.terms.Kind, c.terms.Units, c.terms.ReservedPerNode, c.bounds), func(t *testing.T) {
			if testing.Short() {
				t.Skip("too many for the race detector")
			}
			t.Parallel()
			states, history, fault := explore("", c.terms, 2, c.bounds)
			t.Log(states, "states")
			if fault != "" || states >= maxStates {
				t.Errorf("%d states; %s after %v", states, fault, history)
			}
		})
	}
}

// With a safeguard disabled, the same exploration finds a fault, where such short histories can have one.
func TestSmallHistoriesShowWhatIsMissing(t *testing.T) {
	for disabled, b := range map[string]bounds{withoutDriftMargin: {steps: 5, renewals: 1, allBusy: true}, reuseEarly: {steps: 3, demandChanges: 1},
		forgetQuotas: {steps: 3, elections: 1, demandChanges: 1}, forgetInFlight: {steps: 4, demandChanges: 1, requests: 3}} {
		t.Run(disabled, func(t *testing.T) {
			t.Parallel()
			of := concurrencies
			states, history, fault := explore(disabled, of, 2, b)
			if t.Logf("%d states; %s after %v", states, fault, history); fault == "" {
				t.Error("none of them shows it")
			}
		})
	}
}

// playRandom plays a random history, with larger bounds than can be explored.
func playRandom(disabled string, seed uint64, moves int) (c *testCluster, history []move) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	c = newTestCluster(disabled, []lease.BudgetConfig{rates, concurrencies, oneUnit, reservedRates}[rnd.IntN(4)], 2+rnd.IntN(2))
	c.demandChanges, c.regrants, c.renewals, c.requests, c.olderMessages = 10, 5, 1<<20, 80, 2
	if rnd.IntN(2) == 0 { // else there are no faults
		c.elections, c.losses = 6, 20
	}
	for range moves {
		all := c.moves(1 << 20)
		m := all[rnd.IntN(len(all))]
		if m.what == "finish" && rnd.IntN(8) > 0 { // requests take several moves
			continue
		}
		if rare := m.what == "elect" || m.what == "lose" || m.what == "tick" || m.what == "demand"; rare && rnd.IntN(3) > 0 {
			m = all[rnd.IntN(len(all))]
		}
		c.play(m)
		if history = append(history, m); c.fault != "" {
			break
		}
	}
	return c, history
}

func TestRandomHistories(t *testing.T) {
	tokens, runs := uint64(0), uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		c, history := playRandom("", rapid.Uint64().Draw(t, "seed"), 300)
		runs++
		if tokens += c.truth.LastToken; c.fault != "" {
			t.Fatalf("%s after %v", c.fault, history)
		}
	})
	if tokens < 5*runs {
		t.Errorf("%d tokens in %d histories: they show nothing", tokens, runs)
	}
}

// With any one safeguard disabled some history exceeds the budget: otherwise the histories above prove nothing.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for _, disabled := range safeguards {
		t.Run(disabled, func(t *testing.T) {
			for seed := range uint64(3_000) {
				if c, history := playRandom(disabled, seed, 400); c.fault != "" {
					t.Logf("seed %d, %d moves: %s", seed, len(history), c.fault)
					return
				}
			}
			t.Error("no history exceeds the budget without it")
		})
	}
}
