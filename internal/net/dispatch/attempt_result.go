package dispatch

import (
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/routing"
)

// AttemptResult is how an attempt ended.
type AttemptResult int

// The results. Those up to UnclearStatus come with a complete answer.
const (
	Complete           AttemptResult = iota // 200, and the body was read to its end
	NotFound                                // 404: the server has no value for the key
	ServerError                             // 500
	Shed                                    // 503 or 504, marked by the server as never run
	ConnectionLimit                         // Shed as the first answer on a new connection, which the server then closes
	UnclearStatus                           // any other status, or 503 or 504 without the mark: it may have run
	ConnectRefused                          // the connection was refused
	ConnectTimeout                          // the connection was not established within the connect timeout
	WriteFailed                             // the connection broke before the last byte was written
	ConnectionLost                          // the connection broke after the last byte was written, before an answer
	Truncated                               // the connection broke during the answer
	Malformed                               // the answer can't be parsed, doesn't end or is too long; the server still works
	TimedOut                                // no answer before the attempt's deadline
	Bypassed                                // not answered yet, though later attempts at the server were; or its answer has stalled
	NoResources                             // no descriptor, dial or goroutine was free: nothing was sent
	NotConnected                            // the deadline passed before the connection was established or had failed
	Canceled                                // the node is shutting down, or reading failed locally; the error tells which
	Unfinished                              // its answer was delivered, and neither ended nor became long in time
	ClientLeft                              // its answer was delivered, and its client left or stopped reading before the end
	EndedBeforeWrite                        // the request ended, or its client left, before the first byte was written
	UploadAborted                           // the client did not send its streamed body to the end, so the last byte was not written
	UploadTimedOut                          // the client's time was over before the server had taken the last byte of its streamed body
	attemptResultCount                      // number of results
)

// Answered reports whether a complete answer came, whatever its status.
func (r AttemptResult) Answered() bool { return r <= UnclearStatus }

// Code returns the routing.Result that is reported to the balancer. This is the only mapping of results.
func (r AttemptResult) Code() routing.Result {
	if (r == ConnectionLost || r == Truncated) && faults.Disabled(faults.MayHaveRun) {
		return routing.ConnectFailed
	}
	switch r {
	case Complete:
		return routing.Served
	case NotFound:
		return routing.NotFound
	case ServerError, UnclearStatus, Malformed, ConnectionLost, Truncated:
		// Not ConnectionBroken: working servers reset single connections too, and ejecting each of them would empty a
		// fleet. The next dial detects a dead server.
		return routing.ServerError
	case Shed:
		return routing.Rejected
	case ConnectionLimit:
		return routing.ConnectionLimit
	case ConnectRefused, WriteFailed:
		return routing.ConnectFailed
	case ConnectTimeout:
		return routing.ConnectTimeout
	case TimedOut, Unfinished:
		return routing.TimedOut
	case NoResources, NotConnected, UploadTimedOut:
		return routing.NotSent
	case EndedBeforeWrite, UploadAborted:
		return routing.EndedBeforeWrite
	case Bypassed, Canceled, ClientLeft:
		return routing.Canceled
	default:
		return routing.Canceled
	}
}

// MayHaveRun reports whether the server may have executed the request, as the result does not prove that it did not.
func (r AttemptResult) MayHaveRun() bool {
	switch r.Code() {
	case routing.Rejected, routing.ConnectFailed, routing.NotSent, routing.NotFound, routing.ConnectionLimit, routing.ConnectTimeout, routing.EndedBeforeWrite:
		return false
	default:
		return true
	}
}

var attemptResultNames = [attemptResultCount]string{
	Complete:         "complete",
	NotFound:         "not_found",
	ServerError:      "server_error",
	Shed:             "shed",
	ConnectionLimit:  "connection_limit",
	UnclearStatus:    "unclear_status",
	ConnectRefused:   "connect_refused",
	ConnectTimeout:   "connect_timeout",
	WriteFailed:      "write_failed",
	ConnectionLost:   "connection_lost",
	Truncated:        "truncated",
	Malformed:        "malformed",
	TimedOut:         "timed_out",
	Bypassed:         "bypassed",
	NoResources:      "no_resources",
	NotConnected:     "not_connected",
	Canceled:         "canceled",
	Unfinished:       "unfinished",
	ClientLeft:       "client_left",
	EndedBeforeWrite: "withheld",
	UploadAborted:    "upload_aborted",
	UploadTimedOut:   "upload_timed_out",
}

// String returns the result's name in logs.
func (r AttemptResult) String() string { return attemptResultNames[r] }
