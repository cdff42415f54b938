package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/routing"
	"go.uber.org/zap"
)

// A dial may outlast a drain's grace: an attempt that comes to its connection too late is not written, on a new one or a
// kept one, has not run, and tells nothing of its server.
func TestAShotTooLateForADrainIsNotWritten(t *testing.T) {
	var served atomic.Int64
	s, server := newTestClient(t), rawServer(t, func(c net.Conn, _ *http.Request, _ int) {
		served.Add(1)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for i, c := range []struct {
		left time.Duration
		want dispatch.AttemptResult
	}{{-time.Millisecond, dispatch.NotConnected}, {time.Second, dispatch.Complete}, {-time.Millisecond, dispatch.NotConnected}} {
		late := newAttempt(server, "GET", "")
		late.SendBy = time.Now().Add(c.left)
		if end, _ := s.send(late); end != c.want {
			t.Errorf("shot %d ended %v, want %v", i, end, c.want)
		}
	}
	if n := served.Load(); n != 1 {
		t.Errorf("%d attempts were written, want one", n)
	}
}

// An attempt that ends without a whole answer is off its connection by then: where hedging is off the next one may be
// written at once, and the first would still be out.
func TestAShotThatFailsLeavesNoOpenConnection(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n", "HTTP/1.1 500 Oops\r\nContent-Length: 2000\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "what is this\r\n\r\n"} {
		address := rawServer(t, func(c net.Conn, _ *http.Request, _ int) { _, _ = io.WriteString(c, text) })
		s := newTestClient(t)
		last := trackLatestConn(s)
		open := 0
		for range 4 {
			end, _ := s.send(newAttempt(address, "GET", ""))
			c := *last
			c.mu.Lock()
			if !c.closing {
				open++
			}
			c.mu.Unlock()
			if end != dispatch.Malformed {
				t.Errorf("%q: %v", text, end)
			}
		}
		if open > 0 {
			t.Errorf("%q: of 4 connections %d were open when the attempt had ended", text, open)
		}
	}
}

// failing breaks at its second write.
type failing struct {
	net.Conn
	writes int
}

func (f *failing) Write(b []byte) (int, error) {
	if f.writes++; f.writes == 2 {
		return 0, syscall.EPIPE
	}
	return f.Conn.Write(b)
}

// Guards against the transport's own retries: a server that closes a kept connection once it has read a
// request must see that request once, whatever its method and headers.
func TestNothingIsSentTwiceWhenAKeptConnectionBreaks(t *testing.T) {
	for _, c := range []struct{ method, body, key string }{
		{"GET", "", ""}, {"GET", "", "id"}, {"PUT", "v", "id"}, {"PUT", "", "id"}, {"PUT", "v", ""}} {
		var seen atomic.Int64
		address := rawServer(t, func(conn net.Conn, _ *http.Request, nth int) {
			if seen.Add(1); nth == 0 {
				_, _ = io.WriteString(conn, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
				return
			}
			conn.Close()
		})
		s, sh := newTestClient(t), newAttempt(address, c.method, c.body)
		sh.IdempotencyKey = c.key
		first, _ := s.send(sh)
		second, _ := s.send(sh)
		if first != dispatch.NotFound || second != dispatch.ConnectionLost || seen.Load() != 2 {
			t.Errorf("%v: %v, then %v; the server saw %d requests", c, first, second, seen.Load())
		}
	}
}

func TestBytesGoOnAsTheyCame(t *testing.T) {
	var seen *http.Request
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		seen = r
		body, _ = io.ReadAll(r.Body)
	}))
	defer server.Close()
	if newTestClient(t).transport.Proxy != nil { // the environment's never holds for loopback, so a proxy there would show nothing
		t.Error("a proxy may come between")
	}
	for _, c := range []struct{ method, body string }{{"PUT", "a\x00b"}, {"PUT", ""}, {"GET", ""}} {
		sh := newAttempt(server.Listener.Addr().String(), c.method, c.body)
		sh.Target, sh.TraceID, sh.IdempotencyKey = "/read/a%2Fb;x//c%20?q=%41&&z", "tRaCe", "Key 1"
		if end, _ := newTestClient(t).send(sh); end != dispatch.Complete {
			t.Fatal(end)
		}
		h := seen.Header
		if seen.RequestURI != sh.Target || string(body) != c.body || h.Get("X-Trace-Id") != "tRaCe" || seen.Method != c.method ||
			h.Get("Idempotency-Key") != "Key 1" || h.Get("X-Expires-In") != "500000u" ||
			h.Get("Accept-Encoding") != "" {
			t.Errorf("%s %s %q %v", seen.Method, seen.RequestURI, body, h)
		}
	}
}

func TestASilentServerEndsByTheShotsOwnTime(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := rawServer(t, func(c net.Conn, r *http.Request, _ int) {
		if r.Method == "PUT" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nha") // silent in the middle
		}
		<-release
	})
	for _, method := range []string{"GET", "PUT"} {
		s, sh, began := newTestClient(t), newAttempt(address, method, ""), time.Now()
		sh.Timeout = minStallThreshold / 2
		if end, _ := s.send(sh); end != dispatch.TimedOut || time.Since(began) > time.Second {
			t.Errorf("%s: %v after %v", method, end, time.Since(began))
		}
	}
	s := newTestClient(t)
	time.AfterFunc(20*time.Millisecond, s.Close)
	if end, _ := s.send(newAttempt(address, "GET", "")); end != dispatch.Canceled {
		t.Errorf("at the node's own end: %v", end)
	}
}

// nobody follows no list.
type nobody struct{}

func (nobody) Subscribe() {}

// An attempt beyond the bound, and one whose carrying panics, are settled all the same.
func TestEveryShotIsSettled(t *testing.T) {
	for want, spoil := range map[dispatch.AttemptResult]func(*Client){
		dispatch.NoResources:    func(s *Client) { s.limits.MaxAttempts = 0 },
		dispatch.ConnectionLost: func(s *Client) { s.transport = nil },
	} {
		d, err := config.ParseSettings(map[string]any{"namespaces": []any{map[string]any{"name": "read", "repeat": "safe",
			"target-time-ms": 200., "time-limit-ms": 750.}}})
		if err != nil {
			t.Fatal(err)
		}
		x, s := dispatch.New(d, zap.NewNop()), newTestClient(t)
		x.Start(1, s, nobody{})
		x.UpdateEndpoints(routing.Full, []dispatch.Endpoint{{ID: "a", Address: "127.0.0.1:1"}})
		whole := s.transport
		spoil(s)
		ticket, err := x.Submit(dispatch.Request{Class: "read"}, time.Now(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		a := <-ticket.Answers()
		if y := x.Stats(); a.Outcome != dispatch.Rejected || y.Results[want] != 1 || x.InFlight() != 0 {
			t.Errorf("%v: %+v, ends %v", want, a, y.Results)
		}
		s.transport = whole
	}
}

// The look whether an attempt is wanted comes with its first byte, on each connection that is tried: nothing is written after the
// request's end, the server is not held to have failed, and an attempt that has begun goes on.
func TestAShotIsNotBegunAfterItsLookupsEnd(t *testing.T) {
	for _, c := range []struct {
		when string // the client leaves
		want dispatch.AttemptResult
		came int64
	}{{"while a connection comes up", dispatch.Withheld, 0}, {"between two tries", dispatch.Withheld, 0}, {"once it was written", dispatch.Complete, 1}} {
		d, err := config.ParseSettings(map[string]any{"namespaces": []any{map[string]any{"name": "read", "repeat": "safe",
			"target-time-ms": 700., "time-limit-ms": 750.}}})
		if err != nil {
			t.Fatal(err)
		}
		var came atomic.Int64
		taken, leave := make(chan bool), func() {}
		address := rawServer(t, func(conn net.Conn, _ *http.Request, _ int) {
			came.Add(1)
			leave()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
		})
		x, s, dials := dispatch.New(d, zap.NewNop()), newTestClient(t), 0
		dial := s.transport.DialContext
		s.transport.DialContext = func(ctx context.Context, network, to string) (net.Conn, error) {
			<-taken
			if dials++; dials == 1 && c.when == "between two tries" {
				leave()
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNRESET} // another is tried
			} else if c.when == "while a connection comes up" {
				leave()
			}
			return dial(ctx, network, to)
		}
		x.Start(1, s, nobody{})
		x.UpdateEndpoints(routing.Full, []dispatch.Endpoint{{ID: "a", Address: address}})
		ticket, err := x.Submit(dispatch.Request{Class: "read", Method: "GET", Target: "/read/k", TraceID: "t"}, time.Now(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		leave = ticket.Cancel
		close(taken)
		for end := time.Now().Add(time.Second); x.InFlight() > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		y := x.Stats()
		if y.Results[c.want] != 1 || y.ClientGone != 1 || came.Load() != c.came || x.Metrics().Written.Load() != c.came || len(x.EjectedEndpoints()) > 0 || x.InFlight() > 0 {
			t.Errorf("%s: ends %v, %d left, %d came, %d written, resting %v, %d out", c.when, y.Results, y.ClientGone, came.Load(),
				x.Metrics().Written.Load(), x.EjectedEndpoints(), x.InFlight())
		}
	}
}
