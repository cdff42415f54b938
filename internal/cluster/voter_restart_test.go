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

// Two of three folders can't be written for a while, or fail in their sync after the write. When they can be written again, the voters
// restart by themselves with what they had stored, and leases are granted again.
func TestVoterRestartsWhenFolderIsWritableAgain(t *testing.T) {
	for _, c := range []struct {
		name     string
		err      syscall.Errno
		failSync bool // the write is made, and its sync fails
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
			go client.Hold(ctx, "again", func(_ context.Context, held *HeldLease) bool { // asks all the while
				grants <- held.Token()
				return true
			})
			eventually(t, "both vote on", func() bool { return nodes[1].status().VoterError != "" && nodes[2].status().VoterError != "" })
			time.Sleep(500 * time.Millisecond)
			failing.Store(false)
			eventually(t, "they don't come back", func() bool { return nodes[1].status().Voter && nodes[2].status().Voter })
			select {
			case token := <-grants:
				if token <= before.LastToken {
					t.Errorf("token %d after %d: what was stored is lost", token, before.LastToken)
				}
			case <-ctx.Done():
				t.Fatal("no lease is granted")
			}
		})
	}
}
