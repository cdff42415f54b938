package cluster

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
)

// ejectingNode is a node that has ejected one server, until a probe finds it healthy.
type ejectingNode struct {
	stubNode
	address          string
	unhealthyResults atomic.Int32
	healthyResult    atomic.Bool
}

func (n *ejectingNode) EjectedEndpoints() map[string]string { return map[string]string{"c": n.address} }
func (n *ejectingNode) ReportProbeResult(id, address string, healthy bool, next time.Duration) {
	if id == "c" && address == n.address && next > 0 {
		if healthy {
			n.healthyResult.Store(true)
		} else {
			n.unhealthyResults.Add(1)
		}
	}
}

// All nodes eject a failed server. One node probes it for all of them, and all get the results, also that of its recovery.
func TestReportProbeResultCalledOnAllNodes(t *testing.T) {
	var requests atomic.Int32
	var healthy atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1); !healthy.Load() || r.URL.Path != "/up" {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer server.Close()
	configs := clusterConfigs(t, 5)
	var localNodes []*ejectingNode
	var nodes []*Member
	for _, c := range configs {
		c.Tasks, c.ProbePath = []string{config.TaskProbe}, "/up"
		node := &ejectingNode{address: server.Listener.Addr().String()}
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
	allNodes := func(received func(node *ejectingNode) bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(localNodes, func(node *ejectingNode) bool { return !received(node) })
		}
	}
	eventually(t, "not all nodes get the unhealthy result", allNodes(func(node *ejectingNode) bool { return node.unhealthyResults.Load() > 0 }))
	healthy.Store(true)
	probesBeforeRecovery := requests.Load()
	eventually(t, "not all nodes get the healthy result", allNodes(func(node *ejectingNode) bool { return node.healthyResult.Load() }))
	if probesBeforeRecovery > 10 {
		t.Errorf("%d probes of one server, want at most 10", probesBeforeRecovery)
	}
}
