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
	fromNode    bool // an RPC connection of a node
	calls       int  // in progress
	idleSince   time.Time
	idleElement *list.Element // in Listener.idle; nil: it isn't idle
}

// BeginCall notes that a call has come in. An error says that the connection is closed and the call must not run.
func (c *Conn) BeginCall() error {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open[c] {
		return errConnEvicted
	}
	l.unmarkIdle(c)
	c.calls++
	return nil
}

// EndCall notes that a call was answered at a time.
func (c *Conn) EndCall(at time.Time) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.calls--
	if c.calls == 0 {
		l.markIdle(c, at)
	}
}

// admit admits a connection below the limit, or in place of an evicted one, which the caller has to close.
func (l *Listener) admit(c *Conn, at time.Time) (admitted bool, evicted *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false, nil
	}
	if len(l.open) >= l.MaxConnections {
		evicted = l.evictionCandidate(at)
		if evicted == nil {
			return false, nil
		}
		l.remove(evicted)
	}
	l.open[c] = true
	return true, evicted
}

// evictionCandidate returns the connection that has been idle for longest, if that is long enough. One with a call that was
// received but not read yet doesn't count as idle: after a stall that may be so with all of them.
func (l *Listener) evictionCandidate(at time.Time) *Conn {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if at.Sub(c.idleSince) < l.MinIdle {
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
	delete(l.open, c)
	l.unmarkIdle(c)
}

// markIdle notes that a node's connection is idle. The caller has the lock.
func (l *Listener) markIdle(c *Conn, at time.Time) {
	if c.fromNode && l.open[c] && c.idleElement == nil {
		c.idleSince = at
		c.idleElement = l.idle.PushBack(c)
	}
}

// unmarkIdle notes that a connection isn't idle. The caller has the lock.
func (l *Listener) unmarkIdle(c *Conn) {
	if c.idleElement != nil {
		l.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// markNodeConn notes that a connection is an RPC connection of a node, and idle.
func (l *Listener) markNodeConn(c *Conn, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.fromNode = true
	l.markIdle(c, at)
}

// unreadCheck returns a function that reports whether received bytes wait to be read on a connection, or nil if that can't
// be seen.
func unreadCheck(c net.Conn) func() bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return func() bool {
		n := 0
		_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
		return n > 0
	}
}

// raftConn is a connection for consensus, whose place is freed when the library closes it.
type raftConn struct{ *Conn }

// Close closes the connection.
func (c *raftConn) Close() error {
	c.listener.closeConn(c.Conn)
	return nil
}
