package dispatch

import (
	"time"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// host implements routing.Host, through which the balancer orders actions. Its methods are called with the lock held.
type host struct{ *Dispatcher }

// Send starts an attempt, unless a rule of package admission forbids it.
func (h host) Send(requestIndex, endpointIndex int, timeout routing.Time) {
	r := h.requests.slots[requestIndex]
	a := h.newAttempt(r, endpointIndex, toDuration(timeout))
	permitted := h.mayStart(r, a)
	if r.ended.Load() {
		return // mayStart has reported the violation
	}
	r.attempts++
	r.started = append(r.started, a)
	r.inFlight++
	h.trackAttempt(a)
	h.stats.Attempts++
	if !permitted {
		go a.Finish(NoResources, Answer{})
		return
	}
	h.transport.Send(a)
}

// Reject ends a request and promises the client that a retry is harmless. If a retry might not be, the request fails
// instead.
func (h host) Reject(requestIndex int, retryAfter routing.Time) {
	r := h.requests.slots[requestIndex]
	answer := Answer{Outcome: Rejected, RetryAfter: toDuration(retryAfter)}
	if !h.mayReject(r) {
		answer = Answer{Outcome: Failed}
	}
	if h.mayAnswer(r) {
		h.endWith(r, answer)
	}
}

// Fail ends a request without a promise about its effect.
func (h host) Fail(requestIndex int) {
	r := h.requests.slots[requestIndex]
	if h.mayAnswer(r) {
		h.endWith(r, Answer{Outcome: Failed})
	}
}

// endWith ends a request without a server's answer. The balancer doesn't wait for an attempt that was reported as Bypassed; if such an attempt has begun
// to bring its answer, the request's end is held until no such attempt is in flight. Each of them ends by its own deadline.
func (h host) endWith(r *PendingRequest, answer Answer) {
	if r.awaitsAnswer() {
		r.held = &answer
		return
	}
	h.finish(r, answer)
}

// Subscribe starts to fetch and watch the endpoint list.
func (h host) Subscribe() { h.endpointSource.Subscribe() }

// CloseIdleConnections closes an endpoint's idle connections, except for keep of them.
func (h host) CloseIdleConnections(endpointIndex, keep int) {
	h.transport.CloseIdleConnections(h.endpoints.entries[endpointIndex].incarnation, keep)
}

// SetAlarm schedules a call of the balancer's Alarm method at fireAt or soon after.
func (h host) SetAlarm(fireAt routing.Time, handle int) { h.alarms.add(fireAt, handle, h.clock) }

// toDuration converts a duration in ticks.
func toDuration(t routing.Time) time.Duration { return config.TimeToDuration(t) }
