package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/internal/net/upstream"
	"github.com/thistlerudder/thistlerudder/routing"
)

// yard is a few caches and an origin on loopback, and what they see of each lookup. A trace begins with its kind.
type serverGroup struct {
	mu               sync.Mutex
	inFlight         map[string]int // shots at work by trace
	effects          map[string]int // effects by trace
	parallelAttempts map[string]int // shots beside another of their lookup, by kind
	coldArrivals     []time.Time    // shots at the cold cache
	warmAttempts     int            // and at another one, since the start
	endpoints        []dispatch.Endpoint
	attempts         int
}

const (
	serverSlots = 2                    // lookups that a server works on at once; as many wait, more are turned away
	serviceTime = 8 * time.Millisecond // for each
	coldServer  = 3                    // which of the caches starts again
)

func newServerGroup(t *testing.T) *serverGroup {
	servers := &serverGroup{inFlight: map[string]int{}, effects: map[string]int{}, parallelAttempts: map[string]int{}}
	for i, id := range []string{"a", "b", "c", "d", "z"} {
		working, accepted := make(chan bool, serverSlots), make(chan bool, 2*serverSlots)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			number, done := servers.recordAttempt(i, r)
			defer done()
			select {
			case accepted <- true:
				defer func() { <-accepted }()
			default:
				w.Header().Set("X-Never-Ran", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			working <- true
			time.Sleep(serviceTime)
			if <-working; id != "z" && strings.HasSuffix(r.URL.Path, "0") {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			if id == "a" && number%10 == 0 {
				time.Sleep(15 * serviceTime) // single answers are late while others pass them
			}
			if r.Method == http.MethodPut {
				servers.mu.Lock()
				servers.effects[r.Header.Get("X-Trace-Id")]++
				servers.mu.Unlock()
			}
			if number%20 == 0 {
				w.WriteHeader(http.StatusInternalServerError) // it has run all the same
			}
			fmt.Fprint(w, "value")
		}))
		t.Cleanup(s.Close)
		servers.endpoints = append(servers.endpoints, dispatch.Endpoint{ID: id, Address: s.Listener.Addr().String(), Model: "box"})
	}
	servers.endpoints[4].Model = "origin"
	return servers
}

// begin notes a shot's coming, and gives its number and what notes its end.
func (servers *serverGroup) recordAttempt(server int, r *http.Request) (int, func()) {
	servers.mu.Lock()
	defer servers.mu.Unlock()
	trace := r.Header.Get("X-Trace-Id")
	if servers.inFlight[trace]++; servers.inFlight[trace] > 1 {
		servers.parallelAttempts[trace[:3]]++
	}
	switch server {
	case coldServer:
		servers.coldArrivals = append(servers.coldArrivals, time.Now())
	case coldServer - 1:
		servers.warmAttempts++
	}
	servers.attempts++
	return servers.attempts, func() {
		servers.mu.Lock()
		defer servers.mu.Unlock()
		servers.inFlight[trace]--
	}
}

// kindOf starts a node's deciding half, of the old shape or of the new one. Both count the nodes of both.
func startDispatcher(t *testing.T, kind string, nodes int, servers *serverGroup) *dispatch.Dispatcher {
	permissions, rules := map[string]any{"most-shots": 3., "parallel-tries": true}, map[string]any{"cold-from": 0.2, "warm-up-ms": 20000.,
		"overload-factor": 4., "fall-ms": 500.}
	target := 200.
	if kind == "new" {
		permissions = map[string]any{"most-shots": 4., "parallel-tries": false, "retry-after": false}
		rules["stop-sending-within-ms"], target = 100., 500.
	}
	d, err := config.ParseSettings(map[string]any{"balancers": float64(nodes), "models": []any{"box", "origin"},
		"domain": map[string]any{"mode": "aside", "origin-kind": 1.}, "permissions": permissions, "invariants": rules,
		"tenants": []any{map[string]any{"name": "acme", "quota-rps": 500.}},
		"namespaces": []any{
			map[string]any{"name": "read", "repeat": "safe", "target-time-ms": target, "time-limit-ms": 3 * target},
			map[string]any{"name": "once", "repeat": "unsafe", "target-time-ms": target, "time-limit-ms": 3 * target},
		}})
	if err != nil {
		t.Fatal(err)
	}
	client := upstream.New(upstream.Limits{Descriptors: 64, MaxAttempts: 256, ConnectTimeout: 75 * time.Millisecond,
		IdleTimeout: 15 * time.Second, MaxBuffered: 1 << 10, MaxStreamed: 1 << 10}, zap.NewNop())
	t.Cleanup(client.Close)
	dispatcher := dispatch.New(d, zap.NewNop())
	dispatcher.Start(uint64(len(kind)+nodes), client, noDiscovery{})
	dispatcher.UpdateEndpoints(routing.Full, servers.endpoints)
	return dispatcher
}

// During a move nodes of the old shape and of the new one stand before the same caches. Together they spare a cache
// that starts cold, no effect happens twice, no second copy goes out where none is allowed, and under more than the
// caches can do neither kind starves the other.
func TestOldAndNewNodesShareCaches(t *testing.T) {
	const nodes, calmInterval, overloadInterval = 6, 25 * time.Millisecond, 5 * time.Millisecond // between a node's lookups
	servers := newServerGroup(t)
	var dispatchers []*dispatch.Dispatcher
	for i := range nodes {
		dispatchers = append(dispatchers, startDispatcher(t, []string{"old", "new"}[i%2], nodes, servers))
	}
	var mu sync.Mutex
	served, submitted, lost, number := map[string]int{}, map[string]int{}, 0, 0
	sendRequests := func(duration, interval time.Duration) {
		clear(served)
		clear(submitted)
		var clients sync.WaitGroup
		for start := time.Now(); time.Since(start) < duration; time.Sleep(interval) {
			for i, dispatcher := range dispatchers {
				kind := []string{"old", "new"}[i%2]
				number++
				request := dispatch.Request{Class: "read", Tenant: "acme", Key: fmt.Sprint("k", number*7919%97),
					Method: http.MethodGet, TraceID: fmt.Sprint(kind, number)}
				if number%15 == 0 {
					request.Class, request.Method, request.Write = "once", http.MethodPut, true
				}
				request.Target = "/" + request.Class + "/" + request.Key
				ticket, err := dispatcher.Submit(request, time.Now(), time.Second)
				if err != nil {
					t.Fatal(err)
				}
				submitted[kind]++
				clients.Go(func() {
					select {
					case a := <-ticket.Answers():
						mu.Lock()
						defer mu.Unlock()
						if a.Outcome == dispatch.Served {
							served[kind]++
						}
					case <-time.After(2 * time.Second):
						mu.Lock()
						defer mu.Unlock()
						lost++
					}
				})
			}
		}
		clients.Wait()
	}
	sendRequests(1500*time.Millisecond, calmInterval)
	for _, kind := range []string{"old", "new"} {
		if served[kind] < submitted[kind]*8/10 {
			t.Errorf("calm: %d of %d lookups of the %s kind resolved", served[kind], submitted[kind], kind)
		}
	}
	rate := float64(servers.warmAttempts) / 1.5
	servers.coldArrivals, servers.endpoints[coldServer].StartedMs = nil, float64(time.Now().UnixMilli())
	for _, dispatcher := range dispatchers {
		dispatcher.UpdateEndpoints(routing.Incremental, servers.endpoints[coldServer:coldServer+1])
	}
	sendRequests(1500*time.Millisecond, calmInterval)
	maxInWindow := int(4 * 0.2 * rate * 0.5) // factor x cold share x what a warm one is seen to bear x window
	for i := range servers.coldArrivals {
		n := 0
		for n = i; n < len(servers.coldArrivals) && servers.coldArrivals[n].Sub(servers.coldArrivals[i]) < 500*time.Millisecond; n++ {
		}
		if n-i > maxInWindow {
			t.Fatalf("%d shots at the cold cache in a window, want %d at most", n-i, maxInWindow)
		}
	}
	if len(servers.coldArrivals) == 0 {
		t.Error("the cold cache must warm up")
	}
	sendRequests(1500*time.Millisecond, overloadInterval)
	oldShare, newShare := float64(served["old"])/float64(submitted["old"]), float64(served["new"])/float64(submitted["new"])
	if oldShare < 0.15 || newShare < 0.15 || oldShare < newShare/2.5 || newShare < oldShare/2.5 {
		t.Errorf("crowded: %.2f of the old kind's lookups resolved, %.2f of the new one's", oldShare, newShare)
	}
	t.Logf("crowded: %.2f and %.2f; copies %v; cold %d, at most %d a window", oldShare, newShare, servers.parallelAttempts, len(servers.coldArrivals), maxInWindow)
	servers.mu.Lock()
	defer servers.mu.Unlock()
	if servers.parallelAttempts["new"] != 0 || servers.parallelAttempts["old"] == 0 {
		t.Errorf("second copies %v, want some of the old kind and none of the new one", servers.parallelAttempts)
	}
	for trace, n := range servers.effects {
		if n > 1 {
			t.Errorf("%s ran %d times", trace, n)
		}
	}
	if lost > 0 || len(servers.effects) == 0 {
		t.Errorf("%d lookups lost, %d effects", lost, len(servers.effects))
	}
}
