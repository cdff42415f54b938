package servers

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

var errNoRoom = errors.New("no descriptor or dial left")

// dialer bounds what connections towards the servers take: descriptors in all, and dials that are under
// way, in all and to each server. A dial lives on when the shot that wanted it is given up, so a server
// that vanished would otherwise gather one for each shot sent to it.
type dialer struct {
	net.Dialer
	most, dials, each int

	mu      sync.Mutex
	open    int // dials under way included
	dialing int
	to      map[string]int
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.begin(address) {
		return nil, errNoRoom
	}
	c, err := d.DialContext(ctx, network, address)
	d.end(address, err != nil)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, closed: sync.OnceFunc(func() { d.change(-1) })}, nil
}

func (d *dialer) begin(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open >= d.most || d.dialing >= d.dials || d.to[address] >= d.each {
		return false
	}
	d.open++
	d.dialing++
	d.to[address]++
	return true
}

func (d *dialer) end(address string, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dialing--
	if d.to[address]--; d.to[address] == 0 {
		delete(d.to, address)
	}
	if failed {
		d.open--
	}
}

func (d *dialer) change(by int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open += by
}

// conn gives its descriptor back once, and knows what was written to it: httptrace's WroteRequest comes
// before the transport flushes its buffer, so it can't tell whether anything has left.
type conn struct {
	net.Conn
	closed  func()
	written atomic.Int64 // bytes
	failed  atomic.Bool  // a write came to an end before its last byte
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	if n < len(b) {
		c.failed.Store(true)
	}
	return n, err
}

func (c *conn) Close() error {
	c.closed()
	return c.Conn.Close()
}
