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

func (n *budgetedNode) SetQuota(_ routing.Limit, _ string, quota allowance.Quota, duration, _ time.Duration) allowance.Usage {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quota, n.until = quota, time.Now().Add(duration)
	return allowance.Usage{Wanted: n.demand / 20}
}

func (n *budgetedNode) allowed() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Now().Before(n.until) {
		return n.quota.Burst
	}
	return n.quota.ThenBurst
}

// Nodes get quotas, never more than the limit together; an operator changes the limit; the next process of a node borrows from
// its predecessor before that leaves, and gets its own quota afterwards.
func TestQuotasAcrossNodes(t *testing.T) {
	configs := clusterConfigs(t, 4)
	var localNodes []*budgetedNode
	var nodes []*Member
	for i, c := range configs {
		c.Weight = 1
		c.Budgets = []config.Budget{{Name: "x", Limit: routing.OriginRate, BudgetConfig: lease.BudgetConfig{Kind: lease.RateKind, Units: 100, RatePerUnit: 1, ReservedPerNode: 2, MaxNodes: 5}}}
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
	eventually(t, "not founded", func() bool { return client.FoundCluster(0) == nil })
	totalAllowed := func() (units float64) {
		for _, node := range localNodes {
			units += node.allowed()
		}
		return units
	}
	eventuallyWithinLimit := func(failure string, condition func() bool) {
		eventually(t, failure, func() bool {
			if got := totalAllowed(); got > 100 {
				t.Fatalf("%g units are used together, of 100", got)
			}
			return condition()
		})
	}
	eventuallyWithinLimit("nodes with demand have little", func() bool { return localNodes[0].allowed() > 40 && localNodes[3].allowed() > 15 })
	if _, err := client.SetLimit("x", 9); err == nil || !strings.Contains(err.Error(), "expected 10 or more") {
		t.Errorf("a limit below what is reserved: %v", err)
	}
	if _, err := client.SetLimit("y", 9); err == nil || !strings.Contains(err.Error(), "expected one of [x]") {
		t.Errorf("a budget of no name: %v", err)
	}
	if budget, err := client.SetLimit("x", 50); err != nil || budget.Units != 50 || budget.Revision != 2 {
		t.Errorf("%v: %+v", err, budget)
	}
	eventuallyWithinLimit("a lowered limit is exceeded on and on", func() bool { return totalAllowed() <= 50 })
	if got := nodes[0].Metrics(); got["budget.x.whole"] != 50.0 || got["budget.x.part"].(float64) == 0 {
		t.Errorf("figures %v", got)
	}
	successor := &budgetedNode{demand: 40}
	predecessor := localNodes[3]
	localNodes = append(localNodes, successor)
	nodes = append(nodes, Start(configs[3], successor, time.Second, 256, zap.NewNop()))
	eventuallyWithinLimit("the next process borrows nothing while the one before is there", func() bool { return successor.allowed() > 2 })
	nodes[3].Close()
	if predecessor.allowed() != 0 {
		t.Errorf("one that has left has %g units yet", predecessor.allowed())
	}
	eventuallyWithinLimit("the next process has no quota of its own", func() bool { return successor.allowed() > 2 && nodes[4].Metrics()["budget.x.part"].(float64) > 0 })
}
