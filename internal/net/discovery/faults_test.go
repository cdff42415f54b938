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

// The kernel calls of many clients fail with each documented error of connect, read and write in turn, for failureTime per kind of call. The
// clients keep their lists meanwhile, get the next change in time once the calls succeed again, and leave no goroutines behind.
func TestFailingKernelCallsListKept(t *testing.T) {
	const clientCount, failureTime = 12, 1200 * time.Millisecond
	goroutinesBefore := runtime.NumGoroutine()
	version := atomic.Int64{}
	version.Store(1)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var fromVersion, holdMs int64
		if n, _ := fmt.Sscanf(r.URL.RawQuery, "from=%d&hold_ms=%d", &fromVersion, &holdMs); n == 2 {
			for end := time.Now().Add(time.Duration(holdMs) * time.Millisecond); version.Load() == fromVersion && time.Now().Before(end) && r.Context().Err() == nil; {
				time.Sleep(time.Millisecond)
			}
		}
		currentVersion := version.Load()
		fmt.Fprintf(w, `{"version":%d,"full":%v,"servers":[{"id":"a","addr":"127.0.0.1:%d","kind":"box","state":"Ready"}]}`, currentVersion, r.URL.RawQuery == "", currentVersion)
	}))
	settings, err := config.ParseSettings(map[string]any{"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 1., "time-limit-ms": 2.}}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var clients []*Client
	var running sync.WaitGroup
	for range clientCount {
		dispatcher := dispatch.New(settings, zap.NewNop())
		client := New(dispatcher, service.Listener.Addr().String(), 10*time.Second, zap.NewNop())
		dispatcher.Start(1, nil, client)
		clients = append(clients, client)
		running.Go(func() { client.Run(ctx) })
	}
	clientsWithVersion := func(want int64) (n int) {
		for _, client := range clients {
			client.mu.Lock()
			if client.source.version == want {
				n++
			}
			client.mu.Unlock()
		}
		return n
	}
	waitForVersion := func(name string, version int64, timeout time.Duration) {
		t.Helper()
		for end := time.Now().Add(timeout); clientsWithVersion(version) < clientCount; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %d of %d clients have the version after %v", name, clientsWithVersion(version), clientCount, timeout)
			}
		}
	}
	waitForVersion("the first list", 1, maxAnsweredDelay)
	for _, call := range []kernel.Call{kernel.Connect, kernel.Read, kernel.Write} {
		var failures atomic.Int64
		kernel.InjectErrors(func(current kernel.Call) error {
			if current != call {
				return nil
			}
			errs := append(kernel.DocumentedErrors[call], syscall.ETIMEDOUT, syscall.ECONNRESET)
			return errs[failures.Add(1)%int64(len(errs))]
		})
		t.Cleanup(func() { kernel.InjectErrors(nil) })
		service.CloseClientConnections()
		time.Sleep(failureTime)
		if failures.Load() < clientCount {
			t.Errorf("%s: only %d calls failed, want at least %d", call, failures.Load(), clientCount)
		}
		changed := version.Add(1)
		kernel.InjectErrors(nil)
		waitForVersion(fmt.Sprintf("a change after %s failed", call), changed, maxAnsweredDelay)
	}
	cancel()
	running.Wait()
	for _, client := range clients {
		client.transport.CloseIdleConnections()
	}
	service.CloseClientConnections()
	service.Close()
	for end := time.Now().Add(connectTimeout + time.Second); runtime.NumGoroutine() > goroutinesBefore+2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before the test", runtime.NumGoroutine(), goroutinesBefore)
		}
	}
}
