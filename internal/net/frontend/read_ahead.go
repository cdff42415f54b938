package frontend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

const (
	readAheadThreshold  = 4 << 10 // bytes; with at least so many unread, a client's close may be held up behind a full TCP window
	maxReadAheadPerConn = 4 << 20 // bytes; more than the kernel buffers
	maxReadAheadTotal   = 8 << 20 // bytes, over all connections
	readAheadPause      = time.Millisecond
	maxQuietPauses      = 2 // pauses without new bytes after which all bytes in flight have arrived; they cover some round trips
	maxReadAheadPauses  = 10
)

// readAhead holds bytes that were read from a connection before its reader asked for them, in order to detect the client's close behind them.
type readAhead struct {
	mu     sync.Mutex // held while reading from the kernel, to keep the bytes in order
	unread []byte
	total  *atomic.Int64 // bytes, over all connections; nil if nothing is read ahead
}

// consume removes the first n unread bytes. mu must be held.
func (a *readAhead) consume(n int) {
	a.unread = a.unread[n:]
	if len(a.unread) == 0 {
		a.unread = nil // frees the memory
	}
	if n > 0 {
		a.total.Add(int64(-n))
	}
}

// readNow reads without blocking: from the bytes that were read ahead, or else from the kernel.
func (c *clientConn) readNow(fd uintptr, b []byte) (n int, err error) {
	c.readAhead.mu.Lock()
	defer c.readAhead.mu.Unlock()
	if len(c.readAhead.unread) > 0 {
		n = copy(b, c.readAhead.unread)
		c.readAhead.consume(n)
		return n, nil
	}
	return kernel.ReadSocket(fd, b)
}

// readWait blocks until bytes arrive, the client closes its side, or the read deadline passes.
func (c *clientConn) readWait(b []byte) (n int, err error) {
	waitErr := c.raw.Read(func(fd uintptr) bool {
		n, err = c.readNow(fd, b)
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readAheadForEnd reads ahead if at least readAheadThreshold bytes are unread, because the client's close arrives only after the bytes before it have
// been read. It reports whether it has read ahead.
func (c *clientConn) readAheadForEnd() (started bool) {
	if c.readAhead.total == nil {
		return false
	}
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	quietPauses := 0
	for range maxReadAheadPauses {
		more := false
		_ = c.raw.Control(func(fd uintptr) {
			c.readAhead.mu.Lock()
			defer c.readAhead.mu.Unlock()
			if !started {
				n, err := kernel.PeekSocket(fd, (*buffer)[:readAheadThreshold])
				started = err == nil && n == readAheadThreshold
			}
			if started {
				more = c.readAhead.fill(fd, *buffer)
			}
		})
		quietPauses++
		if more {
			quietPauses = 0
		}
		if !started || quietPauses == maxQuietPauses {
			break
		}
		time.Sleep(readAheadPause)
	}
	return started
}

// fill reads the bytes that the kernel has, up to the limits, and reports whether there were any. mu must be held.
func (a *readAhead) fill(fd uintptr, buffer []byte) (more bool) {
	size := int64(len(buffer))
	for len(a.unread) < maxReadAheadPerConn {
		if a.total.Add(size) > maxReadAheadTotal {
			a.total.Add(-size)
			return more
		}
		n, _ := kernel.ReadSocket(fd, buffer)
		a.unread = append(a.unread, buffer[:n]...)
		a.total.Add(int64(n) - size)
		if n == 0 {
			return more
		}
		more = true
	}
	return more
}

// dropReadAhead discards the bytes that were read ahead, and returns their number.
func (c *clientConn) dropReadAhead() int {
	c.readAhead.mu.Lock()
	defer c.readAhead.mu.Unlock()
	n := len(c.readAhead.unread)
	if n > 0 {
		c.readAhead.consume(n)
	}
	return n
}
