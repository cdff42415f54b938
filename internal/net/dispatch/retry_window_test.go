package dispatch

import (
	"math/rand"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// stallingTransport is a server side whose process has no core for a while in the middle of a decision.
type stallingTransport struct {
	*fakeTransport
	stall     time.Duration
	stalledAt time.Time // of the latest stall
}

func (s *stallingTransport) CloseIdle(uint64, int) {
	s.stalledAt = time.Now()
	time.Sleep(s.stall)
}

// A repeat of what may have run begins within the span of its settings, counted from the first attempt, or not at all: whatever the
// span is, some tenths of a millisecond included, whichever attempt it is, and where the process stood still amid the decision. A drain's
// grace counts from the decision too.
func TestARepeatBeginsWithinItsSpan(t *testing.T) {
	r := rand.New(rand.NewSource(3))
	repeats, stood := 0, 0
	for range 150 {
		span := time.Duration(r.Intn(50)) * time.Millisecond / 10
		if r.Intn(2) == 0 {
			span = time.Duration(1+r.Intn(30)) * time.Millisecond
		}
		grace := time.Duration(r.Intn(2)*(1+r.Intn(100))) * time.Millisecond
		settings := map[string]any{"models": []any{"box", "origin"}, "domain": map[string]any{"mode": "aside", "origin-kind": 1.},
			"permissions": map[string]any{"most-shots": 4.},
			"namespaces": []any{map[string]any{"name": "marked", "repeat": "keyed", "group": "all", "memory-span-ms": float64(span) / 1e6,
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
		d.Start(uint64(r.Int63()), transport, fakeSource{})
		d.UpdateEndpoints(routing.Full, testEndpoints)
		submit(t, d, Request{Class: "marked", Key: "k", Write: true}, 3*time.Second)
		var first time.Time // the earliest that the first attempt that may have run can have begun
		for n := 0; ; n++ {
			s := transport.take(0)
			if s == nil {
				break
			}
			if !first.IsZero() {
				repeats++
				if by := s.SendBy.Sub(first); s.SendBy.IsZero() || by >= span {
					t.Errorf("span %v, stalled for %v, attempt %d may begin by %v after the first, %v", span, transport.stall, n, by, s.SendBy)
				}
			}
			if grace > 0 && n > 0 && s.SendBy.After(transport.stalledAt.Add(sendWindow(grace))) {
				t.Errorf("grace %v, stalled for %v: attempt %d may begin %v after the decision", grace, transport.stall, n, s.SendBy.Sub(transport.stalledAt))
			}
			end := []AttemptResult{ConnectionLost, ConnectionLost, ConnectionLost, Truncated, ServerError, TimedOut, WriteFailed, NotConnected}[r.Intn(8)]
			if first.IsZero() && end != WriteFailed && end != NotConnected {
				first = s.startedAt
			}
			transport.stall = 0
			if r.Intn(2) == 0 {
				transport.stall = time.Duration(r.Int63n(int64(span) + 1))
				stood++
			}
			time.Sleep(time.Duration(r.Int63n(int64(span)/3 + 1))) // its dial, its way to the server
			s.Finish(end, Answer{})
		}
		if d.Stats().Panics > 0 || d.InFlight() > 0 {
			t.Fatal("a panic, or a request left over")
		}
	}
	if repeats < 20 || stood < 20 {
		t.Errorf("only %d repeats, %d stalls", repeats, stood)
	}
}
