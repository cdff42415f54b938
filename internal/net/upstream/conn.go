package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is a connection to a server. It is what the transport gets for a net.Conn; beyond that it decides, just before a
// request's first byte, whether the request may be written, and knows what was written: httptrace's WroteRequest comes
// before the transport has flushed its buffer.
//
// It also notices unsolicited bytes, which belong to no request. A server may send more than its answer, and the transport
// may hand the connection on before it has seen the surplus; it would take that for the next request's answer.
//
// Its methods may be called from any goroutine.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	toCache bool   // it leads to a cache server, not to the origin
	onClose func() // called after the descriptor is closed
	// onUnsolicited is called, with the lock held, when unsolicited bytes come, with the time since the last read; nil: not
	// called.
	onUnsolicited func(sinceLastRead time.Duration)

	bytesWritten atomic.Int64
	writeFailed  atomic.Bool // a write ended before its last byte
	localFailure atomic.Bool // a read or a write failed for a reason of this machine

	mu             sync.Mutex // guards everything below
	changed        sync.Cond  // broadcast when reading, closing or writing change
	reading        bool       // the transport waits for bytes, so it holds none that are unread
	writing        bool       // a write is under way
	closing        bool       // closed by us, or about to be
	retired        bool       // closing was the node's choice, so it says nothing about the server
	inUse          int        // exchanges that have acquired it and not released it
	lastUsed       time.Time  // when it was made or last released
	request        *outgoingRequest
	onFlush        func() // called once when the transport's buffer is written; nil: not called
	bytesRead      int64
	lastRead       time.Time     // zero: no bytes have come
	lastAnswerRead time.Time     // of the present answer; zero: none of it has come
	longestPause   time.Duration // between two reads of the present answer
}

// socket is a connection that has a descriptor to look at.
type socket interface {
	net.Conn
	syscall.Conn
}

// newConn wraps a connection. onClose is called once, after its descriptor is closed.
func newConn(s socket, onClose func()) *conn {
	raw, _ := s.SyscallConn() // fails for a nil connection only
	c := &conn{Conn: s, raw: raw, onClose: onClose, lastUsed: time.Now(), request: &outgoingRequest{}}
	c.changed.L = &c.mu
	return c
}

// acquire makes the connection ready for a request, and returns how many bytes were written and read before. After an
// answer the transport either reads on or, if there is more than the answer, closes the connection: acquire waits for one
// of the two.
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
	return c.bytesWritten.Load(), c.bytesRead
}

// release ends the use that acquire began.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inUse--
	c.lastUsed = time.Now()
}

// retire reports whether the connection is idle, and then marks it as closing: whoever acquires it afterwards can write
// nothing to it. Closed without that, it could be in the middle of a body that can't be sent again.
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

// Close implements io.Closer. onClose is called last, as a dial that begins then must find the descriptor free.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closing = true
	c.changed.Broadcast()
	c.mu.Unlock()
	err := c.Conn.Close()
	c.onClose()
	return err
}
