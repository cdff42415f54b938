package upstream

import (
	"errors"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

const (
	// overduePollInterval is how often an answer is checked that goes on after its deadline.
	overduePollInterval = 20 * time.Millisecond
	// minOverdueWaits is at how many checks in a row the server must be waited for before such an answer is cut off.
	minOverdueWaits = 2
	// minAnswerPace is the least mean pace, in bytes per second, of an answer that is about to become long.
	minAnswerPace = 16 << 10
	// deliveryMargin is how long before the deadline an answer is streamed that may be long and has begun.
	deliveryMargin = 50 * time.Millisecond
	// deliveryMarginDivisor limits deliveryMargin to a quarter of the time that remains.
	deliveryMarginDivisor = 4
)

// errTimedOut is the cancellation cause of an exchange whose answer did not come in time.
var errTimedOut = errors.New("no answer in time")

// answerTimeout aborts an exchange whose answer takes too long, from its start to the answer's last byte. Its deadline is
//
//   - the attempt's, until the answer has been received or a part of it is streamed,
//   - the client's, if the attempt's is earlier, once the head of an answer has come that may be long,
//   - then streamDeadline, until the answer is known to be long,
//   - then the end of MaxStreamDuration.
//
// It is guarded by the exchange's lock. While a streamed request body is sent it is paused; checkUpload applies.
type answerTimeout struct {
	timer    *time.Timer
	deadline time.Time
	cause    error         // with which the exchange is canceled
	stream   *answerStream // nil: nothing was delivered yet
	paused   bool
	stopped  bool // for good

	overdueWaits int // checks in a row at which the server was waited for after the deadline
}

// startAnswerTimeout starts the timer.
func (x *exchange) startAnswerTimeout() {
	x.mu.Lock() // the timer may fire at once
	defer x.mu.Unlock()
	x.timeout.timer = time.AfterFunc(time.Until(x.timeout.deadline), x.checkAnswerTimeout)
}

// set changes the deadline and the cause.
func (t *answerTimeout) set(deadline time.Time, cause error) {
	t.deadline = deadline
	t.cause = cause
	if !t.paused && !t.stopped {
		t.timer.Reset(time.Until(deadline))
	}
}

// checkAnswerTimeout cancels the exchange if its deadline has passed. The timer may fire although the deadline has been
// moved meanwhile. It does not cut off an answer that only its client holds up, nor one that is about to become long.
func (x *exchange) checkAnswerTimeout() {
	x.mu.Lock()
	defer x.mu.Unlock()
	t := &x.timeout
	remaining := time.Until(t.deadline)
	switch {
	case t.stopped || t.paused:
	case remaining > 0:
		t.timer.Reset(remaining)
	case t.stream != nil && errors.Is(t.cause, errUnfinished):
		x.checkOverdueStream()
	default:
		x.cancel(t.cause)
	}
}

// checkOverdueStream cancels the exchange if its server holds up a delivered answer that should have ended. A read that
// has just begun may find bytes that are there already, so the server has to be waited for at several checks in a row.
// Called with the lock held.
func (x *exchange) checkOverdueStream() {
	t := &x.timeout
	t.overdueWaits++
	if !t.stream.waiting() || t.stream.growing(time.Since(t.deadline)) {
		t.overdueWaits = 0
	}
	if t.overdueWaits < minOverdueWaits {
		t.timer.Reset(overduePollInterval)
		return
	}
	x.cancel(t.cause)
}

// pauseAnswerTimeout stops the timeout while a streamed body is sent.
func (x *exchange) pauseAnswerTimeout() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.timeout.paused = true
	x.timeout.timer.Stop()
}

// resumeAnswerTimeout restarts the timeout when a streamed body is sent. It counts from when the client began to wait, which
// is before the body's last byte was read if that lay in the kernel.
func (x *exchange) resumeAnswerTimeout() {
	x.mu.Lock()
	defer x.mu.Unlock()
	t := &x.timeout
	t.paused = false
	deadline := x.attempt.BodyStream.WaitingSince().Add(x.attempt.Timeout)
	switch {
	case errors.Is(t.cause, errTimedOut):
		t.set(deadline, errTimedOut)
	case errors.Is(t.cause, errUnfinished):
		t.set(deadline.Add(dispatch.AnswerOverrun), errUnfinished)
	default:
		t.set(t.deadline, t.cause)
	}
}

// allowLongAnswer moves the deadline to the client's for an answer that may be long: as soon as its first bytes are
// delivered, the time of a long answer is kept. It returns by when its first bytes should be delivered; zero: unknown.
func (x *exchange) allowLongAnswer() (deliverBy time.Time) {
	limit := x.attempt.LatestAnswer()
	uploaded := x.attempt.BodyStream != nil && x.attempt.BodyStream.Complete()
	if limit.IsZero() && !uploaded { // with a streamed body the attempt's deadline is the client's
		return time.Time{}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if limit.After(x.timeout.deadline) && errors.Is(x.timeout.cause, errTimedOut) {
		x.timeout.set(limit, errTimedOut)
	}
	remaining := time.Until(x.timeout.deadline)
	return x.timeout.deadline.Add(-min(deliveryMargin, remaining/deliveryMarginDivisor))
}

// startStreaming moves the deadline for an answer of which a part is delivered. It reports false if the exchange has been
// canceled. A stall does not abort the exchange from now on, as no other attempt can help.
func (x *exchange) startStreaming(stream *answerStream, long bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ctx.Err() != nil {
		return false
	}
	x.stall.Stop()
	x.timeout.stream = stream
	if long || faults.Disabled(faults.AnswerEnd) {
		x.allowStreamDuration()
	} else {
		x.timeout.set(x.streamDeadline(), errUnfinished)
	}
	return true
}

// streamDeadline returns when a delivered answer must have ended that is not known to be long.
func (x *exchange) streamDeadline() time.Time {
	end := x.attempt.AnswerEnd()
	if x.attempt.BodyStream != nil || end.IsZero() {
		return x.timeout.deadline.Add(dispatch.AnswerOverrun)
	}
	return end
}

// reportLong reports that a streamed answer has become long: it began in time, and how long the rest takes is up to the
// server and the client.
func (x *exchange) reportLong() {
	x.mu.Lock()
	x.allowStreamDuration()
	x.mu.Unlock()
	x.attempt.ReportLong()
}

// allowStreamDuration sets the deadline of a long answer. Called with the lock held.
func (x *exchange) allowStreamDuration() {
	x.timeout.set(time.Now().Add(x.client.limits.MaxStreamDuration), errStreamTooLong)
}
