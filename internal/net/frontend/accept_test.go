package frontend

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// failingListener is a listener whose accept fails with one error for a number of calls in a row.
type failingListener struct {
	net.Listener
	err      syscall.Errno
	failures atomic.Int64 // calls that still fail
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

// acceptErrors are the errors that accept(2) documents for a listening socket that is in order. Linux passes the network errors
// that are pending on a new connection on as well.
var acceptErrors = []syscall.Errno{
	syscall.EAGAIN, syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ENOSR, syscall.ESOCKTNOSUPPORT, syscall.EPROTONOSUPPORT,
}

// An error of accept is one connection's, or passes: the service goes on, and whoever comes meanwhile is answered well within the
// shortest deadline.
func TestServeContinuesAfterAcceptErrors(t *testing.T) {
	const (
		failures = 4
		maxDelay = 100 * time.Millisecond
		timeout  = 3 * time.Second
	)
	for _, err := range acceptErrors {
		t.Run(err.Error(), func(t *testing.T) {
			srv, _, l := newTestServer(t, 4, true)
			failing := &failingListener{Listener: l, err: err}
			failing.failures.Store(failures)
			serveErr := make(chan error, 1)
			go func() { serveErr <- srv.Serve(failing) }()
			delay := make(chan time.Duration, 1)
			start := time.Now()
			client := dial(t, l.Addr().String())
			client.send("GET /up")
			go func() {
				if _, err := client.reader.Peek(1); err == nil {
					delay <- time.Since(start)
				}
			}()
			select {
			case err := <-serveErr:
				t.Fatalf("the service ended: %v", err)
			case took := <-delay:
				if took > maxDelay {
					t.Errorf("answered after %v, want %v at most", took, maxDelay)
				}
			case <-time.After(timeout):
				t.Fatal("no answer")
			}
		})
	}
}

// A listener that was closed ends the service at once.
func TestServeReturnsWhenListenerCloses(t *testing.T) {
	srv, _, l := newTestServer(t, 4, true)
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(l) }()
	time.Sleep(10 * time.Millisecond)
	_ = l.Close()
	select {
	case err := <-serveErr:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(time.Second):
		t.Error("the service goes on without its listener")
	}
}
