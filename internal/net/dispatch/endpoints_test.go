package dispatch

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

func TestABoxKeepsItsIndexAtANewAddress(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	moved := testEndpoints[3]
	moved.Address = "elsewhere:1"
	d.UpdateEndpoints(routing.Incremental, []Endpoint{moved})
	submit(t, d, Request{Class: "read", Write: true}, time.Second)
	if s := transport.take(0); s.Address != "elsewhere:1" || len(d.endpoints.entries) != len(testEndpoints) {
		t.Errorf("sent to %s; %d indices for %d boxes", s.Address, len(d.endpoints.entries), len(testEndpoints))
	}
}

// The order to close idle connections goes to the endpoint that it names.
func TestConnectionsAreGivenBack(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	d.withLock("test", nil, func(routing.Time) { host{d}.CloseIdle(1, 0) })
	if len(transport.closedIdle) != 1 || transport.closedIdle[0] != d.endpoints.entries[1].incarnation || d.Stats().Panics != 0 {
		t.Errorf("closed idle connections of %v", transport.closedIdle)
	}
}

// Endpoints come under new ids all day, some at the address of one that has gone: nothing is kept of those that went, no
// endpoint gets the index of another whose attempts are out, and each has connections of its own.
func TestPlacesOfBoxesThatWentAreGivenBack(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	submit(t, d, Request{Class: "late", Write: true}, time.Second) // at the origin while that is replaced
	out := transport.take(0)
	seen := map[uint64]bool{out.Incarnation: true}
	const rounds = 768
	for n := range rounds {
		fresh := []Endpoint{{ID: fmt.Sprint("c", n), Address: "same:1", Model: "box"}, {ID: fmt.Sprint("z", n), Address: "z:1", Model: "origin"}}
		if n%2 == 0 {
			d.UpdateEndpoints(routing.Full, fresh)
		} else {
			d.UpdateEndpoints(routing.Incremental, append(fresh, Endpoint{ID: fmt.Sprint("c", n-1), State: routing.Gone},
				Endpoint{ID: fmt.Sprint("z", n-1), State: routing.Gone}, Endpoint{ID: "never seen", State: routing.Gone}))
		}
		for _, write := range []bool{false, true} {
			submit(t, d, Request{Class: "late", Write: write}, time.Second)
			s := transport.take(0)
			if s == nil || seen[s.Incarnation] || s.endpointIndex == out.endpointIndex || s.Address != fresh[map[bool]int{true: 1}[write]].Address {
				t.Fatalf("list %d, write %v: %+v", n, write, s)
			}
			seen[s.Incarnation] = true
			s.Finish(Complete, Answer{})
		}
	}
	out.Finish(Complete, Answer{})
	if len(d.endpoints.byID) != 2 || len(d.endpoints.entries) > 12 {
		t.Errorf("%d ids and %d indices are kept", len(d.endpoints.byID), len(d.endpoints.entries))
	}
	same, again := testEndpoints[0], testEndpoints[0]
	again.StartedMs = 5
	for _, b := range []Endpoint{same, same, again} {
		d.UpdateEndpoints(routing.Full, []Endpoint{b})
	}
	if p := d.endpoints.entries[d.endpoints.byID["a"]]; p.incarnation != d.endpoints.lastIncarnation || d.endpoints.lastIncarnation != uint64(len(testEndpoints)+2*rounds+2) {
		t.Errorf("a restart is another place, the same list isn't: %+v of %d", p, d.endpoints.lastIncarnation)
	}
}

func TestReadyOnceAListIsKnown(t *testing.T) {
	d := New(startDispatcher(t, &fakeTransport{}).settings, nil)
	d.Start(1, &fakeTransport{}, fakeSource{})
	d.UpdateEndpoints(routing.Cached, nil)
	before := d.Ready()
	d.UpdateEndpoints(routing.Cached, testEndpoints)
	if before || !d.Ready() {
		t.Errorf("ready %v before, %v after", before, d.Ready())
	}
	if _, err := d.Submit(Request{Class: "none"}, time.Now(), time.Second); !errors.Is(err, ErrUnknownClass) {
		t.Error(err)
	}
}
