package frontend

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
)

// Each timeout in this block is the time for which a connection must have sent nothing before it may be closed in favor of a new one.
const (
	// newConnTimeout applies to a connection that has not carried a request yet. Clients open a connection only when they have a request to send, so
	// the first byte arrives well within this time, even if the node is slow to read it.
	newConnTimeout = 300 * time.Millisecond

	// stalledRequestTimeout applies while a request is being received. Clients take up to 2 s to write a request, and send bytes throughout that time.
	stalledRequestTimeout = 1 * time.Second

	// While new connections wait to be accepted, the two timeouts above are shorter: stalledRequestTimeout is reduced by acceptWaitFactor times the wait of
	// the next new connection, and newConnTimeout by as many times the time for which new connections have had to wait, but neither below minQuietTime. The
	// full stalledRequestTimeout still applies to a request that makes progress (see minProgressTime).
	minQuietTime     = 100 * time.Millisecond
	acceptWaitFactor = 5

	// minProgressTime: a request makes progress if at least this time lies between the arrivals of its first and its latest bytes. This distinguishes
	// a slow client from one that wrote half a request at once and then stopped.
	minProgressTime = 100 * time.Millisecond

	// protectedDivisor: half of the limit is for connections that have carried requests; with fewer, those between requests are not closed.
	protectedDivisor = 2

	// usedConnTimeout applies to a connection between requests: a busy client sends its next request immediately.
	usedConnTimeout = 50 * time.Millisecond
)

// acceptWait tells how long new connections have had to wait to be accepted.
type acceptWait struct {
	next time.Duration // the wait of the next one
	all  time.Duration // since one last did not have to wait
}

// connTracker counts the client connections and tracks which of them carry no request. Clients keep connections open without using them, and some
// never send anything. Once the limit is reached, an idle connection is closed for each new one. Connections that never sent anything are closed first,
// then those between requests, then those that stalled within a request. Clients between requests would have to connect again behind all new ones, so
// theirs are closed only while connections that have carried requests take more than their part of the limit (protectedDivisor). Within each of these
// groups, the one that has been quiet longest is closed first. A request may arrive while its connection is being closed; the client then sends it again.
type connTracker struct {
	maxOpen int
	closes  *metrics.NamedCounts

	mu         sync.Mutex
	open       int
	idle       *list.List // of *idleConn, longest idle first
	idleByConn map[net.Conn]*list.Element
	unused     int // idle connections that have not carried a request yet
}

// idleConn is a connection that carries no request according to net/http, which counts a request only once its whole head has been read.
type idleConn struct {
	conn           net.Conn
	unused         bool // has not carried a request yet
	requestStarted bool // the last read of the previous request also returned the beginning of the next one
	idleSince      time.Time
}

func newConnTracker(maxOpen int, closes *metrics.NamedCounts) *connTracker {
	return &connTracker{maxOpen: maxOpen, closes: closes, idle: list.New(), idleByConn: map[net.Conn]*list.Element{}}
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
			t.closeIdleLocked(1, acceptWait{})
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
	if idle.unused {
		t.unused++
	}
}

func (t *connTracker) removeIdle(conn net.Conn) {
	element := t.idleByConn[conn]
	if element == nil {
		return
	}
	t.idle.Remove(element)
	delete(t.idleByConn, conn)
	if element.Value.(*idleConn).unused {
		t.unused--
	}
}

// closeIdle closes up to n idle connections in favor of new ones, of those whose timeout has passed.
func (t *connTracker) closeIdle(n int, wait acceptWait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeIdleLocked(n, wait)
}

// closeAllIdle closes all idle connections whose timeout has passed, at the shutdown, which has lasted for elapsed.
func (t *connTracker) closeAllIdle(elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := acceptWait{elapsed, elapsed}
	for element := t.nextToClose(wait, true); element != nil; element = t.nextToClose(wait, true) {
		t.closeWhenIdle(element, closedDraining)
	}
}

// closeIdleLocked is closeIdle with the lock held.
func (t *connTracker) closeIdleLocked(n int, wait acceptWait) {
	for ; n > 0; n-- {
		element := t.nextToClose(wait, t.used() > t.maxOpen/protectedDivisor)
		if element == nil {
			return
		}
		t.closeWhenIdle(element, closedForNewClient)
	}
}

// closeWhenIdle does not call Close on a connection: net/http reports it as idle until the head of the next request is read, and a request that has been
// read must be answered. Instead it sets a read deadline in the past, which wakes the server's blocked read. The server then closes the connection if no
// bytes have arrived, and serves the request if some have.
func (t *connTracker) closeWhenIdle(element *list.Element, reason closeReason) {
	t.closes.Add(string(reason))
	conn := element.Value.(*idleConn).conn
	t.removeIdle(conn)
	if client, isClient := conn.(*clientConn); isClient {
		client.closeRequested.Store(true)
	}
	_ = conn.SetReadDeadline(pastDeadline)
}

// nextToClose returns the connection to close next, or nil if none may be closed. Connections between requests may be closed only if mayCloseUsed is set.
func (t *connTracker) nextToClose(wait acceptWait, mayCloseUsed bool) *list.Element {
	now := time.Now()
	var best *list.Element
	bestRank := notClosable
	longestQuiet := time.Duration(0)
	for element := t.idle.Front(); element != nil; element = element.Next() {
		rank, quiet := element.Value.(*idleConn).rankForClosing(now, wait)
		if rank == betweenRequests && !mayCloseUsed {
			continue
		}
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
	betweenRequests
	neverUsed
)

// rankForClosing returns a connection's rank, and for how long the connection has sent nothing.
func (c *idleConn) rankForClosing(now time.Time, wait acceptWait) (rank closeRank, quiet time.Duration) {
	quiet = now.Sub(c.idleSince)
	requestStarted := c.requestStarted
	stallTimeout := max(minQuietTime, stalledRequestTimeout-acceptWaitFactor*wait.next)
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
	case !requestStarted && c.unused && quiet >= max(minQuietTime, newConnTimeout-acceptWaitFactor*wait.all):
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
	t.closeIdleLocked(t.open-maxOpen, acceptWait{})
}

// overLimit reports whether more connections that carry requests, or have carried some, are open than the limit. The others are closed first, so they
// are no reason for a client to connect again.
func (t *connTracker) overLimit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.used() > t.maxOpen
}

// used returns how many connections carry a request or have carried one. Called with the lock held.
func (t *connTracker) used() int { return t.open - t.unused }

func (t *connTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}
