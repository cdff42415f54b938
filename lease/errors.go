package lease

import "errors"

// Reasons for which a log entry or a request is refused. Peers recognise an error by a name sent over the wire, except for
// ErrNotLeader and ErrAlreadyFounded, which net/rpc carries as text.
var (
	// ErrHeld means that another holder has the lease.
	ErrHeld = errors.New("held by another")
	// ErrLeaseExpired means that the lease is not held with the token of the request or entry.
	ErrLeaseExpired = errors.New("the lease is not held with this token: it expired or was released")
	// ErrDuplicate means that this change or a later one has already been applied.
	ErrDuplicate = errors.New("already applied, or superseded by a later change")
	// ErrStaleTerm means that the entry was proposed in an earlier term.
	ErrStaleTerm = errors.New("proposed in the term of an earlier leader")
	// ErrLimitExceeded means that the limit on leases, waiters, requests, effects or budgets is reached.
	ErrLimitExceeded = errors.New("limit exceeded")
	// ErrMalformed means that an entry, a snapshot or a request is invalid.
	ErrMalformed = errors.New("malformed")
	// ErrNotFounded means that the entry that founds the cluster has not been applied yet.
	ErrNotFounded = errors.New("the fleet is not founded")
	// ErrAlreadyFounded means that the entry that founds the cluster has already been applied. Its text is part of the
	// wire format.
	ErrAlreadyFounded = errors.New("the fleet is founded already")
	// ErrNotLeader means that the voter is not the leader, or cannot confirm that it is. The caller retries at another
	// voter. Its text is part of the wire format.
	ErrNotLeader = errors.New("not the leader")
	// ErrStillHeld means that the lease was not granted before the request's wait ended. A claimant that retries within a
	// third of the lease duration keeps its place in the queue.
	ErrStillHeld = errors.New("still held by another")
	// ErrWithdrawn means that the claimant withdrew the request or replaced it by a newer one.
	ErrWithdrawn = errors.New("request withdrawn")
	// ErrInvalidBudget means that the configuration of a budget is invalid.
	ErrInvalidBudget = errors.New("invalid budget")
)
