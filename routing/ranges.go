package routing

// This file holds the line of bins, what is learned of the demand on it, and the ranges that it is cut into.

import (
	"math"
	"sort"
)

// learn fades all bins and adds alpha at the lookup's own, lazily. In steady demand all that was seen weighs alike, so
// that nodes come to cut alike; by less than the bound on alpha nothing is learned.
func (b *Balancer) learn(point float64) {
	n := float64(max(1, len(b.ready)))
	b.seen, b.lately = b.seen+1, b.lately+1
	b.alpha = max(alphaFloor, min(1/b.seen, 1/(4*n*n)))
	b.late[int(point)*klGroups/bins]++
	b.fade *= 1 - b.alpha
	b.weight[int(point)] += b.alpha / b.fade
	if b.fade < fadeFloor {
		for i := range b.weight {
			b.weight[i] *= b.fade
		}
		b.fade = 1
	}
}

// adapt doubles alpha for each klStep by which the latest lookups diverge from the histogram, beyond chance.
func (b *Balancer) adapt() {
	kl := (1 - klGroups) / max(1, b.lately) // chance alone gives half of that in the mean
	for g, n := range b.late {
		p := 0.0
		for _, w := range b.weight[g*bins/klGroups : (g+1)*bins/klGroups] {
			p += w * b.fade
		}
		if n > 0 && p > 0 { // all of a group may have faded away
			kl += n / b.lately * math.Log(n/b.lately/p)
		}
		b.late[g] = n / 2
	}
	b.seen, b.lately = math.Ldexp(b.seen, -int(max(0, kl)/klStep)), b.lately/2
}

// recut lays the cuts at equal shares of the sum, interpolated inside bins.
func (b *Balancer) recut() {
	b.cutDue = b.now + recutSpan
	n := len(b.ready)
	b.cuts = b.cuts[:0]
	sum := 0.0
	for _, w := range b.weight {
		sum += w
	}
	run := 0.0
	for i, w := range b.weight {
		for len(b.cuts) < n-1 && run+w >= sum*float64(len(b.cuts)+1)/float64(n) {
			b.cuts = append(b.cuts, float64(i)+(sum*float64(len(b.cuts)+1)/float64(n)-run)/w)
		}
		run += w
	}
	for len(b.cuts) < n {
		b.cuts = append(b.cuts, bins)
	}
}

// ownRange gives the place of the cache among the ready ones whose range holds a point, by cuts of the present list.
func (b *Balancer) ownRange(point float64) int {
	if b.now >= b.cutDue || len(b.cuts) != len(b.ready) {
		b.recut()
	}
	return min(sort.SearchFloat64s(b.cuts, point), len(b.ready)-1)
}
