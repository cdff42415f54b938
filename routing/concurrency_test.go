package routing

import (
	"math"
	"testing"
)

// A server that takes no more connections has room for those it took, and says nothing of its health.
func TestConnectionLimitSetsTheConcurrencyLimit(t *testing.T) {
	f := newFakeHost(1, 2)
	s := f.b.servers[f.b.ready[0]]
	s.concurrencyLimit = 8
	var lkps []int
	for range 2 {
		lkp, _ := f.request(1, key(f.b, f.b.ready[0]), false, f.now+5000)
		lkps = append(lkps, lkp)
	}
	f.attemptDone(lkps[1], 0, ConnectionLimit)
	if c := f.requests[lkps[1]]; s.concurrencyLimit != 1 || s.ejectionTime != 0 || len(c.attempts) != 2 || c.attempts[1].server != 2 {
		t.Errorf("room %g, rest %d, shots %v: want room for one, no rest and the origin asked", s.concurrencyLimit, s.ejectionTime, c.attempts)
	}
}

// Forty nodes and more sent a twentieth of their lookups to the origin since one was out at the key's cache. Two may be,
// once quick answers have shown that the cache is calm.
func TestTwoAttemptsMayBeInFlightAtAQuickCache(t *testing.T) {
	for calm, want := range map[float64]int{2: 0, 1: 2} {
		f := newFakeHost(1, 2)
		f.b.initialLimit, f.b.servers[0].concurrencyLimit = 1, calm
		f.request(0, key(f.b, 0), false, f.now+5000)
		if _, c := f.request(0, key(f.b, 0), false, f.now+5000); len(c.attempts) != 1 || c.attempts[0].server != want {
			t.Errorf("a calm room of %g: shots %v, want one at %d", calm, c.attempts, want)
		}
	}
}

// i98748e, ic385cb: caches that slow down when crowded get less until their answers are quick again.
func TestSlowAnswersLowerTheConcurrencyLimit(t *testing.T) {
	f := newFakeHost(1, 1)
	s := f.b.servers[0]
	f.b.servers[1].inFlight = 99 // no further shot goes to the origin
	for _, c := range []struct {
		after       Time
		code        Result
		least, most float64
	}{{Millisecond, ServerError, 0, s.concurrencyLimit}, {150 * Millisecond, Served, minConcurrencyLimit, 1},
		{10 * Millisecond, Served, 2, maxConcurrencyLimit}} {
		for range 120 {
			if lkp, cl := f.request(0, "a", false, f.now+5000); len(cl.attempts) > 0 {
				f.now += c.after
				f.attemptDone(lkp, 0, c.code)
			}
			f.now += 20 * Millisecond
		}
		if s.concurrencyLimit < c.least || s.concurrencyLimit > c.most {
			t.Errorf("room %g after code %d in %d, want %g to %g", s.concurrencyLimit, c.code, c.after, c.least, c.most)
		}
		s.ejectionTime, s.retryBudget = 0, maxRetryBudget
	}
}

// One fetch a key: the second lookup waits for the first one's and then asks the cache again.
// Shots come by chance: where four are in flight in the mean, six often are, and a room of four would defer a third.
func TestInFlightLimitAllowsForRandomVariation(t *testing.T) {
	f := newFakeHost(1, 1)
	s := f.b.servers[0]
	s.concurrencyLimit, s.answers, f.b.decayedAt = maxConcurrencyLimit, 80, f.b.now // 80 a second, for a quarter of 200 ms
	if got := f.b.inFlightLimit(&requestState{}, s); math.Abs(got-6) > 0.01 {
		t.Errorf("a room of %.2f, want 4 and 2 for chance", got)
	}
}
