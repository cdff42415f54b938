package dispatch

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"testing/quick"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Ejections, lists, restarts, new addresses and returns in any order: no attempt is decided to what is ejected or doesn't stand
// ready on the list, an ejection ends by a call back only, and what is back starts cold.
func TestBansHoldInAnyOrder(t *testing.T) {
	seed, all := int64(0), map[string]int{}
	random := func() bool {
		seed++
		r := rand.New(rand.NewSource(seed))
		f := &fakeTransport{}
		d := startDispatcher(t, f)
		ids := []string{"a", "b", "c", "d"}
		listed := map[string]Endpoint{}
		for _, b := range testEndpoints {
			listed[b.ID] = b
		}
		ejected := map[string]Ejection{}
		clock := d.clock.start.UnixMilli() - 100000 // what happened then is warm by now
		for step := range 300 {
			clock++
			id := ids[r.Intn(len(ids))]
			b, there := listed[id]
			if !there {
				b = Endpoint{ID: id, Address: id + ":1", Model: "box"}
			}
			switch r.Intn(9) {
			case 0: // ejected, perhaps again
				if ejected[id].EjectedAt == 0 || ejected[id].RestoredAt > 0 {
					ejected[id] = Ejection{ID: id, EjectedAt: float64(clock)}
				}
			case 1:
				if ejection := ejected[id]; ejection.EjectedAt > 0 && ejection.RestoredAt == 0 {
					ejection.RestoredAt = float64(clock)
					ejected[id] = ejection
				}
			case 2, 3:
				b.State = []routing.State{routing.Ready, routing.Ready, routing.Draining}[r.Intn(3)]
				listed[id] = b
				d.UpdateEndpoints(routing.Incremental, []Endpoint{b})
			case 4: // restarted, perhaps at another address
				b.StartedMs, b.State, b.Address = float64(clock), routing.Ready, fmt.Sprint(id, ":", r.Intn(3))
				listed[id] = b
				d.UpdateEndpoints(routing.Incremental, []Endpoint{b})
			case 5:
				if delete(listed, id); there {
					b.State = routing.Gone
					d.UpdateEndpoints(routing.Incremental, []Endpoint{b})
				}
			case 6:
				whole := []Endpoint{}
				for _, b := range listed {
					whole = append(whole, b)
				}
				d.UpdateEndpoints(routing.Full, whole)
			default:
				in := Request{Class: "read", Key: fmt.Sprint("k", r.Intn(50)), TraceID: fmt.Sprint(seed, step)}
				if _, err := d.Submit(in, d.clock.start, 1e9); err != nil {
					t.Error(err)
				}
			}
			list := []Ejection{}
			for _, ejection := range ejected {
				list = append(list, ejection)
			}
			d.SetEjections(list)
			for s := f.take(0); s != nil; s = f.take(0) {
				id, _, _ := strings.Cut(s.Address, ":")
				ejection := ejected[id]
				if at := listed[id]; at.Address != s.Address || at.State != routing.Ready || ejection.EjectedAt > 0 && ejection.RestoredAt == 0 {
					t.Errorf("seed %d, step %d: an attempt to %s, listed %+v, ejection %+v", seed, step, s.Address, at, ejection)
					return false
				}
				if all[id]++; ejection.RestoredAt > 0 {
					all["back"]++
				}
				s.Finish(Complete, Answer{})
			}
			for id, ejection := range ejected {
				i, known := d.endpoints.byID[id]
				if !known || d.endpoints.entries[i].gone {
					continue
				}
				box := d.routingEndpoint(i)
				if ejection.RestoredAt == 0 && box.State == routing.Ready || ejection.RestoredAt > 0 && box.StartedAt < fromUnix(ejection.EjectedAt) {
					t.Errorf("seed %d, step %d: %s is shown as %+v, ejection %+v", seed, step, id, box, ejection)
					return false
				}
			}
		}
		return true
	}
	if err := quick.Check(random, &quick.Config{MaxCount: 60}); err != nil {
		t.Error(err)
	}
	for _, kind := range []string{"a", "b", "c", "back"} {
		if all[kind] == 0 {
			t.Errorf("no attempts of the kind %q: %v", kind, all)
		}
	}
}

// A new start that the list tells of after the return makes the server cold anew; the return alone does so once.
func TestWhatIsBackStartsCold(t *testing.T) {
	d := startDispatcher(t, &fakeTransport{})
	out := float64(d.clock.start.UnixMilli())
	since := func() routing.Time { return d.routingEndpoint(d.endpoints.byID["a"]).StartedAt }
	d.SetEjections([]Ejection{{ID: "a", EjectedAt: out}})
	if since() != 0 {
		t.Error("an ejection alone is no start")
	}
	d.SetEjections([]Ejection{{ID: "a", EjectedAt: out, RestoredAt: out + 100}})
	d.UpdateEndpoints(routing.Full, testEndpoints) // which knows nothing yet
	if got := since(); got != fromUnix(out+100) {
		t.Errorf("since %v, want the return", got)
	}
	d.SetEjections(nil) // what is forgotten after its return changes nothing
	if got := since(); got != fromUnix(out+100) {
		t.Errorf("since %v, want the return", got)
	}
	later := testEndpoints[0]
	later.StartedMs = out + 50
	d.UpdateEndpoints(routing.Incremental, []Endpoint{later})
	if got := since(); got != fromUnix(out+50) {
		t.Errorf("since %v, want the start that the list told of", got)
	}
}

// What remembers ids is bounded, and forgets the oldest first.
func TestHeardIsBounded(t *testing.T) {
	var h listedIDs
	for i := range 3 * maxListedIDs {
		h.add(fmt.Sprint(i))
		h.add(fmt.Sprint(i)) // once
	}
	if len(h.ids) != maxListedIDs || len(h.order) != maxListedIDs || h.ids[fmt.Sprint(2*maxListedIDs-1)] ||
		!h.ids[fmt.Sprint(2*maxListedIDs)] || !h.ids[fmt.Sprint(3*maxListedIDs-1)] {
		t.Errorf("%d ids are remembered", len(h.ids))
	}
}
