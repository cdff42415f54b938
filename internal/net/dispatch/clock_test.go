package dispatch

import (
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Start times on the list are Unix times of clocks that agree. Where ours was stepped after the start of the process, a cache that starts
// is as cold as without that; a start in the future, or an old one under a name that is known, counts from when it was heard of.
func TestAStartIsColdWhateverTheClockDid(t *testing.T) {
	const close = 2 * time.Second
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		x := start(t, &fleet{})
		x.wall = func() time.Time { return time.Now().Round(0).Add(step) }
		since := func() time.Duration { return toDuration(x.clock.now() - x.routingEndpoint(x.places["a"]).StartedAt) }
		started := boxes[0]
		started.StartedMs = float64(x.wall().UnixMilli()) - 500
		x.UpdateEndpoints(routing.Incremental, []Endpoint{started})
		if age := since(); age < 400*time.Millisecond || age > 500*time.Millisecond+close {
			t.Errorf("stepped by %v: a cache that started 0.5 s ago counts as %v old", step, age)
		}
		at := x.routingEndpoint(x.places["a"]).StartedAt
		x.wall = func() time.Time { return time.Now().Round(0) } // stepped back
		x.UpdateEndpoints(routing.Full, []Endpoint{started, boxes[1], boxes[2], boxes[3]})
		if again := x.routingEndpoint(x.places["a"]).StartedAt; again != at {
			t.Errorf("stepped by %v: one start is two, at %v and %v", step, at, again)
		}
	}
	x := start(t, &fleet{})
	future := boxes[0]
	future.StartedMs = float64(time.Now().Add(time.Hour).UnixMilli())
	x.UpdateEndpoints(routing.Incremental, []Endpoint{future})
	if age := toDuration(x.clock.now() - x.routingEndpoint(x.places["a"]).StartedAt); age < -close || age > close {
		t.Errorf("a start an hour ahead counts as %v ago", age)
	}
	x.UpdateEndpoints(routing.Incremental, []Endpoint{boxes[1]}) // the list is live
	past := boxes[0]
	past.StartedMs = float64(time.Now().Add(-time.Hour).UnixMilli())
	x.UpdateEndpoints(routing.Incremental, []Endpoint{past})
	if age := toDuration(x.clock.now() - x.routingEndpoint(x.places["a"]).StartedAt); age > close {
		t.Errorf("a cache that has started since the list was last told counts as %v old", age)
	}
}

// What operators put back is cold, wherever the wall clock stood when it was taken out: its start was before that all the same. One that has started
// since it was taken out is as old as its start.
func TestWhatIsPutBackIsColdWhateverTheClockDid(t *testing.T) {
	const close = 2 * time.Second
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		x := start(t, &fleet{})
		since := func() time.Duration { return toDuration(x.clock.now() - x.routingEndpoint(x.places["new"]).StartedAt) }
		wall := func() float64 { return float64(x.wall().UnixMilli()) }
		started := boxes[0]
		started.ID, started.Address = "new", "new:1"
		started.StartedMs = wall() - 600_000
		x.UpdateEndpoints(routing.Incremental, []Endpoint{started})
		x.wall = func() time.Time { return time.Now().Round(0).Add(step) }
		ban := Ejection{ID: "new", EjectedAt: wall()}
		x.SetEjections([]Ejection{ban})
		ban.RestoredAt = wall() + 1
		x.SetEjections([]Ejection{ban})
		if age := since(); age < -close || age > close {
			t.Errorf("stepped by %v: what was just put back counts as %v old", step, age)
		}
		ban = Ejection{ID: "new", EjectedAt: wall() - 9_000}
		x.SetEjections([]Ejection{ban})
		started.StartedMs = wall() - 5_000
		x.UpdateEndpoints(routing.Incremental, []Endpoint{started})
		ban.RestoredAt = wall()
		x.SetEjections([]Ejection{ban})
		if age := since(); age < 5*time.Second-close || age > 5*time.Second+close {
			t.Errorf("stepped by %v: what has started 5 s ago, after it was taken out, counts as %v old", step, age)
		}
	}
}
