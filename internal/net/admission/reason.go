// Package admission decides, from plain facts, whether an attempt may be started (Attempt), whether its first byte may be
// written (Send), and whether a request may be rejected (History). It does no I/O and reads no clock, so each rule stands
// in one place and can be tested by itself.
package admission

// Reason says why something is not permitted.
type Reason uint8

// The reasons.
const (
	Granted          Reason = iota // it is permitted
	RequestOver                    // the request has had its final answer
	ClientGone                     // the client has closed its connection
	ConnectionEnding               // the connection is closed, or about to be, on our side
	UnsolicitedBytes               // bytes, or the connection's end, came that belong to no request
	NotQuiet                       // the connection's last answer is so recent that a second one may follow it
	TooLate                        // the time by which the first byte has to be written has passed
	DeadlineStale                  // the request declares more time than its client has left
	FactsStale                     // the facts were gathered too long ago to be acted on
	FactsUnknown                   // the connection could not be looked at
	NodeLeaving                    // the node cancels its attempts
	AttemptInFlight                // an earlier attempt is in flight, and hedging is not allowed
	MayHaveRun                     // an earlier attempt may have run, and nothing makes a retry harmless
	DedupWindowOver                // an earlier attempt may have run, and the servers may have forgotten its key by now
	BodySent                       // part of the body went to another server and can't be read again
	NumReasons                     // how many there are
)

// The names stand on the operators' address, so they stay.
var reasonNames = [NumReasons]string{
	Granted:          "granted",
	RequestOver:      "request_over",
	ClientGone:       "client_gone",
	ConnectionEnding: "connection_ending",
	UnsolicitedBytes: "unsolicited_bytes",
	NotQuiet:         "not_quiet",
	TooLate:          "too_late",
	DeadlineStale:    "deadline_stale",
	FactsStale:       "facts_stale",
	FactsUnknown:     "facts_unknown",
	NodeLeaving:      "node_leaving",
	AttemptInFlight:  "attempt_out",
	MayHaveRun:       "may_have_run",
	DedupWindowOver:  "window_over",
	BodySent:         "body_sent",
}

// String returns the reason's name in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }
