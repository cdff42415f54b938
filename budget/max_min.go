// Package budget divides what a fleet may do together among its nodes, in whole units, and anew as their demand moves and
// they come and go. It does no I/O and knows no clock of its own. What is out is agreed on in lease.State; Divider is what
// the voters' leader keeps in mind beside it, Purse is a node's side. docs/budgets.md says what is promised,
// docs/design-budgets.md why so.
package budget

import (
	"cmp"
	"math"
	"slices"
)

// claim is one node's, at a division.
type claim struct {
	want   int     // units that it can use
	weight float64 // beside the others', above 0
	has    int     // units that it holds
	rank   int     // lower ones come first where single units are left over
}

// shares divides so many units by weighted max-min: nobody gets more than it wants, and what one leaves goes to the others
// by their weights. What is left over of the rounding goes one by one, by rank.
func shares(units int, claims []claim) []int {
	out := make([]int, len(claims))
	open := make([]int, 0, len(claims))
	for i, c := range claims {
		if c.want > 0 {
			open = append(open, i)
		}
	}
	slices.SortFunc(open, func(x, y int) int {
		a, b := claims[x], claims[y]
		return cmp.Or(cmp.Compare(float64(a.want)/a.weight, float64(b.want)/b.weight), cmp.Compare(a.rank, b.rank))
	})
	weights := 0.0
	for _, i := range open {
		weights += claims[i].weight
	}
	left, level := float64(units), 0.0
	for n, i := range open {
		c := claims[i]
		if level = left / weights; float64(c.want) > level*c.weight {
			open = open[n:]
			break
		}
		out[i], left, weights = c.want, left-float64(c.want), weights-c.weight
		if n == len(open)-1 {
			return out // all have what they want
		}
	}
	if len(open) == 0 {
		return out
	}
	rest := int(math.Round(left)) // a whole number but for the arithmetic
	for _, i := range open {
		out[i] = int(level * claims[i].weight)
		rest -= out[i]
	}
	slices.SortFunc(open, func(x, y int) int { return cmp.Compare(claims[x].rank, claims[y].rank) })
	for _, i := range open {
		if rest > 0 && out[i] < claims[i].want {
			out[i]++
			rest--
		}
	}
	return out
}

// steady keeps a division from swinging: who has a little more than its share keeps that, unless another lacks more than a
// little.
func steady(units int, claims []claim, target []int) {
	free, lack := units, 0
	for i, c := range claims {
		free -= c.has
		if short := target[i] - c.has; short > c.has/bandPart {
			lack += short
		}
	}
	for i, c := range claims {
		if over := c.has - target[i]; over > 0 && over <= max(1, c.has/bandPart) && lack <= free {
			target[i] = c.has
		}
	}
}

const bandPart = 16 // a sixteenth of a part: less isn't worth taking from another
