package routing

// This file holds what the rules allow and how a lookup ends.

import "slices"

// mayDefer: a deferral promises that a retry is harmless.
func (b *Balancer) mayReject(l *requestState) bool {
	ns := &b.classes[l.Class]
	_, ran := l.firstPossibleRun()
	return !ran || ns.Idempotence == Safe || ns.Idempotence == IdempotentByKey && ns.SharedDedup
}

// mayShoot: no effect happens twice, nothing follows the end, and the host's bound on shots holds.
func (b *Balancer) mayAttempt(l *requestState) bool {
	if !l.active || b.now >= l.giveUpAt || len(l.attempts) >= b.config.MaxAttempts {
		return false
	}
	ns := &b.classes[l.Class]
	first, ran := l.firstPossibleRun()
	// Half the memory span is kept for the way to the server: it counts from the send.
	return !ran || ns.Idempotence == Safe || ns.Idempotence == IdempotentByKey && ns.SharedDedup && b.now-first < ns.DedupWindow/2
}

// finish gives the final answer at once.
func (b *Balancer) finish(lkp int) {
	l := &b.requests[lkp]
	b.adjustAdmissionLevel(l, false)
	if b.mayReject(l) {
		b.host.Reject(lkp, b.retryAfter(l))
	} else {
		b.host.Fail(lkp)
	}
	b.endRequest(lkp)
}

// retryAfter asks a client back while an answer can still be in time, else to stay away for long.
func (b *Balancer) retryAfter(l *requestState) Time {
	most := b.config.MaxRetryAfter
	target := float64(b.classes[l.Class].LatencyTarget)
	if float64(b.now-l.arrivedAt) < earlyRejectShare*target {
		return min(most, Time(retryAfterShare*target*(1+b.draw())))
	} else if l.deniedBy != nil {
		return most/2 + Time(b.draw()*float64(most/2)) // all nodes may be short, and their clients come at once
	}
	return most
}

// adjustAdmissionLevel notes how we fare with what is inside its share: where it suffers, what is beyond yields first. What
// ran out of time tells of its server more than of the load.
func (b *Balancer) adjustAdmissionLevel(l *requestState, inTime bool) {
	switch {
	case l.overQuota: // worth little whatever becomes of it
	case inTime:
		b.admissionLevel = min(1, b.admissionLevel+successGain)
	case b.now >= l.giveUpAt:
		b.admissionLevel = max(0, b.admissionLevel-expiryLoss)
	default:
		b.admissionLevel = max(0, b.admissionLevel-rejectionLoss)
	}
}

// endRequest forgets a lookup; its shots that are out still settle.
func (b *Balancer) endRequest(lkp int) {
	l := &b.requests[lkp]
	l.active = false
	if l.awaitsFetch {
		l.awaitsFetch = false
		b.fetchWaiters[l.keyHash] = slices.DeleteFunc(b.fetchWaiters[l.keyHash], func(o int) bool { return o == lkp })
	}
	b.releaseFetchWaiters(lkp)
}
