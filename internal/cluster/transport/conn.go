package transport

import (
	"container/list"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// errConnEvicted ends the reading of an evicted connection: a call that comes after the eviction isn't run.
var errConnEvicted = errors.New("connection evicted for another one")

// Conn is an accepted connection. It may be evicted only while it is idle: not during its handshake, which has a timeout,
// nor with a call in progress. Connections for consensus and a voter's RPC connections are never evicted: these are few, and
// a leader proves its leadership by them.
type Conn struct {
	net.Conn
	listener  *Listener
	hasUnread func() bool // reports whether received bytes wait to be read; nil: not known

	// The listener's lock guards what follows.
	isNodeRPC   bool // an RPC connection of a node
	activeCalls int  // in progress
	idleSince   time.Time
	idleElement *list.Element // in Listener.idleConns; nil: it isn't idle
}

// BeginCall notes that a call has come in. An error says that the connection is closed and the call must not run.
func (c *Conn) BeginCall() error {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.openConns[c] {
		return errConnEvicted
	}
	l.unmarkIdle(c)
	c.activeCalls++
	return nil
}

// EndCall notes that a call was answered at a time.
func (c *Conn) EndCall(now time.Time) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.activeCalls--
	if c.activeCalls == 0 {
		l.markIdle(c, now)
	}
}

// admit admits a connection below the limit, or in place of an evicted one, which the caller has to close.
func (l *Listener) admit(c *Conn, now time.Time) (admitted bool, evicted *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false, nil
	}
	if len(l.openConns) >= l.MaxConnections {
		evicted = l.evictionCandidate(now)
		if evicted == nil {
			return false, nil
		}
		l.remove(evicted)
	}
	l.openConns[c] = true
	return true, evicted
}

// evictionCandidate returns the connection that has been idle for longest, if that is long enough. One with a call that was
// received but not read yet doesn't count as idle: after a stall that may be so with all of them.
func (l *Listener) evictionCandidate(now time.Time) *Conn {
	for e := l.idleConns.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if now.Sub(c.idleSince) < l.MinIdle {
			return nil
		}
		if c.hasUnread == nil || !c.hasUnread() {
			return c
		}
	}
	return nil
}

// remove frees a connection's place. The caller has the lock.
func (l *Listener) remove(c *Conn) {
	delete(l.openConns, c)
	l.unmarkIdle(c)
}

// markIdle notes that a node's connection is idle. The caller has the lock.
func (l *Listener) markIdle(c *Conn, now time.Time) {
	if c.isNodeRPC && l.openConns[c] && c.idleElement == nil {
		c.idleSince = now
		c.idleElement = l.idleConns.PushBack(c)
	}
}

// unmarkIdle notes that a connection isn't idle. The caller has the lock.
func (l *Listener) unmarkIdle(c *Conn) {
	if c.idleElement != nil {
		l.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// markNodeConn notes that a connection is an RPC connection of a node, and idle.
func (l *Listener) markNodeConn(c *Conn, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.isNodeRPC = true
	l.markIdle(c, now)
}

// unreadCheck returns a function that reports whether received bytes wait to be read on a connection, or nil if that can't
// be seen.
func unreadCheck(c net.Conn) func() bool {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return nil
	}
	return func() bool {
		unreadBytes := 0
		_ = rawConn.Control(func(fd uintptr) { unreadBytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
		return unreadBytes > 0
	}
}

// raftConn is a connection for consensus, whose place is freed when the library closes it.
type raftConn struct{ *Conn }

// Close closes the connection.
func (c *raftConn) Close() error {
	c.listener.closeConn(c.Conn)
	return nil
}
