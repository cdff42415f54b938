package transport

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// Peers have no more connections than the limit: the next is closed, and admitted once one has gone.
func TestPeersStayWithinTheirLimit(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const limit = 3
	gone := make(chan struct{})
	p := NewListener(l, ListenerConfig{Cluster: "f", MaxConnections: limit, MinIdle: time.Minute, HelloTimeout: time.Second,
		VoterID: func() string { return "" },
		ServeRPC: func(c *Conn) {
			_, _ = c.Read(make([]byte, 1)) // until its end
			gone <- struct{}{}
		}})
	go p.Serve()
	defer p.Close()
	d := Dialer{Cluster: "f", Node: "n"}
	var conns []net.Conn
	for range limit {
		c, err := d.Dial(l.Addr().String(), PurposeRPC, "", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
	}
	if c, err := d.Dial(l.Addr().String(), PurposeRPC, "", time.Second); err == nil {
		c.Close()
		t.Error("one more than the limit is open")
	}
	_ = conns[0].Close()
	<-gone
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		c, err := d.Dial(l.Addr().String(), PurposeRPC, "", time.Second)
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
		for range limit {
			<-gone
		}
	}()
}

// A call that was received counts before it is read.
func TestUnreadBytesAreSeen(t *testing.T) {
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
	for end := time.Now().Add(20 * time.Second); !waits(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the byte is not seen")
		}
	}
	if _, err = in.Read(make([]byte, 1)); err != nil || waits() {
		t.Errorf("all is read: %v", err)
	}
	_ = in.Close()
	if waits() {
		t.Error("it is closed")
	}
}

// Whatever comes and goes: no more connections are open than the limit, an evicted one has been idle for longest of all that may
// be evicted, and none is refused while one may be.
func TestTheLongestIdleConnectionIsEvicted(t *testing.T) {
	type seen struct {
		node, greeted, waits bool
		calls                int
		since                time.Time
	}
	evictions, refused := 0, 0
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 7))
		limit, minIdle := 1+r.IntN(8), time.Duration(1+r.IntN(50))*time.Millisecond
		p := NewListener(nil, ListenerConfig{Cluster: "f", MaxConnections: limit, MinIdle: minIdle, HelloTimeout: time.Second})
		at := time.Unix(1000, 0)
		all := map[*Conn]*seen{} // those that are open
		var order []*Conn
		drop := func(in *Conn) {
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
			var in *Conn
			if len(order) > 0 {
				in = order[r.IntN(len(order))]
			}
			x := all[in]
			switch what := r.IntN(10); {
			case what < 3 || in == nil:
				x := &seen{node: r.IntN(4) > 0}
				fresh := &Conn{listener: p, hasUnread: func() bool { return x.waits }}
				var may time.Time // since when the longest idle of those that may be evicted is idle
				for _, x := range all {
					if x.node && x.greeted && x.calls == 0 && !x.waits && at.Sub(x.since) >= minIdle && (may.IsZero() || x.since.Before(may)) {
						may = x.since
					}
				}
				full := len(all) == limit
				admitted, evicted := p.admit(fresh, at)
				if admitted != (!full || !may.IsZero()) || (evicted != nil) != (full && !may.IsZero()) {
					t.Fatalf("seed %d, step %d: admitted %v, evicted %v, full %v, one may be since %v", seed, step, admitted, evicted != nil, full, may)
				}
				if evicted != nil {
					if x := all[evicted]; x == nil || !x.node || !x.greeted || x.calls > 0 || x.waits || !x.since.Equal(may) {
						t.Fatalf("seed %d, step %d: %+v evicted, not the one that is idle since %v", seed, step, x, may)
					}
					drop(evicted)
					if evicted.BeginCall() == nil {
						t.Fatalf("seed %d, step %d: a call begins on an evicted connection", seed, step)
					}
					evictions++
				}
				if admitted {
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
				if x.calls, x.waits = x.calls+1, false; in.BeginCall() != nil {
					t.Fatalf("seed %d, step %d: it is open", seed, step)
				}
			case what < 8 && x.calls > 0:
				x.calls--
				x.since = at
				in.EndCall(at)
			case what == 8:
				x.waits = !x.waits
			case what == 9 && r.IntN(3) == 0:
				p.mu.Lock()
				p.remove(in)
				p.mu.Unlock()
				drop(in)
				if in.EndCall(at); in.idleElement != nil { // its last answer comes after it has gone
					t.Fatalf("seed %d, step %d: what has gone is idle", seed, step)
				}
			}
			idle := 0
			for _, x := range all {
				if x.node && x.greeted && x.calls == 0 {
					idle++
				}
			}
			if open, in := p.Connections(); open > limit || open != len(all) || in != idle {
				t.Fatalf("seed %d, step %d: %d open and %d idle, want %d and %d, at most %d", seed, step, open, in, len(all), idle, limit)
			}
		}
	}
	if evictions < 500 || refused < 500 {
		t.Errorf("%d made way and %d were refused: the run shows too little", evictions, refused)
	}
}
