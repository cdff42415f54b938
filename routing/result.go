package routing

// AttemptDone reports the result of an attempt, and whether that was the
// request's final answer. An attempt that outlasts its request is reported, too.
func (b *Balancer) AttemptDone(now Time, id, attemptNumber int, result Result, ended bool) {
	b.advanceClock(now)
	r := &b.requests[id]
	a := &r.attempts[attemptNumber]
	a.inFlight = false
	a.neverRan = result.neverRan()
	b.learnFromResult(r, attemptNumber, result)
	r.missed = r.missed || result == NotFound
	if !r.active {
		return
	}
	if ended {
		b.adjustAdmissionLevel(r, now-r.arrivedAt <= b.classes[r.Class].LatencyTarget)
		b.endRequest(id)
		return
	}
	b.releaseFetchWaiters(id)
	b.advance(id)
}

// learnFromResult updates the state of a server by the result of an attempt.
func (b *Balancer) learnFromResult(r *requestState, attemptNumber int, result Result) {
	a := r.attempts[attemptNumber]
	s := b.servers[a.server]
	latency := b.now - a.sentAt
	slow := false
	if result != EndedBeforeWrite {
		s.recordLatency(latency)
		slow = b.classes[r.Class].isSlow(latency)
	}
	b.returnConcurrencyQuota(s)
	if result == TimedOut && !slow {
		result = Canceled // the request had little time left, so the timeout says nothing about the server
	}
	b.addInFlight(s, -1)
	b.updateEjection(s, result)
	if result.isAnswer() {
		b.growIdleTimeout()
		s.earnRetryBudget()
		s.countAnswer(attemptNumber == 0)
	}
	b.closeIdleConnections(a.server, result)
	if result == EndedBeforeWrite {
		b.refundAttempt(r, attemptNumber, s)
	} else {
		s.adjustConcurrencyLimit(result, slow)
	}
}

// countAnswer counts an answer in the server's rates.
func (s *serverState) countAnswer(firstAttempt bool) {
	s.answers++
	if firstAttempt {
		s.firstAttemptAnswers++
	}
}

// returnConcurrencyQuota returns what an attempt took from the quotas that bound
// attempts in flight.
func (b *Balancer) returnConcurrencyQuota(s *serverState) {
	s.concurrencyQuota.RequestEnded(int64(s.meanLatency))
	if s.isOrigin {
		b.quotas[OriginConcurrency].RequestEnded(int64(s.meanLatency))
	}
}

// neverRan reports whether the result proves that the attempt had no effect.
func (r Result) neverRan() bool {
	switch r {
	case Rejected, ConnectFailed, NotSent, NotFound, ConnectionLimit, ConnectTimeout, EndedBeforeWrite:
		return true
	}
	return false
}

// isAnswer reports whether the server processed the attempt without an error.
func (r Result) isAnswer() bool { return r == Served || r == NotFound }
