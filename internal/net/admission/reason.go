// Package admission decides from plain facts whether an attempt may be started, whether its first byte may be written, and whether a
// request may be refused. It does no I/O and reads no clock, so that each rule stands in one place and can be tested by itself.
package admission

import "time"

// Reason says why something is not permitted.
type Reason uint8

// The reasons.
const (
	Granted          Reason = iota // it is permitted
	RequestOver                    // the request has had its final answer
	ClientGone                     // the client has closed its connection
	ConnectionEnding               // the connection is closed, or about to be, on our side
	UnsolicitedBytes               // bytes, or the connection's end, came that belong to no request
	NotQuiet                       // an answer came on the connection too recently for a further one behind it to be ruled out
	TooLate                        // the time by which the first byte has to be written has passed
	DeadlineStale                  // the request tells a deadline beyond what is left to its client
	FactsStale                     // what is known was gathered too long ago to be acted on
	FactsUnknown                   // the connection could not be looked at
	NodeLeaving                    // the node takes its attempts back
	AttemptInFlight                // an earlier attempt is out, and one may be out at a time
	MayHaveRun                     // an earlier attempt may have run, and nothing makes a repeat harmless
	DedupWindowOver                // an earlier attempt may have run, and its key may be forgotten by now
	BodySent                       // a part of the body went to another server and can't be read again
	Reasons                        // how many there are
)

var names = [Reasons]string{"granted", "request_over", "client_gone", "connection_ending", "unsolicited_bytes", "not_quiet", "too_late",
	"deadline_stale", "facts_stale", "facts_unknown", "node_leaving", "attempt_out", "may_have_run", "window_over", "body_sent"}

// String gives the reason's name in figures and logs.
func (r Reason) String() string { return names[r] }

const (
	// MaxFactAge is how old what is known may be when it is acted on. An attempt may begin up to 0.1 s after its client has gone.
	MaxFactAge = 25 * time.Millisecond
	// deadlineSlack is by how much the deadline that a request tells may exceed what is left when it is written. The operators
	// allow 0.15 s, which a process that has no core just then takes up.
	deadlineSlack = 5 * time.Millisecond
	// toldMargin is by how much the deadline that a request tells stays under what is left, where there is enough, so that the
	// usual way to the first byte doesn't use the slack up; toldPart is the part that it leaves elsewhere.
	toldMargin = MaxFactAge
	toldPart   = 4
)

// Send is what is known of an attempt just before its first byte is written.
type Send struct {
	Refused          Reason        // by an earlier step, or Granted
	ConnectionEnding bool          // the connection is closed, or about to be, on our side
	Unsolicited      bool          // bytes, or the connection's end, have come that belong to no request
	Unknown          bool          // the connection could not be looked at
	Client           Reason        // Granted, RequestOver or ClientGone
	Gathered         time.Duration // how long it took to learn this
	Now              time.Time     // read last
	SendBy           time.Time     // when the first byte must have been written; zero: any time
	Deadline         time.Time     // when the client's time is over; zero: nothing is told of it
	Told             time.Duration // the time that the request tells its server to have
}

// Decide says whether the first byte may be written.
func (s Send) Decide() Reason {
	switch {
	case s.Refused != Granted:
		return s.Refused
	case s.ConnectionEnding:
		return ConnectionEnding
	case s.Unsolicited:
		return UnsolicitedBytes
	case s.Unknown:
		return FactsUnknown
	case s.Client != Granted:
		return s.Client
	case !s.SendBy.IsZero() && s.Now.After(s.SendBy):
		return TooLate
	case !s.Deadline.IsZero() && s.Told > s.Deadline.Sub(s.Now)+deadlineSlack:
		return DeadlineStale
	case s.Gathered >= MaxFactAge:
		return FactsStale
	}
	return Granted
}

// Deadline gives the time that an attempt may tell its server to have, of the time that its client has left.
func Deadline(attempt, client time.Duration) time.Duration {
	return max(0, min(attempt, client-min(toldMargin, client/toldPart)))
}

// History is what is known of a request's earlier attempts, and of what a repeat would do.
type History struct {
	InFlight    int       // attempts without an end
	MayHaveRun  bool      // an attempt that has ended may have run
	Safe        bool      // the request may run any number of times
	SharedDedup bool      // all servers that it may go to drop repeats of its key,
	DedupUntil  time.Time // up to then; zero: no earlier attempt may have run
}

// Attempt is what is known when an attempt is about to be started.
type Attempt struct {
	History
	Over     bool // the request has had its final answer
	Hedging  bool // several attempts may be out at a time
	BodySent bool // a part of the body has gone to a server
	Now      time.Time
}

// Decide says whether the attempt may be started.
func (a Attempt) Decide() Reason {
	ran := a.MayHaveRun || a.InFlight > 0
	switch {
	case a.Over:
		return RequestOver
	case a.BodySent:
		return BodySent
	case a.InFlight > 0 && !a.Hedging:
		return AttemptInFlight
	case !ran || a.Safe:
		return Granted
	case !a.SharedDedup:
		return MayHaveRun
	case !a.DedupUntil.IsZero() && a.Now.After(a.DedupUntil):
		return DedupWindowOver
	}
	return Granted
}

// MayReject says whether a request with this history may be refused: a refusal promises that a retry is harmless.
func (h History) MayReject() Reason {
	if (h.MayHaveRun || h.InFlight > 0) && !h.Safe && !h.SharedDedup {
		return MayHaveRun
	}
	return Granted
}
