package routing

// This file holds the line of bins, what is learned of the demand on it, and the ranges that it is cut into.

import (
	"math"
	"sort"
)

// learnPoint fades all bins and adds alpha at the lookup's own, lazily. In steady demand all that was seen weighs alike, so
// that nodes come to cut alike; by less than the bound on alpha nothing is learned.
func (b *Balancer) learnPoint(point float64) {
	n := float64(max(1, len(b.ready)))
	b.rememberedRequests, b.recentRequests = b.rememberedRequests+1, b.recentRequests+1
	b.alpha = max(minAlpha, min(1/b.rememberedRequests, 1/(4*n*n)))
	b.recentByGroup[int(point)*binGroups/binCount]++
	b.weightScale *= 1 - b.alpha
	b.binWeights[int(point)] += b.alpha / b.weightScale
	if b.weightScale < minWeightScale {
		for i := range b.binWeights {
			b.binWeights[i] *= b.weightScale
		}
		b.weightScale = 1
	}
}

// adaptToDemand doubles alpha for each klStep by which the latest lookups diverge from the histogram, beyond chance.
func (b *Balancer) adaptToDemand() {
	kl := (1 - binGroups) / max(1, b.recentRequests) // chance alone gives half of that in the mean
	for g, n := range b.recentByGroup {
		p := 0.0
		for _, w := range b.binWeights[g*binCount/binGroups : (g+1)*binCount/binGroups] {
			p += w * b.weightScale
		}
		if n > 0 && p > 0 { // all of a group may have faded away
			kl += n / b.recentRequests * math.Log(n/b.recentRequests/p)
		}
		b.recentByGroup[g] = n / 2
	}
	b.rememberedRequests, b.recentRequests = math.Ldexp(b.rememberedRequests, -int(max(0, kl)/divergencePerHalving)), b.recentRequests/2
}

// recomputeRanges lays the cuts at equal shares of the sum, interpolated inside bins.
func (b *Balancer) recomputeRanges() {
	b.rangesDue = b.now + rangeInterval
	n := len(b.ready)
	b.rangeEnds = b.rangeEnds[:0]
	sum := 0.0
	for _, w := range b.binWeights {
		sum += w
	}
	run := 0.0
	for i, w := range b.binWeights {
		for len(b.rangeEnds) < n-1 && run+w >= sum*float64(len(b.rangeEnds)+1)/float64(n) {
			b.rangeEnds = append(b.rangeEnds, float64(i)+(sum*float64(len(b.rangeEnds)+1)/float64(n)-run)/w)
		}
		run += w
	}
	for len(b.rangeEnds) < n {
		b.rangeEnds = append(b.rangeEnds, binCount)
	}
}

// rangeOf gives the place of the cache among the ready ones whose range holds a point, by cuts of the present list.
func (b *Balancer) rangeOf(point float64) int {
	if b.now >= b.rangesDue || len(b.rangeEnds) != len(b.ready) {
		b.recomputeRanges()
	}
	return min(sort.SearchFloat64s(b.rangeEnds, point), len(b.ready)-1)
}
