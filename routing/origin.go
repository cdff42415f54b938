package routing

// This file holds what the origin may be asked, and who waits for a fetch.

import (
	"slices"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
)

// origin gives the origin that has room for a lookup and would answer it in time, or -1. What it takes is
// bounded by rate times time, writes first; its least room lets each node measure it.
func (b *Balancer) origin(l *lookup) int {
	if len(b.origins) == 0 {
		return -1
	}
	best := slices.MinFunc(b.origins, func(x, y int) int {
		return b.servers[x].inFlight - b.servers[y].inFlight
	})
	s, target := b.servers[best], b.soonest // what may be patient must not keep waiting what may not
	if l.Write {
		target = b.spaces[l.Class].LatencyTarget
	}
	room := max(originLeast/b.nodes, min(s.calm, originOwn), b.rate(s.answers)*originPart*seconds(target))
	if l.Write {
		room = writeRoom * max(1, room)
	}
	if part := b.parts[OriginConcurrency]; part == nil && s.inFlight >= int(room+b.draw()) || l.giveUp-b.now < s.took ||
		b.lacks(l, part) || b.lacks(l, b.parts[OriginRate]) { // nor a fetch that would come too late
		return -1
	}
	return best
}

// lacks says whether the fleet's budget for the lookup's next step has nothing left for us.
func (b *Balancer) lacks(l *lookup, part *allowance.Limiter) bool {
	if part.Available(int64(b.now)) >= 1 {
		return false
	}
	if l.lacks != part {
		part.Denied()
		l.lacks = part
	}
	return true
}

// release lets those who waited for this lookup's fetch go on.
func (b *Balancer) release(lkp int) {
	l := &b.lookups[lkp]
	if !l.fetching {
		return
	}
	l.fetching = false
	q := b.fetches[l.key]
	delete(b.fetches, l.key)
	for _, w := range q {
		b.lookups[w].waiting, b.lookups[w].missed = false, false // the value may be stored by now
		b.advance(w)
	}
}
