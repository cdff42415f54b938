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

// Claimants on all nodes count under one lease: never two at once, each with its own token.
func TestOneHoldsAtATime(t *testing.T) {
	nodes := startCluster(t, clusterConfigs(t, 5))
	var in, done atomic.Int32
	var mu sync.Mutex
	tokens := map[uint64]bool{}
	ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
	defer stop()
	var all sync.WaitGroup
	for _, n := range nodes {
		all.Go(func() {
			n.client.Hold(ctx, "count", func(_ context.Context, g *HeldLease) bool {
				if in.Add(1) != 1 {
					t.Error("two at once")
				}
				mu.Lock()
				if tokens[g.Token()] {
					t.Errorf("token %d twice", g.Token())
				}
				tokens[g.Token()] = true
				mu.Unlock()
				err := g.SetEffect("count", g.Token(), nil)
				if again := g.SetEffect("count", g.Token(), nil); err == nil && again == nil {
					t.Errorf("token %d acts twice with one number", g.Token())
				}
				in.Add(-1)
				return done.Add(1) < 40
			})
			stop()
		})
	}
	all.Wait()
	if done.Load() < 40 {
		t.Errorf("held %d times", done.Load())
	}
}

// Two nodes with one name: the second doesn't get the lease of the name until the first has gone.
func TestTwoNodesOfOneName(t *testing.T) {
	all := clusterConfigs(t, 5)
	all[4].Node = all[3].Node
	nodes := startCluster(t, all)
	holder := func() (h lease.Holder) {
		s, _ := nodes[0].client.Status()
		for _, l := range s.Leases {
			if l.Name == nodeLease(all[3].Node) {
				h = l.Holder
			}
		}
		return h
	}
	eventually(t, "nobody holds the lease", func() bool { return holder().Name != "" })
	was := holder()
	time.Sleep(2 * all[0].Lease)
	if holder() != was {
		t.Error("both had it in turn")
	}
	nodes[3].Close()
	nodes[4].Close()
	eventually(t, "it is not released", func() bool { return holder().Name == "" })
}

// A connection from another cluster, or for a voter that has lost its folder, is refused with the reason.
func TestRefusedConnections(t *testing.T) {
	all := clusterConfigs(t, 3)
	startCluster(t, all)
	for want, d := range map[string]struct{ fleet, purpose, to string }{
		`fleet.name: this is "f", not "g"`:        {"g", transport.PurposeRPC, ""},
		"whose folder is gone":                    {"f", transport.PurposeRaft, "n0.00000000"},
		"expected a connection for votes or asks": {"f", "tea", ""},
	} {
		_, err := transport.Dialer{Cluster: d.fleet, Node: "x"}.Dial(all[0].Address, d.purpose, d.to, time.Second)
		if !errors.Is(err, transport.ErrRefused) || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: want %s", err, want)
		}
	}
	c := NewClient(all[0], zap.NewNop())
	if err := c.FoundCluster(0); !errors.Is(err, lease.ErrAlreadyFounded) {
		t.Errorf("founded again: %v", err)
	}
	for want, x := range map[string]MembershipChange{"is no voter": {Remove: "n9"}, "is a voter already": {Add: "n1", Address: all[1].Address}} {
		if _, err := c.Change(x); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want %s", x, err, want)
		}
	}
}
