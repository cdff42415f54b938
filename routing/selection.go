package routing

// noServer is the index where no server can be chosen.
const noServer = -1

const (
	// maxFallThroughs is how many ready caches without capacity a request may
	// pass. A hot key needs some; with more, keys scatter over the caches.
	maxFallThroughs = 2

	// A cache is busy with minBusyInFlight attempts of this node or more, and
	// more than busyFactor times the mean plus one.
	minBusyInFlight = 2   // attempts
	busyFactor      = 2.0 // times the mean in flight

	// congestionFactor: a full cache with no more than this many times the
	// mean in flight shows that the others are about as full.
	congestionFactor = 1.5 // times the mean in flight
)

// pickServer chooses the server for a request's next attempt, or noServer. A
// write goes to the origin, and so does a request after a failed attempt
// or a miss, if the origin has capacity. After a miss no further cache is
// tried, since hardly another one has the value.
func (b *Balancer) pickServer(r *requestState) int {
	if r.Write || len(r.attempts) > 0 {
		if origin := b.pickOrigin(r); origin != noServer {
			return origin
		}
	}
	if r.Write || r.missed {
		return noServer
	}
	return b.pickCache(r)
}

// pickCache chooses the cache whose range holds the request's key, and falls
// through to the next ranges where that one is skipped or lacks capacity. If
// all caches within reach are busy, it takes the first of them that is not
// full. Before a request falls through from a full cache it goes to the origin
// if that has capacity: the next caches hardly have the value.
func (b *Balancer) pickCache(r *requestState) int {
	n := len(b.ready)
	if n == 0 {
		return noServer
	}
	mean := b.meanInFlight()
	first := b.rangeOf(r.point)
	firstBusy := noServer
	fallThroughs := 0
	for step := 0; step < n && fallThroughs <= maxFallThroughs; step++ {
		server := b.ready[(first+step)%n]
		s := b.servers[server]
		if b.skipReason(r, server) != notSkipped {
			continue
		}
		switch {
		case b.isFull(r, s):
			if origin := b.pickOrigin(r); origin != noServer {
				return origin
			}
			if s.showsCongestion(mean) {
				return firstBusy
			}
		case !s.isBusy(mean):
			return server
		case firstBusy == noServer:
			firstBusy = server
		}
		fallThroughs++
	}
	return firstBusy
}

// isBusy reports whether a cache has far more attempts of this node in flight
// than the mean.
func (s *serverState) isBusy(mean float64) bool {
	return s.inFlight >= minBusyInFlight && float64(s.inFlight) > busyFactor*mean+1
}

// showsCongestion reports whether a full cache shows that all are about as
// full, so that a request finds no capacity at the next ones.
func (s *serverState) showsCongestion(mean float64) bool {
	return s.inFlight > 0 && float64(s.inFlight) <= congestionFactor*mean
}

// skipReason says why a ready cache does not get a request's next attempt,
// whatever its load.
type skipReason int

const (
	notSkipped           skipReason = iota
	skipAttempted                   // the request had an attempt there
	skipEjected                     // an outlier, and the request may not probe it
	skipRetryBudget                 // a retry, and the server's budget for retries is spent
	skipSlowStart                   // it bears no more during slow start
	skipSlowStartQuota              // the cluster's quota for it in slow start or after an ejection is exhausted
	skipConcurrencyQuota            // the cluster's quota of attempts in flight is exhausted
)

// skipReason returns the first reason to skip a ready cache.
func (b *Balancer) skipReason(r *requestState, server int) skipReason {
	s := b.servers[server]
	if r.attempted(server) {
		return skipAttempted
	}
	if s.isEjected() && !b.mayProbe(r, s) {
		return skipEjected
	}
	if r.isRetry() && s.retryBudget < 1 {
		return skipRetryBudget
	}
	// This limit grows with the cache, so it holds beside the cluster's quota.
	slowStart := b.inSlowStart(s)
	if slowStart && b.slowStartAllowance(r, s) < r.work {
		return skipSlowStart
	}
	if (slowStart || s.isEjected()) && b.quotaExhausted(r, s.slowStartQuota) {
		return skipSlowStartQuota
	}
	if b.quotaExhausted(r, s.concurrencyQuota) {
		return skipConcurrencyQuota
	}
	return notSkipped
}
