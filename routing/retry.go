package routing

const (
	retryBudgetPerAnswer = 0.25 // retries earned by an answer, so that a quarter of all attempts may be retries
	maxRetryBudget       = 5.0  // retries; bounds a burst of them at one server

	// dedupMarginDivisor: half of the deduplication window is left for the way
	// to the server, since the window counts from the send.
	dedupMarginDivisor = 2
)

// mayAttempt reports whether a request may have one more attempt: it is still
// worth an answer, has attempts left, and no effect would happen twice.
func (b *Balancer) mayAttempt(r *requestState) bool {
	if !r.active || b.now >= r.giveUpAt || len(r.attempts) >= b.config.MaxAttempts {
		return false
	}
	firstRun, mayHaveRun := r.firstPossibleRun()
	if !mayHaveRun {
		return true
	}
	class := &b.classes[r.Class]
	return class.mayRepeat() && (class.Idempotence == Safe || b.now-firstRun < class.DedupWindow/dedupMarginDivisor)
}

// mayReject reports whether a request may be rejected, which promises the
// client that a retry is harmless.
func (b *Balancer) mayReject(r *requestState) bool {
	_, mayHaveRun := r.firstPossibleRun()
	return !mayHaveRun || b.classes[r.Class].mayRepeat()
}

// mayRepeat reports whether a request of the class may run again after an
// attempt that may have run. For a keyed one the deduplication window bounds
// how long.
func (c *classState) mayRepeat() bool {
	return c.Idempotence == Safe || c.Idempotence == IdempotentByKey && c.SharedDedup
}

// firstPossibleRun returns the start of the first attempt that may have had an
// effect, if there is one.
func (r *requestState) firstPossibleRun() (startedAt Time, found bool) {
	for _, a := range r.attempts {
		if !a.neverRan {
			return a.startedAt, true
		}
	}
	return 0, false
}

// earnRetryBudget adds what an answer earns.
func (s *serverState) earnRetryBudget() {
	s.retryBudget = min(maxRetryBudget, s.retryBudget+retryBudgetPerAnswer)
}

// rejectOrFail gives up a request: it is rejected if a retry is harmless, else it
// fails.
func (b *Balancer) rejectOrFail(id int) {
	r := &b.requests[id]
	b.adjustAdmissionLevel(r, false)
	if b.mayReject(r) {
		b.host.Reject(id, b.retryAfter(r))
	} else {
		b.host.Fail(id)
	}
	b.endRequest(id)
}

const (
	earlyRejectShare = 0.4 // of the latency target, up to which a client's own retry can still be in time
	retryAfterShare  = 0.1 // of the latency target; a client waits this long, and up to as long again at random
)

// retryAfter returns the advice for a rejected client: a short wait while an
// answer can still be in time, else the longest that clients heed. If a quota
// was exhausted, all nodes may lack it, so their clients are spread out.
func (b *Balancer) retryAfter(r *requestState) Time {
	longest := b.config.MaxRetryAfter
	target := float64(b.classes[r.Class].LatencyTarget)
	switch {
	case float64(b.now-r.arrivedAt) < earlyRejectShare*target:
		return min(longest, Time(retryAfterShare*target*(1+b.draw())))
	case r.deniedBy != nil:
		return longest/2 + Time(b.draw()*float64(longest/2))
	}
	return longest
}
