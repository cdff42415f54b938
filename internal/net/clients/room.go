package clients

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// unheard is how long a new connection may take to its first lookup before it may have to make way. Clients
// open one when they have a lookup, so a second is ample.
const unheard = 1 * time.Second

// room counts the clients' connections and knows which carry no lookup. Clients keep connections that they
// don't use, and some never send anything; when such have taken all places, the longest quiet one makes way
// for a new one, which would otherwise wait unanswered. A close that crosses a lookup is allowed: the client
// sends it again.
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
	switch s {
	case http.StateNew:
		if r.open++; r.open > r.most {
			r.giveWay()
		}
		r.places[c] = r.quiet.PushBack(&place{c, true, time.Now()})
	case http.StateIdle:
		r.places[c] = r.quiet.PushBack(&place{c, false, time.Now()})
	case http.StateClosed, http.StateHijacked:
		r.open--
	}
}

// makeWay closes the connection that was quiet longest, if one may be closed.
func (r *room) makeWay() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.giveWay()
}

func (r *room) giveWay() {
	for e := r.quiet.Front(); e != nil; e = e.Next() {
		if p := e.Value.(*place); !p.fresh || time.Since(p.since) >= unheard {
			r.quiet.Remove(e)
			delete(r.places, p.conn)
			_ = p.conn.Close() // its end is told to state like any other
			return
		}
	}
}

// crowded says whether there are more connections than there should be.
func (r *room) crowded() bool { return r.count() > r.most }

func (r *room) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}
