package routing

import (
	"math"
	"testing"
)

// A server that has reached its limit of connections has capacity for the accepted ones. It must not be ejected.
func TestConnectionLimitSetsConcurrencyLimit(t *testing.T) {
	f := newFakeHost(1, 2)
	s := f.b.servers[f.b.ready[0]]
	s.concurrencyLimit = 8
	var ids []int
	for range 2 {
		id, _ := f.request(1, key(f.b, f.b.ready[0]), false, f.now+5000)
		ids = append(ids, id)
	}
	f.attemptDone(ids[1], 0, ConnectionLimit)
	if client := f.requests[ids[1]]; s.concurrencyLimit != 1 || s.ejectionTime != 0 || len(client.attempts) != 2 || client.attempts[1].server != 2 {
		t.Errorf("limit %g, ejection time %d, attempts %v: want a limit of 1, no ejection and a second attempt at the origin", s.concurrencyLimit, s.ejectionTime, client.attempts)
	}
}

// A node may have two attempts in flight at a cache once quick answers have shown that it is not overloaded.
// With a limit of one, the nodes of a large cluster sent many requests to the origin.
func TestQuickCacheAllowsTwoAttemptsInFlight(t *testing.T) {
	for limit, want := range map[float64]int{2: 0, 1: 2} {
		f := newFakeHost(1, 2)
		f.b.initialLimit, f.b.servers[0].concurrencyLimit = 1, limit
		f.request(0, key(f.b, 0), false, f.now+5000)
		if _, client := f.request(0, key(f.b, 0), false, f.now+5000); len(client.attempts) != 1 || client.attempts[0].server != want {
			t.Errorf("a limit of %g: attempts %v, want one at %d", limit, client.attempts, want)
		}
	}
}

// A cache whose answers become slow gets fewer attempts until they are quick again. Quick errors don't raise its limit.
func TestSlowAnswersLowerConcurrencyLimit(t *testing.T) {
	f := newFakeHost(1, 1)
	s := f.b.servers[0]
	f.b.servers[1].inFlight = 99 // no retry goes to the origin
	for _, tc := range []struct {
		latency   Time
		result    Result
		low, high float64
	}{{Millisecond, ServerError, 0, s.concurrencyLimit}, {150 * Millisecond, Served, minConcurrencyLimit, 1},
		{10 * Millisecond, Served, 2, maxConcurrencyLimit}} {
		for range 120 {
			if id, client := f.request(0, "a", false, f.now+5000); len(client.attempts) > 0 {
				f.now += tc.latency
				f.attemptDone(id, 0, tc.result)
			}
			f.now += 20 * Millisecond
		}
		if s.concurrencyLimit < tc.low || s.concurrencyLimit > tc.high {
			t.Errorf("limit %g after results %d with a latency of %d, want %g to %g", s.concurrencyLimit, tc.result, tc.latency, tc.low, tc.high)
		}
		s.ejectionTime, s.retryBudget = 0, maxRetryBudget
	}
}

// If the mean number of attempts in flight is four, it is often six. A limit of four would reject a third of them.
func TestInFlightLimitAllowsForRandomVariation(t *testing.T) {
	f := newFakeHost(1, 1)
	s := f.b.servers[0]
	s.concurrencyLimit, s.answers, f.b.decayedAt = maxConcurrencyLimit, 80, f.b.now // 80 answers a second x a quarter of 200 ms
	if got := f.b.inFlightLimit(&requestState{}, s); math.Abs(got-6) > 0.01 {
		t.Errorf("limit %.2f, want 6: 4 expected and 2 for random variation", got)
	}
}
