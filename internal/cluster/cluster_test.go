package cluster

import (
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// stubNode is a node with fixed totals, without servers and quotas.
type stubNode map[string]int64

func (f stubNode) Metrics() map[string]int64                     { return f }
func (stubNode) EjectedEndpoints() map[string]string             { return nil }
func (stubNode) ProbeResult(string, string, bool, time.Duration) {}
func (stubNode) SetQuota(routing.Limit, string, allowance.Quota, time.Duration, time.Duration) (u allowance.Usage) {
	return u
}

// clusterConfigs returns the configurations of three voters and further nodes.
func clusterConfigs(t testing.TB, nodes int) (all []*config.Cluster) {
	t.Helper()
	var voters []config.Voter
	for i := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f := &config.Cluster{Name: "f", Node: fmt.Sprint("n", i), Address: l.Addr().String(), Lease: 2 * time.Second,
			MaxDrift: 0.01, MaxDelay: 40 * time.Millisecond, RollUpInterval: time.Second}
		_ = l.Close()
		if i < 3 {
			f.DataDir = filepath.Join(t.TempDir(), "v")
			voters = append(voters, config.Voter{Name: f.Node, Address: f.Address})
		}
		all = append(all, f)
	}
	for _, f := range all {
		f.Voters = voters
	}
	return all
}

// startCluster starts the nodes and founds the cluster.
func startCluster(t testing.TB, all []*config.Cluster) (nodes []*Member) {
	t.Helper()
	for _, f := range all {
		n := Start(f, stubNode{"resolved": 1}, time.Second, 256, zap.NewNop())
		nodes = append(nodes, n)
		t.Cleanup(sync.OnceFunc(n.Close))
	}
	c := NewClient(all[0], zap.NewNop())
	t.Cleanup(c.Close)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if err := c.FoundCluster(0); err == nil {
			return nodes
		} else if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// eventually waits until a condition holds.
func eventually(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}
