package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// resetConn closes a connection with a reset, and discards what is still in the kernel's send buffer.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// An answer that is cut off by a reset must never count as complete. This holds for every way to declare its length, whether
// or not the bytes before the reset have been read, and whether the server resets the connection itself or closes it with
// unread input. An answer that ended before the reset is complete.
func TestResetAnswerIsTruncated(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct{ text, closeMode, want string }{
		{ok + "Content-Length: 9\r\n\r\nshort", "reset", "truncated"},
		{ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", "reset", "truncated"},
		{ok + "\r\nshort", "reset", "truncated"},
		{ok + "\r\n", "reset", "truncated"},
		{"HTTP/1.0 200 OK\r\n\r\nshort", "reset", "truncated"},
		{ok + "Connection: close\r\n\r\nshort", "reset", "truncated"},
		{ok + "\r\nshort", "close with unread input", "truncated"},
		{ok + "\r\nshort", "delayed reset", "truncated"},
		{"HTTP/1.1 404 Not Found\r\n\r\nshort", "reset", "truncated"},
		{"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\n\r\nshort", "reset", "truncated"},
		{ok + "A: b\r\n", "reset", "connection_lost"},
		{ok + "Content-Len", "reset", "malformed"},
		{ok + "Content-Length: 9\r\n\r\nshort", "EOF, then reset", "truncated"},
		{ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", "EOF, then reset", "truncated"},
		{ok + "\r\nwhole", "EOF, then reset", "complete"},
		{ok + "Content-Length: 5\r\n\r\nwhole", "delayed reset", "complete"},
		{ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "delayed reset", "complete"},
		{ok + "\r\nwhole", "close", "complete"},
	} {
		t.Run(c.closeMode+" "+strconv.Quote(c.text), func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() { // one goroutine each: another test's client may connect to a reused port
						// Read only the request's headers; a body stays unread.
						for b, head := make([]byte, 1), ""; !strings.HasSuffix(head, "\r\n\r\n"); head += string(b) {
							if _, err := conn.Read(b); err != nil {
								break
							}
						}
						_, _ = io.WriteString(conn, c.text)
						switch c.closeMode {
						case "reset":
							resetConn(conn)
						case "delayed reset":
							time.Sleep(10 * time.Millisecond)
							resetConn(conn)
						case "EOF, then reset":
							_ = conn.(*net.TCPConn).CloseWrite()
							time.Sleep(5 * time.Millisecond)
							resetConn(conn)
						case "close with unread input":
							waitForInput(conn) // the body
							conn.Close()
						default:
							conn.Close()
						}
					}()
				}
			}()
			for range 10 {
				attempt := newAttempt(l.Addr().String(), "GET", "")
				if c.closeMode == "close with unread input" {
					attempt = newAttempt(l.Addr().String(), "PUT", "value")
				}
				result, a := newTestClient(t).send(attempt)
				if result.String() != c.want || (string(a.Body) == "whole") != (c.want == "complete") {
					t.Errorf("%v %q, want %s", result, a.Body, c.want)
				}
			}
		})
	}
}

// waitForInput waits until the socket holds unread input, for at most a second.
func waitForInput(c net.Conn) {
	peeked := newConn(c.(socket), nil)
	for deadline := time.Now().Add(time.Second); !hasUnread(peeked) && time.Now().Before(deadline); {
		time.Sleep(100 * time.Microsecond)
	}
}

// The kernel reports a reset only once. If a write got the report, for example during a long upload that the server answers
// early, the next read must not return io.EOF, which would make a truncated answer of unknown length look complete.
func TestResetReportedToWriteIsNotEOF(t *testing.T) {
	near, far := tcpPair(t)
	c := newConn(near, func() {})
	c.acquire(false, &outgoingRequest{})
	if _, err := c.Write([]byte("head")); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\nhalf")
	waitForInput(near)
	resetConn(far)
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, err := c.Write([]byte("body")); err != nil {
			break
		}
	}
	if !c.writeFailed.Load() {
		t.Fatal("no write failed after the reset")
	}
	_, err := io.ReadAll(c)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the answer ends with %v, want a reset", err)
	}
}

// The same while a write is in progress. Read must wait for the write before it returns io.EOF. If the server closed its side
// without a reset, the answer is complete.
func TestEOFWaitsForWriteInProgress(t *testing.T) {
	for _, withReset := range []bool{true, false} {
		near, far := tcpPair(t)
		c := newConn(near, func() {})
		c.acquire(false, &outgoingRequest{})
		writeErr := make(chan error, 1)
		go func() {
			_, err := c.Write(make([]byte, 32<<20)) // more than the kernel holds
			writeErr <- err
		}()
		waitForInput(far)
		_ = far.CloseWrite() // EOF while the write waits for buffer space
		readErr := make(chan error, 1)
		go func() {
			_, err := io.ReadAll(c)
			readErr <- err
		}()
		select {
		case err := <-readErr:
			t.Errorf("resets %v: Read returned before the write ended: %v", withReset, err)
			continue
		case <-time.After(30 * time.Millisecond):
		}
		if withReset {
			resetConn(far)
		} else {
			go func() { _, _ = io.Copy(io.Discard, far) }()
		}
		if err := <-readErr; errors.Is(err, syscall.ECONNRESET) != withReset || !withReset && err != nil {
			t.Errorf("resets %v: the answer ends with %v", withReset, err)
		}
		<-writeErr
	}
}

// A server may send part of an answer without a request, possibly followed by EOF or a reset, while the connection is idle,
// closed, being closed or reused. The part must not be taken for an answer, the connection must take no further request, and
// each request must reach the server once.
func TestUnsolicitedPartialAnswerIsNotServed(t *testing.T) {
	const half = "HTTP/1.1 200 OK\r\nContent-Le"
	for _, state := range []string{"idle", "closed", "being closed", "reused", "before the write"} {
		for _, suffix := range []string{"", "end", "reset"} {
			t.Run(state+" "+suffix, func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				seen, conns := map[string]int{}, make(chan net.Conn, 100)
				address := rawServer(t, func(c net.Conn, r *http.Request, _ int) {
					mu.Lock()
					seen[r.Header.Get("X-Trace-Id")]++
					mu.Unlock()
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.Header.Get("X-Trace-Id")), r.Header.Get("X-Trace-Id"))
					conns <- c
				})
				client := newTestClient(t)
				last := trackLatestConn(client)
				sendPartialAnswer := func() { // on the connection of the latest answer
					c := <-conns
					_, _ = io.WriteString(c, half)
					switch suffix {
					case "end":
						_ = c.(*net.TCPConn).CloseWrite()
					case "reset":
						resetConn(c)
					}
				}
				for i := range 20 {
					trace := fmt.Sprint("t", i)
					attempt := newAttempt(address, "GET", "")
					attempt.TraceID = trace
					if i > 0 {
						switch state {
						case "idle":
							sendPartialAnswer()
							time.Sleep(5 * time.Millisecond)
						case "closed":
							client.dialer.closeIdle(poolHost(0)+":80", 0)
							sendPartialAnswer()
						case "being closed": // retired, and not closed yet
							c := *last
							c.retire()
							sendPartialAnswer()
						case "reused":
							sendPartialAnswer()
						case "before the write":
							sent := false
							attempt.CheckClient = func() admission.Reason {
								if !sent {
									sent = true
									sendPartialAnswer()
									time.Sleep(admission.MaxFactAge + 5*time.Millisecond)
								}
								return admission.Granted
							}
						}
					}
					if result, a := client.send(attempt); result != dispatch.Complete || string(a.Body) != trace {
						t.Errorf("attempt %d: %v %q", i, result, a.Body)
					}
				}
				mu.Lock()
				defer mu.Unlock()
				for trace, n := range seen {
					if n != 1 {
						t.Errorf("%s reached the server %d times", trace, n)
					}
				}
			})
		}
	}
}

// SendBy may pass while the client's connection is checked. The request must not be written then.
func TestSendByPassedDuringClientCheckDeniesWrite(t *testing.T) {
	var received atomic.Int64
	address := rawServer(t, func(c net.Conn, _ *http.Request, _ int) {
		received.Add(1)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
	})
	for timeLeft, want := range map[time.Duration]dispatch.AttemptResult{10 * time.Millisecond: dispatch.NotConnected, 5 * time.Second: dispatch.Complete} {
		attempt := newAttempt(address, "PUT", "v")
		attempt.SendBy = time.Now().Add(timeLeft)
		attempt.CheckClient = func() admission.Reason {
			time.Sleep(15 * time.Millisecond)
			return admission.Granted
		}
		if result, _ := newTestClient(t).send(attempt); result != want {
			t.Errorf("%v left: %v, want %v", timeLeft, result, want)
		}
	}
	if received.Load() != 1 {
		t.Errorf("the server received %d requests, want one", received.Load())
	}
}

// X-Expires-In must be the attempt's remaining time, even if its connection was established late.
func TestExpiresInIsRemainingTime(t *testing.T) {
	expiresIn := make(chan string, 10)
	address := rawServer(t, func(c net.Conn, r *http.Request, _ int) {
		expiresIn <- r.Header.Get("X-Expires-In")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
	})
	client, dials := newTestClient(t), 0
	dial := client.transport.DialContext
	client.transport.DialContext = func(ctx context.Context, network, to string) (net.Conn, error) {
		time.Sleep(100 * time.Millisecond)
		if dials++; dials == 1 {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNRESET} // another connection is tried
		}
		return dial(ctx, network, to)
	}
	attempt := newAttempt(address, "GET", "")
	attempt.Timeout = 2 * time.Second
	if result, _ := client.send(attempt); result != dispatch.Complete {
		t.Fatal(result)
	}
	us, err := strconv.Atoi(strings.TrimSuffix(<-expiresIn, "u"))
	if remaining := time.Duration(us) * time.Microsecond; err != nil || remaining > attempt.Timeout-200*time.Millisecond || remaining <= 0 {
		t.Errorf("X-Expires-In is %v of %v, want at least 0.2 s less: %v", remaining, attempt.Timeout, err)
	}
}

// A connection may be established long after its attempt timed out. The attempt must end at its own timeout, and nothing may be
// written to the connection. It stays idle for a later attempt, is then closed, and its descriptor is released.
func TestConnectionEstablishedAfterAttemptIsNotWritten(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, _ := syscall.Getsockname(fd)
	address := (&net.TCPAddr{IP: net.IP{127, 0, 0, 1}, Port: name.(*syscall.SockaddrInet4).Port}).String()
	var backlog []net.Conn
	for { // fill the accept backlog: then the kernel retries a connect after a second
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			break
		}
		backlog = append(backlog, c)
	}
	client := New(Limits{MaxConns: 8, MaxAttempts: 8, ConnectTimeout: 4 * time.Second, IdleTimeout: 500 * time.Millisecond, MaxBufferedBody: 1 << 10,
		MaxStreamedBody: 1 << 10}, zap.NewNop())
	defer client.Close()
	start := time.Now()
	attempt := newAttempt(address, "GET", "")
	attempt.Timeout = 200 * time.Millisecond
	if result, _ := client.send(attempt); result != dispatch.NotConnected || time.Since(start) < attempt.Timeout || time.Since(start) > 2*time.Second {
		t.Errorf("%v after %v", result, time.Since(start))
	}
	for range backlog {
		c, _, err := syscall.Accept(fd)
		if err != nil {
			t.Fatal(err)
		}
		syscall.Close(c)
	}
	for _, c := range backlog {
		c.Close()
	}
	c, _, err := syscall.Accept(fd) // waits for the late connection
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(c)
	_ = syscall.SetsockoptTimeval(c, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: 3})
	if n, err := syscall.Read(c, make([]byte, 100)); n != 0 || err != nil { // it stays idle, and is closed
		t.Errorf("read %d bytes, %v, want EOF only", n, err)
	}
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		client.dialer.mu.Lock()
		open, dialing := client.dialer.openConns, client.dialer.dials
		client.dialer.mu.Unlock()
		if open == 0 && dialing == 0 {
			break
		} else if time.Now().After(deadline) {
			t.Fatalf("still counted: %d open, %d dials", open, dialing)
		}
	}
}

// Answers that are sent byte by byte without an end have no pause that counts as a stall: headers, 1xx answers, and bodies.
// Each attempt must end by its timeout, and leave no goroutine and no connection.
func TestSlowAnswersEndAtAttemptTimeout(t *testing.T) {
	before := runtime.NumGoroutine()
	client := newTestClient(t)
	for _, text := range []string{"HTTP/1.1 200 OK\r\nX-More: \x00x", "\x00HTTP/1.1 103 Hints\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n\x00x",
		"HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n\x001\r\nx\r\n", "HTTP/1.1 500 Oops\r\n\r\n\x00x"} {
		serverDone := make(chan bool, 1)
		address := rawServer(t, func(c net.Conn, _ *http.Request, _ int) {
			prefix, repeated, _ := strings.Cut(text, "\x00")
			_, err := io.WriteString(c, prefix)
			for ; err == nil; time.Sleep(2 * time.Millisecond) {
				_, err = io.WriteString(c, repeated)
			}
			serverDone <- true
		})
		start := time.Now()
		attempt := newAttempt(address, "GET", "")
		attempt.Timeout = 300 * time.Millisecond
		result, a := client.send(attempt)
		if elapsed := time.Since(start); result != dispatch.TimedOut && result != dispatch.Malformed || elapsed > 3*time.Second || len(a.Body) > 0 {
			t.Errorf("%q: %v after %v", text, result, elapsed)
		}
		select {
		case <-serverDone:
		case <-time.After(3 * time.Second):
			t.Errorf("%q: the connection is still open", text)
		}
	}
	client.Close()
	// The five listeners and their goroutines remain.
	for deadline := time.Now().Add(3 * time.Second); runtime.NumGoroutine() > before+10; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d goroutines, %d before the test", runtime.NumGoroutine(), before)
		}
	}
}
