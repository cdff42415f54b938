package dispatch

import (
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/routing"
)

// AttemptResult is how an attempt ended.
type AttemptResult int

// The results. Those up to UnclearStatus come with a complete answer.
const (
	Complete           AttemptResult = iota // 200, with a body that was read to its end
	NotFound                                // 404: the server has nothing under the key
	ServerError                             // 500
	Shed                                    // 503 or 504, marked as never run
	ConnectionLimit                         // Shed as the first answer on a new connection, which the server then closes
	UnclearStatus                           // any other status, or 503 or 504 without the mark: it may have run
	ConnectRefused                          // the connection was refused
	ConnectTimeout                          // the connection did not come up within the connect timeout
	WriteFailed                             // the connection broke before the last byte was written
	ConnectionLost                          // the connection broke after that and before an answer
	Truncated                               // the connection broke within the answer
	Malformed                               // the answer can't be parsed, doesn't end or is too long; the server itself works
	TimedOut                                // no answer before the attempt's deadline
	Bypassed                                // no answer yet, while later attempts at the server had theirs or its bytes stopped
	NoResources                             // no descriptor, dial or goroutine was free: nothing was sent
	NotConnected                            // the deadline passed before a connection was up or had failed
	Canceled                                // the node is ending, or this machine failed to read; the error says which
	Withheld                                // the request had ended, or its client had gone, before the first byte was written
	attemptResultCount                      // how many there are
)

// Answered reports whether a complete answer came, whatever its status.
func (r AttemptResult) Answered() bool { return r <= UnclearStatus }

// Code returns the routing.Result that is reported to the balancer. Results are mapped nowhere else.
func (r AttemptResult) Code() routing.Result {
	if (r == ConnectionLost || r == Truncated) && faults.Without(faults.MayHaveRun) {
		return routing.ConnectFailed
	}
	switch r {
	case Complete:
		return routing.Served
	case NotFound:
		return routing.NotFound
	case ServerError, UnclearStatus, Malformed, ConnectionLost, Truncated:
		// Not ConnectionBroken: servers that work reset single connections, and ejecting each would empty a fleet. The next
		// dial finds out about a dead server.
		return routing.ServerError
	case Shed:
		return routing.Rejected
	case ConnectionLimit:
		return routing.ConnectionLimit
	case ConnectRefused, WriteFailed:
		return routing.ConnectFailed
	case ConnectTimeout:
		return routing.ConnectTimeout
	case TimedOut:
		return routing.TimedOut
	case NoResources, NotConnected:
		return routing.NotSent
	case Withheld:
		return routing.Withheld
	case Bypassed, Canceled:
		return routing.Canceled
	default:
		return routing.Canceled
	}
}

// MayHaveRun reports whether the server may have acted on the attempt: nothing proves that it did not.
func (r AttemptResult) MayHaveRun() bool {
	switch r.Code() {
	case routing.Rejected, routing.ConnectFailed, routing.NotSent, routing.NotFound, routing.ConnectionLimit, routing.ConnectTimeout, routing.Withheld:
		return false
	default:
		return true
	}
}

var attemptResultNames = [attemptResultCount]string{
	Complete:        "complete",
	NotFound:        "not_found",
	ServerError:     "server_error",
	Shed:            "shed",
	ConnectionLimit: "connection_limit",
	UnclearStatus:   "unclear_status",
	ConnectRefused:  "connect_refused",
	ConnectTimeout:  "connect_timeout",
	WriteFailed:     "write_failed",
	ConnectionLost:  "connection_lost",
	Truncated:       "truncated",
	Malformed:       "malformed",
	TimedOut:        "timed_out",
	Bypassed:        "bypassed",
	NoResources:     "no_resources",
	NotConnected:    "not_connected",
	Canceled:        "canceled",
	Withheld:        "withheld",
}

// String returns the result's name in logs.
func (r AttemptResult) String() string { return attemptResultNames[r] }
