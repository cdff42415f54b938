package lease

import "errors"

// The errors with which a log entry or a request may be refused. Peers recognise them by name, except for ErrNotLeader and
// ErrAlreadyFounded, which net/rpc carries by their text.
var (
	// ErrHeld says that another holder has the lease.
	ErrHeld = errors.New("held by another")
	// ErrLeaseExpired says that the lease is not, or no longer, held with the token given.
	ErrLeaseExpired = errors.New("the lease is not held with this token: it expired or was released")
	// ErrDuplicate says that this change, or a later one, was applied before.
	ErrDuplicate = errors.New("already applied, or superseded by a later change")
	// ErrStaleTerm says that the entry was proposed in the term of an earlier leader.
	ErrStaleTerm = errors.New("proposed in the term of an earlier leader")
	// ErrLimitExceeded says that a limit on the number of leases, waiters, requests, effects or budgets is reached.
	ErrLimitExceeded = errors.New("limit exceeded")
	// ErrMalformed says that an entry, a snapshot or a request has an invalid form.
	ErrMalformed = errors.New("malformed")
	// ErrNotFounded says that the cluster has no first entry yet.
	ErrNotFounded = errors.New("the fleet is not founded")
	// ErrAlreadyFounded says that the cluster has its first entry already. Its text is part of the wire format.
	ErrAlreadyFounded = errors.New("the fleet is founded already")
	// ErrNotLeader says that the voter doesn't lead, or can't prove that it does: retry at another one. Its text is part
	// of the wire format.
	ErrNotLeader = errors.New("not the leader")
	// ErrStillHeld says that the request waited as long as it may; a claimant that retries soon keeps its place in the queue.
	ErrStillHeld = errors.New("still held by another")
	// ErrWithdrawn says that the claimant has withdrawn its request, or replaced it by a newer one.
	ErrWithdrawn = errors.New("request withdrawn")
	// ErrInvalidBudget says that the configuration of a budget is invalid.
	ErrInvalidBudget = errors.New("invalid budget")
)
