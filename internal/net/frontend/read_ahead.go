package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

const (
	readAheadThreshold = 4 << 10 // bytes; with at least so many unread, a client's close may be held up behind a full TCP window
	readAheadPause     = time.Millisecond
	maxQuietPauses     = 2 // pauses without new bytes after which all bytes in flight have arrived; they cover some round trips
	maxReadAheadPauses = 10

	// maxClientSendBuffer is how many bytes a client's kernel delivers after the client has closed its connection: where
	// net.ipv4.tcp_wmem ends by default, and one segment that may exceed it.
	maxClientSendBuffer = 4<<20 + 64<<10

	// assumedUnread stands for the number of bytes in the receive buffer if the kernel does not tell it.
	assumedUnread = 256 << 10

	// minReadAheadMemory is enough to check two clients with long bodies at once.
	minReadAheadMemory = 9 << 20

	// readAheadBehindBody is how many bytes are read at first behind a request's body, where its client's close usually is.
	readAheadBehindBody = 64 << 10

	// bufferedByServer is how many bytes of a body net/http may have read from the connection that its reader has not got yet.
	bufferedByServer = 4 << 10

	// readAheadWait is how long a check waits for memory that other connections use. The check has to end within admission.MaxFactAge.
	readAheadWait = 12 * time.Millisecond

	// maxReadAheadWaits is how often a request waits for such memory.
	maxReadAheadWaits = 3

	// connectedFor is how long a client counts as connected after it was proved to be. An attempt may start up to 0.1 s after its client
	// has gone.
	connectedFor = 75 * time.Millisecond
)

// readAhead holds bytes that were read from a connection before its reader asked for them, in order to detect the client's close behind them.
type readAhead struct {
	mu          sync.Mutex // held while reading from the kernel, to keep the bytes in order
	unread      []chunk
	memory      *semaphore.Weighted // bytes of the chunks of all connections; nil if nothing is read ahead
	connectedAt time.Time           // when the client was last proved to be connected; zero: never
	waits       int                 // calls of readAheadForEnd that waited for memory in vain
}

// chunk is a buffer of bufferPool of which the bytes from start to end are unread.
type chunk struct {
	buffer     *[]byte
	start, end int
}

// read moves unread bytes into b and returns their number. mu must be held.
func (a *readAhead) read(b []byte) (n int) {
	for n < len(b) && len(a.unread) > 0 {
		first := &a.unread[0]
		copied := copy(b[n:], (*first.buffer)[first.start:first.end])
		n += copied
		first.start += copied
		if first.start == first.end {
			a.dropFirst()
		}
	}
	return n
}

// dropFirst releases the first chunk. mu must be held.
func (a *readAhead) dropFirst() {
	bufferPool.Put(a.unread[0].buffer)
	a.unread[0].buffer = nil
	a.unread = a.unread[1:]
	if len(a.unread) == 0 {
		a.unread = nil // frees the memory
	}
	a.memory.Release(copyBufferBytes)
}

// fill reads the bytes that the kernel has, but no more than about atMost, and returns their number, and how many chunks it has added for them.
func (a *readAhead) fill(fd uintptr, atMost int64) (n int64, chunks int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for n < atMost {
		last := len(a.unread) - 1
		isNew := last < 0 || a.unread[last].end == copyBufferBytes
		if isNew {
			last++
			a.unread = append(a.unread, chunk{buffer: bufferPool.Get().(*[]byte)})
		}
		space := &a.unread[last]
		read, _ := kernel.ReadSocket(fd, (*space.buffer)[space.end:])
		space.end += read
		n += int64(read)
		switch {
		case read == 0 && isNew:
			bufferPool.Put(space.buffer)
			a.unread = a.unread[:last]
			return n, chunks
		case read == 0:
			return n, chunks
		case isNew:
			chunks++
		}
	}
	return n, chunks
}

// readNow reads without blocking: from the bytes that were read ahead, or else from the kernel.
func (c *clientConn) readNow(fd uintptr, b []byte) (n int, err error) {
	c.readAhead.mu.Lock()
	defer c.readAhead.mu.Unlock()
	if len(c.readAhead.unread) > 0 {
		return c.readAhead.read(b), nil
	}
	return kernel.ReadSocket(fd, b)
}

// readWait blocks until bytes arrive, the client closes its side, or the read deadline passes.
func (c *clientConn) readWait(b []byte) (n int, err error) {
	start, waited := clock.Now(), false
	waitErr := c.raw.Read(func(fd uintptr) bool {
		n, err = c.readNow(fd, b)
		blocked := errors.Is(err, syscall.EAGAIN)
		waited = waited || blocked
		c.waiting.Store(blocked)
		return !blocked
	})
	c.waiting.Store(false)
	if waited {
		end := clock.Now()
		c.waitTime.Add(int64(end - start))
		c.lastWait.Store(int64(end))
	}
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

// readAheadForEnd reads ahead if at least readAheadThreshold bytes are unread, or any of the request's body, because the client's close arrives only after
// the bytes before it have been read. restOfBody is how many bytes of the request's body are unread; 0: none, or their number is unknown. It reports
// whether it has read ahead, and whether the request may be forwarded if no close can be seen now:
//   - all bytes in flight have come, so that a close would be seen,
//   - or more bytes have come than both kernels held when the call began, so that the client was connected then,
//   - or other connections use the memory at each of maxReadAheadWaits calls, but the rest of the body is more than both kernels hold: without its client
//     the request is never whole.
func (c *clientConn) readAheadForEnd(restOfBody int64) (started, certain bool) {
	start := time.Now()
	if c.readAhead.memory == nil || c.provedConnected(start) {
		return false, true
	}
	minUnread := readAheadThreshold
	if restOfBody > 0 {
		minUnread = 1 // the window may be full with fewer bytes where they came in small segments
	}
	held := c.heldBytes(minUnread)
	if held == 0 {
		return false, true
	}
	search := endSearch{conn: c}
	defer search.release()
	for _, target := range []int64{min(held, restOfBody+readAheadBehindBody), held} {
		if !search.reserve(target) {
			return search.read > 0, c.countWait() >= maxReadAheadWaits && restOfBody > held+bufferedByServer
		}
		if search.readUpTo(target) {
			return true, true
		}
	}
	c.setConnected(start)
	return true, true
}

// endSearch reads ahead of one connection.
type endSearch struct {
	conn     *clientConn
	read     int64 // bytes
	capacity int64 // bytes that may be read with the memory that was reserved so far
	reserved int64 // bytes of memory that are reserved and not in use
	pauses   int
}

// reserve reserves the memory for reading up to target bytes in all, and reports whether it got it in time.
func (s *endSearch) reserve(target int64) bool {
	if target <= s.capacity {
		return true
	}
	size := target - s.capacity + 2*copyBufferBytes // the first and the last chunk may hold few of the bytes
	ctx, cancel := context.WithTimeout(context.Background(), readAheadWait)
	defer cancel()
	if s.conn.readAhead.memory.Acquire(ctx, size) != nil {
		return false
	}
	s.capacity = target
	s.reserved += size
	return true
}

// release gives back the memory that was not used.
func (s *endSearch) release() { s.conn.readAhead.memory.Release(s.reserved) }

// readUpTo reads until no more bytes come, which it reports, or about target bytes were read in all. Bytes that go on coming slowly, from a client that is
// still sending or from its kernel, count as the end too.
func (s *endSearch) readUpTo(target int64) (ended bool) {
	for quietPauses := 0; quietPauses < maxQuietPauses && s.pauses < maxReadAheadPauses; s.pauses++ {
		if s.pauses > 0 {
			time.Sleep(readAheadPause)
		}
		n, chunks := int64(0), 0
		_ = s.conn.raw.Control(func(fd uintptr) { n, chunks = s.conn.readAhead.fill(fd, target-s.read) })
		s.read += n
		s.reserved -= int64(chunks) * copyBufferBytes // released with the chunks
		if s.read >= target {
			return false
		}
		quietPauses++
		if n > 0 {
			quietPauses = 0
		}
	}
	return true
}

// heldBytes returns how many bytes the kernels of both sides can hold, or 0 if fewer than minUnread, at most copyBufferBytes, are unread.
func (c *clientConn) heldBytes(minUnread int) (held int64) {
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	_ = c.raw.Control(func(fd uintptr) {
		c.readAhead.mu.Lock()
		defer c.readAhead.mu.Unlock()
		if n, err := kernel.PeekSocket(fd, (*buffer)[:minUnread]); err != nil || n < minUnread {
			return
		}
		unread, err := kernel.UnreadBytes(fd)
		if err != nil {
			unread = assumedUnread
		}
		held = int64(unread) + maxClientSendBuffer
	})
	return held
}

// countWait counts a call of readAheadForEnd that waited for memory in vain, and returns how many there were.
func (c *clientConn) countWait() int {
	c.readAhead.mu.Lock()
	defer c.readAhead.mu.Unlock()
	c.readAhead.waits++
	return c.readAhead.waits
}

// provedConnected reports whether the client was proved to be connected within connectedFor.
func (c *clientConn) provedConnected(now time.Time) bool {
	c.readAhead.mu.Lock()
	defer c.readAhead.mu.Unlock()
	return now.Sub(c.readAhead.connectedAt) < connectedFor
}

func (c *clientConn) setConnected(at time.Time) {
	c.readAhead.mu.Lock()
	defer c.readAhead.mu.Unlock()
	c.readAhead.connectedAt = at
}

// dropReadAhead discards the bytes that were read ahead, and returns their number.
func (c *clientConn) dropReadAhead() (n int) {
	c.readAhead.mu.Lock()
	defer c.readAhead.mu.Unlock()
	for len(c.readAhead.unread) > 0 {
		n += c.readAhead.unread[0].end - c.readAhead.unread[0].start
		c.readAhead.dropFirst()
	}
	return n
}
