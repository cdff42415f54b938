package admission

import "time"

// MaxFactAge is the maximum age of facts when a decision is based on them. The operators allow an attempt to begin up
// to 0.1 s after its client has gone.
const MaxFactAge = 25 * time.Millisecond

const (
	// maxDeadlineExcess is by how much the timeout that a request declares may exceed the time that its client has left
	// when it is written. The operators allow 0.15 s; the difference is a reserve for a process that stalls at that
	// moment.
	maxDeadlineExcess = 5 * time.Millisecond
	// declaredMargin is by how much the declared timeout is below the time that the client has left, so that the usual
	// delay until the first byte doesn't use up the permitted excess.
	declaredMargin = MaxFactAge
	// declaredMarginDivisor limits the margin to a quarter of the time that the client has left.
	declaredMarginDivisor = 4
)

// Send holds the facts about an attempt just before its first byte is written.
type Send struct {
	PriorReason       Reason        // reason of an earlier check, or Granted
	ConnectionEnding  bool          // this node has closed the connection, or is about to
	UnsolicitedBytes  bool          // the server sent bytes that answer no request, or closed the connection
	ConnectionUnknown bool          // the state of the connection could not be read
	AttemptState      Reason        // Granted, RequestOver, ClientGone, ClientUnknown or EndpointReplaced
	GatherTime        time.Duration // time spent gathering the facts
	Now               time.Time     // read after all other facts
	SendBy            time.Time     // deadline for writing the first byte; zero: none
	ClientDeadline    time.Time     // when the client stops waiting; zero: the request declares no timeout
	DeclaredTimeout   time.Duration // the timeout that the request declares to its server
}

// Decide returns Granted if the first byte may be written, or else the first reason against it.
func (s Send) Decide() Reason {
	switch {
	case s.PriorReason != Granted:
		return s.PriorReason
	case s.ConnectionEnding:
		return ConnectionEnding
	case s.UnsolicitedBytes:
		return UnsolicitedBytes
	case s.ConnectionUnknown:
		return FactsUnknown
	case s.AttemptState != Granted:
		return s.AttemptState
	case !s.SendBy.IsZero() && s.Now.After(s.SendBy):
		return TooLate
	case !s.ClientDeadline.IsZero() && s.DeclaredTimeout > s.ClientDeadline.Sub(s.Now)+maxDeadlineExcess:
		return DeadlineStale
	case s.GatherTime >= MaxFactAge:
		return FactsStale
	}
	return Granted
}

// DeclaredTimeout returns the timeout that a request may declare to its server, given the remaining times of the
// attempt and of the client.
func DeclaredTimeout(attempt, client time.Duration) time.Duration {
	margin := min(declaredMargin, client/declaredMarginDivisor)
	return max(0, min(attempt, client-margin))
}
