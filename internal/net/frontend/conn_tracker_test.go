package frontend

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// True clients that take two seconds to write their lookup are served in a crowd of many times the places that connects
// and never finishes one, on new connections and on kept ones, and also when the node is told to leave meanwhile.
func TestSlowClientsAreServedInACrowd(t *testing.T) {
	c, ships, address := serve(t, 24, true)
	go func() {
		for s := range ships {
			s.Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v")})
		}
	}()
	stop := make(chan struct{})
	var crowd, users sync.WaitGroup
	var came atomic.Int64
	for i := range 60 {
		crowd.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				came.Add(1)
				if i%2 == 0 {
					fmt.Fprint(conn, "GET /read/k HTTP/1.1\r\nHost: h\r\nX-Tr")
				}
				_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second)) // until it is closed
				_, _ = conn.Read(make([]byte, 1))
				conn.Close()
			}
		})
	}
	write := func(conn *client, trace string, over time.Duration) {
		text := "GET /read/k" + trace + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: " + trace + "\r\n" + within + "\r\n\r\n"
		for i := range 10 {
			fmt.Fprint(conn, text[i*len(text)/10:(i+1)*len(text)/10])
			time.Sleep(over / 10)
		}
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 8 {
		users.Go(func() {
			conn := dial(t, address)
			kept := i%2 == 0
			if kept {
				write(conn, fmt.Sprint("q", i), 0)
				if r, _ := conn.receive(t); r.Close {
					conn = dial(t, address) // the crowd has all places already
				}
			}
			write(conn, fmt.Sprint("s", i), 2*time.Second)
			if r, body := conn.receive(t); r.StatusCode != 200 || body != "v" {
				t.Errorf("client %d: %d %q", i, r.StatusCode, body)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	users.Wait()
	if n := came.Load(); n < 150 {
		t.Errorf("a crowd of %d only", n)
	}
	// Told to leave, it still takes and answers those that come, and is gone in time.
	left := make(chan error, 1)
	began := time.Now()
	go func() { left <- c.Shutdown(false) }()
	for i := range 20 {
		users.Go(func() {
			conn := dial(t, address)
			write(conn, fmt.Sprint("l", i), 0)
			if r, body := conn.receive(t); r.StatusCode != 200 || body != "v" {
				t.Errorf("leaving, client %d: %d %q", i, r.StatusCode, body)
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	users.Wait()
	close(stop)
	<-left // the crowd's may be open still
	if took := time.Since(began); took > limit+700*time.Millisecond {
		t.Errorf("left after %v", took)
	}
	crowd.Wait()
}

// held is a listener whose process stands still, so that who connects waits in the kernel's queue.
type held struct {
	*net.TCPListener
	until chan struct{}
}

func (h held) Accept() (net.Conn, error) {
	<-h.until
	return h.TCPListener.Accept()
}

// A lookup that waits in the kernel's queue when the time for new connections ends is taken and answered, whether the process
// stood still until then or was told to leave before it began to serve: closed with it in its queue, the socket would reset it.
func TestLeavingLeavesNobodyInTheKernelsQueue(t *testing.T) {
	for _, early := range []bool{false, true} {
		c, ships, l := front(t, 8, true)
		c.limits.MaxDeadline = 2 * time.Second // the queue is given up after half of it
		h := held{l, make(chan struct{})}
		left := make(chan error, 1)
		begin := func() { go func() { _ = c.Serve(h) }() }
		if !early {
			begin()
		}
		began := time.Now()
		go func() { left <- c.Shutdown(false) }()
		time.Sleep(100 * time.Millisecond)
		if early {
			begin()
		}
		conn := dial(t, l.Addr().String())
		conn.send("GET /read/k", id, "X-Expires-In: 1900m")
		time.Sleep(time.Until(began.Add(drainAcceptTime + 60*time.Millisecond)))
		close(h.until)
		go func() { (<-ships).Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v")}) }()
		if r, body := conn.receive(t); r.StatusCode != 200 || body != "v" {
			t.Errorf("told to leave early %v: %d %q", early, r.StatusCode, body)
		}
		if err := <-left; err != nil || time.Since(began) > c.limits.MaxDeadline+700*time.Millisecond {
			t.Errorf("left after %v: %v", time.Since(began), err)
		}
	}
}

// A lookup may come just as its connection is chosen to make way. Its client is there all the while, and must not seem to have
// left for the deadline that was to wake the reader of an idle connection: net/http lifts it before it looks for the client's end.
func TestALookupThatCrossesMakingWayIsServed(t *testing.T) {
	c, ships, l := front(t, 8, true)
	// The server's word that a lookup has come is held until its connection has been chosen.
	told, lookups := c.httpServer.ConnState, 0
	c.httpServer.ConnState = func(at net.Conn, s http.ConnState) {
		if s == http.StateActive {
			if lookups++; lookups == 2 {
				c.conns.mu.Lock()
				for _, e := range c.conns.idleByConn {
					p := e.Value.(*idleConn)
					p.idleSince = time.Now().Add(-time.Hour) // idle for long, and nothing heard since
					p.conn.(*clientConn).lastRead.Store(0)
				}
				c.conns.mu.Unlock()
				c.conns.closeIdle(1, 0)
			}
		}
		told(at, s)
	}
	go func() { _ = c.Serve(l) }()
	conn := dial(t, l.Addr().String())
	conn.send("GET /read/1", id, within)
	(<-ships).Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v")})
	conn.receive(t)
	conn.send("GET /read/2", id, within)
	s := <-ships
	time.Sleep(20 * time.Millisecond)
	s.Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v")})
	if r, body := conn.receive(t); r.StatusCode != 200 || body != "v" {
		t.Errorf("%d %q", r.StatusCode, body)
	}
}
