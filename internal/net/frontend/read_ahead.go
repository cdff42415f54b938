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
	aheadFrom  = 4 << 10 // bytes behind a lookup from which its client's end may stand behind a full window
	aheadMost  = 4 << 20 // bytes read ahead of a connection: more than a kernel holds back,
	aheadAll   = 8 << 20 // and of all; beyond them nothing is
	aheadPause = time.Millisecond
	aheadQuiet = 2  // pauses with nothing more, after which all that was on its way has come: some round trips
	aheadTurns = 10 // pauses at the most
)

// ahead is what was read of a connection to see its end behind it, and nobody has taken yet.
type ahead struct {
	mu   sync.Mutex // one reads from the kernel at a time
	left []byte
	of   *atomic.Int64 // counts that of all connections; nil: nothing is read ahead
}

// drop counts bytes as gone. Called with the lock held.
func (a *ahead) drop(n int) {
	if a.left = a.left[n:]; len(a.left) == 0 {
		a.left = nil
	}
	if n > 0 {
		a.of.Add(int64(-n))
	}
}

// next gives what there is without waiting, what was read ahead before all else. The kernel's bytes are taken under the lock, so that
// it makes no difference who reads them.
func (p *placed) next(fd uintptr, b []byte) (n int, err error) {
	p.ahead.mu.Lock()
	defer p.ahead.mu.Unlock()
	if len(p.ahead.left) > 0 {
		n = copy(b, p.ahead.left)
		p.ahead.drop(n)
		return n, nil
	}
	return kernel.ReadSocket(fd, b)
}

// take waits for bytes.
func (p *placed) take(b []byte) (n int, err error) {
	over := p.raw.Read(func(fd uintptr) bool {
		n, err = p.next(fd, b)
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

// lookBehind reads ahead where much lies behind a lookup: its client's end comes only once the bytes before it have been taken. It says
// whether it did.
func (p *placed) lookBehind() (did bool) {
	if p.ahead.of == nil {
		return false
	}
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	quiet := 0
	for range aheadTurns {
		more := false
		_ = p.raw.Control(func(fd uintptr) {
			p.ahead.mu.Lock()
			defer p.ahead.mu.Unlock()
			if !did {
				n, err := kernel.PeekSocket(fd, (*buffer)[:aheadFrom])
				did = err == nil && n == aheadFrom
			}
			for did && len(p.ahead.left) < aheadMost {
				size := int64(len(*buffer))
				if p.ahead.of.Add(size) > aheadAll {
					p.ahead.of.Add(-size)
					return
				}
				n, _ := kernel.ReadSocket(fd, *buffer)
				p.ahead.left = append(p.ahead.left, (*buffer)[:n]...)
				p.ahead.of.Add(int64(n) - size)
				if n == 0 {
					return
				}
				more = true
			}
		})
		if quiet++; more {
			quiet = 0
		}
		if !did || quiet == aheadQuiet {
			break
		}
		time.Sleep(aheadPause)
	}
	return did
}

// forgo lets go of what was read ahead, and says how much that was.
func (p *placed) forgo() int {
	p.ahead.mu.Lock()
	defer p.ahead.mu.Unlock()
	n := len(p.ahead.left)
	if n > 0 {
		p.ahead.drop(n)
	}
	return n
}
