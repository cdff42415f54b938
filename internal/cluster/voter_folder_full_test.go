package cluster

import (
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster/voterstore"
)

// A node whose voter folder can't be written at its start goes on without a voter, reports why, and votes once it can.
func TestNodeStartsWithFullVoterFolder(t *testing.T) {
	configs := clusterConfigs(t, 3)
	nodes := startCluster(t, configs)
	eventually(t, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	nodes[2].Close()
	fault := func(folder string, _ bool) error {
		if folder == configs[2].DataDir {
			return syscall.ENOSPC
		}
		return nil
	}
	voterstore.WriteFault.Store(&fault)
	t.Cleanup(func() { voterstore.WriteFault.Store(nil) })
	restarted := Start(configs[2], stubNode{}, time.Second, 256, zap.NewNop())
	t.Cleanup(sync.OnceFunc(restarted.Close))
	eventually(t, "it doesn't say why it is no voter", func() bool {
		s := restarted.status()
		return !s.Voter && strings.Contains(s.VoterError, "no space left")
	})
	voterstore.WriteFault.Store(nil)
	eventually(t, "it doesn't vote again", func() bool { return restarted.status().Voter })
}
