package routing

const (
	retryBudgetPerAnswer = 0.25 // retries added per answer, so that in the long run retries are at most a quarter of the answers
	maxRetryBudget       = 5.0  // retries; bounds a burst of retries at one server

	// dedupMarginDivisor reserves half of the deduplication window for the time
	// that a retry takes to reach the server. The window starts when the first
	// attempt is sent.
	dedupMarginDivisor = 2
)

// mayAttempt reports whether a request may have one more attempt: an answer still
// has value, the request has attempts left, and it would not take effect twice.
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
// attempt that may have run. A request that is idempotent by key may do so only
// within its deduplication window, which the caller checks.
func (c *classState) mayRepeat() bool {
	return c.Idempotence == Safe || c.Idempotence == IdempotentByKey && c.SharedDedup
}

// firstPossibleRun returns the start time of the first attempt that may have had
// an effect, if there is one.
func (r *requestState) firstPossibleRun() (startedAt Time, found bool) {
	for _, a := range r.attempts {
		if !a.neverRan {
			return a.startedAt, true
		}
	}
	return 0, false
}

// earnRetryBudget adds retryBudgetPerAnswer to the server's retry budget.
func (s *serverState) earnRetryBudget() {
	s.retryBudget = min(maxRetryBudget, s.retryBudget+retryBudgetPerAnswer)
}

// rejectOrFail ends a request without an answer from a server: it is rejected if a
// retry by the client is harmless, else it fails.
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
	earlyRejectShare = 0.4 // share of the latency target up to which a client's own retry can still be in time
	retryAfterShare  = 0.1 // share of the latency target that a client waits; a random delay of up to as long is added
)

// retryAfter returns the Retry-After for a rejected client: a short delay while an
// answer can still be in time, else the longest that clients honor. If a quota
// was exhausted, other nodes may reject for the same reason, so a random delay
// spreads the clients' retries.
func (b *Balancer) retryAfter(r *requestState) Time {
	maxRetryAfter := b.config.MaxRetryAfter
	target := float64(b.classes[r.Class].LatencyTarget)
	switch {
	case float64(b.now-r.arrivedAt) < earlyRejectShare*target:
		return min(maxRetryAfter, Time(retryAfterShare*target*(1+b.draw())))
	case r.deniedBy != nil:
		return maxRetryAfter/2 + Time(b.draw()*float64(maxRetryAfter/2))
	}
	return maxRetryAfter
}
