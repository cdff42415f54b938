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

	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	callsMost  = 256 // out on one connection; beyond, nothing more is read from it
	watchMost  = 30 * time.Second
	changeMost = 10 * time.Second
)

// The calls' arguments and answers, as they stand on the wire.

// Asked is an asking of a lease.
type Asked struct {
	Kind   string       `json:"Kind"`
	Name   string       `json:"Name"`
	Fact   string       `json:"Fact"`
	Holder lease.Holder `json:"Holder"`
	Token  uint64       `json:"Token"`
	Number uint64       `json:"Number"`
	Wait   uint64       `json:"Wait"`
	Value  []byte       `json:"Value"`
}

// Answered is what came of it. Leader is where to ask instead.
type Answered struct {
	Token   uint64       `json:"Token"`
	Holder  lease.Holder `json:"Holder"`
	Length  int64        `json:"Length"`
	Refusal refusal      `json:"Refusal"`
	Leader  string       `json:"Leader"`
}

// Status is how the fleet looks from one of its nodes.
type Status struct {
	Node     string                 `json:"Node"`
	ID       string                 `json:"ID"`
	Voter    bool                   `json:"Voter"`
	Broken   string                 `json:"Broken"` // why it is no voter, though it has a folder
	Leader   string                 `json:"Leader"` // name or id, empty: none is known
	At       string                 `json:"At"`     // the leader's address
	Leads    bool                   `json:"Leads"`
	Reign    uint64                 `json:"Reign"`
	ViewMs   int64                  `json:"ViewMs"` // since the last entry or word of the leader, -1: never
	Fleet    string                 `json:"Fleet"`
	Tokens   uint64                 `json:"Tokens"`
	Voters   []Member               `json:"Voters"`
	Leases   []Held                 `json:"Leases"`
	Facts    map[string]lease.Fact  `json:"Facts"`
	Entries  int                    `json:"Entries"` // applied, since the start
	Rounds   int                    `json:"Rounds"`  // to a majority, since the start
	New      bool                   `json:"New"`
	Revision uint64                 `json:"Revision"` // of the log
	Budgets  map[string]BudgetState `json:"Budgets"`
}

// Member is a voter, as the members know it.
type Member struct {
	ID      string `json:"ID"`
	Address string `json:"Address"`
}

// Held is a lease. LeftMs is told by the leader alone.
type Held struct {
	Name    string       `json:"Name"`
	Holder  lease.Holder `json:"Holder"`
	Token   uint64       `json:"Token"`
	LeftMs  int64        `json:"LeftMs"`
	Waiting int          `json:"Waiting"`
}

// Change is an operator's word about voters.
type Change struct {
	Add     string `json:"Add"` // names
	Remove  string `json:"Remove"`
	Address string `json:"Address"`
}

// Founding begins a fleet.
type Founding struct {
	Voters []Member `json:"Voters"`
	After  uint64   `json:"After"` // the token before the first
}

// line is one fellow's connection.
type line struct {
	f    *Fellows
	gone chan struct{}
}

// codec bounds what is out on a connection, tells the porch of its calls, and notices its end.
type codec struct {
	rpc.ServerCodec
	in     *inbound
	places chan struct{}
	end    func()
}

func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	c.places <- struct{}{}
	err := c.ServerCodec.ReadRequestHeader(r)
	if err == nil {
		err = c.in.begin()
	}
	if err != nil {
		c.end()
	}
	return err
}

func (c *codec) WriteResponse(r *rpc.Response, x any) error {
	err := c.ServerCodec.WriteResponse(r, x)
	c.in.end(time.Now())
	<-c.places
	return err
}

// answer serves a connection until its end.
func (f *Fellows) answer(c *inbound) {
	l := &line{f: f, gone: make(chan struct{})}
	s := rpc.NewServer()
	if err := s.RegisterName("Fleet", l); err != nil {
		f.log.Sugar().Error(err)
		return
	}
	var once sync.Once
	s.ServeCodec(&codec{jsonrpc.NewServerCodec(struct {
		io.Reader
		io.Writer
		io.Closer
	}{c, c, c}), c, make(chan struct{}, callsMost), func() { once.Do(func() { close(l.gone) }) }})
}

// Ask is a claimant's call.
func (l *line) Ask(a *Asked, x *Answered) error {
	v := l.f.voter()
	got := lease.Answer{Err: lease.ErrNotLeader}
	if v != nil {
		got = v.ask(lease.Ask{Kind: a.Kind, Name: a.Name, Holder: a.Holder, Token: a.Token, Wait: lease.Time(a.Wait),
			Fact: a.Fact, Number: a.Number, Value: a.Value}, l.gone)
	}
	*x = Answered{Token: got.Token, Holder: got.Holder, Length: int64(got.Length), Refusal: refusalOf(got.Err)}
	if v != nil && errors.Is(got.Err, lease.ErrNotLeader) {
		_, x.Leader = v.leader()
	}
	return nil
}

// Status is anybody's call.
func (l *line) Status(_ *struct{}, s *Status) error {
	*s = l.f.status()
	return nil
}

// Watch waits until the log has gone beyond a revision that this voter knows, and tells the status then.
func (l *line) Watch(after *uint64, s *Status) error {
	v := l.f.voter()
	if v == nil {
		return errors.New("no voter: ask one of fleet.voters")
	}
	end := time.NewTimer(watchMost)
	defer end.Stop()
	for waiting := true; waiting; {
		v.mu.Lock()
		changed := v.changed
		v.mu.Unlock()
		if *s = l.f.status(); s.Revision > *after {
			return nil
		}
		select {
		case <-changed:
		case <-end.C:
			waiting = false
		case <-l.gone:
			waiting = false
		case <-v.stop:
			waiting = false
		}
	}
	return nil
}

// Figures tells a node's totals.
func (l *line) Figures(_ *struct{}, out *map[string]int64) error {
	*out = l.f.own.Figures()
	return nil
}

// Bootstrap makes this voter know the first voters of a fleet.
func (l *line) Bootstrap(c *Founding, _ *struct{}) error {
	v := l.f.voter()
	if v == nil {
		return errors.New("no voter: fleet.folder is not told or can't be used")
	}
	var servers []raft.Server
	for _, m := range c.Voters {
		servers = append(servers, raft.Server{ID: raft.ServerID(m.ID), Address: addressOf(m.ID, m.Address)})
	}
	return v.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
}

// Found brings the first entry to the log, at the leader.
func (l *line) Found(c *Founding, _ *struct{}) error {
	v := l.f.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	r, err := v.apply(lease.Entry{Kind: lease.Found, Name: v.fleet.Name, Number: c.After})
	if err != nil {
		return err
	}
	return r.Err
}

// Change adds or removes one voter, at the leader.
func (l *line) Change(c *Change, id *string) error {
	v := l.f.voter()
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
		return v.raft.RemoveServer(servers[at].ID, config.Index(), changeMost).Error()
	}
	if at := of(c.Add); at >= 0 {
		return fmt.Errorf("%s is a voter already, as %s: remove that one first", c.Add, servers[at].ID)
	}
	var s Status
	if err := l.f.client.once(c.Address, "Fleet.Status", &struct{}{}, &s); err != nil {
		return fmt.Errorf("%s: %w", c.Address, err)
	}
	switch {
	case s.Node != c.Add:
		return fmt.Errorf("%s is node %q, not %q", c.Address, s.Node, c.Add)
	case s.ID == "":
		return fmt.Errorf("%s can't vote: %s", c.Add, s.Broken)
	}
	*id = s.ID
	return v.raft.AddVoter(raft.ServerID(s.ID), addressOf(s.ID, c.Address), config.Index(), changeMost).Error()
}

// nodeOf gives a voter's node from its id.
func nodeOf(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[:i]
	}
	return id
}

// status tells how the fleet looks from here.
func (f *Fellows) status() Status {
	s := Status{Node: f.fleet.Node, ViewMs: -1}
	v := f.voter()
	f.mu.Lock()
	if f.broken != nil {
		s.Broken = f.broken.Error()
	}
	f.mu.Unlock()
	if v == nil {
		if s.Broken == "" {
			s.Broken = "fleet.folder is not told, so this node only asks"
		}
		s.At, s.ViewMs = f.client.heard()
		return s
	}
	s.Voter, s.ID = true, v.paper.ID
	s.Leader, s.At = v.leader()
	s.Revision = v.raft.AppliedIndex()
	s.New = v.raft.LastIndex() == 0
	for _, m := range v.raft.GetConfiguration().Configuration().Servers {
		at, _ := partsOf(m.Address)
		s.Voters = append(s.Voters, Member{string(m.ID), at})
	}
	if v.raft.State() == raft.Leader {
		s.ViewMs = 0
	} else if last := v.raft.LastContact(); !last.IsZero() {
		s.ViewMs = time.Since(last).Milliseconds()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ended != nil {
		s.Voter, s.ID, s.Broken = false, "", v.ended.Error()
	}
	s.Leads, s.Reign, s.Fleet, s.Tokens = v.keeper.Leads(), v.state.Reign, v.state.Fleet, v.state.Tokens
	s.Entries, s.Rounds = v.entries, v.rounds
	s.Facts = maps.Clone(v.state.Facts)
	s.Budgets = map[string]BudgetState{}
	for name, b := range v.state.Budgets {
		want, reserve := v.divider.Wants(name)
		s.Budgets[name] = BudgetState{*b.Clone(), want, reserve}
	}
	for _, name := range slices.Sorted(maps.Keys(v.state.Leases)) {
		l := v.state.Leases[name]
		h := Held{Name: name, Holder: l.Holder, Token: l.Token, LeftMs: -1}
		if s.Leads {
			end, waiting := v.keeper.Left(name)
			h.LeftMs, h.Waiting = max(0, span(end-now()).Milliseconds()), waiting
		}
		s.Leases = append(s.Leases, h)
	}
	return s
}

// Figures gives what operators see of the fleet from here.
func (f *Fellows) Figures() map[string]any {
	s := f.status()
	mine := 0
	for _, l := range s.Leases {
		if l.Holder.Name == f.fleet.Node {
			mine++
		}
	}
	flag := map[bool]int{true: 1}
	all := map[string]any{"voter": flag[s.Voter], "view_ms": s.ViewMs, "leader": s.At}
	if s.Voter {
		all["entries"], all["rounds"] = s.Entries, s.Rounds
		all["leads"], all["reign"], all["tokens"], all["leases"], all["held"] = flag[s.Leads], s.Reign, s.Tokens, len(s.Leases), mine
	}
	f.standings(all)
	return all
}
