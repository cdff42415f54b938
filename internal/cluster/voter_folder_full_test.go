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
func TestANodeStartsBesideAFolderThatIsFull(t *testing.T) {
	all := clusterConfigs(t, 3)
	nodes := startCluster(t, all)
	eventually(t, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	nodes[2].Close()
	fault := func(folder string, _ bool) error {
		if folder == all[2].DataDir {
			return syscall.ENOSPC
		}
		return nil
	}
	voterstore.WriteFault.Store(&fault)
	t.Cleanup(func() { voterstore.WriteFault.Store(nil) })
	again := Start(all[2], stubNode{}, time.Second, 256, zap.NewNop())
	t.Cleanup(sync.OnceFunc(again.Close))
	eventually(t, "it doesn't say why it is no voter", func() bool { s := again.status(); return !s.Voter && strings.Contains(s.VoterError, "no space left") })
	voterstore.WriteFault.Store(nil)
	eventually(t, "it doesn't vote again", func() bool { return again.status().Voter })
}
