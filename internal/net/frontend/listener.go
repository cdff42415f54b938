package frontend

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
	"github.com/thistlerudder/thistlerudder/internal/net/acceptor"
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
)

const (
	fullInterval      = 5 * time.Millisecond // between calls of onFull; small compared with any request's deadline
	limitPollInterval = time.Millisecond     // between checks whether a connection was closed while the limit is reached

	// queueQuietTime is the minimum time without a new connection before the kernel's accept queue counts as empty.
	queueQuietTime = 20 * time.Millisecond

	// An Accept that waits in the kernel is woken by up to maxWakeConns connections, one in each wakeInterval.
	wakeInterval = 10 * time.Millisecond
	maxWakeConns = 50

	// recentlyFullWindow is how long after reaching the limit the listener still expects more new connections than it can accept.
	recentlyFullWindow = 100 * time.Millisecond
)

// errSocketBusy is returned if an Accept still waits on a closed listener.
var errSocketBusy = errors.New("another process keeps the listening socket in blocking mode")

// limitedListener accepts at most maxConns concurrent connections; further ones wait in the kernel's accept queue. Unlike netutil.LimitListener, it
// closes idle connections in favor of new ones, and its connections detect a client's close behind unread bytes.
type limitedListener struct {
	net.Listener
	maxConns   atomic.Int64
	conns      atomic.Int64        // only Accept increments it
	readAhead  *semaphore.Weighted // bytes of memory for reading ahead, over all connections
	lastAccept atomic.Int64        // clock.Moment
	lastFull   atomic.Int64        // clock.Moment at which Accept last waited for the limit
	closed     chan struct{}
	close      func() error
	onFull     func(acceptWait) // called at intervals while Accept waits for the limit
	fullSince  time.Time        // since when each Accept has had to wait; zero: the last one has not. Used only by Accept
	metrics    *metrics.Metrics // counts refusals and closes

	mu        sync.Mutex
	lingering *list.List // of *clientConn, longest lingering first
}

// newLimitedListener wraps a listener. readAheadMemory is in bytes and has a minimum, minReadAheadMemory.
func newLimitedListener(l net.Listener, maxConns int, readAheadMemory int64, onFull func(acceptWait), m *metrics.Metrics, log *zap.Logger) *limitedListener {
	l = acceptor.New(l, log)
	limited := &limitedListener{Listener: l, onFull: onFull, metrics: m, closed: make(chan struct{}), lingering: list.New(),
		readAhead: semaphore.NewWeighted(max(minReadAheadMemory, readAheadMemory))}
	limited.maxConns.Store(int64(maxConns))
	limited.close = sync.OnceValue(func() error {
		close(limited.closed)
		return closeSharedSocket(l)
	})
	return limited
}

// Accept waits until there are fewer connections than the limit, and then for a new connection.
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
	raw, _ := tcp.SyscallConn() // fails only for a nil connection
	return &clientConn{
		TCPConn:    tcp,
		raw:        raw,
		listener:   l,
		release:    release,
		acceptedAt: time.Now(),
		readAhead:  readAhead{memory: l.readAhead},
	}, nil
}

// waitForLimit waits until there are fewer connections than the limit, or returns net.ErrClosed.
func (l *limitedListener) waitForLimit() error {
	if l.conns.Load() < l.maxConns.Load() {
		l.fullSince = time.Time{}
		return nil
	}
	start := time.Now()
	if l.fullSince.IsZero() {
		l.fullSince = start
	}
	var lastCall time.Time
	for l.conns.Load() >= l.maxConns.Load() {
		l.lastFull.Store(int64(clock.Now()))
		if time.Since(lastCall) >= fullInterval {
			lastCall = time.Now()
			l.endLingering(lastCall)
			l.onFull(acceptWait{next: lastCall.Sub(start), all: lastCall.Sub(l.fullSince)})
		}
		select {
		case <-l.closed:
			return net.ErrClosed
		case <-time.After(limitPollInterval):
		}
	}
	return nil
}

// hasQueued reports whether connections may be waiting in the kernel's accept queue: the limit is reached, a connection was accepted less than
// queueQuietTime ago, or poll reports one or fails. poll is needed because a process that was paused may not have accepted a connection that has waited
// throughout the pause.
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

// pollNow polls a descriptor without blocking. It reports whether one of the events is pending, and whether poll succeeded. A closed descriptor has no
// pending events.
func pollNow(raw syscall.RawConn, events int16) (pending, ok bool) {
	ok = true
	_ = raw.Control(func(fd uintptr) {
		revents, err := kernel.PollNow(fd, events)
		pending = revents != 0
		ok = err == nil
	})
	return pending, ok
}

// recentlyFull reports whether the limit was reached within the last recentlyFullWindow. The present count does not tell, since several connections
// may be closed before the next one is accepted.
func (l *limitedListener) recentlyFull() bool {
	return clock.Moment(l.lastFull.Load()).Since() < recentlyFullWindow
}

// addLingering adds a connection that waits for its client to close its side. It counts towards the limit until it is closed.
func (l *limitedListener) addLingering(conn *clientConn) *list.Element {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.lingeringSince = time.Now()
	return l.lingering.PushBack(conn)
}

func (l *limitedListener) removeLingering(element *list.Element) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering.Remove(element) // no-op if endLingering has already removed it
}

func (l *limitedListener) lingeringCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lingering.Len()
}

// endLingering wakes the connections that have lingered for minLinger, so that they close and new ones can be accepted.
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

// closeSharedSocket closes a listener. A process that shares its socket may have put it into blocking mode: an Accept may then wait in the kernel, and the
// close for it. closeSharedSocket wakes such an Accept with a connection of its own. It gives up if other processes take these connections.
func closeSharedSocket(l net.Listener) error {
	setNonblocking(l) // no later Accept waits in the kernel
	closed := make(chan error, 1)
	go func() { closed <- l.Close() }()
	for range maxWakeConns {
		select {
		case err := <-closed:
			return err
		case <-time.After(wakeInterval):
			if conn, err := net.DialTimeout(l.Addr().Network(), l.Addr().String(), wakeInterval); err == nil {
				_ = conn.Close()
			}
		}
	}
	return errSocketBusy
}

// setNonblocking puts a listener's socket into non-blocking mode, for all processes that share it.
func setNonblocking(l net.Listener) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
}

// Close closes the socket and makes an Accept that waits for the limit return net.ErrClosed.
func (l *limitedListener) Close() error { return l.close() }
