package changelog

import (
	"fmt"
	"maps"
	"slices"

	"github.com/thistlerudder/thistlerudder/lease"
)

// Time is the clock of leases, in ticks of a tenth of a millisecond.
type Time = lease.Time

// maxStateBytes is far beyond the size of any configuration and endpoint list.
const maxStateBytes = 16 << 20

// Log holds the state at a position, and a ring of the latest changes up to it. It is not safe for concurrent use.
type Log struct {
	position Position
	state    map[string]Change // by stateKey

	floor        Position // before the first change of the ring
	ring         []Change
	chains       []uint64 // Position.Chain after each change of the ring
	ringBytes    int
	maxRingBytes int
	stateBytes   int
	ready        bool // the ring reaches back as far as the parent's, or this is the source

	disabled DisabledSafeguards
}

// DisabledSafeguards disables safeguards, so that tests can show that their checks detect each one's absence.
type DisabledSafeguards struct {
	IgnoreChain            bool // logs that differ in an earlier change count as the same
	AcceptMalformed        bool // a response counts although it doesn't verify
	AcceptOldEpoch         bool // an earlier epoch counts like any other
	HideMissedEvents       bool // the host isn't notified of events between two positions
	AgeFromResponseTime    bool // an age counts from when the response arrives
	IgnoreParentAge        bool // a parent counts as current
	AgeFromPartialResponse bool // a partial response updates the age
	AcceptStaleResponse    bool // a response to an earlier request counts
	ApplyPartialState      bool // buckets are applied one by one
	StartRelayWithoutRing  bool // a relay starts from a snapshot, and serves without a ring
	IgnoreClockDrift       bool // all clocks count as exact
}

// NewLog returns an empty log of no epoch, with a ring of at most so many bytes.
func NewLog(maxRingBytes int) *Log {
	return &Log{maxRingBytes: maxRingBytes, state: map[string]Change{}}
}

// StartEpoch empties the log and makes it the source of an epoch.
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

// Position returns how far the log has got.
func (l *Log) Position() Position { return l.position }

// State returns the latest change of each key that has a value. The caller must not modify it.
func (l *Log) State() map[string]Change { return l.state }

// Add appends the next change. On an error, which wraps ErrMalformed, the log stays as it was.
func (l *Log) Add(c Change) error {
	next, err := l.position.checkedAdvance(c)
	if err != nil {
		return err
	}
	if !c.Event && l.stateBytes+changeBytes(c) > maxStateBytes {
		return fmt.Errorf("%w: over %d bytes of state", ErrMalformed, maxStateBytes)
	}
	l.position = next
	l.appendToRing(c)
	l.trimRing()
	if !c.Event {
		l.setState(c)
	}
	return nil
}

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

// appendToRing appends the change that led to the present position.
func (l *Log) appendToRing(c Change) {
	l.ring = append(l.ring, c)
	l.chains = append(l.chains, l.position.Chain)
	l.ringBytes += changeBytes(c)
}

// trimRing drops the oldest changes until the ring is within its limit.
func (l *Log) trimRing() {
	for l.ringBytes > l.maxRingBytes && len(l.ring) > 0 {
		l.floor = Position{Epoch: l.floor.Epoch, Revision: l.ring[0].Revision, Chain: l.chains[0]}
		l.ringBytes -= changeBytes(l.ring[0])
		l.ring[0] = Change{} // the array below the slice must not keep the value alive
		l.ring = l.ring[1:]
		l.chains = l.chains[1:]
	}
}

// chainAt returns the chain at a revision from the floor to the present one.
func (l *Log) chainAt(revision uint64) uint64 {
	if revision == l.floor.Revision {
		return l.floor.Chain
	}
	return l.chains[revision-l.floor.Revision-1]
}

// Respond answers a child's request. age bounds how long ago anything may have been agreed that the log doesn't have.
func (l *Log) Respond(r Request, age Time) Response {
	resp := Response{Position: r.Position, From: r.Revision, Age: age}
	sameEpoch := r.Epoch == l.position.Epoch
	switch {
	case !l.ready || l.position.Epoch == 0:
		resp.Err = ErrNotReady
	case r.Epoch > l.position.Epoch && !l.disabled.AcceptOldEpoch:
		resp.Err = ErrEpoch
	case sameEpoch && r.Revision > l.position.Revision:
		resp.Err = ErrBehind // state would lead the child back
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

// addChanges adds the changes after a position within the ring: as many as the child takes, and at least one.
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

// addState adds the buckets of the state that differ: as many as the child takes, and at least one.
func (l *Log) addState(r Request, resp *Response) {
	resp.Position = l.position
	resp.Buckets = map[int][]Change{}
	resp.Complete = true
	if r.Epoch != l.position.Epoch || r.Revision >= l.floor.Revision {
		resp.From = 0 // the child's log differs from this one, from an unknown revision on
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

func (l *Log) stateByBucket() [][]Change {
	buckets := make([][]Change, bucketCount)
	for _, key := range slices.Sorted(maps.Keys(l.state)) {
		b := bucketOf(key)
		buckets[b] = append(buckets[b], l.state[key])
	}
	return buckets
}

// install replaces the log's contents by a state, and by the position and the ring of the response that completed it.
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

func (l *Log) installRing(resp Response) {
	l.position = resp.Floor
	l.floor = resp.Floor
	for _, c := range resp.Ring {
		l.position = l.position.advance(c)
		l.appendToRing(c)
	}
	l.trimRing()
}
