package clients

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// bounded accepts no more connections than it has places; the next wait in the kernel's queue. The library's
// own (netutil.LimitListener) hides CloseWrite, without which net/http resets a connection whose headers are
// over their bound before the client has read the answer.
type bounded struct {
	net.Listener
	most   atomic.Int64
	taken  atomic.Int64 // places; only Accept takes one
	ahead  atomic.Int64 // bytes read ahead of all connections
	came   atomic.Int64 // when the latest connection did, Unix time in nanoseconds
	closed chan struct{}
	close  func() error
	full   func(waited time.Duration) // called now and then while a connection may wait for a place
}

const (
	fullEvery = 5 * time.Millisecond  // a small part of any time limit
	queuedFor = 20 * time.Millisecond // between two connections, while there is a queue of them
	lookEvery = time.Millisecond      // for a place that was given back
)

func bound(l net.Listener, most int, full func(waited time.Duration)) *bounded {
	b := &bounded{Listener: l, full: full, closed: make(chan struct{})}
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
		if time.Since(told) >= fullEvery {
			told = time.Now()
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
	b.came.Store(time.Now().UnixNano())
	if tcp, ok := c.(*net.TCPConn); ok {
		raw, _ := tcp.SyscallConn() // fails for a nil connection only
		return &placed{TCPConn: tcp, raw: raw, leave: leave, accepted: time.Now(), ahead: ahead{of: &b.ahead}}, nil
	}
	leave()
	return c, nil
}

// queued says that connections may wait in the kernel's queue still: one has just come, there is no place for one, or the kernel
// says so. A process that stood still for long may be about to accept one that has waited all the while.
func (b *bounded) queued() bool {
	if b.taken.Load() >= b.most.Load() || time.Since(time.Unix(0, b.came.Load())) < queuedFor {
		return true
	}
	socket, ok := b.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	return err == nil && shows(raw, unix.POLLIN)
}

// shows says whether one of these events is there at a descriptor now.
func shows(raw syscall.RawConn, events int16) (there bool) {
	_ = raw.Control(func(fd uintptr) {
		look := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, err := unix.Poll(look, 0)
		there = err == nil && n > 0 && look[0].Revents&events != 0
	})
	return there
}

// Close ends the wait for a place too.
func (b *bounded) Close() error { return b.close() }

// placed gives its place back once, and follows the framing of what comes.
type placed struct {
	*net.TCPConn
	raw      syscall.RawConn
	leave    func()
	accepted time.Time
	// Unix times in nanoseconds: of the latest bytes, of the first ones since the connection's state changed, and of that.
	heard, began, turn atomic.Int64
	framing            framing
	ahead              ahead
}

func (p *placed) Read(b []byte) (int, error) {
	n, err := p.take(b)
	if p.framing.read(b[:n]); n > 0 {
		now := time.Now().UnixNano()
		if p.heard.Swap(now) <= p.turn.Load() {
			p.began.Store(now)
		}
	}
	return n, err
}

// gone looks whether the client has ended its connection, also where bytes that it sent before are not read yet, behind
// which net/http sees no end. It can't tell who has closed from who has only ended its sending; both have left.
func (p *placed) gone() bool {
	const end = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	return shows(p.raw, end) || p.lookBehind() && shows(p.raw, end)
}

func (p *placed) Close() error {
	err := p.TCPConn.Close()
	p.forgo()
	p.leave()
	return err
}
