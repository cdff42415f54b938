package dispatch

import (
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

// tick is the unit of the module's clock: a tenth of a millisecond.
const tick = time.Millisecond / time.Duration(routing.Millisecond)

// clock is the one clock of a node. It starts at the Unix time and goes on monotonically, so that the start
// times on the box list, which are Unix times, can be set beside it.
type clock struct{ start time.Time }

func (c clock) now() routing.Time { return c.at(time.Now()) }

// minClockStep is by how much the wall clock may be off ours before it counts as stepped: it is kept in step by small corrections.
const minClockStep = time.Second

// wallOffset gives by how much the wall clock was stepped since the start.
func (c clock) wallOffset(now time.Time, wall time.Time) time.Duration {
	by := wall.Sub(c.start.Round(0)) - now.Sub(c.start)
	if by.Abs() < minClockStep {
		return 0
	}
	return by
}

func (c clock) at(t time.Time) routing.Time {
	unix := c.start.UnixNano() + int64(t.Sub(c.start))
	return routing.Time(unix / int64(tick))
}

// fromUnix converts a start time of the list; 0 stays 0, which means long ago.
func fromUnix(ms float64) routing.Time { return routing.Time(ms) * routing.Millisecond }
