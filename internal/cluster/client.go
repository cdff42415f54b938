package cluster

import (
	"errors"
	"fmt"
	"net/rpc"
	"net/rpc/jsonrpc"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	maxRedirects       = 4  // voters asked for one asking, as each names another as the leader
	callTimeoutFactor  = 6  // delays within which a call that doesn't wait has to be answered: a round to a majority is in it
	maxPendingRequests = 64 // askings of this process that are out
)

var errTooManyRequests = errors.New("too many askings of this process are out")

// Client asks the fleet's leader, over one connection that it keeps.
type Client struct {
	config *config.Cluster
	dialer transport.Dialer
	log    *zap.Logger

	slots        chan struct{}
	mu           sync.Mutex
	conn         *rpc.Client
	pendingCalls map[*rpc.Client]int // calls by connection: by the one that is kept, and by those that were dropped with calls out
	address      string              // whom the one that is kept leads to
	nextVoter    int                 // the voter to try, where nobody is known to lead
	lastResponse time.Duration
	claimants    int64
}

// NewClient makes one; nothing is opened before it is asked something.
func NewClient(f *config.Cluster, log *zap.Logger) *Client {
	return &Client{config: f, dialer: transport.Dialer{Cluster: f.Name, Node: f.Node, Routes: f.Routes}, log: log, slots: make(chan struct{}, maxPendingRequests),
		pendingCalls: map[*rpc.Client]int{}}
}

// Close lets the connection go.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// dropConn gives the connection up, if it is still this one, and goes elsewhere next. Other askings may be out on it and get their
// answers yet, so it is closed with the last of them; not later, since it takes the place of another node's at a voter.
func (c *Client) dropConn(conn *rpc.Client, elsewhere string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn {
		return
	}
	c.conn, c.address = nil, elsewhere
	if elsewhere == "" {
		c.nextVoter++
	}
	if c.pendingCalls[conn] == 0 {
		_ = conn.Close()
	}
}

// callDone says that a call on what line gave has ended.
func (c *Client) callDone(conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingCalls[conn]--; c.pendingCalls[conn] > 0 {
		return
	}
	delete(c.pendingCalls, conn)
	if c.conn != conn {
		_ = conn.Close()
	}
}

// connection gives the connection, opened if need be, for one call; over is told of its end.
func (c *Client) connection() (*rpc.Client, string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.pendingCalls[c.conn]++
		return c.conn, c.address, nil
	}
	if c.address == "" {
		c.address = c.config.Voters[c.nextVoter%len(c.config.Voters)].Address
	}
	n, err := c.dialer.Dial(c.address, transport.PurposeRPC, "", c.callTimeout())
	if err != nil {
		at := c.address
		c.address = ""
		c.nextVoter++
		return nil, "", fmt.Errorf("%s: %w", at, err)
	}
	c.conn = jsonrpc.NewClient(n)
	c.pendingCalls[c.conn]++
	return c.conn, c.address, nil
}

func (c *Client) callTimeout() time.Duration { return callTimeoutFactor * c.config.MaxDelay }

// call makes one call on a connection; who doesn't answer in time loses it, since the connection may lead nowhere.
func call(conn *rpc.Client, method string, args, reply any, within time.Duration) error {
	done := conn.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case x := <-done:
		return x.Error
	case <-late.C:
		_ = conn.Close()
		<-done // the reply is written to no more
		return errors.New("no answer in time")
	}
}

// callAddressWithin makes one call to a given address, on a connection of its own.
func (c *Client) callAddressWithin(address, method string, args, reply any, within time.Duration) error {
	n, err := c.dialer.Dial(address, transport.PurposeRPC, "", c.callTimeout())
	if err != nil {
		return err
	}
	conn := jsonrpc.NewClient(n)
	defer conn.Close()
	return call(conn, method, args, reply, within)
}

func (c *Client) callAddress(address, method string, args, reply any) error {
	return c.callAddressWithin(address, method, args, reply, c.callTimeout())
}

// lastLeader tells whom the last answer named as the leader, and how long ago it came; -1: none ever did.
func (c *Client) lastLeader() (leader string, agoMs int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastResponse == 0 {
		return c.address, -1
	}
	return c.address, (bootTime() - c.lastResponse).Milliseconds()
}

// send brings one asking to the leader, wherever that is. An error says that nobody knows whether it was heard.
func (c *Client) send(a lease.Request) (lease.Response, error) {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	default:
		return lease.Response{}, errTooManyRequests
	}
	args := &LeaseRequest{Kind: a.Operation, Name: a.Name, Effect: a.Effect, Holder: a.Holder, Token: a.Token, Number: a.Number,
		Wait: uint64(a.Wait), Value: a.Value}
	for range maxRedirects {
		conn, at, err := c.connection()
		if err != nil {
			return lease.Response{}, err
		}
		var x LeaseResponse
		err = call(conn, "Fleet.Ask", args, &x, toDuration(a.Wait)+c.callTimeout())
		c.callDone(conn)
		if err != nil {
			c.dropConn(conn, "")
			return lease.Response{}, err
		}
		got := lease.Response{Token: x.Token, Holder: x.Holder, Duration: lease.Time(x.Duration), Err: x.Error.toError()}
		if !errors.Is(got.Err, lease.ErrNotLeader) {
			c.mu.Lock()
			c.lastResponse = bootTime()
			c.mu.Unlock()
			return got, nil
		}
		if x.Leader == at || x.Leader == "" { // it leads, but can't show it, or knows of none
			c.dropConn(conn, "")
			return got, nil
		}
		c.dropConn(conn, x.Leader)
	}
	return lease.Response{Err: lease.ErrNotLeader}, nil
}

// CallLeader makes one call to the leader, found by asking the voters; for operators.
func (c *Client) CallLeader(method string, args, reply any, within time.Duration) error {
	var faults []error
	var asked []string
	next := c.addresses()
	for len(next) > 0 {
		at := next[0]
		next = next[1:]
		if slices.Contains(asked, at) {
			continue
		}
		asked = append(asked, at)
		var s Status
		if err := c.callAddress(at, "Fleet.Status", &struct{}{}, &s); err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", at, err))
			continue
		}
		if s.Voter && s.Leader == s.ID && s.ID != "" {
			return c.callAddressWithin(at, method, args, reply, within)
		}
		if s.LeaderAddress != "" {
			next = append([]string{s.LeaderAddress}, next...)
		}
	}
	return errors.Join(append(faults, errors.New("no voter leads, or none that leads can be reached"))...)
}

func (c *Client) addresses() (all []string) {
	for _, v := range c.config.Voters {
		all = append(all, v.Address)
	}
	return all
}

// Status asks the leader how the fleet is.
func (c *Client) Status() (s Status, err error) {
	return s, c.CallLeader("Fleet.Status", &struct{}{}, &s, c.callTimeout())
}

// Watch waits for a change after a revision of the log, half a minute at most, and tells how the fleet is then.
func (c *Client) Watch(after uint64) (s Status, err error) {
	return s, c.CallLeader("Fleet.Watch", &after, &s, maxWatchDuration+c.callTimeout())
}

// FoundCluster begins a fleet with the voters of the configuration. It changes nothing where one of them can't be reached, or has
// been in a fleet.
func (c *Client) FoundCluster(after uint64) error {
	var all []VoterInfo
	begun := 0 // of them, by a founding that was not brought to its end
	for _, v := range c.config.Voters {
		var s Status
		if err := c.callAddress(v.Address, "Fleet.Status", &struct{}{}, &s); err != nil {
			return fmt.Errorf("fleet.voters: %s at %s: %w", v.Name, v.Address, err)
		}
		switch {
		case s.Node != v.Name:
			return fmt.Errorf("fleet.voters: %s is node %q, not %q", v.Address, s.Node, v.Name)
		case s.ID == "":
			return fmt.Errorf("fleet.voters: %s can't vote: %s", v.Name, s.VoterError)
		case !s.New && s.Cluster == "" && len(s.Voters) == len(c.config.Voters):
			begun++
		case !s.New:
			return fmt.Errorf("fleet.voters: %s has voted before: %w", v.Name, lease.ErrAlreadyFounded)
		}
		all = append(all, VoterInfo{s.ID, v.Address})
	}
	if begun == 0 {
		if err := c.callAddress(all[0].Address, "Fleet.Bootstrap", &BootstrapRequest{Voters: all}, &struct{}{}); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20*c.callTimeout() + 4*c.config.Lease); ; time.Sleep(c.config.MaxDelay) {
		err := c.CallLeader("Fleet.Found", &BootstrapRequest{LastToken: after}, &struct{}{}, c.callTimeout())
		if err == nil || strings.Contains(err.Error(), lease.ErrAlreadyFounded.Error()) {
			return nil
		}
		if time.Now().After(end) {
			return err
		}
	}
}

// Release takes a lease from whoever holds it with this token.
func (c *Client) Release(name string, token uint64) error {
	s, err := c.Status()
	if err != nil {
		return err
	}
	for _, l := range s.Leases {
		if l.Name == name && l.Token == token {
			x, err := c.send(lease.Request{Operation: lease.OpRelease, Name: name, Holder: l.Holder, Token: token})
			return errors.Join(err, x.Err)
		}
	}
	return lease.ErrLeaseExpired
}

// Change adds or removes a voter.
func (c *Client) Change(x MembershipChange) (id string, err error) {
	return id, c.CallLeader("Fleet.Change", &x, &id, membershipTimeout+c.callTimeout())
}

// nextStart tells this process from all others, and each of its claims from the others.
func (c *Client) nextStart() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claimants++
	return processStart.UnixMilli()*1000 + c.claimants
}

var processStart = time.Now()
