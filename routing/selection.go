package routing

// This file holds which server a lookup is sent to: the walk along the ranges, and the next step of each lookup.

import (
	"math"
	"slices"
)

// pickCache walks from the lookup's own range to the first cache that nothing speaks against; where one has no
// room the origin comes before the next. -1: none.
func (b *Balancer) pickCache(l *requestState) int {
	n := len(b.ready)
	if n == 0 {
		return -1
	}
	mean := b.meanInFlight()
	at, busy, passed := b.rangeOf(l.point), -1, 0
	for step := 0; step < n && passed <= maxFallThroughs; step++ {
		i := b.ready[(at+step)%n]
		s := b.servers[i]
		if b.skipReason(l, i, s) {
			continue
		}
		full := s.inFlight >= int(b.inFlightLimit(l, s)+b.draw())
		if full {
			// The next caches hardly have the value, and misses there would jam them too.
			if to := b.pickOrigin(l); to >= 0 {
				return to
			}
		}
		if full && s.inFlight > 0 && float64(s.inFlight) <= congestionFactor*mean {
			break // all are about as full: walking on would only scatter the keys and jam the rest
		} else if !full && (s.inFlight < minBusyInFlight || float64(s.inFlight) <= busyFactor*mean+1) {
			return i
		}
		if passed++; busy < 0 && !full {
			busy = i
		}
	}
	return busy
}

// skipReason gives the exceptions: each is one more reason to skip a cache.
func (b *Balancer) skipReason(l *requestState, i int, s *serverState) bool {
	if slices.ContainsFunc(l.attempts, func(t attempt) bool { return t.server == i }) {
		return true // it had its try
	}
	// After a suspect's rest one replayable lookup tries it out.
	if s.ejectionTime > 0 && (b.now < s.ejectedUntil || s.probing || b.classes[l.Class].Idempotence != Safe) {
		return true
	}
	if len(l.attempts) > 0 && !l.missed && s.retryBudget < 1 {
		return true // a further shot wants credit, lest a jam feed itself
	}
	cold := b.slowStartShare(s) < 1
	if cold && b.refillSlowStart(l, s) < l.work {
		return true // also where the fleet has a budget: its whole is one figure, what a cold cache bears grows
	}
	return (cold || s.ejectionTime > 0) && b.quotaExhausted(l, s.slowStartQuota) || b.quotaExhausted(l, s.concurrencyQuota)
}

// inFlightLimit bounds what is in flight at a cache: by rate times time, as measured, with its root for chance, and
// by what keeps it calm.
func (b *Balancer) inFlightLimit(l *requestState, s *serverState) float64 {
	filled := b.perSecond(s.answers) * inFlightTargetShare * seconds(b.classes[l.Class].LatencyTarget)
	return min(s.concurrencyLimit, max(minBusyInFlight, filled+math.Sqrt(filled)))
}

// perSecond turns a count that is halved into one a second. Halving keeps twice a span's count in the long run.
func (b *Balancer) perSecond(count float64) float64 {
	return count / (seconds(decayInterval) + seconds(b.now-b.decayedAt))
}

// sendAttempt sends a lookup and books it.
func (b *Balancer) sendAttempt(lkp, i int) {
	l, s := &b.requests[lkp], b.servers[i]
	s.probing = s.probing || s.ejectionTime > 0
	if b.slowStartShare(s) < 1 || s.ejectionTime > 0 {
		s.slowStartQuota.Spend()
		s.slowStartTokens -= l.work
	}
	if s.concurrencyQuota.Spend(); s.isOrigin {
		b.quotas[OriginRate].Spend()
		b.quotas[OriginConcurrency].Spend()
	} else if len(l.attempts) > 0 && !l.missed {
		s.retryBudget--
	}
	if !l.Streaming {
		b.addInFlight(s, 1) // a server begins with the last byte
	}
	l.attempts = append(l.attempts, attempt{server: i, startedAt: b.now, sentAt: b.now, inFlight: true})
	b.host.Send(lkp, i, l.giveUpAt-b.now)
}

// advance takes a lookup's next step: its cache, the origin, a wait for the key's fetch, or its end.
func (b *Balancer) advance(lkp int) {
	l := &b.requests[lkp]
	if slices.ContainsFunc(l.attempts, func(s attempt) bool { return s.inFlight }) {
		return // its outcome will come
	}
	l.deniedBy = nil
	if !b.mayAttempt(l) {
		b.finish(lkp)
		return
	}
	if q, out := b.fetchWaiters[l.keyHash]; out && !l.Write && l.keyHash != 0 {
		l.awaitsFetch, b.fetchWaiters[l.keyHash] = true, append(q, lkp) // until the other's fetch has ended
		b.host.SetAlarm(l.giveUpAt, lkp+1)
		return
	}
	to := -1
	if l.Write || len(l.attempts) > 0 {
		to = b.pickOrigin(l) // where its own cache doesn't give it, hardly another has the value
	}
	if to < 0 && !l.Write && !l.missed {
		to = b.pickCache(l)
	}
	if to < 0 {
		b.finish(lkp)
		return
	}
	if b.servers[to].isOrigin && l.missed && !l.Write && l.keyHash != 0 { // not where a full cache has the value
		l.isFetch = true
		b.fetchWaiters[l.keyHash] = nil
	}
	b.sendAttempt(lkp, to)
}
