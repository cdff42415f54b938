// Package admission decides, from plain facts, whether an attempt may be started (Attempt), whether its first byte may
// be written (Send), and whether a request may be rejected (History). It does no I/O and reads no clock, so that each
// rule is in one place and can be tested in isolation.
package admission

// Reason is why an action is not permitted.
type Reason uint8

// The reasons.
const (
	Granted          Reason = iota // the action is permitted
	RequestOver                    // the request has had its final answer
	ClientGone                     // the client has closed its connection
	ConnectionEnding               // this node has closed the connection, or is about to
	UnsolicitedBytes               // the server sent bytes that answer no request, or closed the connection
	NotQuiet                       // the last answer on the connection is so recent that a surplus second one may follow it
	TooLate                        // the deadline for writing the first byte has passed
	DeadlineStale                  // the request declares a longer timeout than its client has left
	FactsStale                     // gathering the facts took so long that they are out of date
	FactsUnknown                   // the state of the connection could not be read
	NodeLeaving                    // the node is shutting down and cancels its attempts
	AttemptInFlight                // an earlier attempt is in flight, and hedging is not allowed
	MayHaveRun                     // an earlier attempt may have run, and nothing makes a retry harmless
	DedupWindowOver                // an earlier attempt may have run, and the servers may no longer store its idempotency key
	BodySent                       // part of the body was sent to another server and can't be read again
	ClientUnknown                  // whether the client has closed its connection could not be determined
	EndpointReplaced               // the server has gone or restarted since the decision, so that its address may be another's
	NumReasons                     // number of reasons
)

// The names are published in the metrics on the admin address, so they must not change.
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
	ClientUnknown:    "client_unknown",
	EndpointReplaced: "endpoint_replaced",
}

// String returns the reason's name in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }
