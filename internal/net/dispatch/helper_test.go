package dispatch

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// fakeTransport stores the attempts until the test takes them, which then calls Finish for them.
type fakeTransport struct {
	mu       sync.Mutex
	attempts []*Attempt

	closedIdle []uint64 // incarnations passed to CloseIdleConnections
}

func (f *fakeTransport) Send(a *Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, a)
}

func (f *fakeTransport) CloseIdleConnections(incarnation uint64, _ int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closedIdle = append(f.closedIdle, incarnation)
}

func (f *fakeTransport) SetMaxConnsPerCache(int) {}

// take removes and returns attempt n modulo their number, or nil if there is none.
func (f *fakeTransport) take(n int) *Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.attempts) == 0 {
		return nil
	}
	i := n % len(f.attempts)
	a := f.attempts[i]
	f.attempts = append(f.attempts[:i], f.attempts[i+1:]...)
	return a
}

type fakeSource struct{}

func (fakeSource) Subscribe() {}

var testEndpoints = []Endpoint{{ID: "a", Address: "a:1", Model: "box"}, {ID: "b", Address: "b:1", Model: "box"},
	{ID: "c", Address: "c:1", Model: "box"}, {ID: "z", Address: "z:1", Model: "origin"}}

// startDispatcher returns a dispatcher whose endpoint list has three caches and the origin.
func startDispatcher(t *testing.T, transport Transport) *Dispatcher {
	namespace := func(name, repeat string) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "target-time-ms": 200., "time-limit-ms": 750.}
	}
	t.Helper()
	settings, err := config.ParseSettings(map[string]any{"balancers": 1., "models": []any{"box", "origin"},
		"domain":      map[string]any{"mode": "aside", "origin-kind": 1.},
		"permissions": map[string]any{"most-shots": 3., "max-retry-after-ms": 400., "parallel-tries": true},
		"namespaces": []any{namespace("read", "safe"), namespace("once", "unsafe"),
			map[string]any{"name": "marked", "repeat": "keyed", "group": "all", "memory-span-ms": 400., "target-time-ms": 200., "time-limit-ms": 750.},
			map[string]any{
				"name":           "late",
				"repeat":         "safe",
				"late-utility":   0.5,
				"target-time-ms": 50.,
				"time-limit-ms":  100.,
			}}})
	if err != nil {
		t.Fatal(err)
	}
	d := New(settings, zap.NewNop())
	d.Start(7, transport, fakeSource{})
	d.UpdateEndpoints(routing.Full, testEndpoints)
	return d
}

// receivedAnswer returns the request's answer, or false if there is none yet.
func receivedAnswer(pending *PendingRequest) (Answer, bool) {
	select {
	case a := <-pending.answers:
		return a, true
	default:
		return Answer{}, false
	}
}

var traceIDs atomic.Int64

// submit submits a request, received now, under a new trace id.
func submit(t *testing.T, d *Dispatcher, request Request, timeout time.Duration) *PendingRequest {
	t.Helper()
	request.TraceID = fmt.Sprint("t", traceIDs.Add(1))
	pending, err := d.Submit(request, time.Now(), timeout)
	if err != nil {
		t.Fatal(err)
	}
	return pending
}
