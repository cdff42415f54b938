package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

var errNoRoom = errors.New("no descriptor or dial left")

// dialer bounds what connections towards the servers take: descriptors in all, and dials that are under
// way, in all and to each server. A dial lives on when the shot that wanted it is given up, so a server
// that vanished would otherwise gather one for each shot sent to it.
type dialer struct {
	net.Dialer
	each int

	mu      sync.Mutex
	most    int
	open    int // dials under way included
	dialing int
	to      map[string]int
	kept    map[string]map[*conn]bool // open connections by place
	bounded bool                      // atCache holds:
	atCache int                       // connections to each cache, those being made included
	quiet   quietPeriods
}

func (d *dialer) dial(ctx context.Context, network, place string) (net.Conn, error) {
	to, ok := ctx.Value(toAddress{}).(target)
	if !ok {
		to.address = place
	}
	address := to.address
	if !d.begin(address, place, to.cache) {
		return nil, errNoRoom
	}
	c, err := kernel.Dialing(d.DialContext)(ctx, network, address)
	d.end(address, err != nil)
	if err != nil {
		return nil, err
	}
	own := newConn(c.(socket), nil)
	own.cache = to.cache
	own.onUnsolicited = func(after time.Duration) { d.quiet.unsolicited(place, after) }
	own.closed = sync.OnceFunc(func() { d.change(-1, place, own) })
	d.change(0, place, own)
	return own, nil
}

// hangUp closes the connections to a place that carry nothing, but for so many, those idle for longest first, as the
// transport takes the latest. One may be taken for a shot in the same moment: then nothing can be written to it any
// more, and the shot goes on another.
func (d *dialer) hangUp(place string, but int) {
	d.mu.Lock()
	var free, idle []*conn
	for c := range d.kept[place] {
		if _, busy := c.idleSince(); !busy {
			free = append(free, c)
		}
	}
	slices.SortFunc(free, func(x, y *conn) int {
		of, _ := x.idleSince()
		than, _ := y.idleSince()
		return of.Compare(than)
	})
	for _, c := range free[:max(0, len(free)-but)] {
		if c.retire() {
			idle = append(idle, c)
		}
	}
	d.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // a second closing, by the transport, does nothing
	}
}

// bound holds the connections to each cache to so many from now on. The part of the fleet's budget that is given up goes to others, so
// what idles beyond it is closed before this returns.
func (d *dialer) bound(most int) {
	d.mu.Lock()
	d.bounded, d.atCache = true, most
	var idle []*conn
	for _, kept := range d.kept {
		beyond := len(kept) - most
		for c := range kept {
			if beyond > 0 && c.cache && c.retire() {
				idle = append(idle, c)
				beyond--
			}
		}
	}
	d.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// resize changes how many connections there may be, and closes as many idle ones as there are too many.
func (d *dialer) resize(most int) {
	d.mu.Lock()
	d.most = most
	beyond := d.open - most
	var idle []*conn
	for _, kept := range d.kept {
		for c := range kept {
			if len(idle) < beyond && c.retire() {
				idle = append(idle, c)
			}
		}
	}
	d.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

func (d *dialer) begin(address, place string, cache bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cache && d.bounded && len(d.kept[place])+d.to[address] >= d.atCache {
		return false
	}
	if d.open >= d.most || d.dialing >= max(1, d.most/dialsPart) || d.to[address] >= d.each {
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

// change keeps count of the open connections, and of whose they are: one more (0, as begin has counted it) or one less.
func (d *dialer) change(by int, place string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open += by
	if by == 0 {
		if d.kept[place] == nil {
			d.kept[place] = map[*conn]bool{}
		}
		d.kept[place][c] = true
	} else if delete(d.kept[place], c); len(d.kept[place]) == 0 {
		delete(d.kept, place)
	}
}
