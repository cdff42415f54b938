package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

// Read implements io.Reader. It takes bytes from the socket and notes them in one step under the lock. With a step between
// the two, a request could be written when unsolicited bytes have left the socket and are not noted yet.
func (c *conn) Read(b []byte) (n int, err error) {
	c.mu.Lock()
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()
	waitErr := c.raw.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if n, err = kernel.ReadSocket(fd, b); errors.Is(err, syscall.EAGAIN) {
			return false
		}
		c.reading = false
		c.noteRead(n)
		return true
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case errors.Is(err, syscall.ECONNRESET) && faults.Without(faults.ResetIsNoEnd):
		return 0, io.EOF
	case err != nil:
		c.localFailure.Store(c.localFailure.Load() || isLocalError(err))
		return 0, c.readError(err)
	case n == 0 && len(b) > 0:
		return 0, c.endOfInput()
	}
	return n, nil
}

// noteRead notes that n bytes have come, and whether they are unsolicited. Called with the lock held.
func (c *conn) noteRead(n int) {
	if n > 0 {
		c.noteReadTime(time.Now())
	}
	c.bytesRead += int64(n)
	c.request.unsolicited = c.request.unsolicited || n > 0 && !c.request.writeStarted
}

// noteReadTime notes when bytes have come. Called with the lock held.
func (c *conn) noteReadTime(now time.Time) {
	unsolicited := c.inUse == 0 || !c.request.writeStarted
	if unsolicited && c.onUnsolicited != nil && !c.lastRead.IsZero() {
		c.onUnsolicited(now.Sub(c.lastRead))
	}
	if !c.lastAnswerRead.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(c.lastAnswerRead))
	}
	c.lastAnswerRead = now
	c.lastRead = now
}

// endOfInput tells the server's close from a reset. The kernel reports a reset once: if a failing write gets the report,
// the next read finds a plain end, which would make an answer of unknown length complete. So it waits for a write that
// is under way.
func (c *conn) endOfInput() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing && !c.closing {
		c.changed.Wait()
	}
	if c.writing || c.writeFailed.Load() {
		return c.readError(syscall.ECONNRESET)
	}
	return io.EOF
}

// readError wraps the error of a read(2) as package net does.
func (c *conn) readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
}

// hasUnreadInput reports whether bytes, or the connection's end, have come and were not read. unknown says that this
// machine could not look.
func (c *conn) hasUnreadInput() (unread, unknown bool) {
	_ = c.raw.Control(func(fd uintptr) { // not raw.Read, which would wait for the transport's own
		_, err := kernel.PeekSocket(fd, make([]byte, 1))
		none := errors.Is(err, syscall.EAGAIN)
		unknown = !none && isLocalError(err)
		unread = !none && !unknown // bytes, an end, a reset, or an error that makes the connection useless
	})
	return unread, unknown
}

// hasReadMoreThan reports whether more than so many bytes have come.
func (c *conn) hasReadMoreThan(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesRead > n
}

// answerSilence returns for how long an answer that has begun has brought nothing; 0 before its first byte.
func (c *conn) answerSilence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastAnswerRead.IsZero() {
		return 0
	}
	return time.Since(c.lastAnswerRead)
}

// longestAnswerPause returns the longest time between two reads of the present answer.
func (c *conn) longestAnswerPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longestPause
}
