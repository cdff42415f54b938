package faults

// The safeguards of leases. Test runs disable them to show that the checks detect the violation that results.
// The comment on each safeguard says what happens while it is disabled.
const (
	DriftMargin  = "drift-margin"        // lease durations have no margin for clocks that run at different rates
	Confirmation = "leader-confirmation" // a leader renews leases without confirming that it still leads
	FencingCheck = "door-token"          // an effect is applied whatever its fencing token
	Vote         = "forgotten-vote"      // a voter that lost its folder still votes under its former ID
	FromAnswer   = "count-from-answer"   // a lease starts when its response arrives, not when its request is sent
)

// The safeguards of budgets, described in the same way.
const (
	BurstKept = "burst-kept"     // a node keeps its saved-up burst when its quota shrinks
	Reuse     = "reuse-early"    // units that a node has been asked to return count as free at once
	Forget    = "leader-forgets" // a new leader takes all quotas to be free
)

// Safeguards lists the safeguards that leases need, BudgetSafeguards those that budgets need.
var (
	Safeguards       = []string{DriftMargin, Confirmation, FencingCheck, Vote, FromAnswer}
	BudgetSafeguards = []string{DriftMargin, FromAnswer, BurstKept, Reuse, Forget}
)

// The safeguards of single requests, described in the same way.
const (
	QuietPeriod     = "quiet-period"    // a connection is reused at once
	ClientGoneCheck = "client-look"     // a client that disconnects goes unnoticed
	DrainState      = "drain-news"      // a draining server counts as ready
	ResetIsError    = "reset-is-no-end" // a connection reset completes a response of undeclared length
	MayHaveRun      = "may-have-run"    // a broken connection counts as proof that the request did not run
	DeclaredTimeout = "told-deadline"   // the timeout declared to a server is half a second too long
	FinalAnswer     = "answer-owed"     // about one response in a hundred is withheld
	OneAttempt      = "one-attempt"     // an attempt that is reported as timed out stays open
	AnswerEnd       = "answer-end"      // a delivered answer that is not known to be long has no deadline
	UploadTime      = "upload-time"     // the time of an upload's client begins when its server has taken the last byte
	IDReservation   = "id-reservation"  // an id is free as soon as its last attempt has ended
	StallPatience   = "stall-patience"  // an answer that is silent for a while is given up
)

// SoakSafeguards lists the safeguards that the soak tests show to be needed.
var SoakSafeguards = []string{QuietPeriod, ClientGoneCheck, DrainState, ResetIsError, MayHaveRun, DeclaredTimeout, FinalAnswer, OneAttempt, AnswerEnd,
	UploadTime, IDReservation, StallPatience}

// The points at which the test rig can stop a process.
const (
	BeforeAct = "before-act" // between the check of a lease and the action that it protects
	InAct     = "in-act"     // in the middle of the action
	OnRenewal = "on-renewal" // at the leader, just before it confirms its leadership with a majority
)
