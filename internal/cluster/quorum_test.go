package cluster

import (
	"net"
	"net/rpc"
	"net/rpc/jsonrpc"
	"testing"

	"github.com/hashicorp/raft"
)

// fixedTermVoter is the RPC service of a voter that reports a fixed term.
type fixedTermVoter struct{ vote TermVote }

func (voter *fixedTermVoter) Term(_ *struct{}, reply *TermVote) error {
	*reply = voter.vote
	return nil
}

// A quorum round counts a voter that has the expected id and has voted in no later term. The leader and one of the two other
// voters are a majority.
func TestQuorumRound(t *testing.T) {
	nodes := startCluster(t, clusterConfigs(t, 3))
	var v *Voter
	eventually(t, "no leader", func() bool {
		for _, n := range nodes {
			if candidate := n.voter(); candidate != nil && candidate.raft.State() == raft.Leader {
				v = candidate
			}
		}
		return v != nil && len(v.raft.GetConfiguration().Configuration().Servers) == 3
	})
	if !v.confirmLeadership() {
		t.Error("quorum round with real voters does not confirm the leader")
	}
	for _, c := range []struct {
		name       string
		wrongID    bool
		laterTerms [2]uint64
		confirmed  bool
	}{{"both have no later term", false, [2]uint64{0, 0}, true}, {"one has voted in a later term", false, [2]uint64{1, 0}, true},
		{"both have voted in a later term", false, [2]uint64{1, 1}, false}, {"both have another id", true, [2]uint64{0, 0}, false}} {
		i := 0
		v.peers.mu.Lock()
		for _, s := range v.raft.GetConfiguration().Configuration().Servers {
			if string(s.ID) == v.identity.ID {
				continue
			}
			other := fixedTermVoter{TermVote{string(s.ID), v.raft.CurrentTerm() + c.laterTerms[i]}}
			if c.wrongID {
				other.vote.ID += "x"
			}
			i++
			clientConn, serverConn := net.Pipe()
			server := rpc.NewServer()
			if err := server.RegisterName("Fleet", &other); err != nil {
				t.Fatal(err)
			}
			go server.ServeCodec(jsonrpc.NewServerCodec(serverConn))
			if previous := v.peers.conns[s.ID]; previous != nil {
				_ = previous.Close()
			}
			v.peers.conns[s.ID] = jsonrpc.NewClient(clientConn)
		}
		v.peers.mu.Unlock()
		if got := v.confirmLeadership(); got != c.confirmed {
			t.Errorf("%s: confirmLeadership() = %v, want %v", c.name, got, c.confirmed)
		}
	}
}
