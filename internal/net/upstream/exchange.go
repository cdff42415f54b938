package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// maxUploadDuration bounds the upload of a streamed body. It is longer than the slowest client may take.
const maxUploadDuration = 15 * time.Minute

// uploadCheckInterval is how often an upload is checked whose client may have sent its last byte already.
const uploadCheckInterval = 25 * time.Millisecond

// maxDeadlineLag is by how much the timeout declared to a server may exceed the time that remains until the attempt's
// deadline.
const maxDeadlineLag = 50 * time.Millisecond

// errUploadTooLong is the cancellation cause of an exchange whose streamed request body takes too long.
var errUploadTooLong = errors.New("the streamed body was not sent in time")

// exchange is one request and its answer on one connection, made for an attempt. http.Transport calls the httptrace
// hooks (gotConn, wroteHeaders, wroteRequest, gotFirstResponseByte) from its own goroutines, in this order unless the server
// answers early.
type exchange struct {
	client  *Client
	attempt *dispatch.Attempt
	request *http.Request

	ctx         context.Context // canceled, with a cause, when the exchange is aborted
	cancel      context.CancelCauseFunc
	uploadCheck *time.Timer // runs checkUpload while a streamed body is sent
	uploadStart time.Time
	stall       *time.Timer // aborts when the answer stalls

	mu      sync.Mutex // guards timeout
	timeout answerTimeout

	initialDeadline time.Time    // of the attempt, when it started
	answerStart     atomic.Int64 // clock.Moment of the answer's first byte
	answerLength    atomic.Int64 // as its head declares it; unknownLength: not declared, or the head has not come

	conn                *conn // nil until the transport provides one
	outgoing            *outgoingRequest
	initialBytesWritten int64 // conn.bytesWritten before this request
	initialBytesRead    int64 // conn.bytesRead before this request
}

// newExchange returns an exchange and starts its timeout. The caller must close it.
func (c *Client) newExchange(a *dispatch.Attempt, deadline time.Time) *exchange {
	x := &exchange{client: c, attempt: a, initialDeadline: deadline}
	x.answerLength.Store(unknownLength)
	x.ctx, x.cancel = context.WithCancelCause(c.context)
	x.timeout = answerTimeout{deadline: deadline, cause: errTimedOut}
	x.startAnswerTimeout()
	x.uploadCheck = time.AfterFunc(time.Hour, x.checkUpload)
	x.uploadCheck.Stop()
	x.stall = x.newStallTimer()
	x.request = newRequest(httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{
		GotConn:              x.gotConn,
		WroteHeaders:         x.wroteHeaders,
		WroteRequest:         x.wroteRequest,
		GotFirstResponseByte: x.gotFirstResponseByte,
	}), a)
	return x
}

// close releases the connection, stops the timers and cancels the request if it is still running.
func (x *exchange) close() {
	x.releaseConn()
	x.stopWaiting()
	x.cancel(nil)
}

// run sends the request and returns the attempt's result. If the answer is streamed, run returns when the stream is
// closed.
func (x *exchange) run() (dispatch.AttemptResult, dispatch.Answer, error) {
	resp, err := x.client.transport.RoundTrip(x.request)
	if err != nil {
		return x.resultWithoutAnswer(err), dispatch.Answer{}, err
	}
	defer resp.Body.Close()
	x.answerLength.Store(resp.ContentLength)
	result, answer, err := x.client.readAnswer(resp, x.answerTimes(resp))
	if result == dispatch.Shed && x.initialBytesWritten == 0 && resp.Close {
		result = dispatch.ConnectionLimit // a server that sheds for a full queue does not close a new connection
	}
	reason := x.denial()
	switch {
	case reason != admission.Granted:
		return resultOfDenial(reason), dispatch.Answer{}, denialError{reason}
	case err != nil && x.ctx.Err() != nil:
		return x.resultOfCancel(), dispatch.Answer{}, err
	case err != nil && x.conn.localFailure.Load():
		return dispatch.Canceled, dispatch.Answer{}, err
	case err != nil || result != dispatch.Complete:
		return result, answer.Answer, err
	}
	if answer.rest != nil {
		result, err = x.streamAnswer(answer)
		return result, dispatch.Answer{}, err
	}
	x.client.stalls.observe(x.conn.longestAnswerPause())
	return result, answer.Answer, nil
}

// gotConn acquires the connection that the transport chose, waits until a reused one has been quiet, and sets X-Expires-In.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	a := x.attempt
	x.releaseConn() // the transport calls gotConn again if it found the previous connection broken
	x.conn, _ = info.Conn.(*conn)
	x.outgoing = &outgoingRequest{attemptState: a.State, sendBy: a.SendBy, maxWriteStall: maxWriteStall(a)}
	x.initialBytesWritten, x.initialBytesRead = x.conn.acquire(info.Reused, x.outgoing)
	if info.Reused {
		quietPeriod := x.client.dialer.quietPeriods.required(poolKey(a.Incarnation))
		x.conn.awaitQuiet(x.ctx, x.outgoing, quietPeriod, earlier(x.answerDeadline(), a.SendBy))
	}
	x.request.Header["X-Expires-In"] = []string{formatExpiresIn(x.declareTimeout())}
}

// wroteHeaders is called when the head is written. From then on checkUpload applies to a streamed body, until its last byte
// is written.
func (x *exchange) wroteHeaders() {
	if x.attempt.BodyStream != nil {
		x.pauseAnswerTimeout()
		x.uploadStart = time.Now()
		x.restart(x.uploadCheck, uploadCheckInterval)
	}
}

// checkUpload aborts the exchange if its streamed body takes too long, or its client has waited for the answer for as long
// as it does: the client has sent what it can, and the server has not taken all of it.
func (x *exchange) checkUpload() {
	waited := time.Since(x.attempt.BodyStream.WaitingSince())
	switch {
	case time.Since(x.uploadStart) > maxUploadDuration:
		x.abort(errUploadTooLong)
	case waited >= x.attempt.Timeout:
		x.abort(errTimedOut)
	default:
		x.restart(x.uploadCheck, min(uploadCheckInterval, x.attempt.Timeout-waited))
	}
}

// wroteRequest is called when the request's last byte is in the transport's write buffer, which may not be flushed yet.
func (x *exchange) wroteRequest(info httptrace.WroteRequestInfo) {
	if info.Err != nil || x.conn == nil {
		return
	}
	x.conn.setOnFlush(x.attempt.ReportWritten)
	if x.attempt.BodyStream != nil {
		x.uploadCheck.Stop()
		x.attempt.ReportBodySent()
		x.resumeAnswerTimeout()
	}
}

// gotFirstResponseByte starts the stall timer.
func (x *exchange) gotFirstResponseByte() {
	x.attempt.ReportAnswerBegun()
	x.answerStart.Store(int64(clock.Now()))
	x.restart(x.stall, x.client.stalls.threshold())
}

// restart starts a timer anew, unless the timers have been stopped for good.
func (x *exchange) restart(timer *time.Timer, timeout time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.timeout.stopped {
		timer.Reset(timeout)
	}
}

// answerDeadline returns when the node stops waiting for an answer. A server may answer before the end of a streamed
// body, for which that time is not set yet: it then has as long as if the body had just ended.
func (x *exchange) answerDeadline() time.Time {
	if x.attempt.BodyStream != nil && x.attempt.BodyStream.Started() && !x.attempt.BodyStream.Complete() {
		return time.Now().Add(x.attempt.Timeout)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.timeout.deadline
}

// declareTimeout returns the timeout to declare to the server, and records it for the check before the first byte. The
// timeout is bounded by the time that remains for the attempt, as the connection may have been established late, and by
// the time that remains for the client.
func (x *exchange) declareTimeout() time.Duration {
	timeout := x.attempt.Timeout
	clientDeadline := x.attempt.ClientDeadline()
	if remaining := time.Until(x.answerDeadline()); timeout-remaining > maxDeadlineLag {
		timeout = max(0, remaining)
	}
	if !clientDeadline.IsZero() {
		timeout = admission.DeclaredTimeout(timeout, time.Until(clientDeadline))
	}
	x.conn.setDeclaredTimeout(x.outgoing, timeout, clientDeadline)
	if faults.Disabled(faults.DeclaredTimeout) {
		timeout += time.Second / 2
	}
	return timeout
}

// abort cancels the exchange, unless stopWaiting was called: a timer may still fire after it was stopped.
func (x *exchange) abort(cause error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.timeout.stopped {
		x.cancel(cause)
	}
}

// stopWaiting stops the timers for good, and makes abort ineffective.
func (x *exchange) stopWaiting() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.timeout.stopped = true
	x.timeout.timer.Stop()
	x.uploadCheck.Stop()
	x.stall.Stop()
}

// releaseConn reports that the exchange no longer uses its connection.
func (x *exchange) releaseConn() {
	if x.conn != nil {
		x.conn.release()
	}
}

// denial returns the reason why writing the request was denied. It returns admission.Granted if writing was not denied or
// the exchange has no connection.
func (x *exchange) denial() admission.Reason {
	if x.conn == nil {
		return admission.Granted
	}
	return x.conn.denial(x.outgoing)
}

// unwritten reports whether the request's last byte was not written. That byte is part of the last write, so it was not
// written if a write failed or none was made.
func (x *exchange) unwritten() bool {
	return x.conn.writeFailed.Load() || x.conn.bytesWritten.Load() == x.initialBytesWritten
}

// earlier returns the earlier of two times, ignoring zero times.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}
