package changelog

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	maxNameBytes        = 256     // of a topic or a key
	maxValueBytes       = 4 << 10 // the log is no store for data
	changeOverheadBytes = 16      // bytes that a change counts for beside its names and value

	// bucketCount is the number of parts into which the state is divided by key. A child fetches only those that differ.
	bucketCount = 16
)

// Change is an agreed change: of a key's value, or an event.
type Change struct {
	Revision   uint64 // 1 for the first change of an epoch, then without gaps
	Topic, Key string
	Value      []byte
	Event      bool // it counts by itself; else only the latest change of its topic and key does
	Deleted    bool // the key is removed
}

// Validate returns an error that wraps ErrMalformed if the change exceeds the limits or contradicts itself.
func (c Change) Validate() error {
	if c.Topic == "" || len(c.Topic) > maxNameBytes || len(c.Key) > maxNameBytes {
		return fmt.Errorf("%w: topic %.50q, key %.50q", ErrMalformed, c.Topic, c.Key)
	}
	if len(c.Value) > maxValueBytes {
		return fmt.Errorf("%w: %d bytes of a value, at most %d are allowed", ErrMalformed, len(c.Value), maxValueBytes)
	}
	if c.Deleted && (c.Event || len(c.Value) > 0) {
		return fmt.Errorf("%w: key %.50q is deleted, and yet has a value or is an event", ErrMalformed, c.Key)
	}
	return nil
}

// size returns the bytes that a change counts for.
func changeBytes(c Change) int { return len(c.Topic) + len(c.Key) + len(c.Value) + changeOverheadBytes }

// stateKey returns the key of a change in a state.
func stateKey(c Change) string { return c.Topic + "\x00" + c.Key }

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// hashChange adds a change to a hash.
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

// bucketDigests returns a digest of the state's changes in each bucket.
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

// Position is how far a log has got. Epoch grows whenever the log begins anew. Chain is a hash of all changes up to Revision: it
// tells apart two logs that disagree on an earlier change.
type Position struct{ Epoch, Revision, Chain uint64 }

// advance returns the position after one more change.
func (p Position) advance(c Change) Position {
	h := xxhash.NewWithSeed(p.Chain)
	hashChange(h, c)
	return Position{Epoch: p.Epoch, Revision: c.Revision, Chain: h.Sum64()}
}

// checkedAdvance checks that a change is well-formed and follows the position, and returns the position after it.
func (p Position) checkedAdvance(c Change) (Position, error) {
	if err := c.Validate(); err != nil {
		return p, err
	}
	if c.Revision != p.Revision+1 {
		return p, fmt.Errorf("%w: revision %d after %d", ErrMalformed, c.Revision, p.Revision)
	}
	return p.advance(c), nil
}
