package transport

import (
	"container/list"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
)

// acceptRetryDelay follows a failed accept, which is most likely for want of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	Cluster        string        // name of the cluster; other clusters' connections are refused
	MaxConnections int           // open at once
	MinIdle        time.Duration // without a call, before a connection may be evicted
	HelloTimeout   time.Duration // for the exchange of the first lines
	VoterID        func() string // id of this node's voter; empty: it has none
	ServeRPC       func(*Conn)   // serves an RPC connection until it ends; the Listener closes it afterwards
}

// Listener accepts connections of peers and hands them on by their purpose. At its limit, the RPC connection of a node that
// has been idle for longest is evicted for the next one: a node that has turned elsewhere, or vanished without closing its
// connection, keeps no other out. It is safe for concurrent use.
type Listener struct {
	ListenerConfig
	listener  net.Listener
	raftConns chan net.Conn

	mu        sync.Mutex
	openConns map[*Conn]bool
	idleConns *list.List // of *Conn, all of them open, the longest idle first
	closed    bool
	done      chan struct{} // closed by Close
}

// NewListener returns a Listener on a socket, which it closes with itself. Serve has to be called for it to accept.
func NewListener(l net.Listener, config ListenerConfig) *Listener {
	return &Listener{
		ListenerConfig: config,
		listener:       l,
		raftConns:      make(chan net.Conn),
		openConns:      map[*Conn]bool{},
		idleConns:      list.New(),
		done:           make(chan struct{}),
	}
}

// Serve accepts connections until Close.
func (l *Listener) Serve() {
	for {
		c, err := l.listener.Accept()
		if err == nil {
			l.accept(c)
			continue
		}
		select {
		case <-l.done:
			return
		case <-time.After(acceptRetryDelay):
		}
	}
}

// accept admits a connection and begins its handshake, or closes it.
func (l *Listener) accept(c net.Conn) {
	conn := &Conn{Conn: faults.Counted("taken", c), listener: l, hasUnread: unreadCheck(c)}
	admitted, evicted := l.admit(conn, time.Now())
	if evicted != nil {
		_ = evicted.Close() // returns once its descriptor is free, so that the limit holds for descriptors too
	}
	if !admitted {
		_ = conn.Close()
		return
	}
	go l.handshake(conn)
}

// handshake exchanges the first lines and hands the connection on.
func (l *Listener) handshake(conn *Conn) {
	_ = conn.SetDeadline(time.Now().Add(l.HelloTimeout))
	var h hello
	if err := readLine(conn, &h); err != nil {
		l.closeConn(conn)
		return
	}
	w := welcome{Refusal: l.refusal(h)}
	if err := writeLine(conn, w); err != nil || w.Refusal != "" {
		l.closeConn(conn)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	if h.Purpose == PurposeRPC {
		defer l.closeConn(conn)
		if h.VoterID == "" {
			l.markNodeConn(conn, time.Now())
		}
		l.ServeRPC(conn)
		return
	}
	select {
	case l.raftConns <- &raftConn{conn}:
	case <-l.done:
		l.closeConn(conn)
	}
}

// refusal returns why a connection is refused, empty if it isn't.
func (l *Listener) refusal(h hello) string {
	voterID := l.VoterID()
	switch {
	case h.Cluster != l.Cluster:
		return fmt.Sprintf("fleet.name: this is %q, not %q", l.Cluster, h.Cluster)
	case h.Purpose == PurposeRaft && voterID == "":
		return "no voter: fleet.folder is empty or can't be used"
	case (h.Purpose == PurposeRaft || h.VoterID != "") && h.VoterID != voterID && !faults.Without(faults.Vote):
		// A voter that has lost its folder may have forgotten a vote: it is another voter, which is no member yet.
		return fmt.Sprintf("this voter is %s, not %s, whose folder is gone", voterID, h.VoterID)
	case h.Purpose != PurposeRaft && h.Purpose != PurposeRPC:
		return "expected a connection for votes or asks"
	}
	return ""
}

// closeConn closes a connection and frees its place.
func (l *Listener) closeConn(conn *Conn) {
	_ = conn.Conn.Close()
	l.mu.Lock()
	l.remove(conn)
	l.mu.Unlock()
}

// Close closes the socket and all connections. Further calls do nothing.
func (l *Listener) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.done)
	_ = l.listener.Close()
	for conn := range l.openConns {
		_ = conn.Close()
	}
}

// Connections returns how many connections are open, and how many of them are idle connections of nodes.
func (l *Listener) Connections() (open, idle int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.openConns), l.idleConns.Len()
}
