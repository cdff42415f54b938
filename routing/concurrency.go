package routing

import "math"

// Each server has an adaptive limit of this node's attempts in flight, which
// grows by steps with quick answers and shrinks by a share with slow ones
// (additive increase, multiplicative decrease).
const (
	initialFleetLimit   = 8.0  // attempts of all nodes together that a new server gets
	minConcurrencyLimit = 0.1  // attempts; one request in ten shows whether the server has recovered
	maxConcurrencyLimit = 16.0 // attempts; beyond that inFlightLimit bounds by rate and time

	limitIncrease        = 0.1 // attempts for a quick answer
	limitDecrease        = 0.1 // share of the limit for a slow answer or a rejection
	timeoutLimitDecrease = 0.8 // share for a timeout; each of many nodes sees few, so one must count

	slowAnswerShare     = 0.4  // of the latency target; an answer after it counts as slow
	inFlightTargetShare = 0.25 // of the latency target that attempts at a cache may fill; the rest is for misses
)

// initialConcurrencyLimit returns one node's part of initialFleetLimit, from one
// attempt to two.
func initialConcurrencyLimit(nodeCount float64) float64 {
	return max(1, min(minBusyInFlight, initialFleetLimit/nodeCount))
}

// isFull reports whether a cache has as many attempts in flight as it may.
func (b *Balancer) isFull(r *requestState, s *serverState) bool {
	return s.inFlight >= b.roundRandomly(b.inFlightLimit(r, s))
}

// inFlightLimit returns the attempts that this node may have in flight at a
// cache. By Little's law, measured rate × time fill a share of the latency
// target; the square root is for random variation.
func (b *Balancer) inFlightLimit(r *requestState, s *serverState) float64 {
	target := seconds(b.classes[r.Class].LatencyTarget)
	expected := b.perSecond(s.answers) * inFlightTargetShare * target
	return min(s.concurrencyLimit, max(minBusyInFlight, expected+math.Sqrt(expected)))
}

// isSlow reports whether a latency counts as slow for a class.
func (c *classState) isSlow(latency Time) bool {
	return latency > Time(slowAnswerShare*float64(c.LatencyTarget))
}

// adjustConcurrencyLimit follows the result of an attempt.
func (s *serverState) adjustConcurrencyLimit(result Result, slow bool) {
	switch {
	case result == ConnectionLimit: // the server has capacity for what it has accepted
		s.concurrencyLimit = min(s.concurrencyLimit, max(1, float64(s.inFlight)))
	case slow && result == TimedOut:
		s.decreaseLimit(timeoutLimitDecrease)
	case slow || result == Rejected:
		s.decreaseLimit(limitDecrease)
	case result.isAnswer(): // a failure may be quick as well
		s.increaseLimit()
	}
}

// decreaseLimit takes a share of the limit away.
func (s *serverState) decreaseLimit(share float64) {
	s.concurrencyLimit = max(minConcurrencyLimit, s.concurrencyLimit*(1-share))
}

// increaseLimit adds one step, a larger one at an origin that is hardly
// measured yet.
func (s *serverState) increaseLimit() {
	step := limitIncrease
	if s.isOrigin && s.concurrencyLimit < maxUnmeasuredFetches {
		step = originLimitIncrease
	}
	s.concurrencyLimit = min(maxConcurrencyLimit, s.concurrencyLimit+step)
}
