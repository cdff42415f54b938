package routing

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// After any sequence of incremental and full updates, ready contains exactly the ready caches, sorted by ID, and
// origins the ready origins, sorted by index. Only attempts at ready caches are counted as in flight.
func TestReadyServersMatchEndpointList(t *testing.T) {
	rnd := rand.New(rand.NewSource(5))
	for range 60 {
		h := newBenchHost(3, 10)
		b, ids := h.b, map[int]string{}
		for step := range 120 {
			var endpoints []Endpoint
			full := rnd.Intn(12) == 0
			for range 1 + rnd.Intn(4) {
				i := rnd.Intn(20)
				if ids[i] == "" || rnd.Intn(10) == 0 {
					ids[i] = fmt.Sprintf("s-%04d-%d", rnd.Intn(10000), i)
				}
				endpoints = append(endpoints, Endpoint{Server: i, ID: ids[i], Model: rnd.Intn(5) / 4, State: State(rnd.Intn(3)), StartedAt: Time(rnd.Intn(2))})
			}
			slices.SortFunc(endpoints, func(x, y Endpoint) int { return x.Server - y.Server })
			endpoints = slices.CompactFunc(endpoints, func(x, y Endpoint) bool { return x.Server == y.Server })
			if full {
				b.UpdateEndpoints(h.now, Full, endpoints)
			} else {
				b.UpdateEndpoints(h.now, Incremental, endpoints)
			}
			for range rnd.Intn(3) {
				h.request(h.key())
			}
			var ready, origins []int
			inFlight := 0
			for i, s := range b.servers {
				switch {
				case s == nil || s.State != Ready:
				case s.isOrigin:
					origins = append(origins, i)
				default:
					ready, inFlight = append(ready, i), inFlight+s.inFlight
				}
			}
			slices.SortFunc(ready, func(x, y int) int { return strings.Compare(b.servers[x].ID, b.servers[y].ID) })
			if !slices.Equal(ready, b.ready) || !slices.Equal(origins, b.origins) || inFlight != b.inFlight {
				t.Fatalf("step %d: ready caches %v, origins %v, %d attempts in flight, want %v, %v, %d", step, b.ready, b.origins, b.inFlight, ready, origins, inFlight)
			}
		}
	}
}

// When an index is reused for another server, the state of the previous server, such as its ejection, must not apply
// to it. An update of the same server keeps its state.
func TestReusedServerIndexResetsState(t *testing.T) {
	f := newFakeHost(1, 2)
	s := f.b.servers[0]
	s.consecutiveFailures, s.ejectionTime, s.ejectedUntil, s.retryBudget = 2, maxEjectionTime, f.now+maxEjectionTime, 0
	f.b.UpdateEndpoints(f.now, Incremental, []Endpoint{{Server: 0, ID: "10.0.0.00"}})
	if f.b.servers[0].ejectionTime == 0 {
		t.Error("an update of the same server reset its state")
	}
	f.b.UpdateEndpoints(f.now, Incremental, []Endpoint{{Server: 0, ID: "10.0.0.99"}})
	if s := f.b.servers[0]; s.ejectionTime != 0 || s.consecutiveFailures != 0 || s.retryBudget != maxRetryBudget {
		t.Errorf("another server under the same index has the state %+v, want the initial one", s)
	}
}
