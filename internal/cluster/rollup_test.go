package cluster

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/config"
)

// The roll-up continues after the wall clock is stepped back by an hour, and after it is stepped forward. It logs one
// line for each period, each with its own number.
func TestRollUpContinuesAfterWallClockStep(t *testing.T) {
	var offset atomic.Int64
	wallClock = func() time.Time { return clock.Wall().Add(time.Duration(offset.Load())) }
	core, logs := observer.New(zap.InfoLevel)
	configs := clusterConfigs(t, 3)
	var nodes []*Member
	for _, c := range configs {
		c.Tasks = []string{config.TaskRollUp}
		nodes = append(nodes, Start(c, stubNode{"resolved": 1}, time.Second, 256, zap.New(core)))
	}
	t.Cleanup(func() {
		var closing sync.WaitGroup
		for _, n := range nodes {
			closing.Go(n.Close)
		}
		closing.Wait()
		wallClock = clock.Wall
	})
	c := NewClient(configs[0], zap.NewNop())
	t.Cleanup(c.Close)
	eventually(t, "cluster is not founded", func() bool { return c.FoundCluster(0) == nil })
	lines := func() int { return logs.FilterMessage("roll-up").Len() }
	eventually(t, "no period is logged", func() bool { return lines() > 0 })
	for _, step := range []time.Duration{-time.Hour, 0, time.Hour, -2 * time.Second} {
		before := lines()
		offset.Store(int64(step))
		const periods = 6 // one may have begun before, and a small step skips one or two
		for end := time.Now().Add(periods * time.Second); lines() < before+2; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Errorf("clock step %v: %d lines logged within %d periods, want 2", step, lines()-before, periods)
				break
			}
		}
	}
	seen := map[uint64]bool{}
	for _, line := range logs.FilterMessage("roll-up").All() {
		number, _ := line.ContextMap()["number"].(uint64)
		if seen[number] {
			t.Errorf("period %d logged twice", number)
		}
		seen[number] = true
	}
}
