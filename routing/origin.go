package routing

import "slices"

const (
	originTargetShare = 0.6 // of the latency target that attempts at the origin may fill
	writeLimitFactor  = 2   // writes may fill the origin this many times as far as fetches

	// What a node may always have in flight at the origin, to measure it by.
	minFleetFetches      = 12.0 // attempts of all nodes together
	maxUnmeasuredFetches = 3.0  // attempts of this node, while the origin's concurrencyLimit allows them

	// originLimitIncrease is the step for a quick answer up to
	// maxUnmeasuredFetches, larger than limitIncrease since a node of a large
	// cluster fetches seldom.
	originLimitIncrease = 0.3 // attempts
)

// pickOrigin returns the origin that has capacity for a request and is likely to
// answer in time, or noServer.
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

// originLimit returns the attempts that this node may have in flight at an
// origin for a request. Fetches are bounded by the shortest latency target of
// all classes, lest patient requests delay urgent ones; writes have
// precedence.
func (b *Balancer) originLimit(r *requestState, s *serverState) float64 {
	target := b.shortestLatencyTarget
	if r.Write {
		target = b.classes[r.Class].LatencyTarget
	}
	limit := max(
		minFleetFetches/b.nodeCount,
		min(s.concurrencyLimit, maxUnmeasuredFetches),
		b.perSecond(s.answers)*originTargetShare*seconds(target),
	)
	if r.Write {
		return writeLimitFactor * max(1, limit)
	}
	return limit
}
