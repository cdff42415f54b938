package budget

import (
	"cmp"
	"math"
	"slices"
)

// A node keeps a surplus of one unit, or of up to 1/surplusFraction of its units.
const surplusFraction = 16

// claim is the input of one node to a division.
type claim struct {
	demand int     // units that the node can use
	weight float64 // weight relative to the other claims, above 0
	units  int     // units that the node has
	rank   int     // claims of lower rank come first when single units remain after rounding
}

// maxMinShares divides units by weighted max-min fairness. No claim gets more than its demand. Units that satisfied claims
// don't need are divided among the other claims by weight. Units that remain after rounding down go to these claims one
// each, by rank.
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
	leftover := int(math.Round(remaining)) // an integer except for floating-point errors
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

// demandingClaims returns the indices of the claims with demand, sorted by demand per weight, lowest first.
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

// keepSmallSurpluses prevents oscillation between divisions. It raises the target of a node that has slightly more units than
// its target, so that the node keeps the surplus. It changes nothing if the free units don't cover the total shortfall of the
// nodes that are more than slightly below their target.
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
