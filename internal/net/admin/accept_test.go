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

// failingListener is a listener whose next failuresLeft calls of Accept fail.
type failingListener struct {
	net.Listener
	failuresLeft atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.ENETDOWN)}
	}
	return l.Listener.Accept()
}

// Serve of net/http returns on most errors of Accept. The admin server has to keep serving after them.
func TestServeContinuesAfterAcceptErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &failingListener{Listener: inner}
	l.failuresLeft.Store(3)
	s := New(&stubNode{}, metrics.New(nil), 2, zap.NewNop())
	t.Cleanup(s.Close)
	go s.Serve(l)
	client := http.Client{Timeout: time.Second}
	if _, err := client.Get("http://" + inner.Addr().String() + statusPath); err != nil {
		t.Error(err)
	}
}

// The metrics page lists withheld attempts and violated rules by reason, and leaves out reasons that have not occurred.
func TestMetricsPageListsReasonsThatOccurred(t *testing.T) {
	m := metrics.New(nil)
	m.WithheldAttempts[admission.ClientGone].Add(2)
	m.Violations[admission.MayHaveRun].Add(1)
	page := New(&stubNode{}, m, 2, zap.NewNop()).metricsPage()
	for _, line := range []string{"attempts.withheld.client_gone=2\n", "rules.violated.may_have_run=1\n"} {
		if !strings.Contains(page, line) {
			t.Errorf("%q lacks %q", page, line)
		}
	}
	if strings.Contains(page, "too_late") {
		t.Errorf("%q has a reason that has not occurred", page)
	}
}
