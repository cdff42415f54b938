package dispatch

import (
	"math/rand"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// stallingTransport simulates a process that gets no CPU time for a while during a decision.
type stallingTransport struct {
	*fakeTransport
	stall     time.Duration
	stalledAt time.Time // start of the latest stall
}

func (s *stallingTransport) CloseIdleConnections(uint64, int) {
	s.stalledAt = time.Now()
	time.Sleep(s.stall)
}

// A retry of a request that may have run must begin within the deduplication window, counted from the first attempt
// that may have run, or not at all. This holds for windows down to some tenths of a millisecond, for each retry, and if
// the process stalls during the decision. The send window of a drain's grace period counts from the decision too.
func TestRetrySendByWithinDedupWindow(t *testing.T) {
	random := rand.New(rand.NewSource(3))
	retries, stalls := 0, 0
	for range 150 {
		window := time.Duration(random.Intn(50)) * time.Millisecond / 10
		if random.Intn(2) == 0 {
			window = time.Duration(1+random.Intn(30)) * time.Millisecond
		}
		grace := time.Duration(random.Intn(2)*(1+random.Intn(100))) * time.Millisecond
		settings := map[string]any{"models": []any{"box", "origin"}, "domain": map[string]any{"mode": "aside", "origin-kind": 1.},
			"permissions": map[string]any{"most-shots": 4.},
			"namespaces": []any{map[string]any{"name": "marked", "repeat": "keyed", "group": "all", "memory-span-ms": float64(window) / 1e6,
				"target-time-ms": 2000., "time-limit-ms": 3000.}}}
		if grace > 0 {
			settings["invariants"] = map[string]any{"stop-sending-within-ms": float64(grace) / 1e6}
		}
		parsed, err := config.ParseSettings(settings)
		if err != nil {
			t.Fatal(err)
		}
		transport := &stallingTransport{fakeTransport: &fakeTransport{}}
		d := New(parsed, zap.NewNop())
		d.Start(uint64(random.Int63()), transport, fakeSource{})
		d.UpdateEndpoints(routing.Full, testEndpoints)
		submit(t, d, Request{Class: "marked", Key: "k", Write: true}, 3*time.Second)
		var firstStart time.Time // start of the first attempt that may have run
		for number := 0; ; number++ {
			attempt := transport.take(0)
			if attempt == nil {
				break
			}
			if !firstStart.IsZero() {
				retries++
				if delay := attempt.SendBy.Sub(firstStart); attempt.SendBy.IsZero() || delay >= window {
					t.Errorf("window %v, stalled for %v: attempt %d may begin until %v after the first, at %v", window, transport.stall, number, delay, attempt.SendBy)
				}
			}
			if grace > 0 && number > 0 && attempt.SendBy.After(transport.stalledAt.Add(sendWindow(grace))) {
				t.Errorf("grace %v, stalled for %v: attempt %d may begin until %v after the decision", grace, transport.stall, number, attempt.SendBy.Sub(transport.stalledAt))
			}
			result := []AttemptResult{ConnectionLost, ConnectionLost, ConnectionLost, Truncated, ServerError, TimedOut, WriteFailed, NotConnected}[random.Intn(8)]
			if firstStart.IsZero() && result != WriteFailed && result != NotConnected {
				firstStart = attempt.startedAt
			}
			transport.stall = 0
			if random.Intn(2) == 0 {
				transport.stall = time.Duration(random.Int63n(int64(window) + 1))
				stalls++
			}
			time.Sleep(time.Duration(random.Int63n(int64(window)/3 + 1))) // dial and transfer to the server
			attempt.Finish(result, Answer{})
		}
		if d.Stats().Panics > 0 || d.InFlight() > 0 {
			t.Fatal("a panic, or a request still in flight")
		}
	}
	if retries < 20 || stalls < 20 {
		t.Errorf("only %d retries, %d stalls", retries, stalls)
	}
}
