package frontend

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
	"github.com/thistlerudder/thistlerudder/internal/net/acceptor"
)

const (
	fullInterval      = 5 * time.Millisecond // between calls of onFull; a small part of any deadline
	limitPollInterval = time.Millisecond     // for a connection that was closed

	// queueQuietTime without a new connection tells that the kernel's queue is empty.
	queueQuietTime = 20 * time.Millisecond

	// recentlyFullWindow is how long after the limit was reached further connections may be about to come.
	recentlyFullWindow = 100 * time.Millisecond
)

// limitedListener accepts at most maxConns connections at a time; further ones wait in the kernel's queue. netutil.LimitListener would do that,
// but not close idle connections for new ones, nor see that a client has gone behind its unread bytes.
type limitedListener struct {
	net.Listener
	maxConns   atomic.Int64
	conns      atomic.Int64 // only Accept adds one
	readAhead  atomic.Int64 // bytes, of all connections
	lastAccept atomic.Int64 // clock.Moment
	lastFull   atomic.Int64 // clock.Moment at which Accept last waited for the limit
	closed     chan struct{}
	close      func() error
	onFull     func(acceptWait time.Duration) // called at intervals while Accept waits for the limit

	mu        sync.Mutex
	lingering *list.List // of *clientConn, longest first
}

func newLimitedListener(l net.Listener, maxConns int, onFull func(acceptWait time.Duration), log *zap.Logger) *limitedListener {
	l = acceptor.New(l, log)
	limited := &limitedListener{Listener: l, onFull: onFull, closed: make(chan struct{}), lingering: list.New()}
	limited.maxConns.Store(int64(maxConns))
	limited.close = sync.OnceValue(func() error {
		close(limited.closed)
		return l.Close()
	})
	return limited
}

// Accept waits until the limit allows for a connection, and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	if err := l.waitForLimit(); err != nil {
		return nil, err
	}
	l.conns.Add(1)
	conn, err := l.Listener.Accept()
	release := sync.OnceFunc(func() { l.conns.Add(-1) })
	if err != nil {
		release()
		return nil, err
	}
	l.lastAccept.Store(int64(clock.Now()))
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		release()
		return conn, nil
	}
	raw, _ := tcp.SyscallConn() // fails for a nil connection only
	return &clientConn{
		TCPConn:    tcp,
		raw:        raw,
		listener:   l,
		release:    release,
		acceptedAt: time.Now(),
		readAhead:  readAhead{total: &l.readAhead},
	}, nil
}

// waitForLimit waits until there are fewer connections than the limit, or returns net.ErrClosed.
func (l *limitedListener) waitForLimit() error {
	start := time.Now()
	var lastCall time.Time
	for l.conns.Load() >= l.maxConns.Load() {
		l.lastFull.Store(int64(clock.Now()))
		if time.Since(lastCall) >= fullInterval {
			lastCall = time.Now()
			l.endLingering(lastCall)
			l.onFull(lastCall.Sub(start))
		}
		select {
		case <-l.closed:
			return net.ErrClosed
		case <-time.After(limitPollInterval):
		}
	}
	return nil
}

// hasQueued reports whether connections may wait in the kernel's queue: one has just come, the limit is reached, or the kernel says so. A process
// that stood still may be about to accept one that has waited all the while.
func (l *limitedListener) hasQueued() bool {
	if l.conns.Load() >= l.maxConns.Load() || clock.Moment(l.lastAccept.Load()).Since() < queueQuietTime {
		return true
	}
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // closed
	}
	queued, known := pollNow(raw, unix.POLLIN)
	return queued || !known
}

// pollNow reports whether one of the events is pending at a descriptor, and whether poll succeeded. A closed descriptor has none.
func pollNow(raw syscall.RawConn, events int16) (pending, ok bool) {
	ok = true
	_ = raw.Control(func(fd uintptr) {
		revents, err := kernel.PollNow(fd, events)
		pending = revents != 0
		ok = err == nil
	})
	return pending, ok
}

// recentlyFull reports whether the limit was reached lately: several connections may be closed before the next is accepted.
func (l *limitedListener) recentlyFull() bool {
	return clock.Moment(l.lastFull.Load()).Since() < recentlyFullWindow
}

// addLingering notes a connection that waits for its client's end. It counts towards the limit until then.
func (l *limitedListener) addLingering(conn *clientConn) *list.Element {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.lingeringSince = time.Now()
	return l.lingering.PushBack(conn)
}

func (l *limitedListener) removeLingering(element *list.Element) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering.Remove(element) // does nothing if endLingering has removed it
}

func (l *limitedListener) lingeringCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lingering.Len()
}

// endLingering wakes the connections that have lingered for minLinger, for new ones.
func (l *limitedListener) endLingering(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		oldest := l.lingering.Front()
		if oldest == nil || now.Sub(oldest.Value.(*clientConn).lingeringSince) < minLinger {
			return
		}
		_ = l.lingering.Remove(oldest).(*clientConn).SetReadDeadline(pastDeadline)
	}
}

// Close closes the socket, and ends the wait for the limit.
func (l *limitedListener) Close() error { return l.close() }
