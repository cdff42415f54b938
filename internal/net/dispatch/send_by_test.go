package dispatch

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// A process may be held up for 0.15 s between its last look at the clock and the write. A drain's grace has to cover that too,
// beside the time that the news of the drain takes to be read, wherever the grace is long enough to hold it.
func TestSendByLeavesGraceForStall(t *testing.T) {
	const (
		stall     = 150 * time.Millisecond
		listDelay = 20 * time.Millisecond // for the list to be read and told
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
			t.Errorf("grace %v: a first byte may be decided for up to %v, written up to %v later", grace, window, stall)
		}
	}
}

// A retry of a keyed request may wait for its connection for longer than its servers remember the first attempt: it begins within
// three quarters of that span or not at all, whatever a drain's grace is. Nothing is remembered of a first attempt, or one that reads.
func TestKeyedRetrySendBy(t *testing.T) {
	for _, grace := range []time.Duration{0, 100 * time.Millisecond, 1500 * time.Millisecond} {
		for _, c := range []struct {
			namespace   string
			retryWindow time.Duration // 0: no bound of its own
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
						t.Errorf("%s, grace %v, attempt %d: begins by %v after it was ordered, want %v", c.namespace, grace, number, attempt.SendBy.Sub(attempt.startedAt), bound)
					}
					attempt.Finish(ConnectionLost, Answer{})
				}
			}
		}
	}
}
