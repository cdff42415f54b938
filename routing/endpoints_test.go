package routing

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// Whatever changes and full lists come, a server is used exactly while it is ready: caches in the order of their
// IDs, origins in that of their indices. Attempts in flight are counted at ready caches alone.
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
				t.Fatalf("step %d: ready are %v and %v with %d in flight, want %v, %v, %d", step, b.ready, b.origins, b.inFlight, ready, origins, inFlight)
			}
		}
	}
}

// Another server under a reused index has none of its predecessor's past.
func TestReusedServerIndexResetsState(t *testing.T) {
	f := newFakeHost(1, 2)
	s := f.b.servers[0]
	s.consecutiveFailures, s.ejectionTime, s.ejectedUntil, s.retryBudget = 2, maxEjectionTime, f.now+maxEjectionTime, 0
	f.b.UpdateEndpoints(f.now, Incremental, []Endpoint{{Server: 0, ID: "10.0.0.00"}})
	if f.b.servers[0].ejectionTime == 0 {
		t.Error("the same server lost its past")
	}
	f.b.UpdateEndpoints(f.now, Incremental, []Endpoint{{Server: 0, ID: "10.0.0.99"}})
	if s := f.b.servers[0]; s.ejectionTime != 0 || s.consecutiveFailures != 0 || s.retryBudget != maxRetryBudget {
		t.Errorf("another server has %+v", s)
	}
}
