package routing

import "math"

// A server in slow start bears a share of its capacity that grows with its
// age. All nodes together must send it less than Config.OverloadFactor ×
// share × capacity in each Config.OverloadWindow.
const (
	// slowStartMargin is the share of that limit which is used: misses flatter
	// warm caches, work is estimated, and the nodes' sum varies at random.
	slowStartMargin = 0.3

	// maxSlowStartWork is the most work of a single attempt, beyond what may
	// be saved up: one heavy attempt alone could overload the server.
	maxSlowStartWork = 2.0 // mean requests
)

// slowStartShare returns the share of its capacity that a server bears by now.
func (b *Balancer) slowStartShare(s *serverState) float64 {
	window := b.config.SlowStartWindow
	age := b.now - s.StartedAt
	if s.StartedAt == 0 || age >= window {
		return 1
	}
	initialShare := b.config.SlowStartShare
	return initialShare + (1-initialShare)*max(0, float64(age)/float64(max(1, window)))
}

// inSlowStart reports whether a server does not bear all of its capacity yet.
func (b *Balancer) inSlowStart(s *serverState) bool { return b.slowStartShare(s) < 1 }

// slowStartAllowance refills a server's tokens and returns the work that it may be
// sent now in slow start, in mean requests. What is less than the request's work is rounded to all of
// it or nothing at random: if nodes saved up whole attempts, many would send
// theirs at once.
func (b *Balancer) slowStartAllowance(r *requestState, s *serverState) float64 {
	rate, burst := b.slowStartRate(s)
	elapsed := b.now - s.slowStartRefilledAt
	s.slowStartTokens = min(burst, s.slowStartTokens+rate*seconds(elapsed))
	s.slowStartRefilledAt = b.now
	if s.slowStartTokens < r.work && r.work <= max(maxSlowStartWork, burst) {
		s.slowStartTokens = r.work * math.Floor(s.slowStartTokens/r.work+b.draw())
	}
	return s.slowStartTokens
}

// slowStartRate returns the mean requests per second that this node may send a
// server in slow start, and how many it may save up. The node's part of the
// capacity is what it sees a warm cache answer, or its even share of one
// request in the shortest latency target, which any cache bears.
func (b *Balancer) slowStartRate(s *serverState) (perSecond, burst float64) {
	factor := slowStartMargin * b.config.OverloadFactor * b.slowStartShare(s)
	capacity := max(b.warmCacheRate, 1/(b.nodeCount*seconds(max(1, b.shortestLatencyTarget))))
	perSecond = factor * capacity
	burst = max(factor, perSecond*seconds(b.config.OverloadWindow)/2)
	return perSecond, burst
}
