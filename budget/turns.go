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
	hasUnits     bool // it has units
	acquiredAt   Time // when it last came to have units
	waitingSince Time // when it last came to have none
}

// phase orders nodes that take turns.
type phase int

const (
	turnRunning phase = iota // has had its unit for less than minTurn
	turnWaiting
	turnExpired
)

func (t turn) phase(now Time) phase {
	switch {
	case t.hasUnits && now < t.acquiredAt+minTurn:
		return turnRunning
	case !t.hasUnits:
		return turnWaiting
	}
	return turnExpired
}

// compareTurns orders by phase, then those that wait by how long they have, and those that hold units by how recently they
// came to have them.
func compareTurns(now Time, a, b turn) int {
	if byPhase := cmp.Compare(a.phase(now), b.phase(now)); byPhase != 0 {
		return byPhase
	}
	if a.hasUnits {
		return cmp.Compare(b.acquiredAt, a.acquiredAt)
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
	for i, leaseName := range d.leaseNames {
		t, known := turns[leaseName]
		hasUnits := d.claims[i].units > 0
		switch {
		case hasUnits && !t.hasUnits:
			t.acquiredAt = now
		case !hasUnits && t.hasUnits || !known:
			t.waitingSince = now
		}
		t.hasUnits = hasUnits
		turns[leaseName] = t
	}
	maps.DeleteFunc(turns, func(leaseName string, _ turn) bool {
		_, found := slices.BinarySearch(d.leaseNames, leaseName)
		return !found
	})
}

// computeTurnTargets gives a unit to as many nodes as there are units for: to those whose turn runs, then to those that have
// waited longest. It ranks the claims in this order.
func (a *Allocator) computeTurnTargets(now Time, d *division) []int {
	turns := a.turns[d.name]
	order := sortedIndices(len(d.leaseNames), func(i, j int) int {
		return compareTurns(now, turns[d.leaseNames[i]], turns[d.leaseNames[j]])
	})
	for rank, i := range order {
		d.claims[i].rank = rank
		d.claims[i].demand = min(d.claims[i].demand, 1)
	}
	a.retryTime = min(nextTurnEnd(now, d.leaseNames, turns), now+minTurn/2)
	return maxMinShares(d.divisibleUnits(), d.claims)
}

// nextTurnEnd returns when the first of the running turns ends, math.MaxInt64 if none does. A node that is alone has no
// other to make room for.
func nextTurnEnd(now Time, leaseNames []string, turns map[string]turn) Time {
	end := Time(math.MaxInt64)
	if len(leaseNames) == 1 {
		return end
	}
	for _, leaseName := range leaseNames {
		if t := turns[leaseName]; t.phase(now) == turnRunning {
			end = min(end, t.acquiredAt+minTurn)
		}
	}
	return end
}
