package discovery

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
)

// Guards against a list that trickles without end: a poll and a watch have one timeout each, from the call to the list's last byte.
func TestTricklingListEndsAtTimeout(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `{"version":1,"full":true,"servers":[`)
		for control := http.NewResponseController(w); err == nil && control.Flush() == nil; time.Sleep(5 * time.Millisecond) {
			_, err = io.WriteString(w, " ")
		}
	}))
	defer service.Close()
	address := service.Listener.Addr().String()
	c := New(nil, address, 400*time.Millisecond, zap.NewNop())
	for name, call := range map[string]struct {
		fetch func(context.Context) (endpointList, error)
		limit time.Duration
	}{
		"poll": {func(ctx context.Context) (endpointList, error) {
			return c.hedgedPoll(ctx, &source{address: address}, c.subscribed)
		}, pollTimeout},
		"watch": {func(ctx context.Context) (endpointList, error) {
			return c.watch(ctx, source{address: address, version: 1})
		}, c.maxWatchWait + watchGrace},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			_, err := call.fetch(t.Context())
			if elapsed := time.Since(start); err == nil || elapsed > call.limit+500*time.Millisecond {
				t.Errorf("%v after %v, limit %v", err, elapsed, call.limit)
			}
		})
	}
}
