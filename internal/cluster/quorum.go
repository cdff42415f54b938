package cluster

import (
	"net/rpc"
	"net/rpc/jsonrpc"
	"sync"

	"github.com/hashicorp/raft"

	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/lease"
)

// A quorum round proves that this voter was the leader at some time after the round began: each voter of a majority, which
// includes this one, reports that it has voted in no later term. A later leader needs the vote of one of these voters, and that
// voter votes after its report. So the term of a later leader begins after the round.
//
// The library's VerifyLeader doesn't prove this. It counts the response to a heartbeat that was sent before the call
// (replication.go, heartbeat: notifyAll after AppendEntries returns). A leader that was suspended finds such responses in its
// queues, together with requests that arrived while it was suspended.

// The terms in this file are raft's own, not the terms of the lease log that beginTerm commits.

// confirmLeadership makes a quorum round, and reports whether it proves that this voter is the leader.
func (v *Voter) confirmLeadership() bool {
	raftTerm := v.raft.CurrentTerm() // read before the state: the library leaves the leader state before it sets a later term
	if v.raft.State() != raft.Leader {
		return false
	}
	servers := v.raft.GetConfiguration().Configuration().Servers
	votes := make(chan bool, len(servers))
	confirmed, pending := 0, 0
	for _, s := range servers {
		if string(s.ID) == v.identity.ID {
			confirmed++
			continue
		}
		pending++
		go func() { votes <- v.hasNoLaterTerm(s, raftTerm) }()
	}
	quorum := len(servers)/2 + 1
	for ; pending > 0 && confirmed < quorum; pending-- {
		if <-votes {
			confirmed++
		}
	}
	return confirmed >= quorum
}

// hasNoLaterTerm asks another voter for its term, and reports whether that is no later than raftTerm.
func (v *Voter) hasNoLaterTerm(s raft.Server, raftTerm uint64) bool {
	client, err := v.peerClient(s)
	if err != nil {
		return false
	}
	var vote TermVote
	if err := call(client, methodTerm, &struct{}{}, &vote, v.callTimeout); err != nil {
		v.dropPeer(s.ID, client)
		return false
	}
	return vote.ID == string(s.ID) && vote.Term <= raftTerm
}

// peerClients has the connections to the other voters.
type peerClients struct {
	mu    sync.Mutex
	conns map[raft.ServerID]*rpc.Client // nil after close
}

// peerClient returns the connection to another voter, and opens it if there is none.
func (v *Voter) peerClient(s raft.Server) (*rpc.Client, error) {
	v.peers.mu.Lock()
	client := v.peers.conns[s.ID]
	v.peers.mu.Unlock()
	if client != nil {
		return client, nil
	}
	address, id := transport.SplitRaftAddress(s.Address)
	conn, err := v.dialer.Dial(address, transport.PurposeRPC, id, v.callTimeout)
	if err != nil {
		return nil, err
	}
	return v.peers.add(s.ID, jsonrpc.NewClient(conn))
}

// add stores a connection and returns it. If another goroutine has stored one for the same voter, add closes the new connection
// and returns the stored one.
func (p *peerClients) add(id raft.ServerID, client *rpc.Client) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		_ = client.Close()
		return nil, lease.ErrNotLeader
	}
	if other := p.conns[id]; other != nil {
		_ = client.Close()
		return other, nil
	}
	p.conns[id] = client
	return client, nil
}

// dropPeer closes a connection that failed.
func (v *Voter) dropPeer(id raft.ServerID, client *rpc.Client) {
	_ = client.Close()
	v.peers.mu.Lock()
	defer v.peers.mu.Unlock()
	if v.peers.conns[id] == client {
		delete(v.peers.conns, id)
	}
}

// close closes all connections. No connection can be added afterwards.
func (p *peerClients) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.conns {
		_ = client.Close()
	}
	p.conns = nil
}
