package dispatch

import (
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Start times in the endpoint list are Unix times of synchronized clocks. If the node's wall clock is stepped after the
// start of the process, the age of a restarted cache must still be right, since slow start depends on it. A start time
// in the future, or an old one that is new for a known id, counts from when it was received.
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
			t.Errorf("stepped by %v: a cache that started 0.5 s ago: age %v", step, got)
		}
		startedAt := d.routingEndpoint(d.endpoints.byID["a"]).StartedAt
		d.wallNow = func() time.Time { return time.Now().Round(0) } // the clock is stepped back
		d.UpdateEndpoints(routing.Full, []Endpoint{listed, testEndpoints[1], testEndpoints[2], testEndpoints[3]})
		if startedAgain := d.routingEndpoint(d.endpoints.byID["a"]).StartedAt; startedAgain != startedAt {
			t.Errorf("stepped by %v: the start time changed from %v to %v", step, startedAt, startedAgain)
		}
	}
	d := startDispatcher(t, &fakeTransport{})
	future := testEndpoints[0]
	future.StartedMs = float64(time.Now().Add(time.Hour).UnixMilli())
	d.UpdateEndpoints(routing.Incremental, []Endpoint{future})
	if got := toDuration(d.clock.now() - d.routingEndpoint(d.endpoints.byID["a"]).StartedAt); got < -tolerance || got > tolerance {
		t.Errorf("a start one hour in the future: age %v", got)
	}
	d.UpdateEndpoints(routing.Incremental, []Endpoint{testEndpoints[1]}) // sets lastLiveUpdate
	past := testEndpoints[0]
	past.StartedMs = float64(time.Now().Add(-time.Hour).UnixMilli())
	d.UpdateEndpoints(routing.Incremental, []Endpoint{past})
	if got := toDuration(d.clock.now() - d.routingEndpoint(d.endpoints.byID["a"]).StartedAt); got > tolerance {
		t.Errorf("a cache that has started since the latest update: age %v", got)
	}
}

// A restored endpoint counts as started when it was restored, even if the wall clock was stepped between its start and
// its ejection. If it has restarted since the ejection, its own start time counts.
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
			t.Errorf("stepped by %v: just restored: age %v", step, got)
		}
		ejection = Ejection{ID: "new", EjectedAt: wall() - 9_000}
		d.SetEjections([]Ejection{ejection})
		listed.StartedMs = wall() - 5_000
		d.UpdateEndpoints(routing.Incremental, []Endpoint{listed})
		ejection.RestoredAt = wall()
		d.SetEjections([]Ejection{ejection})
		if got := age(); got < 5*time.Second-tolerance || got > 5*time.Second+tolerance {
			t.Errorf("stepped by %v: started 5 s ago, after its ejection: age %v", step, got)
		}
	}
}

// The clock starts at the Unix time, so that it can be compared with the list's start times, and rounds down.
func TestClockMatchesUnixTimeRoundedDown(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	c := clock{start}
	if got := c.toRoutingTime(start.Add(1999 * time.Microsecond)); got != fromUnix(1_700_000_000_001)+9 || fromUnix(0) != 0 {
		t.Errorf("%d, %d", got, fromUnix(1_700_000_000_001))
	}
}
