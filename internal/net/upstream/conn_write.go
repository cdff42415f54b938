package upstream

import (
	"time"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

const (
	// maxWriteChecks bounds how often the facts about a request are gathered. That takes microseconds; a process for which
	// it takes long so many times gets too little processor time to act on them.
	maxWriteChecks = 4
	// writeTimeout bounds a write, which waits for the server's window.
	writeTimeout = 5 * time.Second
)

// Write implements io.Writer. It returns a denialError, and writes nothing, where the present request must not be written.
func (c *conn) Write(b []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // first: nothing comes between the decision and the write
	if reason := c.startWrite(); reason != admission.Granted {
		return 0, denialError{reason}
	}
	n, err := kernel.WriteAll(c.Conn.Write, b)
	c.bytesWritten.Add(int64(n))
	c.endWrite(n < len(b), err)
	if n < len(b) {
		return n, err
	}
	c.callOnFlush()
	return n, err
}

// startWrite decides whether the present request may be written, once for each request, and returns the reason against it.
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

// endWrite notes how a write ended.
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
// long to gather may be outdated, and are gathered again. Called with the lock held.
func (c *conn) decideWrite(request *outgoingRequest) (reason admission.Reason) {
	for range maxWriteChecks {
		start := time.Now()
		unread, unknown := c.hasUnreadInput()
		request.unsolicited = request.unsolicited || unread
		client := admission.Granted
		if request.clientState != nil {
			client = request.clientState()
		}
		now := time.Now() // last, with no system call after it
		reason = admission.Send{
			Refused:          request.presetRefusal,
			ConnectionEnding: c.retired || c.localFailure.Load(),
			Unsolicited:      request.unsolicited || c.closing,
			Unknown:          unknown,
			Client:           client,
			GatherTime:       now.Sub(start),
			Now:              now,
			SendBy:           request.sendBy,
			ClientDeadline:   request.clientDeadline,
			DeclaredTimeout:  request.declaredTimeout,
		}.Decide()
		if reason != admission.FactsStale {
			break
		}
	}
	return reason
}

// setOnFlush has onFlush called once the next write has succeeded: the request's last byte is in the transport's
// buffer.
func (c *conn) setOnFlush(onFlush func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onFlush = onFlush
}

// callOnFlush calls onFlush, once, without the lock.
func (c *conn) callOnFlush() {
	c.mu.Lock()
	onFlush := c.onFlush
	c.onFlush = nil
	c.mu.Unlock()
	if onFlush != nil {
		onFlush()
	}
}

// refuse denies a request that was not written yet.
func (c *conn) refuse(request *outgoingRequest, reason admission.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request.presetRefusal = reason
}

// setDeclaredTimeout notes which time a request tells its server to have, and when its client stops waiting.
func (c *conn) setDeclaredTimeout(request *outgoingRequest, timeout time.Duration, clientDeadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request.declaredTimeout = timeout
	request.clientDeadline = clientDeadline
}

// denial returns why a request was not written and won't be; admission.Granted where nothing speaks against it.
func (c *conn) denial(request *outgoingRequest) admission.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.decision == admission.Granted && request.unsolicited {
		return admission.UnsolicitedBytes
	}
	return request.decision
}
