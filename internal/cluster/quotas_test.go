package cluster

import (
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

// budgetedNode is a node with a fixed demand, which records its quota.
type budgetedNode struct {
	stubNode
	mu     sync.Mutex
	demand float64
	quota  quotalimit.Quota
	until  time.Time
}

func (n *budgetedNode) SetQuota(_ routing.Limit, _ string, quota quotalimit.Quota, duration, _ time.Duration) quotalimit.Usage {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quota, n.until = quota, time.Now().Add(duration)
	return quotalimit.Usage{Requested: n.demand / 20}
}

func (n *budgetedNode) allowed() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Now().Before(n.until) {
		return n.quota.Burst
	}
	return n.quota.BurstAfterEnd
}

// The quotas of all nodes together never exceed the limit, also after an operator lowers it. The process that replaces a node's
// process borrows quotas from it while both run, and gets a quota of its own after the first one has left.
func TestQuotasAcrossNodes(t *testing.T) {
	configs := clusterConfigs(t, 4)
	var localNodes []*budgetedNode
	var nodes []*Member
	for i, c := range configs {
		c.Weight = 1
		c.Budgets = []config.Budget{{Name: "x", Limit: routing.OriginRate, BudgetConfig: lease.BudgetConfig{Kind: lease.BudgetKindRate, Units: 100, RatePerUnit: 1, ReservedPerNode: 2, MaxNodes: 5}}}
		node := &budgetedNode{demand: []float64{400, 0, 0, 40}[i]}
		localNodes, nodes = append(localNodes, node), append(nodes, Start(c, node, time.Second, 256, zap.NewNop()))
	}
	defer func() {
		for _, node := range nodes {
			node.Close()
		}
	}()
	client := NewClient(configs[0], zap.NewNop())
	defer client.Close()
	eventually(t, "cluster is not founded", func() bool { return client.FoundCluster(0) == nil })
	totalAllowed := func() (units float64) {
		for _, node := range localNodes {
			units += node.allowed()
		}
		return units
	}
	eventuallyWithinLimit := func(failure string, condition func() bool) {
		eventually(t, failure, func() bool {
			if got := totalAllowed(); got > 100 {
				t.Fatalf("nodes may use %g units together, limit 100", got)
			}
			return condition()
		})
	}
	eventuallyWithinLimit("nodes with demand don't get enough units", func() bool { return localNodes[0].allowed() > 40 && localNodes[3].allowed() > 15 })
	if _, err := client.SetLimit("x", 9); err == nil || !strings.Contains(err.Error(), "expected 10 or more") {
		t.Errorf("SetLimit below the reserved units: %v", err)
	}
	if _, err := client.SetLimit("y", 9); err == nil || !strings.Contains(err.Error(), "expected one of [x]") {
		t.Errorf("SetLimit of an unknown budget: %v", err)
	}
	if budget, err := client.SetLimit("x", 50); err != nil || budget.Units != 50 || budget.Revision != 2 {
		t.Errorf("SetLimit(50): %v, %+v", err, budget)
	}
	eventuallyWithinLimit("quotas stay above the lowered limit", func() bool { return totalAllowed() <= 50 })
	if got := nodes[0].Metrics(); got["budget.x.whole"] != 50.0 || got["budget.x.part"].(float64) == 0 {
		t.Errorf("metrics %v", got)
	}
	successor := &budgetedNode{demand: 40}
	predecessor := localNodes[3]
	localNodes = append(localNodes, successor)
	nodes = append(nodes, Start(configs[3], successor, time.Second, 256, zap.NewNop()))
	eventuallyWithinLimit("replacing process borrows nothing while the replaced one runs", func() bool { return successor.allowed() > 2 })
	nodes[3].Close()
	if predecessor.allowed() != 0 {
		t.Errorf("replaced process still has %g units after Close", predecessor.allowed())
	}
	eventuallyWithinLimit("replacing process gets no quota of its own", func() bool { return successor.allowed() > 2 && nodes[4].Metrics()["budget.x.part"].(float64) > 0 })
}
