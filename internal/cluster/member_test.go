package cluster

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/lease"
)

// Claimants on all nodes acquire one lease in turn. At no time may two of them hold it, no token may be granted twice, and the
// state has to refuse an effect with a number that was used before.
func TestLeaseHeldByOneNodeAtATime(t *testing.T) {
	nodes := startCluster(t, clusterConfigs(t, 5))
	var holders, grants atomic.Int32
	var mu sync.Mutex
	tokens := map[uint64]bool{}
	ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
	defer stop()
	var claimants sync.WaitGroup
	for _, node := range nodes {
		claimants.Go(func() {
			node.client.Hold(ctx, "count", func(_ context.Context, held *HeldLease) bool {
				if holders.Add(1) != 1 {
					t.Error("two claimants hold the lease at the same time")
				}
				mu.Lock()
				if tokens[held.Token()] {
					t.Errorf("token %d granted twice", held.Token())
				}
				tokens[held.Token()] = true
				mu.Unlock()
				err := held.SetEffect("count", held.Token(), nil)
				if repeatErr := held.SetEffect("count", held.Token(), nil); err == nil && repeatErr == nil {
					t.Errorf("token %d: effect applied twice with the same number", held.Token())
				}
				holders.Add(-1)
				return grants.Add(1) < 40
			})
			stop()
		})
	}
	claimants.Wait()
	if grants.Load() < 40 {
		t.Errorf("lease granted %d times, want 40", grants.Load())
	}
}

// Two nodes have the same name. The second may not acquire the lease of the name while the first one holds it.
func TestNodeLeaseWithDuplicateNodeName(t *testing.T) {
	configs := clusterConfigs(t, 5)
	configs[4].Node = configs[3].Node
	nodes := startCluster(t, configs)
	holder := func() (current lease.Holder) {
		s, _ := nodes[0].client.Status()
		for _, l := range s.Leases {
			if l.Name == nodeLease(configs[3].Node) {
				current = l.Holder
			}
		}
		return current
	}
	eventually(t, "no node holds the lease of the name", func() bool { return holder().Name != "" })
	firstHolder := holder()
	time.Sleep(2 * configs[0].Lease)
	if holder() != firstHolder {
		t.Error("the lease of the name passed from one node to the other")
	}
	nodes[3].Close()
	nodes[4].Close()
	eventually(t, "the lease of the name is not released", func() bool { return holder().Name == "" })
}

// A connection from another cluster, for a voter that has lost its folder, or with an unknown purpose is refused with the reason.
// So are a second founding, the removal of an unknown voter and the addition of a present one.
func TestDialAndMembershipChangeRefused(t *testing.T) {
	configs := clusterConfigs(t, 3)
	startCluster(t, configs)
	for want, dial := range map[string]struct{ cluster, purpose, voterID string }{
		`fleet.name: this is "f", not "g"`:        {"g", transport.PurposeRPC, ""},
		"whose folder is gone":                    {"f", transport.PurposeRaft, "n0.00000000"},
		"expected a connection for votes or asks": {"f", "tea", ""},
	} {
		_, err := transport.Dialer{Cluster: dial.cluster, Node: "x"}.Dial(configs[0].Address, dial.purpose, dial.voterID, time.Second)
		if !errors.Is(err, transport.ErrRefused) || !strings.Contains(err.Error(), want) {
			t.Errorf("dial error %v, want %s", err, want)
		}
	}
	client := NewClient(configs[0], zap.NewNop())
	if err := client.FoundCluster(0); !errors.Is(err, lease.ErrAlreadyFounded) {
		t.Errorf("second FoundCluster: %v, want %v", err, lease.ErrAlreadyFounded)
	}
	for want, change := range map[string]MembershipChange{"is no voter": {Remove: "n9"}, "is a voter already": {Add: "n1", Address: configs[1].Address}} {
		if _, err := client.Change(change); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want %s", change, err, want)
		}
	}
}
