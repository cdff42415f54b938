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

// bounded accepts no more connections than it has places; the next wait in the kernel's queue. The library's own
// (netutil.LimitListener) would do that much, but not make way, nor see the end of a client behind its bytes.
type bounded struct {
	net.Listener
	most   atomic.Int64
	taken  atomic.Int64 // places; only Accept takes one
	ahead  atomic.Int64 // bytes read ahead of all connections
	came   atomic.Int64 // clock.Moment at which the latest connection did
	short  atomic.Int64 // clock.Moment at which one last may have waited for a place
	closed chan struct{}
	close  func() error
	full   func(waited time.Duration) // called now and then while a connection may wait for a place

	mu        sync.Mutex
	lingering *list.List // of *placed, the longest first
}

const (
	fullEvery = 5 * time.Millisecond  // a small part of any time limit
	queuedFor = 20 * time.Millisecond // between two connections, while there is a queue of them
	lookEvery = time.Millisecond      // for a place that was given back
	// crowdedFor is for how long after the latest wait for a place others may be about to come: some rounds of a crowd.
	crowdedFor = 100 * time.Millisecond

	// lingerMost is how long a connection that was ended waits for its client's end at most: as long as net/http waits where it
	// does. What a client still writes would reset a closed one, and the end of a long answer may go with it.
	lingerMost = 500 * time.Millisecond
	// lingerLeast is how long it does where others want its place, or the node leaves: a client that reads has closed by then.
	lingerLeast = 50 * time.Millisecond
	// lingerBytes is how much is read and dropped meanwhile: some lookups, or a body that is held whole.
	lingerBytes = 256 << 10
)

func bound(l net.Listener, most int, full func(waited time.Duration), log *zap.Logger) *bounded {
	l = acceptor.New(l, log)
	b := &bounded{Listener: l, full: full, closed: make(chan struct{}), lingering: list.New()}
	b.most.Store(int64(most))
	b.close = sync.OnceValue(func() error {
		close(b.closed)
		return l.Close()
	})
	return b
}

// Accept waits for a place, then for a connection.
func (b *bounded) Accept() (net.Conn, error) {
	began, told := time.Now(), time.Time{}
	for b.taken.Load() >= b.most.Load() {
		b.short.Store(int64(clock.Now()))
		if time.Since(told) >= fullEvery {
			told = time.Now()
			b.hurry(told)
			b.full(told.Sub(began))
		}
		select {
		case <-b.closed:
			return nil, net.ErrClosed
		case <-time.After(lookEvery):
		}
	}
	b.taken.Add(1)
	c, err := b.Listener.Accept()
	leave := sync.OnceFunc(func() { b.taken.Add(-1) })
	if err != nil {
		leave()
		return nil, err
	}
	b.came.Store(int64(clock.Now()))
	if tcp, ok := c.(*net.TCPConn); ok {
		raw, _ := tcp.SyscallConn() // fails for a nil connection only
		return &placed{TCPConn: tcp, raw: raw, at: b, leave: leave, accepted: time.Now(), ahead: ahead{of: &b.ahead}}, nil
	}
	leave()
	return c, nil
}

// queued says that connections may wait in the kernel's queue still: one has just come, there is no place for one, or the kernel
// says so. A process that stood still for long may be about to accept one that has waited all the while.
func (b *bounded) queued() bool {
	if b.taken.Load() >= b.most.Load() || clock.Moment(b.came.Load()).Since() < queuedFor {
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
	there, known := shows(raw, unix.POLLIN)
	return there || !known
}

// shows says whether one of these events is there at a descriptor now, and whether that could be found out. Of one that is closed
// nothing is there.
func shows(raw syscall.RawConn, events int16) (there, known bool) {
	known = true
	_ = raw.Control(func(fd uintptr) {
		found, err := kernel.PollNow(fd, events)
		there, known = found != 0, err == nil
	})
	return there, known
}

// crowded says that connections have waited for a place of late: several may be given back before the next one is taken.
func (b *bounded) crowded() bool { return clock.Moment(b.short.Load()).Since() < crowdedFor }

// linger notes that a connection waits for its client's end; it has its place until then.
func (b *bounded) linger(p *placed) *list.Element {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.since = time.Now()
	return b.lingering.PushBack(p)
}

func (b *bounded) lingered(e *list.Element) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lingering.Remove(e) // it may be off the list already
}

func (b *bounded) lingers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lingering.Len()
}

// hurry ends the connections that have lingered for long enough where others want their places.
func (b *bounded) hurry(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for e := b.lingering.Front(); e != nil && now.Sub(e.Value.(*placed).since) >= lingerLeast; e = b.lingering.Front() {
		_ = b.lingering.Remove(e).(*placed).SetReadDeadline(past)
	}
}

// Close ends the wait for a place too.
func (b *bounded) Close() error { return b.close() }

// placed gives its place back once, and follows the framing of what comes.
type placed struct {
	*net.TCPConn
	raw      syscall.RawConn
	at       *bounded
	leave    func()
	accepted time.Time
	// Each a clock.Moment: of the latest bytes, of the first ones since the connection's state changed, and of that.
	heard, began, turn atomic.Int64
	framing            framing
	woken              atomic.Bool // told to make way; bytes that crossed this keep it
	wrote              atomic.Bool // some of an answer
	shut               atomic.Bool // its client was told of the end
	closing            sync.Once
	headBegan          time.Time // the first byte of the latest head; for who reads the connection
	since              time.Time // when it began to linger
	dropped            int       // bytes, meanwhile
	ahead              ahead
}

// Read reads what came in time also when the process only looks after the deadline: the library gives up at a deadline that
// has passed without a look at the kernel, where a lookup may lie since before, and closing over it would turn it away unread.
func (p *placed) Read(b []byte) (int, error) {
	n, err := p.take(b)
	for n == 0 && len(b) > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = p.raw.Control(func(fd uintptr) { n, _ = p.next(fd, b) }) // it never waits
		if n > 0 {
			err = nil
		}
		if n > 0 && p.woken.Swap(false) {
			_ = p.SetReadDeadline(time.Now().Add(headersIn)) // for the rest of its head
		}
		if n > 0 || !p.extend() {
			break
		}
		n, err = p.take(b)
	}
	if p.shut.Load() {
		return 0, net.ErrClosed // a lookup read after the client was told of the end must not be sent on
	}
	begun := p.framing.inHeadNow()
	if p.framing.read(b[:n]); p.framing.over() {
		return 0, p.refuse()
	}
	if !begun && n > 0 {
		p.headBegan = time.Now()
	}
	if n > 0 {
		now := int64(clock.Now())
		if p.heard.Swap(now) <= p.turn.Load() {
			p.began.Store(now)
		}
	}
	return n, err
}

// extend gives a head that has begun its own time, counted from its first byte, where a limit of its connection has passed meanwhile: a
// connection's first time counts from its accept, and its client may have rested. Who was told to make way gets no more.
func (p *placed) extend() bool {
	by := p.headBegan.Add(headersIn)
	if p.woken.Load() || !p.framing.inHeadNow() || !time.Now().Before(by) {
		return false
	}
	_ = p.SetReadDeadline(by)
	return true
}

// refuse turns a head away that is over its bound. net/http would hold its place for half a second, also when its client has
// gone: a flood of such heads would keep all others out.
func (p *placed) refuse() error {
	const text = "431 Request Header Fields Too Large"
	_ = p.SetWriteDeadline(time.Now().Add(lingerMost))
	_, _ = fmt.Fprintf(p, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		text, len(text), text)
	p.shut.Store(true)
	_ = p.CloseWrite() // net/http may still answer 400 to what it has
	return io.EOF
}

func (p *placed) Write(b []byte) (int, error) {
	p.wrote.Store(true)
	return kernel.WriteAll(p.TCPConn.Write, b)
}

// gone looks whether the client has ended its connection, also where bytes that it sent before are not read yet, behind
// which net/http sees no end. It can't tell who has closed from who has only ended its sending; both have left.
func (p *placed) gone() bool {
	const end = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	there, _ := shows(p.raw, end) // who can't be looked at is held to be there; net/http's own look remains
	if !there && p.lookBehind() {
		there, _ = shows(p.raw, end)
	}
	return there
}

// Close ends the connection so that the client can read all that was written: closed over bytes that nobody has read, or
// that come later, a socket is reset, and the client loses what the kernel still holds, and the end of an answer that has no
// length. So first only the sending side is shut, and what comes is dropped until the client's end.
func (p *placed) Close() error {
	p.closing.Do(func() {
		p.shut.Store(true)
		p.dropped = p.forgo()
		over := p.CloseWrite() != nil || !p.wrote.Load()
		if !over {
			_ = p.raw.Control(func(fd uintptr) { over = p.drop(fd) })
			// In a crowd one that has sent no more is closed at once, or those turned away would keep others out. The kernel
			// goes on to bring what was written, and only further bytes would reset it.
			over = over || p.dropped == 0 && p.at.crowded()
		}
		if over {
			p.end()
			return
		}
		_ = p.SetReadDeadline(time.Now().Add(lingerMost))
		go p.linger(p.at.linger(p))
	})
	return nil
}

// linger waits for the client's end.
func (p *placed) linger(e *list.Element) {
	_ = p.raw.Read(p.drop)                                 // until its deadline
	_ = p.raw.Control(func(fd uintptr) { _ = p.drop(fd) }) // also of what came in that moment
	p.at.lingered(e)
	p.end()
}

// drop drops what has come, and says that it is over: the client has ended too, or has sent more than it is heard for.
func (p *placed) drop(fd uintptr) bool {
	b := buffers.Get().(*[]byte)
	defer buffers.Put(b)
	for p.dropped < lingerBytes {
		n, err := kernel.ReadSocket(fd, *b)
		p.dropped += n
		switch {
		case errors.Is(err, unix.EAGAIN):
			return false
		case n == 0:
			return true
		}
	}
	return true
}

func (p *placed) end() {
	_ = p.TCPConn.Close()
	p.forgo()
	p.leave()
}
