package routing

import (
	"testing"
)

// A second request for a key waits for the fetch of the first one and is then sent to the cache. A request whose
// deadline passes while it waits is rejected.
func TestFetchesOfSameKeyCoalesced(t *testing.T) {
	f := newFakeHost(1, 1)
	first, client1 := f.request(0, "a", false, f.now+5000)
	f.attemptDone(first, 0, NotFound)
	_, client2 := f.request(0, "a", false, f.now+5000)
	_, client3 := f.request(1, "a", false, f.now+100*Millisecond)
	f.advance(101 * Millisecond)
	if client1.attempts[1].server != 1 || len(client2.attempts)+len(client3.attempts) != 0 || !client3.ended {
		t.Fatal("want one attempt at the origin, and the waiting request rejected at its deadline")
	}
	if f.attemptDone(first, 1, Served); len(client2.attempts) != 1 || client2.attempts[0].server != 0 {
		t.Fatal("the waiting request was not sent to the cache after the fetch")
	}
}

// Requests do not wait for a request that went to the origin because its cache was full, since the cache may have the
// value. When they waited, all of them were sent to the cache at once afterwards.
func TestRequestDoesNotWaitForOriginAttemptWithoutMiss(t *testing.T) {
	f := newFakeHost(1, 1)
	id, client1 := f.request(0, "a", false, f.now+5000)
	f.attemptDone(id, 0, Rejected)
	_, client2 := f.request(0, "a", false, f.now+5000)
	if len(client1.attempts) != 2 || client1.attempts[1].server != 1 || len(client2.attempts) != 1 || client2.attempts[0].server != 0 {
		t.Errorf("attempts %v and %v, want one at the origin and one at the cache", client1.attempts, client2.attempts)
	}
}

// A write that ends with NotFound must not remove the requests that wait for a fetch of the same key: they would never
// be released.
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
