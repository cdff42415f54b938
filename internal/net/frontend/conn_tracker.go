package frontend

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/clock"
)

// How long a connection must have been quiet before it may be closed for a new one.
const (
	// newConnTimeout holds for a connection that never had a request: clients open one when they have a request, so this is ample for the first
	// byte, also if the node reads it late.
	newConnTimeout = 300 * time.Millisecond

	// stalledRequestTimeout holds within a request. Clients take up to 2 s to write one, and send some bytes all along.
	stalledRequestTimeout = 1 * time.Second

	// minQuietTime bounds both from below as waitFactor times the others' wait is taken off, unless the request makes progress.
	minQuietTime = 100 * time.Millisecond
	waitFactor   = 5

	// progressTime from a request's first bytes to its latest tells a slow client from one that wrote half a request at once.
	progressTime = 100 * time.Millisecond

	// usedConnTimeout holds for a connection between requests: a busy client sends the next one at once.
	usedConnTimeout = 50 * time.Millisecond
)

// connTracker counts the client connections and knows which carry no request. Clients keep connections that they do not use, and some never send
// anything; if such have reached the limit, the one that has been quiet longest is closed for a new one. Those that had a request go first, then those
// that never sent anything, then those that stalled within a request. A close may cross a request: the client sends it again.
type connTracker struct {
	maxOpen int

	mu         sync.Mutex
	open       int
	idle       *list.List // of *idleConn, the longest idle first
	idleByConn map[net.Conn]*list.Element
}

// idleConn is a connection that carries no request, as far as net/http knows.
type idleConn struct {
	conn           net.Conn
	unused         bool // it never had a request
	requestStarted bool // the beginning of the next request came with the last one
	idleSince      time.Time
}

func newConnTracker(maxOpen int) *connTracker {
	return &connTracker{maxOpen: maxOpen, idle: list.New(), idleByConn: map[net.Conn]*list.Element{}}
}

// connState follows the HTTP server's connections.
func (t *connTracker) connState(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeIdle(conn)
	client, isClient := conn.(*clientConn)
	if isClient {
		client.stateChanged.Store(int64(clock.Now()))
	}
	switch state {
	case http.StateNew:
		t.open++
		if t.open > t.maxOpen {
			t.closeIdleLocked(1, 0)
		}
		t.addIdle(&idleConn{conn: conn, unused: true, idleSince: time.Now()})
	case http.StateIdle:
		requestStarted := isClient && client.framing.midRequest()
		t.addIdle(&idleConn{conn: conn, requestStarted: requestStarted, idleSince: time.Now()})
	case http.StateClosed, http.StateHijacked:
		t.open--
	}
}

func (t *connTracker) addIdle(idle *idleConn) {
	t.idleByConn[idle.conn] = t.idle.PushBack(idle)
}

func (t *connTracker) removeIdle(conn net.Conn) {
	if element := t.idleByConn[conn]; element != nil {
		t.idle.Remove(element)
		delete(t.idleByConn, conn)
	}
}

// closeIdle closes up to n idle connections, as far as they may be closed. acceptWait is how long a new connection has waited.
func (t *connTracker) closeIdle(n int, acceptWait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeIdleLocked(n, acceptWait)
}

// closeIdleLocked does not close a connection itself: to net/http it is idle until the head of the next request is read, and a request that was read
// must be answered. It wakes the server's read, which closes the connection if nothing has come and serves it if something has.
func (t *connTracker) closeIdleLocked(n int, acceptWait time.Duration) {
	for ; n > 0; n-- {
		element := t.nextToClose(time.Now(), acceptWait)
		if element == nil {
			return
		}
		conn := element.Value.(*idleConn).conn
		t.removeIdle(conn)
		if client, isClient := conn.(*clientConn); isClient {
			client.closeRequested.Store(true)
		}
		_ = conn.SetReadDeadline(pastDeadline)
	}
}

// nextToClose returns the connection to close first; nil if none may be closed.
func (t *connTracker) nextToClose(now time.Time, acceptWait time.Duration) *list.Element {
	var best *list.Element
	bestRank := notClosable
	longest := time.Duration(0)
	for element := t.idle.Front(); element != nil; element = element.Next() {
		rank, quiet := element.Value.(*idleConn).closeRank(now, acceptWait)
		if rank > bestRank || rank == bestRank && rank != notClosable && quiet > longest {
			best = element
			bestRank = rank
			longest = quiet
		}
	}
	return best
}

// closeRank orders idle connections: the highest is closed first.
type closeRank int

const (
	notClosable closeRank = iota
	stalledRequest
	neverUsed
	betweenRequests
)

// closeRank returns a connection's rank, and how long it has been quiet.
func (c *idleConn) closeRank(now time.Time, acceptWait time.Duration) (rank closeRank, quiet time.Duration) {
	quiet = now.Sub(c.idleSince)
	requestStarted := c.requestStarted
	stallTimeout := max(minQuietTime, stalledRequestTimeout-waitFactor*acceptWait)
	if client, isClient := c.conn.(*clientConn); isClient {
		// net/http does not tell of a request before its head is read.
		if lastRead := clock.Moment(client.lastRead.Load()).Time(); lastRead.After(c.idleSince) {
			requestStarted = true
			quiet = now.Sub(lastRead)
			if lastRead.Sub(clock.Moment(client.firstRead.Load()).Time()) >= progressTime {
				stallTimeout = stalledRequestTimeout
			}
		}
	}
	switch {
	case requestStarted && quiet >= stallTimeout:
		return stalledRequest, quiet
	case !requestStarted && c.unused && quiet >= max(minQuietTime, newConnTimeout-waitFactor*acceptWait):
		return neverUsed, quiet
	case !requestStarted && !c.unused && quiet >= usedConnTimeout:
		return betweenRequests, quiet
	}
	return notClosable, quiet
}

// resize changes the limit.
func (t *connTracker) resize(maxOpen int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxOpen = maxOpen
	t.closeIdleLocked(t.open-maxOpen, 0)
}

// overLimit reports whether more connections are open than the limit.
func (t *connTracker) overLimit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open > t.maxOpen
}

func (t *connTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}
