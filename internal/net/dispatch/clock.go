package dispatch

import (
	"time"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// tick is the unit of routing.Time.
const tick = time.Millisecond / time.Duration(routing.Millisecond)

// minClockStep is the smallest difference that counts as a step of the wall clock. Smaller ones come from clock
// discipline, such as slewing.
const minClockStep = time.Second

// clock is the balancer's clock. It starts at the Unix time of start and then follows the monotonic clock. Its times
// can be compared with the start times in the endpoint list, which are Unix times.
type clock struct{ start time.Time }

// now returns the current time.
func (c clock) now() routing.Time { return c.toRoutingTime(time.Now()) }

// toRoutingTime converts a time that has a monotonic reading, rounding down.
func (c clock) toRoutingTime(t time.Time) routing.Time {
	unix := c.start.UnixNano() + int64(t.Sub(c.start))
	return routing.Time(unix / int64(tick))
}

// wallOffset returns by how much the wall clock was stepped since start; 0 if by less than minClockStep.
func (c clock) wallOffset(now time.Time, wall time.Time) time.Duration {
	offset := wall.Sub(c.start.Round(0)) - now.Sub(c.start)
	if offset.Abs() < minClockStep {
		return 0
	}
	return offset
}

// fromUnix converts a Unix time in milliseconds. 0 stays 0, which means long ago.
func fromUnix(ms float64) routing.Time { return routing.Time(ms) * routing.Millisecond }

// fromUnixNow converts a Unix time in milliseconds to the balancer's clock, corrected by the steps of the wall clock
// until now. A time in the future is due to a wrong clock and counts as now. 0 stays 0, which means long ago.
func (d *Dispatcher) fromUnixNow(ms float64) routing.Time {
	if ms == 0 {
		return 0
	}
	now := time.Now()
	t := fromUnix(ms) - config.MillisecondsToTime(float64(d.clock.wallOffset(now, d.wallNow()))/float64(time.Millisecond))
	if routingNow := d.clock.toRoutingTime(now); t > routingNow+config.MillisecondsToTime(float64(minClockStep/time.Millisecond)) {
		t = routingNow
	}
	return max(1, t)
}
