package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

const (
	maxDialsDivisor   = 4  // at most a quarter of the descriptors are used for dials, so that the rest remain for established connections
	maxDialsPerServer = 32 // with more dials at a time to one address, none would complete sooner

	// maxTimerLag is by how much a timeout may end late in a process that gets its processor time.
	maxTimerLag = 50 * time.Millisecond
)

// errLimitReached is returned for a dial that was not started because a limit is reached.
var errLimitReached = errors.New("connection or dial limit reached")

// errLateDial is returned for a dial whose timeout ended so late that it was this process that did not get its time.
var errLateDial = errors.New("no processor time for the dial")

// dialer establishes connections. It limits the descriptors in total, and the dials in progress in total and to each
// address. A dial continues after the attempt that started it has ended. Without the limit for each address, the dials to an
// unreachable server would accumulate, one for each attempt. Connections are grouped by their pool key, see poolKey. The
// dialer's methods are safe for concurrent use.
type dialer struct {
	net.Dialer
	maxDialsPerServer int
	quietPeriods      quietPeriods

	mu               sync.Mutex // guards everything below
	maxConns         int
	openConns        int // dials in progress included
	dials            int
	dialsByAddress   map[string]int
	connsByKey       map[string]map[*conn]bool
	hasCacheLimit    bool // setMaxConnsPerCache was called, so maxConnsPerCache applies
	maxConnsPerCache int  // dials in progress included
}

func newDialer(limits Limits) *dialer {
	return &dialer{
		Dialer:            net.Dialer{Timeout: limits.ConnectTimeout, KeepAlive: -1},
		maxDialsPerServer: maxDialsPerServer,
		maxConns:          limits.MaxConns,
		dialsByAddress:    map[string]int{},
		connsByKey:        map[string]map[*conn]bool{},
	}
}

// dial implements http.Transport's DialContext. The address to dial is taken from the context, see dialTarget. If the
// context has none, the key is the address. It returns errLimitReached if a limit is reached.
func (d *dialer) dial(ctx context.Context, network, key string) (net.Conn, error) {
	target, ok := ctx.Value(dialTargetKey{}).(dialTarget)
	if !ok {
		target.address = key
	}
	if !d.startDial(target.address, key, target.toCache) {
		return nil, errLimitReached
	}
	start := time.Now()
	socketConn, err := kernel.InjectConnectErrors(d.DialContext)(ctx, network, target.address)
	d.finishDial(target.address, err != nil)
	if err != nil && time.Since(start) > d.Timeout+maxTimerLag {
		return nil, fmt.Errorf("%w: %w", errLateDial, err)
	}
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

// closeIdle closes idle connections of a key until keep of them remain. It keeps the most recently used ones, because those
// are the ones that the transport reuses. If an exchange acquires a connection that is marked for closing but not closed
// yet, the exchange's write is denied and its request is sent on another connection.
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

// setMaxConnsPerCache limits the connections to each cache. It closes idle connections in excess of the limit before it
// returns, because other nodes may then use the part of the quota that this node has released.
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

// resize sets the maximum number of connections, dials in progress included, and closes idle connections in excess of it.
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
