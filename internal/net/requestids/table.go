// Package requestids remembers the ids of requests that are in flight or may have run a short time ago, so that an id that comes again is not run again.
// The processes that serve as one node during an upgrade share one table, in a file that each of them maps into its memory.
package requestids

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Size of the table. Its memory does not grow: with all slots of a bucket in use the id that would be forgotten first makes room.
const (
	bucketSlots = 8
	buckets     = 4096
	slots       = bucketSlots * buckets
	slotBytes   = 8
	tableBytes  = slots * slotBytes
)

// A slot is one word, so that it is changed atomically, also between processes: the upper bits are the id's tag, a part of its hash, the lower ones the
// time until which it is remembered, in ticks since the machine's start without the higher bits. 0 is a free slot.
const (
	tick     = 16 * time.Millisecond
	timeBits = 24
	timeMask = 1<<timeBits - 1
)

// MaxDuration is the longest time for which an id can be remembered. A time that is farther away was written long ago, before the ticks began anew.
const MaxDuration = time.Hour

// Table is a set of ids, each until its own time. Times are durations since the machine's start, see kernel.SinceBoot, which all processes measure alike. It
// does no I/O after Open. Its methods are safe for concurrent use by several processes.
type Table struct {
	words   []uint64 // of which each is accessed atomically
	evicted atomic.Int64
	unmap   func()
}

// New returns a table that is not shared with other processes.
func New() *Table { return &Table{words: make([]uint64, slots), unmap: func() {}} }

// Reserve remembers an id until a time. It reports false and changes nothing if the id is remembered already. If two processes reserve an id at the same
// moment, it may report false in both. It must not be called concurrently for the same id within a process.
func (t *Table) Reserve(id string, now, until time.Duration) bool {
	bucket, tag := t.locate(id)
	for {
		slot, old, found := t.choose(bucket, tag, now)
		if found {
			return false
		}
		word := encode(tag, until)
		if !atomic.CompareAndSwapUint64(&bucket[slot], old, word) {
			continue
		}
		if old != 0 && live(old, now) {
			t.evicted.Add(1)
		}
		if t.foundElsewhere(bucket, slot, tag, now) { // another process has reserved it meanwhile
			atomic.CompareAndSwapUint64(&bucket[slot], word, 0)
			return false
		}
		return true
	}
}

// Keep changes until when a reserved id is remembered. It reserves the id again if that was forgotten.
func (t *Table) Keep(id string, now, until time.Duration) {
	bucket, tag := t.locate(id)
	for i := range bucket {
		if word := atomic.LoadUint64(&bucket[i]); word>>timeBits == tag && word != 0 {
			if atomic.CompareAndSwapUint64(&bucket[i], word, encode(tag, until)) {
				return
			}
		}
	}
	t.Reserve(id, now, until)
}

// Release forgets an id.
func (t *Table) Release(id string) {
	bucket, tag := t.locate(id)
	for i := range bucket {
		if word := atomic.LoadUint64(&bucket[i]); word>>timeBits == tag && word != 0 {
			atomic.CompareAndSwapUint64(&bucket[i], word, 0)
		}
	}
}

// Evicted returns how many ids this process has forgotten before their time, because their bucket was full.
func (t *Table) Evicted() int64 { return t.evicted.Load() }

// Close ends the use of a shared table. No other method may be called afterwards.
func (t *Table) Close() { t.unmap() }

// locate returns an id's bucket and its tag.
func (t *Table) locate(id string) (bucket []uint64, tag uint64) {
	hash := xxhash.Sum64String(id)
	first := hash % buckets * bucketSlots
	return t.words[first : first+bucketSlots], hash >> timeBits
}

// choose returns the slot for a tag and its present word: a free one if there is any, else the one that would be forgotten first. found reports that the
// tag is in the bucket.
func (t *Table) choose(bucket []uint64, tag uint64, now time.Duration) (slot int, old uint64, found bool) {
	shortest := MaxDuration
	for i := range bucket {
		word := atomic.LoadUint64(&bucket[i])
		remaining := time.Duration(-1)
		if word != 0 && live(word, now) {
			if word>>timeBits == tag {
				return 0, 0, true
			}
			remaining = timeLeft(word, now)
		}
		if remaining < shortest {
			shortest, slot, old = remaining, i, word
		}
	}
	return slot, old, false
}

// foundElsewhere reports whether another slot than this one holds the tag.
func (t *Table) foundElsewhere(bucket []uint64, slot int, tag uint64, now time.Duration) bool {
	for i := range bucket {
		word := atomic.LoadUint64(&bucket[i])
		if i != slot && word != 0 && word>>timeBits == tag && live(word, now) {
			return true
		}
	}
	return false
}

// encode returns the word of a slot. The time is rounded up.
func encode(tag uint64, until time.Duration) uint64 {
	word := tag<<timeBits | (ticks(until)+1)&timeMask
	if word == 0 {
		word = 1
	}
	return word
}

func ticks(t time.Duration) uint64 { return uint64(t / tick) }

// live reports whether a word is remembered.
func live(word uint64, now time.Duration) bool {
	left := timeLeft(word, now)
	return left > 0 && left <= MaxDuration+tick
}

// timeLeft returns for how long a word is remembered; a long time if that is over.
func timeLeft(word uint64, now time.Duration) time.Duration {
	return time.Duration((word-ticks(now))&timeMask) * tick
}
