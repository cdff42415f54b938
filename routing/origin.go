package routing

// This file holds what the origin may be asked, and who waits for a fetch.

import (
	"slices"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
)

// pickOrigin gives the origin that has room for a lookup and would answer it in time, or -1. What it takes is
// bounded by rate times time, writes first; its least room lets each node measure it.
func (b *Balancer) pickOrigin(l *requestState) int {
	if len(b.origins) == 0 {
		return -1
	}
	best := slices.MinFunc(b.origins, func(x, y int) int {
		return b.servers[x].inFlight - b.servers[y].inFlight
	})
	s, target := b.servers[best], b.shortestLatencyTarget // what may be patient must not keep waiting what may not
	if l.Write {
		target = b.classes[l.Class].LatencyTarget
	}
	room := max(minFleetFetches/b.nodeCount, min(s.concurrencyLimit, maxUnmeasuredFetches), b.perSecond(s.answers)*originTargetShare*seconds(target))
	if l.Write {
		room = writeLimitFactor * max(1, room)
	}
	if part := b.quotas[OriginConcurrency]; part == nil && s.inFlight >= int(room+b.draw()) || l.giveUpAt-b.now < s.meanLatency ||
		b.quotaExhausted(l, part) || b.quotaExhausted(l, b.quotas[OriginRate]) { // nor a fetch that would come too late
		return -1
	}
	return best
}

// quotaExhausted says whether the fleet's budget for the lookup's next step has nothing left for us.
func (b *Balancer) quotaExhausted(l *requestState, part *allowance.Limiter) bool {
	if part.Available(int64(b.now)) >= 1 {
		return false
	}
	if l.deniedBy != part {
		part.Denied()
		l.deniedBy = part
	}
	return true
}

// releaseFetchWaiters lets those who waited for this lookup's fetch go on.
func (b *Balancer) releaseFetchWaiters(lkp int) {
	l := &b.requests[lkp]
	if !l.isFetch {
		return
	}
	l.isFetch = false
	q := b.fetchWaiters[l.keyHash]
	delete(b.fetchWaiters, l.keyHash)
	for _, w := range q {
		b.requests[w].awaitsFetch, b.requests[w].missed = false, false // the value may be stored by now
		b.advance(w)
	}
}
