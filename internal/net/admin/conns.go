package admin

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// requestTimeout is how long each connection may wait for its call: a true one brings it at once, but a node under full load
// may take a while to hear it.
const requestTimeout = 50 * time.Millisecond

// connLimiter bounds the connections that operators hold. Callers may hold one for seconds without a whole call; when such
// have taken all places, the one that has waited longest goes, so that a true call is never kept waiting by them.
type connLimiter struct {
	most int

	mu      sync.Mutex
	waiting *list.List                 // of waiter, those without a whole call, the longest waiting first
	conns   map[net.Conn]*list.Element // nil: its call has come
}

func newPlaces(most int) *connLimiter {
	return &connLimiter{most: most, waiting: list.New(), conns: map[net.Conn]*list.Element{}}
}

type waiter struct {
	conn  net.Conn
	since time.Time
}

type placed struct {
	net.Listener
	*connLimiter
}

func (p *connLimiter) over(l net.Listener) net.Listener { return placed{l, p} }

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
func (p *connLimiter) enter(c net.Conn) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) >= p.most {
		first := p.waiting.Front()
		if first == nil {
			return requestTimeout / 10 // each has brought its call, and goes once it is answered: a place beyond is nobody's to take
		}
		longest := first.Value.(waiter)
		if age := time.Since(longest.since); age < requestTimeout {
			return min(requestTimeout-age, requestTimeout/10)
		}
		p.leave(longest.conn)
		_ = longest.conn.Close()
	}
	p.conns[c] = p.waiting.PushBack(waiter{c, time.Now()})
	return 0
}

// called says that a connection has brought a whole call, and now keeps its place.
func (p *connLimiter) called(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.conns[c]; e != nil {
		p.waiting.Remove(e)
		p.conns[c] = nil
	}
}

// state follows the server's connections.
func (p *connLimiter) state(c net.Conn, s http.ConnState) {
	if s == http.StateClosed {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.leave(c)
	}
}

func (p *connLimiter) leave(c net.Conn) {
	if e := p.conns[c]; e != nil {
		p.waiting.Remove(e)
	}
	delete(p.conns, c)
}
