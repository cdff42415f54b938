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

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
	"github.com/thistlerudder/thistlerudder/internal/net/acceptor"
)

// limitedListener accepts no more connections than it has places; the next wait in the kernel's queue. The library's own
// (netutil.LimitListener) would do that much, but not make way, nor see the end of a client behind its bytes.
type limitedListener struct {
	net.Listener
	maxConns   atomic.Int64
	conns      atomic.Int64 // places; only Accept takes one
	readAhead  atomic.Int64 // bytes read ahead of all connections
	lastAccept atomic.Int64 // clock.Moment at which the latest connection did
	lastFull   atomic.Int64 // clock.Moment at which one last may have waited for a place
	closed     chan struct{}
	close      func() error
	onFull     func(waited time.Duration) // called now and then while a connection may wait for a place

	mu        sync.Mutex
	lingering *list.List // of *placed, the longest first
}

const (
	fullInterval      = 5 * time.Millisecond  // a small part of any time limit
	queueQuietTime    = 20 * time.Millisecond // between two connections, while there is a queue of them
	limitPollInterval = time.Millisecond      // for a place that was given back
	// recentlyFullWindow is for how long after the latest wait for a place others may be about to come: some rounds of a crowd.
	recentlyFullWindow = 100 * time.Millisecond

	// maxLinger is how long a connection that was ended waits for its client's end at most: as long as net/http waits where it
	// does. What a client still writes would reset a closed one, and the end of a long answer may go with it.
	maxLinger = 500 * time.Millisecond
	// minLinger is how long it does where others want its place, or the node leaves: a client that reads has closed by then.
	minLinger = 50 * time.Millisecond
	// maxLingerBytes is how much is read and dropped meanwhile: some lookups, or a body that is held whole.
	maxLingerBytes = 256 << 10
)

func newLimitedListener(l net.Listener, most int, full func(waited time.Duration), log *zap.Logger) *limitedListener {
	l = acceptor.New(l, log)
	b := &limitedListener{Listener: l, onFull: full, closed: make(chan struct{}), lingering: list.New()}
	b.maxConns.Store(int64(most))
	b.close = sync.OnceValue(func() error {
		close(b.closed)
		return l.Close()
	})
	return b
}

// Accept waits for a place, then for a connection.
func (b *limitedListener) Accept() (net.Conn, error) {
	began, told := time.Now(), time.Time{}
	for b.conns.Load() >= b.maxConns.Load() {
		b.lastFull.Store(int64(clock.Now()))
		if time.Since(told) >= fullInterval {
			told = time.Now()
			b.endLingering(told)
			b.onFull(told.Sub(began))
		}
		select {
		case <-b.closed:
			return nil, net.ErrClosed
		case <-time.After(limitPollInterval):
		}
	}
	b.conns.Add(1)
	c, err := b.Listener.Accept()
	leave := sync.OnceFunc(func() { b.conns.Add(-1) })
	if err != nil {
		leave()
		return nil, err
	}
	b.lastAccept.Store(int64(clock.Now()))
	if tcp, ok := c.(*net.TCPConn); ok {
		raw, _ := tcp.SyscallConn() // fails for a nil connection only
		return &clientConn{TCPConn: tcp, raw: raw, listener: b, release: leave, accepted: time.Now(), readAhead: readAhead{total: &b.readAhead}}, nil
	}
	leave()
	return c, nil
}

// hasQueued says that connections may wait in the kernel's queue still: one has just come, there is no place for one, or the kernel
// says so. A process that stood still for long may be about to accept one that has waited all the while.
func (b *limitedListener) hasQueued() bool {
	if b.conns.Load() >= b.maxConns.Load() || clock.Moment(b.lastAccept.Load()).Since() < queueQuietTime {
		return true
	}
	socket, ok := b.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // closed
	}
	there, known := pollNow(raw, unix.POLLIN)
	return there || !known
}

// pollNow says whether one of these events is there at a descriptor now, and whether that could be found out. Of one that is closed
// nothing is there.
func pollNow(raw syscall.RawConn, events int16) (there, known bool) {
	known = true
	_ = raw.Control(func(fd uintptr) {
		found, err := kernel.PollNow(fd, events)
		there, known = found != 0, err == nil
	})
	return there, known
}

// recentlyFull says that connections have waited for a place of late: several may be given back before the next one is taken.
func (b *limitedListener) recentlyFull() bool {
	return clock.Moment(b.lastFull.Load()).Since() < recentlyFullWindow
}

// addLingering notes that a connection waits for its client's end; it has its place until then.
func (b *limitedListener) addLingering(p *clientConn) *list.Element {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.lingeringSince = time.Now()
	return b.lingering.PushBack(p)
}

func (b *limitedListener) removeLingering(e *list.Element) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lingering.Remove(e) // it may be off the list already
}

func (b *limitedListener) lingeringCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lingering.Len()
}

// endLingering ends the connections that have lingered for long enough where others want their places.
func (b *limitedListener) endLingering(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for e := b.lingering.Front(); e != nil && now.Sub(e.Value.(*clientConn).lingeringSince) >= minLinger; e = b.lingering.Front() {
		_ = b.lingering.Remove(e).(*clientConn).SetReadDeadline(pastDeadline)
	}
}

// Close ends the wait for a place too.
func (b *limitedListener) Close() error { return b.close() }

// clientConn gives its place back once, and follows the framing of what comes.
type clientConn struct {
	*net.TCPConn
	raw      syscall.RawConn
	listener *limitedListener
	release  func()
	accepted time.Time
	// Each a clock.Moment: of the latest bytes, of the first ones since the connection's state changed, and of that.
	lastRead, firstRead, stateChanged atomic.Int64
	framing                           framing
	closeRequested                    atomic.Bool // told to make way; bytes that crossed this keep it
	responseBegun                     atomic.Bool // some of an answer
	sendClosed                        atomic.Bool // its client was told of the end
	closeOnce                         sync.Once
	headBegan                         time.Time // the first byte of the latest head; for who reads the connection
	lingeringSince                    time.Time // when it began to linger
	discarded                         int       // bytes, meanwhile
	readAhead                         readAhead
}

// Read reads what came in time also when the process only looks after the deadline: the library gives up at a deadline that
// has passed without a look at the kernel, where a lookup may lie since before, and closing over it would turn it away unread.
func (p *clientConn) Read(b []byte) (int, error) {
	n, err := p.readWait(b)
	for n == 0 && len(b) > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = p.raw.Control(func(fd uintptr) { n, _ = p.readNow(fd, b) }) // it never waits
		if n > 0 {
			err = nil
		}
		if n > 0 && p.closeRequested.Swap(false) {
			_ = p.SetReadDeadline(time.Now().Add(headerTimeout)) // for the rest of its head
		}
		if n > 0 || !p.extendHeaderDeadline() {
			break
		}
		n, err = p.readWait(b)
	}
	if p.sendClosed.Load() {
		return 0, net.ErrClosed // a lookup read after the client was told of the end must not be sent on
	}
	begun := p.framing.midHead()
	if p.framing.read(b[:n]); p.framing.headTooLong() {
		return 0, p.rejectHeader()
	}
	if !begun && n > 0 {
		p.headBegan = time.Now()
	}
	if n > 0 {
		now := int64(clock.Now())
		if p.lastRead.Swap(now) <= p.stateChanged.Load() {
			p.firstRead.Store(now)
		}
	}
	return n, err
}

// extendHeaderDeadline gives a head that has begun its own time, counted from its first byte, where a limit of its connection has passed meanwhile: a
// connection's first time counts from its accept, and its client may have rested. Who was told to make way gets no more.
func (p *clientConn) extendHeaderDeadline() bool {
	by := p.headBegan.Add(headerTimeout)
	if p.closeRequested.Load() || !p.framing.midHead() || !time.Now().Before(by) {
		return false
	}
	_ = p.SetReadDeadline(by)
	return true
}

// rejectHeader turns a head away that is over its bound. net/http would hold its place for half a second, also when its client has
// gone: a flood of such heads would keep all others out.
func (p *clientConn) rejectHeader() error {
	const text = "431 Request Header Fields Too Large"
	_ = p.SetWriteDeadline(time.Now().Add(maxLinger))
	_, _ = fmt.Fprintf(p, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		text, len(text), text)
	p.sendClosed.Store(true)
	_ = p.CloseWrite() // net/http may still answer 400 to what it has
	return io.EOF
}

func (p *clientConn) Write(b []byte) (int, error) {
	p.responseBegun.Store(true)
	return kernel.WriteAll(p.TCPConn.Write, b)
}

// clientGone looks whether the client has ended its connection, also where bytes that it sent before are not read yet, behind
// which net/http sees no end. It can't tell who has closed from who has only ended its sending; both have left.
func (p *clientConn) clientGone() bool {
	const end = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	there, _ := pollNow(p.raw, end) // who can't be looked at is held to be there; net/http's own look remains
	if !there && p.readAheadForEnd() {
		there, _ = pollNow(p.raw, end)
	}
	return there
}

// Close ends the connection so that the client can read all that was written: closed over bytes that nobody has read, or
// that come later, a socket is reset, and the client loses what the kernel still holds, and the end of an answer that has no
// length. So first only the sending side is shut, and what comes is dropped until the client's end.
func (p *clientConn) Close() error {
	p.closeOnce.Do(func() {
		p.sendClosed.Store(true)
		p.discarded = p.dropReadAhead()
		over := p.CloseWrite() != nil || !p.responseBegun.Load()
		if !over {
			_ = p.raw.Control(func(fd uintptr) { over = p.discard(fd) })
			// In a crowd one that has sent no more is closed at once, or those turned away would keep others out. The kernel
			// goes on to bring what was written, and only further bytes would reset it.
			over = over || p.discarded == 0 && p.listener.recentlyFull()
		}
		if over {
			p.closeNow()
			return
		}
		_ = p.SetReadDeadline(time.Now().Add(maxLinger))
		go p.linger(p.listener.addLingering(p))
	})
	return nil
}

// linger waits for the client's end.
func (p *clientConn) linger(e *list.Element) {
	_ = p.raw.Read(p.discard)                                 // until its deadline
	_ = p.raw.Control(func(fd uintptr) { _ = p.discard(fd) }) // also of what came in that moment
	p.listener.removeLingering(e)
	p.closeNow()
}

// discard drops what has come, and says that it is over: the client has ended too, or has sent more than it is heard for.
func (p *clientConn) discard(fd uintptr) bool {
	b := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(b)
	for p.discarded < maxLingerBytes {
		n, err := kernel.ReadSocket(fd, *b)
		p.discarded += n
		switch {
		case errors.Is(err, unix.EAGAIN):
			return false
		case n == 0:
			return true
		}
	}
	return true
}

func (p *clientConn) closeNow() {
	_ = p.TCPConn.Close()
	p.dropReadAhead()
	p.release()
}
