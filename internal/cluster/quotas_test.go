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

// budgetedNode is a node that is asked to act, as far as its parts go.
type budgetedNode struct {
	stubNode
	mu     sync.Mutex
	demand float64
	quota  allowance.Quota
	until  time.Time
}

func (w *budgetedNode) SetQuota(_ routing.Limit, _ string, p allowance.Quota, left, _ time.Duration) allowance.Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quota, w.until = p, time.Now().Add(left)
	return allowance.Usage{Wanted: w.demand / 20}
}

func (w *budgetedNode) allowed() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.until) {
		return w.quota.Burst
	}
	return w.quota.ThenBurst
}

// Nodes get quotas, never more than the limit together; an operator changes the limit; the next process of a node borrows from
// its predecessor before that leaves, and gets its own quota afterwards.
func TestQuotasOverConnections(t *testing.T) {
	all := clusterConfigs(t, 4)
	var own []*budgetedNode
	var nodes []*Member
	for i, f := range all {
		f.Weight = 1
		f.Budgets = []config.Budget{{Name: "x", Limit: routing.OriginRate, BudgetConfig: lease.BudgetConfig{Kind: lease.RateKind, Units: 100, RatePerUnit: 1, ReservedPerNode: 2, MaxNodes: 5}}}
		w := &budgetedNode{demand: []float64{400, 0, 0, 40}[i]}
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
			n += w.allowed()
		}
		return n
	}
	enough := func(what string, is func() bool) {
		eventually(t, what, func() bool {
			if got := sum(); got > 100 {
				t.Fatalf("%g units are used together, of 100", got)
			}
			return is()
		})
	}
	enough("nodes with demand have little", func() bool { return own[0].allowed() > 40 && own[3].allowed() > 15 })
	if _, err := c.SetLimit("x", 9); err == nil || !strings.Contains(err.Error(), "expected 10 or more") {
		t.Errorf("a limit below what is reserved: %v", err)
	}
	if _, err := c.SetLimit("y", 9); err == nil || !strings.Contains(err.Error(), "expected one of [x]") {
		t.Errorf("a budget of no name: %v", err)
	}
	if b, err := c.SetLimit("x", 50); err != nil || b.Units != 50 || b.Revision != 2 {
		t.Errorf("%v: %+v", err, b)
	}
	enough("a lowered limit is exceeded on and on", func() bool { return sum() <= 50 })
	if got := nodes[0].Metrics(); got["budget.x.whole"] != 50.0 || got["budget.x.part"].(float64) == 0 {
		t.Errorf("figures %v", got)
	}
	next := &budgetedNode{demand: 40}
	before := own[3]
	own = append(own, next)
	nodes = append(nodes, Start(all[3], next, time.Second, 256, zap.NewNop()))
	enough("the next process borrows nothing while the one before is there", func() bool { return next.allowed() > 2 })
	nodes[3].Close()
	if before.allowed() != 0 {
		t.Errorf("one that has left has %g units yet", before.allowed())
	}
	enough("the next process has no quota of its own", func() bool { return next.allowed() > 2 && nodes[4].Metrics()["budget.x.part"].(float64) > 0 })
}
