package lease

// Operations of a Request.
const (
	OpAcquire  = "acquire"
	OpRenew    = "renew"
	OpRelease  = "release"
	OpWithdraw = "withdraw" // removes the claimant from the queue of waiters
	OpEffect   = "do"       // applies an effect to the replicated state
)

// Request is sent by a claimant to the leader.
type Request struct {
	Operation string
	Name      string // lease
	Holder    Holder
	Token     uint64 // fencing token of the lease, except for OpAcquire and OpWithdraw
	MaxWait   Time   // maximum wait for a held lease, capped at a third of the lease duration; 0: don't wait
	Effect    string // Effect, Number and Value are for OpEffect only
	Number    uint64
	Value     []byte
}

// Response answers a Request. If Err is ErrHeld or ErrStillHeld, Holder and Token are those of the current holder.
type Response struct {
	Token    uint64
	Holder   Holder
	Duration Time // nominal duration of the lease
	Err      error
}
