package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is a connection to a server, used by the transport as its net.Conn. Just before a request's first byte, conn
// decides whether the request may be written. It also counts the bytes written, because httptrace's WroteRequest is called
// before the transport has flushed its buffer.
//
// conn detects unsolicited bytes, which belong to no request. A server may send more than its answer, and the transport may
// reuse the connection before it has read the surplus. It would then take the surplus for the next request's answer.
//
// Its methods are safe for concurrent use.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	toCache bool   // the server is a cache server, not the origin
	onClose func() // called after the descriptor is closed
	// onUnsolicited, if not nil, is called with the lock held when unsolicited bytes are read. Its argument is the time
	// since the previous read.
	onUnsolicited func(sinceLastRead time.Duration)

	bytesWritten atomic.Int64
	writeFailed  atomic.Bool // a write was incomplete
	localFailure atomic.Bool // a read or write failed with a local error, see localErrors

	mu             sync.Mutex // guards everything below
	changed        sync.Cond  // broadcast when reading, writing or closing changes
	reading        bool       // the transport is in Read, so it has processed all earlier bytes
	writing        bool       // a write is in progress
	closing        bool       // closed by this node, or about to be
	retired        bool       // closed by this node's choice, which says nothing about the server
	inUse          int        // number of exchanges that have acquired and not yet released it
	lastUsed       time.Time  // when it was established or last released
	request        *outgoingRequest
	onFlush        func() // called after the next complete write, then reset; may be nil
	bytesRead      int64
	lastRead       time.Time     // zero: no bytes were read yet
	lastAnswerRead time.Time     // of the current answer; zero: none of it was read yet
	longestPause   time.Duration // between two reads of the current answer
	lumps          int           // pauses of minStallThreshold or more in the current answer
}

// socket is a net.Conn that gives access to its file descriptor.
type socket interface {
	net.Conn
	syscall.Conn
}

// newConn wraps a connection. Close calls onClose after the descriptor is closed.
func newConn(s socket, onClose func()) *conn {
	raw, _ := s.SyscallConn() // fails only for a nil connection
	c := &conn{Conn: s, raw: raw, onClose: onClose, lastUsed: time.Now(), request: &outgoingRequest{}}
	c.changed.L = &c.mu
	return c
}

// acquire prepares the connection for a request, and returns the numbers of bytes written and read so far. After an answer
// the transport either reads again or, if it holds bytes beyond the answer, closes the connection. For a reused connection
// acquire waits for one of the two.
func (c *conn) acquire(reused bool, request *outgoingRequest) (written, read int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inUse++
	for reused && !c.reading && !c.closing {
		c.changed.Wait()
	}
	c.request = request
	c.onFlush = nil
	c.lastAnswerRead = time.Time{}
	c.longestPause = 0
	c.lumps = 0
	return c.bytesWritten.Load(), c.bytesRead
}

// release undoes one acquire.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inUse--
	c.lastUsed = time.Now()
}

// retire marks the connection as closing if it is idle, and reports whether it was. Writes of a request that acquires it
// afterwards are denied. Without the mark, the connection could be closed in the middle of a body that can't be sent again.
func (c *conn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inUse > 0 {
		return false
	}
	c.closing = true
	c.retired = true
	c.changed.Broadcast()
	return true
}

// idleSince returns when the connection was last used, and whether it is in use.
func (c *conn) idleSince() (since time.Time, inUse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, c.inUse > 0
}

// Close implements io.Closer. It calls onClose last, because a dial started from then on relies on the descriptor being
// free.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closing = true
	c.changed.Broadcast()
	c.mu.Unlock()
	err := c.Conn.Close()
	c.onClose()
	return err
}
