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

// The points at which a process can be stopped.
const (
	BeforeAct = "before-act" // between the check of a lease and the act
	InAct     = "in-act"     // in the middle of it
	OnRenewal = "on-renewal" // at the leader, when a round to a majority is about to begin
)
