package cluster

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/rpc"
	"net/rpc/jsonrpc"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	maxCallsPerConn   = 256 // out on one connection; beyond, nothing more is read from it
	maxWatchDuration  = 30 * time.Second
	membershipTimeout = 10 * time.Second
)

// The calls' arguments and answers, as they stand on the wire.

// LeaseRequest is an asking of a lease.
type LeaseRequest struct {
	Kind   string       `json:"Kind"`
	Name   string       `json:"Name"`
	Effect string       `json:"Fact"`
	Holder lease.Holder `json:"Holder"`
	Token  uint64       `json:"Token"`
	Number uint64       `json:"Number"`
	Wait   uint64       `json:"Wait"`
	Value  []byte       `json:"Value"`
}

// LeaseResponse is what came of it. Leader is where to ask instead.
type LeaseResponse struct {
	Token    uint64       `json:"Token"`
	Holder   lease.Holder `json:"Holder"`
	Duration int64        `json:"Length"`
	Error    wireError    `json:"Refusal"`
	Leader   string       `json:"Leader"`
}

// Status is how the fleet looks from one of its nodes.
type Status struct {
	Node          string                  `json:"Node"`
	ID            string                  `json:"ID"`
	Voter         bool                    `json:"Voter"`
	VoterError    string                  `json:"Broken"` // why it is no voter, though it has a folder
	Leader        string                  `json:"Leader"` // name or id, empty: none is known
	LeaderAddress string                  `json:"At"`     // the leader's address
	IsLeader      bool                    `json:"Leads"`
	Term          uint64                  `json:"Reign"`
	LastContactMs int64                   `json:"ViewMs"` // since the last entry or word of the leader, -1: never
	Cluster       string                  `json:"Fleet"`
	LastToken     uint64                  `json:"Tokens"`
	Voters        []VoterInfo             `json:"Voters"`
	Leases        []LeaseStatus           `json:"Leases"`
	Effects       map[string]lease.Effect `json:"Facts"`
	Entries       int                     `json:"Entries"` // applied, since the start
	QuorumRounds  int                     `json:"Rounds"`  // to a majority, since the start
	New           bool                    `json:"New"`
	Revision      uint64                  `json:"Revision"` // of the log
	Budgets       map[string]BudgetState  `json:"Budgets"`
}

// VoterInfo is a voter, as the members know it.
type VoterInfo struct {
	ID      string `json:"ID"`
	Address string `json:"Address"`
}

// LeaseStatus is a lease. LeftMs is told by the leader alone.
type LeaseStatus struct {
	Name        string       `json:"Name"`
	Holder      lease.Holder `json:"Holder"`
	Token       uint64       `json:"Token"`
	RemainingMs int64        `json:"LeftMs"`
	Waiting     int          `json:"Waiting"`
}

// MembershipChange is an operator's word about voters.
type MembershipChange struct {
	Add     string `json:"Add"` // names
	Remove  string `json:"Remove"`
	Address string `json:"Address"`
}

// BootstrapRequest begins a fleet.
type BootstrapRequest struct {
	Voters    []VoterInfo `json:"Voters"`
	LastToken uint64      `json:"After"` // the token before the first
}

// rpcService is one fellow's connection.
type rpcService struct {
	member       *Member
	disconnected chan struct{}
}

// limitedCodec bounds what is out on a connection, tells the listener of its calls, and notices its end.
type limitedCodec struct {
	rpc.ServerCodec
	conn         *transport.Conn
	slots        chan struct{}
	disconnected func()
}

func (c *limitedCodec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	err := c.ServerCodec.ReadRequestHeader(r)
	if err == nil {
		err = c.conn.BeginCall()
	}
	if err != nil {
		c.disconnected()
	}
	return err
}

func (c *limitedCodec) WriteResponse(r *rpc.Response, x any) error {
	err := c.ServerCodec.WriteResponse(r, x)
	c.conn.EndCall(time.Now())
	<-c.slots
	return err
}

// serveConn serves a connection until its end.
func (f *Member) serveConn(c *transport.Conn) {
	l := &rpcService{member: f, disconnected: make(chan struct{})}
	s := rpc.NewServer()
	if err := s.RegisterName("Fleet", l); err != nil {
		f.log.Sugar().Error(err)
		return
	}
	var once sync.Once
	s.ServeCodec(&limitedCodec{jsonrpc.NewServerCodec(struct {
		io.Reader
		io.Writer
		io.Closer
	}{c, c, c}), c, make(chan struct{}, maxCallsPerConn), func() { once.Do(func() { close(l.disconnected) }) }})
}

// Ask is a claimant's call.
func (l *rpcService) Ask(a *LeaseRequest, x *LeaseResponse) error {
	v := l.member.voter()
	got := lease.Response{Err: lease.ErrNotLeader}
	if v != nil {
		got = v.handleLeaseRequest(lease.Request{Operation: a.Kind, Name: a.Name, Holder: a.Holder, Token: a.Token, Wait: lease.Time(a.Wait),
			Effect: a.Effect, Number: a.Number, Value: a.Value}, l.disconnected)
	}
	*x = LeaseResponse{Token: got.Token, Holder: got.Holder, Duration: int64(got.Duration), Error: toWireError(got.Err)}
	if v != nil && errors.Is(got.Err, lease.ErrNotLeader) {
		_, x.Leader = v.leader()
	}
	return nil
}

// Status is anybody's call.
func (l *rpcService) Status(_ *struct{}, s *Status) error {
	*s = l.member.status()
	return nil
}

// Watch waits until the log has gone beyond a revision that this voter knows, and tells the status then.
func (l *rpcService) Watch(after *uint64, s *Status) error {
	v := l.member.voter()
	if v == nil {
		return errors.New("no voter: ask one of fleet.voters")
	}
	end := time.NewTimer(maxWatchDuration)
	defer end.Stop()
	for waiting := true; waiting; {
		v.mu.Lock()
		changed := v.changed
		v.mu.Unlock()
		if *s = l.member.status(); s.Revision > *after {
			return nil
		}
		select {
		case <-changed:
		case <-end.C:
			waiting = false
		case <-l.disconnected:
			waiting = false
		case <-v.stop:
			waiting = false
		}
	}
	return nil
}

// Figures tells a node's totals.
func (l *rpcService) Figures(_ *struct{}, out *map[string]int64) error {
	*out = l.member.node.Metrics()
	return nil
}

// Bootstrap makes this voter know the first voters of a fleet.
func (l *rpcService) Bootstrap(c *BootstrapRequest, _ *struct{}) error {
	v := l.member.voter()
	if v == nil {
		return errors.New("no voter: fleet.folder is not told or can't be used")
	}
	var servers []raft.Server
	for _, m := range c.Voters {
		servers = append(servers, raft.Server{ID: raft.ServerID(m.ID), Address: transport.RaftAddress(m.ID, m.Address)})
	}
	return v.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
}

// Found brings the first entry to the log, at the leader.
func (l *rpcService) Found(c *BootstrapRequest, _ *struct{}) error {
	v := l.member.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	r, err := v.propose(lease.Entry{Kind: lease.KindFoundCluster, Name: v.config.Name, Number: c.LastToken})
	if err != nil {
		return err
	}
	return r.Err
}

// Change adds or removes one voter, at the leader.
func (l *rpcService) Change(c *MembershipChange, id *string) error {
	v := l.member.voter()
	if v == nil || v.raft.State() != raft.Leader {
		return lease.ErrNotLeader
	}
	config := v.raft.GetConfiguration()
	if err := config.Error(); err != nil {
		return err
	}
	servers := config.Configuration().Servers
	of := func(name string) int {
		return slices.IndexFunc(servers, func(s raft.Server) bool { return nodeOf(string(s.ID)) == name || string(s.ID) == name })
	}
	if c.Remove != "" {
		at := of(c.Remove)
		if at < 0 {
			return fmt.Errorf("%s is no voter", c.Remove)
		}
		*id = string(servers[at].ID)
		return v.raft.RemoveServer(servers[at].ID, config.Index(), membershipTimeout).Error()
	}
	if at := of(c.Add); at >= 0 {
		return fmt.Errorf("%s is a voter already, as %s: remove that one first", c.Add, servers[at].ID)
	}
	var s Status
	if err := l.member.client.callAddress(c.Address, "Fleet.Status", &struct{}{}, &s); err != nil {
		return fmt.Errorf("%s: %w", c.Address, err)
	}
	switch {
	case s.Node != c.Add:
		return fmt.Errorf("%s is node %q, not %q", c.Address, s.Node, c.Add)
	case s.ID == "":
		return fmt.Errorf("%s can't vote: %s", c.Add, s.VoterError)
	}
	*id = s.ID
	return v.raft.AddVoter(raft.ServerID(s.ID), transport.RaftAddress(s.ID, c.Address), config.Index(), membershipTimeout).Error()
}

// nodeOf gives a voter's node from its id.
func nodeOf(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[:i]
	}
	return id
}

// status tells how the fleet looks from here.
func (f *Member) status() Status {
	s := Status{Node: f.config.Node, LastContactMs: -1}
	v := f.voter()
	f.mu.Lock()
	if f.voterError != nil {
		s.VoterError = f.voterError.Error()
	}
	f.mu.Unlock()
	if v == nil {
		if s.VoterError == "" {
			s.VoterError = "fleet.folder is not told, so this node only asks"
		}
		s.LeaderAddress, s.LastContactMs = f.client.lastLeader()
		return s
	}
	s.Voter, s.ID = true, v.identity.ID
	s.Leader, s.LeaderAddress = v.leader()
	s.Revision = v.raft.AppliedIndex()
	s.New = v.raft.LastIndex() == 0
	for _, m := range v.raft.GetConfiguration().Configuration().Servers {
		at, _ := transport.SplitRaftAddress(m.Address)
		s.Voters = append(s.Voters, VoterInfo{string(m.ID), at})
	}
	if v.raft.State() == raft.Leader {
		s.LastContactMs = 0
	} else if last := v.raft.LastContact(); !last.IsZero() {
		s.LastContactMs = time.Since(last).Milliseconds()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.endReason != nil {
		s.Voter, s.ID, s.VoterError = false, "", v.endReason.Error()
	}
	s.IsLeader, s.Term, s.Cluster, s.LastToken = v.leases.IsLeader(), v.state.Term, v.state.Cluster, v.state.LastToken
	s.Entries, s.QuorumRounds = v.entries, v.rounds
	s.Effects = maps.Clone(v.state.Effects)
	s.Budgets = map[string]BudgetState{}
	for name, b := range v.state.Budgets {
		want, reserve := v.allocator.Demand(name)
		s.Budgets[name] = BudgetState{*b.Clone(), want, reserve}
	}
	for _, name := range slices.Sorted(maps.Keys(v.state.Leases)) {
		l := v.state.Leases[name]
		h := LeaseStatus{Name: name, Holder: l.Holder, Token: l.Token, RemainingMs: -1}
		if s.IsLeader {
			end, waiting := v.leases.Expiry(name)
			h.RemainingMs, h.Waiting = max(0, toDuration(end-now()).Milliseconds()), waiting
		}
		s.Leases = append(s.Leases, h)
	}
	return s
}

// Metrics gives what operators see of the fleet from here.
func (f *Member) Metrics() map[string]any {
	s := f.status()
	mine := 0
	for _, l := range s.Leases {
		if l.Holder.Name == f.config.Node {
			mine++
		}
	}
	flag := map[bool]int{true: 1}
	all := map[string]any{"voter": flag[s.Voter], "view_ms": s.LastContactMs, "leader": s.LeaderAddress}
	if s.Voter {
		all["entries"], all["rounds"] = s.Entries, s.QuorumRounds
		all["leads"], all["reign"], all["tokens"], all["leases"], all["held"] = flag[s.IsLeader], s.Term, s.LastToken, len(s.Leases), mine
	}
	f.addBudgetMetrics(all)
	return all
}
