package frontend

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// answerAll answers each shot at once with the value, and gives which ids were ever sent on.
func answerAll(t *testing.T, ships fleet, value []byte) (sent func(id string) bool) {
	var mu sync.Mutex
	seen := map[string]bool{}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case s := <-ships:
				mu.Lock()
				seen[s.TraceID] = true
				mu.Unlock()
				s.Finish(dispatch.Complete, dispatch.Answer{Body: value})
			case <-stop:
				return
			}
		}
	}()
	return func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return seen[id]
	}
}

// Whatever ends a connection, and whatever its client still sends, the answer arrives whole and ends by an end: a reset would
// be no end for an answer without a length, as net/http's own errors are, and takes with it what the kernel still holds.
func TestEachAnswerArrivesWholeBeforeItsClose(t *testing.T) {
	t.Parallel()
	const head = "GET /read/k HTTP/1.1\r\nHost: h\r\n" + id + "\r\n" + within + "\r\n"
	const put = "PUT /once/k HTTP/1.1\r\nHost: h\r\n" + id + "\r\n" + within + "\r\n"
	behind := strings.Repeat(strings.Replace(head, id, "X-Trace-Id: behind", 1)+"\r\n", 200)
	for _, row := range []struct {
		name, text, want string
		set              func(*Server)
	}{
		{"a bad header", head + "a header without a colon\r\n\r\n", "400", nil},
		{"no request at all", "\x16\x03\x01\r\n\r\n", "400", nil},
		{"no host", "GET /read/k HTTP/1.1\r\n\r\n", "400", nil},
		{"another version", "GET /read/k HTTP/3.1\r\nHost: h\r\n\r\n", "505", nil},
		{"an old version", "GET /read/k HTTP/1.0\r\n\r\n", "505", nil},
		{"an unknown coding", put + "Transfer-Encoding: gzip\r\n\r\n", "501", nil},
		{"an unknown expectation", head + "Expect: wonders\r\n\r\n", "417", nil},
		{"a long head", head + "X-Long: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n", "431", nil},
		{"a long body", put + "Content-Length: 99999\r\n\r\n", "413", nil},
		{"a long chunked body", put + "Transfer-Encoding: chunked\r\n\r\nfff\r\n", "413", nil},
		{"a broken chunk", put + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400", nil},
		{"two lengths", put + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", nil},
		{"half a body", put + "Content-Length: 60\r\n\r\nhalf", "408", nil},
		{"its client's wish", head + "Connection: close\r\n\r\n", "200", nil},
		{"too many in hand", head + "Connection: close\r\n\r\n", "503", func(c *Server) { c.maxInFlight.Store(0) }},
		{"too many connections", head + "\r\n", "200", func(c *Server) { c.conns.resize(0) }},
		{"SIGTERM", head + "\r\n", "200", func(c *Server) { c.draining.Store(true) }},
		{"SIGTERM, a long body", put + "Content-Length: 99999\r\n\r\n", "413", func(c *Server) { c.draining.Store(true) }},
	} {
		for _, goesOn := range []bool{false, true} {
			t.Run(fmt.Sprint(row.name, ", its client goes on: ", goesOn), func(t *testing.T) {
				t.Parallel()
				c, ships, address := serve(t, 8, true)
				sent := answerAll(t, ships, []byte("v"))
				if row.set != nil {
					row.set(c)
				}
				conn, wrote := dial(t, address), make(chan struct{})
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				fmt.Fprint(conn, row.text)
				if row.want == "408" { // else the body would come
					_, _ = conn.in.Peek(1)
				}
				go func() {
					defer close(wrote)
					_, err := fmt.Fprint(conn, behind)
					for n := 0; goesOn && err == nil && n < 7; n++ {
						time.Sleep(20 * time.Millisecond)
						_, err = fmt.Fprint(conn, "y")
					}
				}()
				time.Sleep(150 * time.Millisecond) // reads late
				text, err := io.ReadAll(conn.in)
				<-wrote
				if len(text) < 12 || string(text[9:12]) != row.want || err != nil {
					t.Errorf("%q, then %v", text, err)
				}
				if sent("behind") {
					t.Error("a lookup behind the end was sent on")
				}
			})
		}
	}
}

// An answer of which the kernel still holds a part arrives whole though its client has sent more than was read, also where
// the process ends.
func TestALongAnswerSurvivesItsClose(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		c, ships, address := serve(t, 8, true)
		value := bytes.Repeat([]byte("0123456789abcdef"), 16<<10)
		answerAll(t, ships, value)
		conn := dial(t, address)
		_ = conn.Conn.(*net.TCPConn).SetReadBuffer(32 << 10)
		conn.send("GET /read/k", id, within, "Connection: close")
		time.Sleep(50 * time.Millisecond)
		conn.send("GET /read/behind", "X-Trace-Id: behind", within)
		if leaves {
			if err := c.Shutdown(false); err != nil && c.Open() == 0 {
				t.Error(err)
			}
		}
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadResponse(conn.in, nil)
		if err != nil {
			t.Errorf("leaves %v: %v", leaves, err)
			continue
		}
		got, err := io.ReadAll(r.Body)
		if err != nil || !bytes.Equal(got, value) {
			t.Errorf("leaves %v: %d of %d bytes, %v", leaves, len(got), len(value), err)
		}
	}
}

// Bytes that the kernel had before a deadline are read also where the process only comes to look after it: at a connection that
// is to make way, at one that was idle for long, and in a head that took long. The rest of a head then has its time.
func TestBytesThatCameBeforeADeadlineAreRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := newLimitedListener(l, 8, func(time.Duration) {}, zap.NewNop())
	t.Cleanup(func() { b.Close() })
	for _, woken := range []bool{false, true} {
		far := dial(t, l.Addr().String())
		near, err := b.Accept()
		if err != nil {
			t.Fatal(err)
		}
		own, buffer := near.(*clientConn), make([]byte, 9)
		_ = own.raw.Control(func(fd uintptr) { // else the kernel would hold the ends of answers back
			if set, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY); set == 0 || err != nil {
				t.Errorf("TCP_NODELAY is %d, %v", set, err)
			}
		})
		read := func(want string) {
			t.Helper()
			if n, err := own.Read(buffer); string(buffer[:n]) != want || (n == 0) != errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("woken %v: %q, %v; want %q", woken, buffer[:n], err, want)
			}
		}
		fmt.Fprint(far, "GET ")
		for !readable(own) {
			time.Sleep(time.Millisecond)
		}
		own.closeRequested.Store(woken)
		_ = own.SetReadDeadline(pastDeadline)
		read("GET ")
		if woken { // it has been given time for the rest
			time.AfterFunc(30*time.Millisecond, func() { fmt.Fprint(far, "/up") })
			read("/up")
			own.closeRequested.Store(true)
			_ = own.SetReadDeadline(pastDeadline)
		}
		read("")
		own.Close()
	}
}

// A lookup that comes in the very moment in which its idle connection is ended is answered, or its client sees the end and
// it was sent on nowhere: where the connection makes way, is idle for too long, or takes too long for its head.
func TestALookupThatCrossesAnEndIsAnsweredOrNeverSentOn(t *testing.T) {
	t.Parallel()
	rounds := 150
	if testing.Short() {
		rounds = 40
	}
	for _, kind := range []string{"makes way", "was idle for long", "took long for its head"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			c, ships, l := front(t, 64, true)
			span := 20 * time.Millisecond
			switch kind {
			case "was idle for long":
				c.httpServer.IdleTimeout = span
			case "took long for its head":
				c.httpServer.ReadHeaderTimeout = span
			}
			go func() { _ = c.Serve(l) }()
			sent := answerAll(t, ships, []byte("v"))
			answered, ended := 0, 0
			for i := range rounds {
				conn, trace := dial(t, l.Addr().String()), fmt.Sprint("t", i)
				text := "GET /read/k HTTP/1.1\r\nHost: h\r\nX-Trace-Id: " + trace + "\r\n" + within + "\r\n\r\n"
				if kind != "took long for its head" {
					conn.send("GET /up")
					conn.receive(t)
				} else {
					fmt.Fprint(conn, text[:9])
					text = text[9:]
				}
				near := span - time.Millisecond + time.Duration(i%20)*100*time.Microsecond
				if kind == "makes way" {
					near = time.Duration(i%10) * 20 * time.Microsecond
					c.conns.mu.Lock()
					for _, e := range c.conns.idleByConn {
						e.Value.(*idleConn).idleSince = time.Now().Add(-time.Hour)
					}
					c.conns.mu.Unlock()
					go c.conns.closeIdle(1, 0)
				}
				time.Sleep(near)
				_, wrote := fmt.Fprint(conn, text)
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				r, err := http.ReadResponse(conn.in, nil)
				switch {
				case err == nil && r.StatusCode == 200:
					answered++
				case err == nil && r.StatusCode == 400 && kind == "took long for its head" && !sent(trace):
					ended++ // net/http takes half a request line for a whole one, and turns it away
				case err == nil:
					t.Errorf("round %d: %d", i, r.StatusCode)
				case wrote == nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
					t.Errorf("round %d: %v", i, err) // a reset would take an earlier answer with it
				default:
					ended++
				}
				conn.Close()
				if err != nil && sent(trace) {
					t.Errorf("round %d: sent on, and not answered: %v", i, err)
				}
			}
			t.Logf("%d answered, %d ended unread", answered, ended)
		})
	}
}

// Who is turned away holds no place for a body that never comes, where net/http would wait for its end.
func TestWhoIsTurnedAwayHoldsNoPlace(t *testing.T) {
	t.Parallel()
	c, _, address := serve(t, 16, true)
	const put = " HTTP/1.1\r\nHost: h\r\n" + id + "\r\n" + within + "\r\nContent-Length: 1000\r\n"
	began := time.Now()
	for text, want := range map[string]string{
		"PUT /once/k" + put + "\r\n":                                     "413",
		"PUT /once/k" + strings.Replace(put, "1.1", "1.0", 1) + "\r\n":   "505",
		"PUT /once/k" + put + "Transfer-Encoding: chunked\r\n\r\n9\r\nx": "400",
		"PUT /once/k" + put + "Expect: wonders\r\n\r\n":                  "417",
		"PUT /up" + put + "\r\n":                                         "200",
	} {
		conn := dial(t, address)
		fmt.Fprint(conn, text)
		defer func() {
			_ = conn.SetReadDeadline(began.Add(4 * time.Second))
			if got, err := io.ReadAll(conn.in); len(got) < 12 || string(got[9:12]) != want || err != nil {
				t.Errorf("%q: %q, %v", text, got, err)
			}
		}()
	}
	for c.Open() > 0 {
		if time.Since(began) > 3500*time.Millisecond {
			t.Fatalf("%d open", c.Open())
		}
		time.Sleep(time.Millisecond)
	}
}

// A client that has sent its next lookup's beginning with the one before is writing one, and makes way as such only.
func TestHalfALookupBehindAnotherIsNotIdle(t *testing.T) {
	c, ships, address := serve(t, 8, true)
	answerAll(t, ships, []byte("v"))
	conn := dial(t, address)
	text := "GET /read/k HTTP/1.1\r\nHost: h\r\n" + id + "\r\n" + within + "\r\n\r\n"
	fmt.Fprint(conn, text, text[:30])
	conn.receive(t)
	for end := time.Now().Add(4 * usedConnTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c.conns.closeIdle(1, 0)
	}
	fmt.Fprint(conn, text[30:])
	if r, body := conn.receive(t); r.StatusCode != 200 || body != "v" {
		t.Errorf("%d %q", r.StatusCode, body)
	}
}

// readable says whether something lies unread at a connection.
func readable(p *clientConn) bool {
	there, _ := pollNow(p.raw, unix.POLLIN)
	return there
}
