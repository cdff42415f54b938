//go:build faults

package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// Each documented error of connecting, reading and writing, met in turn by many followers for a while: their lists stand meanwhile, the next
// change is had in time once calls go through again, and nothing is left behind.
func TestTheListOutlivesCallsThatFail(t *testing.T) {
	const followers, fails = 12, 1200 * time.Millisecond
	before := runtime.NumGoroutine()
	version := atomic.Int64{}
	version.Store(1)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var from, hold int64
		if n, _ := fmt.Sscanf(r.URL.RawQuery, "from=%d&hold_ms=%d", &from, &hold); n == 2 {
			for end := time.Now().Add(time.Duration(hold) * time.Millisecond); version.Load() == from && time.Now().Before(end) && r.Context().Err() == nil; {
				time.Sleep(time.Millisecond)
			}
		}
		now := version.Load()
		fmt.Fprintf(w, `{"version":%d,"full":%v,"servers":[{"id":"a","addr":"127.0.0.1:%d","kind":"box","state":"Ready"}]}`, now, r.URL.RawQuery == "", now)
	}))
	d, err := config.ParseSettings(map[string]any{"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 1., "time-limit-ms": 2.}}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var all []*Client
	var running sync.WaitGroup
	for range followers {
		x := dispatch.New(d, zap.NewNop())
		f := New(x, service.Listener.Addr().String(), 10*time.Second, zap.NewNop())
		x.Start(1, nil, f)
		all = append(all, f)
		running.Go(func() { f.Run(ctx) })
	}
	have := func(want int64) (n int) {
		for _, f := range all {
			f.mu.Lock()
			if f.source.version == want {
				n++
			}
			f.mu.Unlock()
		}
		return n
	}
	until := func(what string, version int64, in time.Duration) {
		t.Helper()
		for end := time.Now().Add(in); have(version) < followers; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %d of %d have it after %v", what, have(version), followers, in)
			}
		}
	}
	until("the first list", 1, maxAnsweredDelay)
	for _, call := range []kernel.Call{kernel.Connect, kernel.Read, kernel.Write} {
		var nth atomic.Int64
		kernel.Fail(func(made kernel.Call) error {
			if made != call {
				return nil
			}
			errs := append(kernel.Documented[call], syscall.ETIMEDOUT, syscall.ECONNRESET)
			return errs[nth.Add(1)%int64(len(errs))]
		})
		t.Cleanup(func() { kernel.Fail(nil) })
		service.CloseClientConnections()
		time.Sleep(fails)
		if nth.Load() < followers {
			t.Errorf("%s: only %d calls failed", call, nth.Load())
		}
		changed := version.Add(1)
		kernel.Fail(nil)
		until(fmt.Sprintf("a change after %s failed", call), changed, maxAnsweredDelay)
	}
	stop()
	running.Wait()
	for _, f := range all {
		f.transport.CloseIdleConnections()
	}
	service.CloseClientConnections()
	service.Close()
	for end := time.Now().Add(connectTimeout + time.Second); runtime.NumGoroutine() > before+2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), before)
		}
	}
}
