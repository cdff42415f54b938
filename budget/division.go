package budget

import (
	"cmp"
	"maps"
	"slices"

	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	// The reserve for nodes without units is 1/reserveFraction of the allocatable units.
	reserveFraction = 50
	// A budget has no reserve if it has less than reserveMinPerNode allocatable units for each node, plus reserveFraction
	// units.
	reserveMinPerNode = 2
	// Moves of at most 1/smallMoveFraction of a budget's allocatable units count as small.
	smallMoveFraction = 32
)

// division computes the moves of one budget at one time.
//
// Invariant: its moves never raise the sum of all quotas above the budget's units. If the budget was lowered and the sum is
// above already, the moves don't raise it further. Only grow raises quotas, and only by units that no node may be using.
type division struct {
	allocator      *Allocator
	name           string
	budget         *lease.Budget
	reserve        int      // units held back for nodes without units
	leaseNames     []string // leases of all nodes that have a quota or have sent a request, sorted
	claims         []claim  // by index in leaseNames
	demandingNodes int      // number of claims with demand
	targets        []int    // units that each node should have, by index in leaseNames

	moves    []lease.QuotaChange
	shrinkTo map[string]int // units that nodes have to shrink their usage to, by lease name
}

// divide divides all budgets. It proposes one log entry with all moves if the rate limit of such entries allows it.
func (a *Allocator) divide(now Time) {
	a.stale = false
	a.nextDivision = now + divisionInterval
	a.redivideTime = 0
	size := noMove
	names := slices.Sorted(maps.Keys(a.state.Budgets))
	divisions := make([]*division, len(names))
	for i, name := range names {
		divisions[i] = a.divideBudget(now, name)
		size = max(size, divisions[i].moveSize())
	}
	allowed := a.mayMove(now, size)
	var moves []lease.QuotaChange
	for _, d := range divisions {
		if allowed {
			moves = append(moves, d.moves...)
		}
		if allowed || d.isOverAllocated() { // after a budget was lowered, nodes give units back without waiting for a log entry
			a.setShrinkTargets(d)
		}
	}
	if len(moves) > 0 {
		a.moveRate.spend(now, size)
		a.propose(lease.Entry{Kind: lease.KindMoveQuotas, Moves: moves})
	}
	a.notifyAllNodes()
}

// mayMove reports whether a log entry with moves of this size may be proposed now. If the rate limit forbids it, mayMove sets
// the time to try again.
func (a *Allocator) mayMove(now Time, size moveSize) bool {
	earliest := a.moveRate.earliestEntryTime(now, size, len(a.nodes))
	if size == noMove {
		return false
	}
	if now < earliest {
		a.redivideTime = earliest
		return false
	}
	return true
}

// setShrinkTargets replaces the shrink targets of all nodes for one budget.
func (a *Allocator) setShrinkTargets(d *division) {
	for _, n := range a.nodes {
		delete(n.shrinkTo, d.name)
	}
	for leaseName, units := range d.shrinkTo {
		a.nodes[leaseName].shrinkTo[d.name] = units
	}
}

// divideBudget computes the moves and shrink targets of one budget. It removes returned units from the quotas of the nodes
// that returned them, sets a shrink target for nodes above their target, and gives free units to nodes below their target.
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

// leaseNames returns the leases of all nodes that have a quota of a budget or have sent a request in this term, sorted.
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

// reserveUnits returns how many units of a budget are held back for nodes without units.
func reserveUnits(b *lease.Budget, nodes int) int {
	allocatable := b.Allocatable()
	if allocatable < reserveMinPerNode*nodes+reserveFraction {
		return 0
	}
	return allocatable / reserveFraction
}

// divisibleUnits returns the allocatable units without the reserve.
func (d *division) divisibleUnits() int { return d.budget.Allocatable() - d.reserve }

// isOverAllocated reports whether more units are allocated than the budget has, which happens when the budget is lowered.
func (d *division) isOverAllocated() bool { return d.budget.Allocated() > d.budget.Allocatable() }

// collectClaims sets the claim of each node, and adds a move for each node that has returned units. A node that hasn't sent a
// request in this term claims the units of its quota.
func (d *division) collectClaims() {
	minDemand := 0
	if d.budget.ReservedPerNode == 0 && d.divisibleUnits() >= len(d.leaseNames) {
		minDemand = 1 // an idle node then has a unit for its first requests
	}
	for i, leaseName := range d.leaseNames {
		quota := d.budget.Quotas[leaseName]
		c := claim{demand: quota.Units, weight: 1, units: quota.Units, rank: i}
		if n := d.allocator.nodes[leaseName]; n != nil {
			report := n.reports[d.name]
			c.demand = max(report.Demand-d.budget.ReservedPerNode, minDemand)
			c.weight = n.weight
			if d.isCurrent(report, quota) && report.Units < quota.Units {
				c.units = max(0, report.Units)
				d.addMove(leaseName, c.units)
			}
		}
		if c.demand > 0 {
			d.demandingNodes++
		}
		d.claims[i] = c
	}
}

// isCurrent reports whether a report refers to the current quota of the node. An older report doesn't cover units that were
// added to the quota later.
func (d *division) isCurrent(report Report, quota lease.Quota) bool {
	return quota.Token != 0 && (report.Token == quota.Token || d.allocator.unsafe.AcceptStaleReports)
}

// addMove adds a move that sets the quota of a node. The node must have sent a request in this term.
func (d *division) addMove(leaseName string, units int) {
	d.moves = append(d.moves, lease.QuotaChange{
		Budget:    d.name,
		Lease:     leaseName,
		Token:     d.allocator.nodes[leaseName].token,
		FromToken: d.budget.Quotas[leaseName].Token,
		Units:     units,
	})
}

// shrink sets a shrink target for each node above its target. The surplus counts as free only once the node has reported
// that it no longer uses it.
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

// grow gives free units to nodes below their target. Nodes without units come first, and only they may take units from the
// reserve.
func (d *division) grow() {
	free := d.freeUnits()
	for _, i := range d.growOrder() {
		leaseName, c := d.leaseNames[i], d.claims[i]
		available := free
		if c.units > 0 {
			available -= d.reserve
		}
		increase := min(d.targets[i]-c.units, available)
		if d.allocator.nodes[leaseName] == nil || increase <= 0 || d.hasMove(leaseName) { // at most one move per node in a division
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

// growOrder returns the indices of the claims sorted by rank, with those of nodes without units first.
func (d *division) growOrder() []int {
	return sortedIndices(len(d.claims), func(i, j int) int {
		a, b := d.claims[i], d.claims[j]
		return cmp.Or(cmp.Compare(min(1, a.units), min(1, b.units)), cmp.Compare(a.rank, b.rank))
	})
}

func (d *division) hasMove(leaseName string) bool {
	return slices.ContainsFunc(d.moves, func(m lease.QuotaChange) bool { return m.Lease == leaseName })
}

// moveSize classifies the difference between the nodes' units and their targets.
func (d *division) moveSize() moveSize {
	difference, nodeWithoutUnits := 0, false
	for i, c := range d.claims {
		difference += max(d.targets[i]-c.units, c.units-d.targets[i])
		nodeWithoutUnits = nodeWithoutUnits || c.units == 0 && d.targets[i] > 0
	}
	// A unit that moves counts twice in the difference: once for the node that gives it and once for the node that gets it.
	largeDifference := 2 * (d.budget.Allocatable() / smallMoveFraction)
	switch {
	case nodeWithoutUnits || difference > largeDifference || d.isOverAllocated():
		return largeMove
	case len(d.moves) > 0 || len(d.shrinkTo) > 0:
		return smallMove
	}
	return noMove
}

// computeTargets returns how many units each node should have. If there are fewer units than nodes with demand, the nodes
// take turns. Otherwise each node with demand gets one unit, and the remaining units are divided by weighted max-min
// fairness.
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

// sortedIndices returns the integers from 0 to n-1, sorted by compare with a stable sort.
func sortedIndices(n int, compare func(i, j int) int) []int {
	indices := make([]int, n)
	for i := range indices {
		indices[i] = i
	}
	slices.SortStableFunc(indices, compare)
	return indices
}
