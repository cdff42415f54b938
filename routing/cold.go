package routing

// This file holds what a server in slow start may be sent.

import "math"

// coldShare is the least share of its capacity that a server has by now.
func (b *Balancer) coldShare(s *server) float64 {
	cold, warmUp := b.config.SlowStartShare, b.config.SlowStartWindow
	age := b.now - s.StartedAt
	if s.StartedAt == 0 || age >= warmUp {
		return 1
	}
	return cold + (1-cold)*max(0, float64(age)/float64(max(1, warmUp)))
}

// coldBudget fills with time. All nodes together must stay under factor x cold share x capacity x window: a warm
// cache's answers to our first shots are our part of its capacity, which is one in the shortest target time at
// least. What is less than a shot is rounded by chance: were it saved up, many nodes would send a whole one at
// once. So the sum of all has the mean that has filled, whenever their lookups come.
func (b *Balancer) coldBudget(l *lookup, s *server) float64 {
	share := coldMargin * b.config.OverloadFactor * b.coldShare(s)
	rate := share * max(b.perCache, 1/(b.nodes*seconds(max(1, b.soonest))))
	most := max(share, rate*seconds(b.config.OverloadWindow)/2)
	s.budget, s.budgetAt = min(most, s.budget+rate*seconds(b.now-s.budgetAt)), b.now
	if s.budget < l.work && l.work <= max(coldWork, most) {
		s.budget = l.work * math.Floor(s.budget/l.work+b.draw())
	}
	return s.budget
}
