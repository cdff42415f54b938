package cluster

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster/voterstore"
)

// Writes to two of three folders fail for some time, or the sync after the write fails. When the folders are writable again, the
// voters restart by themselves with their stored state, and leases are granted again.
func TestVoterRestartsWhenFolderIsWritableAgain(t *testing.T) {
	for _, c := range []struct {
		name     string
		err      syscall.Errno
		failSync bool // the write succeeds, and its sync fails
	}{{"no space", syscall.ENOSPC, false}, {"an error of the disk", syscall.EIO, false}, {"an error of the sync", syscall.EIO, true}} {
		t.Run(c.name, func(t *testing.T) {
			nodes := startCluster(t, clusterConfigs(t, 3))
			nodeLeasesHeld := func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 }
			eventually(t, "no leader", nodeLeasesHeld)
			before, _ := nodes[0].client.Status()
			var failing atomic.Bool
			fault := func(folder string, written bool) error {
				if failing.Load() && written == c.failSync && folder != nodes[0].config.DataDir {
					return c.err
				}
				return nil
			}
			voterstore.WriteFault.Store(&fault)
			t.Cleanup(func() { voterstore.WriteFault.Store(nil) })
			failing.Store(true)
			client := NewClient(nodes[0].config, zap.NewNop())
			defer client.Close()
			grants := make(chan uint64, 1)
			ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
			defer stop()
			go client.Hold(ctx, "again", func(_ context.Context, held *HeldLease) bool { // requests a lease throughout
				grants <- held.Token()
				return true
			})
			eventually(t, "the voters do not end", func() bool { return nodes[1].status().VoterError != "" && nodes[2].status().VoterError != "" })
			time.Sleep(500 * time.Millisecond)
			failing.Store(false)
			eventually(t, "the voters do not restart", func() bool { return nodes[1].status().Voter && nodes[2].status().Voter })
			select {
			case token := <-grants:
				if token <= before.LastToken {
					t.Errorf("token %d after %d: stored state is lost", token, before.LastToken)
				}
			case <-ctx.Done():
				t.Fatal("no lease is granted after the restart")
			}
		})
	}
}
