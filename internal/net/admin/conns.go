package admin

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// hearIn is how long each connection may wait for its call: a true one brings it at once, but a node under full load
// may take a while to hear it.
const hearIn = 50 * time.Millisecond

// places bounds the connections that operators hold. Callers may hold one for seconds without a whole call; when such
// have taken all places, the one that has waited longest goes, so that a true call is never kept waiting by them.
type places struct {
	most int

	mu      sync.Mutex
	waiting *list.List                 // of waiter, those without a whole call, the longest waiting first
	held    map[net.Conn]*list.Element // nil: its call has come
}

func newPlaces(most int) *places {
	return &places{most: most, waiting: list.New(), held: map[net.Conn]*list.Element{}}
}

type waiter struct {
	conn  net.Conn
	since time.Time
}

type placed struct {
	net.Listener
	*places
}

func (p *places) over(l net.Listener) net.Listener { return placed{l, p} }

// Accept takes the next connection, and ends the longest waiting one for it if need be.
func (p placed) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		wait := p.enter(c)
		if wait <= 0 {
			return c, nil
		}
		time.Sleep(wait) // the next ones are in the kernel's queue meanwhile
	}
}

// enter gives a connection a place, or says how long it has to wait for one at the most.
func (p *places) enter(c net.Conn) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.held) >= p.most {
		first := p.waiting.Front()
		if first == nil {
			return hearIn / 10 // each has brought its call, and goes once it is answered: a place beyond is nobody's to take
		}
		longest := first.Value.(waiter)
		if age := time.Since(longest.since); age < hearIn {
			return min(hearIn-age, hearIn/10)
		}
		p.leave(longest.conn)
		_ = longest.conn.Close()
	}
	p.held[c] = p.waiting.PushBack(waiter{c, time.Now()})
	return 0
}

// called says that a connection has brought a whole call, and now keeps its place.
func (p *places) called(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.held[c]; e != nil {
		p.waiting.Remove(e)
		p.held[c] = nil
	}
}

// state follows the server's connections.
func (p *places) state(c net.Conn, s http.ConnState) {
	if s == http.StateClosed {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.leave(c)
	}
}

func (p *places) leave(c net.Conn) {
	if e := p.held[c]; e != nil {
		p.waiting.Remove(e)
	}
	delete(p.held, c)
}
