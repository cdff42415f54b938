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
type yard struct {
	mu     sync.Mutex
	out    map[string]int // shots at work by trace
	ran    map[string]int // effects by trace
	copies map[string]int // shots beside another of their lookup, by kind
	cold   []time.Time    // shots at the cold cache
	warm   int            // and at another one, since the start
	list   []dispatch.Endpoint
	shots  int
}

const (
	places  = 2                    // lookups that a server works on at once; as many wait, more are turned away
	service = 8 * time.Millisecond // for each
	cold    = 3                    // which of the caches starts again
)

func newYard(t *testing.T) *yard {
	y := &yard{out: map[string]int{}, ran: map[string]int{}, copies: map[string]int{}}
	for i, id := range []string{"a", "b", "c", "d", "z"} {
		work, room := make(chan bool, places), make(chan bool, 2*places)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			nth, done := y.begin(i, r)
			defer done()
			select {
			case room <- true:
				defer func() { <-room }()
			default:
				w.Header().Set("X-Never-Ran", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			work <- true
			time.Sleep(service)
			if <-work; id != "z" && strings.HasSuffix(r.URL.Path, "0") {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			if id == "a" && nth%10 == 0 {
				time.Sleep(15 * service) // single answers are late while others pass them
			}
			if r.Method == http.MethodPut {
				y.mu.Lock()
				y.ran[r.Header.Get("X-Trace-Id")]++
				y.mu.Unlock()
			}
			if nth%20 == 0 {
				w.WriteHeader(http.StatusInternalServerError) // it has run all the same
			}
			fmt.Fprint(w, "value")
		}))
		t.Cleanup(s.Close)
		y.list = append(y.list, dispatch.Endpoint{ID: id, Address: s.Listener.Addr().String(), Model: "box"})
	}
	y.list[4].Model = "origin"
	return y
}

// begin notes a shot's coming, and gives its number and what notes its end.
func (y *yard) begin(server int, r *http.Request) (int, func()) {
	y.mu.Lock()
	defer y.mu.Unlock()
	trace := r.Header.Get("X-Trace-Id")
	if y.out[trace]++; y.out[trace] > 1 {
		y.copies[trace[:3]]++
	}
	switch server {
	case cold:
		y.cold = append(y.cold, time.Now())
	case cold - 1:
		y.warm++
	}
	y.shots++
	return y.shots, func() {
		y.mu.Lock()
		defer y.mu.Unlock()
		y.out[trace]--
	}
}

type unasked struct{}

func (unasked) Subscribe() {}

// kindOf starts a node's deciding half, of the old shape or of the new one. Both count the nodes of both.
func kindOf(t *testing.T, kind string, nodes int, y *yard) *dispatch.Dispatcher {
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
	carrier := upstream.New(upstream.Limits{Descriptors: 64, MaxAttempts: 256, ConnectTimeout: 75 * time.Millisecond,
		IdleTimeout: 15 * time.Second, MaxBuffered: 1 << 10, MaxStreamed: 1 << 10}, zap.NewNop())
	t.Cleanup(carrier.Close)
	x := dispatch.New(d, zap.NewNop())
	x.Start(uint64(len(kind)+nodes), carrier, unasked{})
	x.UpdateEndpoints(routing.Full, y.list)
	return x
}

// During a move nodes of the old shape and of the new one stand before the same caches. Together they spare a cache
// that starts cold, no effect happens twice, no second copy goes out where none is allowed, and under more than the
// caches can do neither kind starves the other.
func TestBothKindsShareTheirCaches(t *testing.T) {
	const nodes, calm, crowded = 6, 25 * time.Millisecond, 5 * time.Millisecond // between a node's lookups
	y := newYard(t)
	var fleet []*dispatch.Dispatcher
	for i := range nodes {
		fleet = append(fleet, kindOf(t, []string{"old", "new"}[i%2], nodes, y))
	}
	var mu sync.Mutex
	resolved, asked, lost, number := map[string]int{}, map[string]int{}, 0, 0
	play := func(span, every time.Duration) {
		clear(resolved)
		clear(asked)
		var clients sync.WaitGroup
		for began := time.Now(); time.Since(began) < span; time.Sleep(every) {
			for i, x := range fleet {
				kind := []string{"old", "new"}[i%2]
				number++
				in := dispatch.Request{Class: "read", Tenant: "acme", Key: fmt.Sprint("k", number*7919%97),
					Method: http.MethodGet, TraceID: fmt.Sprint(kind, number)}
				if number%15 == 0 {
					in.Class, in.Method, in.Write = "once", http.MethodPut, true
				}
				in.Target = "/" + in.Class + "/" + in.Key
				ticket, err := x.Submit(in, time.Now(), time.Second)
				if err != nil {
					t.Fatal(err)
				}
				asked[kind]++
				clients.Go(func() {
					select {
					case a := <-ticket.Answers():
						mu.Lock()
						defer mu.Unlock()
						if a.Outcome == dispatch.Served {
							resolved[kind]++
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
	play(1500*time.Millisecond, calm)
	for _, kind := range []string{"old", "new"} {
		if resolved[kind] < asked[kind]*8/10 {
			t.Errorf("calm: %d of %d lookups of the %s kind resolved", resolved[kind], asked[kind], kind)
		}
	}
	rate := float64(y.warm) / 1.5
	y.cold, y.list[cold].StartedMs = nil, float64(time.Now().UnixMilli())
	for _, x := range fleet {
		x.UpdateEndpoints(routing.Incremental, y.list[cold:cold+1])
	}
	play(1500*time.Millisecond, calm)
	most := int(4 * 0.2 * rate * 0.5) // factor x cold share x what a warm one is seen to bear x window
	for i := range y.cold {
		n := 0
		for n = i; n < len(y.cold) && y.cold[n].Sub(y.cold[i]) < 500*time.Millisecond; n++ {
		}
		if n-i > most {
			t.Fatalf("%d shots at the cold cache in a window, want %d at most", n-i, most)
		}
	}
	if len(y.cold) == 0 {
		t.Error("the cold cache must warm up")
	}
	play(1500*time.Millisecond, crowded)
	older, newer := float64(resolved["old"])/float64(asked["old"]), float64(resolved["new"])/float64(asked["new"])
	if older < 0.15 || newer < 0.15 || older < newer/2.5 || newer < older/2.5 {
		t.Errorf("crowded: %.2f of the old kind's lookups resolved, %.2f of the new one's", older, newer)
	}
	t.Logf("crowded: %.2f and %.2f; copies %v; cold %d, at most %d a window", older, newer, y.copies, len(y.cold), most)
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.copies["new"] != 0 || y.copies["old"] == 0 {
		t.Errorf("second copies %v, want some of the old kind and none of the new one", y.copies)
	}
	for trace, n := range y.ran {
		if n > 1 {
			t.Errorf("%s ran %d times", trace, n)
		}
	}
	if lost > 0 || len(y.ran) == 0 {
		t.Errorf("%d lookups lost, %d effects", lost, len(y.ran))
	}
}
