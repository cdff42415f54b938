package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/internal/net/upstream"
	"github.com/thistlerudder/thistlerudder/routing"
)

// serverGroup is four caches and an origin on loopback, and what they record of each request. A trace ID starts with the kind of its node.
type serverGroup struct {
	mu               sync.Mutex
	inFlight         map[string]int // attempts in progress by trace ID
	effects          map[string]int // writes executed by trace ID
	parallelAttempts map[string]int // attempts parallel to another of their request, by kind of node
	coldArrivals     []time.Time    // arrival times of attempts at the cold cache
	warmAttempts     int            // attempts at a warm cache since the start
	endpoints        []dispatch.Endpoint
	attempts         int
}

const (
	serverSlots = 2                    // requests that a server processes at once; as many wait, further ones are rejected
	serviceTime = 8 * time.Millisecond // per request
	coldServer  = 3                    // index of the cache that restarts
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
				time.Sleep(15 * serviceTime) // single responses are late while others overtake them
			}
			if r.Method == http.MethodPut {
				servers.mu.Lock()
				servers.effects[r.Header.Get("X-Trace-Id")]++
				servers.mu.Unlock()
			}
			if number%20 == 0 {
				w.WriteHeader(http.StatusInternalServerError) // although the request was executed
			}
			fmt.Fprint(w, "value")
		}))
		t.Cleanup(s.Close)
		servers.endpoints = append(servers.endpoints, dispatch.Endpoint{ID: id, Address: s.Listener.Addr().String(), Model: "box"})
	}
	servers.endpoints[4].Model = "origin"
	return servers
}

// recordAttempt records the start of an attempt. It returns the number of the attempt and a function that records its end.
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

// startDispatcher starts the dispatcher of a node with the old or the new configuration. nodes counts the nodes of both kinds.
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
	client := upstream.New(upstream.Limits{MaxConns: 64, MaxAttempts: 256, ConnectTimeout: 75 * time.Millisecond,
		IdleTimeout: 15 * time.Second, MaxBufferedBody: 1 << 10, MaxStreamedBody: 1 << 10}, zap.NewNop())
	t.Cleanup(client.Close)
	dispatcher := dispatch.New(d, zap.NewNop())
	dispatcher.Start(uint64(len(kind)+nodes), client, noDiscovery{})
	dispatcher.UpdateEndpoints(routing.Full, servers.endpoints)
	return dispatcher
}

// During a migration nodes with the old and the new configuration use the same caches. Together they stay within the slow start bound of a cold
// cache. No write is executed twice, and nodes send no parallel attempts where the configuration forbids them. Under overload neither kind starves
// the other.
func TestOldAndNewNodesShareCaches(t *testing.T) {
	const nodes, calmInterval, overloadInterval = 6, 25 * time.Millisecond, 5 * time.Millisecond // between a node's requests
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
			t.Errorf("without overload: %d of %d requests of %s nodes served", served[kind], submitted[kind], kind)
		}
	}
	rate := float64(servers.warmAttempts) / 1.5
	servers.coldArrivals, servers.endpoints[coldServer].StartedMs = nil, float64(time.Now().UnixMilli())
	for _, dispatcher := range dispatchers {
		dispatcher.UpdateEndpoints(routing.Incremental, servers.endpoints[coldServer:coldServer+1])
	}
	sendRequests(1500*time.Millisecond, calmInterval)
	maxInWindow := int(4 * 0.2 * rate * 0.5) // overload factor x cold share x observed rate of a warm cache x window (s)
	for i := range servers.coldArrivals {
		n := 0
		for n = i; n < len(servers.coldArrivals) && servers.coldArrivals[n].Sub(servers.coldArrivals[i]) < 500*time.Millisecond; n++ {
		}
		if n-i > maxInWindow {
			t.Fatalf("%d attempts at the cold cache in a window, want at most %d", n-i, maxInWindow)
		}
	}
	if len(servers.coldArrivals) == 0 {
		t.Error("the cold cache got no attempts")
	}
	sendRequests(1500*time.Millisecond, overloadInterval)
	oldShare, newShare := float64(served["old"])/float64(submitted["old"]), float64(served["new"])/float64(submitted["new"])
	if oldShare < 0.15 || newShare < 0.15 || oldShare < newShare/2.5 || newShare < oldShare/2.5 {
		t.Errorf("overload: %.2f of the requests of old nodes served, %.2f of new nodes", oldShare, newShare)
	}
	late := map[string]int64{}
	for i, dispatcher := range dispatchers {
		late[[]string{"old", "new"}[i%2]] += dispatcher.Metrics().WithheldAttempts[admission.TooLate].Load()
	}
	t.Logf("attempts withheld as too late %v; GOMAXPROCS %d", late, runtime.GOMAXPROCS(0))
	t.Logf("overload: %.2f and %.2f; parallel attempts %v; %d attempts at the cold cache, at most %d per window", oldShare, newShare, servers.parallelAttempts, len(servers.coldArrivals), maxInWindow)
	servers.mu.Lock()
	defer servers.mu.Unlock()
	if servers.parallelAttempts["new"] != 0 || servers.parallelAttempts["old"] == 0 {
		t.Errorf("parallel attempts %v, want some of old nodes and none of new nodes", servers.parallelAttempts)
	}
	for trace, n := range servers.effects {
		if n > 1 {
			t.Errorf("%s was executed %d times", trace, n)
		}
	}
	if lost > 0 || len(servers.effects) == 0 {
		t.Errorf("%d requests lost, %d writes executed", lost, len(servers.effects))
	}
}
