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
func TestADrainsGraceCoversAStall(t *testing.T) {
	const (
		stall = 150 * time.Millisecond
		news  = 20 * time.Millisecond // for the list to be read and told
	)
	for _, grace := range []time.Duration{200, 220, 250, 300, 400, 500, 1000, 2000} {
		grace *= time.Millisecond
		settings, err := config.ParseSettings(map[string]any{"models": []any{"box", "origin"}, "domain": map[string]any{"mode": "aside", "origin-kind": 1.},
			"invariants": map[string]any{"stop-sending-within-ms": float64(grace / time.Millisecond)},
			"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 200., "time-limit-ms": 750.}}})
		if err != nil {
			t.Fatal(err)
		}
		ships := &fleet{}
		d := New(settings, zap.NewNop())
		d.Start(1, ships, nobody{})
		d.UpdateEndpoints(routing.Full, boxes)
		take(t, d, Request{Class: "read", Key: "k"}, time.Second)
		s := ships.take(0)
		if within := s.SendBy.Sub(s.startedAt); within <= 0 || news+within+stall > grace {
			t.Errorf("grace %v: a first byte may be decided for up to %v, written up to %v later", grace, within, stall)
		}
	}
}
