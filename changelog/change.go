package changelog

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxNameBytes is the largest size of a topic and of a key.
	maxNameBytes = 256
	// maxValueBytes is the largest size of a value. It is small because the log distributes settings, not bulk data.
	maxValueBytes = 4 << 10
	// changeOverheadBytes is added to the sizes of a change's topic, key and value when a change counts against a limit.
	changeOverheadBytes = 16
	// bucketCount is the number of parts into which the state is divided by a hash of the key. A child fetches only the buckets
	// that differ from its own.
	bucketCount = 16
)

// Change is a committed entry of the log: a new value of a key, the removal of a key, or an event such as a purge.
type Change struct {
	Revision   uint64 // starts at 1 in each epoch and has no gaps
	Topic, Key string
	Value      []byte
	Event      bool // every event matters, and none is part of the state; of other changes only the latest of each topic and key matters
	Deleted    bool // the change removes the key from the state
}

// Validate returns an error that wraps ErrMalformed if the change has no topic, exceeds a size limit, or removes a key and also has a
// value or is an event.
func (c Change) Validate() error {
	if c.Topic == "" || len(c.Topic) > maxNameBytes || len(c.Key) > maxNameBytes {
		return fmt.Errorf("%w: topic %.50q is empty or too long, or key %.50q is too long", ErrMalformed, c.Topic, c.Key)
	}
	if len(c.Value) > maxValueBytes {
		return fmt.Errorf("%w: value has %d bytes, the limit is %d", ErrMalformed, len(c.Value), maxValueBytes)
	}
	if c.Deleted && (c.Event || len(c.Value) > 0) {
		return fmt.Errorf("%w: change deletes key %.50q but also has a value or is an event", ErrMalformed, c.Key)
	}
	return nil
}

// changeBytes returns the size of a change as counted against the limits of a ring, a state and a response.
func changeBytes(c Change) int { return len(c.Topic) + len(c.Key) + len(c.Value) + changeOverheadBytes }

// stateKey returns the map key of a change in a state.
func stateKey(c Change) string { return c.Topic + "\x00" + c.Key }

// bucketOf returns the index of the bucket that a state key belongs to.
func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// hashChange writes all fields of a change to a hash.
func hashChange(h *xxhash.Digest, c Change) {
	var buf [8]byte
	for _, number := range []uint64{c.Revision, uint64(len(c.Topic)), uint64(len(c.Key)), uint64(len(c.Value))} {
		binary.LittleEndian.PutUint64(buf[:], number)
		_, _ = h.Write(buf[:])
	}
	_, _ = h.WriteString(c.Topic + c.Key)
	_, _ = h.Write(c.Value)
	flags := byte(0)
	if c.Event {
		flags |= 1
	}
	if c.Deleted {
		flags |= 2
	}
	_, _ = h.Write([]byte{flags})
}

// bucketDigests returns a digest of each bucket of a state.
func bucketDigests(state map[string]Change) []uint64 {
	var hashes [bucketCount]*xxhash.Digest
	for i := range hashes {
		hashes[i] = xxhash.New()
	}
	for _, key := range slices.Sorted(maps.Keys(state)) {
		hashChange(hashes[bucketOf(key)], state[key])
	}
	digests := make([]uint64, bucketCount)
	for i := range hashes {
		digests[i] = hashes[i].Sum64()
	}
	return digests
}

// Position identifies the latest change of a log. Epoch increases whenever the log starts again from empty. Revision is the
// revision of the latest change, or 0 if there is none. Chain is a hash of all changes up to Revision; it differs between two logs
// that have the same epoch and revision but differ in an earlier change.
type Position struct{ Epoch, Revision, Chain uint64 }

// advance returns the position after change c, which it doesn't check.
func (p Position) advance(c Change) Position {
	h := xxhash.NewWithSeed(p.Chain)
	hashChange(h, c)
	return Position{Epoch: p.Epoch, Revision: c.Revision, Chain: h.Sum64()}
}

// checkedAdvance returns the position after change c, or an error if c is invalid or doesn't have the next revision.
func (p Position) checkedAdvance(c Change) (Position, error) {
	if err := c.Validate(); err != nil {
		return p, err
	}
	if c.Revision != p.Revision+1 {
		return p, fmt.Errorf("%w: revision %d follows revision %d", ErrMalformed, c.Revision, p.Revision)
	}
	return p.advance(c), nil
}
