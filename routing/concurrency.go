package routing

import "math"

// Each server has an adaptive limit on this node's attempts in flight. A quick
// answer raises it by a step, and a slow one lowers it by a share (additive
// increase, multiplicative decrease).
const (
	initialClusterLimit = 8.0  // attempts in flight at a new server, total of all nodes
	minConcurrencyLimit = 0.1  // attempts; one request in ten is sent to detect that the server has recovered
	maxConcurrencyLimit = 16.0 // attempts; inFlightLimit also bounds attempts in flight by rate and latency

	limitIncrease        = 0.1 // attempts added for a quick answer
	limitDecrease        = 0.1 // share of the limit removed for a slow answer or a rejection
	timeoutLimitDecrease = 0.8 // share of the limit removed for a timeout; high because in a large cluster each node sees few timeouts

	slowAnswerShare   = 0.4  // share of the latency target after which an answer counts as slow
	cacheLatencyShare = 0.25 // share of the latency target that attempts at a cache may take; the rest is for misses
)

// initialConcurrencyLimit returns one node's share of initialClusterLimit, between
// one and two attempts.
func initialConcurrencyLimit(nodeCount float64) float64 {
	return max(1, min(minBusyInFlight, initialClusterLimit/nodeCount))
}

// isFull reports whether a cache has reached its limit of attempts in flight.
func (b *Balancer) isFull(r *requestState, s *serverState) bool {
	return s.inFlight >= b.roundRandomly(b.inFlightLimit(r, s))
}

// inFlightLimit returns how many attempts this node may have in flight at a
// cache. By Little's law, the expected number is the measured rate of answers
// times cacheLatencyShare of the latency target. Its square root is added to
// allow for random variation.
func (b *Balancer) inFlightLimit(r *requestState, s *serverState) float64 {
	target := seconds(b.classes[r.Class].LatencyTarget)
	expected := b.perSecond(s.answers) * cacheLatencyShare * target
	return min(s.concurrencyLimit, max(minBusyInFlight, expected+math.Sqrt(expected)))
}

// isSlow reports whether a latency is slow for a class.
func (c *classState) isSlow(latency Time) bool {
	return latency > Time(slowAnswerShare*float64(c.LatencyTarget))
}

// adjustConcurrencyLimit raises or lowers the limit by the result of an attempt.
func (s *serverState) adjustConcurrencyLimit(result Result, slow bool) {
	switch {
	case result == ConnectionLimit: // the server has capacity for the connections that it has accepted
		s.concurrencyLimit = min(s.concurrencyLimit, max(1, float64(s.inFlight)))
	case slow && result == TimedOut:
		s.decreaseLimit(timeoutLimitDecrease)
	case slow || result == Rejected:
		s.decreaseLimit(limitDecrease)
	case result.isAnswer(): // a quick failure does not raise the limit
		s.increaseLimit()
	}
}

// decreaseLimit lowers the limit by a share of it.
func (s *serverState) decreaseLimit(share float64) {
	s.concurrencyLimit = max(minConcurrencyLimit, s.concurrencyLimit*(1-share))
}

// increaseLimit raises the limit by one step. The step is larger at an origin with
// few measurements yet.
func (s *serverState) increaseLimit() {
	step := limitIncrease
	if s.isOrigin && s.concurrencyLimit < maxUnmeasuredFetches {
		step = originLimitIncrease
	}
	s.concurrencyLimit = min(maxConcurrencyLimit, s.concurrencyLimit+step)
}
