package lease

// The operations of a Request.
const (
	OpAcquire  = "acquire"
	OpRenew    = "renew"
	OpRelease  = "release"
	OpWithdraw = "withdraw" // leaves the queue of waiters
	OpEffect   = "do"       // applies an effect to the replicated state
)

// Request is sent by a claimant to the leader.
type Request struct {
	Operation string
	Name      string // of the lease
	Holder    Holder
	Token     uint64
	Wait      Time   // how long to wait for a lease that is held, at most a third of its duration; 0: don't wait
	Effect    string // for OpEffect, as are Number and Value
	Number    uint64
	Value     []byte
}

// Response answers a Request. With ErrHeld and ErrStillHeld, Holder and Token are those of the present holder.
type Response struct {
	Token    uint64
	Holder   Holder
	Duration Time // of the lease, nominal
	Err      error
}
