package frontend

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/clock"
)

const (
	// newConnTimeout is how long a new connection may say nothing before it may have to make way: clients open one when they
	// have a lookup, so this is ample for the first byte, also where a node comes to read it late.
	newConnTimeout = 300 * time.Millisecond
	// stalledRequestTimeout is how long one that has begun its lookup may pause. True ones take up to two seconds to write, and
	// bring some bytes all along; others in a crowd begin and never go on.
	stalledRequestTimeout = 1 * time.Second
	// minQuietTime is how long either may be quiet when others have waited for a place for a while, unless it advances.
	minQuietTime = 100 * time.Millisecond
	// waitFactor is how much of these spans the others' wait takes off.
	waitFactor = 5
	// progressTime is the span between a lookup's first bytes and its latest that tells a slow client from one that
	// wrote half a lookup at once.
	progressTime = 100 * time.Millisecond
	// usedConnTimeout is how long a kept one must have been idle: a client that is busy sends the next lookup at once.
	usedConnTimeout = 50 * time.Millisecond
)

// connTracker counts the clients' connections and knows which carry no lookup. Clients keep connections that they
// don't use, and some never send anything; when such have taken all places, the longest quiet one makes way
// for a new one, which would otherwise wait unanswered. Those that were used come first, then those that never said
// anything, then those that have stopped in the middle of a lookup; who is writing one stays. A close that crosses a
// lookup is allowed: the client sends it again.
type connTracker struct {
	maxOpen int

	mu         sync.Mutex
	open       int
	idle       *list.List // of *place, the longest quiet first
	idleByConn map[net.Conn]*list.Element
}

// idleConn is a connection that carries no lookup.
type idleConn struct {
	conn         net.Conn
	unused       bool // it never had one
	requestBegun bool // it came with the beginning of the next one
	since        time.Time
}

func newConnTracker(most int) *connTracker {
	return &connTracker{maxOpen: most, idle: list.New(), idleByConn: map[net.Conn]*list.Element{}}
}

// connState follows the server's connections.
func (r *connTracker) connState(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.idleByConn[c]; e != nil {
		r.idle.Remove(e)
		delete(r.idleByConn, c)
	}
	if own, ours := c.(*clientConn); ours {
		own.stateChanged.Store(int64(clock.Now()))
	}
	switch s {
	case http.StateNew:
		if r.open++; r.open > r.maxOpen {
			r.closeIdleLocked(1, 0)
		}
		r.idleByConn[c] = r.idle.PushBack(&idleConn{conn: c, unused: true, since: time.Now()})
	case http.StateIdle:
		own, ours := c.(*clientConn)
		r.idleByConn[c] = r.idle.PushBack(&idleConn{conn: c, requestBegun: ours && own.framing.midRequest(), since: time.Now()})
	case http.StateClosed, http.StateHijacked:
		r.open--
	}
}

// closeIdle ends so many connections, those that were quiet longest, as far as they may be ended. waited is for how long
// a place has been wanted.
func (r *connTracker) closeIdle(most int, waited time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeIdleLocked(most, waited)
}

// closeIdleLocked doesn't close a connection: the server calls it idle until it has read the next lookup's headers, and
// a lookup that was read must be answered. It wakes the server's read instead. The server then closes the
// connection itself if nothing has come, and answers if something has.
func (r *connTracker) closeIdleLocked(most int, waited time.Duration) {
	for ; most > 0; most-- {
		e := r.nextToClose(time.Now(), waited)
		if e == nil {
			return
		}
		p := e.Value.(*idleConn)
		r.idle.Remove(e)
		delete(r.idleByConn, p.conn)
		if own, ours := p.conn.(*clientConn); ours {
			own.closeRequested.Store(true)
		}
		_ = p.conn.SetReadDeadline(pastDeadline)
	}
}

// nextToClose gives the connection that makes way before all others, if there is one that may have to.
func (r *connTracker) nextToClose(now time.Time, waited time.Duration) (best *list.Element) {
	rank, longest := 0, time.Duration(0)
	for e := r.idle.Front(); e != nil; e = e.Next() {
		if its, quiet := e.Value.(*idleConn).closeRank(now, waited); its > rank || its == rank && its > 0 && quiet > longest {
			best, rank, longest = e, its, quiet
		}
	}
	return best
}

// closeRank says for how long a connection has brought nothing, and ranks it: the highest makes way first, 0 not at all.
func (p *idleConn) closeRank(now time.Time, waited time.Duration) (rank int, since time.Duration) {
	since = now.Sub(p.since)
	begun := p.requestBegun // its next lookup, which the server does not tell before its headers are read
	pause := max(minQuietTime, stalledRequestTimeout-waitFactor*waited)
	if c, ours := p.conn.(*clientConn); ours {
		if heard := clock.Moment(c.lastRead.Load()).Time(); heard.After(p.since) {
			begun, since = true, now.Sub(heard)
			if heard.Sub(clock.Moment(c.firstRead.Load()).Time()) >= progressTime {
				pause = stalledRequestTimeout
			}
		}
	}
	switch {
	case begun && since >= pause:
		return 1, since
	case !begun && p.unused && since >= max(minQuietTime, newConnTimeout-waitFactor*waited):
		return 2, since
	case !begun && !p.unused && since >= usedConnTimeout:
		return 3, since
	}
	return 0, since
}

// resize changes how many connections there should be.
func (r *connTracker) resize(most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxOpen = most
	r.closeIdleLocked(r.open-most, 0)
}

// overLimit says whether there are more connections than there should be.
func (r *connTracker) overLimit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open > r.maxOpen
}

func (r *connTracker) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}
