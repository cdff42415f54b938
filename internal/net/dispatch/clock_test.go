package dispatch

import (
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Start times on the list are Unix times of clocks that agree. Where ours was stepped after the start of the process, a cache that starts
// is as cold as without that; a start in the future, or an old one under a name that is known, counts from when it was heard of.
func TestEndpointStartTimeWithWrongClock(t *testing.T) {
	const tolerance = 2 * time.Second
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		d := startDispatcher(t, &fakeTransport{})
		d.wallNow = func() time.Time { return time.Now().Round(0).Add(step) }
		age := func() time.Duration {
			return toDuration(d.clock.now() - d.routingEndpoint(d.endpoints.byID["a"]).StartedAt)
		}
		listed := testEndpoints[0]
		listed.StartedMs = float64(d.wallNow().UnixMilli()) - 500
		d.UpdateEndpoints(routing.Incremental, []Endpoint{listed})
		if got := age(); got < 400*time.Millisecond || got > 500*time.Millisecond+tolerance {
			t.Errorf("stepped by %v: a cache that started 0.5 s ago counts as %v old", step, got)
		}
		startedAt := d.routingEndpoint(d.endpoints.byID["a"]).StartedAt
		d.wallNow = func() time.Time { return time.Now().Round(0) } // stepped back
		d.UpdateEndpoints(routing.Full, []Endpoint{listed, testEndpoints[1], testEndpoints[2], testEndpoints[3]})
		if startedAgain := d.routingEndpoint(d.endpoints.byID["a"]).StartedAt; startedAgain != startedAt {
			t.Errorf("stepped by %v: one start is two, at %v and %v", step, startedAt, startedAgain)
		}
	}
	d := startDispatcher(t, &fakeTransport{})
	future := testEndpoints[0]
	future.StartedMs = float64(time.Now().Add(time.Hour).UnixMilli())
	d.UpdateEndpoints(routing.Incremental, []Endpoint{future})
	if got := toDuration(d.clock.now() - d.routingEndpoint(d.endpoints.byID["a"]).StartedAt); got < -tolerance || got > tolerance {
		t.Errorf("a start an hour ahead counts as %v ago", got)
	}
	d.UpdateEndpoints(routing.Incremental, []Endpoint{testEndpoints[1]}) // the list is live
	past := testEndpoints[0]
	past.StartedMs = float64(time.Now().Add(-time.Hour).UnixMilli())
	d.UpdateEndpoints(routing.Incremental, []Endpoint{past})
	if got := toDuration(d.clock.now() - d.routingEndpoint(d.endpoints.byID["a"]).StartedAt); got > tolerance {
		t.Errorf("a cache that has started since the list was last told counts as %v old", got)
	}
}

// What operators put back is cold, wherever the wall clock stood when it was taken out: its start was before that all the same. One that has started
// since it was taken out is as old as its start.
func TestRestoredEndpointStartTimeWithWrongClock(t *testing.T) {
	const tolerance = 2 * time.Second
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		d := startDispatcher(t, &fakeTransport{})
		age := func() time.Duration {
			return toDuration(d.clock.now() - d.routingEndpoint(d.endpoints.byID["new"]).StartedAt)
		}
		wall := func() float64 { return float64(d.wallNow().UnixMilli()) }
		listed := testEndpoints[0]
		listed.ID, listed.Address = "new", "new:1"
		listed.StartedMs = wall() - 600_000
		d.UpdateEndpoints(routing.Incremental, []Endpoint{listed})
		d.wallNow = func() time.Time { return time.Now().Round(0).Add(step) }
		ejection := Ejection{ID: "new", EjectedAt: wall()}
		d.SetEjections([]Ejection{ejection})
		ejection.RestoredAt = wall() + 1
		d.SetEjections([]Ejection{ejection})
		if got := age(); got < -tolerance || got > tolerance {
			t.Errorf("stepped by %v: what was just put back counts as %v old", step, got)
		}
		ejection = Ejection{ID: "new", EjectedAt: wall() - 9_000}
		d.SetEjections([]Ejection{ejection})
		listed.StartedMs = wall() - 5_000
		d.UpdateEndpoints(routing.Incremental, []Endpoint{listed})
		ejection.RestoredAt = wall()
		d.SetEjections([]Ejection{ejection})
		if got := age(); got < 5*time.Second-tolerance || got > 5*time.Second+tolerance {
			t.Errorf("stepped by %v: what has started 5 s ago, after it was taken out, counts as %v old", step, got)
		}
	}
}

// The clock starts at Unix time, so that the list's start times can be set beside it, and rounds down.
func TestClockMatchesUnixTimeRoundedDown(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	c := clock{start}
	if got := c.toRoutingTime(start.Add(1999 * time.Microsecond)); got != fromUnix(1_700_000_000_001)+9 || fromUnix(0) != 0 {
		t.Errorf("%d, %d", got, fromUnix(1_700_000_000_001))
	}
}
