package admission

import "time"

// History holds the facts about a request's earlier attempts, and about the effect of a retry.
type History struct {
	InFlight    int       // attempts without a result
	MayHaveRun  bool      // an attempt that has ended may have run
	Safe        bool      // the request may run any number of times
	SharedDedup bool      // all servers that may get the request drop repeats of its idempotency key until DedupUntil
	DedupUntil  time.Time // zero: no earlier attempt may have run
}

// mayHaveRun reports whether any attempt may have run, including those in flight.
func (h History) mayHaveRun() bool { return h.MayHaveRun || h.InFlight > 0 }

// MayReject returns Granted if the request may be rejected, or else the reason against it. A rejection promises the
// client that a retry is harmless.
func (h History) MayReject() Reason {
	if h.mayHaveRun() && !h.Safe && !h.SharedDedup {
		return MayHaveRun
	}
	return Granted
}

// Attempt holds the facts about an attempt that is about to start.
type Attempt struct {
	History
	Ended    bool // the request has had its final answer
	Hedging  bool // several attempts may be in flight at the same time
	BodySent bool // part of the body has been read, and may have been sent to a server
	Now      time.Time
}

// Decide returns Granted if the attempt may start, or else the first reason against it.
func (a Attempt) Decide() Reason {
	switch {
	case a.Ended:
		return RequestOver
	case a.BodySent:
		return BodySent
	case a.InFlight > 0 && !a.Hedging:
		return AttemptInFlight
	case !a.mayHaveRun() || a.Safe:
		return Granted
	case !a.SharedDedup:
		return MayHaveRun
	case !a.DedupUntil.IsZero() && a.Now.After(a.DedupUntil):
		return DedupWindowOver
	}
	return Granted
}
