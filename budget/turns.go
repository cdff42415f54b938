package budget

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/thistlerudder/thistlerudder/lease"
)

// minTurn is the minimum time for which a node keeps its unit while nodes take turns. They do so if a budget has fewer units than
// nodes with demand.
const minTurn = 500 * lease.Millisecond

// turn records when a node last acquired or lost its units of a budget.
type turn struct {
	hasUnits     bool
	acquiredAt   Time // time of the division that last gave the node units after it had none
	waitingSince Time // time of the division that took the node's last unit, or that first included the node, without units
}

// phase is the state of a node's turn. Nodes in a lower phase get units before those in a higher one.
type phase int

const (
	turnRunning phase = iota // has had units for less than minTurn
	turnWaiting              // has no units
	turnExpired              // has had units for minTurn or longer
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

// compareTurns orders nodes by phase. Within a phase, nodes without units are ordered by waiting time, longest first, and
// nodes with units by the time at which they acquired them, latest first.
func compareTurns(now Time, a, b turn) int {
	if byPhase := cmp.Compare(a.phase(now), b.phase(now)); byPhase != 0 {
		return byPhase
	}
	if a.hasUnits {
		return cmp.Compare(b.acquiredAt, a.acquiredAt)
	}
	return cmp.Compare(a.waitingSince, b.waitingSince)
}

// updateTurns records which nodes have acquired units of a budget, or have lost all of them, since the last division. It
// removes the records of nodes that are no longer part of the division.
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

// computeTurnTargets returns a target of one unit for as many nodes as there are units. Nodes whose turn is running come
// first, then those without units, longest wait first, then those whose turn has expired. It sets the claims' ranks to this
// order, limits their demand to one unit, and sets redivideTime to the earliest end of a running turn, but to minTurn/2 from now at
// the latest.
func (a *Allocator) computeTurnTargets(now Time, d *division) []int {
	turns := a.turns[d.name]
	order := sortedIndices(len(d.leaseNames), func(i, j int) int {
		return compareTurns(now, turns[d.leaseNames[i]], turns[d.leaseNames[j]])
	})
	for rank, i := range order {
		d.claims[i].rank = rank
		d.claims[i].demand = min(d.claims[i].demand, 1)
	}
	a.redivideTime = min(nextTurnEnd(now, d.leaseNames, turns), now+minTurn/2)
	return maxMinShares(d.divisibleUnits(), d.claims)
}

// nextTurnEnd returns the earliest end of the running turns, or math.MaxInt64 if no turn is running. With a single node
// it returns math.MaxInt64 too, because no other node waits for the unit.
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
