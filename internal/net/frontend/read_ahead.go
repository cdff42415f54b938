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
	readAheadThreshold  = 4 << 10 // unread bytes from which a client's end may be stuck behind a full window
	maxReadAheadPerConn = 4 << 20 // bytes; more than a kernel buffers
	maxReadAheadTotal   = 8 << 20 // bytes of all connections
	readAheadPause      = time.Millisecond
	maxQuietPauses      = 2 // pauses without new bytes, some round trips, after which all that was under way has come
	maxReadAheadPauses  = 10
)

// readAhead is what was read of a connection to see its end, before its reader wanted it.
type readAhead struct {
	mu     sync.Mutex // held while reading from the kernel, so that bytes stay in order
	unread []byte
	total  *atomic.Int64 // bytes of all connections; nil: nothing is read ahead
}

// consume counts n bytes out. It is called with mu locked.
func (a *readAhead) consume(n int) {
	a.unread = a.unread[n:]
	if len(a.unread) == 0 {
		a.unread = nil // frees the memory
	}
	if n > 0 {
		a.total.Add(int64(-n))
	}
}

// readNow returns bytes without waiting: those that were read ahead, or else the kernel's.
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

// readWait waits for bytes, the end, or the read deadline.
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

// readAheadForEnd reads ahead if much lies behind a request: the client's end comes only once the bytes before it have been read. It reports whether it
// did.
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

// fill reads what the kernel has, up to the bounds, and reports whether that was anything. It is called with mu locked.
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

// dropReadAhead discards what was read ahead, and returns how many bytes that was.
func (c *clientConn) dropReadAhead() int {
	c.readAhead.mu.Lock()
	defer c.readAhead.mu.Unlock()
	n := len(c.readAhead.unread)
	if n > 0 {
		c.readAhead.consume(n)
	}
	return n
}
