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

// resultWithoutAnswer returns the result of an attempt for which RoundTrip failed with err. RoundTrip returns only after
// the transport has stopped writing, except when the exchange was canceled. In that case it is unknown how much was
// written, and the request may have run.
func (x *exchange) resultWithoutAnswer(err error) dispatch.AttemptResult {
	if x.conn == nil {
		return x.resultWithoutConn(err)
	}
	reason := x.denial()
	switch {
	case errors.Is(err, errLimitReached):
		return dispatch.NoResources
	case reason != admission.Granted && x.client.context.Err() == nil:
		return resultOfDenial(reason)
	case x.attempt.BodyStream != nil && !x.attempt.BodyStream.Complete():
		return x.resultOfIncompleteUpload()
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

// resultOfIncompleteUpload returns the result of an attempt whose streamed body was not read to its end. Its last byte was
// not written, so it has not run.
func (x *exchange) resultOfIncompleteUpload() dispatch.AttemptResult {
	body := x.attempt.BodyStream
	switch {
	case body.Aborted(), errors.Is(context.Cause(x.ctx), errUploadTooLong):
		return dispatch.UploadAborted
	case body.Started() && errors.Is(context.Cause(x.ctx), errTimedOut):
		return dispatch.UploadTimedOut
	case x.conn.localFailure.Load():
		return dispatch.NoResources
	case !body.Started() && x.ctx.Err() != nil:
		return dispatch.NotConnected
	default:
		return dispatch.WriteFailed
	}
}

// resultWithoutConn returns the result of an attempt for which no connection was established.
func (x *exchange) resultWithoutConn(err error) dispatch.AttemptResult {
	var dialError *net.OpError
	isDialError := errors.As(err, &dialError)
	switch {
	case errors.Is(err, errLimitReached), isLocalError(err):
		return dispatch.NoResources
	case x.client.context.Err() != nil:
		return dispatch.Canceled
	case errors.Is(err, errLateDial), x.ctx.Err() != nil && !isDialError:
		return dispatch.NotConnected
	case errors.Is(err, syscall.ECONNRESET):
		return dispatch.WriteFailed // a server that is down refuses the connection instead
	case isDialError && dialError.Timeout():
		return dispatch.ConnectTimeout
	default:
		return dispatch.ConnectRefused
	}
}

// resultOfCancel returns the result of an attempt that this node canceled.
func (x *exchange) resultOfCancel() dispatch.AttemptResult {
	switch {
	case x.client.context.Err() != nil:
		return dispatch.Canceled
	case errors.Is(context.Cause(x.ctx), errStalled), errors.Is(context.Cause(x.ctx), errStreamTooLong):
		return dispatch.Malformed
	case errors.Is(context.Cause(x.ctx), errUnfinished):
		return dispatch.Unfinished
	default:
		return dispatch.TimedOut
	}
}

// resultOfDenial returns the result of an attempt whose request was not written. Only unsolicited bytes are the server's
// doing; the other reasons don't count against it.
func resultOfDenial(reason admission.Reason) dispatch.AttemptResult {
	switch reason {
	case admission.RequestOver, admission.ClientGone:
		return dispatch.EndedBeforeWrite
	case admission.UnsolicitedBytes:
		return dispatch.WriteFailed
	default:
		return dispatch.NotConnected
	}
}

// isConnectionError reports whether err is a failure of the connection, as opposed to a malformed answer.
func isConnectionError(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}
