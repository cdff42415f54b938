package cluster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
)

// status returns the cluster as this node sees it.
func (m *Member) status() Status {
	s := Status{Node: m.config.Node, LastContactMs: -1}
	v, voterError := m.voterOrError()
	if voterError != nil {
		s.VoterError = voterError.Error()
	}
	if v == nil {
		if s.VoterError == "" {
			s.VoterError = "fleet.folder is not set: this node has no voter"
		}
		s.LeaderAddress, s.LastContactMs = m.client.lastLeader()
		return s
	}
	v.addConsensusStatus(&s)
	v.addState(&s)
	return s
}

// addConsensusStatus adds the state of the consensus library.
func (v *Voter) addConsensusStatus(s *Status) {
	s.Voter = true
	s.ID = v.identity.ID
	s.Leader, s.LeaderAddress = v.leader()
	s.Revision = v.raft.AppliedIndex()
	s.New = v.raft.LastIndex() == 0
	for _, server := range v.raft.GetConfiguration().Configuration().Servers {
		address, _ := transport.SplitRaftAddress(server.Address)
		s.Voters = append(s.Voters, VoterInfo{ID: string(server.ID), Address: address})
	}
	if v.raft.State() == raft.Leader {
		s.LastContactMs = 0
	} else if last := v.raft.LastContact(); !last.IsZero() {
		s.LastContactMs = time.Since(last).Milliseconds()
	}
}

// addState adds the replicated state and, if this voter is the leader, the state that only the leader keeps in memory.
func (v *Voter) addState(s *Status) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.endReason != nil {
		s.Voter = false
		s.ID = ""
		s.VoterError = v.endReason.Error()
	}
	s.IsLeader = v.leases.IsLeader()
	s.Term = v.state.Term
	s.Cluster = v.state.Cluster
	s.LastToken = v.state.LastToken
	s.Entries = v.appliedEntries
	s.QuorumRounds = v.quorumRounds
	s.Effects = maps.Clone(v.state.Effects)
	s.Budgets = map[string]BudgetState{}
	for name, b := range v.state.Budgets {
		demand, reserve := v.allocator.Demand(name)
		s.Budgets[name] = BudgetState{Budget: *b.Clone(), Demand: demand, Reserve: reserve}
	}
	for _, name := range slices.Sorted(maps.Keys(v.state.Leases)) {
		s.Leases = append(s.Leases, v.leaseStatus(name))
	}
}

// leaseStatus returns the status of a lease. The caller holds v.mu.
func (v *Voter) leaseStatus(name string) LeaseStatus {
	l := v.state.Leases[name]
	s := LeaseStatus{Name: name, Holder: l.Holder, Token: l.Token, RemainingMs: -1}
	if v.leases.IsLeader() {
		expiry, waiting := v.leases.LeaseStatus(name)
		s.RemainingMs = max(0, toDuration(expiry-now()).Milliseconds())
		s.Waiting = waiting
	}
	return s
}

// nodeAddresses returns the addresses of the nodes that hold the leases of their names, by node.
func (s *Status) nodeAddresses() map[string]string {
	addresses := map[string]string{}
	for _, l := range s.Leases {
		node, isNode := strings.CutPrefix(l.Name, nodeLease(""))
		if !isNode {
			continue
		}
		if effect, found := s.Effects[l.Name]; found && effect.Token == l.Token {
			addresses[node] = string(effect.Value)
		}
	}
	return addresses
}

// Metrics returns the cluster's metrics as this node sees them, by the names under which operators read them.
func (m *Member) Metrics() map[string]any {
	s := m.status()
	heldLeases := 0
	for _, l := range s.Leases {
		if l.Holder.Name == m.config.Node {
			heldLeases++
		}
	}
	boolToInt := map[bool]int{true: 1}
	metrics := map[string]any{"voter": boolToInt[s.Voter], "view_ms": s.LastContactMs, "leader": s.LeaderAddress}
	if s.Voter {
		metrics["entries"] = s.Entries
		metrics["rounds"] = s.QuorumRounds
		metrics["leads"] = boolToInt[s.IsLeader]
		metrics["reign"] = s.Term
		metrics["tokens"] = s.LastToken
		metrics["leases"] = len(s.Leases)
		metrics["held"] = heldLeases
	}
	m.addBudgetMetrics(metrics)
	return metrics
}
