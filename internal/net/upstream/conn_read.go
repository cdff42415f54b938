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

// Read implements io.Reader. It reads from the socket and records the bytes under one lock. If the lock were released in
// between, a request could be written after unsolicited bytes were read from the socket, but before they are recorded.
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
	case errors.Is(err, syscall.ECONNRESET) && faults.Disabled(faults.ResetIsError):
		return 0, io.EOF
	case err != nil:
		c.localFailure.Store(c.localFailure.Load() || isLocalError(err))
		return 0, c.readError(err)
	case n == 0 && len(b) > 0:
		return 0, c.endOfInput()
	}
	return n, nil
}

// noteRead records that n bytes were read, and whether they are unsolicited. Called with the lock held.
func (c *conn) noteRead(n int) {
	if n > 0 {
		c.noteReadTime(time.Now())
	}
	c.bytesRead += int64(n)
	c.request.unsolicited = c.request.unsolicited || n > 0 && !c.request.writeStarted
}

// noteReadTime records the time of a read and the pause before it. Called with the lock held.
func (c *conn) noteReadTime(now time.Time) {
	unsolicited := c.inUse == 0 || !c.request.writeStarted
	if unsolicited && c.onUnsolicited != nil && !c.lastRead.IsZero() {
		c.onUnsolicited(now.Sub(c.lastRead))
	}
	if pause := now.Sub(c.lastAnswerRead); !c.lastAnswerRead.IsZero() {
		c.longestPause = max(c.longestPause, pause)
		if pause >= minStallThreshold {
			c.lumps++
		}
	}
	c.lastAnswerRead = now
	c.lastRead = now
}

// endOfInput returns the error of a read that found the end of the input: io.EOF if the server closed the connection, or
// ECONNRESET if it reset it. The kernel reports a reset only once. If a failed write got the report, the next read returns
// a plain EOF, which would make a truncated answer of unknown length look complete. Therefore endOfInput waits for a write
// in progress.
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

// readError wraps an error of read(2) like package net.
func (c *conn) readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
}

// hasUnreadInput reports whether the socket holds unread bytes, an EOF or an error. unknown reports that a local error
// prevented the check.
func (c *conn) hasUnreadInput() (unread, unknown bool) {
	_ = c.raw.Control(func(fd uintptr) { // not raw.Read, which would wait for the transport's Read
		_, err := kernel.PeekSocket(fd, make([]byte, 1))
		none := errors.Is(err, syscall.EAGAIN)
		unknown = !none && isLocalError(err)
		unread = !none && !unknown // bytes, EOF, a reset, or another error that makes the connection unusable
	})
	return unread, unknown
}

// hasReadMoreThan reports whether more than n bytes were read since the connection was established.
func (c *conn) hasReadMoreThan(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesRead > n
}

// answerSilence returns the time since the last read of the current answer, or 0 before its first byte.
func (c *conn) answerSilence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastAnswerRead.IsZero() {
		return 0
	}
	return time.Since(c.lastAnswerRead)
}

// answerPauses returns the longest time between two reads of the current answer, and in how many lumps it came: parts
// with pauses of minStallThreshold or more between them.
func (c *conn) answerPauses() (longest time.Duration, lumps int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longestPause, c.lumps + 1
}

// longestAnswerPause returns the longest time between two reads of the current answer.
func (c *conn) longestAnswerPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longestPause
}
