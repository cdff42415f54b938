package cluster

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// The leader's disk stalls, so the library accepts no entries for some time, and the leader stays leader. A proposal that timed
// out during the stall would not be repeated before the next term. So requests that arrive during the stall have to be granted
// when the disk writes again, without waiting for another leader.
func TestLeaderGrantsPendingRequestsAfterDiskStall(t *testing.T) {
	nodes := startCluster(t, clusterConfigs(t, 4))
	var leader *Voter
	eventually(t, "no leader", func() bool {
		for _, n := range nodes[:3] {
			v := n.voter()
			v.mu.Lock()
			leads := v.leases.IsLeader()
			v.mu.Unlock()
			if leads {
				leader = v
			}
		}
		return leader != nil
	})
	for _, n := range nodes { // wait until all hold the leases of their names
		eventually(t, "a node does not hold the lease of its name", func() bool {
			leader.mu.Lock()
			defer leader.mu.Unlock()
			_, found := leader.state.Leases[nodeLease(n.config.Node)]
			return found
		})
	}
	term := func() uint64 {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return leader.state.Term
	}
	termBefore := term()
	db := *(**bbolt.DB)(reflect.ValueOf(leader.store.BoltStore).Elem().FieldByName("conn").Addr().UnsafePointer())
	tx, err := db.Begin(true) // blocks the library's writes
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var grants atomic.Int32
	var claimants sync.WaitGroup
	for i := range 8 {
		claimants.Go(func() {
			nodes[3].client.Hold(ctx, fmt.Sprint("busy", i), func(ctx context.Context, _ *HeldLease) bool {
				grants.Add(1)
				<-ctx.Done()
				return false
			})
		})
	}
	time.Sleep(nodes[0].config.Lease * 3 / 5)
	if err := tx.Rollback(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "requests during the stall are not granted", func() bool { return grants.Load() >= 8 })
	if termAfter := term(); termAfter != termBefore {
		t.Logf("leader changed, term %d after %d: this run proves nothing", termAfter, termBefore)
	}
	stop()
	claimants.Wait()
}
