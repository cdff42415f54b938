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
	readAheadThreshold  = 4 << 10 // bytes behind a lookup from which its client's end may stand behind a full window
	maxReadAheadPerConn = 4 << 20 // bytes read ahead of a connection: more than a kernel holds back,
	maxReadAheadTotal   = 8 << 20 // and of all; beyond them nothing is
	readAheadPause      = time.Millisecond
	maxQuietPauses      = 2  // pauses with nothing more, after which all that was on its way has come: some round trips
	maxReadAheadPauses  = 10 // pauses at the most
)

// readAhead is what was read of a connection to see its end behind it, and nobody has taken yet.
type readAhead struct {
	mu     sync.Mutex // one reads from the kernel at a time
	unread []byte
	total  *atomic.Int64 // counts that of all connections; nil: nothing is read ahead
}

// consume counts bytes as gone. Called with the lock held.
func (a *readAhead) consume(n int) {
	if a.unread = a.unread[n:]; len(a.unread) == 0 {
		a.unread = nil
	}
	if n > 0 {
		a.total.Add(int64(-n))
	}
}

// readNow gives what there is without waiting, what was read ahead before all else. The kernel's bytes are taken under the lock, so that
// it makes no difference who reads them.
func (p *clientConn) readNow(fd uintptr, b []byte) (n int, err error) {
	p.readAhead.mu.Lock()
	defer p.readAhead.mu.Unlock()
	if len(p.readAhead.unread) > 0 {
		n = copy(b, p.readAhead.unread)
		p.readAhead.consume(n)
		return n, nil
	}
	return kernel.ReadSocket(fd, b)
}

// readWait waits for bytes.
func (p *clientConn) readWait(b []byte) (n int, err error) {
	over := p.raw.Read(func(fd uintptr) bool {
		n, err = p.readNow(fd, b)
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case over != nil:
		return 0, over
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: p.LocalAddr(), Addr: p.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readAheadForEnd reads ahead where much lies behind a lookup: its client's end comes only once the bytes before it have been taken. It says
// whether it did.
func (p *clientConn) readAheadForEnd() (did bool) {
	if p.readAhead.total == nil {
		return false
	}
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	quiet := 0
	for range maxReadAheadPauses {
		more := false
		_ = p.raw.Control(func(fd uintptr) {
			p.readAhead.mu.Lock()
			defer p.readAhead.mu.Unlock()
			if !did {
				n, err := kernel.PeekSocket(fd, (*buffer)[:readAheadThreshold])
				did = err == nil && n == readAheadThreshold
			}
			for did && len(p.readAhead.unread) < maxReadAheadPerConn {
				size := int64(len(*buffer))
				if p.readAhead.total.Add(size) > maxReadAheadTotal {
					p.readAhead.total.Add(-size)
					return
				}
				n, _ := kernel.ReadSocket(fd, *buffer)
				p.readAhead.unread = append(p.readAhead.unread, (*buffer)[:n]...)
				p.readAhead.total.Add(int64(n) - size)
				if n == 0 {
					return
				}
				more = true
			}
		})
		if quiet++; more {
			quiet = 0
		}
		if !did || quiet == maxQuietPauses {
			break
		}
		time.Sleep(readAheadPause)
	}
	return did
}

// dropReadAhead lets go of what was read ahead, and says how much that was.
func (p *clientConn) dropReadAhead() int {
	p.readAhead.mu.Lock()
	defer p.readAhead.mu.Unlock()
	n := len(p.readAhead.unread)
	if n > 0 {
		p.readAhead.consume(n)
	}
	return n
}
