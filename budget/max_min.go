package budget

import (
	"cmp"
	"math"
	"slices"
)

// surplusFraction: a surplus of one in so many of a node's units isn't worth taking from it.
const surplusFraction = 16

// claim is what one node brings to a division.
type claim struct {
	demand int     // units that it can use
	weight float64 // relative to the other claims, above 0
	units  int     // units that it has
	rank   int     // lower ones come first where single units are left over
}

// maxMinShares divides units by weighted max-min fairness: no claim gets more than its demand, and what a satisfied claim
// leaves goes to the others by weight. The units left over by rounding go one each, by rank.
func maxMinShares(units int, claims []claim) []int {
	shares := make([]int, len(claims))
	unsatisfied := demandingClaims(claims)
	totalWeight := 0.0
	for _, i := range unsatisfied {
		totalWeight += claims[i].weight
	}
	remaining := float64(units)
	unitsPerWeight := 0.0 // units for each unit of weight
	for len(unsatisfied) > 0 {
		i := unsatisfied[0]
		c := claims[i]
		unitsPerWeight = remaining / totalWeight
		if float64(c.demand) > unitsPerWeight*c.weight {
			break
		}
		shares[i] = c.demand
		remaining -= float64(c.demand)
		totalWeight -= c.weight
		unsatisfied = unsatisfied[1:]
	}
	if len(unsatisfied) == 0 {
		return shares
	}
	leftover := int(math.Round(remaining)) // whole but for the float arithmetic
	for _, i := range unsatisfied {
		shares[i] = int(unitsPerWeight * claims[i].weight)
		leftover -= shares[i]
	}
	slices.SortFunc(unsatisfied, func(i, j int) int { return cmp.Compare(claims[i].rank, claims[j].rank) })
	for _, i := range unsatisfied {
		if leftover > 0 && shares[i] < claims[i].demand {
			shares[i]++
			leftover--
		}
	}
	return shares
}

// demandingClaims returns the indices of claims with any demand, the lowest demand for their weight first.
func demandingClaims(claims []claim) []int {
	indices := make([]int, 0, len(claims))
	for i, c := range claims {
		if c.demand > 0 {
			indices = append(indices, i)
		}
	}
	slices.SortFunc(indices, func(i, j int) int {
		a, b := claims[i], claims[j]
		byDemand := cmp.Compare(float64(a.demand)/a.weight, float64(b.demand)/b.weight)
		return cmp.Or(byDemand, cmp.Compare(a.rank, b.rank))
	})
	return indices
}

// keepSmallSurpluses keeps a division from oscillating: a node with slightly more than its target keeps the surplus,
// unless the free units don't cover what others lack by more than slightly.
func keepSmallSurpluses(units int, claims []claim, targets []int) {
	free, totalShortfall := units, 0
	for i, c := range claims {
		free -= c.units
		if shortfall := targets[i] - c.units; shortfall > c.units/surplusFraction {
			totalShortfall += shortfall
		}
	}
	if totalShortfall > free {
		return
	}
	for i, c := range claims {
		surplus := c.units - targets[i]
		if surplus > 0 && surplus <= max(1, c.units/surplusFraction) {
			targets[i] = c.units
		}
	}
}
