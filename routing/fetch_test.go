package routing

import (
	"testing"
)

func TestFetchesOfAKeyAreCoalesced(t *testing.T) {
	f := newFakeHost(1, 1)
	first, c1 := f.request(0, "a", false, f.now+5000)
	f.attemptDone(first, 0, NotFound)
	_, c2 := f.request(0, "a", false, f.now+5000)
	_, c3 := f.request(1, "a", false, f.now+100*Millisecond)
	f.advance(101 * Millisecond)
	if c1.attempts[1].server != 1 || len(c2.attempts)+len(c3.attempts) != 0 || !c3.ended {
		t.Fatal("want one shot at the origin, and who waits answered at its time limit")
	}
	if f.attemptDone(first, 1, Served); len(c2.attempts) != 1 || c2.attempts[0].server != 0 {
		t.Fatal("the one that waited must go to the cache")
	}
}

// A hot key at a fleet of few nodes: all its lookups waited for one that went to the origin since its cache was full,
// and met the cache together when that was back.
func TestNobodyWaitsForAnAttemptWithoutAMiss(t *testing.T) {
	f := newFakeHost(1, 1)
	lkp, c1 := f.request(0, "a", false, f.now+5000)
	f.attemptDone(lkp, 0, Rejected)
	_, c2 := f.request(0, "a", false, f.now+5000)
	if len(c1.attempts) != 2 || c1.attempts[1].server != 1 || len(c2.attempts) != 1 || c2.attempts[0].server != 0 {
		t.Errorf("shots %v and %v, want one at the origin and one at the cache", c1.attempts, c2.attempts)
	}
}

// A write that a server has nothing for took over the note of its key's fetch, and who waited for that was lost.
func TestWriteKeepsTheWaitersOfAFetch(t *testing.T) {
	f := newFakeHost(1, 1)
	fetch, _ := f.request(0, "a", false, f.now+5000)
	f.attemptDone(fetch, 0, NotFound)
	_, waits := f.request(0, "a", false, f.now+5000)
	write, _ := f.request(0, "a", true, f.now+5000)
	f.attemptDone(write, 0, NotFound)
	if f.attemptDone(fetch, 1, Served); len(waits.attempts) != 1 {
		t.Error("the lookup that waited was not let go")
	}
}
