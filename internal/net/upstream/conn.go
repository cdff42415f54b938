package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// conn gives its descriptor back once, and knows what was written to it: httptrace's WroteRequest comes before the
// transport flushes its buffer, so it can't tell whether anything has left. It also knows of bytes that belong to no
// request. A server may send more than its answer, and the transport may hand the connection on before it has seen
// that; it would take the rest for the next request's answer.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	closed func()
	cache  bool // it leads to one
	// onUnsolicited is told of bytes that belong to no request, and how long after an answer they came; nil: nobody is.
	onUnsolicited func(after time.Duration)
	written       atomic.Int64 // bytes
	failed        atomic.Bool  // a write came to an end before its last byte
	failedHere    atomic.Bool  // a read or a write failed by this machine, which tells nothing of the server

	mu      sync.Mutex
	change  sync.Cond // of reading, gone and writing
	reading bool      // the transport waits for bytes, so it has none left over
	gone    bool      // closed on our side, or about to be
	retired bool      // by our own choice, so that it tells nothing of the server
	busy    int       // requests it was taken for that are not over
	idle    time.Time // when it was made, or the latest of them was over
	request *outgoing // the present one, or the latest
	whole   func()    // to be told once what is still in the transport's buffer has been written; nil: nobody
	read    int64
	latest  time.Time     // when the latest bytes came at all; zero: none have
	heard   time.Time     // when the latest bytes of the present answer came; zero: none have
	pause   time.Duration // the longest between two of its reads
	writing bool          // a write is under way
}

// socket is a connection that has a descriptor to look at.
type socket interface {
	net.Conn
	syscall.Conn
}

func newConn(c socket, closed func()) *conn {
	raw, _ := c.SyscallConn() // fails for a nil connection only
	own := &conn{Conn: c, raw: raw, closed: closed, idle: time.Now(), request: &outgoing{}}
	own.change.L = &own.mu
	return own
}

// outgoing is a request on a connection, and what has to hold when its first byte is written. It is the request's own: the transport hands a
// connection on before who used it last has asked what became of its request.
type outgoing struct {
	begun   bool                    // its first byte is about to be written, or was
	early   bool                    // bytes came before that, so that it must not be written
	denied  admission.Reason        // why it was not written; Granted where nothing spoke against it
	refused admission.Reason        // by an earlier step, or Granted
	client  func() admission.Reason // whether its client still waits, asked just before; nil: it does
	beginBy time.Time               // when its first byte must have been written; zero: any time
	until   time.Time               // when its client's time is over; zero: no deadline is told that could be wrong
	told    time.Duration           // the time that it tells its server to have
}

// denial is the error of a request that was not written.
type denial struct{ reason admission.Reason }

func (d denial) Error() string { return "the request was not written: " + d.reason.String() }

func (c *conn) Write(b []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(takenIn)) // first: nothing lies between the looks and the write
	c.mu.Lock()
	request := c.request
	if !request.begun {
		request.denied = c.look(request)
	}
	request.begun = true
	denied := request.denied
	c.writing = denied == admission.Granted
	c.mu.Unlock()
	if denied != admission.Granted {
		return 0, denial{denied}
	}
	n, err := kernel.WriteAll(c.Conn.Write, b)
	c.written.Add(int64(n))
	c.mu.Lock()
	if n < len(b) {
		c.failed.Store(true)
		c.failedHere.Store(c.failedHere.Load() || local(err))
	}
	c.writing = false
	c.change.Broadcast()
	c.mu.Unlock()
	if n < len(b) {
		return n, err
	}
	c.flushed()
	return n, err
}

// looksMost is how often what is known of a request is gathered. A look takes microseconds; a process that needs long for so many
// has no core to act in time.
const looksMost = 4

// look gathers what is known of the present request, and decides whether its first byte may be written now. A process that has no
// core for a while between a look and the write would act on what was true before, so a look that took long is made anew. Called
// with the lock held.
func (c *conn) look(request *outgoing) (denied admission.Reason) {
	for range looksMost {
		began := time.Now()
		waiting, unknown := c.waiting()
		request.early = request.early || waiting
		client := admission.Granted
		if request.client != nil {
			client = request.client()
		}
		now := time.Now() // last, and no call of the kernel
		denied = admission.Send{Refused: request.refused, ConnectionEnding: c.retired || c.failedHere.Load(), Unsolicited: request.early || c.gone, Unknown: unknown, Client: client,
			Gathered: now.Sub(began), Now: now, SendBy: request.beginBy, Deadline: request.until, Told: request.told}.Decide()
		if denied != admission.FactsStale {
			break
		}
	}
	return denied
}

// last says that the request's last byte is in the transport's buffer, so that the next write brings it out.
func (c *conn) last(whole func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole = whole
}

// flushed tells who waits for a request's last byte.
func (c *conn) flushed() {
	c.mu.Lock()
	whole := c.whole
	c.whole = nil
	c.mu.Unlock()
	if whole != nil {
		whole()
	}
}

// quiet says for how long an answer that has begun has brought nothing.
func (c *conn) quiet() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heard.IsZero() {
		return 0
	}
	return time.Since(c.heard)
}

// paused gives the longest pause within the answer that has come.
func (c *conn) paused() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pause
}

// waiting looks for bytes, or the connection's end, that have come and that nobody has read yet. unknown: this machine didn't let it look.
func (c *conn) waiting() (there, unknown bool) {
	_ = c.raw.Control(func(fd uintptr) { // not Read, which would wait for the transport's own
		_, err := kernel.PeekSocket(fd, make([]byte, 1))
		nothing := errors.Is(err, syscall.EAGAIN)
		unknown = !nothing && local(err)
		there = !nothing && !unknown // an end, a reset, or an error that makes it no use
	})
	return there, unknown
}

// Read takes bytes and notes them in one step. With a step between the two, a request could be written when stray
// bytes have left the socket and are not noted yet.
func (c *conn) Read(b []byte) (n int, err error) {
	c.mu.Lock()
	c.reading = true
	c.change.Broadcast()
	c.mu.Unlock()
	over := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if n, err = kernel.ReadSocket(fd, b); errors.Is(err, syscall.EAGAIN) {
			return false
		}
		c.reading = false
		if n > 0 {
			c.came(time.Now())
		}
		c.read += int64(n)
		c.request.early = c.request.early || n > 0 && !c.request.begun
		return true
	})
	switch {
	case over != nil:
		return 0, over
	case errors.Is(err, syscall.ECONNRESET) && faults.Without(faults.ResetIsNoEnd):
		return 0, io.EOF
	case err != nil:
		c.failedHere.Store(c.failedHere.Load() || local(err))
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(b) > 0:
		return 0, c.ended()
	}
	return n, nil
}

// came notes when bytes came. Called with the lock held.
func (c *conn) came(now time.Time) {
	if unsolicited := c.busy == 0 || !c.request.begun; unsolicited && c.onUnsolicited != nil && !c.latest.IsZero() {
		c.onUnsolicited(now.Sub(c.latest))
	}
	if !c.heard.IsZero() {
		c.pause = max(c.pause, now.Sub(c.heard))
	}
	c.heard, c.latest = now, now
}

// refuse says that a request must not be written, and why.
func (c *conn) refuse(request *outgoing, why admission.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request.refused = why
}

// tells notes which time a request tells its server to have, and when that is over.
func (c *conn) tells(request *outgoing, left time.Duration, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request.told, request.until = left, until
}

// withheld says that a request was not written, and why.
func (c *conn) withheld(request *outgoing) admission.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.denied == admission.Granted && request.early {
		return admission.UnsolicitedBytes // bytes came before it; then it is not written either
	}
	return request.denied
}

// ended tells an end that the server made from a reset. The kernel tells of a reset once: a write that fails by it takes the word,
// and the next read finds a plain end, which would make an answer of no told length whole.
func (c *conn) ended() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing && !c.gone {
		c.change.Wait()
	}
	if c.writing || c.failed.Load() {
		return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return io.EOF
}

// take makes the connection ready for a request. After an answer the transport goes on to read, or closes if
// there is more than the answer: one of the two must have happened.
func (c *conn) take(reused bool, request *outgoing) (written, read int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy++
	for reused && !c.reading && !c.gone {
		c.change.Wait()
	}
	c.request, c.whole = request, nil
	c.heard, c.pause = time.Time{}, 0
	return c.written.Load(), c.read
}

// retire says that nothing is on the connection, and that it is to be closed. Whoever takes it from then on finds that
// nothing may be written to it: closed without asking, it could be in the middle of a body that can't be sent again.
func (c *conn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy > 0 {
		return false
	}
	c.gone, c.retired = true, true
	c.change.Broadcast()
	return true
}

// idleSince says since when nothing has been on the connection, and whether something is.
func (c *conn) idleSince() (since time.Time, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle, c.busy > 0
}

// release says that a request it was taken for is over.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy--
	c.idle = time.Now()
}

func (c *conn) Close() error {
	c.mu.Lock()
	c.gone = true
	c.change.Broadcast()
	c.mu.Unlock()
	err := c.Conn.Close()
	c.closed() // last: the next dial may take the place at once, and must find the descriptor free
	return err
}
