package upstream

import (
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

const (
	// maxConnTries bounds the connections that are tried for one attempt. If so many in a row break, the cause is not chance.
	maxConnTries = 3
	// clientCheckPause is the pause before a client whose state is unknown is checked again. Meanwhile other requests pass on
	// the bytes of theirs that take up the memory for such checks.
	clientCheckPause = 20 * time.Millisecond
	// clientCheckDivisor limits the pause to a quarter of the time that remains.
	clientCheckDivisor = 4
)

// send sends an attempt and returns its result. If a connection breaks before the request was written, the request has
// not run, and the failure says little about the server: send tries another connection.
func (c *Client) send(a *dispatch.Attempt) (dispatch.AttemptResult, dispatch.Answer) {
	start := time.Now()
	deadline := a.AttemptDeadline(start)
	for try := 1; ; try++ {
		x, result, answer, err := c.roundTrip(a, deadline)
		if err != nil && x.conn != nil && x.conn.retire() {
			_ = x.conn.Close() // the transport may close it only after the next attempt has started
		}
		reason := x.denial()
		a.CountDenied(reason)
		if try < maxConnTries && retryable(result, reason) && c.mayStillSend(a, deadline) {
			if reason == admission.ClientUnknown {
				time.Sleep(min(clientCheckPause, time.Until(deadline)/clientCheckDivisor))
			}
			continue
		}
		// An answer proves that the request was written. The onFlush callback is not called if the transport's buffer was
		// empty before the last byte.
		if result.Answered() && (a.BodyStream == nil || a.BodyStream.Complete()) {
			a.ReportWritten()
		}
		if err != nil {
			c.logFailure(x, result, start, err)
		}
		return result, answer
	}
}

// retryable reports whether the request may succeed on another connection: it was not written, and the reason lies in
// the connection or is temporary.
func retryable(result dispatch.AttemptResult, reason admission.Reason) bool {
	switch reason {
	case admission.NotQuiet, admission.ConnectionEnding, admission.DeadlineStale, admission.ClientUnknown:
		return true
	}
	return result == dispatch.WriteFailed
}

// mayStillSend reports whether the attempt may be sent on another connection: there is time left, and no byte of a
// streamed body was read. Such a body can't be sent again.
func (c *Client) mayStillSend(a *dispatch.Attempt, deadline time.Time) bool {
	if c.context.Err() != nil {
		return false
	}
	if !a.SendBy.IsZero() && time.Now().After(a.SendBy) {
		return false
	}
	if !time.Now().Before(deadline) {
		return false
	}
	return a.BodyStream == nil || !a.BodyStream.Started()
}

// logFailure logs that an attempt failed, or that an answer broke off of which the client has a part already.
func (c *Client) logFailure(x *exchange, result dispatch.AttemptResult, start time.Time, err error) {
	a := x.attempt
	fields := []zap.Field{zap.Stringer("end", result), zap.String("server", a.Address), zap.String("trace", a.TraceID),
		zap.Duration("after", time.Since(start)), zap.Error(err)}
	stream := x.timeout.stream // the exchange is closed, so nothing changes it
	switch {
	case stream == nil:
		c.log.Info("attempt failed", fields...)
	case result == dispatch.ClientLeft:
		c.log.Debug("client left a streamed answer", fields...)
	default:
		c.log.Info("streamed answer broke off", append(fields, zap.Int64("bytes", stream.received.Load()))...)
	}
}

// roundTrip sends an attempt's request on one connection. The exchange that it returns is already closed.
func (c *Client) roundTrip(a *dispatch.Attempt, deadline time.Time) (*exchange, dispatch.AttemptResult, dispatch.Answer, error) {
	x := c.newExchange(a, deadline)
	defer x.close()
	result, answer, err := x.run()
	return x, result, answer, err
}
