package cluster

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// stubNode is a LocalNode with fixed metrics, without endpoints and quotas.
type stubNode map[string]int64

func (f stubNode) Metrics() map[string]int64                           { return f }
func (stubNode) EjectedEndpoints() map[string]string                   { return nil }
func (stubNode) ReportProbeResult(string, string, bool, time.Duration) {}
func (stubNode) SetQuota(routing.Limit, string, quotalimit.Quota, time.Duration, time.Duration) (u quotalimit.Usage) {
	return u
}

// usedAddresses is the number of addresses that freeAddress has tried.
var usedAddresses atomic.Uint32

// freeAddress returns a loopback address that nobody listens on. Nobody else takes it before the node listens on it: the IP address
// is derived from the id of this process, and the port lies below the range from which the kernel assigns ephemeral ports.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range 100 {
		number, pid := usedAddresses.Add(1), uint32(os.Getpid())
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", 64+pid%64, pid/64%256, 1+number%250, 7000+number/250))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free address")
	return ""
}

// clusterConfigs returns the configurations of nodeCount nodes, the first three of which are voters.
func clusterConfigs(t testing.TB, nodeCount int) (configs []*config.Cluster) {
	t.Helper()
	var voters []config.Voter
	for i := range nodeCount {
		c := &config.Cluster{Name: "f", Node: fmt.Sprint("n", i), Address: freeAddress(t), Lease: 2 * time.Second,
			MaxDrift: 0.01, MaxDelay: 40 * time.Millisecond, RollUpInterval: time.Second}
		if i < 3 {
			c.DataDir = filepath.Join(t.TempDir(), "v")
			voters = append(voters, config.Voter{Name: c.Node, Address: c.Address})
		}
		configs = append(configs, c)
	}
	for _, c := range configs {
		c.Voters = voters
	}
	return configs
}

// startCluster starts the nodes and founds the cluster.
func startCluster(t testing.TB, configs []*config.Cluster) (nodes []*Member) {
	t.Helper()
	for _, c := range configs {
		node := Start(c, stubNode{"resolved": 1}, time.Second, 256, zap.NewNop())
		nodes = append(nodes, node)
		t.Cleanup(sync.OnceFunc(node.Close))
	}
	client := NewClient(configs[0], zap.NewNop())
	t.Cleanup(client.Close)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if err := client.FoundCluster(0); err == nil {
			return nodes
		} else if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// eventually waits until the condition holds, and fails the test with the failure text after 20 s.
func eventually(t testing.TB, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}
