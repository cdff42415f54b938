package routing

// This file holds which server a lookup is sent to: the walk along the ranges, and the next step of each lookup.

import (
	"math"
	"slices"
)

// pick walks from the lookup's own range to the first cache that nothing speaks against; where one has no
// room the origin comes before the next. -1: none.
func (b *Balancer) pick(l *lookup) int {
	n := len(b.ready)
	if n == 0 {
		return -1
	}
	mean := b.mean()
	at, busy, passed := b.ownRange(l.point), -1, 0
	for step := 0; step < n && passed <= walkMost; step++ {
		i := b.ready[(at+step)%n]
		s := b.servers[i]
		if b.passOver(l, i, s) {
			continue
		}
		full := s.inFlight >= int(b.room(l, s)+b.draw())
		if full {
			// The next caches hardly have the value, and misses there would jam them too.
			if to := b.origin(l); to >= 0 {
				return to
			}
		}
		if full && s.inFlight > 0 && float64(s.inFlight) <= jamFactor*mean {
			break // all are about as full: walking on would only scatter the keys and jam the rest
		} else if !full && (s.inFlight < busyLeast || float64(s.inFlight) <= busyFactor*mean+1) {
			return i
		}
		if passed++; busy < 0 && !full {
			busy = i
		}
	}
	return busy
}

// passOver gives the exceptions: each is one more reason to skip a cache.
func (b *Balancer) passOver(l *lookup, i int, s *server) bool {
	if slices.ContainsFunc(l.shots, func(t shot) bool { return t.server == i }) {
		return true // it had its try
	}
	// After a suspect's rest one replayable lookup tries it out.
	if s.rest > 0 && (b.now < s.restEnd || s.trial || b.spaces[l.Class].Idempotence != Safe) {
		return true
	}
	if len(l.shots) > 0 && !l.missed && s.credit < 1 {
		return true // a further shot wants credit, lest a jam feed itself
	}
	cold := b.coldShare(s) < 1
	if cold && b.coldBudget(l, s) < l.work {
		return true // also where the fleet has a budget: its whole is one figure, what a cold cache bears grows
	}
	return (cold || s.rest > 0) && b.lacks(l, s.cold) || b.lacks(l, s.links)
}

// room bounds what is in flight at a cache: by rate times time, as measured, with its root for chance, and
// by what keeps it calm.
func (b *Balancer) room(l *lookup, s *server) float64 {
	filled := b.rate(s.answers) * roomPart * seconds(b.spaces[l.Class].LatencyTarget)
	return min(s.calm, max(busyLeast, filled+math.Sqrt(filled)))
}

// rate turns a count that is halved into one a second. Halving keeps twice a span's count in the long run.
func (b *Balancer) rate(count float64) float64 {
	return count / (seconds(halveSpan) + seconds(b.now-b.halved))
}

// shoot sends a lookup and books it.
func (b *Balancer) shoot(lkp, i int) {
	l, s := &b.lookups[lkp], b.servers[i]
	s.trial = s.trial || s.rest > 0
	if b.coldShare(s) < 1 || s.rest > 0 {
		s.cold.Spend()
		s.budget -= l.work
	}
	if s.links.Spend(); s.origin {
		b.parts[OriginRate].Spend()
		b.parts[OriginConcurrency].Spend()
	} else if len(l.shots) > 0 && !l.missed {
		s.credit--
	}
	if !l.Streaming {
		b.count(s, 1) // a server begins with the last byte
	}
	l.shots = append(l.shots, shot{server: i, begun: b.now, sent: b.now, out: true})
	b.host.Send(lkp, i, l.giveUp-b.now)
}

// advance takes a lookup's next step: its cache, the origin, a wait for the key's fetch, or its end.
func (b *Balancer) advance(lkp int) {
	l := &b.lookups[lkp]
	if slices.ContainsFunc(l.shots, func(s shot) bool { return s.out }) {
		return // its outcome will come
	}
	l.lacks = nil
	if !b.mayShoot(l) {
		b.finish(lkp)
		return
	}
	if q, out := b.fetches[l.key]; out && !l.Write && l.key != 0 {
		l.waiting, b.fetches[l.key] = true, append(q, lkp) // until the other's fetch has ended
		b.host.SetAlarm(l.giveUp, lkp+1)
		return
	}
	to := -1
	if l.Write || len(l.shots) > 0 {
		to = b.origin(l) // where its own cache doesn't give it, hardly another has the value
	}
	if to < 0 && !l.Write && !l.missed {
		to = b.pick(l)
	}
	if to < 0 {
		b.finish(lkp)
		return
	}
	if b.servers[to].origin && l.missed && !l.Write && l.key != 0 { // not where a full cache has the value
		l.fetching = true
		b.fetches[l.key] = nil
	}
	b.shoot(lkp, to)
}
