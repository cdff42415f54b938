// Package acceptor keeps a listening socket in service: an error of accept that belongs to one connection, or that passes, is
// retried instead of being returned, since net/http ends its service at most of them.
package acceptor

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

const (
	minRetryWait = time.Millisecond      // doubles with each error in a row
	maxRetryWait = 16 * time.Millisecond // well under the shortest deadline of a request
	logInterval  = time.Second           // minimum between two log lines
)

// Listener retries accept until it succeeds, the listener is closed, or the socket itself is unusable.
type Listener struct {
	net.Listener
	log       *zap.Logger
	closed    chan struct{}
	closeOnce func() error

	// Used by Accept only, which has one caller at a time.
	lastLogged time.Time
	errorCount int // since lastLogged
}

// New returns l with retries.
func New(inner net.Listener, log *zap.Logger) *Listener {
	l := &Listener{Listener: inner, log: log, closed: make(chan struct{})}
	l.closeOnce = sync.OnceValue(func() error {
		close(l.closed)
		return inner.Close()
	})
	return l
}

// Accept returns the next connection. An error means that there will be no further one: the listener was closed, or its descriptor
// is not a listening socket.
func (l *Listener) Accept() (net.Conn, error) {
	for wait := minRetryWait; ; wait = min(2*wait, maxRetryWait) {
		c, err := l.accept()
		if err == nil || isPermanent(err) {
			return c, err
		}
		l.logError(err)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(wait):
		}
	}
}

// accept makes one attempt.
func (l *Listener) accept() (net.Conn, error) {
	if err := kernel.Failure(kernel.Accept); err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// isPermanent reports whether accept cannot succeed again on this socket. accept(2) documents these of the descriptor and the call; all
// other errors belong to one connection or to the state of the machine.
func isPermanent(err error) bool {
	for _, target := range []error{net.ErrClosed, syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// logError counts an error, and logs the count at most once per logInterval.
func (l *Listener) logError(err error) {
	l.errorCount++
	now := time.Now()
	if now.Sub(l.lastLogged) < logInterval {
		return
	}
	l.log.Warn("accept failed, retrying", zap.Error(err), zap.Int("errors", l.errorCount), zap.Stringer("address", l.Addr()))
	l.lastLogged = now
	l.errorCount = 0
}

// Close closes the socket, and ends the wait before a retry.
func (l *Listener) Close() error { return l.closeOnce() }

// SyscallConn returns the socket's descriptor, where the wrapped listener has one.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}
