package admin

import (
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
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
	a := New(&stub{}, metrics.New(nil), 2, zap.NewNop())
	t.Cleanup(a.Close)
	go a.Serve(broken)
	client := http.Client{Timeout: time.Second}
	if _, err := client.Get("http://" + l.Addr().String() + statusPath); err != nil {
		t.Error(err)
	}
}

// What came up of withheld attempts and broken rules is on the page, by reason, and nothing else of them.
func TestReasonsThatCameUpAreOnThePage(t *testing.T) {
	f := metrics.New(nil)
	f.Denied[admission.ClientGone].Add(2)
	f.Violations[admission.MayHaveRun].Add(1)
	page := New(&stub{}, f, 2, zap.NewNop()).metricsPage()
	for _, line := range []string{"attempts.withheld.client_gone=2\n", "rules.violated.may_have_run=1\n"} {
		if !strings.Contains(page, line) {
			t.Errorf("%q lacks %q", page, line)
		}
	}
	if strings.Contains(page, "too_late") {
		t.Errorf("%q has a reason that never came up", page)
	}
}
