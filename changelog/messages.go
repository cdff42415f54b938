package changelog

import (
	"errors"
	"fmt"
)

// Errors of a parent's response, and of its verification.
var (
	ErrEpoch     = errors.New("epoch is older than the child's")
	ErrBehind    = errors.New("parent is behind the child")
	ErrNotReady  = errors.New("parent has nothing to serve yet")
	ErrMalformed = errors.New("malformed")
)

// Request asks a parent for what follows the child's position.
type Request struct {
	ID uint64 // chosen by the child, different for each of its requests
	Position
	MaxBytes int      // of changes in the response, of which there may be one regardless of its size
	Digests  []uint64 // of the child's state by bucket; nil unless the child needs the parent's state
	NeedRing bool     // with a state, the child needs the parent's ring as well, since it serves others
}

// Response has changes that follow the child's position or, where the parent's ring doesn't reach back that far, state.
type Response struct {
	Position        // after the changes or of the state
	From     uint64 // the revision that the changes follow; with a state, up to which the child's events were the parent's too
	Changes  []Change
	More     bool // MaxBytes left something out

	BelowFloor bool             // the parent's ring doesn't reach back: the child has to ask again with Digests
	Buckets    map[int][]Change // state at Position: each bucket that differs, as a whole
	Complete   bool             // these buckets are the last ones
	Ring       []Change         // changes up to Position, if requested,
	Floor      Position         // and the position before them

	Age Time // everything agreed longer ago than this is in what the parent has
	Err error
}

// isPartial reports whether the response leaves out something that the parent has.
func (r Response) isPartial() bool {
	return r.BelowFloor || r.More || r.Buckets != nil && !r.Complete
}

// verify checks that the parts of a response belong together, and that they follow the child's position. A response that fails
// must not be used in part either.
func (r Response) verify(childPosition Position, disabled DisabledSafeguards) error {
	switch {
	case r.Age < 0:
		return fmt.Errorf("%w: negative age %d", ErrMalformed, r.Age)
	case r.BelowFloor && (len(r.Changes) > 0 || r.Buckets != nil):
		return fmt.Errorf("%w: changes or state although the ring doesn't reach back", ErrMalformed)
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
		return fmt.Errorf("%w: from %d to %+v, expected from %d to %+v", ErrMalformed, r.From, r.Position, childPosition.Revision, end)
	}
	return nil
}

func (r Response) verifyState(childPosition Position, disabled DisabledSafeguards) error {
	if r.Epoch < childPosition.Epoch && !disabled.AcceptOldEpoch || r.Epoch == childPosition.Epoch && r.Revision < childPosition.Revision {
		return fmt.Errorf("%w: state at %+v, which is before %+v", ErrEpoch, r.Position, childPosition)
	}
	if err := r.verifyBuckets(); err != nil {
		return err
	}
	end, err := advanceAll(r.Floor, r.Ring)
	if err != nil {
		return err
	}
	if len(r.Ring) > 0 && end != r.Position {
		return fmt.Errorf("%w: a ring to %+v, expected to %+v", ErrMalformed, end, r.Position)
	}
	return nil
}

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
				return fmt.Errorf("%w: %.50q in bucket %d of the state at %d", ErrMalformed, c.Key, bucket, r.Revision)
			}
		}
	}
	return nil
}

// advanceAll returns the position after consecutive changes.
func advanceAll(p Position, changes []Change) (Position, error) {
	for _, c := range changes {
		var err error
		if p, err = p.checkedAdvance(c); err != nil {
			return p, err
		}
	}
	return p, nil
}
