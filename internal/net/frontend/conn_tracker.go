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
	// unheard is how long a new connection may say nothing before it may have to make way: clients open one when they
	// have a lookup, so this is ample for the first byte, also where a node comes to read it late.
	unheard = 300 * time.Millisecond
	// stalled is how long one that has begun its lookup may pause. True ones take up to two seconds to write, and
	// bring some bytes all along; others in a crowd begin and never go on.
	stalled = 1 * time.Second
	// hurried is how long either may be quiet when others have waited for a place for a while, unless it advances.
	hurried = 100 * time.Millisecond
	// waitFactor is how much of these spans the others' wait takes off.
	waitFactor = 5
	// advancing is the span between a lookup's first bytes and its latest that tells a slow client from one that
	// wrote half a lookup at once.
	advancing = 100 * time.Millisecond
	// unused is how long a kept one must have been idle: a client that is busy sends the next lookup at once.
	unused = 50 * time.Millisecond
)

// past is a deadline that wakes whoever waits for a read.
var past = time.Now().Add(-time.Hour)

// room counts the clients' connections and knows which carry no lookup. Clients keep connections that they
// don't use, and some never send anything; when such have taken all places, the longest quiet one makes way
// for a new one, which would otherwise wait unanswered. Those that were used come first, then those that never said
// anything, then those that have stopped in the middle of a lookup; who is writing one stays. A close that crosses a
// lookup is allowed: the client sends it again.
type room struct {
	most int

	mu     sync.Mutex
	open   int
	quiet  *list.List // of *place, the longest quiet first
	places map[net.Conn]*list.Element
}

// place is a connection that carries no lookup.
type place struct {
	conn  net.Conn
	fresh bool // it never had one
	begun bool // it came with the beginning of the next one
	since time.Time
}

func newRoom(most int) *room {
	return &room{most: most, quiet: list.New(), places: map[net.Conn]*list.Element{}}
}

// state follows the server's connections.
func (r *room) state(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.places[c]; e != nil {
		r.quiet.Remove(e)
		delete(r.places, c)
	}
	if own, ours := c.(*placed); ours {
		own.turn.Store(int64(clock.Now()))
	}
	switch s {
	case http.StateNew:
		if r.open++; r.open > r.most {
			r.giveWay(1, 0)
		}
		r.places[c] = r.quiet.PushBack(&place{conn: c, fresh: true, since: time.Now()})
	case http.StateIdle:
		own, ours := c.(*placed)
		r.places[c] = r.quiet.PushBack(&place{conn: c, begun: ours && own.framing.amid(), since: time.Now()})
	case http.StateClosed, http.StateHijacked:
		r.open--
	}
}

// makeWay ends so many connections, those that were quiet longest, as far as they may be ended. waited is for how long
// a place has been wanted.
func (r *room) makeWay(most int, waited time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.giveWay(most, waited)
}

// giveWay doesn't close a connection: the server calls it idle until it has read the next lookup's headers, and
// a lookup that was read must be answered. It wakes the server's read instead. The server then closes the
// connection itself if nothing has come, and answers if something has.
func (r *room) giveWay(most int, waited time.Duration) {
	for ; most > 0; most-- {
		e := r.first(time.Now(), waited)
		if e == nil {
			return
		}
		p := e.Value.(*place)
		r.quiet.Remove(e)
		delete(r.places, p.conn)
		if own, ours := p.conn.(*placed); ours {
			own.woken.Store(true)
		}
		_ = p.conn.SetReadDeadline(past)
	}
}

// first gives the connection that makes way before all others, if there is one that may have to.
func (r *room) first(now time.Time, waited time.Duration) (best *list.Element) {
	rank, longest := 0, time.Duration(0)
	for e := r.quiet.Front(); e != nil; e = e.Next() {
		if its, quiet := e.Value.(*place).quiet(now, waited); its > rank || its == rank && its > 0 && quiet > longest {
			best, rank, longest = e, its, quiet
		}
	}
	return best
}

// quiet says for how long a connection has brought nothing, and ranks it: the highest makes way first, 0 not at all.
func (p *place) quiet(now time.Time, waited time.Duration) (rank int, since time.Duration) {
	since = now.Sub(p.since)
	begun := p.begun // its next lookup, which the server does not tell before its headers are read
	pause := max(hurried, stalled-waitFactor*waited)
	if c, ours := p.conn.(*placed); ours {
		if heard := clock.Moment(c.heard.Load()).Time(); heard.After(p.since) {
			begun, since = true, now.Sub(heard)
			if heard.Sub(clock.Moment(c.began.Load()).Time()) >= advancing {
				pause = stalled
			}
		}
	}
	switch {
	case begun && since >= pause:
		return 1, since
	case !begun && p.fresh && since >= max(hurried, unheard-waitFactor*waited):
		return 2, since
	case !begun && !p.fresh && since >= unused:
		return 3, since
	}
	return 0, since
}

// resize changes how many connections there should be.
func (r *room) resize(most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.most = most
	r.giveWay(r.open-most, 0)
}

// crowded says whether there are more connections than there should be.
func (r *room) crowded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open > r.most
}

func (r *room) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}
