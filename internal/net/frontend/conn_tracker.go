package frontend

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/clock"
)

// Each timeout in this block is the time for which a connection must have sent nothing before it may be closed in favor of a new one.
const (
	// newConnTimeout applies to a connection that has not carried a request yet. Clients open a connection only when they have a request to send, so
	// the first byte arrives well within this time, even if the node is slow to read it.
	newConnTimeout = 300 * time.Millisecond

	// stalledRequestTimeout applies while a request is being received. Clients take up to 2 s to write a request, and send bytes throughout that time.
	stalledRequestTimeout = 1 * time.Second

	// While new connections wait to be accepted, the two timeouts above are shorter: each is reduced by acceptWaitFactor times the wait of a new
	// connection, but not below minQuietTime. The full stalledRequestTimeout still applies to a request that makes progress (see minProgressTime).
	minQuietTime     = 100 * time.Millisecond
	acceptWaitFactor = 5

	// minProgressTime: a request makes progress if at least this time lies between the arrivals of its first and its latest bytes. This distinguishes
	// a slow client from one that wrote half a request at once and then stopped.
	minProgressTime = 100 * time.Millisecond

	// usedConnTimeout applies to a connection between requests: a busy client sends its next request immediately.
	usedConnTimeout = 50 * time.Millisecond
)

// connTracker counts the client connections and tracks which of them carry no request. Clients keep connections open without using them, and some
// never send anything. Once the limit is reached, an idle connection is closed for each new one. Connections between requests are closed first, then
// those that never sent anything, then those that stalled within a request. Within each of these groups, the one that has been quiet longest is closed
// first. A request may arrive while its connection is being closed; the client then sends it again.
type connTracker struct {
	maxOpen int

	mu         sync.Mutex
	open       int
	idle       *list.List // of *idleConn, longest idle first
	idleByConn map[net.Conn]*list.Element
}

// idleConn is a connection that carries no request according to net/http, which counts a request only once its whole head has been read.
type idleConn struct {
	conn           net.Conn
	unused         bool // has not carried a request yet
	requestStarted bool // the last read of the previous request also returned the beginning of the next one
	idleSince      time.Time
}

func newConnTracker(maxOpen int) *connTracker {
	return &connTracker{maxOpen: maxOpen, idle: list.New(), idleByConn: map[net.Conn]*list.Element{}}
}

// connState is the http.Server's ConnState hook.
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

// closeIdle closes up to n idle connections, of those whose timeout has passed. acceptWait is how long a new connection has waited to be accepted.
func (t *connTracker) closeIdle(n int, acceptWait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeIdleLocked(n, acceptWait)
}

// closeIdleLocked is closeIdle with the lock held. It does not call Close on a connection: net/http reports it as idle until the head of the next request is read, and a request that has
// been read must be answered. Instead it sets a read deadline in the past, which wakes the server's blocked read. The server then closes the connection
// if no bytes have arrived, and serves the request if some have.
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

// nextToClose returns the connection to close next, or nil if none may be closed.
func (t *connTracker) nextToClose(now time.Time, acceptWait time.Duration) *list.Element {
	var best *list.Element
	bestRank := notClosable
	longestQuiet := time.Duration(0)
	for element := t.idle.Front(); element != nil; element = element.Next() {
		rank, quiet := element.Value.(*idleConn).rankForClosing(now, acceptWait)
		if rank > bestRank || rank == bestRank && rank != notClosable && quiet > longestQuiet {
			best = element
			bestRank = rank
			longestQuiet = quiet
		}
	}
	return best
}

// closeRank orders idle connections: the highest rank is closed first.
type closeRank int

const (
	notClosable closeRank = iota
	stalledRequest
	neverUsed
	betweenRequests
)

// rankForClosing returns a connection's rank, and for how long the connection has sent nothing.
func (c *idleConn) rankForClosing(now time.Time, acceptWait time.Duration) (rank closeRank, quiet time.Duration) {
	quiet = now.Sub(c.idleSince)
	requestStarted := c.requestStarted
	stallTimeout := max(minQuietTime, stalledRequestTimeout-acceptWaitFactor*acceptWait)
	if client, isClient := c.conn.(*clientConn); isClient {
		// net/http does not report a request before it has read its whole head.
		if lastRead := clock.Moment(client.lastRead.Load()).Time(); lastRead.After(c.idleSince) {
			requestStarted = true
			quiet = now.Sub(lastRead)
			if lastRead.Sub(clock.Moment(client.firstRead.Load()).Time()) >= minProgressTime {
				stallTimeout = stalledRequestTimeout
			}
		}
	}
	switch {
	case requestStarted && quiet >= stallTimeout:
		return stalledRequest, quiet
	case !requestStarted && c.unused && quiet >= max(minQuietTime, newConnTimeout-acceptWaitFactor*acceptWait):
		return neverUsed, quiet
	case !requestStarted && !c.unused && quiet >= usedConnTimeout:
		return betweenRequests, quiet
	}
	return notClosable, quiet
}

// resize changes the limit. For each connection in excess of it, resize closes one idle connection, as far as there are any whose timeout has passed.
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
