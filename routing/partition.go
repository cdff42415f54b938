package routing

import (
	"math"
	"sort"
)

// Key hashes lie on a line that is divided into bins. The node keeps a
// histogram of the requests in each bin, and gives each ready cache a range of
// the line with an equal share of the histogram's weight. A newer request
// weighs more: each one multiplies all weights by 1 - alpha and adds alpha to
// its bin.

const (
	binCount  = 2000 // bins of the line
	binGroups = 20   // groups of bins that are compared; few, so that some hundred requests tell a shift from chance

	minAlpha        = 0.000001 // least weight of a request
	maxAlphaDivisor = 4        // a request weighs at most 1/(maxAlphaDivisor × caches²), so few requests don't move the ranges far
	minWeightScale  = 1e-9     // renormalized below it: far from losing digits, yet rare

	adaptInterval        = 1000 * Millisecond // between two comparisons of the demand with the histogram
	divergencePerHalving = 0.1                // nats of KL divergence that halve the remembered requests

	rangeInterval = 2000 * Millisecond // between computations of the ranges, which take a sum over all bins
)

// keyPoint maps a key's hash to its point in [0, binCount).
func keyPoint(hash uint64) float64 { return float64(hash>>11) / (1 << 53) * binCount }

// recordPoint adds a request to the histogram. The weights are scaled lazily.
// In steady demand all remembered requests weigh alike, so that all nodes come
// to similar ranges.
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

// normalizeWeights applies weightScale to all bins.
func (b *Balancer) normalizeWeights() {
	for i := range b.binWeights {
		b.binWeights[i] *= b.weightScale
	}
	b.weightScale = 1
}

// adaptIfDue adapts the histogram at its interval.
func (b *Balancer) adaptIfDue() {
	if b.now < b.adaptDue {
		return
	}
	b.adaptDue = b.now + adaptInterval
	b.adaptToDemand()
}

// adaptToDemand halves the remembered requests for each divergencePerHalving
// by which recent requests diverge from the histogram, beyond chance. That
// doubles alpha, so the histogram follows.
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
// histogram in nats, less twice what chance alone gives in the mean.
func (b *Balancer) demandDivergence() float64 {
	divergence := (1 - binGroups) / max(1, b.recentRequests)
	for group, recent := range b.recentByGroup {
		weight := b.groupWeight(group)
		if recent > 0 && weight > 0 { // a group's weight may have faded to 0
			share := recent / b.recentRequests
			divergence += share * math.Log(share/weight)
		}
	}
	return divergence
}

// groupWeight returns the weight of a group of bins in the histogram.
func (b *Balancer) groupWeight(group int) float64 {
	weight := 0.0
	for _, w := range b.binWeights[group*binCount/binGroups : (group+1)*binCount/binGroups] {
		weight += w * b.weightScale
	}
	return weight
}

// recomputeRanges sets the ends of the ranges to equal shares of the
// histogram's weight, interpolated inside bins.
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

// shareOf returns the weight of the first count of n equal shares of a total.
func shareOf(total float64, count, n int) float64 { return total * float64(count) / float64(n) }

// invalidateRanges has the ranges computed anew for the next request. They are
// not computed at once, since changes of the endpoint list come in bursts.
func (b *Balancer) invalidateRanges() { b.rangeEnds = b.rangeEnds[:0] }

// rangeOf returns the index in ready of the cache whose range holds a point.
func (b *Balancer) rangeOf(point float64) int {
	if b.now >= b.rangesDue || len(b.rangeEnds) != len(b.ready) {
		b.recomputeRanges()
	}
	return min(sort.SearchFloat64s(b.rangeEnds, point), len(b.ready)-1)
}
