package admission

import "time"

// MaxFactAge is how old facts may be when they are acted on. The operators allow an attempt to begin up to 0.1 s after its
// client has gone.
const MaxFactAge = 25 * time.Millisecond

const (
	// maxDeadlineExcess is by how much the time that a request declares may exceed what its client has left when it is
	// written. The operators allow 0.15 s; the rest is left for a process that is held up just then.
	maxDeadlineExcess = 5 * time.Millisecond
	// declaredMargin is by how much the declared time stays under what is left to the client, so that the usual way to the
	// first byte doesn't use up the permitted excess.
	declaredMargin = MaxFactAge
	// declaredMarginDivisor bounds the margin where little time is left: a quarter of it.
	declaredMarginDivisor = 4
)

// Send holds the facts about an attempt just before its first byte is written.
type Send struct {
	Refused          Reason        // by an earlier step, or Granted
	ConnectionEnding bool          // the connection is closed, or about to be, on our side
	Unsolicited      bool          // bytes, or the connection's end, have come that belong to no request
	Unknown          bool          // the connection could not be looked at
	Client           Reason        // Granted, RequestOver or ClientGone
	GatherTime       time.Duration // how long it took to gather the facts
	Now              time.Time     // read last
	SendBy           time.Time     // when the first byte must have been written; zero: any time
	ClientDeadline   time.Time     // when the client stops waiting; zero: the request declares no time
	DeclaredTimeout  time.Duration // the time that the request tells its server to have
}

// Decide returns Granted if the first byte may be written, or else the first reason against it.
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
	case !s.ClientDeadline.IsZero() && s.DeclaredTimeout > s.ClientDeadline.Sub(s.Now)+maxDeadlineExcess:
		return DeadlineStale
	case s.GatherTime >= MaxFactAge:
		return FactsStale
	}
	return Granted
}

// DeclaredTimeout returns the time that a request may tell its server to have, from what is left of the attempt's time
// and of the client's.
func DeclaredTimeout(attempt, client time.Duration) time.Duration {
	margin := min(declaredMargin, client/declaredMarginDivisor)
	return max(0, min(attempt, client-margin))
}
