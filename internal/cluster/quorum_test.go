package cluster

import (
	"net"
	"net/rpc"
	"net/rpc/jsonrpc"
	"testing"

	"github.com/hashicorp/raft"
)

// fixedTermVoter is a voter that reports a given term.
type fixedTermVoter struct{ vote TermVote }

func (x *fixedTermVoter) Term(_ *struct{}, w *TermVote) error {
	*w = x.vote
	return nil
}

// A quorum round counts a voter that has the expected id and has voted in no later term; two of three with the leader are enough.
func TestQuorumRound(t *testing.T) {
	nodes := startCluster(t, clusterConfigs(t, 3))
	var v *Voter
	eventually(t, "no leader", func() bool {
		for _, n := range nodes {
			if x := n.voter(); x != nil && x.raft.State() == raft.Leader {
				v = x
			}
		}
		return v != nil && len(v.raft.GetConfiguration().Configuration().Servers) == 3
	})
	if !v.confirmLeadership() {
		t.Error("the leader is not confirmed")
	}
	for _, c := range []struct {
		what      string
		otherID   bool
		later     [2]uint64
		confirmed bool
	}{{"both follow", false, [2]uint64{0, 0}, true}, {"one has voted since", false, [2]uint64{1, 0}, true},
		{"both have voted since", false, [2]uint64{1, 1}, false}, {"both are other voters", true, [2]uint64{0, 0}, false}} {
		i := 0
		v.peers.mu.Lock()
		for _, s := range v.raft.GetConfiguration().Configuration().Servers {
			if string(s.ID) == v.identity.ID {
				continue
			}
			w := fixedTermVoter{TermVote{string(s.ID), v.raft.CurrentTerm() + c.later[i]}}
			if c.otherID {
				w.vote.ID += "x"
			}
			i++
			here, there := net.Pipe()
			x := rpc.NewServer()
			if err := x.RegisterName("Fleet", &w); err != nil {
				t.Fatal(err)
			}
			go x.ServeCodec(jsonrpc.NewServerCodec(there))
			if before := v.peers.conns[s.ID]; before != nil {
				_ = before.Close()
			}
			v.peers.conns[s.ID] = jsonrpc.NewClient(here)
		}
		v.peers.mu.Unlock()
		if got := v.confirmLeadership(); got != c.confirmed {
			t.Errorf("%s: %v", c.what, got)
		}
	}
}
