package transport

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// At MaxConnections the listener closes a new connection. It admits one again after an open connection has ended.
func TestListenerClosesConnectionsAboveLimit(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const limit = 3
	ended := make(chan struct{})
	listener := NewListener(socket, ListenerConfig{Cluster: "f", MaxConnections: limit, MinIdle: time.Minute, HelloTimeout: time.Second,
		VoterID: func() string { return "" },
		ServeRPC: func(c *Conn) {
			_, _ = c.Read(make([]byte, 1)) // blocks until the connection ends
			ended <- struct{}{}
		}})
	go listener.Serve()
	defer listener.Close()
	dialer := Dialer{Cluster: "f", Node: "n"}
	var conns []net.Conn
	for range limit {
		c, err := dialer.Dial(socket.Addr().String(), PurposeRPC, "", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
	}
	if c, err := dialer.Dial(socket.Addr().String(), PurposeRPC, "", time.Second); err == nil {
		c.Close()
		t.Error("connection above the limit was accepted")
	}
	_ = conns[0].Close()
	<-ended
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		c, err := dialer.Dial(socket.Addr().String(), PurposeRPC, "", time.Second)
		if err == nil {
			go func() { <-ended }()
			c.Close()
			break
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	go func() { // the remaining connections end with the test
		for range limit {
			<-ended
		}
	}()
}

// unreadCheck detects a call that was received but not read yet.
func TestUnreadCheckReportsReceivedBytes(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	client, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := socket.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	hasUnread := unreadCheck(server)
	if hasUnread() {
		t.Error("unread bytes reported before the client sent any")
	}
	if _, err = client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(20 * time.Second); !hasUnread(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("unread byte not reported")
		}
	}
	if _, err = server.Read(make([]byte, 1)); err != nil || hasUnread() {
		t.Errorf("unread bytes reported after reading all, or read failed: %v", err)
	}
	_ = server.Close()
	if hasUnread() {
		t.Error("unread bytes reported on a closed connection")
	}
}

// Random sequences of connections, calls and closes check three properties of admission. The number of open connections stays
// within the limit. An evicted connection has been idle for the longest time of those that can be evicted. No connection is
// rejected while another can be evicted.
func TestListenerEvictsLongestIdleConnection(t *testing.T) {
	type connState struct {
		isNode, greeted, unread bool
		calls                   int
		idleSince               time.Time
	}
	evictions, rejected := 0, 0
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 7))
		limit, minIdle := 1+r.IntN(8), time.Duration(1+r.IntN(50))*time.Millisecond
		listener := NewListener(nil, ListenerConfig{Cluster: "f", MaxConnections: limit, MinIdle: minIdle, HelloTimeout: time.Second})
		now := time.Unix(1000, 0)
		states := map[*Conn]*connState{} // of the open connections
		var order []*Conn
		forget := func(conn *Conn) {
			delete(states, conn)
			for i, c := range order {
				if c == conn {
					order = append(order[:i], order[i+1:]...)
					return
				}
			}
		}
		for step := range 2000 {
			now = now.Add(time.Duration(r.IntN(8)) * time.Millisecond)
			var conn *Conn
			if len(order) > 0 {
				conn = order[r.IntN(len(order))]
			}
			state := states[conn]
			switch action := r.IntN(10); {
			case action < 3 || conn == nil:
				state := &connState{isNode: r.IntN(4) > 0}
				newConn := &Conn{listener: listener, hasUnread: func() bool { return state.unread }}
				var longestIdleSince time.Time // start of the longest idle time among connections that can be evicted; zero if there are none
				for _, state := range states {
					if state.isNode && state.greeted && state.calls == 0 && !state.unread && now.Sub(state.idleSince) >= minIdle && (longestIdleSince.IsZero() || state.idleSince.Before(longestIdleSince)) {
						longestIdleSince = state.idleSince
					}
				}
				full := len(states) == limit
				admitted, evicted := listener.admit(newConn, now)
				if admitted != (!full || !longestIdleSince.IsZero()) || (evicted != nil) != (full && !longestIdleSince.IsZero()) {
					t.Fatalf("seed %d, step %d: admitted %v, evicted %v, full %v, eviction candidate idle since %v", seed, step, admitted, evicted != nil, full, longestIdleSince)
				}
				if evicted != nil {
					if e := states[evicted]; e == nil || !e.isNode || !e.greeted || e.calls > 0 || e.unread || !e.idleSince.Equal(longestIdleSince) {
						t.Fatalf("seed %d, step %d: evicted %+v, want the connection idle since %v", seed, step, e, longestIdleSince)
					}
					forget(evicted)
					if evicted.BeginCall() == nil {
						t.Fatalf("seed %d, step %d: BeginCall succeeded on an evicted connection", seed, step)
					}
					evictions++
				}
				if admitted {
					states[newConn], order = state, append(order, newConn)
				} else {
					rejected++
				}
			case action == 3 && !state.greeted:
				if state.greeted = true; state.isNode {
					state.idleSince = now
					listener.markNodeConn(conn, now)
				}
			case action < 6 && state.greeted:
				if state.calls, state.unread = state.calls+1, false; conn.BeginCall() != nil {
					t.Fatalf("seed %d, step %d: BeginCall failed on an open connection", seed, step)
				}
			case action < 8 && state.calls > 0:
				state.calls--
				state.idleSince = now
				conn.EndCall(now)
			case action == 8:
				state.unread = !state.unread
			case action == 9 && r.IntN(3) == 0:
				listener.mu.Lock()
				listener.remove(conn)
				listener.mu.Unlock()
				forget(conn)
				if conn.EndCall(now); conn.idleElement != nil { // the last call ends after the connection was removed
					t.Fatalf("seed %d, step %d: a removed connection is on the idle list", seed, step)
				}
			}
			wantIdle := 0
			for _, state := range states {
				if state.isNode && state.greeted && state.calls == 0 {
					wantIdle++
				}
			}
			if open, idle := listener.Connections(); open > limit || open != len(states) || idle != wantIdle {
				t.Fatalf("seed %d, step %d: %d open and %d idle, want %d and %d, at most %d", seed, step, open, idle, len(states), wantIdle, limit)
			}
		}
	}
	if evictions < 500 || rejected < 500 {
		t.Errorf("%d connections evicted and %d rejected, want at least 500 of each", evictions, rejected)
	}
}
