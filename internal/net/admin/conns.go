package admin

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// requestTimeout is how long each connection may wait for its request, even if others need the connection: a caller sends it at
	// once, but a busy node may take a while to read it.
	requestTimeout = 50 * time.Millisecond

	// retryInterval is the longest time between two checks for a free connection.
	retryInterval = requestTimeout / 10
)

// connLimiter bounds the number of connections. Callers may keep one for seconds without a whole request; if all are taken, the one that has
// waited longest for its request is closed for a new one.
type connLimiter struct {
	maxConns int

	mu      sync.Mutex
	waiting *list.List                 // of waitingConn: those whose request is not read yet, oldest first
	conns   map[net.Conn]*list.Element // all connections; nil once the request is read
}

type waitingConn struct {
	conn    net.Conn
	addedAt time.Time
}

func newConnLimiter(maxConns int) *connLimiter {
	return &connLimiter{maxConns: maxConns, waiting: list.New(), conns: map[net.Conn]*list.Element{}}
}

// listener returns l with its connections limited.
func (l *connLimiter) listener(wrapped net.Listener) net.Listener { return limitedListener{wrapped, l} }

type limitedListener struct {
	net.Listener
	limiter *connLimiter
}

// Accept returns the next connection once the limit allows for it.
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
		time.Sleep(wait) // further connections stay in the kernel's queue
	}
}

// add counts a connection in, closing the longest waiting one if need be, or returns the time to the next attempt.
func (l *connLimiter) add(conn net.Conn) (wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.maxConns {
		element := l.waiting.Front()
		if element == nil {
			return retryInterval // all requests are read; their connections close once they are answered
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

// requestRead keeps a connection, whose request has been read, from being closed for another.
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

// remove is called with mu locked.
func (l *connLimiter) remove(conn net.Conn) {
	if element := l.conns[conn]; element != nil {
		l.waiting.Remove(element)
	}
	delete(l.conns, conn)
}
