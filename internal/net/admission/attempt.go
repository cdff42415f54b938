package admission

import "time"

// History holds the facts about a request's earlier attempts, and about what a retry would do.
type History struct {
	InFlight    int       // attempts without a result
	MayHaveRun  bool      // an attempt that has ended may have run
	Safe        bool      // the request may run any number of times
	SharedDedup bool      // all servers that it may go to drop repeats of its idempotency key,
	DedupUntil  time.Time // until then; zero: no earlier attempt may have run
}

// mayHaveRun reports whether any attempt, also one in flight, may have run.
func (h History) mayHaveRun() bool { return h.MayHaveRun || h.InFlight > 0 }

// MayReject returns Granted if the request may be rejected, which promises its client that a retry is harmless.
func (h History) MayReject() Reason {
	if h.mayHaveRun() && !h.Safe && !h.SharedDedup {
		return MayHaveRun
	}
	return Granted
}

// Attempt holds the facts about an attempt that is about to be started.
type Attempt struct {
	History
	Ended    bool // the request has had its final answer
	Hedging  bool // several attempts may be in flight at a time
	BodySent bool // part of the body has gone to a server
	Now      time.Time
}

// Decide returns Granted if the attempt may be started, or else the first reason against it.
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
