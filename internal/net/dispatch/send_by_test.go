package dispatch

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// A process may stall for 0.15 s between its last check of the clock and the write. The grace period of a drain must
// cover this stall and the time until the drain is read from the list, if the period is long enough for both.
func TestSendByLeavesGraceForStall(t *testing.T) {
	const (
		stall     = 150 * time.Millisecond
		listDelay = 20 * time.Millisecond // to read and apply the list
	)
	for _, grace := range []time.Duration{200, 220, 250, 300, 400, 500, 1000, 2000} {
		grace *= time.Millisecond
		settings, err := config.ParseSettings(map[string]any{"models": []any{"box", "origin"}, "domain": map[string]any{"mode": "aside", "origin-kind": 1.},
			"invariants": map[string]any{"stop-sending-within-ms": float64(grace / time.Millisecond)},
			"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 200., "time-limit-ms": 750.}}})
		if err != nil {
			t.Fatal(err)
		}
		transport := &fakeTransport{}
		d := New(settings, zap.NewNop())
		d.Start(1, transport, fakeSource{})
		d.UpdateEndpoints(routing.Full, testEndpoints)
		submit(t, d, Request{Class: "read", Key: "k"}, time.Second)
		attempt := transport.take(0)
		if window := attempt.SendBy.Sub(attempt.startedAt); window <= 0 || listDelay+window+stall > grace {
			t.Errorf("grace %v: SendBy is %v after the decision, and the write may be %v later", grace, window, stall)
		}
	}
}

// A retry of a keyed request may wait for a connection until its servers have dropped the key of the first attempt. It
// must begin within three quarters of the deduplication window or not at all, whatever the grace period of a drain is.
// First attempts and safe requests have no such limit.
func TestKeyedRetrySendBy(t *testing.T) {
	for _, grace := range []time.Duration{0, 100 * time.Millisecond, 1500 * time.Millisecond} {
		for _, c := range []struct {
			namespace   string
			retryWindow time.Duration // 0: not limited
		}{{"marked", 100 * time.Millisecond}, {"read", 0}} {
			transport := &fakeTransport{}
			d := startDispatcher(t, transport)
			d.settings.DrainGrace = grace
			submit(t, d, Request{Class: c.namespace, Key: "k"}, time.Second)
			for number, bound := range []time.Duration{0, c.retryWindow} {
				if attempt := transport.take(0); attempt == nil {
					t.Fatalf("%s: no attempt %d", c.namespace, number)
				} else {
					if drainWindow := sendWindow(grace); drainWindow > 0 && (bound == 0 || drainWindow < bound) {
						bound = drainWindow
					}
					if bound == 0 != attempt.SendBy.IsZero() || bound > 0 && attempt.SendBy.Sub(attempt.startedAt) != bound {
						t.Errorf("%s, grace %v, attempt %d: SendBy is %v after the decision, want %v", c.namespace, grace, number, attempt.SendBy.Sub(attempt.startedAt), bound)
					}
					attempt.Finish(ConnectionLost, Answer{})
				}
			}
		}
	}
}
