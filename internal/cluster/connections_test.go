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

// slowNode is a node whose Metrics method reports its call and blocks until the test closes release.
type slowNode struct {
	stubNode
	called  chan struct{}
	release chan struct{}
}

func (s slowNode) Metrics() map[string]int64 {
	s.called <- struct{}{}
	<-s.release
	return s.stubNode
}

// metricsListener starts a listener that serves the RPC calls of a node.
func metricsListener(t *testing.T, limit int, minIdle time.Duration, node LocalNode) (listener *transport.Listener, dialer transport.Dialer, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener = transport.NewListener(l, transport.ListenerConfig{Cluster: "f", MaxConnections: limit, MinIdle: minIdle, HelloTimeout: 5 * time.Second,
		VoterID: func() string { return "v" }, ServeRPC: (&Member{node: node}).serveConn})
	go listener.Serve()
	t.Cleanup(listener.Close)
	return listener, transport.Dialer{Cluster: "f", Node: "n"}, l.Addr().String()
}

// After a stall each node has an unused old connection besides its new one. With a limit of one connection per node, the calls of
// all nodes have to succeed, and the number of connections may not exceed the limit.
func TestIdleConnectionEvictedForNewOne(t *testing.T) {
	const nodes = 40
	listener, dialer, address := metricsListener(t, nodes, 20*time.Millisecond, stubNode{"resolved": 7})
	var mu sync.Mutex
	var opened []*rpc.Client
	defer func() {
		for _, c := range opened {
			_ = c.Close()
		}
	}()
	for round := range 3 { // nodes reconnect more than once
		var callers sync.WaitGroup
		for node := range nodes {
			callers.Go(func() {
				var err error
				for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
					var c net.Conn
					if c, err = dialer.Dial(address, transport.PurposeRPC, "", 5*time.Second); err != nil {
						continue
					}
					conn, metrics := jsonrpc.NewClient(c), map[string]int64{}
					mu.Lock()
					opened = append(opened, conn) // the client closes none of them before the end of the test
					mu.Unlock()
					if err = call(conn, "Fleet.Figures", &struct{}{}, &metrics, 5*time.Second); err == nil && metrics["resolved"] == 7 {
						return
					}
				}
				t.Errorf("round %d: call of node %d failed: %v", round, node, err)
			})
		}
		done := make(chan struct{})
		go func() { callers.Wait(); close(done) }()
		for waiting := true; waiting; {
			select {
			case <-done:
				waiting = false
			case <-time.After(time.Millisecond):
			}
			if open, idleCount := listener.Connections(); open > nodes || idleCount > open {
				t.Fatalf("%d connections open, %d of them idle, limit %d", open, idleCount, nodes)
			}
		}
		if t.Failed() {
			return
		}
	}
}

// Connections with a call in progress, connections for consensus and a voter's connections for quorum rounds are never evicted,
// however long they are idle or in use. If all connections are of these kinds, a further connection is closed at once.
func TestConnectionInUseNotEvicted(t *testing.T) {
	node := slowNode{stubNode{"resolved": 7}, make(chan struct{}), make(chan struct{})}
	listener, dialer, address := metricsListener(t, 4, time.Millisecond, node)
	dial := func(purpose, voterID string) net.Conn {
		t.Helper()
		c, err := dialer.Dial(address, purpose, voterID, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	startCall := func(c net.Conn) <-chan error {
		result := make(chan error, 1)
		go func() {
			conn, metrics := jsonrpc.NewClient(c), map[string]int64{}
			err := conn.Call("Fleet.Figures", &struct{}{}, &metrics)
			if err == nil && metrics["resolved"] != 7 {
				err = fmt.Errorf("%v", metrics)
			}
			result <- err
		}()
		<-node.called
		return result
	}
	raftConn := dial(transport.PurposeRaft, "v")
	acceptedRaftConn, err := transport.NewStreamLayer(listener, dialer, "").Accept()
	if err != nil {
		t.Fatal(err)
	}
	voterConn := dial(transport.PurposeRPC, "v")
	firstCall := startCall(dial(transport.PurposeRPC, ""))
	idleConn := dial(transport.PurposeRPC, "")
	eventually(t, "connection is not idle", func() bool { _, idleCount := listener.Connections(); return idleCount == 1 })
	time.Sleep(5 * time.Millisecond)
	secondCall := startCall(dial(transport.PurposeRPC, "")) // evicts idleConn
	_ = idleConn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := idleConn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("idle connection was not evicted: %v", err)
	}
	for range 20 {
		time.Sleep(2 * time.Millisecond)
		if c, err := dialer.Dial(address, transport.PurposeRPC, "", 5*time.Second); err == nil {
			_ = c.Close()
			t.Fatal("a connection in use was evicted for a new one")
		}
	}
	close(node.release)
	for _, result := range []<-chan error{firstCall, secondCall} {
		if err := <-result; err != nil {
			t.Errorf("call in progress failed: %v", err)
		}
	}
	if _, err := acceptedRaftConn.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	_ = raftConn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := raftConn.Read(make([]byte, 1)); err != nil {
		t.Errorf("connection for consensus failed: %v", err)
	}
	go func() { <-node.called }()
	var metrics map[string]int64
	if err := jsonrpc.NewClient(voterConn).Call("Fleet.Figures", &struct{}{}, &metrics); err != nil {
		t.Errorf("voter's connection for quorum rounds failed: %v", err)
	}
}

// stubVoter is the RPC service of a voter. It names the leader or grants a token, and blocks the request named slow until the
// test closes release.
type stubVoter struct {
	leader          string // address; empty if this voter is the leader
	called, release chan struct{}
}

func (v *stubVoter) Ask(request *LeaseRequest, reply *LeaseResponse) error {
	switch {
	case request.Name == "slow":
		v.called <- struct{}{}
		<-v.release
		reply.Token = 2
	case v.leader != "":
		*reply = LeaseResponse{Error: toWireError(lease.ErrNotLeader), Leader: v.leader}
	default:
		reply.Token = 1
	}
	return nil
}

// A client drops a connection to a voter that isn't the leader. The connection has to stay open until its last pending call gets
// the response, and has to be closed then, not half a lease later.
func TestDroppedConnectionClosedAfterLastCall(t *testing.T) {
	serve := func(voter *stubVoter) (listener *transport.Listener, address string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener = transport.NewListener(l, transport.ListenerConfig{Cluster: "f", MaxConnections: 8, MinIdle: time.Minute, HelloTimeout: 5 * time.Second,
			VoterID: func() string { return "" },
			ServeRPC: func(c *transport.Conn) {
				s := rpc.NewServer()
				_ = s.RegisterName("Fleet", voter)
				s.ServeCodec(jsonrpc.NewServerCodec(c))
			}})
		go listener.Serve()
		t.Cleanup(listener.Close)
		return listener, l.Addr().String()
	}
	leaderListener, leaderAddress := serve(&stubVoter{})
	follower := &stubVoter{leaderAddress, make(chan struct{}), make(chan struct{})}
	followerListener, followerAddress := serve(follower)
	c := NewClient(&config.Cluster{Name: "f", Node: "n", Lease: 10 * time.Minute, MaxDelay: 10 * time.Second,
		Voters: []config.Voter{{Name: "a", Address: followerAddress}}}, zap.NewNop())
	defer c.Close()
	result := make(chan string, 1)
	go func() {
		response, err := c.send(lease.Request{Name: "slow"})
		result <- fmt.Sprint(response.Token, err, response.Err)
	}()
	<-follower.called
	for range 3 {
		if response, err := c.send(lease.Request{Name: "n"}); err != nil || response.Err != nil || response.Token != 1 {
			t.Fatalf("%+v, %v", response, err)
		}
	}
	if leaderConns, _ := leaderListener.Connections(); leaderConns != 1 {
		t.Errorf("%d connections to the leader, want 1", leaderConns)
	}
	if followerConns, _ := followerListener.Connections(); followerConns != 1 {
		t.Errorf("%d connections to the follower while a call is pending, want 1", followerConns)
	}
	close(follower.release)
	if got := <-result; got != "2 <nil> <nil>" {
		t.Errorf("call on the dropped connection: %s", got)
	}
	eventually(t, "the connection to the follower is not closed", func() bool { followerConns, _ := followerListener.Connections(); return followerConns == 0 })
	if response, err := c.send(lease.Request{Name: "n"}); err != nil || response.Token != 1 {
		t.Errorf("%+v, %v", response, err)
	}
	if leaderConns, _ := leaderListener.Connections(); leaderConns != 1 || len(c.pendingCalls) != 0 {
		t.Errorf("%d connections to the leader, want 1; pending calls %v, want none", leaderConns, c.pendingCalls)
	}
	c.dropConn(c.conn, "") // without pending calls
	eventually(t, "the connection to the leader is not closed", func() bool { leaderConns, _ := leaderListener.Connections(); return leaderConns == 0 })
}
