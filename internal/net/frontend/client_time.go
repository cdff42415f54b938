package frontend

import (
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

// clientTime determines since when a client has waited for the answer to a request whose body is still read. The client's time counts from its body's
// last byte, which may have been in a kernel long before the node reads it. So the time runs while the node doesn't wait for the client: bytes of the
// body are there, and no more come although they could. Its methods are safe for concurrent use.
type clientTime struct {
	conn *clientConn

	mu       sync.Mutex
	reading  bool // the body's reader is in a Read
	complete bool // the body's last byte was read
	flow     clientFlow
}

// newClientTime is called before the body is read, of which bytes may have come long ago.
func newClientTime(conn *clientConn) *clientTime {
	t := &clientTime{conn: conn, flow: clientFlow{sentAt: conn.arrivedAt()}}
	t.look()
	return t
}

// beginRead is called before the body is read.
func (t *clientTime) beginRead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reading = true
}

// endRead is called after bytes of the body were read, and the last of them if complete is set.
func (t *clientTime) endRead(complete bool) {
	t.look()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reading = false
	t.complete = t.complete || complete
}

// look notes when the client last sent on. Bytes that come after the body's last are of the next request.
func (t *clientTime) look() {
	state, err := t.conn.receiveState()
	if err != nil {
		return
	}
	now := time.Now()
	waitTime := time.Duration(t.conn.waitTime.Load())
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.complete {
		t.flow.observe(now, state, waitTime)
	}
}

// waitingSince returns since when the client has waited for its answer, as far as can be told, or the present time if the node waits for the client.
func (t *clientTime) waitingSince() time.Time {
	if faults.Disabled(faults.UploadTime) {
		return time.Now()
	}
	t.look()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reading && t.conn.waiting.Load() {
		return time.Now()
	}
	return t.flow.sentAt
}

// receiveState returns what the kernel tells of the bytes that come from the client.
func (c *clientConn) receiveState() (state kernel.ReceiveState, err error) {
	controlErr := c.raw.Control(func(fd uintptr) { state, err = kernel.ReceiveStateOf(fd) })
	if controlErr != nil {
		return state, controlErr
	}
	return state, err
}
