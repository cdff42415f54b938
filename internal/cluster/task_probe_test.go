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

func (s *ejectingNode) EjectedEndpoints() map[string]string { return map[string]string{"c": s.address} }
func (s *ejectingNode) ProbeResult(id, address string, well bool, next time.Duration) {
	if id == "c" && address == s.address && next > 0 {
		if well {
			s.healthyResult.Store(true)
		} else {
			s.unhealthyResults.Add(1)
		}
	}
}

// A server fails, and all nodes eject it: one of them probes it for all, and all get the results, also of its recovery.
func TestOneProbesForAll(t *testing.T) {
	var hits atomic.Int32
	var up atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hits.Add(1); !up.Load() || r.URL.Path != "/up" {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer server.Close()
	all := clusterConfigs(t, 5)
	var own []*ejectingNode
	var nodes []*Member
	for _, f := range all {
		f.Tasks, f.ProbePath = []string{config.TaskProbe}, "/up"
		s := &ejectingNode{address: server.Listener.Addr().String()}
		own, nodes = append(own, s), append(nodes, Start(f, s, time.Second, 256, zap.NewNop()))
	}
	defer func() {
		for _, n := range nodes {
			n.Close()
		}
	}()
	c := NewClient(all[0], zap.NewNop())
	defer c.Close()
	eventually(t, "not founded", func() bool { return c.FoundCluster(0) == nil })
	heard := func(of func(s *ejectingNode) bool) func() bool {
		return func() bool { return !slices.ContainsFunc(own, func(s *ejectingNode) bool { return !of(s) }) }
	}
	eventually(t, "not all get the result that it is unhealthy", heard(func(s *ejectingNode) bool { return s.unhealthyResults.Load() > 0 }))
	up.Store(true)
	tried := hits.Load()
	eventually(t, "not all get the result that it is healthy", heard(func(s *ejectingNode) bool { return s.healthyResult.Load() }))
	if tried > 10 {
		t.Errorf("%d probes of one server", tried)
	}
}
