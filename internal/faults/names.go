package faults

// The safeguards that can be taken out, to show that the checks would see it.
const (
	DriftMargin  = "drift-margin"        // ends are counted with no margin for clocks of unlike rate
	Confirmation = "leader-confirmation" // a leader renews without asking whether it still leads
	Door         = "door-token"          // doors let pass whatever comes
	Vote         = "forgotten-vote"      // a voter that lost its folder votes as the one it was
	FromAnswer   = "count-from-answer"   // a lease is counted from when its answer came
)

// Those of budgets.
const (
	BurstKept = "burst-kept"     // what was saved up stays when a part shrinks
	Reuse     = "reuse-early"    // what is asked back counts as free at once
	Forget    = "leader-forgets" // a new leader takes all parts to be free
)

// Safeguards are those of leases, and BudgetSafeguards those that budgets need.
var (
	Safeguards       = []string{DriftMargin, Confirmation, Door, Vote, FromAnswer}
	BudgetSafeguards = []string{DriftMargin, FromAnswer, BurstKept, Reuse, Forget}
)

// Those of single requests.
const (
	QuietPeriod  = "quiet-period"    // a connection is used again at once
	ClientLook   = "client-look"     // nobody looks whether a client has gone
	DrainNews    = "drain-news"      // a server that drains counts as ready
	ResetIsNoEnd = "reset-is-no-end" // a reset ends an answer of no told length
	MayHaveRun   = "may-have-run"    // a broken connection proves that nothing ran
	ToldDeadline = "told-deadline"   // a server is told half a second more than there is
	AnswerOwed   = "answer-owed"     // each hundredth answer is withheld
	OneAttempt   = "one-attempt"     // an attempt that was given up stays open
)

// SoakSafeguards are those that the soak runs show to be needed.
var SoakSafeguards = []string{QuietPeriod, ClientLook, DrainNews, ResetIsNoEnd, MayHaveRun, ToldDeadline, AnswerOwed, OneAttempt}

// The points at which a process can be stopped.
const (
	BeforeAct = "before-act" // between the check of a lease and the act
	InAct     = "in-act"     // in the middle of it
	OnRenewal = "on-renewal" // at the leader, when a round to a majority is about to begin
)
