// Package changelog decides how changes of the whole fleet reach every node: Log is what a relay or the leader keeps and answers
// from, Follower a child's side. Neither does any I/O or knows a clock of its own. Nothing calls them yet: it is the model of
// docs/design-changes.md.
package changelog

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/thistlerudder/thistlerudder/lease"
)

// Time is the clock that leases are counted by.
type Time = lease.Time

const (
	buckets   = 16       // of state, told apart by digest: of 100 KB one is some 6 KB
	stateMost = 16 << 20 // bytes of state: far beyond any configuration and list
	overhead  = 16       // bytes of a change beside its names and value
	nameMost  = 256      // bytes of a topic or a key
	valueMost = 4 << 10  // bytes of a value: the log of the agreement is no store for data
)

// Refusals of a parent.
var (
	ErrEpoch     = errors.New("of an earlier epoch than the child knows")
	ErrBehind    = errors.New("behind the child")
	ErrNotReady  = errors.New("has no ring yet")
	ErrMalformed = errors.New("malformed")
)

// Change is one that was agreed.
type Change struct {
	Revision   uint64
	Topic, Key string
	Value      []byte
	Event      bool // it counts by itself; else the latest of its key is the key's state
	Gone       bool // the key is no more
}

// Position is how far a log goes. The chain is a hash over all changes up to it.
type Position struct{ Epoch, Revision, Chain uint64 }

// Request is a child's: what comes after its place.
type Request struct {
	ID uint64 // the child's own
	Position
	Most    int      // bytes that it takes, about
	Digests []uint64 // of its state by bucket, where no ring may help
	Ring    bool     // it serves others, and needs the ring as well where the state is given
}

// Response is what comes of it: changes from the child's place on, or, where the ring doesn't reach back to it, state.
type Response struct {
	Position        // after it
	From     uint64 // the revision that the changes follow on; of state, up to which the child's events were ours
	Changes  []Change
	More     bool // something is left out yet

	Below   bool             // the ring doesn't reach back: the state is needed
	Buckets map[int][]Change // of state, each whole, at Place
	Settled bool             // with these buckets the state is that at Place
	Ring    []Change         // up to Place, where it was asked for,
	Floor   Position         // and where that begins

	Age Time // all that was agreed longer ago is in what the parent has
	Err error
}

// Log keeps the state at a place and the latest changes up to it. It is not safe for concurrent use.
type Log struct {
	place Position
	floor Position          // before the first of the ring
	ring  []Change          // the latest,
	chain []uint64          // the chain after each,
	most  int               // bytes of them at the most
	bytes int               // and now
	state map[string]Change // by topic and key
	held  int               // bytes of it
	ready bool              // the ring reaches back as far as its parent's, or is the source's own

	unsafe Unsafe
}

// Unsafe takes a safeguard out, to show that the checks would see it.
type Unsafe struct {
	Chain   bool // two that differ under one revision count as the same
	Garbled bool // an answer counts though its parts don't belong together
	Epoch   bool // an earlier epoch counts like any other
	Missed  bool // nobody is told of events between two places
	Answer  bool // an age counts from when the answer comes
	Parent  bool // a parent counts as fresh
	Partial bool // an answer that leaves something out tells of an age
	Late    bool // an answer to an earlier asking counts
	Torn    bool // buckets count at once
	Ring    bool // a relay serves without a ring
	Drift   bool // all clocks run alike
}

// NewLog makes an empty one of no epoch, with a ring of so many bytes.
func NewLog(ring int) *Log { return &Log{most: ring, state: map[string]Change{}} }

// Found begins an epoch at its source.
func (l *Log) Found(epoch uint64) {
	*l = Log{place: Position{Epoch: epoch}, floor: Position{Epoch: epoch}, most: l.most, state: map[string]Change{}, ready: true, unsafe: l.unsafe}
}

// Place tells how far it goes.
func (l *Log) Place() Position { return l.place }

// State gives the state, by topic and key.
func (l *Log) State() map[string]Change { return l.state }

func size(c Change) int { return len(c.Topic) + len(c.Key) + len(c.Value) + overhead }

func keyOf(c Change) string { return c.Topic + "\x00" + c.Key }

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % buckets) }

// Check says what is wrong with a change that somebody sent.
func (c Change) Check() error {
	switch {
	case c.Topic == "" || len(c.Topic) > nameMost || len(c.Key) > nameMost:
		return fmt.Errorf("%w: topic %.50q, key %.50q", ErrMalformed, c.Topic, c.Key)
	case len(c.Value) > valueMost || c.Gone && len(c.Value) > 0 || c.Event && c.Gone:
		return fmt.Errorf("%w: %d bytes of a value, %d at the most and none of what is gone", ErrMalformed, len(c.Value), valueMost)
	}
	return nil
}

func write(h *xxhash.Digest, c Change) {
	var n [8]byte
	for _, x := range []uint64{c.Revision, uint64(len(c.Topic)), uint64(len(c.Key)), uint64(len(c.Value))} {
		binary.LittleEndian.PutUint64(n[:], x)
		_, _ = h.Write(n[:])
	}
	_, _ = h.WriteString(c.Topic + c.Key)
	_, _ = h.Write(c.Value)
	flags := byte(0)
	if c.Event {
		flags |= 1
	}
	if c.Gone {
		flags |= 2
	}
	_, _ = h.Write([]byte{flags})
}

// after gives the place after one more change.
func (p Position) after(c Change) Position {
	h := xxhash.NewWithSeed(p.Chain)
	write(h, c)
	return Position{p.Epoch, c.Revision, h.Sum64()}
}

// Add takes the next change.
func (l *Log) Add(c Change) error {
	switch err := c.Check(); {
	case err != nil:
		return err
	case c.Revision != l.place.Revision+1:
		return fmt.Errorf("%w: revision %d after %d", ErrMalformed, c.Revision, l.place.Revision)
	case !c.Event && l.held+size(c) > stateMost:
		return fmt.Errorf("%w: over %d bytes of state", ErrMalformed, stateMost)
	}
	l.place = l.place.after(c)
	l.keep(c)
	l.trim()
	if !c.Event {
		key := keyOf(c)
		if was, known := l.state[key]; known {
			l.held -= size(was)
		}
		if delete(l.state, key); !c.Gone {
			l.state[key] = c
			l.held += size(c)
		}
	}
	return nil
}

// keep puts the change that led to the present place into the ring.
func (l *Log) keep(c Change) {
	l.ring, l.chain, l.bytes = append(l.ring, c), append(l.chain, l.place.Chain), l.bytes+size(c)
}

func (l *Log) trim() {
	for l.bytes > l.most && len(l.ring) > 0 {
		l.floor = Position{l.floor.Epoch, l.ring[0].Revision, l.chain[0]}
		l.bytes -= size(l.ring[0])
		l.ring[0] = Change{}
		l.ring, l.chain = l.ring[1:], l.chain[1:]
	}
}

// chainAt gives the chain at a revision within the ring.
func (l *Log) chainAt(revision uint64) uint64 {
	if revision == l.floor.Revision {
		return l.floor.Chain
	}
	return l.chain[revision-l.floor.Revision-1]
}

// digestsOf gives a digest of the state for each bucket.
func digestsOf(state map[string]Change) []uint64 {
	var h [buckets]*xxhash.Digest
	for i := range h {
		h[i] = xxhash.New()
	}
	for _, key := range slices.Sorted(maps.Keys(state)) {
		write(h[bucketOf(key)], state[key])
	}
	all := make([]uint64, buckets)
	for i := range h {
		all[i] = h[i].Sum64()
	}
	return all
}

// Respond says what a child is to be told; age is that of what the log holds.
func (l *Log) Respond(a Request, age Time) Response {
	x := Response{Position: a.Position, From: a.Revision, Age: age}
	same := a.Epoch == l.place.Epoch
	switch {
	case !l.ready || l.place.Epoch == 0:
		x.Err = ErrNotReady
	case a.Epoch > l.place.Epoch && !l.unsafe.Epoch:
		x.Err = ErrEpoch // an older source that speaks last
	case same && a.Revision > l.place.Revision:
		x.Err = ErrBehind // what there is to give would lead back, and nobody can tell whether it was the same up to here
	case same && a.Revision >= l.floor.Revision && (l.chainAt(a.Revision) == a.Chain || l.unsafe.Chain):
		l.since(a, &x)
	case a.Digests == nil:
		x.Below = true
	case len(a.Digests) != buckets:
		x.Err = ErrMalformed
	default:
		l.whole(a, &x)
	}
	return x
}

// since gives the changes after a place within the ring, as many as the child takes, one at least.
func (l *Log) since(a Request, x *Response) {
	left := a.Most
	for _, c := range l.ring[a.Revision-l.floor.Revision:] {
		if left -= size(c); left < 0 && len(x.Changes) > 0 {
			x.More = true
			break
		}
		x.Changes = append(x.Changes, c)
	}
	x.Revision += uint64(len(x.Changes))
	x.Chain = l.chainAt(x.Revision)
}

// whole gives the buckets of state that differ, as many as the child takes, one at least.
func (l *Log) whole(a Request, x *Response) {
	if x.Position, x.Buckets, x.Settled = l.place, map[int][]Change{}, true; a.Epoch != l.place.Epoch || a.Revision >= l.floor.Revision {
		x.From = 0 // what the child has isn't ours from some revision on, and nobody knows from which
	}
	ours, left := digestsOf(l.state), a.Most
	byBucket := make([][]Change, buckets)
	for _, key := range slices.Sorted(maps.Keys(l.state)) {
		b := bucketOf(key)
		byBucket[b] = append(byBucket[b], l.state[key])
	}
	for b := range buckets {
		if ours[b] == a.Digests[b] {
			continue
		}
		for _, c := range byBucket[b] {
			left -= size(c)
		}
		if left < 0 && len(x.Buckets) > 0 {
			x.Settled, x.More = false, true
			break
		}
		x.Buckets[b] = byBucket[b]
	}
	if a.Ring && x.Settled {
		x.Ring, x.Floor = slices.Clone(l.ring), l.floor
	}
}

// settle takes over a state and a place in one step, and a parent's ring.
func (l *Log) settle(state map[string]Change, x Response) {
	l.state, l.held = state, 0
	for _, c := range state {
		l.held += size(c)
	}
	l.place, l.floor, l.ring, l.chain, l.bytes = x.Position, x.Position, nil, nil, 0
	if len(x.Ring) > 0 {
		l.place, l.floor = x.Floor, x.Floor
		for _, c := range x.Ring {
			l.place = l.place.after(c)
			l.keep(c)
		}
		l.trim()
	}
	l.ready = true
}

// sound says whether an answer's parts belong together: it counts whole or not at all.
func (x Response) sound(at Position, u Unsafe) error {
	switch {
	case x.Age < 0:
		return fmt.Errorf("%w: an age of %d", ErrMalformed, x.Age)
	case x.Below && (len(x.Changes) > 0 || x.Buckets != nil):
		return fmt.Errorf("%w: below the floor, and yet changes", ErrMalformed)
	case x.Buckets != nil:
		return x.soundState(at, u)
	}
	p := at
	for _, c := range x.Changes {
		if err := c.Check(); err != nil {
			return err
		}
		if c.Revision != p.Revision+1 {
			return fmt.Errorf("%w: revision %d after %d", ErrMalformed, c.Revision, p.Revision)
		}
		p = p.after(c)
	}
	if u.Chain {
		p.Chain = x.Chain
	}
	if !x.Below && (x.From != at.Revision || p != x.Position) {
		return fmt.Errorf("%w: from %d to %+v, expected from %d to %+v", ErrMalformed, x.From, x.Position, at.Revision, p)
	}
	return nil
}

func (x Response) soundState(at Position, u Unsafe) error {
	if x.Epoch < at.Epoch && !u.Epoch || x.Epoch == at.Epoch && x.Revision < at.Revision {
		return fmt.Errorf("%w: state at %+v, which lies before %+v", ErrEpoch, x.Position, at)
	}
	held := 0
	for b, all := range x.Buckets {
		for _, c := range all {
			if err := c.Check(); err != nil {
				return err
			}
			if held += size(c); b != bucketOf(keyOf(c)) || c.Event || c.Gone || c.Revision > x.Revision || held > stateMost {
				return fmt.Errorf("%w: %.50q in bucket %d of the state at %d", ErrMalformed, c.Key, b, x.Revision)
			}
		}
	}
	p := x.Floor
	for _, c := range x.Ring {
		if err := cmp.Or(c.Check(), nextOf(p, c)); err != nil {
			return err
		}
		p = p.after(c)
	}
	if len(x.Ring) > 0 && p != x.Position {
		return fmt.Errorf("%w: a ring to %+v, expected to %+v", ErrMalformed, p, x.Position)
	}
	return nil
}

func nextOf(p Position, c Change) error {
	if c.Revision != p.Revision+1 {
		return fmt.Errorf("%w: revision %d after %d", ErrMalformed, c.Revision, p.Revision)
	}
	return nil
}
