package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
)

// requestState is a request and what has become of it so far.
type requestState struct {
	Request
	active           bool    // a final answer is owed
	keyHash          uint64  // 0: the request has no key
	point            float64 // position of the key in [0, binCount)
	arrivedAt        Time
	giveUpAt         Time    // from then on an answer has no value
	work             float64 // in mean requests of the class
	exceedsEvenShare bool    // beyond the tenant's even share
	missed           bool    // a cache had no value for the key

	isFetch     bool // other requests for the key wait for its attempt at the origin
	awaitsFetch bool // waits for the fetch of another request

	deniedBy *allowance.Limiter // the quota that last kept it from its next step
	attempts []attempt
}

// attempt is one try of a request at one server.
type attempt struct {
	server    int
	startedAt Time // when it was handed to the host; its first byte may have left since
	sentAt    Time // when its last byte was written, as far as is known
	inFlight  bool
	neverRan  bool // proved to have had no effect
}

// classState is a class of requests and what was learned of it.
type classState struct {
	Class
	hintedWork     float64 // sum of Request.Work
	hintedRequests float64 // requests with a Work
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

// startRequest sets up the state of a new request.
func (b *Balancer) startRequest(id int, request Request) *requestState {
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

// earlyRejectionTicks is how many ticks of the clock before the latency target
// a request is given up, so that its rejection still arrives in time.
const earlyRejectionTicks = 2

// giveUpTime returns the time from which an answer has no value: the latency
// target if a late answer has none and a retry is safe, else the deadline.
func (b *Balancer) giveUpTime(request Request) Time {
	class := &b.classes[request.Class]
	if class.LateUtility == 0 && class.Idempotence == Safe {
		return min(request.Deadline, b.now+class.LatencyTarget-earlyRejectionTicks*b.config.Tick)
	}
	return request.Deadline
}

// setPoint sets the request's point: that of its key, or a random one.
func (b *Balancer) setPoint(r *requestState) {
	r.point = b.draw() * binCount // drawn for every request, so that keys do not shift the random sequence
	if r.Key == "" {
		return
	}
	r.keyHash = xxhash.Sum64String(r.Key) | 1 // 0 means no key
	r.point = keyPoint(r.keyHash)
	b.recordPoint(r.point)
}

// estimateWork sets the request's work from its hint, if it has one.
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
// the next attempt is the fetch of the value.
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

// sendAttempt sends a request to a server and pays for it.
func (b *Balancer) sendAttempt(id, server int) {
	r, s := &b.requests[id], b.servers[server]
	b.chargeAttempt(r, s)
	s.probing = s.probing || s.isEjected()
	if !r.Streaming {
		b.addInFlight(s, 1) // a server begins with the last byte, see BodySent
	}
	r.attempts = append(r.attempts, attempt{server: server, startedAt: b.now, sentAt: b.now, inFlight: true})
	b.host.Send(id, server, r.giveUpAt-b.now)
}

// chargeAttempt takes what an attempt costs from the budgets and quotas that
// bound it.
func (b *Balancer) chargeAttempt(r *requestState, s *serverState) {
	if b.inSlowStart(s) || s.isEjected() {
		s.slowStartQuota.Spend()
		s.slowStartTokens -= r.work
	}
	s.concurrencyQuota.Spend()
	if s.isOrigin {
		b.quotas[OriginRate].Spend()
		b.quotas[OriginConcurrency].Spend()
	} else if r.isRetry() {
		s.retryBudget--
	}
}

// refundAttempt refunds what an unsent attempt took, unless its server has
// restarted since.
func (b *Balancer) refundAttempt(r *requestState, attemptNumber int, s *serverState) {
	if s.StartedAt > r.attempts[attemptNumber].startedAt {
		return
	}
	s.slowStartTokens += r.work
	if attemptNumber > 0 && !r.missed {
		s.retryBudget = min(maxRetryBudget, s.retryBudget+1)
	}
}

// endRequest forgets a request. Its attempts in flight still end with
// AttemptDone.
func (b *Balancer) endRequest(id int) {
	b.requests[id].active = false
	b.stopAwaitingFetch(id)
	b.releaseFetchWaiters(id)
}
