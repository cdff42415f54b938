package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// resultWithoutAnswer returns how an attempt without an answer ended, from the error of RoundTrip. The transport returns
// only after it has stopped writing, unless the exchange was canceled: then it is unknown what was written, and the
// request may have run.
func (x *exchange) resultWithoutAnswer(err error) dispatch.AttemptResult {
	if x.conn == nil {
		return x.resultWithoutConn(err)
	}
	reason := x.denial()
	rest := x.attempt.Rest
	switch {
	case errors.Is(err, errNoResources):
		return dispatch.NoResources
	case reason != admission.Granted && x.client.context.Err() == nil:
		return resultOfDenial(reason)
	case rest != nil && !rest.Complete():
		return dispatch.WriteFailed // the client never sent the last byte
	case x.ctx.Err() != nil:
		return x.resultOfCancel()
	case x.unwritten() && x.conn.localFailure.Load():
		return dispatch.NoResources
	case x.unwritten():
		return dispatch.WriteFailed
	case x.conn.localFailure.Load():
		return dispatch.Canceled
	case x.conn.hasReadMoreThan(x.initialBytesRead) && !isConnectionError(err):
		return dispatch.Malformed
	default:
		return dispatch.ConnectionLost
	}
}

// resultWithoutConn returns how an attempt ended that got no connection.
func (x *exchange) resultWithoutConn(err error) dispatch.AttemptResult {
	var dialError *net.OpError
	isDialError := errors.As(err, &dialError)
	switch {
	case errors.Is(err, errNoResources), isLocalError(err):
		return dispatch.NoResources
	case x.client.context.Err() != nil:
		return dispatch.Canceled
	case x.ctx.Err() != nil && !isDialError:
		return dispatch.NotConnected
	case errors.Is(err, syscall.ECONNRESET):
		return dispatch.WriteFailed // a dead server would refuse the connection
	case isDialError && dialError.Timeout():
		return dispatch.ConnectTimeout
	default:
		return dispatch.ConnectRefused
	}
}

// resultOfCancel returns how an attempt ended that the node gave up.
func (x *exchange) resultOfCancel() dispatch.AttemptResult {
	switch {
	case x.client.context.Err() != nil:
		return dispatch.Canceled
	case errors.Is(context.Cause(x.ctx), errStalled):
		return dispatch.Malformed
	default:
		return dispatch.TimedOut
	}
}

// resultOfDenial returns how an attempt ended whose request was not written. Only what the server did on the connection
// counts against the server.
func resultOfDenial(reason admission.Reason) dispatch.AttemptResult {
	switch reason {
	case admission.RequestOver, admission.ClientGone:
		return dispatch.Withheld
	case admission.UnsolicitedBytes:
		return dispatch.WriteFailed
	default:
		return dispatch.NotConnected
	}
}

// isConnectionError reports whether an error is the connection's, not one of the bytes that came on it.
func isConnectionError(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}
