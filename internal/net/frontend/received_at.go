package frontend

import (
	"time"

	"github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

// minUnreadTime is how long bytes must have lain unread to count: the kernel tells their age in ticks of up to 10 ms.
const minUnreadTime = 20 * time.Millisecond

// receivedAt returns when the latest request on the connection was received whole, at the latest. Its bytes may have lain in the kernel before they were
// read: while the connection waited to be accepted, while the process was not running, or during a pause, in which bytes of further requests may have
// come too.
func (c *clientConn) receivedAt() time.Time {
	paused := !c.pauseEnd.IsZero() && !clock.Moment(c.lastWait.Load()).Time().After(c.pauseEnd)
	c.pauseEnd = time.Time{}
	if paused {
		return c.answeredAt
	}
	return c.arrivedAt()
}

// arrivedAt returns when bytes last came, or when the request before was answered, if that was later.
func (c *clientConn) arrivedAt() time.Time {
	if lastData := c.lastDataAt(); lastData.After(c.answeredAt) {
		return lastData
	}
	return c.answeredAt
}

// lastDataAt returns when bytes last came, or the present time if that was less than minUnreadTime ago or is unknown.
func (c *clientConn) lastDataAt() time.Time {
	now := time.Now()
	var sinceData time.Duration
	var err error
	controlErr := c.raw.Control(func(fd uintptr) { sinceData, err = kernel.SinceData(fd) })
	if controlErr != nil || err != nil || sinceData < minUnreadTime {
		return now
	}
	return now.Add(-sinceData)
}
