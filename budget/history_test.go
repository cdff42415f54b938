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
	rateBudget         = lease.BudgetConfig{Kind: lease.BudgetKindRate, Units: 4, RatePerUnit: 10, MaxNodes: 3}
	concurrencyBudget  = lease.BudgetConfig{Kind: lease.BudgetKindConcurrency, Units: 4, MaxNodes: 3}
	oneUnitBudget      = lease.BudgetConfig{Kind: lease.BudgetKindConcurrency, Units: 1, MaxNodes: 3}
	reservedRateBudget = lease.BudgetConfig{Kind: lease.BudgetKindRate, Units: 7, RatePerUnit: 10, ReservedPerNode: 1, MaxNodes: 3}
)

// bounds limits the number of steps and events in a history.
type bounds struct {
	steps, elections, messageLosses, demandChanges, regrants, renewals, requests int
	allHaveDemand                                                                bool // all nodes have demand from the beginning, not only the first one
}

const maxStates = 150_000 // far more than the bounds in the tests reach

// explore executes all histories within the bounds by breadth-first search. It returns the number of distinct states, and the
// first history that exceeds the budget.
func explore(disabled string, config lease.BudgetConfig, nodes int, b bounds) (states int, history []event, violation string) {
	type searchState struct {
		cluster *testCluster
		parent  int // index of the previous state, -1: none
		event   event
	}
	initial := newTestCluster(disabled, config, nodes)
	initial.maxOlderRequests = 1
	for _, p := range initial.processes {
		p.hasDemand = p.hasDemand || b.allHaveDemand
	}
	initial.settle(8)
	initial.elections, initial.messageLosses, initial.demandChanges = b.elections, b.messageLosses, b.demandChanges
	initial.regrants, initial.renewals, initial.requests = b.regrants, b.renewals, b.requests
	queue, seen, h := []searchState{{cluster: initial, parent: -1}}, map[uint64]bool{}, xxhash.New()
	for i := 0; i < len(queue) && i < maxStates; i++ {
		current := queue[i].cluster
		for _, e := range current.possibleEvents(b.steps) {
			next := current.clone()
			next.execute(e)
			if next.violation != "" {
				for history = []event{e}; queue[i].parent >= 0; i = queue[i].parent {
					history = append([]event{queue[i].event}, history...)
				}
				return len(seen), history, next.violation
			}
			if fingerprint := next.fingerprint(h); !seen[fingerprint] {
				seen[fingerprint] = true
				queue = append(queue, searchState{next, i, e})
			}
		}
		queue[i].cluster = nil
	}
	return len(seen), nil, ""
}

// No history of two nodes within small bounds exceeds the budget. A step is a quarter of a lease, so quotas are requested,
// granted and returned, and expire, within the bounds.
func TestExhaustiveHistoriesStayWithinBudget(t *testing.T) {
	for _, c := range []struct {
		config lease.BudgetConfig
		bounds
	}{
		{rateBudget, bounds{steps: 3, demandChanges: 1}},
		{rateBudget, bounds{steps: 3, renewals: 1, allHaveDemand: true}},
		{oneUnitBudget, bounds{steps: 4, demandChanges: 1, requests: 1}},
		{reservedRateBudget, bounds{steps: 2, elections: 1, demandChanges: 1}},
		{concurrencyBudget, bounds{steps: 3, demandChanges: 1, requests: 2}},
		{rateBudget, bounds{steps: 4, regrants: 1, allHaveDemand: true}},
		{rateBudget, bounds{steps: 3, elections: 1, allHaveDemand: true}},
	} {
		t.Run(fmt.Sprintf("%s %d/%d %+v", c.config.Kind, c.config.Units, c.config.ReservedPerNode, c.bounds), func(t *testing.T) {
			if testing.Short() {
				t.Skip("too many states for the race detector")
			}
			t.Parallel()
			states, history, violation := explore("", c.config, 2, c.bounds)
			t.Log(states, "states")
			if violation != "" || states >= maxStates {
				t.Errorf("explored %d states, violation %q after %v", states, violation, history)
			}
		})
	}
}

// With a safeguard disabled, the exploration finds a history that exceeds the budget. The test covers only safeguards whose
// absence shows in such short histories.
func TestExhaustiveHistoriesDetectDisabledSafeguard(t *testing.T) {
	for disabled, b := range map[string]bounds{noDriftMargin: {steps: 5, renewals: 1, allHaveDemand: true}, reuseEarly: {steps: 3, demandChanges: 1},
		forgetQuotas: {steps: 3, elections: 1, demandChanges: 1}, forgetInFlight: {steps: 4, demandChanges: 1, requests: 3}} {
		t.Run(disabled, func(t *testing.T) {
			t.Parallel()
			states, history, violation := explore(disabled, concurrencyBudget, 2, b)
			if t.Logf("explored %d states, violation %q after %v", states, violation, history); violation == "" {
				t.Errorf("no history exceeds the budget without safeguard %s", disabled)
			}
		})
	}
}

// executeRandom executes a random history, with larger bounds than explore can cover.
func executeRandom(disabled string, seed uint64, steps int) (c *testCluster, history []event) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	c = newTestCluster(disabled, []lease.BudgetConfig{rateBudget, concurrencyBudget, oneUnitBudget, reservedRateBudget}[rnd.IntN(4)], 2+rnd.IntN(2))
	c.demandChanges, c.regrants, c.renewals, c.requests, c.maxOlderRequests = 10, 5, 1<<20, 80, 2
	if rnd.IntN(2) == 0 { // otherwise there are no elections and no lost messages
		c.elections, c.messageLosses = 6, 20
	}
	for range steps {
		events := c.possibleEvents(1 << 20)
		e := events[rnd.IntN(len(events))]
		if e.kind == finishRequest && rnd.IntN(8) > 0 { // requests last for several events
			continue
		}
		if rare := e.kind == electLeader || e.kind == loseMessage || e.kind == eventTick || e.kind == changeDemand; rare && rnd.IntN(3) > 0 {
			e = events[rnd.IntN(len(events))]
		}
		c.execute(e)
		if history = append(history, e); c.violation != "" {
			break
		}
	}
	return c, history
}

func TestRandomHistoriesStayWithinBudget(t *testing.T) {
	tokens, runs := uint64(0), uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		c, history := executeRandom("", rapid.Uint64().Draw(t, "seed"), 300)
		runs++
		if tokens += c.committed.LastToken; c.violation != "" {
			t.Fatalf("violation %q after %v", c.violation, history)
		}
	})
	if tokens < 5*runs {
		t.Errorf("%d quota tokens granted in %d histories, too few to verify anything", tokens, runs)
	}
}

// With any one safeguard disabled, some random history exceeds the budget. Otherwise TestRandomHistoriesStayWithinBudget could
// pass without the safeguard.
func TestRandomHistoriesDetectDisabledSafeguard(t *testing.T) {
	for _, disabled := range safeguards {
		t.Run(disabled, func(t *testing.T) {
			for seed := range uint64(3_000) {
				if c, history := executeRandom(disabled, seed, 400); c.violation != "" {
					t.Logf("seed %d, %d events: %s", seed, len(history), c.violation)
					return
				}
			}
			t.Errorf("no history exceeds the budget without safeguard %s", disabled)
		})
	}
}
