package frontend

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

const (
	// maxLinger is how long a closed connection waits for its client's end, as in net/http. What a client still writes would reset a socket that
	// is closed, and the end of a long answer may be lost with it.
	maxLinger = 500 * time.Millisecond

	// minLinger is how long it waits if others want the connection, or the node shuts down: a client that reads has closed by then.
	minLinger = 50 * time.Millisecond

	// maxLingerBytes is how much is read and discarded meanwhile: some requests, or a body that is buffered.
	maxLingerBytes = 256 << 10
)

// pastDeadline is a deadline that wakes a blocked read.
var pastDeadline = time.Now().Add(-time.Hour)

// clientConn is a connection that counts towards its listener's limit until it is closed. It follows the framing of the requests.
type clientConn struct {
	*net.TCPConn
	raw        syscall.RawConn
	listener   *limitedListener
	release    func() // counts the connection out of the limit, once
	acceptedAt time.Time

	// Each a clock.Moment: of the latest read that brought bytes, of the first such since the HTTP server's last change of the connection's
	// state, and of that change.
	lastRead, firstRead, stateChanged atomic.Int64

	closeRequested  atomic.Bool // the connection was woken to close; bytes that cross this keep it
	responseStarted atomic.Bool
	sendClosed      atomic.Bool
	closeOnce       sync.Once
	lingeringSince  time.Time
	discarded       int // bytes, while lingering

	// Used by whoever reads the connection.
	framing   framing
	headStart time.Time // the first byte of the latest head

	readAhead readAhead
}

// Read also returns what came before a deadline that has passed since: net's Read gives up at such a deadline without a look at the kernel, where a
// request may lie unread, and closing over it would reset the connection.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.readWait(b)
	for n == 0 && len(b) > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.raw.Control(func(fd uintptr) { n, _ = c.readNow(fd, b) }) // does not wait
		if n > 0 {
			err = nil
		}
		if n > 0 && c.closeRequested.Swap(false) {
			_ = c.SetReadDeadline(time.Now().Add(headerTimeout)) // for the rest of the head
		}
		if n > 0 || !c.extendHeaderDeadline() {
			break
		}
		n, err = c.readWait(b)
	}
	if c.sendClosed.Load() {
		return 0, net.ErrClosed // a request that is read after the client was told of the end must not be forwarded
	}
	wasMidHead := c.framing.midHead()
	c.framing.read(b[:n])
	if c.framing.headTooLong() {
		return 0, c.rejectHeader()
	}
	if !wasMidHead && n > 0 {
		c.headStart = time.Now()
	}
	if n > 0 {
		c.recordRead()
	}
	return n, err
}

func (c *clientConn) recordRead() {
	now := int64(clock.Now())
	if c.lastRead.Swap(now) <= c.stateChanged.Load() {
		c.firstRead.Store(now)
	}
}

// extendHeaderDeadline gives a head that has begun headerTimeout from its first byte, if a deadline of its connection has passed meanwhile: the first
// deadline counts from the accept, and the client may have been idle since. A connection that was asked to close gets no more.
func (c *clientConn) extendHeaderDeadline() bool {
	deadline := c.headStart.Add(headerTimeout)
	if c.closeRequested.Load() || !c.framing.midHead() || !time.Now().Before(deadline) {
		return false
	}
	_ = c.SetReadDeadline(deadline)
	return true
}

// rejectHeader answers a head that is too long. net/http would keep the connection for half a second, even if its client has gone: a flood of such
// heads would keep others out.
func (c *clientConn) rejectHeader() error {
	const text = "431 Request Header Fields Too Large"
	_ = c.SetWriteDeadline(time.Now().Add(maxLinger))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		text, len(text), text)
	c.sendClosed.Store(true)
	_ = c.CloseWrite() // net/http may still answer 400 to what it has
	return io.EOF
}

func (c *clientConn) Write(b []byte) (int, error) {
	c.responseStarted.Store(true)
	return kernel.WriteAll(c.TCPConn.Write, b)
}

// clientGone reports whether the client has closed its connection, also where bytes before that are unread, behind which net/http does not see it.
// A client that has only closed its sending side counts as gone too.
func (c *clientConn) clientGone() bool {
	const endEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	gone, _ := pollNow(c.raw, endEvents) // if poll fails the client counts as there; net/http's own check remains
	if !gone && c.readAheadForEnd() {
		gone, _ = pollNow(c.raw, endEvents)
	}
	return gone
}

// Close ends the connection so that the client can read all that was written. The kernel resets a socket that is closed over unread bytes, or that
// receives some later, and discards what it has not sent. So Close shuts the sending side, and discards what comes until the client's end.
func (c *clientConn) Close() error {
	c.closeOnce.Do(func() {
		c.sendClosed.Store(true)
		c.discarded = c.dropReadAhead()
		if c.closeWithoutLinger() {
			c.closeNow()
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(maxLinger))
		go c.linger(c.listener.addLingering(c))
	})
	return nil
}

// closeWithoutLinger shuts the sending side, and reports whether nothing is to be waited for.
func (c *clientConn) closeWithoutLinger() bool {
	if c.CloseWrite() != nil || !c.responseStarted.Load() {
		return true
	}
	ended := false
	_ = c.raw.Control(func(fd uintptr) { ended = c.discard(fd) })
	// When many connections are rejected, they would keep others out if they lingered. The kernel still sends what was written; only further
	// bytes would reset it.
	return ended || c.discarded == 0 && c.listener.recentlyFull()
}

// linger waits for the client's end.
func (c *clientConn) linger(element *list.Element) {
	_ = c.raw.Read(c.discard)                                 // until the deadline
	_ = c.raw.Control(func(fd uintptr) { _ = c.discard(fd) }) // what came at that moment
	c.listener.removeLingering(element)
	c.closeNow()
}

// discard reads what has come, and reports whether the client has ended too or has sent more than maxLingerBytes.
func (c *clientConn) discard(fd uintptr) bool {
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	for c.discarded < maxLingerBytes {
		n, err := kernel.ReadSocket(fd, *buffer)
		c.discarded += n
		switch {
		case errors.Is(err, unix.EAGAIN):
			return false
		case n == 0:
			return true
		}
	}
	return true
}

func (c *clientConn) closeNow() {
	_ = c.TCPConn.Close()
	c.dropReadAhead()
	c.release()
}
