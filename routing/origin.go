package routing

import "slices"

const (
	originLatencyShare = 0.6 // share of the latency target that attempts at the origin may take
	writeLimitFactor   = 2   // the limit of writes in flight at the origin, as a multiple of that of fetches

	// Attempts that a node may have in flight at the origin regardless of the
	// measured rate, so that there is something to measure.
	minClusterFetches    = 12.0 // attempts, total of all nodes
	maxUnmeasuredFetches = 3.0  // attempts of this node, while the origin's concurrencyLimit allows them

	// originLimitIncrease replaces limitIncrease while the origin's
	// concurrencyLimit is below maxUnmeasuredFetches. It is larger, since a node
	// of a large cluster rarely fetches.
	originLimitIncrease = 0.3 // attempts
)

// pickOrigin returns the least loaded origin if it has capacity for a request and
// is likely to answer in time, else noServer.
func (b *Balancer) pickOrigin(r *requestState) int {
	if len(b.origins) == 0 {
		return noServer
	}
	origin := b.leastLoadedOrigin()
	s := b.servers[origin]
	quota := b.quotas[OriginConcurrency]
	if quota == nil && s.inFlight >= b.roundRandomly(b.originLimit(r, s)) {
		return noServer
	}
	if r.giveUpAt-b.now < s.meanLatency {
		return noServer
	}
	if b.quotaExhausted(r, quota) || b.quotaExhausted(r, b.quotas[OriginRate]) {
		return noServer
	}
	return origin
}

// leastLoadedOrigin returns the origin with the fewest attempts of this node in
// flight.
func (b *Balancer) leastLoadedOrigin() int {
	return slices.MinFunc(b.origins, func(x, y int) int {
		return b.servers[x].inFlight - b.servers[y].inFlight
	})
}

// originLimit returns the limit of this node's attempts in flight at an origin that
// applies to a request. Fetches are bounded by the shortest latency target of all
// classes, so that requests with a long target don't delay those with a short one.
// Writes take precedence and have a higher limit.
func (b *Balancer) originLimit(r *requestState, s *serverState) float64 {
	target := b.shortestLatencyTarget
	if r.Write {
		target = b.classes[r.Class].LatencyTarget
	}
	limit := max(
		minClusterFetches/b.nodeCount,
		min(s.concurrencyLimit, maxUnmeasuredFetches),
		b.perSecond(s.answers)*originLatencyShare*seconds(target),
	)
	if r.Write {
		return writeLimitFactor * max(1, limit)
	}
	return limit
}
