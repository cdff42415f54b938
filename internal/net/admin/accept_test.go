package admin

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/figures"
)

// failing is a listener whose accept fails for a number of calls in a row.
type failing struct {
	net.Listener
	times atomic.Int64
}

func (f *failing) Accept() (net.Conn, error) {
	if f.times.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.ENETDOWN)}
	}
	return f.Listener.Accept()
}

// The operators' address goes on answering after errors of accept.
func TestTheAddressOutlivesAcceptErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	broken := &failing{Listener: l}
	broken.times.Store(3)
	a := New(&stub{}, figures.New(nil), 2, zap.NewNop())
	t.Cleanup(a.Close)
	go a.Serve(broken)
	client := http.Client{Timeout: time.Second}
	if _, err := client.Get("http://" + l.Addr().String() + statusPath); err != nil {
		t.Error(err)
	}
}
