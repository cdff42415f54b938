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
	result := make([]int, len(claims))
	unsatisfied := demandingClaims(claims)
	weights := 0.0
	for _, i := range unsatisfied {
		weights += claims[i].weight
	}
	left := float64(units)
	level := 0.0 // units for each unit of weight
	for len(unsatisfied) > 0 {
		i := unsatisfied[0]
		c := claims[i]
		level = left / weights
		if float64(c.demand) > level*c.weight {
			break
		}
		result[i] = c.demand
		left -= float64(c.demand)
		weights -= c.weight
		unsatisfied = unsatisfied[1:]
	}
	if len(unsatisfied) == 0 {
		return result
	}
	rounding := int(math.Round(left)) // whole but for the float arithmetic
	for _, i := range unsatisfied {
		result[i] = int(level * claims[i].weight)
		rounding -= result[i]
	}
	slices.SortFunc(unsatisfied, func(i, j int) int { return cmp.Compare(claims[i].rank, claims[j].rank) })
	for _, i := range unsatisfied {
		if rounding > 0 && result[i] < claims[i].demand {
			result[i]++
			rounding--
		}
	}
	return result
}

// demandingClaims returns the indices of claims with any demand, the lowest demand for their weight first.
func demandingClaims(claims []claim) []int {
	all := make([]int, 0, len(claims))
	for i, c := range claims {
		if c.demand > 0 {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(i, j int) int {
		a, b := claims[i], claims[j]
		byDemand := cmp.Compare(float64(a.demand)/a.weight, float64(b.demand)/b.weight)
		return cmp.Or(byDemand, cmp.Compare(a.rank, b.rank))
	})
	return all
}

// keepSmallSurpluses keeps a division from oscillating: a node with slightly more than its target keeps the surplus,
// unless the free units don't cover what others lack by more than slightly.
func keepSmallSurpluses(units int, claims []claim, target []int) {
	free, lacking := units, 0
	for i, c := range claims {
		free -= c.units
		if lack := target[i] - c.units; lack > c.units/surplusFraction {
			lacking += lack
		}
	}
	if lacking > free {
		return
	}
	for i, c := range claims {
		surplus := c.units - target[i]
		if surplus > 0 && surplus <= max(1, c.units/surplusFraction) {
			target[i] = c.units
		}
	}
}
