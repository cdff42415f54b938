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
	minRetryWait = time.Millisecond      // before the first retry; it doubles with each further error in a row
	maxRetryWait = 16 * time.Millisecond // well under the shortest deadline of a request
	logInterval  = time.Second           // between two lines of the log
)

// Listener retries accept until it succeeds, the listener is closed, or the socket itself is unusable.
type Listener struct {
	net.Listener
	log    *zap.Logger
	closed chan struct{}
	close  func() error
	logged time.Time // by Accept only, which has one caller at a time
	errors int       // since the last line of the log, likewise
}

// New wraps a listener.
func New(l net.Listener, log *zap.Logger) *Listener {
	own := &Listener{Listener: l, log: log, closed: make(chan struct{})}
	own.close = sync.OnceValue(func() error {
		close(own.closed)
		return l.Close()
	})
	return own
}

// Accept gives the next connection. An error says that there will be no further one: the listener was closed, or its descriptor
// is not a listening socket.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := minRetryWait; ; pause = min(2*pause, maxRetryWait) {
		c, err := l.accept()
		if err == nil || permanent(err) {
			return c, err
		}
		l.report(err)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
	}
}

// accept makes one call.
func (l *Listener) accept() (net.Conn, error) {
	if err := kernel.Failure(kernel.Accept); err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// permanent says that accept will not succeed again on this socket. accept(2) documents these of the descriptor and the call; all
// other errors belong to one connection or to the state of the machine.
func permanent(err error) bool {
	for _, one := range []error{net.ErrClosed, syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}

// report logs errors, not each of them.
func (l *Listener) report(err error) {
	l.errors++
	now := time.Now()
	if now.Sub(l.logged) < logInterval {
		return
	}
	l.log.Warn("accept failed and is tried again", zap.Error(err), zap.Int("errors", l.errors), zap.Stringer("address", l.Addr()))
	l.logged, l.errors = now, 0
}

// Close closes the socket, and ends the wait before a retry.
func (l *Listener) Close() error { return l.close() }

// SyscallConn gives the socket's descriptor, where the wrapped listener has one.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}
