package routing

import (
	"fmt"
	"testing"
)

// Timeouts must lower the limit at the origin quickly. With hundreds of nodes, its queue would otherwise stay longer
// than the deadlines of the requests.
func TestOriginTimeoutsLowerConcurrencyLimit(t *testing.T) {
	f := newFakeHost(1, 1)
	for n := range 5 {
		id, _ := f.request(0, fmt.Sprint(n), false, f.now+5000)
		f.attemptDone(id, 0, NotFound)
		f.now += 150 * Millisecond
		f.attemptDone(id, 1, TimedOut)
	}
	if limit := f.b.servers[1].concurrencyLimit; limit != minConcurrencyLimit {
		t.Errorf("limit %g after five timeouts, want %g", limit, minConcurrencyLimit)
	}
}

// The limit at the origin grows quickly at first, since a node of a large cluster rarely fetches.
func TestOriginLimitGrowsWithFirstAnswers(t *testing.T) {
	f := newFakeHost(1, 1)
	for n := range 4 {
		id, _ := f.request(0, fmt.Sprint(n), false, f.now+5000)
		f.attemptDone(id, 0, NotFound)
		f.now += 10 * Millisecond
		f.attemptDone(id, 1, Served)
	}
	if limit := f.b.servers[1].concurrencyLimit; limit < maxUnmeasuredFetches || limit > maxUnmeasuredFetches+0.5 {
		t.Errorf("limit %.1f after four quick answers, want %g or a little more", limit, maxUnmeasuredFetches)
	}
}

// Requests with a long latency target must not fill the origin, since they would delay requests with a short one.
func TestLongLatencyTargetDoesNotRaiseOriginLimit(t *testing.T) {
	f := newFakeHost(1, 1)
	f.b.classes[0].LatencyTarget = 2500 * Millisecond // the others have 200 ms
	origin := f.b.servers[1]
	origin.answers, f.b.decayedAt, origin.inFlight = 100, f.b.now, 13 // 100 answers a second x 0.6 x 200 ms allow 12 in flight
	id, client := f.request(0, "k", false, f.now+50000)
	if f.attemptDone(id, 0, NotFound); len(client.attempts) != 1 || !client.ended {
		t.Errorf("attempts %v, want none at the origin", client.attempts)
	}
	origin.inFlight = 11
	id, client = f.request(0, "k", false, f.now+50000)
	if f.attemptDone(id, 0, NotFound); len(client.attempts) != 2 {
		t.Errorf("attempts %v, want one at the origin", client.attempts)
	}
}
