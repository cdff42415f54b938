package frontend

import (
	"time"

	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

// maxRefill bounds how long bytes that wait in a client's kernel take to come once the window has opened: a round trip and a delayed acknowledgement.
const maxRefill = 100 * time.Millisecond

// fullBufferDivisor: in kernels that don't tell the window, it is taken to be shut with a quarter of the receive buffer unread.
const fullBufferDivisor = 4

// dataTimeError is how much the time since the last data, which the kernel counts in ticks, may seem to vary.
const dataTimeError = 10 * time.Millisecond

// clientFlow tells apart the two reasons for which bytes of a body come late: the client writes them late, or it wrote them before and its kernel had to
// wait for the node's to have space. The second is seen by a shut window.
type clientFlow struct {
	sentAt      time.Time     // when the client last sent on of its own accord
	waitedAt    time.Time     // when bytes last came that may have waited in its kernel
	blocked     bool          // the client's kernel may hold more: the window was shut, and has not been left unused since
	windowKnown bool          // the kernel tells the window
	waitTime    time.Duration // of the connection's reads, when the window was last shut
}

// observe takes in the state of the connection at a time, and how long its reads have waited in all.
func (f *clientFlow) observe(now time.Time, state kernel.ReceiveState, waitTime time.Duration) {
	lastData := now.Add(-state.SinceData)
	switch {
	case f.blocked:
		f.waitedAt = lastData
	case lastData.After(f.sentAt) && lastData.Sub(f.waitedAt) > dataTimeError:
		f.sentAt = lastData
	}
	f.noteWindow(state, waitTime)
}

// noteWindow sets blocked. The window is left unused if no bytes come for maxRefill although it is open, or although reads wait for them.
func (f *clientFlow) noteWindow(state kernel.ReceiveState, waitTime time.Duration) {
	f.windowKnown = f.windowKnown || state.Window > 0
	switch {
	case f.isShut(state):
		f.blocked = true
		f.waitTime = waitTime
	case state.SinceData >= maxRefill, waitTime-f.waitTime >= maxRefill:
		f.blocked = false
	}
}

// isShut reports whether the client's kernel waits for space: bytes lie unread, and there is less than a segment left.
func (f *clientFlow) isShut(state kernel.ReceiveState) bool {
	if f.windowKnown {
		return state.Unread > 0 && state.Window < state.Segment
	}
	return state.Unread >= state.BufferSize/fullBufferDivisor
}
