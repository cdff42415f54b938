package routing

import (
	"fmt"
	"math"
	"testing"
)

// Guards against a node that stops sending. Whatever result all attempts have, and however few caches there are, a node
// must not reject all requests for 4 s without an attempt in between. The operators' requirement applies if at least 15
// requests in a row are rejected.
func TestNodeKeepsSendingWhenAllAttemptsFail(t *testing.T) {
	const (
		maxRejecting = 4000 * Millisecond
		minRejected  = 15
		interval     = 20 * Millisecond
		duration     = 40000 * Millisecond
	)
	for _, caches := range []int{1, 2, 5, 20} {
		for _, result := range []Result{ServerError, Rejected, TimedOut, ConnectFailed, ConnectionBroken, Canceled, NotSent, NotFound, ConnectionLimit, ConnectTimeout} {
			for _, slowStart := range []bool{false, true} {
				f := newFakeHost(int64(caches)*100+int64(result), caches)
				if slowStart {
					for i := range f.endpoints[:caches] {
						f.endpoints[i].StartedAt = f.now
					}
					f.b.UpdateEndpoints(f.now, Incremental, f.endpoints)
				}
				lastAttemptAt, rejected, longest := f.now, 0, Time(0)
				for end := f.now + duration; f.now < end; f.advance(interval) {
					id, client := f.request(0, fmt.Sprint("k", f.rnd.Intn(50)), false, f.now+800*Millisecond)
					if len(client.attempts) > 0 {
						lastAttemptAt, rejected = f.now, 0
					} else if rejected++; rejected >= minRejected {
						longest = max(longest, f.now-lastAttemptAt)
					}
					for result != TimedOut && f.requests[id] == client && client.inFlight > 0 {
						f.attemptDone(id, len(client.attempts)-1, result)
					}
				}
				if longest >= maxRejecting {
					t.Errorf("%d caches, result %d, slow start %v: no attempt for %d ms", caches, result, slowStart, longest/Millisecond)
				}
				if len(f.violations) > 0 {
					t.Errorf("%d caches, result %d: %v", caches, result, f.violations[0])
				}
			}
		}
	}
}

// A client that is rejected early gets a short Retry-After, while an answer can still be in time, and one that is
// rejected late the longest.
func TestRetryAfter(t *testing.T) {
	f := newFakeHost(1, 1)
	f.b = New(f, 1, f.now, f.b.config) // without an endpoint list, where the histogram must stay finite
	if _, client := f.request(0, "a", false, f.now+5000); client.retryAfter < 20*Millisecond || client.retryAfter > 40*Millisecond ||
		math.IsInf(f.b.binWeights[0], 0) || f.b.weightScale == 0 {
		t.Errorf("retry-after %d, want a tenth to a fifth of the latency target", client.retryAfter)
	}
	f = newFakeHost(1, 1)
	f.b.servers[1].inFlight = 99
	id, client := f.request(0, "a", false, f.now+5000)
	f.now += 150 * Millisecond
	if f.attemptDone(id, 0, Rejected); client.retryAfter != 400*Millisecond {
		t.Errorf("retry-after %d late in the latency target, want the longest", client.retryAfter)
	}
}
