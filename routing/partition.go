package routing

import (
	"math"
	"sort"
)

// The space of key hashes is divided into bins. The node keeps a histogram of the
// requests in each bin, and assigns each ready cache a contiguous range with an
// equal share of the histogram's weight. Newer requests have a higher weight:
// each request multiplies all weights by 1 - alpha and adds alpha to its bin.

const (
	binCount  = 2000 // bins of the histogram
	binGroups = 20   // groups of bins that are compared with the demand; few, so that some hundred requests suffice to tell a shift from chance

	minAlpha        = 0.000001 // minimum weight of a request
	maxAlphaDivisor = 4        // alpha is at most 1/(maxAlphaDivisor × caches²), so that a few requests don't move the ranges far
	minWeightScale  = 1e-9     // the weights are normalized below it; large enough to keep their precision, small enough for this to be rare

	adaptInterval        = 1000 * Millisecond // time between two comparisons of the demand with the histogram
	divergencePerHalving = 0.1                // KL divergence in nats for which rememberedRequests is halved once

	rangeInterval = 2000 * Millisecond // time between two computations of the ranges, each of which iterates over all bins
)

// keyPoint maps a key's hash to its point in [0, binCount).
func keyPoint(hash uint64) float64 { return float64(hash>>11) / (1 << 53) * binCount }

// recordPoint adds a request to the histogram. The weights are scaled lazily.
// Under steady demand all remembered requests have equal weights, so that all
// nodes compute similar ranges.
func (b *Balancer) recordPoint(point float64) {
	n := float64(max(1, len(b.ready)))
	b.rememberedRequests++
	b.recentRequests++
	b.recentByGroup[int(point)*binGroups/binCount]++
	b.alpha = max(minAlpha, min(1/b.rememberedRequests, 1/(maxAlphaDivisor*n*n)))
	b.weightScale *= 1 - b.alpha
	b.binWeights[int(point)] += b.alpha / b.weightScale
	if b.weightScale < minWeightScale {
		b.normalizeWeights()
	}
}

// normalizeWeights multiplies all bins by weightScale and resets it to 1.
func (b *Balancer) normalizeWeights() {
	for i := range b.binWeights {
		b.binWeights[i] *= b.weightScale
	}
	b.weightScale = 1
}

// adaptIfDue calls adaptToDemand once per adaptInterval.
func (b *Balancer) adaptIfDue() {
	if b.now < b.adaptDue {
		return
	}
	b.adaptDue = b.now + adaptInterval
	b.adaptToDemand()
}

// adaptToDemand halves rememberedRequests for each divergencePerHalving by which
// recent requests diverge from the histogram beyond chance. Each halving doubles
// alpha, so that the histogram follows the demand faster.
func (b *Balancer) adaptToDemand() {
	divergence := b.demandDivergence()
	halvings := int(max(0, divergence) / divergencePerHalving)
	b.rememberedRequests = math.Ldexp(b.rememberedRequests, -halvings)
	b.recentRequests /= 2
	for group := range b.recentByGroup {
		b.recentByGroup[group] /= 2
	}
}

// demandDivergence returns the KL divergence of recent requests from the
// histogram in nats, less twice the divergence expected from chance alone.
func (b *Balancer) demandDivergence() float64 {
	divergence := (1 - binGroups) / max(1, b.recentRequests)
	for group, recent := range b.recentByGroup {
		weight := b.groupWeight(group)
		if recent > 0 && weight > 0 { // a group's weight may have decayed to 0
			share := recent / b.recentRequests
			divergence += share * math.Log(share/weight)
		}
	}
	return divergence
}

// groupWeight returns the total weight of a group of bins.
func (b *Balancer) groupWeight(group int) float64 {
	weight := 0.0
	for _, w := range b.binWeights[group*binCount/binGroups : (group+1)*binCount/binGroups] {
		weight += w * b.weightScale
	}
	return weight
}

// recomputeRanges sets the ends of the ranges so that each range has an equal
// share of the histogram's weight. Ends are interpolated within bins.
func (b *Balancer) recomputeRanges() {
	b.rangesDue = b.now + rangeInterval
	n := len(b.ready)
	b.rangeEnds = b.rangeEnds[:0]
	total := 0.0
	for _, w := range b.binWeights {
		total += w
	}
	weightBelow := 0.0 // weight of all bins before the current one
	for bin, w := range b.binWeights {
		for len(b.rangeEnds) < n-1 && weightBelow+w >= shareOf(total, len(b.rangeEnds)+1, n) {
			target := shareOf(total, len(b.rangeEnds)+1, n)
			b.rangeEnds = append(b.rangeEnds, float64(bin)+(target-weightBelow)/w)
		}
		weightBelow += w
	}
	for len(b.rangeEnds) < n {
		b.rangeEnds = append(b.rangeEnds, binCount)
	}
}

// shareOf returns the sum of count of n equal shares of a total.
func shareOf(total float64, count, n int) float64 { return total * float64(count) / float64(n) }

// invalidateRanges makes the next request recompute the ranges. They are not
// recomputed immediately, since the endpoint list changes in bursts.
func (b *Balancer) invalidateRanges() { b.rangeEnds = b.rangeEnds[:0] }

// rangeOf returns the index in ready of the cache whose range contains a point.
func (b *Balancer) rangeOf(point float64) int {
	if b.now >= b.rangesDue || len(b.rangeEnds) != len(b.ready) {
		b.recomputeRanges()
	}
	return min(sort.SearchFloat64s(b.rangeEnds, point), len(b.ready)-1)
}
