package faults

// The safeguards that can be taken out, to show that the checks would see it.
const (
	DriftMargin  = "drift-margin"        // ends are counted with no margin for clocks of unlike rate
	Confirmation = "leader-confirmation" // a leader renews without asking whether it still leads
	Door         = "door-token"          // doors let pass whatever comes
	Vote         = "forgotten-vote"      // a voter that lost its folder votes as the one it was
	FromAnswer   = "count-from-answer"   // a lease is counted from when its answer came
)

// Safeguards are all of them.
var Safeguards = []string{DriftMargin, Confirmation, Door, Vote, FromAnswer}

// The points at which a process can be stopped.
const (
	BeforeAct = "before-act" // between the check of a lease and the act
	InAct     = "in-act"     // in the middle of it
	OnRenewal = "on-renewal" // at the leader, when a round to a majority is about to begin
)
