package dispatch

import (
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/routing"
)

// AttemptResult is the way in which a shot ended, or in which its connection did.
type AttemptResult int

// Every way there is.
const (
	Complete        AttemptResult = iota // 200, and its body read to the end
	NotFound                             // 404: the server has nothing under the key
	ServerError                          // 500
	Shed                                 // 503 or 504 with the mark that it never ran
	ConnectionLimit                      // the same as the first word on a new connection, which the server ends: it holds too many
	UnclearStatus                        // any other status, or such a one without the mark: it may have run
	ConnectRefused                       // the connection was refused
	ConnectTimeout                       // it did not come up within the connect time-out
	WriteFailed                          // the connection broke before the last byte was written
	ConnectionLost                       // it broke after that, before the answer
	Truncated                            // the connection broke in the middle of the answer
	Malformed                            // the answer can't be read, doesn't end or is over its bound; the server itself works
	TimedOut                             // no answer when the node stopped waiting
	Bypassed                             // none so far, while the server answered later shots: its connection may have fallen silent
	NoResources                          // no descriptor, dial or goroutine was left: nothing was sent
	NotConnected                         // the node stopped waiting before a connection was up or had failed
	Canceled                             // the node itself took it back, at its own end
	Withheld                             // its lookup was over, or its client gone, before its first byte was written
	attemptResultCount
)

// Code is what the module is told of it; this is the only place that says so.
func (e AttemptResult) Code() routing.Result {
	if (e == ConnectionLost || e == Truncated) && faults.Without(faults.MayHaveRun) {
		return routing.ConnectFailed
	}
	switch e {
	case Complete:
		return routing.Served
	case NotFound:
		return routing.NotFound
	case ServerError, UnclearStatus, Malformed, ConnectionLost, Truncated:
		// Servers reset and close single connections and work on; taken for broken servers, most of a fleet would
		// rest. Of a dead one the next dial tells.
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
	default:
		return routing.Canceled
	}
}

// MayHaveRun says that nothing proves that the server did not act on the shot.
func (e AttemptResult) MayHaveRun() bool {
	switch e.Code() {
	case routing.Rejected, routing.ConnectFailed, routing.NotSent, routing.NotFound, routing.ConnectionLimit, routing.ConnectTimeout, routing.Withheld:
		return false
	default:
		return true
	}
}

var attemptResultNames = [attemptResultCount]string{"whole", "lacking", "failing", "turned away", "crowded", "unclear", "unreached", "unheard",
	"unwritten", "lost", "cut short", "spoilt", "silent", "passed", "no room", "overtaken", "withdrawn", "withheld"}

func (e AttemptResult) String() string { return attemptResultNames[e] }
