package clients

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// room counts the clients' connections and knows which lie idle. Clients keep connections that they don't
// use; when those have taken all places, the one that was idle longest makes way for a new one, which would
// otherwise wait unanswered. A close that crosses a lookup is allowed: the client sends it again.
type room struct {
	most int

	mu     sync.Mutex
	open   int
	idle   *list.List // of net.Conn, the longest idle first
	places map[net.Conn]*list.Element
}

func newRoom(most int) *room {
	return &room{most: most, idle: list.New(), places: map[net.Conn]*list.Element{}}
}

// state follows the server's connections.
func (r *room) state(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.places[c]; e != nil {
		r.idle.Remove(e)
		delete(r.places, c)
	}
	switch s {
	case http.StateNew:
		if r.open++; r.open > r.most {
			if e := r.idle.Front(); e != nil {
				_ = e.Value.(net.Conn).Close() // its end is told here like any other
			}
		}
	case http.StateIdle:
		r.places[c] = r.idle.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		r.open--
	}
}

// crowded says whether there are more connections than there should be.
func (r *room) crowded() bool { return r.count() > r.most }

func (r *room) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}
