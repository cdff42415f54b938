package changelog

import (
	"fmt"
	"maps"
	"slices"

	"github.com/thistlerudder/thistlerudder/lease"
)

// Time is a point in time or a duration, in tenths of a millisecond, as package lease counts it.
type Time = lease.Time

// maxStateBytes limits the size of a state. It is far above the size of any configuration and endpoint list.
const maxStateBytes = 16 << 20

// Log holds the state at a position and a ring of the latest changes up to that position. It is not safe for concurrent use.
type Log struct {
	position Position
	state    map[string]Change // keyed by stateKey

	floor        Position // position before the first change of the ring
	ring         []Change
	chains       []uint64 // Position.Chain after each change of the ring
	ringBytes    int
	maxRingBytes int
	stateBytes   int
	ready        bool // set on the source of an epoch, and once a complete state, with the parent's ring if requested, is installed

	disabled DisabledSafeguards
}

// DisabledSafeguards lists the safeguards that are disabled. Tests disable one at a time to show that the checks of the tests
// detect its absence. All are false outside tests.
type DisabledSafeguards struct {
	IgnoreChain            bool // don't compare chains, which treats logs that differ in an earlier change as equal
	AcceptMalformed        bool // apply responses that fail verification
	AcceptOldEpoch         bool // accept state of an epoch before the child's
	HideMissedEvents       bool // don't notify the host of events that it may have missed
	AgeFromResponseTime    bool // measure the age of the contents from the arrival of the response instead of the sending of the request
	IgnoreParentAge        bool // treat a parent's contents as current
	AgeFromPartialResponse bool // update the age on a partial response
	AcceptStaleResponse    bool // accept a response to an earlier request
	ApplyPartialState      bool // apply buckets as they arrive, before the state is complete
	StartRelayWithoutRing  bool // let a relay start from a snapshot, which has no ring
	IgnoreClockDrift       bool // treat the follower's clock as exact
}

// NewLog returns an empty log without an epoch, whose ring is limited to maxRingBytes.
func NewLog(maxRingBytes int) *Log {
	return &Log{maxRingBytes: maxRingBytes, state: map[string]Change{}}
}

// StartEpoch empties the log and makes it the source of a new epoch.
func (l *Log) StartEpoch(epoch uint64) {
	*l = Log{
		position:     Position{Epoch: epoch},
		floor:        Position{Epoch: epoch},
		maxRingBytes: l.maxRingBytes,
		state:        map[string]Change{},
		ready:        true,
		disabled:     l.disabled,
	}
}

// Position returns the position of the log's latest change.
func (l *Log) Position() Position { return l.position }

// State returns the latest change of each key that isn't deleted, keyed by topic and key. The caller must not modify it.
func (l *Log) State() map[string]Change { return l.state }

// Add appends the next change. If the change is invalid, it returns an error that wraps ErrMalformed and leaves the log unchanged.
func (l *Log) Add(c Change) error {
	next, err := l.position.checkedAdvance(c)
	if err != nil {
		return err
	}
	if !c.Event && l.stateBytes+changeBytes(c) > maxStateBytes {
		return fmt.Errorf("%w: state would exceed %d bytes", ErrMalformed, maxStateBytes)
	}
	l.position = next
	l.appendToRing(c)
	l.trimRing()
	if !c.Event {
		l.setState(c)
	}
	return nil
}

// setState applies a change to the state.
func (l *Log) setState(c Change) {
	key := stateKey(c)
	if previous, found := l.state[key]; found {
		l.stateBytes -= changeBytes(previous)
		delete(l.state, key)
	}
	if !c.Deleted {
		l.state[key] = c
		l.stateBytes += changeBytes(c)
	}
}

// appendToRing appends change c. l.position must be the position after c.
func (l *Log) appendToRing(c Change) {
	l.ring = append(l.ring, c)
	l.chains = append(l.chains, l.position.Chain)
	l.ringBytes += changeBytes(c)
}

// trimRing removes the oldest changes until the ring is within its limit.
func (l *Log) trimRing() {
	for l.ringBytes > l.maxRingBytes && len(l.ring) > 0 {
		l.floor = Position{Epoch: l.floor.Epoch, Revision: l.ring[0].Revision, Chain: l.chains[0]}
		l.ringBytes -= changeBytes(l.ring[0])
		l.ring[0] = Change{} // releases the value; the backing array would keep it reachable
		l.ring = l.ring[1:]
		l.chains = l.chains[1:]
	}
}

// chainAt returns Position.Chain at a revision, which must be from the floor's to the latest one.
func (l *Log) chainAt(revision uint64) uint64 {
	if revision == l.floor.Revision {
		return l.floor.Chain
	}
	return l.chains[revision-l.floor.Revision-1]
}

// Respond returns the response to a child's request. The log must have every change that was committed longer ago than age.
func (l *Log) Respond(r Request, age Time) Response {
	resp := Response{Position: r.Position, From: r.Revision, Age: age}
	sameEpoch := r.Epoch == l.position.Epoch
	switch {
	case !l.ready || l.position.Epoch == 0:
		resp.Err = ErrNotReady
	case r.Epoch > l.position.Epoch && !l.disabled.AcceptOldEpoch:
		resp.Err = ErrEpoch
	case sameEpoch && r.Revision > l.position.Revision:
		resp.Err = ErrBehind // sending state would move the child back to an earlier revision
	case sameEpoch && r.Revision >= l.floor.Revision && (l.chainAt(r.Revision) == r.Chain || l.disabled.IgnoreChain):
		l.addChanges(r, &resp)
	case r.Digests == nil:
		resp.BelowFloor = true
	case len(r.Digests) != bucketCount:
		resp.Err = ErrMalformed
	default:
		l.addState(r, &resp)
	}
	return resp
}

// addChanges adds the changes after the child's position, which must be in the ring, up to r.MaxBytes but at least one if there is
// one.
func (l *Log) addChanges(r Request, resp *Response) {
	remainingBytes := r.MaxBytes
	for _, c := range l.ring[r.Revision-l.floor.Revision:] {
		remainingBytes -= changeBytes(c)
		if remainingBytes < 0 && len(resp.Changes) > 0 {
			resp.More = true
			break
		}
		resp.Changes = append(resp.Changes, c)
	}
	resp.Revision += uint64(len(resp.Changes))
	resp.Chain = l.chainAt(resp.Revision)
}

// addState adds the buckets that differ from the child's, up to r.MaxBytes but at least one if there is one. It adds the ring if
// the child requests it and no further bucket differs.
func (l *Log) addState(r Request, resp *Response) {
	resp.Position = l.position
	resp.Buckets = map[int][]Change{}
	resp.Complete = true
	if r.Epoch != l.position.Epoch || r.Revision >= l.floor.Revision {
		resp.From = 0 // the child's log may differ from this one at any revision
	}
	digests := bucketDigests(l.state)
	buckets := l.stateByBucket()
	remainingBytes := r.MaxBytes
	for b := range bucketCount {
		if digests[b] == r.Digests[b] {
			continue
		}
		for _, c := range buckets[b] {
			remainingBytes -= changeBytes(c)
		}
		if remainingBytes < 0 && len(resp.Buckets) > 0 {
			resp.Complete = false
			resp.More = true
			break
		}
		resp.Buckets[b] = buckets[b]
	}
	if r.NeedRing && resp.Complete {
		resp.Ring = slices.Clone(l.ring)
		resp.Floor = l.floor
	}
}

// stateByBucket returns the changes of the state by bucket, sorted by key.
func (l *Log) stateByBucket() [][]Change {
	buckets := make([][]Change, bucketCount)
	for _, key := range slices.Sorted(maps.Keys(l.state)) {
		b := bucketOf(key)
		buckets[b] = append(buckets[b], l.state[key])
	}
	return buckets
}

// install replaces the log's contents with a state and with the position and ring of resp, the response that completed the state.
func (l *Log) install(state map[string]Change, resp Response) {
	l.state = state
	l.stateBytes = 0
	for _, c := range state {
		l.stateBytes += changeBytes(c)
	}
	l.position = resp.Position
	l.floor = resp.Position
	l.ring = nil
	l.chains = nil
	l.ringBytes = 0
	if len(resp.Ring) > 0 {
		l.installRing(resp)
	}
	l.ready = true
}

// installRing fills the empty ring from a response and sets the floor accordingly.
func (l *Log) installRing(resp Response) {
	l.position = resp.Floor
	l.floor = resp.Floor
	for _, c := range resp.Ring {
		l.position = l.position.advance(c)
		l.appendToRing(c)
	}
	l.trimRing()
}
