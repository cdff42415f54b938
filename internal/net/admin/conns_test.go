package admin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
	"go.uber.org/zap"
)

// Connections whose request is read count towards the limit too. With a request body that never arrives, each stays open for
// discardTimeout; uncounted, their number would grow with the number of callers.
func TestUnfinishedRequestsStayWithinConnLimit(t *testing.T) {
	const maxConns, callers = 4, 40
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(&stubNode{serving: true}, metrics.New([]string{"read"}), maxConns, zap.NewNop())
	go s.Serve(l)
	t.Cleanup(s.Close)
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /status HTTP/1.1\r\nHost: n\r\nContent-Length: 100\r\n\r\n")
	}
	maxOpen := 0
	for end := time.Now().Add(discardTimeout / 2); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.conns.mu.Lock()
		maxOpen = max(maxOpen, len(s.conns.conns))
		s.conns.mu.Unlock()
	}
	if maxOpen != maxConns {
		t.Errorf("%d connections were open at most, want %d", maxOpen, maxConns)
	}
	start := time.Now() // a complete request waits only for the connections before it
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(start.Add(callers / maxConns * 3 * discardTimeout))
	_, _ = io.WriteString(c, "GET /status HTTP/1.1\r\nHost: n\r\n\r\n")
	answer := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, answer); err != nil || string(answer) != fmt.Sprintf("HTTP/1.1 %d", http.StatusOK) {
		t.Errorf("%q after %v: %v", answer, time.Since(start), err)
	}
}

// Guards against a caller whose call trickles without end, in its head or its body: the connection is closed within headerTimeout.
func TestTricklingCallEndsConnection(t *testing.T) {
	address := startServer(t, &stubNode{serving: true}, metrics.New(nil), 4)
	for _, prefix := range []string{"GET /status HTTP/1.1\r\nHost: n\r\nX: ", "POST /maintenance/enter/s HTTP/1.1\r\nHost: n\r\nContent-Length: 100000\r\n\r\n"} {
		t.Run(prefix[:4], func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, err = io.WriteString(c, prefix)
			start := time.Now()
			for ; err == nil; time.Sleep(20 * time.Millisecond) {
				if time.Since(start) > headerTimeout+2*time.Second {
					t.Fatal("the connection is still open")
				}
				_, err = io.WriteString(c, "x")
			}
		})
	}
}
