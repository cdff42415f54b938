package cluster

import (
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

// worker is a node that is asked to act, as far as its parts go.
type worker struct {
	figures
	mu    sync.Mutex
	asks  float64
	part  allowance.Quota
	until time.Time
}

func (w *worker) SetQuota(_ routing.Limit, _ string, p allowance.Quota, left, _ time.Duration) allowance.Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.part, w.until = p, time.Now().Add(left)
	return allowance.Usage{Wanted: w.asks / 20}
}

func (w *worker) most() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.until) {
		return w.part.Burst
	}
	return w.part.ThenBurst
}

// Nodes on sockets come to have parts, never more than the whole together; an operator changes it; the next process of a
// node has a share of its predecessor's before that leaves, and its own after.
func TestPartsOnSockets(t *testing.T) {
	all := fleetOf(t, 4)
	var own []*worker
	var nodes []*Member
	for i, f := range all {
		f.Weight = 1
		f.Budgets = []config.Budget{{Name: "x", Bound: routing.OriginRate, BudgetConfig: lease.BudgetConfig{Kind: lease.RateKind, Units: 100, RatePerUnit: 1, ReservedPerNode: 2, MaxNodes: 5}}}
		w := &worker{asks: []float64{400, 0, 0, 40}[i]}
		own, nodes = append(own, w), append(nodes, Start(f, w, time.Second, 256, zap.NewNop()))
	}
	defer func() {
		for _, n := range nodes {
			n.Close()
		}
	}()
	c := NewClient(all[0], zap.NewNop())
	defer c.Close()
	eventually(t, "not founded", func() bool { return c.FoundCluster(0) == nil })
	sum := func() (n float64) {
		for _, w := range own {
			n += w.most()
		}
		return n
	}
	enough := func(what string, is func() bool) {
		eventually(t, what, func() bool {
			if got := sum(); got > 100 {
				t.Fatalf("%g units are acted on together, of 100", got)
			}
			return is()
		})
	}
	enough("those who ask have little", func() bool { return own[0].most() > 40 && own[3].most() > 15 })
	if _, err := c.SetLimit("x", 9); err == nil || !strings.Contains(err.Error(), "expected 10 or more") {
		t.Errorf("a whole below what is apart: %v", err)
	}
	if _, err := c.SetLimit("y", 9); err == nil || !strings.Contains(err.Error(), "expected one of [x]") {
		t.Errorf("a budget of no name: %v", err)
	}
	if b, err := c.SetLimit("x", 50); err != nil || b.Units != 50 || b.Revision != 2 {
		t.Errorf("%v: %+v", err, b)
	}
	enough("a lowered whole is passed on and on", func() bool { return sum() <= 50 })
	if got := nodes[0].Metrics(); got["budget.x.whole"] != 50.0 || got["budget.x.part"].(float64) == 0 {
		t.Errorf("figures %v", got)
	}
	next := &worker{asks: 40}
	before := own[3]
	own = append(own, next)
	nodes = append(nodes, Start(all[3], next, time.Second, 256, zap.NewNop()))
	enough("the next process has no share while the one before is there", func() bool { return next.most() > 2 })
	nodes[3].Close()
	if before.most() != 0 {
		t.Errorf("one that has left has %g units yet", before.most())
	}
	enough("the next process has no part of its own", func() bool { return next.most() > 2 && nodes[4].Metrics()["budget.x.part"].(float64) > 0 })
}
