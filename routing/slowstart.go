package routing

import "math"

// A server in slow start has a share of its full capacity that grows with the time
// since its start. All nodes together must send it less than
// Config.OverloadFactor × share × capacity in each Config.OverloadWindow.
const (
	// slowStartMargin is the share of that limit that is used. The rest is a
	// reserve: misses make warm caches appear faster than they are, work is an
	// estimate, and the total of all nodes varies randomly.
	slowStartMargin = 0.3

	// maxSlowStartWork is the maximum work of a single attempt that exceeds the
	// burst. A heavier attempt alone could overload the server.
	maxSlowStartWork = 2.0 // mean requests
)

// slowStartShare returns the share of its full capacity that a server has now.
func (b *Balancer) slowStartShare(s *serverState) float64 {
	window := b.config.SlowStartWindow
	age := b.now - s.StartedAt
	if s.StartedAt == 0 || age >= window {
		return 1
	}
	initialShare := b.config.SlowStartShare
	return initialShare + (1-initialShare)*max(0, float64(age)/float64(max(1, window)))
}

// inSlowStart reports whether a server does not have its full capacity yet.
func (b *Balancer) inSlowStart(s *serverState) bool { return b.slowStartShare(s) < 1 }

// slowStartAllowance refills a server's tokens and returns the work that may be
// sent to it now in slow start, in multiples of the mean request. If the tokens are
// fewer than the request's work, they are randomly rounded to all of it or to
// nothing. If nodes accumulated tokens for a whole attempt instead, many of them
// would send their attempts at the same time.
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

// slowStartRate returns the rate in mean requests per second that this node may
// send to a server in slow start, and the burst in mean requests. The node's part
// of the server's capacity is the rate at which warm caches answer this node, or
// if that is higher the node's even share of one request per shortest latency
// target, a rate that any cache can handle.
func (b *Balancer) slowStartRate(s *serverState) (perSecond, burst float64) {
	factor := slowStartMargin * b.config.OverloadFactor * b.slowStartShare(s)
	capacity := max(b.warmCacheRate, 1/(b.nodeCount*seconds(max(1, b.shortestLatencyTarget))))
	perSecond = factor * capacity
	burst = max(factor, perSecond*seconds(b.config.OverloadWindow)/2)
	return perSecond, burst
}
