package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
)

// requestState is the state of a request.
type requestState struct {
	Request
	active           bool    // the final answer is still to be given
	keyHash          uint64  // 0: the request has no key
	point            float64 // position of the key in [0, binCount)
	arrivedAt        Time
	giveUpAt         Time    // from this time on an answer has no value
	work             float64 // in multiples of the class's mean request
	exceedsEvenShare bool    // exceeds the tenant's even share
	missed           bool    // a cache had no value for the key

	isFetch     bool // its attempt at the origin is a fetch that other requests for the key wait for
	awaitsFetch bool // waits for another request's fetch

	deniedBy *quotalimit.Limiter // the quota that last denied its next step
	attempts []attempt
}

// attempt is one try of a request at one server.
type attempt struct {
	server    int
	startedAt Time // when Host.Send was called; the first byte may have been written at any time since
	sentAt    Time // when the last byte was written, as far as is known
	inFlight  bool
	neverRan  bool // the attempt is known to have had no effect
}

// classState is a class of requests with its statistics.
type classState struct {
	Class
	hintedWork     float64 // sum of Request.Work, a hint of the client
	hintedRequests float64 // number of requests with such a hint
}

// initClasses sets up the classes of the configuration.
func (b *Balancer) initClasses() {
	for _, class := range b.config.Classes {
		b.classes = append(b.classes, classState{Class: class})
		if b.shortestLatencyTarget == 0 || class.LatencyTarget < b.shortestLatencyTarget {
			b.shortestLatencyTarget = class.LatencyTarget
		}
	}
}

// initRequest sets up the state of a new request.
func (b *Balancer) initRequest(id int, request Request) *requestState {
	for id >= len(b.requests) {
		b.requests = append(b.requests, requestState{})
	}
	r := &b.requests[id]
	*r = requestState{
		Request:   request,
		active:    true,
		arrivedAt: b.now,
		giveUpAt:  b.giveUpTime(request),
		work:      1,
		attempts:  r.attempts[:0],
	}
	b.setPoint(r)
	b.estimateWork(r)
	return r
}

// earlyRejectionTicks is how many clock ticks before its latency target a
// request is rejected, so that the rejection arrives within the target.
const earlyRejectionTicks = 2

// giveUpTime returns the time from which an answer has no value: shortly before
// the latency target if a late answer has no utility and a retry is safe, else
// the deadline.
func (b *Balancer) giveUpTime(request Request) Time {
	class := &b.classes[request.Class]
	if class.LateUtility == 0 && class.Idempotence == Safe {
		return min(request.Deadline, b.now+class.LatencyTarget-earlyRejectionTicks*b.config.Tick)
	}
	return request.Deadline
}

// setPoint sets the request's point to that of its key, or to a random one if it has
// no key.
func (b *Balancer) setPoint(r *requestState) {
	r.point = b.draw() * binCount // drawn for every request, so that the random sequence does not depend on keys
	if r.Key == "" {
		return
	}
	r.keyHash = xxhash.Sum64String(r.Key) | 1 // 0 means no key
	r.point = keyPoint(r.keyHash)
	b.recordPoint(r.point)
}

// estimateWork sets the request's work from the client's hint, if there is one.
func (b *Balancer) estimateWork(r *requestState) {
	if r.Work <= 0 {
		return
	}
	class := &b.classes[r.Class]
	class.hintedWork += r.Work
	class.hintedRequests++
	r.work = r.Work * class.hintedRequests / class.hintedWork
}

// isRetry reports whether the next attempt repeats a failed one. After a miss
// the next attempt fetches the value and is no retry.
func (r *requestState) isRetry() bool { return len(r.attempts) > 0 && !r.missed }

// attempted reports whether the request had an attempt at a server.
func (r *requestState) attempted(server int) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == server })
}

// attemptInFlight reports whether an attempt has not ended yet.
func (r *requestState) attemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight })
}

// advance takes the next step of a request without an attempt in flight: it
// waits for a fetch of the same key, sends an attempt, or ends.
func (b *Balancer) advance(id int) {
	r := &b.requests[id]
	if r.attemptInFlight() {
		return
	}
	r.deniedBy = nil
	if !b.mayAttempt(r) {
		b.rejectOrFail(id)
		return
	}
	if b.mustAwaitFetch(r) {
		b.awaitFetch(id)
		return
	}
	server := b.pickServer(r)
	if server == noServer {
		b.rejectOrFail(id)
		return
	}
	if b.isFetchAttempt(r, server) {
		b.beginFetch(r)
	}
	b.sendAttempt(id, server)
}

// sendAttempt sends an attempt to a server and charges the budgets and quotas
// that bound it.
func (b *Balancer) sendAttempt(id, server int) {
	r, s := &b.requests[id], b.servers[server]
	b.chargeAttempt(r, s)
	s.probing = s.probing || s.isEjected()
	if !r.Streaming {
		b.addInFlight(s, 1) // a streamed request is counted from its last byte on, see BodySent
	}
	r.attempts = append(r.attempts, attempt{server: server, startedAt: b.now, sentAt: b.now, inFlight: true})
	b.host.Send(id, server, r.giveUpAt-b.now)
}

// chargeAttempt deducts the cost of an attempt from the budgets and quotas that
// bound it.
func (b *Balancer) chargeAttempt(r *requestState, s *serverState) {
	if b.inSlowStart(s) || s.isEjected() {
		s.slowStartQuota.RequestStarted()
		s.slowStartTokens -= r.work
	}
	s.concurrencyQuota.RequestStarted()
	if s.isOrigin {
		b.quotas[OriginRate].RequestStarted()
		b.quotas[OriginConcurrency].RequestStarted()
	} else if r.isRetry() {
		s.retryBudget--
	}
}

// refundAttempt returns the slow-start tokens and the retry budget of an attempt
// that was not sent, unless its server has restarted since.
func (b *Balancer) refundAttempt(r *requestState, attemptNumber int, s *serverState) {
	if s.StartedAt > r.attempts[attemptNumber].startedAt {
		return
	}
	s.slowStartTokens += r.work
	if attemptNumber > 0 && !r.missed {
		s.retryBudget = min(maxRetryBudget, s.retryBudget+1)
	}
}

// endRequest ends a request. AttemptDone is still called for its attempts in
// flight.
func (b *Balancer) endRequest(id int) {
	b.requests[id].active = false
	b.stopAwaitingFetch(id)
	b.releaseFetchWaiters(id)
}
