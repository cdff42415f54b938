package routing

import (
	"testing"
)

// Fetches of a key are coalesced: a second request waits for the first one's fetch and then asks the cache again.
func TestFetchesOfSameKeyCoalesced(t *testing.T) {
	f := newFakeHost(1, 1)
	first, c1 := f.request(0, "a", false, f.now+5000)
	f.attemptDone(first, 0, NotFound)
	_, c2 := f.request(0, "a", false, f.now+5000)
	_, c3 := f.request(1, "a", false, f.now+100*Millisecond)
	f.advance(101 * Millisecond)
	if c1.attempts[1].server != 1 || len(c2.attempts)+len(c3.attempts) != 0 || !c3.ended {
		t.Fatal("want one attempt at the origin, and the one that waits rejected at its deadline")
	}
	if f.attemptDone(first, 1, Served); len(c2.attempts) != 1 || c2.attempts[0].server != 0 {
		t.Fatal("the one that waited must go to the cache")
	}
}

// Requests do not wait for one that went to the origin because its cache was full, since the cache may have the
// value. Those that waited met the cache together afterwards.
func TestRequestDoesNotWaitForOriginAttemptWithoutMiss(t *testing.T) {
	f := newFakeHost(1, 1)
	id, c1 := f.request(0, "a", false, f.now+5000)
	f.attemptDone(id, 0, Rejected)
	_, c2 := f.request(0, "a", false, f.now+5000)
	if len(c1.attempts) != 2 || c1.attempts[1].server != 1 || len(c2.attempts) != 1 || c2.attempts[0].server != 0 {
		t.Errorf("attempts %v and %v, want one at the origin and one at the cache", c1.attempts, c2.attempts)
	}
}

// A write without a result leaves those alone that wait for a fetch of its key.
func TestFailedWriteKeepsFetchWaiters(t *testing.T) {
	f := newFakeHost(1, 1)
	fetch, _ := f.request(0, "a", false, f.now+5000)
	f.attemptDone(fetch, 0, NotFound)
	_, waiter := f.request(0, "a", false, f.now+5000)
	write, _ := f.request(0, "a", true, f.now+5000)
	f.attemptDone(write, 0, NotFound)
	if f.attemptDone(fetch, 1, Served); len(waiter.attempts) != 1 {
		t.Error("the request that waited was not released")
	}
}
