package transport

import (
	"container/list"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
)

// acceptRetryDelay is the delay after a failed accept. The usual cause is a lack of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	Cluster        string        // name of the cluster; connections from other clusters are refused
	MaxConnections int           // maximum number of open connections
	MinIdle        time.Duration // time without a call after which a connection can be evicted
	HelloTimeout   time.Duration // timeout of the handshake
	VoterID        func() string // returns the id of this node's voter; empty if it has none
	ServeRPC       func(*Conn)   // serves an RPC connection until it ends; the Listener closes the connection then
}

// Listener accepts connections of peers and dispatches them by their purpose. At MaxConnections, a new connection evicts the RPC
// connection that has been idle for the longest time. So a node that now uses another peer, or that disappeared without closing
// its connection, doesn't block other nodes. Listener is safe for concurrent use.
type Listener struct {
	ListenerConfig
	listener  net.Listener
	raftConns chan net.Conn

	mu        sync.Mutex
	openConns map[*Conn]bool
	idleConns *list.List // of *Conn; all are open, and the one that has been idle for the longest time is first
	closed    bool
	done      chan struct{} // closed by Close
}

// NewListener returns a Listener on the socket l. Close closes the socket too. Connections are accepted only once Serve runs.
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

// Serve accepts connections until Close is called.
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

// accept admits a connection and starts its handshake, or closes the connection if the limit is reached.
func (l *Listener) accept(c net.Conn) {
	conn := &Conn{Conn: faults.CountConn("taken", c), listener: l, hasUnread: unreadCheck(c)}
	admitted, evicted := l.admit(conn, time.Now())
	if evicted != nil {
		_ = evicted.Close() // frees the descriptor before it returns, so MaxConnections also limits the number of descriptors
	}
	if !admitted {
		_ = conn.Close()
		return
	}
	go l.handshake(conn)
}

// handshake reads the hello line, replies with the welcome line, and dispatches the connection by its purpose.
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

// refusal returns the reason for refusing a connection, or "" if it is accepted.
func (l *Listener) refusal(h hello) string {
	voterID := l.VoterID()
	switch {
	case h.Cluster != l.Cluster:
		return fmt.Sprintf("fleet.name: this is %q, not %q", l.Cluster, h.Cluster)
	case h.Purpose == PurposeRaft && voterID == "":
		return "no voter: fleet.folder is empty or can't be used"
	case (h.Purpose == PurposeRaft || h.VoterID != "") && h.VoterID != voterID && !faults.Disabled(faults.Vote):
		// A voter without its old folder may have lost a vote that it cast. It has a new id and must join as a new voter.
		return fmt.Sprintf("this voter is %s, not %s, whose folder is gone", voterID, h.VoterID)
	case h.Purpose != PurposeRaft && h.Purpose != PurposeRPC:
		return "expected a connection for votes or asks"
	}
	return ""
}

// closeConn closes a connection and unregisters it.
func (l *Listener) closeConn(conn *Conn) {
	_ = conn.Conn.Close()
	l.mu.Lock()
	l.remove(conn)
	l.mu.Unlock()
}

// Close closes the socket and all connections. It may be called more than once.
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

// Connections returns the number of open connections and the number of those that are on the idle list.
func (l *Listener) Connections() (open, idle int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.openConns), l.idleConns.Len()
}
