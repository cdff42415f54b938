package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Attempt is one try of a request at one endpoint. Its exported fields don't change once it is sent; unless said
// otherwise the unexported ones are guarded by the Dispatcher's lock. Its methods may be called from any goroutine.
type Attempt struct {
	*Request
	Address     string
	Incarnation uint64        // incarnation of the endpoint: a new number after each restart, move or ejection
	Timeout     time.Duration // how long an answer is waited for
	Origin      bool          // the endpoint is the origin
	SendBy      time.Time     // when the first byte must have been written; zero: any time

	pending        *PendingRequest // nil in tests of other packages
	endpointIndex  int
	number         int         // of the request's attempts, from 0
	startedAt      time.Time   // when it was decided on; of a streamed body, from BodySent on, when its last byte went out
	deadline       time.Time   // when the node stops waiting for an answer; never changes
	bypassTimer    *time.Timer // checks whether later attempts at the endpoint were answered; nil: never
	reported       bool        // the balancer takes it to be over
	finished       bool        // Finish was called
	bodySent       bool        // of a streamed body: the balancer knows that its last byte was written
	streaming      bool        // it gave the final answer, whose Rest is still being read
	writtenCounted atomic.Bool // in the metric of written attempts
}

// newAttempt builds an attempt with the times that it has to keep. Called with the lock held.
func (d *Dispatcher) newAttempt(r *PendingRequest, endpointIndex int, timeout time.Duration) *Attempt {
	e := &d.endpoints.entries[endpointIndex]
	a := &Attempt{
		Request:       &r.Request,
		Address:       e.address,
		Incarnation:   e.incarnation,
		Timeout:       timeout,
		Origin:        e.origin,
		pending:       r,
		endpointIndex: endpointIndex,
		number:        r.attempts,
		startedAt:     d.decisionTime, // not now: the process may have been held up since the decision
	}
	if grace := d.settings.DrainGrace; grace > 0 {
		a.sendBefore(a.startedAt.Add(sendWindow(grace)))
	}
	if window := d.settings.DedupWindow(r.Class) / dedupWindowDivisor; a.number > 0 && window > 0 {
		a.sendBefore(a.startedAt.Add(window))
	}
	if d.quotas.active {
		d.quotas.applyTimeLimits(a)
	}
	a.deadline = a.startedAt.Add(a.Timeout)
	return a
}

// sendBefore sets the latest time for the first byte, unless an earlier one is set.
func (a *Attempt) sendBefore(t time.Time) {
	if a.SendBy.IsZero() || t.Before(a.SendBy) {
		a.SendBy = t
	}
}

// ClientState reports whether the client still waits for the attempt: admission.Granted, RequestOver or ClientGone. It
// is called just before the first byte is written. It takes no lock, and looks at the client's connection itself, as
// net/http notices a closed one late and only where no unread bytes lie before the end.
func (a *Attempt) ClientState() admission.Reason {
	if a.ClientGone != nil && !faults.Without(faults.ClientLook) && a.ClientGone() {
		return admission.ClientGone
	}
	if a.pending != nil && a.pending.ended.Load() { // last, as the final answer may come while the kernel is asked
		return admission.RequestOver
	}
	return admission.Granted
}

// AttemptDeadline returns when the node stops waiting for an answer. It counts from the decision, not from takenAt, when
// the transport took the attempt.
func (a *Attempt) AttemptDeadline(takenAt time.Time) time.Time {
	if a.deadline.IsZero() {
		return takenAt.Add(a.Timeout)
	}
	return a.deadline
}

// ClientDeadline returns when the client stops waiting; zero where that is unknown.
func (a *Attempt) ClientDeadline() time.Time {
	if a.pending == nil {
		return time.Time{}
	}
	return a.pending.clientDeadline
}

// Finish reports how the attempt ended; further calls do nothing. The request's first complete answer goes to its
// client, and delivered says that this is the one. The Rest of such an answer is read afterwards, until Release, but
// for the balancer the attempt is over.
func (a *Attempt) Finish(result AttemptResult, answer Answer) (delivered bool) {
	r := a.pending
	d := r.dispatcher
	d.withLock("attempt finished", r, func(now routing.Time) {
		if a.finished {
			return
		}
		a.finished = true
		delivered = result == Complete && !r.ended.Load()
		a.streaming = delivered && answer.Rest != nil
		if !a.streaming {
			r.inFlight--
			defer d.releaseIfDone(r)
		}
		a.settle(now, result, answer)
	})
	return delivered
}

// settle answers the client, where the attempt decides that, and reports the result. Called with the lock held.
func (a *Attempt) settle(now routing.Time, result AttemptResult, answer Answer) {
	r := a.pending
	d := r.dispatcher
	answeredAfterReport := result == Complete && a.reported && !r.ended.Load()
	if result == Complete {
		d.finish(r, answer) // before the report, as the balancer takes the request to be over from then on
	}
	if answeredAfterReport {
		d.balancer.ClientGone(now, r.index) // it still waits for other attempts
	}
	if result == Withheld && !r.ended.Load() {
		r.clientGone(now)
		r.answers <- Answer{Outcome: Failed} // the client's handler has not noticed yet and waits
	}
	a.report(result)
	d.endpoints.entries[a.endpointIndex].noteResult(a, result)
	d.endpoints.releaseIfUnused(a.endpointIndex)
}

// Release reports that the Rest of an answer is closed, or that there was none. The request's trace id stays in use
// until then.
func (a *Attempt) Release() {
	r := a.pending
	r.dispatcher.withLock("answer streamed", r, func(routing.Time) {
		if a.streaming {
			a.streaming = false
			r.inFlight--
			r.dispatcher.releaseIfDone(r)
		}
	})
}

// BodySent reports that the last byte of a streamed body was written.
func (a *Attempt) BodySent() {
	a.pending.dispatcher.withLock("body sent", a.pending, func(routing.Time) { a.reportBodySent() })
}

// reportBodySent tells the balancer, once, that an attempt with a streamed body is timed from now on. Called with the
// lock held.
func (a *Attempt) reportBodySent() {
	if a.Rest == nil || a.bodySent || a.reported {
		return
	}
	a.bodySent = true
	a.startedAt = time.Now()
	d := a.pending.dispatcher
	d.balancer.BodySent(d.beginDecision(), a.pending.index, a.number)
}

// Stalled reports that the answer has begun and then paused for unusually long, so that it may be stuck. Where a hedged
// request is allowed the balancer takes the attempt to be over and may start another; the first complete answer counts.
func (a *Attempt) Stalled() {
	if a.pending == nil {
		return
	}
	a.pending.dispatcher.withLock("answer stalled", a.pending, func(routing.Time) {
		if !a.finished && a.mayHedge() {
			a.report(Bypassed)
		}
	})
}

// mayHedge reports whether another attempt may run beside this one. Called with the lock held.
func (a *Attempt) mayHedge() bool {
	d := a.pending.dispatcher
	return !a.Write && d.settings.HedgingAllowed() && d.settings.IsSafe(a.Class) && !d.quotas.boundsConcurrency(a)
}

// report tells the balancer, once, how the attempt ended. Called with the lock held.
func (a *Attempt) report(result AttemptResult) {
	if a.reported {
		return
	}
	a.reportBodySent()
	a.reported = true
	r := a.pending
	d := r.dispatcher
	if result.MayHaveRun() {
		r.noteMayHaveRun(a.startedAt)
	}
	d.stats.Results[result]++
	d.endpoints.entries[a.endpointIndex].untrack(a)
	d.balancer.AttemptDone(d.beginDecision(), r.index, a.number, result.Code(), result == Complete || r.ended.Load())
}
