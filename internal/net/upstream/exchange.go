package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// maxDeadlineLag is by how much the time that a server is told to have may exceed what is left of the attempt's time.
const maxDeadlineLag = 50 * time.Millisecond

// errTimedOut is the cause of an exchange that is canceled at its deadline.
var errTimedOut = errors.New("no answer in time")

// exchange is an attempt's request and its answer on one connection. The transport calls the methods of its trace from
// its own goroutines, in the order in which they stand here.
type exchange struct {
	client   *Client
	attempt  *dispatch.Attempt
	deadline time.Time // when the node stops waiting for the answer
	request  *http.Request

	ctx     context.Context // canceled, with a cause, when the exchange is given up
	cancel  context.CancelCauseFunc
	timeout *time.Timer // aborts at the deadline
	stall   *time.Timer // aborts when the answer stalls

	mu       sync.Mutex
	answered bool // abort does nothing any more

	conn                *conn // nil: it got none yet
	outgoing            *outgoingRequest
	initialBytesWritten int64 // bytes written to the connection before
	initialBytesRead    int64 // bytes read from the connection before
}

// newExchange returns an exchange whose timers run. It must be closed.
func (c *Client) newExchange(a *dispatch.Attempt, deadline time.Time) *exchange {
	x := &exchange{client: c, attempt: a, deadline: deadline}
	x.ctx, x.cancel = context.WithCancelCause(c.context)
	x.timeout = time.AfterFunc(time.Until(deadline), func() { x.abort(errTimedOut) })
	x.stall = x.newStallTimer()
	x.request = newRequest(httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{
		GotConn:              x.gotConn,
		WroteHeaders:         x.wroteHeaders,
		WroteRequest:         x.wroteRequest,
		GotFirstResponseByte: x.gotFirstResponseByte,
	}), a)
	return x
}

// close ends whatever goes on.
func (x *exchange) close() {
	x.releaseConn()
	x.stall.Stop()
	x.timeout.Stop()
	x.cancel(nil)
}

// run sends the request and returns how the attempt ended. An answer that is streamed is over when run returns.
func (x *exchange) run() (dispatch.AttemptResult, dispatch.Answer, error) {
	resp, err := x.client.transport.RoundTrip(x.request)
	if err != nil {
		return x.resultWithoutAnswer(err), dispatch.Answer{}, err
	}
	defer resp.Body.Close()
	result, answer, err := x.client.readAnswer(resp, x.deadline)
	if result == dispatch.Shed && x.initialBytesWritten == 0 && resp.Close {
		result = dispatch.ConnectionLimit // a server whose queue is full keeps the connection
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
		return result, answer, err
	}
	x.client.stalls.observe(x.conn.longestAnswerPause())
	if answer.Length != 0 {
		return x.streamAnswer(resp, answer)
	}
	return result, answer, nil
}

// gotConn takes over a connection and completes the request's headers.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	a := x.attempt
	x.releaseConn() // of an earlier call: the transport may have found that connection broken
	x.conn, _ = info.Conn.(*conn)
	x.outgoing = &outgoingRequest{clientState: a.ClientState, sendBy: a.SendBy}
	x.initialBytesWritten, x.initialBytesRead = x.conn.acquire(info.Reused, x.outgoing)
	if info.Reused {
		quietPeriod := x.client.dialer.quietPeriods.required(poolKey(a.Incarnation))
		x.conn.awaitQuiet(x.ctx, x.outgoing, quietPeriod, earlier(x.deadline, a.SendBy))
	}
	if a.Rest == nil {
		x.request.Header["X-Expires-In"] = []string{formatExpiresIn(x.declareTimeout())}
	}
}

// wroteHeaders stops the timeout of a streamed body, whose time counts from its last byte.
func (x *exchange) wroteHeaders() {
	if x.attempt.Rest != nil {
		x.timeout.Stop()
	}
}

// wroteRequest is called when the last byte is in the transport's buffer, which may not be flushed yet.
func (x *exchange) wroteRequest(info httptrace.WroteRequestInfo) {
	if info.Err != nil || x.conn == nil {
		return
	}
	x.conn.setOnFlush(x.attempt.Written)
	if x.attempt.Rest != nil {
		x.attempt.BodySent()
		x.timeout.Reset(x.attempt.Timeout)
	}
}

// gotFirstResponseByte starts the watch for stalls.
func (x *exchange) gotFirstResponseByte() { x.stall.Reset(x.client.stalls.threshold()) }

// declareTimeout returns, and notes, the time that the server is told to have: what is left of the attempt's, since the
// connection may have come up late, and of the client's.
func (x *exchange) declareTimeout() time.Duration {
	timeout := x.attempt.Timeout
	clientDeadline := x.attempt.ClientDeadline()
	if remaining := time.Until(x.deadline); timeout-remaining > maxDeadlineLag {
		timeout = max(0, remaining)
	}
	if !clientDeadline.IsZero() {
		timeout = admission.DeclaredTimeout(timeout, time.Until(clientDeadline))
	}
	x.conn.setDeclaredTimeout(x.outgoing, timeout, clientDeadline)
	if faults.Without(faults.ToldDeadline) {
		timeout += time.Second / 2
	}
	return timeout
}

// abort gives the exchange up, unless its answer has come. A timer that was stopped may still run late.
func (x *exchange) abort(cause error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.answered {
		x.cancel(cause)
	}
}

// stopWaiting ends the effect of the timers.
func (x *exchange) stopWaiting() {
	x.timeout.Stop()
	x.stall.Stop()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answered = true
}

// releaseConn reports that nothing of the exchange is on its connection any more.
func (x *exchange) releaseConn() {
	if x.conn != nil {
		x.conn.release()
	}
}

// denial returns why the request was not written and won't be; admission.Granted where it was, or where it got no
// connection.
func (x *exchange) denial() admission.Reason {
	if x.conn == nil {
		return admission.Granted
	}
	return x.conn.denial(x.outgoing)
}

// unwritten reports whether the request's last byte was not written: it is in the last write, and that one failed or was
// never made.
func (x *exchange) unwritten() bool {
	return x.conn.writeFailed.Load() || x.conn.bytesWritten.Load() == x.initialBytesWritten
}

// earlier returns the first of two times; a zero one does not count.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}
