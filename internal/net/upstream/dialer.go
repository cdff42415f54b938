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

const (
	maxDialsDivisor   = 4  // a quarter of the descriptors may be dials, so that the rest can go on
	maxDialsPerServer = 32 // more at once would not come up any sooner
)

// errNoResources is the error of a dial that was not begun.
var errNoResources = errors.New("no descriptor or dial left")

// dialer makes connections and bounds what they take: descriptors in all, and dials under way, in all and to each
// address. A dial goes on when the attempt that wanted it is given up, so a server that has vanished would otherwise
// gather one for each attempt. Connections are known by their pool key, see poolKey. Its methods may be called from any
// goroutine.
type dialer struct {
	net.Dialer
	maxDialsPerServer int
	quietPeriods      quietPeriods

	mu               sync.Mutex // guards everything below
	maxConns         int
	openConns        int // dials included
	dials            int
	dialsByAddress   map[string]int
	connsByKey       map[string]map[*conn]bool
	cacheBounded     bool // maxConnsPerCache holds
	maxConnsPerCache int  // dials included
}

// newDialer returns a dialer with no connections.
func newDialer(limits Limits) *dialer {
	return &dialer{
		Dialer:            net.Dialer{Timeout: limits.ConnectTimeout, KeepAlive: -1},
		maxDialsPerServer: maxDialsPerServer,
		maxConns:          limits.Descriptors,
		dialsByAddress:    map[string]int{},
		connsByKey:        map[string]map[*conn]bool{},
	}
}

// dial is an http.Transport's DialContext. The address comes with the context, see dialTarget; where it doesn't, the key
// is the address. It returns errNoResources where a bound is reached.
func (d *dialer) dial(ctx context.Context, network, key string) (net.Conn, error) {
	target, ok := ctx.Value(dialTargetKey{}).(dialTarget)
	if !ok {
		target.address = key
	}
	if !d.startDial(target.address, key, target.toCache) {
		return nil, errNoResources
	}
	socketConn, err := kernel.Dialing(d.DialContext)(ctx, network, target.address)
	d.finishDial(target.address, err != nil)
	if err != nil {
		return nil, err
	}
	c := newConn(socketConn.(socket), nil)
	c.toCache = target.toCache
	c.onUnsolicited = func(sinceLastRead time.Duration) { d.quietPeriods.observe(key, sinceLastRead) }
	c.onClose = sync.OnceFunc(func() { d.removeConn(key, c) })
	d.addConn(key, c)
	return c, nil
}

// startDial counts a dial and its descriptor, if the bounds permit them.
func (d *dialer) startDial(address, key string, toCache bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if toCache && d.cacheBounded && len(d.connsByKey[key])+d.dialsByAddress[address] >= d.maxConnsPerCache {
		return false
	}
	if d.openConns >= d.maxConns || d.dials >= max(1, d.maxConns/maxDialsDivisor) || d.dialsByAddress[address] >= d.maxDialsPerServer {
		return false
	}
	d.openConns++
	d.dials++
	d.dialsByAddress[address]++
	return true
}

// finishDial ends the count of a dial, and of its descriptor if it failed.
func (d *dialer) finishDial(address string, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials--
	d.dialsByAddress[address]--
	if d.dialsByAddress[address] == 0 {
		delete(d.dialsByAddress, address)
	}
	if failed {
		d.openConns--
	}
}

// addConn notes a connection whose descriptor startDial has counted.
func (d *dialer) addConn(key string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.connsByKey[key] == nil {
		d.connsByKey[key] = map[*conn]bool{}
	}
	d.connsByKey[key][c] = true
}

// removeConn forgets a closed connection and its descriptor.
func (d *dialer) removeConn(key string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openConns--
	delete(d.connsByKey[key], c)
	if len(d.connsByKey[key]) == 0 {
		delete(d.connsByKey, key)
	}
}

// closeIdle closes the idle connections of a key, except for keep of them: the longest idle first, as the transport
// takes the latest. One may be acquired in the same moment; then nothing can be written to it any more, and its request
// goes on another.
func (d *dialer) closeIdle(key string, keep int) {
	d.mu.Lock()
	var idle, retired []*conn
	for c := range d.connsByKey[key] {
		if _, inUse := c.idleSince(); !inUse {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *conn) int {
		aSince, _ := a.idleSince()
		bSince, _ := b.idleSince()
		return aSince.Compare(bSince)
	})
	for _, c := range idle[:max(0, len(idle)-keep)] {
		if c.retire() {
			retired = append(retired, c)
		}
	}
	d.mu.Unlock()
	closeAll(retired)
}

// setMaxConnsPerCache bounds the connections to each cache from now on. Idle ones beyond the bound are closed before it
// returns, since the quota that is given up goes to other nodes.
func (d *dialer) setMaxConnsPerCache(n int) {
	d.mu.Lock()
	d.cacheBounded = true
	d.maxConnsPerCache = n
	var retired []*conn
	for _, conns := range d.connsByKey {
		excess := len(conns) - n
		for c := range conns {
			if excess > 0 && c.toCache && c.retire() {
				retired = append(retired, c)
				excess--
			}
		}
	}
	d.mu.Unlock()
	closeAll(retired)
}

// resize changes how many connections there may be, and closes as many idle ones as there are too many.
func (d *dialer) resize(maxConns int) {
	d.mu.Lock()
	d.maxConns = maxConns
	excess := d.openConns - maxConns
	var retired []*conn
	for _, conns := range d.connsByKey {
		for c := range conns {
			if len(retired) < excess && c.retire() {
				retired = append(retired, c)
			}
		}
	}
	d.mu.Unlock()
	closeAll(retired)
}

// closeAll closes retired connections. It is called without the dialer's lock, which removeConn takes. The transport's own
// later close does nothing.
func closeAll(retired []*conn) {
	for _, c := range retired {
		_ = c.Close()
	}
}
