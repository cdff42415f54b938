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

// failingListener is a listener whose accept always fails.
type failingListener struct {
	net.Listener
	err error
}

func (l failingListener) Accept() (net.Conn, error) { return nil, l.err }
func (failingListener) Close() error                { return nil }
func (failingListener) Addr() net.Addr              { return &net.TCPAddr{} }

// startAccept calls Accept in a goroutine and returns a channel that receives its error.
func startAccept(l *Listener) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		result <- err
	}()
	return result
}

func TestAcceptReturnsPermanentErrors(t *testing.T) {
	for _, err := range []syscall.Errno{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK} {
		select {
		case got := <-startAccept(New(failingListener{err: os.NewSyscallError("accept4", err)}, zap.NewNop())):
			if !errors.Is(got, err) {
				t.Errorf("%v: Accept returned %v", err, got)
			}
		case <-time.After(time.Second):
			t.Errorf("%v: Accept did not return within a second", err)
		}
	}
}

func TestCloseEndsRetries(t *testing.T) {
	l := New(failingListener{err: syscall.ENETDOWN}, zap.NewNop())
	result := startAccept(l)
	select {
	case err := <-result:
		t.Fatalf("Accept returned %v before Close", err)
	case <-time.After(5 * maxRetryWait):
	}
	_ = l.Close()
	select {
	case err := <-result:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("Accept returned %v after Close, want net.ErrClosed", err)
		}
	case <-time.After(time.Second):
		t.Error("Accept did not return within a second of Close")
	}
}
