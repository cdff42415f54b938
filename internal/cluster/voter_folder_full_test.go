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

// A node whose voter folder can't be written at the start runs without a voter and reports the reason. It starts its voter when
// the folder is writable again.
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
	eventually(t, "node does not report why it has no voter", func() bool {
		s := restarted.status()
		return !s.Voter && strings.Contains(s.VoterError, "no space left")
	})
	voterstore.WriteFault.Store(nil)
	eventually(t, "voter does not start after the folder is writable", func() bool { return restarted.status().Voter })
}
