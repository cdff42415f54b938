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
func TestSlowClientsServedDuringConnectionFlood(t *testing.T) {
	srv, attempts, address := startServer(t, 24, true)
	go func() {
		for attempt := range attempts {
			attempt.Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v")})
		}
	}()
	stop := make(chan struct{})
	var flood, clients sync.WaitGroup
	var floodConns atomic.Int64
	for i := range 60 {
		flood.Go(func() {
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
				floodConns.Add(1)
				if i%2 == 0 {
					fmt.Fprint(conn, "GET /read/k HTTP/1.1\r\nHost: h\r\nX-Tr")
				}
				_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second)) // until it is closed
				_, _ = conn.Read(make([]byte, 1))
				conn.Close()
			}
		})
	}
	writeSlowly := func(conn *client, trace string, duration time.Duration) {
		text := "GET /read/k" + trace + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: " + trace + "\r\n" + timeoutHeader + "\r\n\r\n"
		for i := range 10 {
			fmt.Fprint(conn, text[i*len(text)/10:(i+1)*len(text)/10])
			time.Sleep(duration / 10)
		}
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 8 {
		clients.Go(func() {
			conn := dial(t, address)
			keepAlive := i%2 == 0
			if keepAlive {
				writeSlowly(conn, fmt.Sprint("q", i), 0)
				if r, _ := conn.receive(t); r.Close {
					conn = dial(t, address) // the crowd has all places already
				}
			}
			writeSlowly(conn, fmt.Sprint("s", i), 2*time.Second)
			if r, body := conn.receive(t); r.StatusCode != 200 || body != "v" {
				t.Errorf("client %d: %d %q", i, r.StatusCode, body)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	if n := floodConns.Load(); n < 150 {
		t.Errorf("a crowd of %d only", n)
	}
	// Told to leave, it still takes and answers those that come, and is gone in time.
	shutdownErr := make(chan error, 1)
	start := time.Now()
	go func() { shutdownErr <- srv.Shutdown(false) }()
	for i := range 20 {
		clients.Go(func() {
			conn := dial(t, address)
			writeSlowly(conn, fmt.Sprint("l", i), 0)
			if r, body := conn.receive(t); r.StatusCode != 200 || body != "v" {
				t.Errorf("leaving, client %d: %d %q", i, r.StatusCode, body)
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	clients.Wait()
	close(stop)
	<-shutdownErr // the crowd's may be open still
	if took := time.Since(start); took > maxDeadline+700*time.Millisecond {
		t.Errorf("left after %v", took)
	}
	flood.Wait()
}

// pausedListener is a listener whose process stands still, so that who connects waits in the kernel's queue.
type pausedListener struct {
	*net.TCPListener
	resume chan struct{}
}

func (l pausedListener) Accept() (net.Conn, error) {
	<-l.resume
	return l.TCPListener.Accept()
}

// A lookup that waits in the kernel's queue when the time for new connections ends is taken and answered, whether the process
// stood still until then or was told to leave before it began to serve: closed with it in its queue, the socket would reset it.
func TestShutdownServesQueuedConnections(t *testing.T) {
	for _, shutdownFirst := range []bool{false, true} {
		srv, attempts, l := newTestServer(t, 8, true)
		srv.limits.MaxDeadline = 2 * time.Second // the queue is given up after half of it
		paused := pausedListener{l, make(chan struct{})}
		shutdownErr := make(chan error, 1)
		startServing := func() { go func() { _ = srv.Serve(paused) }() }
		if !shutdownFirst {
			startServing()
		}
		start := time.Now()
		go func() { shutdownErr <- srv.Shutdown(false) }()
		time.Sleep(100 * time.Millisecond)
		if shutdownFirst {
			startServing()
		}
		conn := dial(t, l.Addr().String())
		conn.send("GET /read/k", traceHeader, "X-Expires-In: 1900m")
		time.Sleep(time.Until(start.Add(drainAcceptTime + 60*time.Millisecond)))
		close(paused.resume)
		go func() { (<-attempts).Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v")}) }()
		if r, body := conn.receive(t); r.StatusCode != 200 || body != "v" {
			t.Errorf("told to leave early %v: %d %q", shutdownFirst, r.StatusCode, body)
		}
		if err := <-shutdownErr; err != nil || time.Since(start) > srv.limits.MaxDeadline+700*time.Millisecond {
			t.Errorf("left after %v: %v", time.Since(start), err)
		}
	}
}

// A lookup may come just as its connection is chosen to make way. Its client is there all the while, and must not seem to have
// left for the deadline that was to wake the reader of an idle connection: net/http lifts it before it looks for the client's end.
func TestRequestArrivingDuringIdleCloseIsServed(t *testing.T) {
	srv, attempts, l := newTestServer(t, 8, true)
	// The server's word that a lookup has come is held until its connection has been chosen.
	connState, activations := srv.httpServer.ConnState, 0
	srv.httpServer.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateActive {
			if activations++; activations == 2 {
				srv.conns.mu.Lock()
				for _, element := range srv.conns.idleByConn {
					idle := element.Value.(*idleConn)
					idle.idleSince = time.Now().Add(-time.Hour) // idle for long, and nothing heard since
					idle.conn.(*clientConn).lastRead.Store(0)
				}
				srv.conns.mu.Unlock()
				srv.conns.closeIdle(1, 0)
			}
		}
		connState(conn, state)
	}
	go func() { _ = srv.Serve(l) }()
	conn := dial(t, l.Addr().String())
	conn.send("GET /read/1", traceHeader, timeoutHeader)
	(<-attempts).Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v")})
	conn.receive(t)
	conn.send("GET /read/2", traceHeader, timeoutHeader)
	attempt := <-attempts
	time.Sleep(20 * time.Millisecond)
	attempt.Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v")})
	if r, body := conn.receive(t); r.StatusCode != 200 || body != "v" {
		t.Errorf("%d %q", r.StatusCode, body)
	}
}
