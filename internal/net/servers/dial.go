package servers

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var errNoRoom = errors.New("no descriptor or dial left")

// dialer bounds what connections towards the servers take: descriptors in all, and dials that are under
// way, in all and to each server. A dial lives on when the shot that wanted it is given up, so a server
// that vanished would otherwise gather one for each shot sent to it.
type dialer struct {
	net.Dialer
	each int

	mu      sync.Mutex
	most    int
	open    int // dials under way included
	dialing int
	to      map[string]int
	kept    map[string]map[*conn]bool // open connections by place
	bounded bool                      // atCache holds:
	atCache int                       // connections to each cache, those being made included
	quiet   quietPeriod
}

func (d *dialer) dial(ctx context.Context, network, place string) (net.Conn, error) {
	to, ok := ctx.Value(toAddress{}).(target)
	if !ok {
		to.address = place
	}
	address := to.address
	if !d.begin(address, place, to.cache) {
		return nil, errNoRoom
	}
	c, err := d.DialContext(ctx, network, address)
	d.end(address, err != nil)
	if err != nil {
		return nil, err
	}
	own := newConn(c.(socket), nil)
	own.cache = to.cache
	own.unsolicited = d.quiet.unsolicited
	own.closed = sync.OnceFunc(func() { d.change(-1, place, own) })
	d.change(0, place, own)
	return own, nil
}

// hangUp closes the connections to a place that carry nothing, but for so many, those idle for longest first, as the
// transport takes the latest. One may be taken for a shot in the same moment: then nothing can be written to it any
// more, and the shot goes on another.
func (d *dialer) hangUp(place string, but int) {
	d.mu.Lock()
	var free, idle []*conn
	for c := range d.kept[place] {
		if _, busy := c.idleSince(); !busy {
			free = append(free, c)
		}
	}
	slices.SortFunc(free, func(x, y *conn) int {
		of, _ := x.idleSince()
		than, _ := y.idleSince()
		return of.Compare(than)
	})
	for _, c := range free[:max(0, len(free)-but)] {
		if c.retire() {
			idle = append(idle, c)
		}
	}
	d.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // a second closing, by the transport, does nothing
	}
}

// bound holds the connections to each cache to so many from now on. The part of the fleet's budget that is given up goes to others, so
// what idles beyond it is closed before this returns.
func (d *dialer) bound(most int) {
	d.mu.Lock()
	d.bounded, d.atCache = true, most
	var idle []*conn
	for _, kept := range d.kept {
		beyond := len(kept) - most
		for c := range kept {
			if beyond > 0 && c.cache && c.retire() {
				idle = append(idle, c)
				beyond--
			}
		}
	}
	d.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// resize changes how many connections there may be, and closes as many idle ones as there are too many.
func (d *dialer) resize(most int) {
	d.mu.Lock()
	d.most = most
	beyond := d.open - most
	var idle []*conn
	for _, kept := range d.kept {
		for c := range kept {
			if len(idle) < beyond && c.retire() {
				idle = append(idle, c)
			}
		}
	}
	d.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

func (d *dialer) begin(address, place string, cache bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cache && d.bounded && len(d.kept[place])+d.to[address] >= d.atCache {
		return false
	}
	if d.open >= d.most || d.dialing >= max(1, d.most/dialsPart) || d.to[address] >= d.each {
		return false
	}
	d.open++
	d.dialing++
	d.to[address]++
	return true
}

func (d *dialer) end(address string, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dialing--
	if d.to[address]--; d.to[address] == 0 {
		delete(d.to, address)
	}
	if failed {
		d.open--
	}
}

// change keeps count of the open connections, and of whose they are: one more (0, as begin has counted it) or one less.
func (d *dialer) change(by int, place string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open += by
	if by == 0 {
		if d.kept[place] == nil {
			d.kept[place] = map[*conn]bool{}
		}
		d.kept[place][c] = true
	} else if delete(d.kept[place], c); len(d.kept[place]) == 0 {
		delete(d.kept, place)
	}
}

// conn gives its descriptor back once, and knows what was written to it: httptrace's WroteRequest comes before the
// transport flushes its buffer, so it can't tell whether anything has left. It also knows of bytes that belong to no
// request. A server may send more than its answer, and the transport may hand the connection on before it has seen
// that; it would take the rest for the next request's answer.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	closed func()
	cache  bool // it leads to one
	// unsolicited is told of bytes that belong to no request, and how long after an answer they came; nil: nobody is.
	unsolicited func(after time.Duration)
	written     atomic.Int64 // bytes
	failed      atomic.Bool  // a write came to an end before its last byte

	mu      sync.Mutex
	change  sync.Cond   // of reading, gone and writing
	reading bool        // the transport waits for bytes, so it has none left over
	gone    bool        // closed on our side, or about to be
	busy    int         // requests it was taken for that are not over
	idle    time.Time   // when it was made, or the latest of them was over
	begun   bool        // the present request's first byte is about to be written, or was
	early   bool        // bytes came before that, so that it must not be written
	refused error       // it must not be written for this reason; nil: none
	wanted  func() bool // asked just before that; nil: it is wanted in any case
	dropped bool        // it was not, so that nothing was written
	whole   func()      // to be told once what is still in the transport's buffer has been written; nil: nobody
	by      time.Time   // when its first byte must have been written; zero: any time
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
	own := &conn{Conn: c, raw: raw, closed: closed, idle: time.Now()}
	own.change.L = &own.mu
	return own
}

var errUnwanted = errors.New("the lookup was over, or its client gone, before the request was written")

var errStray = errors.New("bytes or the end came before the request was written, or it came too late for a drain")

func (c *conn) Write(b []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(takenIn)) // first: nothing lies between the looks and the write
	c.mu.Lock()
	if !c.begun {
		c.look()
	}
	c.begun = true
	stray, dropped, refused := c.early, c.dropped, c.refused
	c.writing = !stray && !dropped && refused == nil
	c.mu.Unlock()
	switch {
	case refused != nil:
		return 0, refused
	case dropped:
		return 0, errUnwanted
	case stray:
		return 0, errStray
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	c.mu.Lock()
	if n < len(b) {
		c.failed.Store(true)
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

const (
	lookFor   = 25 * time.Millisecond // a look takes microseconds: one that took longer is old by its end, and is made anew. An
	looksMost = 4                     // attempt may begin up to 0.1 s after its client left; after so many there is no core to keep that
)

// look says whether a request's first byte may be written now: early and dropped tell why not. A process that has no core for a
// while between a look and the write would act on what was true before, so what it saw has to be fresh. Called with the lock held.
func (c *conn) look() {
	for n := 1; ; n++ {
		began := time.Now()
		c.early = c.early || c.gone || c.waiting()
		c.dropped = c.wanted != nil && !c.wanted()
		now := time.Now() // last, and no call of the kernel
		c.early = c.early || !c.by.IsZero() && now.After(c.by)
		if fresh := now.Sub(began) < lookFor; fresh || c.early || c.dropped {
			return
		}
		c.early = n == looksMost
	}
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

// waiting looks for bytes, or the connection's end, that have come and that nobody has read yet.
func (c *conn) waiting() bool {
	there := false
	_ = c.raw.Control(func(fd uintptr) { // not Read, which would wait for the transport's own
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		there = err == nil || !passing(err)
	})
	return there
}

// passing says that a call on a descriptor may go otherwise if it is made again.
func passing(err error) bool { return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) }

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
		for n, err = syscall.Read(int(fd), b); errors.Is(err, syscall.EINTR); {
			n, err = syscall.Read(int(fd), b)
		}
		if errors.Is(err, syscall.EAGAIN) {
			return false
		}
		n = max(n, 0)
		c.reading = false
		if n > 0 {
			c.came(time.Now())
		}
		c.read += int64(n)
		c.early = c.early || n > 0 && !c.begun
		return true
	})
	switch {
	case over != nil:
		return 0, over
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(b) > 0:
		return 0, c.ended()
	}
	return n, nil
}

// came notes when bytes came. Called with the lock held.
func (c *conn) came(now time.Time) {
	if unsolicited := c.busy == 0 || !c.begun; unsolicited && c.unsolicited != nil && !c.latest.IsZero() {
		c.unsolicited(now.Sub(c.latest))
	}
	if !c.heard.IsZero() {
		c.pause = max(c.pause, now.Sub(c.heard))
	}
	c.heard, c.latest = now, now
}

// refuse says that the present request must not be written, and why.
func (c *conn) refuse(why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = why
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
func (c *conn) take(reused bool, by time.Time, wanted func() bool) (written, read int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy++
	for reused && !c.reading && !c.gone {
		c.change.Wait()
	}
	c.begun, c.early, c.by, c.whole = false, false, by, nil
	c.wanted, c.dropped, c.refused = wanted, false, nil
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
	c.gone = true
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
