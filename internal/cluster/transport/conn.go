package transport

import (
	"container/list"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// errConnEvicted is the error of BeginCall on a closed connection. A call that arrives after the eviction must not run.
var errConnEvicted = errors.New("connection evicted for another one")

// Conn is an accepted connection. Only an idle connection can be evicted. A connection is not idle during its handshake, which
// has a timeout, or while a call is in progress. Raft connections, and RPC connections that are addressed to a voter by its id,
// are never evicted, because there are few of them and a leader confirms its leadership over them.
type Conn struct {
	net.Conn
	listener  *Listener
	hasUnread func() bool // reports whether received bytes are unread; nil if the connection doesn't support it

	// The fields below are guarded by listener.mu.
	isNodeRPC   bool // an RPC connection that isn't addressed to a voter
	activeCalls int  // calls in progress
	idleSince   time.Time
	idleElement *list.Element // element of Listener.idleConns; nil if the connection isn't idle
}

// BeginCall records the start of a call. It returns an error if the connection is closed; the call must not run then.
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

// EndCall records that a call was answered at the time now.
func (c *Conn) EndCall(now time.Time) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.activeCalls--
	if c.activeCalls == 0 {
		l.markIdle(c, now)
	}
}

// admit registers a connection if the listener is below its limit or can evict another connection. The caller must close the
// evicted connection.
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

// evictionCandidate returns the connection that has been idle for the longest time, or nil if none has been idle for MinIdle. It
// skips connections with received but unread bytes, which are a pending call. After a stall of the process, every connection can
// have one. The caller must hold l.mu.
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

// remove unregisters a connection, so that it no longer counts towards the limit. The caller must hold l.mu.
func (l *Listener) remove(c *Conn) {
	delete(l.openConns, c)
	l.unmarkIdle(c)
}

// markIdle adds a connection to the idle list if it can be evicted and is open. The caller must hold l.mu.
func (l *Listener) markIdle(c *Conn, now time.Time) {
	if c.isNodeRPC && l.openConns[c] && c.idleElement == nil {
		c.idleSince = now
		c.idleElement = l.idleConns.PushBack(c)
	}
}

// unmarkIdle removes a connection from the idle list. The caller must hold l.mu.
func (l *Listener) unmarkIdle(c *Conn) {
	if c.idleElement != nil {
		l.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// markNodeConn marks a connection as an RPC connection that can be evicted, and as idle.
func (l *Listener) markNodeConn(c *Conn, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.isNodeRPC = true
	l.markIdle(c, now)
}

// unreadCheck returns a function that reports whether the receive buffer of a connection holds unread bytes. It returns nil if
// the connection has no file descriptor to query.
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

// raftConn is a Raft connection. Its Close, which the consensus library calls, also unregisters it from the listener.
type raftConn struct{ *Conn }

// Close closes the connection and unregisters it.
func (c *raftConn) Close() error {
	c.listener.closeConn(c.Conn)
	return nil
}
