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

// fleet keeps the shots for the test to settle.
type fleet struct {
	mu    sync.Mutex
	shots []*Attempt

	hungUp []uint64
}

func (f *fleet) Send(s *Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shots = append(f.shots, s)
}

func (f *fleet) CloseIdle(place uint64, _ int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hungUp = append(f.hungUp, place)
}

func (f *fleet) SetMaxConns(int) {}

// take gives a shot that is out, by a number that may be any.
func (f *fleet) take(n int) *Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.shots) == 0 {
		return nil
	}
	i := n % len(f.shots)
	s := f.shots[i]
	f.shots = append(f.shots[:i], f.shots[i+1:]...)
	return s
}

type nobody struct{}

func (nobody) Subscribe() {}

var boxes = []Endpoint{{ID: "a", Address: "a:1", Model: "box"}, {ID: "b", Address: "b:1", Model: "box"},
	{ID: "c", Address: "c:1", Model: "box"}, {ID: "z", Address: "z:1", Model: "origin"}}

// start gives an exchange that knows three caches and the origin.
func start(t *testing.T, carrier Transport) *Dispatcher {
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
	d.Start(7, carrier, nobody{})
	d.UpdateEndpoints(routing.Full, boxes)
	return d
}

// got gives the answer that has come, if one has.
func got(t *PendingRequest) (Answer, bool) {
	select {
	case a := <-t.answers:
		return a, true
	default:
		return Answer{}, false
	}
}

var traces atomic.Int64

func take(t *testing.T, d *Dispatcher, in Request, within time.Duration) *PendingRequest {
	t.Helper()
	in.TraceID = fmt.Sprint("t", traces.Add(1)) // new with every lookup
	ticket, err := d.Submit(in, time.Now(), within)
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}
