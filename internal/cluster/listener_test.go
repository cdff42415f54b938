package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"net/rpc/jsonrpc"
	"os"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/lease"
)

// Fellows hold no more connections than their part of the descriptors: the next is closed, and finds a place once one has gone.
func TestFellowsStayWithinTheirPart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const most = 3
	gone := make(chan struct{})
	p := newPeerListener(l, most, time.Minute, "f", time.Second, func() string { return "" }, func(c *peerConn) {
		_, _ = c.Read(make([]byte, 1)) // until its end
		gone <- struct{}{}
	})
	go p.serve()
	defer p.close()
	d := dialer{cluster: "f", node: "n"}
	var held []net.Conn
	for range most {
		c, err := d.dial(l.Addr().String(), purposeRPC, "", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		held = append(held, c)
	}
	if c, err := d.dial(l.Addr().String(), purposeRPC, "", time.Second); err == nil {
		c.Close()
		t.Error("one more than the part is held")
	}
	_ = held[0].Close()
	<-gone
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		c, err := d.dial(l.Addr().String(), purposeRPC, "", time.Second)
		if err == nil {
			go func() { <-gone }()
			c.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	go func() { // the rest end with the test
		for range most {
			<-gone
		}
	}()
}

// held gives how many connections a porch has, and how many of them are idle.
func (p *peerListener) held() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open), p.idle.Len()
}

// slow is a node whose figures wait until it is told.
type slow struct {
	figures
	asked chan struct{}
	told  chan struct{}
}

func (s slow) Metrics() map[string]int64 {
	s.asked <- struct{}{}
	<-s.told
	return s.figures
}

// answering is a porch that answers calls about figures.
func answering(t *testing.T, most int, rest time.Duration, own LocalNode) (p *peerListener, d dialer, at string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p = newPeerListener(l, most, rest, "f", 5*time.Second, func() string { return "v" }, (&Member{node: own}).serveConn)
	go p.serve()
	t.Cleanup(p.close)
	return p, dialer{cluster: "f", node: "n"}, l.Addr().String()
}

// After a stall each node holds a connection that it no longer uses beside the one by which it comes anew. With room for one of
// each, all get their calls through, and no more are held than that.
func TestANodesOldConnectionMakesWayForANewOne(t *testing.T) {
	const nodes = 40
	p, d, at := answering(t, nodes, 20*time.Millisecond, figures{"resolved": 7})
	var mu sync.Mutex
	var opened []*rpc.Client
	defer func() {
		for _, c := range opened {
			_ = c.Close()
		}
	}()
	for round := range 3 { // and a node turns elsewhere more than once
		var all sync.WaitGroup
		for node := range nodes {
			all.Go(func() {
				var err error
				for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
					var c net.Conn
					if c, err = d.dial(at, purposeRPC, "", 5*time.Second); err != nil {
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
			if open, idle := p.held(); open > nodes || idle > open {
				t.Fatalf("%d connections are held, %d of them idle, over %d", open, idle, nodes)
			}
		}
		if t.Failed() {
			return
		}
	}
}

// One with a call in hand doesn't make way, nor one for votes, nor a voter's for its rounds, however long each has been so. Where
// there are no others a further one is closed at once.
func TestWhatIsInUseDoesNotMakeWay(t *testing.T) {
	s := slow{figures{"resolved": 7}, make(chan struct{}), make(chan struct{})}
	p, d, at := answering(t, 4, time.Millisecond, s)
	dial := func(purpose, to string) net.Conn {
		t.Helper()
		c, err := d.dial(at, purpose, to, 5*time.Second)
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
	votes := dial(purposeRaft, "v")
	vote := <-p.raftConns
	round := dial(purposeRPC, "v")
	first := asking(dial(purposeRPC, ""))
	idle := dial(purposeRPC, "")
	eventually(t, "it is not idle", func() bool { _, idle := p.held(); return idle == 1 })
	time.Sleep(5 * time.Millisecond)
	second := asking(dial(purposeRPC, "")) // idle makes way
	_ = idle.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := idle.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the idle one did not make way: %v", err)
	}
	for range 20 {
		time.Sleep(2 * time.Millisecond)
		if c, err := d.dial(at, purposeRPC, "", 5*time.Second); err == nil {
			_ = c.Close()
			t.Fatal("something in use made way")
		}
	}
	close(s.told)
	for _, over := range []<-chan error{first, second} {
		if err := <-over; err != nil {
			t.Errorf("a call in hand: %v", err)
		}
	}
	if _, err := vote.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	_ = votes.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := votes.Read(make([]byte, 1)); err != nil {
		t.Errorf("the connection for votes: %v", err)
	}
	go func() { <-s.asked }()
	var got map[string]int64
	if err := jsonrpc.NewClient(round).Call("Fleet.Figures", &struct{}{}, &got); err != nil {
		t.Errorf("the voter's for its rounds: %v", err)
	}
}

// A call that has come counts before it is read.
func TestWhatWaitsToBeReadIsSeen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	out, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	waits := unreadCheck(in)
	if waits() {
		t.Error("nothing has come")
	}
	if _, err = out.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "what came is not seen", waits)
	if _, err = in.Read(make([]byte, 1)); err != nil || waits() {
		t.Errorf("all is read: %v", err)
	}
	_ = in.Close()
	if waits() {
		t.Error("it is closed")
	}
}

// counter stands for a voter: it tells who leads, or gives a token, and keeps one asking waiting.
type counter struct {
	leader      string // empty: it leads itself
	asked, told chan struct{}
}

func (v *counter) Ask(a *LeaseRequest, x *LeaseResponse) error {
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

// A connection that leads to no leader is closed with the last asking on it, which has its answer, and not half a lease later.
func TestADroppedConnectionIsClosedWithItsLastCall(t *testing.T) {
	serve := func(v *counter) (p *peerListener, at string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p = newPeerListener(l, 8, time.Minute, "f", 5*time.Second, func() string { return "" }, func(c *peerConn) {
			s := rpc.NewServer()
			_ = s.RegisterName("Fleet", v)
			s.ServeCodec(jsonrpc.NewServerCodec(c))
		})
		go p.serve()
		t.Cleanup(p.close)
		return p, l.Addr().String()
	}
	leads, at := serve(&counter{})
	v := &counter{at, make(chan struct{}), make(chan struct{})}
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
	if here, _ := leads.held(); here != 1 {
		t.Errorf("%d connections to the leader", here)
	}
	if there, _ := other.held(); there != 1 {
		t.Errorf("%d connections to the other, by which a call is out", there)
	}
	close(v.told)
	if got := <-over; got != "2 <nil> <nil>" {
		t.Errorf("the call on what was dropped: %s", got)
	}
	eventually(t, "the other's connection stays", func() bool { there, _ := other.held(); return there == 0 })
	if x, err := c.send(lease.Request{Name: "n"}); err != nil || x.Token != 1 {
		t.Errorf("%+v, %v", x, err)
	}
	if here, _ := leads.held(); here != 1 || len(c.pendingCalls) != 0 {
		t.Errorf("%d connections to the leader, calls out: %v", here, c.pendingCalls)
	}
	c.dropConn(c.conn, "") // with none out
	eventually(t, "the leader's connection stays", func() bool { here, _ := leads.held(); return here == 0 })
}

// Whatever comes and goes: no more are held than there is room for, who makes way has been idle for longest of all that may, and
// nobody is turned away while one may.
func TestWhoMakesWayIsTheLongestIdle(t *testing.T) {
	type seen struct {
		node, greeted, waits bool
		calls                int
		since                time.Time
	}
	ways, refused := 0, 0
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 7))
		most, rest := 1+r.IntN(8), time.Duration(1+r.IntN(50))*time.Millisecond
		p := newPeerListener(nil, most, rest, "f", time.Second, nil, nil)
		at := time.Unix(1000, 0)
		all := map[*peerConn]*seen{} // those that are held
		var order []*peerConn
		drop := func(in *peerConn) {
			delete(all, in)
			for i, x := range order {
				if x == in {
					order = append(order[:i], order[i+1:]...)
					return
				}
			}
		}
		for step := range 2000 {
			at = at.Add(time.Duration(r.IntN(8)) * time.Millisecond)
			var in *peerConn
			if len(order) > 0 {
				in = order[r.IntN(len(order))]
			}
			x := all[in]
			switch what := r.IntN(10); {
			case what < 3 || in == nil:
				x := &seen{node: r.IntN(4) > 0}
				fresh := &peerConn{listener: p, hasUnread: func() bool { return x.waits }}
				var may time.Time // since when the longest that may make way is idle
				for _, x := range all {
					if x.node && x.greeted && x.calls == 0 && !x.waits && at.Sub(x.since) >= rest && (may.IsZero() || x.since.Before(may)) {
						may = x.since
					}
				}
				full := len(all) == most
				taken, way := p.admit(fresh, at)
				if taken != (!full || !may.IsZero()) || (way != nil) != (full && !may.IsZero()) {
					t.Fatalf("seed %d, step %d: taken %v, one made way %v, full %v, one may since %v", seed, step, taken, way != nil, full, may)
				}
				if way != nil {
					if x := all[way]; x == nil || !x.node || !x.greeted || x.calls > 0 || x.waits || !x.since.Equal(may) {
						t.Fatalf("seed %d, step %d: %+v made way, not the one that is idle since %v", seed, step, x, may)
					}
					drop(way)
					if way.beginCall() == nil {
						t.Fatalf("seed %d, step %d: a call begins on what made way", seed, step)
					}
					ways++
				}
				if taken {
					all[fresh], order = x, append(order, fresh)
				} else {
					refused++
				}
			case what == 3 && !x.greeted:
				if x.greeted = true; x.node {
					x.since = at
					p.markNodeConn(in, at)
				}
			case what < 6 && x.greeted:
				if x.calls, x.waits = x.calls+1, false; in.beginCall() != nil {
					t.Fatalf("seed %d, step %d: it is held", seed, step)
				}
			case what < 8 && x.calls > 0:
				x.calls--
				x.since = at
				in.endCall(at)
			case what == 8:
				x.waits = !x.waits
			case what == 9 && r.IntN(3) == 0:
				p.mu.Lock()
				p.remove(in)
				p.mu.Unlock()
				drop(in)
				if in.endCall(at); in.idleElement != nil { // its last answer comes after it has gone
					t.Fatalf("seed %d, step %d: what has gone is idle", seed, step)
				}
			}
			idle := 0
			for _, x := range all {
				if x.node && x.greeted && x.calls == 0 {
					idle++
				}
			}
			if open, in := p.held(); open > most || open != len(all) || in != idle {
				t.Fatalf("seed %d, step %d: %d are held and %d idle, want %d and %d, at most %d", seed, step, open, in, len(all), idle, most)
			}
		}
	}
	if ways < 500 || refused < 500 {
		t.Errorf("%d made way and %d were refused: the run shows too little", ways, refused)
	}
}
