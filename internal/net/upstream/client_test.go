package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/routing"
)

func newTestClient(t *testing.T) *Client {
	s := New(Limits{Descriptors: 8, MaxAttempts: 8, ConnectTimeout: 100 * time.Millisecond, IdleTimeout: time.Second, MaxBuffered: 1 << 10, MaxStreamed: 1 << 10},
		zap.NewNop())
	t.Cleanup(s.Close)
	return s
}

func newAttempt(address, method string, body string) *dispatch.Attempt {
	return &dispatch.Attempt{Request: &dispatch.Request{Method: method, Target: "/read/k", TraceID: "t", Body: []byte(body)},
		Address: address, Timeout: 500 * time.Millisecond}
}

// trackLatestConn follows which connection was made last.
func trackLatestConn(s *Client) **conn {
	var last *conn
	dial := s.transport.DialContext
	s.transport.DialContext = func(ctx context.Context, network, key string) (net.Conn, error) {
		c, err := dial(ctx, network, key)
		last, _ = c.(*conn)
		return c, err
	}
	return &last
}

// unread says that bytes, or the connection's end, have come and wait to be read.
func unread(c *conn) bool {
	there, _ := c.hasUnreadInput()
	return there
}

// rawServer serves connections by hand; f gets each request on each.
func rawServer(t *testing.T, f func(c net.Conn, r *http.Request, nth int)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in, nth := bufio.NewReader(c), 0; ; nth++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					f(c, r, nth)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// A dial may outlast a drain's grace: an attempt that comes to its connection too late is not written, on a new one or a
// kept one, has not run, and tells nothing of its server.
func TestAShotTooLateForADrainIsNotWritten(t *testing.T) {
	var served atomic.Int64
	s, server := newTestClient(t), rawServer(t, func(c net.Conn, r *http.Request, nth int) {
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

// A connection that is about to be given back takes no request, and one that has a request is not given back.
func TestARetiredConnectionTakesNothing(t *testing.T) {
	for _, first := range []string{"retire", "take"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		raw, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c := newConn(raw.(socket), func() {})
		defer c.Close()
		if first == "take" {
			c.acquire(false, &outgoingRequest{})
			if c.retire() {
				t.Error("given back with a request on it")
			}
			c.release()
		}
		if !c.retire() {
			t.Error("not given back")
		}
		c.acquire(true, &outgoingRequest{})
		if n, err := c.Write([]byte("x")); n != 0 || err == nil {
			t.Errorf("%d bytes written on what is about to be closed: %v", n, err)
		}
	}
}

// CloseIdle closes connections that carry nothing, leaves those that do, and loses no attempt that takes one in
// the same moment.
func TestHangUpClosesWhatIsIdle(t *testing.T) {
	var opened, served atomic.Int64
	hold, begun := make(chan struct{}), make(chan struct{})
	s, server := newTestClient(t), rawServer(t, func(c net.Conn, r *http.Request, nth int) {
		if nth == 0 {
			opened.Add(1)
		}
		if served.Add(1); r.RequestURI == "/slow" {
			close(begun)
			<-hold
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	send := func(target string) dispatch.AttemptResult {
		sent := newAttempt(server, "GET", "")
		sent.Target = target
		end, _ := s.send(sent)
		return end
	}
	open := func(want int) {
		t.Helper()
		for end := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
			s.dialer.mu.Lock()
			got := s.dialer.openConns
			s.dialer.mu.Unlock()
			if got == want {
				return
			} else if time.Now().After(end) {
				t.Fatalf("%d connections are open, want %d", got, want)
			}
		}
	}
	slow := make(chan dispatch.AttemptResult)
	go func() { slow <- send("/slow") }()
	<-begun // a connection that no request was written to yet carries nothing, and may be closed
	open(1)
	send("/quick")
	open(2)
	s.CloseIdle(1, 0) // another place
	s.CloseIdle(0, 1) // the one that idles may stay
	time.Sleep(10 * time.Millisecond)
	open(2)
	s.CloseIdle(0, 0)
	open(1)
	if close(hold); <-slow != dispatch.Complete {
		t.Error("a connection in use was closed")
	}
	before := served.Load()
	for range 200 {
		s.CloseIdle(0, 0)
		if end := send("/quick"); end != dispatch.Complete {
			t.Fatalf("an attempt ended %v", end)
		}
	}
	if n := served.Load() - before; n != 200 {
		t.Errorf("%d attempts reached the server, want 200; %d connections", n, opened.Load())
	}
}

// A full queue turns an attempt away on a kept connection too, and may end that; only a new one tells of too many.
func TestOnlyANewConnectionIsOneTooMany(t *testing.T) {
	s, server := newTestClient(t), rawServer(t, func(c net.Conn, _ *http.Request, nth int) {
		if nth == 0 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return
		}
		fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		c.Close()
	})
	for _, want := range []dispatch.AttemptResult{dispatch.Complete, dispatch.Shed} {
		if end, _ := s.send(newAttempt(server, "GET", "")); end != want {
			t.Errorf("the attempt ended %v, want %v", end, want)
		}
	}
}

// Of connections that idle those used longest ago are closed first: the transport takes the latest.
func TestHangUpLeavesTheLatest(t *testing.T) {
	s, server := newTestClient(t), rawServer(t, func(c net.Conn, _ *http.Request, _ int) {
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	var all sync.WaitGroup
	for range 3 {
		all.Go(func() { s.send(newAttempt(server, "GET", "")) })
	}
	all.Wait()
	s.send(newAttempt(server, "GET", ""))
	key := poolHost(0) + ":80"
	s.dialer.mu.Lock()
	var latest *conn
	for c := range s.dialer.connsByKey[key] {
		if since, _ := c.idleSince(); latest == nil || since.After(latest.lastUsed) {
			latest = c
		}
	}
	s.dialer.mu.Unlock()
	s.dialer.closeIdle(key, 1)
	s.dialer.mu.Lock()
	defer s.dialer.mu.Unlock()
	if kept := s.dialer.connsByKey[key]; len(kept) != 1 || !kept[latest] {
		t.Errorf("%d connections are left, want the latest", len(kept))
	}
}

func TestEachAnswerHasItsEnd(t *testing.T) {
	answers := map[string]string{ // what the server writes before it closes
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv":                                                     "complete",
		"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n":                                               "not_found",
		"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n":                                                    "server_error",
		"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n":                                  "shed",
		"HTTP/1.1 504 Over\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n":                                  "shed",
		"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n":             "connection_limit",
		"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n":                                                    "unclear_status",
		"HTTP/1.1 504 Over\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n":                                  "unclear_status",
		"HTTP/1.1 302 Found\r\nLocation: /else\r\nContent-Length: 0\r\n\r\n":                                "unclear_status",
		"HTTP/1.1 299 New\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n":                                   "unclear_status",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort":                                                 "truncated",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort":                                   "truncated",
		"HTTP/1.1 200 OK\r\nA: b\r\n":                                                                       "connection_lost",
		"":                                                                                                  "connection_lost",
		"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv": "complete",
		"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: \xff==\r\nContent-Length: 1\r\n\r\nv":                    "complete",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":                                       "malformed",
		"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000):                       "malformed",
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n":                                             "malformed",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nv":                                                    "malformed",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nv":                                "malformed",
		"HTTP/1.1 200 OK\r\n\r\nv":                                                                          "complete",
		"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: x\r\n\r\n":                                  "malformed",
		"HTTP/1.1 101 Other\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n":                                   "malformed",
		"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", maxHeaderBytes+5000) + "\r\n\r":                 "malformed",
		strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", 2000):                                                  "malformed",
		"what is this\r\n\r\n":                                                                              "malformed",
		"HTTP/1.1 200 OK\r\nbroken\r\n\r\n":                                                                 "malformed",
	}
	for text, want := range answers {
		address := rawServer(t, func(c net.Conn, _ *http.Request, _ int) {
			_, _ = io.WriteString(c, text)
			c.Close()
		})
		end, answer := newTestClient(t).send(newAttempt(address, "GET", ""))
		if end.String() != want || (string(answer.Body) == "v") != (want == "complete") {
			t.Errorf("%.60q: %v %q, want %s", text, end, answer.Body, want)
		}
	}
}

// An answer that has begun and doesn't end is given up before the attempt's own time is over.
func TestAnAnswerThatDoesNotEndIsSpoilt(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "HTTP/1.1 200 OK\r\nX-More: ",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n"} {
		began := time.Now()
		address := rawServer(t, func(c net.Conn, _ *http.Request, _ int) { _, _ = io.WriteString(c, text) })
		end, _ := newTestClient(t).send(newAttempt(address, "GET", ""))
		if took := time.Since(began); end != dispatch.Malformed || took < abortThresholdFactor*minStallThreshold || took > 2*abortThresholdFactor*minStallThreshold {
			t.Errorf("%q: %v after %v", text, end, took)
		}
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

// What a server sends behind an answer must not be taken for the next one's, whether it comes with the answer, when
// the transport has already handed the connection on, or later; the answer before it counts. The next attempt is sent
// once all has arrived: bytes that come when it is out can't be told from its answer.
func TestBytesBehindAnAnswerSpoilTheConnection(t *testing.T) {
	const head, second = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	for _, behind := range []string{second, "\x00noise\r\n\r\n", second[:20]} {
		for _, later := range []time.Duration{-1, 0, 5 * time.Millisecond} { // -1: in one write with the answer
			got, written := make(chan bool), make(chan bool)
			address := rawServer(t, func(c net.Conn, r *http.Request, _ int) {
				answer := head + r.Header.Get("X-Trace-Id")
				if later < 0 {
					_, _ = io.WriteString(c, answer+behind)
					<-got
				} else {
					_, _ = io.WriteString(c, answer)
					<-got
					_, _ = io.WriteString(c, behind)
				}
				written <- true
			})
			s := newTestClient(t)
			last := trackLatestConn(s)
			for i := range 30 {
				sh := newAttempt(address, "GET", "")
				sh.TraceID = string(rune('a' + i%26))
				if end, a := s.send(sh); end != dispatch.Complete || string(a.Body) != sh.TraceID {
					t.Fatalf("%q after %v, attempt %d: %v %q", behind, later, i, end, a.Body)
				}
				got <- true
				<-written
				for end := time.Now().Add(time.Second); !beyond(*last, int64(len(head)+1)) && time.Now().Before(end); {
					time.Sleep(100 * time.Microsecond)
				}
				time.Sleep(later)
			}
		}
	}
}

// beyond says that more than so many bytes have come, read or not, or that the connection is closed for it.
func beyond(c *conn, bytes int64) bool {
	there, _ := c.hasUnreadInput()
	c.mu.Lock()
	defer c.mu.Unlock()
	return there || c.closing || c.bytesRead > bytes
}

// The same where the transport's reading can't be ahead: bytes that lie there when a request is about to be written,
// or that come before it is, are not its answer.
func TestBytesBeforeARequestAreNotItsAnswer(t *testing.T) {
	near, far := tcp(t)
	c := newConn(near, func() {})
	c.acquire(false, &outgoingRequest{})
	_, _ = far.Write([]byte("early"))
	for end := time.Now().Add(time.Second); !unread(c) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n, err := c.Write([]byte("request")); n != 0 || err == nil || c.bytesWritten.Load() != 0 || !c.request.unsolicited {
		t.Errorf("unread bytes: wrote %d, %v", n, err)
	}
	c.acquire(false, &outgoingRequest{})
	_, _ = c.Read(make([]byte, 9))
	if n, err := c.Write([]byte("request")); n != 0 || err == nil {
		t.Errorf("bytes read before: wrote %d, %v", n, err)
	}
	c.acquire(false, &outgoingRequest{})
	if n, err := c.Write([]byte("request")); n != 7 || err != nil || c.request.unsolicited {
		t.Errorf("a clean connection: wrote %d, %v", n, err)
	}
	c.acquire(false, &outgoingRequest{})
	far.Close() // with the request unread, so that it is a reset
	for end := time.Now().Add(time.Second); !unread(c) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n, err := c.Write([]byte("request")); n != 0 || err == nil {
		t.Errorf("at the connection's end: wrote %d, %v", n, err)
	}
}

// tcp gives two ends of a connection.
func tcp(t *testing.T) (near, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	one, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { one.Close(); other.Close() })
	return one.(*net.TCPConn), other.(*net.TCPConn)
}

// A server at the address of one that has gone gets no connection that was made to the old one.
func TestEachPlaceHasItsOwnConnections(t *testing.T) {
	address := rawServer(t, func(c net.Conn, _ *http.Request, nth int) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", nth)
	})
	s := newTestClient(t)
	for i, want := range []string{"0", "1", "0", "2", "1"} { // requests before it on its connection
		sh := newAttempt(address, "GET", "")
		sh.Endpoint = []uint64{1, 1, 2, 1, 2}[i]
		if end, a := s.send(sh); end != dispatch.Complete || string(a.Body) != want {
			t.Errorf("shot %d: %v %q, want %s", i, end, a.Body, want)
		}
	}
}

// A connection that breaks before the attempt is written says nothing of the server: the attempt goes on another.
func TestAStaleConnectionCostsNothing(t *testing.T) {
	address := rawServer(t, func(c net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
	})
	s, dials := newTestClient(t), 0
	dial := s.transport.DialContext
	s.transport.DialContext = func(ctx context.Context, network, to string) (net.Conn, error) {
		if dials++; dials%2 == 0 {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNRESET} // a new one that is reset
		}
		c, err := dial(ctx, network, to)
		if err == nil {
			c.(*conn).Conn = &failing{Conn: c.(*conn).Conn}
		}
		return c, err
	}
	for i := range 5 {
		if end, _ := s.send(newAttempt(address, "GET", "")); end != dispatch.Complete {
			t.Fatalf("shot %d: %v", i, end)
		}
	}
	if dials < 5 {
		t.Errorf("%d dials: no connection broke", dials)
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
		address := rawServer(t, func(conn net.Conn, r *http.Request, nth int) {
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

// narrow breaks once it has written so many bytes.
type narrow struct {
	*net.TCPConn
	left int
}

func (c narrow) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b[:min(len(b), c.left)])
	if err == nil && n < len(b) {
		err = io.ErrClosedPipe
	}
	return n, err
}

func TestWhatNeverReachedAServerIsTold(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if end, _ := newTestClient(t).send(newAttempt(l.Addr().String(), "GET", "")); end != dispatch.ConnectRefused {
		t.Errorf("refused: %v", end)
	}
	// The peer takes a few bytes, or none, and breaks: the last byte was never written. Once it has all, it may run.
	for _, c := range []struct {
		method, body string
		taken        int
		want         dispatch.AttemptResult
	}{{"PUT", "value", 10, dispatch.WriteFailed}, {"GET", "", 10, dispatch.WriteFailed}, {"GET", "", 0, dispatch.WriteFailed},
		{"PUT", "value", 1 << 10, dispatch.ConnectionLost}, {"GET", "", 1 << 10, dispatch.ConnectionLost}} {
		s := newTestClient(t)
		s.transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
			near, far := tcp(t)
			go func() {
				_ = far.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				_, _ = io.ReadFull(far, make([]byte, c.taken))
				far.Close()
			}()
			return newConn(narrow{near, c.taken}, func() {}), nil
		}
		if end, _ := s.send(newAttempt("pipe:1", c.method, c.body)); end != c.want {
			t.Errorf("%s broken after %d bytes: %v", c.method, c.taken, end)
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
		if y := x.Stats(); a.Outcome != dispatch.Rejected || y.Ends[want] != 1 || x.InFlight() != 0 {
			t.Errorf("%v: %+v, ends %v", want, a, y.Ends)
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
		leave = ticket.Abandon
		close(taken)
		for end := time.Now().Add(time.Second); x.InFlight() > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		y := x.Stats()
		if y.Ends[c.want] != 1 || y.ClientGone != 1 || came.Load() != c.came || x.Metrics().Written.Load() != c.came || len(x.EjectedEndpoints()) > 0 || x.InFlight() > 0 {
			t.Errorf("%s: ends %v, %d left, %d came, %d written, resting %v, %d out", c.when, y.Ends, y.ClientGone, came.Load(),
				x.Metrics().Written.Load(), x.EjectedEndpoints(), x.InFlight())
		}
	}
}

// deaf gives an address whose connections never come up: its queue of new ones is full.
func deaf(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, _ := syscall.Getsockname(fd)
	address := (&net.TCPAddr{IP: net.IP{127, 0, 0, 1}, Port: name.(*syscall.SockaddrInet4).Port}).String()
	for { // fill the queue
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { c.Close() })
	}
}

// Dials that attempts gave up on live on: they are bounded in time and number, and give their descriptors back.
func TestDialsAreBounded(t *testing.T) {
	address, s := deaf(t), newTestClient(t)
	var d dialer
	d.maxConns, d.maxDialsPerServer, d.dialsByAddress = 8, 1, map[string]int{}
	d.Timeout = 100 * time.Millisecond
	s.transport.DialContext = d.dial
	began, first := time.Now(), make(chan dispatch.AttemptResult)
	go func() {
		end, _ := s.send(newAttempt(address, "GET", ""))
		first <- end
	}()
	time.Sleep(30 * time.Millisecond)
	if end, _ := s.send(newAttempt(address, "GET", "")); end != dispatch.NoResources {
		t.Errorf("a second dial to one server: %v", end)
	}
	if end := <-first; end != dispatch.ConnectTimeout || time.Since(began) > 450*time.Millisecond {
		t.Errorf("%v after %v", end, time.Since(began))
	}
	hurried := newAttempt(address, "GET", "")
	hurried.Timeout = 20 * time.Millisecond
	if end, _ := s.send(hurried); end != dispatch.NotConnected {
		t.Errorf("with less time than a dial has: %v", end)
	}
	time.Sleep(150 * time.Millisecond) // that dial lives on for its own time
	d.mu.Lock()
	open, dialing, to := d.openConns, d.dials, len(d.dialsByAddress)
	d.mu.Unlock()
	if open != 0 || dialing != 0 || to != 0 {
		t.Errorf("still counted: %d open, %d dials to %d servers", open, dialing, to)
	}
	for _, a := range []string{"1", "2"} {
		if !d.startDial(a, "", false) {
			t.Errorf("no dial to %s", a)
		}
	}
	if d.startDial("3", "", false) {
		t.Error("a third dial in all")
	}
}

func TestDescriptorsAreBoundedAndComeBack(t *testing.T) {
	address := rawServer(t, func(net.Conn, *http.Request, int) {})
	s := newTestClient(t)
	dial := func() (net.Conn, error) { return s.transport.DialContext(t.Context(), "tcp", address) }
	var conns []net.Conn
	for range 8 {
		c, err := dial()
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	if _, err := dial(); !errors.Is(err, errNoResources) {
		t.Errorf("a ninth: %v", err)
	}
	for _, c := range conns {
		c.Close()
		c.Close() // twice gives back but one
	}
	for i := range 9 {
		c, err := dial()
		if (err == nil) != (i < 8) {
			t.Fatalf("connection %d afterwards: %v", i, err)
		}
		if err == nil {
			defer c.Close()
		}
	}
}

// An attempt must not cross the server's close of an idle connection, so the node closes it first.
func TestIdleConnectionsAreClosedBeforeTheServersLimit(t *testing.T) {
	closed := make(chan bool, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- true
		}
	}
	server.Start()
	defer server.Close()
	if end, _ := newTestClient(t).send(newAttempt(server.Listener.Addr().String(), "GET", "")); end != dispatch.Complete {
		t.Fatal(end)
	}
	select {
	case <-closed:
	case <-time.After(950 * time.Millisecond):
		t.Error("open at the server's limit")
	}
}
