package upstream

import (
	"errors"
	"os"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

const (
	// maxWriteChecks bounds how often the facts about a request are gathered. Gathering usually takes microseconds. A process
	// in which it is slow this many times in a row gets too little processor time to act on the facts.
	maxWriteChecks = 4
	// writeTimeout bounds how long a write may make no progress. A write blocks while the server's TCP receive window is full.
	writeTimeout = 5 * time.Second
	// minUploadStall is the least time that a server has to take a further byte of a streamed body. With it, an upload that is
	// given up is still answered within the 0.5 s after which a request counts as lost.
	minUploadStall = 250 * time.Millisecond
	// writeStallChecks is how often progress is checked within the longest time without any.
	writeStallChecks = 8
)

// maxWriteStall returns how long the server may take none of an attempt's bytes; 0: writeTimeout. The client of a streamed
// body may have sent its last byte already, so a server that has stopped reading gets no more time than for an answer.
func maxWriteStall(a *dispatch.Attempt) time.Duration {
	if a.BodyStream == nil {
		return 0
	}
	return min(writeTimeout, max(minUploadStall, a.Timeout))
}

// Write implements io.Writer. If the current request must not be written, it writes nothing and returns a denialError.
func (c *conn) Write(b []byte) (int, error) {
	maxStall := c.writeStallLimit()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(maxStall / writeStallChecks)) // set first, so that the write directly follows the decision
	if reason := c.startWrite(); reason != admission.Granted {
		return 0, denialError{reason}
	}
	n, err := c.writeWhileTaken(b, maxStall)
	c.bytesWritten.Add(int64(n))
	c.endWrite(n < len(b), err)
	if n < len(b) {
		return n, err
	}
	c.callOnFlush()
	return n, err
}

// writeStallLimit returns how long the current request's bytes may make no progress.
func (c *conn) writeStallLimit() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request.maxWriteStall == 0 {
		return writeTimeout
	}
	return c.request.maxWriteStall
}

// writeWhileTaken writes all of b, unless the server takes none of it for maxStall.
func (c *conn) writeWhileTaken(b []byte, maxStall time.Duration) (written int, err error) {
	for lastProgress := time.Now(); ; {
		n, err := kernel.WriteAll(c.Conn.Write, b[written:])
		written += n
		now := time.Now()
		if n > 0 {
			lastProgress = now
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || now.Sub(lastProgress) >= maxStall {
			return written, err
		}
		_ = c.Conn.SetWriteDeadline(now.Add(maxStall / writeStallChecks))
	}
}

// startWrite returns Granted if the current request may be written, or else the reason for the denial. It decides once for
// each request.
func (c *conn) startWrite() admission.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.request
	if !request.writeStarted {
		request.decision = c.decideWrite(request)
	}
	request.writeStarted = true
	c.writing = request.decision == admission.Granted
	return request.decision
}

// endWrite records the result of a write. failed means that not all bytes were written.
func (c *conn) endWrite(failed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if failed {
		c.writeFailed.Store(true)
		c.localFailure.Store(c.localFailure.Load() || isLocalError(err))
	}
	c.writing = false
	c.changed.Broadcast()
}

// decideWrite gathers the facts about a request, and decides whether its first byte may be written now. Facts that took
// too long to gather may be outdated; they are gathered again. Called with the lock held.
func (c *conn) decideWrite(request *outgoingRequest) (reason admission.Reason) {
	for range maxWriteChecks {
		start := time.Now()
		unread, unknown := c.hasUnreadInput()
		request.unsolicited = request.unsolicited || unread
		client := admission.Granted
		if request.attemptState != nil {
			client = request.attemptState()
		}
		now := time.Now() // read last, so that no system call delays the decision
		reason = admission.Send{
			PriorReason:       request.presetRefusal,
			ConnectionEnding:  c.retired || c.localFailure.Load(),
			UnsolicitedBytes:  request.unsolicited || c.closing,
			ConnectionUnknown: unknown,
			AttemptState:      client,
			GatherTime:        now.Sub(start),
			Now:               now,
			SendBy:            request.sendBy,
			ClientDeadline:    request.clientDeadline,
			DeclaredTimeout:   request.declaredTimeout,
		}.Decide()
		if reason != admission.FactsStale {
			break
		}
	}
	return reason
}

// setOnFlush sets the function to be called after the next complete write. It is called when the request's last byte is in
// the transport's buffer, so that the next write is the one that flushes it.
func (c *conn) setOnFlush(onFlush func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onFlush = onFlush
}

// callOnFlush calls and resets onFlush. It calls it without the lock.
func (c *conn) callOnFlush() {
	c.mu.Lock()
	onFlush := c.onFlush
	c.onFlush = nil
	c.mu.Unlock()
	if onFlush != nil {
		onFlush()
	}
}

// refuse sets a reason for which the request will be denied when its first byte is to be written.
func (c *conn) refuse(request *outgoingRequest, reason admission.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request.presetRefusal = reason
}

// setDeclaredTimeout records the timeout that a request declares to its server, and when its client stops waiting.
func (c *conn) setDeclaredTimeout(request *outgoingRequest, timeout time.Duration, clientDeadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request.declaredTimeout = timeout
	request.clientDeadline = clientDeadline
}

// denial returns the reason why writing a request was denied, or admission.Granted. Unsolicited bytes are a reason even
// before the request is written.
func (c *conn) denial(request *outgoingRequest) admission.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.decision == admission.Granted && request.unsolicited {
		return admission.UnsolicitedBytes
	}
	return request.decision
}
