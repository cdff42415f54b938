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
	maxDialsDivisor   = 4  // at most a quarter of the descriptors are dials, so that established connections keep the rest
	maxDialsPerServer = 32 // more dials at a time would not complete any sooner
)

// errLimitReached is returned for a dial that was not started because a limit is reached.
var errLimitReached = errors.New("connection or dial limit reached")

// dialer establishes connections. It limits the descriptors in total, and the dials in progress in total and to each
// address. A dial continues after its attempt has ended, so without the limit an unreachable server would accumulate one
// dial for each attempt. Connections are grouped by their pool key, see poolKey. Its methods are safe for concurrent use.
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
	hasCacheLimit    bool // maxConnsPerCache is set and applies
	maxConnsPerCache int  // dials included
}

func newDialer(limits Limits) *dialer {
	return &dialer{
		Dialer:            net.Dialer{Timeout: limits.ConnectTimeout, KeepAlive: -1},
		maxDialsPerServer: maxDialsPerServer,
		maxConns:          limits.Descriptors,
		dialsByAddress:    map[string]int{},
		connsByKey:        map[string]map[*conn]bool{},
	}
}

// dial implements http.Transport's DialContext. The address is taken from the context, see dialTarget; without one, the
// key is the address. It returns errLimitReached if a limit is reached.
func (d *dialer) dial(ctx context.Context, network, key string) (net.Conn, error) {
	target, ok := ctx.Value(dialTargetKey{}).(dialTarget)
	if !ok {
		target.address = key
	}
	if !d.startDial(target.address, key, target.toCache) {
		return nil, errLimitReached
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

// startDial counts a dial and its descriptor if the limits permit it, and reports whether they do.
func (d *dialer) startDial(address, key string, toCache bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if toCache && d.hasCacheLimit && len(d.connsByKey[key])+d.dialsByAddress[address] >= d.maxConnsPerCache {
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

// finishDial stops counting a dial, and its descriptor too if the dial failed.
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

// addConn registers a connection. Its descriptor was counted by startDial.
func (d *dialer) addConn(key string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.connsByKey[key] == nil {
		d.connsByKey[key] = map[*conn]bool{}
	}
	d.connsByKey[key][c] = true
}

// removeConn unregisters a closed connection and stops counting its descriptor.
func (d *dialer) removeConn(key string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openConns--
	delete(d.connsByKey[key], c)
	if len(d.connsByKey[key]) == 0 {
		delete(d.connsByKey, key)
	}
}

// closeIdle closes all but keep of the idle connections of a key, the least recently used first, because the transport
// reuses the most recently used one. If an exchange acquires a connection that is about to be closed, its write is denied
// and the request is sent on another connection.
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

// setMaxConnsPerCache limits the connections to each cache. Idle connections in excess of the limit are closed before it
// returns, because the released quota goes to other nodes.
func (d *dialer) setMaxConnsPerCache(n int) {
	d.mu.Lock()
	d.hasCacheLimit = true
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

// resize sets the maximum number of connections, and closes idle ones in excess of it.
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

// closeAll closes retired connections. It is called without the dialer's lock, because Close calls removeConn, which takes
// the lock. The transport's later Close of the same connection has no effect.
func closeAll(retired []*conn) {
	for _, c := range retired {
		_ = c.Close()
	}
}
