package budget

import (
	"cmp"
	"maps"
	"slices"

	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	reserveFraction   = 50 // one in so many allocatable units is held back for nodes that have none,
	reserveMinPerNode = 2  // unless that leaves less than so many units for each node
	smallMoveFraction = 32 // moves of less than one in so many of a budget's units are small
)

// division is the work of dividing one budget once.
//
// Invariant: after its moves the quotas of all nodes together are no more than the budget has, or no more than before if the
// budget was lowered. Only grow raises quotas, and only by units that no node may be using.
type division struct {
	allocator      *Allocator
	name           string
	budget         *lease.Budget
	reserve        int      // units held back for nodes that have none
	leaseNames     []string // of all nodes that have or may have a quota, sorted
	claims         []claim  // one for each lease
	demandingNodes int      // how many of them want any units
	targets        []int    // units that each should have

	moves    []lease.QuotaMove
	shrinkTo map[string]int // units that nodes have to come down to, by lease
}

// divide divides all budgets, and proposes one entry for all moves if the rate of entries allows it.
func (a *Allocator) divide(now Time) {
	a.stale = false
	a.nextDivision = now + divisionInterval
	a.retryTime = 0
	size := noMove
	names := slices.Sorted(maps.Keys(a.state.Budgets))
	divisions := make([]*division, len(names))
	for i, name := range names {
		divisions[i] = a.divideBudget(now, name)
		size = max(size, divisions[i].moveSize())
	}
	allowed := a.mayMove(now, size)
	var moves []lease.QuotaMove
	for _, d := range divisions {
		if allowed {
			moves = append(moves, d.moves...)
		}
		if allowed || d.isOverAllocated() { // nodes give back what a lowered budget lacks without waiting for an entry
			a.setShrinkTargets(d)
		}
	}
	if len(moves) > 0 {
		a.moveRate.spend(now, size)
		a.propose(lease.Entry{Kind: lease.KindMoveQuotas, Moves: moves})
	}
	a.notifyAllNodes()
}

// mayMove reports whether an entry for moves of this size may be proposed now; if not, it sets the time to try again.
func (a *Allocator) mayMove(now Time, size moveSize) bool {
	earliest := a.moveRate.earliestEntryTime(now, size, len(a.nodes))
	if size == noMove {
		return false
	}
	if now < earliest {
		a.retryTime = earliest
		return false
	}
	return true
}

// setShrinkTargets replaces the nodes' shrink targets of one budget.
func (a *Allocator) setShrinkTargets(d *division) {
	for _, n := range a.nodes {
		delete(n.shrinkTo, d.name)
	}
	for leaseName, units := range d.shrinkTo {
		a.nodes[leaseName].shrinkTo[d.name] = units
	}
}

// divideBudget works out the moves of one budget: it takes off the nodes what they have given back, gives free units to
// those below their target, and asks those above it to come down.
func (a *Allocator) divideBudget(now Time, name string) *division {
	b := a.state.Budgets[name]
	leaseNames := a.leaseNames(b)
	d := &division{allocator: a, name: name, budget: b, leaseNames: leaseNames, shrinkTo: map[string]int{}}
	d.reserve = reserveUnits(b, len(leaseNames))
	a.reserves[name] = d.reserve
	d.claims = make([]claim, len(leaseNames))
	d.collectClaims()
	a.updateTurns(now, d)
	d.targets = a.computeTargets(now, d)
	d.shrink()
	d.grow()
	return d
}

// leaseNames returns the leases of all nodes that have or may have a quota of a budget, sorted.
func (a *Allocator) leaseNames(b *lease.Budget) []string {
	names := map[string]bool{}
	for name := range b.Quotas {
		names[name] = true
	}
	for name := range a.nodes {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// reserveUnits returns how many units of a budget are held back for nodes that have none.
func reserveUnits(b *lease.Budget, nodes int) int {
	allocatable := b.Allocatable()
	if allocatable < reserveMinPerNode*nodes+reserveFraction {
		return 0
	}
	return allocatable / reserveFraction
}

// divisibleUnits returns what can be divided beside the reserve.
func (d *division) divisibleUnits() int { return d.budget.Allocatable() - d.reserve }

// isOverAllocated reports whether more is allocated than there is, as after the budget was lowered.
func (d *division) isOverAllocated() bool { return d.budget.Allocated() > d.budget.Allocatable() }

// collectClaims makes the claim of each node, and a move for each that has given units back. A node that hasn't reported
// in this term claims what it has.
func (d *division) collectClaims() {
	minDemand := 0
	if d.budget.ReservedPerNode == 0 && d.divisibleUnits() >= len(d.leaseNames) {
		minDemand = 1 // an idle node then has a unit to begin with
	}
	for i, leaseName := range d.leaseNames {
		quota := d.budget.Quotas[leaseName]
		c := claim{demand: quota.Units, weight: 1, units: quota.Units, rank: i}
		if n := d.allocator.nodes[leaseName]; n != nil {
			h := n.holdings[d.name]
			c.demand = max(h.Demand-d.budget.ReservedPerNode, minDemand)
			c.weight = n.weight
			if d.isCurrent(h, quota) && h.Units < quota.Units {
				c.units = max(0, h.Units)
				d.addMove(leaseName, c.units)
			}
		}
		if c.demand > 0 {
			d.demandingNodes++
		}
		d.claims[i] = c
	}
}

// isCurrent reports whether a holding speaks of the quota that the node has now. An older report says nothing about units
// that were given since.
func (d *division) isCurrent(h Holding, quota lease.Quota) bool {
	return quota.Token != 0 && (h.Token == quota.Token || d.allocator.unsafe.AcceptStaleReports)
}

// addMove sets the units of a node that is in contact.
func (d *division) addMove(leaseName string, units int) {
	d.moves = append(d.moves, lease.QuotaMove{
		Budget:    d.name,
		Lease:     leaseName,
		Token:     d.allocator.nodes[leaseName].token,
		FromToken: d.budget.Quotas[leaseName].Token,
		Units:     units,
	})
}

// shrink asks nodes above their target to come down. Their units count as free only once they have reported that.
func (d *division) shrink() {
	for i, leaseName := range d.leaseNames {
		if d.allocator.nodes[leaseName] == nil || d.targets[i] >= d.claims[i].units {
			continue
		}
		d.shrinkTo[leaseName] = d.targets[i]
		if d.allocator.unsafe.ReuseUnreturned {
			d.addMove(leaseName, d.targets[i])
		}
	}
}

// grow gives free units to nodes below their target. Nodes without any come first, and only they may use the reserve.
func (d *division) grow() {
	free := d.freeUnits()
	for _, i := range d.growOrder() {
		leaseName, c := d.leaseNames[i], d.claims[i]
		available := free
		if c.units > 0 {
			available -= d.reserve
		}
		increase := min(d.targets[i]-c.units, available)
		if d.allocator.nodes[leaseName] == nil || increase <= 0 || d.hasMove(leaseName) { // one move for each node and division
			continue
		}
		free -= increase
		d.addMove(leaseName, c.units+increase)
	}
}

// freeUnits returns the allocatable units that no node may use.
func (d *division) freeUnits() int {
	free := d.budget.Allocatable()
	for i, c := range d.claims {
		free -= c.units
		if _, ok := d.shrinkTo[d.leaseNames[i]]; ok && d.allocator.unsafe.ReuseUnreturned {
			free += c.units - d.targets[i]
		}
	}
	return free
}

// growOrder returns the indices of the claims: those of nodes without units first, each group by rank.
func (d *division) growOrder() []int {
	return sortedIndices(len(d.claims), func(i, j int) int {
		a, b := d.claims[i], d.claims[j]
		return cmp.Or(cmp.Compare(min(1, a.units), min(1, b.units)), cmp.Compare(a.rank, b.rank))
	})
}

func (d *division) hasMove(leaseName string) bool {
	return slices.ContainsFunc(d.moves, func(m lease.QuotaMove) bool { return m.Lease == leaseName })
}

// moveSize says how much has to be moved.
func (d *division) moveSize() moveSize {
	difference, newcomer := 0, false
	for i, c := range d.claims {
		difference += max(d.targets[i]-c.units, c.units-d.targets[i])
		newcomer = newcomer || c.units == 0 && d.targets[i] > 0
	}
	largeDifference := 2 * (d.budget.Allocatable() / smallMoveFraction) // a unit that moves counts twice: where it is missing, and where it is too much
	switch {
	case newcomer || difference > largeDifference || d.isOverAllocated():
		return largeMove
	case len(d.moves) > 0 || len(d.shrinkTo) > 0:
		return smallMove
	}
	return noMove
}

// computeTargets returns how many units each node should have. Where there are fewer units than nodes that want one, the nodes
// take turns; else each that wants any has one, and the rest is divided by weighted max-min.
func (a *Allocator) computeTargets(now Time, d *division) []int {
	if d.divisibleUnits() < d.demandingNodes {
		return a.computeTurnTargets(now, d)
	}
	units := d.divisibleUnits()
	base := make([]int, len(d.claims))
	remaining := slices.Clone(d.claims)
	for i := range remaining {
		base[i] = min(1, remaining[i].demand)
		remaining[i].demand -= base[i]
		units -= base[i]
	}
	targets := maxMinShares(units, remaining)
	for i := range targets {
		targets[i] += base[i]
	}
	keepSmallSurpluses(d.divisibleUnits(), d.claims, targets)
	return targets
}

// sortedIndices returns 0 to n-1 in the order of compare, a stable one.
func sortedIndices(n int, compare func(i, j int) int) []int {
	indices := make([]int, n)
	for i := range indices {
		indices[i] = i
	}
	slices.SortStableFunc(indices, compare)
	return indices
}
