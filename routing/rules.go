package routing

// This file holds what the rules allow and how a lookup ends.

import "slices"

// mayDefer: a deferral promises that a retry is harmless.
func (b *Balancer) mayDefer(l *lookup) bool {
	ns := &b.spaces[l.Class]
	_, ran := l.firstRun()
	return !ran || ns.Idempotence == Safe || ns.Idempotence == IdempotentByKey && ns.SharedDedup
}

// mayShoot: no effect happens twice, nothing follows the end, and the host's bound on shots holds.
func (b *Balancer) mayShoot(l *lookup) bool {
	if !l.live || b.now >= l.giveUp || len(l.shots) >= b.config.MaxAttempts {
		return false
	}
	ns := &b.spaces[l.Class]
	first, ran := l.firstRun()
	// Half the memory span is kept for the way to the server: it counts from the send.
	return !ran || ns.Idempotence == Safe || ns.Idempotence == IdempotentByKey && ns.SharedDedup && b.now-first < ns.DedupWindow/2
}

// finish gives the final answer at once.
func (b *Balancer) finish(lkp int) {
	l := &b.lookups[lkp]
	b.feel(l, false)
	if b.mayDefer(l) {
		b.host.Reject(lkp, b.retryAfter(l))
	} else {
		b.host.Fail(lkp)
	}
	b.end(lkp)
}

// retryAfter asks a client back while an answer can still be in time, else to stay away for long.
func (b *Balancer) retryAfter(l *lookup) Time {
	most := b.config.MaxRetryAfter
	target := float64(b.spaces[l.Class].LatencyTarget)
	if float64(b.now-l.arrived) < earlyPart*target {
		return min(most, Time(returnPart*target*(1+b.draw())))
	} else if l.lacks != nil {
		return most/2 + Time(b.draw()*float64(most/2)) // all nodes may be short, and their clients come at once
	}
	return most
}

// feel notes how we fare with what is inside its share: where it suffers, what is beyond yields first. What
// ran out of time tells of its server more than of the load.
func (b *Balancer) feel(l *lookup, inTime bool) {
	switch {
	case l.over: // worth little whatever becomes of it
	case inTime:
		b.ease = min(1, b.ease+easeWon)
	case b.now >= l.giveUp:
		b.ease = max(0, b.ease-easeLate)
	default:
		b.ease = max(0, b.ease-easeLost)
	}
}

// end forgets a lookup; its shots that are out still settle.
func (b *Balancer) end(lkp int) {
	l := &b.lookups[lkp]
	l.live = false
	if l.waiting {
		l.waiting = false
		b.fetches[l.key] = slices.DeleteFunc(b.fetches[l.key], func(o int) bool { return o == lkp })
	}
	b.release(lkp)
}
