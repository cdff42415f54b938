package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// A connection must be counted until its descriptor is closed. Otherwise more descriptors than the limit could be open.
func TestOnCloseIsCalledAfterDescriptorIsClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := c.(socket).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	wrapped := newConn(c.(socket), func() {
		calls++
		if raw.Control(func(uintptr) {}) == nil {
			t.Error("the connection is no longer counted while its descriptor is open")
		}
	})
	if err := wrapped.Close(); err != nil || calls != 1 {
		t.Errorf("%v, onClose was called %d times", err, calls)
	}
}

// After retire, a connection must not take a request; while it carries one, retire must fail.
func TestRetiredConnectionDeniesWrites(t *testing.T) {
	for _, first := range []string{"retire", "acquire"} {
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
		if first == "acquire" {
			c.acquire(false, &outgoingRequest{})
			if c.retire() {
				t.Error("a connection in use was retired")
			}
			c.release()
		}
		if !c.retire() {
			t.Error("an idle connection was not retired")
		}
		c.acquire(true, &outgoingRequest{})
		if n, err := c.Write([]byte("x")); n != 0 || err == nil {
			t.Errorf("%d bytes written on a retired connection: %v", n, err)
		}
	}
}

// Bytes that a server sends after an answer must not be taken for the next request's answer. They may come together with the
// answer, after the transport has already reused the connection, or later. The answer before them is valid. The test sends
// the next request after all bytes have arrived, because bytes that arrive while it is in flight can't be told from its
// answer.
func TestBytesAfterAnswerAreNotNextAnswer(t *testing.T) {
	const head, second = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	for _, surplus := range []string{second, "\x00noise\r\n\r\n", second[:20]} {
		for _, delay := range []time.Duration{-1, 0, 5 * time.Millisecond} { // -1: in one write with the answer
			answerRead, surplusWritten := make(chan bool), make(chan bool)
			address := rawServer(t, func(c net.Conn, r *http.Request, _ int) {
				answer := head + r.Header.Get("X-Trace-Id")
				if delay < 0 {
					_, _ = io.WriteString(c, answer+surplus)
					<-answerRead
				} else {
					_, _ = io.WriteString(c, answer)
					<-answerRead
					_, _ = io.WriteString(c, surplus)
				}
				surplusWritten <- true
			})
			client := newTestClient(t)
			last := trackLatestConn(client)
			for i := range 30 {
				attempt := newAttempt(address, "GET", "")
				attempt.TraceID = string(rune('a' + i%26))
				if result, a := client.send(attempt); result != dispatch.Complete || string(a.Body) != attempt.TraceID {
					t.Fatalf("%q after %v, attempt %d: %v %q", surplus, delay, i, result, a.Body)
				}
				answerRead <- true
				<-surplusWritten
				for deadline := time.Now().Add(time.Second); !hasReceivedMoreThan(*last, int64(len(head)+1)) && time.Now().Before(deadline); {
					time.Sleep(100 * time.Microsecond)
				}
				time.Sleep(delay)
			}
		}
	}
}

// hasReceivedMoreThan reports whether more than the given number of bytes were received, or the connection is being closed
// because of them. It counts any unread input as more.
func hasReceivedMoreThan(c *conn, bytes int64) bool {
	there, _ := c.hasUnreadInput()
	c.mu.Lock()
	defer c.mu.Unlock()
	return there || c.closing || c.bytesRead > bytes
}

// The same without http.Transport, which may read ahead: bytes that are unread in the socket, or were read, before the request
// is written must not be taken for its answer. The write is denied.
func TestBytesBeforeRequestDenyWrite(t *testing.T) {
	near, far := tcpPair(t)
	c := newConn(near, func() {})
	c.acquire(false, &outgoingRequest{})
	_, _ = far.Write([]byte("early"))
	for deadline := time.Now().Add(time.Second); !hasUnread(c) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if n, err := c.Write([]byte("request")); n != 0 || err == nil || c.bytesWritten.Load() != 0 || !c.request.unsolicited {
		t.Errorf("with unread bytes: wrote %d, %v", n, err)
	}
	c.acquire(false, &outgoingRequest{})
	_, _ = c.Read(make([]byte, 9))
	if n, err := c.Write([]byte("request")); n != 0 || err == nil {
		t.Errorf("with bytes read before: wrote %d, %v", n, err)
	}
	c.acquire(false, &outgoingRequest{})
	if n, err := c.Write([]byte("request")); n != 7 || err != nil || c.request.unsolicited {
		t.Errorf("without early bytes: wrote %d, %v", n, err)
	}
	c.acquire(false, &outgoingRequest{})
	far.Close() // with the request unread, so the kernel sends a reset
	for deadline := time.Now().Add(time.Second); !hasUnread(c) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if n, err := c.Write([]byte("request")); n != 0 || err == nil {
		t.Errorf("after a reset: wrote %d, %v", n, err)
	}
}

// A connection that breaks before the request is written must not fail the attempt: the request is sent on another one.
func TestConnectionBrokenBeforeWriteIsReplaced(t *testing.T) {
	address := rawServer(t, func(c net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
	})
	client, dials := newTestClient(t), 0
	dial := client.transport.DialContext
	client.transport.DialContext = func(ctx context.Context, network, to string) (net.Conn, error) {
		if dials++; dials%2 == 0 {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNRESET} // the new connection is reset
		}
		c, err := dial(ctx, network, to)
		if err == nil {
			c.(*conn).Conn = &failSecondWriteConn{Conn: c.(*conn).Conn}
		}
		return c, err
	}
	for i := range 5 {
		if result, _ := client.send(newAttempt(address, "GET", "")); result != dispatch.Complete {
			t.Fatalf("attempt %d: %v", i, result)
		}
	}
	if dials < 5 {
		t.Errorf("%d dials: no connection broke", dials)
	}
}
