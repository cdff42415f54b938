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
	"golang.org/x/time/rate"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

const (
	// maxLinger is how long a closed connection waits for the client to close its side, as in net/http. If the client still writes to a socket that
	// is already closed, the kernel resets the connection, and the end of a long answer may be lost.
	maxLinger = 500 * time.Millisecond

	// minLinger is how long it waits if other clients need the connection slot or the node shuts down. A client that reads its answer closes its
	// side within this time.
	minLinger = 50 * time.Millisecond

	// maxLingerBytes is how much is read and discarded while lingering. It covers several requests, or a body short enough to be buffered.
	maxLingerBytes = 256 << 10
)

// pastDeadline is a deadline that wakes a blocked read.
var pastDeadline = time.Now().Add(-time.Hour)

// clientConn is a client's connection that counts towards its listener's limit until it is closed. It parses the framing of the requests it reads.
type clientConn struct {
	*net.TCPConn
	raw        syscall.RawConn
	listener   *limitedListener
	release    func() // removes the connection from the listener's count; idempotent
	acceptedAt time.Time

	// Each a clock.Moment: lastRead is the latest read that returned bytes, firstRead the first such read since stateChanged, and stateChanged the
	// last change of the connection's http.ConnState.
	lastRead, firstRead, stateChanged atomic.Int64

	waiting  atomic.Bool  // a read waits for the client's bytes
	lastWait atomic.Int64 // clock.Moment at which a read last ended that had to wait; 0: none had
	waitTime atomic.Int64 // nanoseconds that reads have waited, in all

	closeRequested  atomic.Bool // its read was woken in order to close it; cleared if bytes have arrived meanwhile
	responseStarted atomic.Bool
	sendClosed      atomic.Bool
	closeOnce       sync.Once
	lingeringSince  time.Time
	discarded       int // bytes, while lingering

	// Used only by handlers, one at a time.
	refusals   *rate.Limiter // free answers without an attempt; nil before the first one
	answeredAt time.Time     // when the request before was answered; zero: there was none
	pauseEnd   time.Time     // of the pause after that; zero: there was none

	// Used only by the goroutine that reads the connection.
	framing   framing
	headStart time.Time // when the first byte of the latest head was read

	readAhead readAhead
}

// Read also returns bytes that arrived before a deadline that has passed by the time Read is called. net's Read fails at such a deadline without
// reading from the kernel, although a request may be in its receive buffer; closing the connection over unread bytes would reset it.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.readWait(b)
	for n == 0 && len(b) > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.raw.Control(func(fd uintptr) { n, _ = c.readNow(fd, b) }) // does not block
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
		return 0, net.ErrClosed // a request read after the sending side was shut down must not be forwarded
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

// extendHeaderDeadline is called when a deadline of the connection has passed. If a head has been read partially, it sets the deadline to headerTimeout
// after the head's first byte: the first deadline counts from the accept, and the client may have been idle since then. It reports whether it extended
// the deadline; a connection with closeRequested gets no extension.
func (c *clientConn) extendHeaderDeadline() bool {
	deadline := c.headStart.Add(headerTimeout)
	if c.closeRequested.Load() || !c.framing.midHead() || !time.Now().Before(deadline) {
		return false
	}
	_ = c.SetReadDeadline(deadline)
	return true
}

// rejectHeader answers a head that is too long with 431. net/http would keep the connection for half a second, even if its client has disconnected, so
// that a flood of such heads would use up the connection limit.
func (c *clientConn) rejectHeader() error {
	const text = "431 Request Header Fields Too Large"
	c.listener.metrics.Refusals.Add(string(refusedHead))
	c.listener.metrics.ConnCloses.Add(string(closedHeadTooLong))
	_ = c.SetWriteDeadline(time.Now().Add(maxLinger))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		text, len(text), text)
	c.sendClosed.Store(true)
	_ = c.CloseWrite() // net/http may still write a 400 for the part of the head that it has read
	return io.EOF
}

func (c *clientConn) Write(b []byte) (int, error) {
	c.responseStarted.Store(true)
	return kernel.WriteAll(c.TCPConn.Write, b)
}

// clientState returns ClientGone if the client has closed its connection, ClientUnknown if that can't be determined now, and otherwise Granted. It also
// detects a close behind unread bytes, which net/http does not. A client that has only closed its sending side counts as gone too. restOfBody is how many
// bytes of its request's body are unread; 0: none, or their number is unknown.
func (c *clientConn) clientState(restOfBody int64) admission.Reason {
	const endEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	gone, _ := pollNow(c.raw, endEvents) // if poll fails, the client counts as connected; net/http's own check remains
	certain := true
	if !gone {
		var started bool
		if started, certain = c.readAheadForEnd(restOfBody); started {
			gone, _ = pollNow(c.raw, endEvents)
		}
	}
	switch {
	case gone:
		return admission.ClientGone
	case !certain:
		return admission.ClientUnknown
	}
	return admission.Granted
}

// Close closes the connection in such a way that the client can read everything that was written. The kernel resets a socket that is closed with unread
// bytes, or that receives bytes after its close, and discards the data that it has not sent yet. Close therefore shuts down the sending side, then reads
// and discards until the client closes its side.
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

// closeWithoutLinger shuts down the sending side, and reports whether the connection can be closed at once.
func (c *clientConn) closeWithoutLinger() bool {
	if c.CloseWrite() != nil || !c.responseStarted.Load() {
		return true
	}
	ended := false
	_ = c.raw.Control(func(fd uintptr) { ended = c.discard(fd) })
	// When many connections are rejected, lingering ones would use up the connection limit. After the close, the kernel still sends what was written;
	// only further bytes from the client would reset the connection.
	return ended || c.discarded == 0 && c.listener.recentlyFull()
}

// linger reads and discards until the client closes its side or the read deadline passes, and then closes the connection.
func (c *clientConn) linger(element *list.Element) {
	_ = c.raw.Read(c.discard)                                 // until the deadline
	_ = c.raw.Control(func(fd uintptr) { _ = c.discard(fd) }) // bytes that arrived at the deadline
	c.listener.removeLingering(element)
	c.closeNow()
}

// discard reads the available bytes, and reports whether the client has closed its side or has sent maxLingerBytes or more.
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
