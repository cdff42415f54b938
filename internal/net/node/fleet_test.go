package node

import (
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/config"
)

// goroutineStacks returns the stacks of all goroutines.
func goroutineStacks() string {
	b := make([]byte, 1<<20)
	return string(b[:runtime.Stack(b, true)])
}

// Without a cluster section in its configuration a node runs no goroutine of the cluster package and reports no cluster metrics. With one it
// serves, reports cluster metrics and stops in time, even if no other node is reachable.
func TestNodeServesWithAndWithoutCluster(t *testing.T) {
	const clusterPackage = "internal/cluster"
	w := newTestEnv(t, nil, "a")
	s := w.nodeConfig(256)
	stop := startNode(t, s)
	if sendRequest(s.ListenAddress, "GET /read/k", "X-Trace-Id: t1", "X-Expires-In: 900m"); strings.Contains(goroutineStacks(), clusterPackage) {
		t.Error("a goroutine of the cluster package runs without a cluster")
	}
	if _, page := adminRequest(s.Admin, "GET", "/status/metrics"); strings.Contains(page, "fleet.") {
		t.Errorf("cluster metrics without a cluster:\n%s", page)
	}
	stop()
	s = w.nodeConfig(256)
	s.Cluster = &config.Cluster{Name: "f", Node: "n", Address: freeAddress(t), DataDir: filepath.Join(t.TempDir(), "v"), Lease: time.Second,
		MaxDrift: 0.01, MaxDelay: 20 * time.Millisecond, Tasks: []string{config.TaskProbe, config.TaskRollUp}, RollUpInterval: time.Second,
		Voters: []config.Voter{{Name: "n", Address: "127.0.0.1:1"}, {Name: "o", Address: "127.0.0.1:2"}, {Name: "p", Address: "127.0.0.1:3"}}}
	stop = startNode(t, s)
	for deadline := time.Now().Add(5 * time.Second); metric(s.Admin, "fleet.voter") != 1; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("metric fleet.voter is not 1 within 5 s")
		}
	}
	if status, body := sendRequest(s.ListenAddress, "GET /read/k", "X-Trace-Id: t2", "X-Expires-In: 900m"); status != 200 || body != "value" {
		t.Errorf("no other node reachable: %d %q", status, body)
	}
	if _, err := os.Stat(filepath.Join(s.Cluster.DataDir, "voter.json")); err != nil {
		t.Error(err)
	}
	stop()
}
