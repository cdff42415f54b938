package budget

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/thistlerudder/thistlerudder/lease"
)

// minTurn is how long a node keeps its unit where there are fewer units than nodes that want one.
const minTurn = 500 * lease.Millisecond

// turn is the history of one node's quota of a budget.
type turn struct {
	holds        bool // it has units
	since        Time // when it last came to have units
	waitingSince Time // when it last came to have none
}

// phase orders nodes that take turns.
type phase int

const (
	turnRunning phase = iota // has had its unit for less than minTurn
	turnWaited
	turnOver
)

func (t turn) phase(now Time) phase {
	switch {
	case t.holds && now < t.since+minTurn:
		return turnRunning
	case !t.holds:
		return turnWaited
	}
	return turnOver
}

// compareTurns orders by phase, then those that wait by how long they have, and those that hold units by how recently they
// came to have them.
func compareTurns(now Time, a, b turn) int {
	if byPhase := cmp.Compare(a.phase(now), b.phase(now)); byPhase != 0 {
		return byPhase
	}
	if a.holds {
		return cmp.Compare(b.since, a.since)
	}
	return cmp.Compare(a.waitingSince, b.waitingSince)
}

// updateTurns notes which nodes have come to have units of a budget, or to have none, since the last division.
func (a *Allocator) updateTurns(now Time, d *division) {
	turns := a.turns[d.name]
	if turns == nil {
		turns = map[string]turn{}
		a.turns[d.name] = turns
	}
	for i, l := range d.leases {
		t, known := turns[l]
		holds := d.claims[i].units > 0
		switch {
		case holds && !t.holds:
			t.since = now
		case !holds && t.holds || !known:
			t.waitingSince = now
		}
		t.holds = holds
		turns[l] = t
	}
	maps.DeleteFunc(turns, func(l string, _ turn) bool {
		_, found := slices.BinarySearch(d.leases, l)
		return !found
	})
}

// targetsByTurn gives a unit to as many nodes as there are units for: to those whose turn runs, then to those that have
// waited longest. It ranks the claims in this order.
func (a *Allocator) targetsByTurn(now Time, d *division) []int {
	turns := a.turns[d.name]
	order := sortedIndices(len(d.leases), func(i, j int) int {
		return compareTurns(now, turns[d.leases[i]], turns[d.leases[j]])
	})
	for rank, i := range order {
		d.claims[i].rank = rank
		d.claims[i].demand = min(d.claims[i].demand, 1)
	}
	a.retryAt = min(nextTurnEnd(now, d.leases, turns), now+minTurn/2)
	return maxMinShares(d.units(), d.claims)
}

// nextTurnEnd returns when the first of the running turns ends, math.MaxInt64 if none does. A node that is alone has no
// other to make room for.
func nextTurnEnd(now Time, leases []string, turns map[string]turn) Time {
	end := Time(math.MaxInt64)
	if len(leases) == 1 {
		return end
	}
	for _, l := range leases {
		if t := turns[l]; t.phase(now) == turnRunning {
			end = min(end, t.since+minTurn)
		}
	}
	return end
}
