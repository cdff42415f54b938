package upstream

import (
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// maxConnTries bounds the connections that are tried for one attempt. More than that don't break by chance.
const maxConnTries = 3

// send carries an attempt and returns how it ended. A connection that breaks before the request was written says little
// about its server, and the request has not run: another connection is tried.
func (c *Client) send(a *dispatch.Attempt) (dispatch.AttemptResult, dispatch.Answer) {
	start := time.Now()
	deadline := a.AttemptDeadline(start)
	for try := 1; ; try++ {
		x, result, answer, err := c.roundTrip(a, deadline)
		if err != nil && x.conn != nil && x.conn.retire() {
			_ = x.conn.Close() // now: the transport's own close may come after the next attempt has begun
		}
		reason := x.denial()
		a.CountDenied(reason)
		if try < maxConnTries && retryable(result, reason) && c.mayStillSend(a, deadline) {
			continue
		}
		if result.Answered() && (a.Rest == nil || a.Rest.Complete()) {
			a.Written() // an answer proves it, also where the transport's buffer was empty before the last byte
		}
		if err != nil {
			c.logFailure(a, result, start, err)
		}
		return result, answer
	}
}

// retryable reports whether another connection may do where this one did not: the request was not written, for a
// reason that lies in the connection or passes with time.
func retryable(result dispatch.AttemptResult, reason admission.Reason) bool {
	switch reason {
	case admission.NotQuiet, admission.ConnectionEnding, admission.DeadlineStale:
		return true
	}
	return result == dispatch.WriteFailed
}

// mayStillSend reports whether there is time for another connection, and no byte of a streamed body was read, which could
// not be sent again.
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
	return a.Rest == nil || !a.Rest.Started()
}

func (c *Client) logFailure(a *dispatch.Attempt, result dispatch.AttemptResult, start time.Time, err error) {
	c.log.Info("attempt failed", zap.Stringer("end", result), zap.String("server", a.Address),
		zap.String("trace", a.TraceID), zap.Duration("after", time.Since(start)), zap.Error(err))
}

// roundTrip sends an attempt's request on one connection. The returned exchange is closed.
func (c *Client) roundTrip(a *dispatch.Attempt, deadline time.Time) (*exchange, dispatch.AttemptResult, dispatch.Answer, error) {
	x := c.newExchange(a, deadline)
	defer x.close()
	result, answer, err := x.run()
	return x, result, answer, err
}
