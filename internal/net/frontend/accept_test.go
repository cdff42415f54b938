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

// failing is a listener whose accept fails with one error for a number of calls in a row.
type failing struct {
	net.Listener
	err   syscall.Errno
	times atomic.Int64
}

func (f *failing) Accept() (net.Conn, error) {
	if f.times.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: f.Addr(), Err: os.NewSyscallError("accept4", f.err)}
	}
	return f.Listener.Accept()
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
func TestTheServiceOutlivesAcceptErrors(t *testing.T) {
	const (
		inARow  = 4
		soon    = 100 * time.Millisecond
		patient = 3 * time.Second
	)
	for _, err := range acceptErrors {
		t.Run(err.Error(), func(t *testing.T) {
			c, _, l := front(t, 4, true)
			broken := &failing{Listener: l, err: err}
			broken.times.Store(inARow)
			ended := make(chan error, 1)
			go func() { ended <- c.Serve(broken) }()
			answered := make(chan time.Duration, 1)
			began := time.Now()
			client := dial(t, l.Addr().String())
			client.send("GET /up")
			go func() {
				if _, err := client.in.Peek(1); err == nil {
					answered <- time.Since(began)
				}
			}()
			select {
			case err := <-ended:
				t.Fatalf("the service ended: %v", err)
			case took := <-answered:
				if took > soon {
					t.Errorf("answered after %v, want %v at most", took, soon)
				}
			case <-time.After(patient):
				t.Fatal("no answer")
			}
		})
	}
}

// A listener that was closed ends the service at once.
func TestAClosedListenerEndsTheService(t *testing.T) {
	c, _, l := front(t, 4, true)
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(l) }()
	time.Sleep(10 * time.Millisecond)
	_ = l.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(time.Second):
		t.Error("the service goes on without its listener")
	}
}
