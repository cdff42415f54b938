package acceptor

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// broken is a listener whose accept always fails.
type broken struct {
	net.Listener
	err error
}

func (b broken) Accept() (net.Conn, error) { return nil, b.err }
func (broken) Close() error                { return nil }
func (broken) Addr() net.Addr              { return &net.TCPAddr{} }

func accepted(l *Listener) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	return ended
}

func TestAnUnusableSocketIsNotRetried(t *testing.T) {
	for _, err := range []syscall.Errno{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK} {
		select {
		case got := <-accepted(New(broken{err: os.NewSyscallError("accept4", err)}, zap.NewNop())):
			if !errors.Is(got, err) {
				t.Errorf("%v: ended with %v", err, got)
			}
		case <-time.After(time.Second):
			t.Errorf("%v: retried for ever", err)
		}
	}
}

func TestCloseEndsTheRetries(t *testing.T) {
	l := New(broken{err: syscall.ENETDOWN}, zap.NewNop())
	ended := accepted(l)
	select {
	case err := <-ended:
		t.Fatalf("ended with %v before it was closed", err)
	case <-time.After(5 * maxRetryWait):
	}
	_ = l.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(time.Second):
		t.Error("retried after the close")
	}
}
