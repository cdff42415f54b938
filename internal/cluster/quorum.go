package cluster

import (
	"net/rpc"
	"net/rpc/jsonrpc"
	"sync"

	"github.com/hashicorp/raft"

	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/lease"
)

// A round shows that this voter led at some moment after the round began: a majority, itself included, tells that it has
// voted in no later term. Whoever leads later needs the vote of one of them, which comes after its word here, so that one
// begins later than the round. The library's VerifyLeader doesn't show that: it counts the answer to a heartbeat that was
// on its way already (replication.go, heartbeat: notifyAll after AppendEntries returns), and a leader that was stopped and
// wakes finds such answers in its queues beside askings that came in between.

// TermVote is what a voter tells in a round.
type TermVote struct {
	ID   string `json:"ID"`
	Term uint64 `json:"Term"`
}

// Term tells the latest term in which this voter has voted, or may have.
func (l *rpcService) Term(_ *struct{}, w *TermVote) error {
	v := l.member.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	v.mu.Lock()
	ended := v.endReason != nil
	v.mu.Unlock()
	if ended {
		return lease.ErrNotLeader
	}
	*w = TermVote{v.identity.ID, v.raft.CurrentTerm()}
	return nil
}

// peerClients keeps a connection to each other voter.
type peerClients struct {
	mu    sync.Mutex
	conns map[raft.ServerID]*rpc.Client
}

func (v *Voter) peerClient(s raft.Server) (*rpc.Client, error) {
	v.peers.mu.Lock()
	c := v.peers.conns[s.ID]
	v.peers.mu.Unlock()
	if c != nil {
		return c, nil
	}
	address, id := transport.SplitRaftAddress(s.Address)
	n, err := v.dialer.Dial(address, transport.PurposeRPC, id, v.callTimeout)
	if err != nil {
		return nil, err
	}
	c = jsonrpc.NewClient(n)
	v.peers.mu.Lock()
	defer v.peers.mu.Unlock()
	if v.peers.conns == nil {
		_ = c.Close()
		return nil, lease.ErrNotLeader
	}
	if other := v.peers.conns[s.ID]; other != nil {
		_ = c.Close()
		return other, nil
	}
	v.peers.conns[s.ID] = c
	return c, nil
}

func (v *Voter) dropPeer(id raft.ServerID, c *rpc.Client) {
	_ = c.Close()
	v.peers.mu.Lock()
	defer v.peers.mu.Unlock()
	if v.peers.conns[id] == c {
		delete(v.peers.conns, id)
	}
}

// close closes the connections for good.
func (p *peerClients) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

// confirmLeadership asks a majority, and says whether it shows that we lead.
func (v *Voter) confirmLeadership() bool {
	term := v.raft.CurrentTerm() // before the state: the library gives the state up before it takes a later term
	if v.raft.State() != raft.Leader {
		return false
	}
	servers := v.raft.GetConfiguration().Configuration().Servers
	words := make(chan bool, len(servers))
	have, need, out := 0, len(servers)/2+1, 0
	for _, s := range servers {
		if string(s.ID) == v.identity.ID {
			have++
			continue
		}
		out++
		go func() {
			c, err := v.peerClient(s)
			if err != nil {
				words <- false
				return
			}
			var w TermVote
			if err := call(c, "Fleet.Term", &struct{}{}, &w, v.callTimeout); err != nil {
				v.dropPeer(s.ID, c)
				words <- false
				return
			}
			words <- w.ID == string(s.ID) && w.Term <= term
		}()
	}
	for ; out > 0 && have < need; out-- {
		if <-words {
			have++
		}
	}
	return have >= need
}
