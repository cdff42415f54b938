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

// Calls that are being answered hold their places too: with bodies that don't come each does so for a while, and their
// number would grow with the callers'.
func TestCallsInHandStayWithinTheirPlaces(t *testing.T) {
	const most, callers = 4, 40
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := New(&stub{up: true}, metrics.New([]string{"read"}), most, zap.NewNop())
	go a.Serve(l)
	t.Cleanup(a.Close)
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /status HTTP/1.1\r\nHost: n\r\nContent-Length: 100\r\n\r\n")
	}
	highest := 0
	for end := time.Now().Add(discardTimeout / 2); time.Now().Before(end); time.Sleep(time.Millisecond) {
		a.conns.mu.Lock()
		highest = max(highest, len(a.conns.conns))
		a.conns.mu.Unlock()
	}
	if highest != most {
		t.Errorf("%d connections are held, want %d", highest, most)
	}
	began := time.Now() // a true call waits for those before it, and no longer
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(callers / most * 3 * discardTimeout))
	_, _ = io.WriteString(c, "GET /status HTTP/1.1\r\nHost: n\r\n\r\n")
	answer := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, answer); err != nil || string(answer) != fmt.Sprintf("HTTP/1.1 %d", http.StatusOK) {
		t.Errorf("%q after %v: %v", answer, time.Since(began), err)
	}
}
