package dispatch

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Tally counts what happened since the last one was taken.
type Tally struct {
	Lookups, Resolved, Deferred, Abandoned, Left, Shots, Panics int
	Ends                                                        [endCount]int
	// Took has the resolved lookups' times, in tenths of a millisecond.
	Took *hdrhistogram.Histogram
}

// The histogram covers all time limits up to a minute; two digits tell a good second from a bad one.
const (
	longestTook = int64(time.Minute / tick)
	tookDigits  = 2
)

func (y *Tally) count(a Answer, took time.Duration) {
	switch a.Outcome {
	case Resolved:
		if y.Resolved++; y.Took == nil {
			y.Took = hdrhistogram.New(1, longestTook, tookDigits)
		}
		_ = y.Took.RecordValue(min(int64(took/tick), longestTook)) // within its range
	case Deferred:
		y.Deferred++
	case Abandoned:
		y.Abandoned++
	}
}

// Millis gives a quantile of the resolved lookups' times in milliseconds.
func (y *Tally) Millis(percent float64) float64 {
	if y.Took == nil {
		return 0
	}
	return float64(y.Took.ValueAtPercentile(percent)) / float64(time.Millisecond/tick)
}

// Tally takes the counts and starts anew.
func (x *Exchange) Tally() Tally {
	x.mu.Lock()
	defer x.mu.Unlock()
	y := x.tally
	x.tally = Tally{}
	return y
}

// Out gives how many lookups are not forgotten yet.
func (x *Exchange) Out() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.tickets) - len(x.free)
}
