package dispatch

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"testing/quick"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Ejections, restores, list updates, restarts, changes of address and requests occur in random order. No attempt may go to an
// endpoint that is ejected or not listed as ready, only a restore may end an ejection, and a restored endpoint must go
// through slow start.
func TestRandomEventsKeepEjections(t *testing.T) {
	seed, attemptCounts := int64(0), map[string]int{}
	run := func() bool {
		seed++
		random := rand.New(rand.NewSource(seed))
		transport := &fakeTransport{}
		d := startDispatcher(t, transport)
		ids := []string{"a", "b", "c", "d"}
		listed := map[string]Endpoint{}
		for _, endpoint := range testEndpoints {
			listed[endpoint.ID] = endpoint
		}
		ejections := map[string]Ejection{}
		unixMs := d.clock.start.UnixMilli() - 100000 // long enough ago that slow start is over
		for step := range 300 {
			unixMs++
			id := ids[random.Intn(len(ids))]
			endpoint, isListed := listed[id]
			if !isListed {
				endpoint = Endpoint{ID: id, Address: id + ":1", Model: "box"}
			}
			switch random.Intn(9) {
			case 0: // ejected, for the first time or again after a restore
				if ejections[id].EjectedAt == 0 || ejections[id].RestoredAt > 0 {
					ejections[id] = Ejection{ID: id, EjectedAt: float64(unixMs)}
				}
			case 1:
				if ejection := ejections[id]; ejection.EjectedAt > 0 && ejection.RestoredAt == 0 {
					ejection.RestoredAt = float64(unixMs)
					ejections[id] = ejection
				}
			case 2, 3:
				endpoint.State = []routing.State{routing.Ready, routing.Ready, routing.Draining}[random.Intn(3)]
				listed[id] = endpoint
				d.UpdateEndpoints(routing.Incremental, []Endpoint{endpoint})
			case 4: // restarted, possibly at another address
				endpoint.StartedMs, endpoint.State, endpoint.Address = float64(unixMs), routing.Ready, fmt.Sprint(id, ":", random.Intn(3))
				listed[id] = endpoint
				d.UpdateEndpoints(routing.Incremental, []Endpoint{endpoint})
			case 5:
				if delete(listed, id); isListed {
					endpoint.State = routing.Gone
					d.UpdateEndpoints(routing.Incremental, []Endpoint{endpoint})
				}
			case 6:
				full := []Endpoint{}
				for _, endpoint := range listed {
					full = append(full, endpoint)
				}
				d.UpdateEndpoints(routing.Full, full)
			default:
				request := Request{Class: "read", Key: fmt.Sprint("k", random.Intn(50)), TraceID: fmt.Sprint(seed, step)}
				if _, err := d.Submit(request, d.clock.start, 1e9); err != nil {
					t.Error(err)
				}
			}
			ejectionList := []Ejection{}
			for _, ejection := range ejections {
				ejectionList = append(ejectionList, ejection)
			}
			d.SetEjections(ejectionList)
			for attempt := transport.take(0); attempt != nil; attempt = transport.take(0) {
				id, _, _ := strings.Cut(attempt.Address, ":")
				ejection := ejections[id]
				if current := listed[id]; current.Address != attempt.Address || current.State != routing.Ready || ejection.EjectedAt > 0 && ejection.RestoredAt == 0 {
					t.Errorf("seed %d, step %d: attempt to %s, listed as %+v, ejection %+v", seed, step, attempt.Address, current, ejection)
					return false
				}
				if attemptCounts[id]++; ejection.RestoredAt > 0 {
					attemptCounts["restored"]++
				}
				attempt.Finish(Complete, Answer{})
			}
			for id, ejection := range ejections {
				i, known := d.endpoints.byID[id]
				if !known || d.endpoints.entries[i].gone {
					continue
				}
				reported := d.routingEndpoint(i)
				if ejection.RestoredAt == 0 && reported.State == routing.Ready || ejection.RestoredAt > 0 && reported.StartedAt < fromUnix(ejection.EjectedAt) {
					t.Errorf("seed %d, step %d: %s is reported as %+v, ejection %+v", seed, step, id, reported, ejection)
					return false
				}
			}
		}
		return true
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 60}); err != nil {
		t.Error(err)
	}
	for _, kind := range []string{"a", "b", "c", "restored"} {
		if attemptCounts[kind] == 0 {
			t.Errorf("no attempts counted for %q: %v", kind, attemptCounts)
		}
	}
}

// The start time of a restored endpoint is the time of the restore, also after a list update that reports no restart. If the
// endpoint restarted between its ejection and its restore, and the list reports that only after the restore, the start time
// becomes the one in the list.
func TestRestoredEndpointStartTime(t *testing.T) {
	d := startDispatcher(t, &fakeTransport{})
	ejectedAt := float64(d.clock.start.UnixMilli())
	startedAt := func() routing.Time { return d.routingEndpoint(d.endpoints.byID["a"]).StartedAt }
	d.SetEjections([]Ejection{{ID: "a", EjectedAt: ejectedAt}})
	if startedAt() != 0 {
		t.Error("an ejection alone must not change the start time")
	}
	d.SetEjections([]Ejection{{ID: "a", EjectedAt: ejectedAt, RestoredAt: ejectedAt + 100}})
	d.UpdateEndpoints(routing.Full, testEndpoints) // reports no new start time, so no restart
	if got := startedAt(); got != fromUnix(ejectedAt+100) {
		t.Errorf("started at %v, want the time of the restore", got)
	}
	d.SetEjections(nil) // removing the entry of a restored endpoint changes nothing
	if got := startedAt(); got != fromUnix(ejectedAt+100) {
		t.Errorf("started at %v, want the time of the restore", got)
	}
	restarted := testEndpoints[0]
	restarted.StartedMs = ejectedAt + 50
	d.UpdateEndpoints(routing.Incremental, []Endpoint{restarted})
	if got := startedAt(); got != fromUnix(ejectedAt+50) {
		t.Errorf("started at %v, want the start time in the list", got)
	}
}

// listedIDs stores at most maxListedIDs ids. Each new id beyond that replaces the oldest one.
func TestListedIDsBoundedOldestDropped(t *testing.T) {
	var ids listedIDs
	for i := range 3 * maxListedIDs {
		ids.add(fmt.Sprint(i))
		ids.add(fmt.Sprint(i)) // an id that is added again is not stored twice
	}
	if len(ids.ids) != maxListedIDs || len(ids.order) != maxListedIDs || ids.ids[fmt.Sprint(2*maxListedIDs-1)] ||
		!ids.ids[fmt.Sprint(2*maxListedIDs)] || !ids.ids[fmt.Sprint(3*maxListedIDs-1)] {
		t.Errorf("%d ids are stored, or the wrong ones", len(ids.ids))
	}
}
