package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Attempt is one attempt of a request at one endpoint. Its exported fields don't change after Transport.Send. The
// unexported ones are guarded by the Dispatcher's lock unless noted otherwise. Its methods may be called from any
// goroutine.
type Attempt struct {
	*Request
	Address     string
	Incarnation uint64        // of the endpoint; a new number after each restart, change of address or ejection
	Timeout     time.Duration // how long the node waits for an answer, and with a BodyStream again from its last byte on
	Origin      bool          // the endpoint is the origin
	SendBy      time.Time     // deadline for writing the first byte; zero: none

	pending        *PendingRequest // nil in tests of other packages
	endpointIndex  int
	replaced       *atomic.Bool // the endpoint's incarnation has ended; read without the lock
	number         int          // position among the request's attempts, from 0
	startedAt      time.Time    // when the balancer decided; after ReportBodySent: when the streamed body was written
	deadline       time.Time    // when the node stops waiting for an answer, or with a BodyStream for a connection; never changes
	bypassTimer    *time.Timer  // runs checkBypassed; nil: the attempt is not checked
	answerEnd      time.Time    // when a delivered answer must have ended; never changes
	reported       bool         // a result was reported to the balancer
	delivered      bool         // Deliver has delivered its answer
	settled        bool         // its result counts; a Bypassed attempt is reported without being settled
	finished       bool         // Finish was called
	bodySent       bool         // the balancer knows that the last byte of the streamed body was written
	writtenCounted atomic.Bool  // included in the metric of written attempts
	answerBegun    atomic.Bool  // the answer's first byte has come
}

// newAttempt returns an attempt with its deadlines set. Called with the lock held.
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
		replaced:      e.replaced,
		number:        r.attempts,
		startedAt:     d.decisionTime, // not time.Now(), as the process may have stalled since the decision
		answerEnd:     answerEnd(r, d.settings.MaxDeadline),
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

// sendBefore sets SendBy to t, unless an earlier time is set.
func (a *Attempt) sendBefore(t time.Time) {
	if a.SendBy.IsZero() || t.Before(a.SendBy) {
		a.SendBy = t
	}
}

// State reports whether the attempt may still be written: admission.Granted, RequestOver, ClientGone, ClientUnknown, or
// EndpointReplaced if the process for which it was decided has gone, so that another one may be at its address. It is called just before the first byte is written, and takes no lock of the Dispatcher. It checks the
// client's connection itself, as net/http detects a closed one late, and not at all while unread bytes precede the end of
// the stream.
func (a *Attempt) State() admission.Reason {
	if a.replaced != nil && a.replaced.Load() {
		return admission.EndpointReplaced
	}
	client := admission.Granted
	if a.CheckClient != nil && !faults.Disabled(faults.ClientGoneCheck) {
		client = a.CheckClient()
	}
	if client != admission.ClientGone && a.pending != nil && a.pending.ended.Load() { // checked last, as the request may end during the check above
		return admission.RequestOver
	}
	return client
}

// AttemptDeadline returns when the node stops waiting for an answer. The timeout counts from the balancer's decision.
// A streamed body must have begun by then; the wait for its answer counts from its last byte. takenAt, when the transport received the attempt, applies only to attempts without a Dispatcher, as in tests.
func (a *Attempt) AttemptDeadline(takenAt time.Time) time.Time {
	if a.deadline.IsZero() {
		return takenAt.Add(a.Timeout)
	}
	return a.deadline
}

// ClientDeadline returns when the client stops waiting, or with a streamed body the earliest such time, since its last
// byte may lie in the kernel already; zero: unknown.
func (a *Attempt) ClientDeadline() time.Time {
	if a.pending == nil {
		return time.Time{}
	}
	return a.pending.clientDeadline
}

// AnswerEnd returns when a delivered answer that is not long must have ended, unless the request has a streamed body;
// zero: unknown.
func (a *Attempt) AnswerEnd() time.Time { return a.answerEnd }

// LatestAnswer returns until when the client waits for the first bytes of a long answer, which may be later than the
// attempt's deadline; zero: unknown, as in tests or while a streamed body is sent.
func (a *Attempt) LatestAnswer() time.Time {
	if a.pending == nil || a.BodyStream != nil {
		return time.Time{}
	}
	r := a.pending
	return earlier(earlier(r.clientDeadline, r.receivedAt.Add(r.dispatcher.settings.MaxDeadline)), a.answerEnd)
}

// Deliver gives the client an answer of which a part was received; the rest is read from answer.BodyStream. It reports
// whether the answer is the request's first. The attempt stays in flight until Finish, which reports how the answer
// ended. long tells that the answer is known to be long, see ReportLong.
func (a *Attempt) Deliver(answer Answer, long bool) (delivered bool) {
	r := a.pending
	d := r.dispatcher
	d.withLock("answer delivered", r, func(now routing.Time) {
		if a.finished || r.ended.Load() {
			return
		}
		delivered = true
		a.delivered = true
		if long {
			a.settle(now, Complete, answer)
			return
		}
		d.finish(r, answer)
		d.balancer.ClientGone(now, r.index) // ends the request for the balancer, which still waits for the attempt's result
	})
	return delivered
}

// ReportLong reports that a delivered answer is long. The time of a long answer is that of its first bytes, so the
// attempt counts as Complete from now on, however its answer ends.
func (a *Attempt) ReportLong() {
	a.pending.dispatcher.withLock("long answer", a.pending, func(now routing.Time) {
		if !a.finished {
			a.settle(now, Complete, Answer{})
		}
	})
}

// Finish reports how the attempt ended. Further calls do nothing. A complete answer is delivered to the client, unless
// another one or this attempt's own was delivered before. The request's trace id stays in use until Finish was called
// for all of its attempts.
func (a *Attempt) Finish(result AttemptResult, answer Answer) {
	r := a.pending
	d := r.dispatcher
	d.withLock("attempt finished", r, func(now routing.Time) {
		if a.finished {
			return
		}
		a.finished = true
		r.inFlight--
		defer d.releaseIfDone(r)
		d.metrics.AttemptEnds.Add(result.String())
		if a.delivered && result != Complete {
			d.metrics.CountInterrupted(result.String())
		}
		a.settle(now, result, answer)
		d.finishHeld(r)
	})
}

// settle delivers a complete answer to the client and reports the result to the balancer, once. Called with the lock
// held.
func (a *Attempt) settle(now routing.Time, result AttemptResult, answer Answer) {
	if a.settled {
		return
	}
	a.settled = true
	r := a.pending
	d := r.dispatcher
	answeredAfterReport := result == Complete && a.reported && !r.ended.Load()
	if result.MayHaveRun() && !a.reported {
		r.noteMayHaveRun(a.startedAt) // before the request's end, which may release its id
	}
	if result == Complete {
		d.finish(r, answer) // before the report, which ends the request for the balancer
	}
	if answeredAfterReport {
		d.balancer.ClientGone(now, r.index) // ends the request for the balancer, which waits for other attempts
	}
	if result == EndedBeforeWrite && !r.ended.Load() {
		r.clientGone(now)
		r.answers <- Answer{Outcome: Failed} // the HTTP handler has not noticed that the client is gone, and waits
	}
	a.report(result)
	d.endpoints.entries[a.endpointIndex].noteResult(a, result)
	d.endpoints.releaseIfUnused(a.endpointIndex)
}

// ReportBodySent reports that the last byte of a streamed body was written.
func (a *Attempt) ReportBodySent() {
	a.pending.dispatcher.withLock("body sent", a.pending, func(routing.Time) { a.reportBodySent() })
}

// reportBodySent tells the balancer, once, that a streamed body is written, and restarts the attempt's latency
// measurement. Called with the lock held.
func (a *Attempt) reportBodySent() {
	if a.BodyStream == nil || a.bodySent || a.reported {
		return
	}
	a.bodySent = true
	a.startedAt = time.Now()
	d := a.pending.dispatcher
	d.balancer.BodySent(d.beginDecision(), a.pending.index, a.number)
}

// ReportAnswerBegun reports that the answer's first byte has come.
func (a *Attempt) ReportAnswerBegun() { a.answerBegun.Store(true) }

// ReportStalled reports that the answer has begun and then paused for unusually long, so that it may be stuck. If the
// attempt may be hedged it is reported to the balancer as Bypassed, and the balancer may start another one. The first
// complete answer is delivered.
func (a *Attempt) ReportStalled() {
	if a.pending == nil {
		return
	}
	a.pending.dispatcher.withLock("answer stalled", a.pending, func(routing.Time) {
		if !a.finished && a.mayHedge() {
			a.report(Bypassed)
		}
	})
}

// mayHedge reports whether another attempt may be in flight at the same time as this one. Called with the lock held.
func (a *Attempt) mayHedge() bool {
	d := a.pending.dispatcher
	return !a.delivered && !a.Write && a.BodyStream == nil && d.settings.HedgingAllowed() && d.settings.IsSafe(a.Class) && !d.quotas.boundsConcurrency(a)
}

// MayRetryAlone reports whether the request may have another attempt once this one has ended, but none beside it, however
// much of the request its server has executed.
func (a *Attempt) MayRetryAlone() bool {
	if a.pending == nil {
		return true
	}
	settings := a.pending.dispatcher.settings
	return a.BodyStream == nil && settings.IsSafe(a.Class) && !settings.HedgingAllowed()
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
