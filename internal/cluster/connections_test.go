package cluster

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"net/rpc/jsonrpc"
	"os"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/lease"
)

// slowNode is a node whose metrics wait until the test lets them go.
type slowNode struct {
	stubNode
	asked chan struct{}
	told  chan struct{}
}

func (s slowNode) Metrics() map[string]int64 {
	s.asked <- struct{}{}
	<-s.told
	return s.stubNode
}

// metricsListener is a listener that answers calls about metrics.
func metricsListener(t *testing.T, limit int, minIdle time.Duration, own LocalNode) (p *transport.Listener, d transport.Dialer, at string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p = transport.NewListener(l, transport.ListenerConfig{Cluster: "f", MaxConnections: limit, MinIdle: minIdle, HelloTimeout: 5 * time.Second,
		VoterID: func() string { return "v" }, ServeRPC: (&Member{node: own}).serveConn})
	go p.Serve()
	t.Cleanup(p.Close)
	return p, transport.Dialer{Cluster: "f", Node: "n"}, l.Addr().String()
}

// After a stall each node has a connection that it no longer uses beside its new one. With a limit of one for each node, all get
// their calls through, and the limit holds.
func TestANodesOldConnectionIsEvictedForANewOne(t *testing.T) {
	const nodes = 40
	p, d, at := metricsListener(t, nodes, 20*time.Millisecond, stubNode{"resolved": 7})
	var mu sync.Mutex
	var opened []*rpc.Client
	defer func() {
		for _, c := range opened {
			_ = c.Close()
		}
	}()
	for round := range 3 { // a node reconnects more than once
		var all sync.WaitGroup
		for node := range nodes {
			all.Go(func() {
				var err error
				for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
					var c net.Conn
					if c, err = d.Dial(at, transport.PurposeRPC, "", 5*time.Second); err != nil {
						continue
					}
					conn, got := jsonrpc.NewClient(c), map[string]int64{}
					mu.Lock()
					opened = append(opened, conn) // none is closed from here
					mu.Unlock()
					if err = call(conn, "Fleet.Figures", &struct{}{}, &got, 5*time.Second); err == nil && got["resolved"] == 7 {
						return
					}
				}
				t.Errorf("round %d: node %d did not get its call through: %v", round, node, err)
			})
		}
		over := make(chan struct{})
		go func() { all.Wait(); close(over) }()
		for waits := true; waits; {
			select {
			case <-over:
				waits = false
			case <-time.After(time.Millisecond):
			}
			if open, idle := p.Connections(); open > nodes || idle > open {
				t.Fatalf("%d connections are open, %d of them idle, over %d", open, idle, nodes)
			}
		}
		if t.Failed() {
			return
		}
	}
}

// A connection with a call in progress isn't evicted, nor one for consensus, nor a voter's for its quorum rounds, however long
// each has been so. Where there are no others a further one is closed at once.
func TestAConnectionInUseIsNotEvicted(t *testing.T) {
	s := slowNode{stubNode{"resolved": 7}, make(chan struct{}), make(chan struct{})}
	p, d, at := metricsListener(t, 4, time.Millisecond, s)
	dial := func(purpose, to string) net.Conn {
		t.Helper()
		c, err := d.Dial(at, purpose, to, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	asking := func(c net.Conn) <-chan error {
		over := make(chan error, 1)
		go func() {
			conn, got := jsonrpc.NewClient(c), map[string]int64{}
			err := conn.Call("Fleet.Figures", &struct{}{}, &got)
			if err == nil && got["resolved"] != 7 {
				err = fmt.Errorf("%v", got)
			}
			over <- err
		}()
		<-s.asked
		return over
	}
	votes := dial(transport.PurposeRaft, "v")
	vote, err := transport.NewStreamLayer(p, d, "").Accept()
	if err != nil {
		t.Fatal(err)
	}
	round := dial(transport.PurposeRPC, "v")
	first := asking(dial(transport.PurposeRPC, ""))
	idle := dial(transport.PurposeRPC, "")
	eventually(t, "it is not idle", func() bool { _, idle := p.Connections(); return idle == 1 })
	time.Sleep(5 * time.Millisecond)
	second := asking(dial(transport.PurposeRPC, "")) // evicts idle
	_ = idle.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := idle.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the idle one was not evicted: %v", err)
	}
	for range 20 {
		time.Sleep(2 * time.Millisecond)
		if c, err := d.Dial(at, transport.PurposeRPC, "", 5*time.Second); err == nil {
			_ = c.Close()
			t.Fatal("a connection in use was evicted")
		}
	}
	close(s.told)
	for _, over := range []<-chan error{first, second} {
		if err := <-over; err != nil {
			t.Errorf("a call in progress: %v", err)
		}
	}
	if _, err := vote.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	_ = votes.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := votes.Read(make([]byte, 1)); err != nil {
		t.Errorf("the connection for consensus: %v", err)
	}
	go func() { <-s.asked }()
	var got map[string]int64
	if err := jsonrpc.NewClient(round).Call("Fleet.Figures", &struct{}{}, &got); err != nil {
		t.Errorf("the voter's for its quorum rounds: %v", err)
	}
}

// countingVoter stands for a voter: it names the leader, or grants a token, and lets one request wait.
type countingVoter struct {
	leader      string // empty: it leads itself
	asked, told chan struct{}
}

func (v *countingVoter) Ask(a *LeaseRequest, x *LeaseResponse) error {
	switch {
	case a.Name == "slow":
		v.asked <- struct{}{}
		<-v.told
		x.Token = 2
	case v.leader != "":
		*x = LeaseResponse{Error: toWireError(lease.ErrNotLeader), Leader: v.leader}
	default:
		x.Token = 1
	}
	return nil
}

// A connection that leads to no leader is closed with the last call on it, which gets its response, and not half a lease later.
func TestADroppedConnectionIsClosedWithItsLastCall(t *testing.T) {
	serve := func(v *countingVoter) (p *transport.Listener, at string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p = transport.NewListener(l, transport.ListenerConfig{Cluster: "f", MaxConnections: 8, MinIdle: time.Minute, HelloTimeout: 5 * time.Second,
			VoterID: func() string { return "" },
			ServeRPC: func(c *transport.Conn) {
				s := rpc.NewServer()
				_ = s.RegisterName("Fleet", v)
				s.ServeCodec(jsonrpc.NewServerCodec(c))
			}})
		go p.Serve()
		t.Cleanup(p.Close)
		return p, l.Addr().String()
	}
	leads, at := serve(&countingVoter{})
	v := &countingVoter{at, make(chan struct{}), make(chan struct{})}
	other, otherAt := serve(v)
	c := NewClient(&config.Cluster{Name: "f", Node: "n", Lease: 10 * time.Minute, MaxDelay: 10 * time.Second,
		Voters: []config.Voter{{Name: "a", Address: otherAt}}}, zap.NewNop())
	defer c.Close()
	over := make(chan string, 1)
	go func() {
		x, err := c.send(lease.Request{Name: "slow"})
		over <- fmt.Sprint(x.Token, err, x.Err)
	}()
	<-v.asked
	for range 3 {
		if x, err := c.send(lease.Request{Name: "n"}); err != nil || x.Err != nil || x.Token != 1 {
			t.Fatalf("%+v, %v", x, err)
		}
	}
	if here, _ := leads.Connections(); here != 1 {
		t.Errorf("%d connections to the leader", here)
	}
	if there, _ := other.Connections(); there != 1 {
		t.Errorf("%d connections to the other, by which a call is pending", there)
	}
	close(v.told)
	if got := <-over; got != "2 <nil> <nil>" {
		t.Errorf("the call on what was dropped: %s", got)
	}
	eventually(t, "the other's connection stays", func() bool { there, _ := other.Connections(); return there == 0 })
	if x, err := c.send(lease.Request{Name: "n"}); err != nil || x.Token != 1 {
		t.Errorf("%+v, %v", x, err)
	}
	if here, _ := leads.Connections(); here != 1 || len(c.pendingCalls) != 0 {
		t.Errorf("%d connections to the leader, pending calls: %v", here, c.pendingCalls)
	}
	c.dropConn(c.conn, "") // with none pending
	eventually(t, "the leader's connection stays", func() bool { here, _ := leads.Connections(); return here == 0 })
}
