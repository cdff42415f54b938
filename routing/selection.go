package routing

// noServer is the server index that means that no server can be chosen.
const noServer = -1

const (
	// maxFallThroughs is how many ready caches without capacity a request may
	// fall through. A hot key needs more than one cache, but a higher limit
	// would scatter keys over the caches.
	maxFallThroughs = 2

	// A cache is busy if it has at least minBusyInFlight attempts of this node
	// in flight, and more than busyFactor times the mean plus one.
	minBusyInFlight = 2   // attempts
	busyFactor      = 2.0 // times the mean in flight

	// congestionFactor: if a full cache has at most this many times the mean in
	// flight, the other caches are about as full.
	congestionFactor = 1.5 // times the mean in flight
)

// pickServer returns the server for a request's next attempt, or noServer. A
// write goes to the origin. A request after a failed attempt or a miss goes to
// the origin as well if that has capacity. After a miss no further cache is
// tried, since the other caches are unlikely to have the value.
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

// pickCache returns the cache whose range contains the request's key, or noServer.
// If that cache is skipped or lacks capacity, pickCache falls through to the
// caches of the next ranges. If all of them are busy, it returns the first that
// is busy but not full. From a full cache the request goes to the origin if that
// has capacity, since the next caches are unlikely to have the value.
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
// than the mean of the ready caches.
func (s *serverState) isBusy(mean float64) bool {
	return s.inFlight >= minBusyInFlight && float64(s.inFlight) > busyFactor*mean+1
}

// showsCongestion reports whether a full cache indicates that the other caches
// are about as full, so that the next ones have no capacity either.
func (s *serverState) showsCongestion(mean float64) bool {
	return s.inFlight > 0 && float64(s.inFlight) <= congestionFactor*mean
}

// skipReason is the reason why a ready cache does not get a request's next
// attempt, regardless of its load.
type skipReason int

const (
	notSkipped           skipReason = iota
	skipAttempted                   // the request already had an attempt at this cache
	skipEjected                     // the cache is ejected, and the request may not probe it
	skipRetryBudget                 // the attempt is a retry, and the cache's retry budget is used up
	skipSlowStart                   // the cache is in slow start, and its tokens do not cover the work
	skipSlowStartQuota              // the cluster's quota for a cache in slow start or after an ejection is exhausted
	skipConcurrencyQuota            // the cluster's quota of attempts in flight is exhausted
)

// skipReason returns the first reason to skip a ready cache, or notSkipped.
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
	// This limit grows with the capacity of the cache, so it applies in addition
	// to the cluster's quota.
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
