package dispatch

import (
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/routing"
)

// End is the way in which a shot ended, or in which its connection did.
type End int

// Every way there is.
const (
	Whole      End = iota // 200, and its body read to the end
	Lacking               // 404: the server has nothing under the key
	Failing               // 500
	TurnedAway            // 503 or 504 with the mark that it never ran
	Crowded               // the same as the first word on a new connection, which the server ends: it holds too many
	Unclear               // any other status, or such a one without the mark: it may have run
	Unreached             // the connection was refused
	Unheard               // it did not come up within the connect time-out
	Unwritten             // the connection broke before the last byte was written
	Lost                  // it broke after that, before the answer
	CutShort              // the connection broke in the middle of the answer
	Spoilt                // the answer can't be read, doesn't end or is over its bound; the server itself works
	Silent                // no answer when the node stopped waiting
	Passed                // none so far, while the server answered later shots: its connection may have fallen silent
	NoRoom                // no descriptor, dial or goroutine was left: nothing was sent
	Overtaken             // the node stopped waiting before a connection was up or had failed
	Withdrawn             // the node itself took it back, at its own end
	Withheld              // its lookup was over, or its client gone, before its first byte was written
	endCount
)

// Code is what the module is told of it; this is the only place that says so.
func (e End) Code() routing.Code {
	if (e == Lost || e == CutShort) && faults.Without(faults.MayHaveRun) {
		return routing.Unconnected
	}
	switch e {
	case Whole:
		return routing.Answered
	case Lacking:
		return routing.Missing
	case Failing, Unclear, Spoilt, Lost, CutShort:
		// Servers reset and close single connections and work on; taken for broken servers, most of a fleet would
		// rest. Of a dead one the next dial tells.
		return routing.Errored
	case TurnedAway:
		return routing.Full
	case Crowded:
		return routing.Crowded
	case Unreached, Unwritten:
		return routing.Unconnected
	case Unheard:
		return routing.Unheard
	case Silent:
		return routing.TimedOut
	case NoRoom, Overtaken:
		return routing.Unsent
	case Withheld:
		return routing.Withheld
	default:
		return routing.CalledOff
	}
}

// MayHaveRun says that nothing proves that the server did not act on the shot.
func (e End) MayHaveRun() bool {
	switch e.Code() {
	case routing.Full, routing.Unconnected, routing.Unsent, routing.Missing, routing.Crowded, routing.Unheard, routing.Withheld:
		return false
	default:
		return true
	}
}

var endNames = [endCount]string{"whole", "lacking", "failing", "turned away", "crowded", "unclear", "unreached", "unheard",
	"unwritten", "lost", "cut short", "spoilt", "silent", "passed", "no room", "overtaken", "withdrawn", "withheld"}

func (e End) String() string { return endNames[e] }
