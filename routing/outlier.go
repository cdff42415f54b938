package routing

// This file holds what is learned from how shots ended.

import "math"

// AttemptDone tells how a shot ended, and whether the lookup is over.
func (b *Balancer) AttemptDone(now Time, lkp, number int, code Result, ended bool) {
	b.advanceClock(now)
	l := &b.requests[lkp]
	t := &l.attempts[number]
	t.inFlight, t.neverRan = false, code == Rejected || code == ConnectFailed || code == NotSent || code >= NotFound
	s := b.servers[t.server]
	if code != Withheld {
		s.meanLatency += (now - t.sentAt - s.meanLatency) / 8
	}
	if s.concurrencyQuota.Ended(int64(s.meanLatency)); s.isOrigin {
		b.quotas[OriginConcurrency].Ended(int64(s.meanLatency))
	}
	// Crowded caches slow down, so the room shrinks until their answers are quick again.
	slow := code != Withheld && now-t.sentAt > Time(slowAnswerShare*float64(b.classes[l.Class].LatencyTarget))
	if code == TimedOut && !slow {
		code = Canceled // the lookup had little time left, which says nothing of the server
	}
	b.learnFromResult(s, number, code)
	none := code == ConnectFailed || code == ConnectionLimit
	s.hasIdleConnection, s.lastDoneAt = !none && code != ConnectTimeout, now
	switch need := b.perSecond(s.answers) * seconds(s.meanLatency); {
	case s.isOrigin: // all nodes share it and are always at work there: what one has beyond its need never idles out
		b.host.CloseIdle(t.server, 1+int(need+math.Sqrt(need)))
	case none: // not where the server is dead or cut off: then none is short of connections
		b.closeIdleConnections()
	case s.inFlight == 0 && b.idleTimeout < minIdleTimeout:
		s.hasIdleConnection = false
		b.host.CloseIdle(t.server, 0)
	}
	switch {
	case code == Withheld && s.StartedAt <= t.startedAt: // it gives back what it took, but to no server that has begun since
		if s.slowStartTokens += l.work; number > 0 && !l.missed {
			s.retryBudget = min(maxRetryBudget, s.retryBudget+1)
		}
	case code == ConnectionLimit: // what it took connections for is what it has room for
		s.concurrencyLimit = min(s.concurrencyLimit, max(1, float64(s.inFlight)))
	case slow && code == TimedOut: // all nodes must let go of it before it works for nobody
		s.concurrencyLimit = max(minConcurrencyLimit, s.concurrencyLimit*(1-timeoutLimitDecrease))
	case slow || code == Rejected:
		s.concurrencyLimit = max(minConcurrencyLimit, s.concurrencyLimit*(1-limitDecrease))
	case code == Served || code == NotFound: // a failure may be quick as well
		won := limitIncrease
		if s.isOrigin && s.concurrencyLimit < maxUnmeasuredFetches {
			won = originLimitIncrease
		}
		s.concurrencyLimit = min(maxConcurrencyLimit, s.concurrencyLimit+won)
	}
	l.missed = l.missed || code == NotFound
	switch {
	case !l.active:
	case ended:
		b.adjustAdmissionLevel(l, now-l.arrivedAt <= b.classes[l.Class].LatencyTarget)
		b.endRequest(lkp)
	default:
		b.releaseFetchWaiters(lkp)
		b.advance(lkp)
	}
}

// closeIdleConnections closes what has been idle for as long as we keep it, when a connect has failed elsewhere.
func (b *Balancer) closeIdleConnections() {
	b.idleTimeout /= idleTimeoutDivisor
	for i, s := range b.servers {
		if s != nil && s.inFlight == 0 && s.hasIdleConnection && b.now >= s.lastDoneAt+b.idleTimeout {
			s.hasIdleConnection = false
			b.host.CloseIdle(i, 0)
		}
	}
}

// learnFromResult learns from an outcome, late ones too.
func (b *Balancer) learnFromResult(s *serverState, number int, code Result) {
	b.addInFlight(s, -1)
	s.probing = false
	switch code {
	case Served, NotFound:
		s.consecutiveFailures, s.ejectionTime = 0, 0
		b.idleTimeout = min(maxIdleTimeout, b.idleTimeout+idleTimeoutIncrease)
		s.retryBudget = min(maxRetryBudget, s.retryBudget+retryBudgetPerAnswer)
		if s.answers++; number == 0 {
			s.firstAttemptAnswers++
		}
	case Rejected, ConnectionLimit:
		s.consecutiveFailures, s.ejectionTime = 0, 0
	case ConnectFailed, ConnectTimeout, ConnectionBroken:
		b.recordFailure(s, failuresToEject)
	case TimedOut, ServerError:
		b.recordFailure(s, 1)
	}
}

// recordFailure counts failures in a row; enough of them make a suspect, resting longer each time.
func (b *Balancer) recordFailure(s *serverState, n int) {
	if s.consecutiveFailures += n; s.consecutiveFailures >= failuresToEject && b.now >= s.ejectedUntil {
		s.ejectionTime = min(max(minEjectionTime, 2*s.ejectionTime), maxEjectionTime)
		s.ejectedUntil = b.now + s.ejectionTime
	}
}

// IsEjected tells that a server is a suspect, and gets a trial at the most.
func (b *Balancer) IsEjected(server int) bool { return b.servers[server].ejectionTime > 0 }

// ProbeResult tells how another node's trial of a server went, and until when to wait for its next.
func (b *Balancer) ProbeResult(now Time, server int, well bool, next Time) {
	if s := b.servers[server]; well {
		s.ejectedUntil = min(s.ejectedUntil, now)
	} else if s.ejectionTime > 0 {
		s.ejectedUntil = max(s.ejectedUntil, min(next, now+maxEjectionTime)) // no word from outside holds for long
	}
}
