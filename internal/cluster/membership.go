package cluster

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/lease"
)

// membershipTimeout is the time within which an operator's change has to be committed.
const membershipTimeout = 10 * time.Second

// Bootstrap writes the first voters of a new cluster to this voter's log.
func (s *rpcService) Bootstrap(request *BootstrapRequest, _ *struct{}) error {
	v := s.member.voter()
	if v == nil {
		return errNoVoter
	}
	var servers []raft.Server
	for _, info := range request.Voters {
		servers = append(servers, raftServer(info))
	}
	return v.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
}

func raftServer(info VoterInfo) raft.Server {
	return raft.Server{ID: raft.ServerID(info.ID), Address: transport.RaftAddress(info.ID, info.Address)}
}

// Found commits the entry that founds the cluster. Only the leader serves it.
func (s *rpcService) Found(request *BootstrapRequest, _ *struct{}) error {
	v := s.member.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	result, err := v.propose(lease.Entry{Kind: lease.KindFoundCluster, Name: v.config.Name, Number: request.LastToken})
	if err != nil {
		return err
	}
	return result.Err
}

// Change adds or removes one voter, and returns the voter's id. Only the leader serves it.
func (s *rpcService) Change(change *MembershipChange, id *string) error {
	v := s.member.voter()
	if v == nil || v.raft.State() != raft.Leader {
		return lease.ErrNotLeader
	}
	configuration := v.raft.GetConfiguration()
	if err := configuration.Error(); err != nil {
		return err
	}
	var err error
	if change.Remove != "" {
		*id, err = v.removeVoter(configuration, change.Remove)
	} else {
		*id, err = s.addVoter(v, configuration, change)
	}
	return err
}

// removeVoter removes a voter by its node's name or its id.
func (v *Voter) removeVoter(configuration raft.ConfigurationFuture, name string) (id string, err error) {
	servers := configuration.Configuration().Servers
	index := indexOfVoter(servers, name)
	if index < 0 {
		return "", fmt.Errorf("%s is no voter", name)
	}
	server := servers[index].ID
	return string(server), v.raft.RemoveServer(server, configuration.Index(), membershipTimeout).Error()
}

// addVoter adds the voter of a node, after asking the node for the voter's id.
func (s *rpcService) addVoter(v *Voter, configuration raft.ConfigurationFuture, change *MembershipChange) (id string, err error) {
	servers := configuration.Configuration().Servers
	if index := indexOfVoter(servers, change.Add); index >= 0 {
		return "", fmt.Errorf("%s is a voter already, as %s: remove that one first", change.Add, servers[index].ID)
	}
	var status Status
	if err := s.member.client.callAddress(change.Address, methodStatus, &struct{}{}, &status); err != nil {
		return "", fmt.Errorf("%s: %w", change.Address, err)
	}
	switch {
	case status.Node != change.Add:
		return "", fmt.Errorf("%s is node %q, not %q", change.Address, status.Node, change.Add)
	case status.ID == "":
		return "", fmt.Errorf("%s can't vote: %s", change.Add, status.VoterError)
	}
	server := raftServer(VoterInfo{ID: status.ID, Address: change.Address})
	return status.ID, v.raft.AddVoter(server.ID, server.Address, configuration.Index(), membershipTimeout).Error()
}

// indexOfVoter returns the index of the voter with the given node name or id, or -1.
func indexOfVoter(servers []raft.Server, name string) int {
	return slices.IndexFunc(servers, func(s raft.Server) bool { return nodeName(string(s.ID)) == name || string(s.ID) == name })
}

// nodeName returns the node name that a voter's id contains.
func nodeName(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[:i]
	}
	return id
}
