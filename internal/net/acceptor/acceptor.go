// Package acceptor wraps a listener so that its Accept is retried after errors that concern a single connection or a transient state
// of the machine. Without it, Serve of net/http would return on most errors of Accept.
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
	minRetryWait = time.Millisecond      // doubles with each consecutive error
	maxRetryWait = 16 * time.Millisecond // well below the shortest deadline of a request
	logInterval  = time.Second           // minimum time between two log lines
)

// Listener retries Accept until it succeeds, the listener is closed, or the socket itself is unusable.
type Listener struct {
	net.Listener
	log       *zap.Logger
	closed    chan struct{}
	closeOnce func() error

	// Used only by Accept, which has one caller at a time.
	lastLogged time.Time
	errorCount int // errors since lastLogged
}

// New returns a listener that retries Accept of inner.
func New(inner net.Listener, log *zap.Logger) *Listener {
	l := &Listener{Listener: inner, log: log, closed: make(chan struct{})}
	l.closeOnce = sync.OnceValue(func() error {
		close(l.closed)
		return inner.Close()
	})
	return l
}

// Accept returns the next connection. It returns an error only if no further connection can be accepted: the listener was closed, or
// its descriptor is not a listening socket.
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

// accept calls Accept of the wrapped listener once.
func (l *Listener) accept() (net.Conn, error) {
	if err := kernel.Failure(kernel.Accept); err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// isPermanent reports whether accept cannot succeed again on this socket. accept(2) documents the listed errors for an invalid descriptor or
// invalid arguments; all other errors concern a single connection or the state of the machine.
func isPermanent(err error) bool {
	for _, target := range []error{net.ErrClosed, syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// logError counts an error. At most once per logInterval it logs the latest error and the number of errors since the last log line.
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

// Close closes the socket and ends the retries of a running Accept.
func (l *Listener) Close() error { return l.closeOnce() }

// SyscallConn returns the raw connection of the wrapped listener, or errors.ErrUnsupported if it has none.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}
