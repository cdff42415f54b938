package routing

// This file holds what a server in slow start may be sent.

import "math"

// slowStartShare is the least share of its capacity that a server has by now.
func (b *Balancer) slowStartShare(s *serverState) float64 {
	cold, warmUp := b.config.SlowStartShare, b.config.SlowStartWindow
	age := b.now - s.StartedAt
	if s.StartedAt == 0 || age >= warmUp {
		return 1
	}
	return cold + (1-cold)*max(0, float64(age)/float64(max(1, warmUp)))
}

// refillSlowStart fills with time. All nodes together must stay under factor x cold share x capacity x window: a warm
// cache's answers to our first shots are our part of its capacity, which is one in the shortest target time at
// least. What is less than a shot is rounded by chance: were it saved up, many nodes would send a whole one at
// once. So the sum of all has the mean that has filled, whenever their lookups come.
func (b *Balancer) refillSlowStart(l *requestState, s *serverState) float64 {
	share := slowStartMargin * b.config.OverloadFactor * b.slowStartShare(s)
	rate := share * max(b.warmCacheRate, 1/(b.nodeCount*seconds(max(1, b.shortestLatencyTarget))))
	most := max(share, rate*seconds(b.config.OverloadWindow)/2)
	s.slowStartTokens, s.slowStartRefilledAt = min(most, s.slowStartTokens+rate*seconds(b.now-s.slowStartRefilledAt)), b.now
	if s.slowStartTokens < l.work && l.work <= max(maxSlowStartWork, most) {
		s.slowStartTokens = l.work * math.Floor(s.slowStartTokens/l.work+b.draw())
	}
	return s.slowStartTokens
}
