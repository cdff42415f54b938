package changelog

import (
	"errors"
	"fmt"
)

// Errors that a parent returns in Response.Err, or that verification of a response returns.
var (
	ErrEpoch     = errors.New("epoch is older than the child's")
	ErrBehind    = errors.New("parent is behind the child")
	ErrNotReady  = errors.New("parent has no log to serve yet")
	ErrMalformed = errors.New("malformed")
)

// Request asks a parent for the changes after the child's position, which is embedded.
type Request struct {
	ID uint64 // unique among the child's requests
	Position
	MaxBytes int      // limit on the changes in the response; a single change or bucket may exceed it
	Digests  []uint64 // digests of the child's state by bucket; nil unless the child requests the parent's state
	NeedRing bool     // with a state, the child also requests the parent's ring, because it serves children itself
}

// Response has the changes after the child's position or, if the child's position isn't in the parent's ring, buckets of the
// parent's state.
type Response struct {
	Position // position after Changes, or position of the state
	// From is the revision before Changes. With a state, it is the revision after which the child may miss events: 0 if the
	// child's log may differ from the parent's at any revision.
	From    uint64
	Changes []Change
	More    bool // changes or buckets were omitted because of Request.MaxBytes

	BelowFloor bool             // the child's position isn't in the parent's ring; the child must repeat the request with Digests
	Buckets    map[int][]Change // complete contents, at Position, of buckets that differ from the child's
	Complete   bool             // no further bucket differs
	Ring       []Change         // with Complete and if requested, the parent's ring, which ends at Position
	Floor      Position         // position before Ring

	Age Time // the parent has every change that was committed longer ago than this
	Err error
}

// isPartial reports whether the parent has changes that the response omits.
func (r Response) isPartial() bool {
	return r.BelowFloor || r.More || r.Buckets != nil && !r.Complete
}

// verify checks that a response is consistent and continues from the child's position. No part of a response that fails the check
// may be used.
func (r Response) verify(childPosition Position, disabled DisabledSafeguards) error {
	switch {
	case r.Age < 0:
		return fmt.Errorf("%w: negative age %d", ErrMalformed, r.Age)
	case r.BelowFloor && (len(r.Changes) > 0 || r.Buckets != nil):
		return fmt.Errorf("%w: response has BelowFloor set together with changes or state", ErrMalformed)
	case r.Buckets != nil:
		return r.verifyState(childPosition, disabled)
	}
	end, err := advanceAll(childPosition, r.Changes)
	if err != nil {
		return err
	}
	if disabled.IgnoreChain {
		end.Chain = r.Chain
	}
	if !r.BelowFloor && (r.From != childPosition.Revision || end != r.Position) {
		return fmt.Errorf("%w: changes lead from revision %d to %+v, expected from revision %d to %+v", ErrMalformed, r.From, r.Position, childPosition.Revision, end)
	}
	return nil
}

// verifyState checks a response with buckets: its position, its buckets, and that its ring ends at its position.
func (r Response) verifyState(childPosition Position, disabled DisabledSafeguards) error {
	if r.Epoch < childPosition.Epoch && !disabled.AcceptOldEpoch || r.Epoch == childPosition.Epoch && r.Revision < childPosition.Revision {
		return fmt.Errorf("%w: state at %+v is older than the child's position %+v", ErrEpoch, r.Position, childPosition)
	}
	if err := r.verifyBuckets(); err != nil {
		return err
	}
	end, err := advanceAll(r.Floor, r.Ring)
	if err != nil {
		return err
	}
	if len(r.Ring) > 0 && end != r.Position {
		return fmt.Errorf("%w: ring ends at %+v, expected %+v", ErrMalformed, end, r.Position)
	}
	return nil
}

// verifyBuckets checks that each change is valid state in the right bucket, and that the size of the state is within its limit.
func (r Response) verifyBuckets() error {
	stateBytes := 0
	for bucket, changes := range r.Buckets {
		for _, c := range changes {
			if err := c.Validate(); err != nil {
				return err
			}
			stateBytes += changeBytes(c)
			belongs := bucket == bucketOf(stateKey(c)) && c.Revision <= r.Revision && !c.Event && !c.Deleted
			if !belongs || stateBytes > maxStateBytes {
				return fmt.Errorf("%w: key %.50q doesn't belong in bucket %d of the state at revision %d, or the state is too large", ErrMalformed, c.Key, bucket, r.Revision)
			}
		}
	}
	return nil
}

// advanceAll returns the position after consecutive changes, or an error at the first one that is invalid or out of order.
func advanceAll(p Position, changes []Change) (Position, error) {
	for _, c := range changes {
		var err error
		if p, err = p.checkedAdvance(c); err != nil {
			return p, err
		}
	}
	return p, nil
}
