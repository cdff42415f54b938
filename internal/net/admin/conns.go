package admin

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// requestTimeout is the minimum time that a connection has for its request before it may be closed for a new connection. A caller sends
	// the request at once, but a busy node may take a while to read it.
	requestTimeout = 50 * time.Millisecond

	// retryInterval is the longest time between two checks whether a new connection can be added.
	retryInterval = requestTimeout / 10
)

// connLimiter bounds the number of open connections. A caller may hold a connection for seconds without sending a complete request. At the
// limit, a new connection therefore replaces the one that has waited longest for its request.
type connLimiter struct {
	maxConns int

	mu      sync.Mutex
	waiting *list.List                 // of waitingConn: the connections whose request is not read yet, oldest first
	conns   map[net.Conn]*list.Element // all open connections; the element is nil once the request is read
}

// waitingConn is a connection whose request is not read yet.
type waitingConn struct {
	conn    net.Conn
	addedAt time.Time
}

func newConnLimiter(maxConns int) *connLimiter {
	return &connLimiter{maxConns: maxConns, waiting: list.New(), conns: map[net.Conn]*list.Element{}}
}

// listener returns a listener that limits the connections of the wrapped one.
func (l *connLimiter) listener(wrapped net.Listener) net.Listener { return limitedListener{wrapped, l} }

type limitedListener struct {
	net.Listener
	limiter *connLimiter
}

// Accept returns the next connection. It blocks while the limit allows no further one.
func (l limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		wait := l.limiter.add(conn)
		if wait <= 0 {
			return conn, nil
		}
		time.Sleep(wait) // further connections wait in the kernel's accept queue
	}
}

// add registers a connection and returns 0. At the limit it first closes the connection that has waited longest for its request. If there is
// none, or it has waited less than requestTimeout, add registers nothing and returns the time to wait before the next try.
func (l *connLimiter) add(conn net.Conn) (wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.maxConns {
		element := l.waiting.Front()
		if element == nil {
			return retryInterval // all requests are read; their connections close after the response
		}
		oldest := element.Value.(waitingConn)
		if age := time.Since(oldest.addedAt); age < requestTimeout {
			return min(requestTimeout-age, retryInterval)
		}
		l.remove(oldest.conn)
		_ = oldest.conn.Close()
	}
	l.conns[conn] = l.waiting.PushBack(waitingConn{conn, time.Now()})
	return 0
}

// requestRead records that a connection's request has been read. The connection is no longer closed for a new one.
func (l *connLimiter) requestRead(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if element := l.conns[conn]; element != nil {
		l.waiting.Remove(element)
		l.conns[conn] = nil
	}
}

// connState removes the connections that the HTTP server has closed.
func (l *connLimiter) connState(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.remove(conn)
	}
}

// remove unregisters a connection. The caller holds mu.
func (l *connLimiter) remove(conn net.Conn) {
	if element := l.conns[conn]; element != nil {
		l.waiting.Remove(element)
	}
	delete(l.conns, conn)
}
