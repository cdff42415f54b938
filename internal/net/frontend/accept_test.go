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

// failingListener is a listener whose first failures calls of Accept fail with err.
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

// acceptErrors are the errors that accept(2) documents for a valid listening socket. On Linux, accept also returns the pending network errors of the
// new connection.
var acceptErrors = []syscall.Errno{
	syscall.EAGAIN, syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ENOSR, syscall.ESOCKTNOSUPPORT, syscall.EPROTONOSUPPORT,
}

// An accept error concerns a single connection or is temporary. Serve must continue after it, and a client that connects meanwhile must be answered well
// within the shortest deadline.
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
				t.Fatalf("Serve returned: %v", err)
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

// Serve must return as soon as its listener is closed.
func TestServeReturnsWhenListenerCloses(t *testing.T) {
	srv, _, l := newTestServer(t, 4, true)
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(l) }()
	time.Sleep(10 * time.Millisecond)
	_ = l.Close()
	select {
	case err := <-serveErr:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("Serve returned %v, want net.ErrClosed", err)
		}
	case <-time.After(time.Second):
		t.Error("Serve did not return after the listener was closed")
	}
}
