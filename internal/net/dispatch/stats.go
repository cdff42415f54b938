package dispatch

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Stats counts what happened since the last one was taken.
type Stats struct {
	Requests, Served, Rejected, Failed, ClientGone, Attempts, Panics int
	Ends                                                             [attemptResultCount]int
	// Took has the resolved lookups' times, in tenths of a millisecond.
	Latency *hdrhistogram.Histogram
}

// The histogram covers all time limits up to a minute; two digits tell a good second from a bad one.
const (
	longestTook = int64(time.Minute / tick)
	tookDigits  = 2
)

func (y *Stats) count(a Answer, took time.Duration) {
	switch a.Outcome {
	case Served:
		if y.Served++; y.Latency == nil {
			y.Latency = hdrhistogram.New(1, longestTook, tookDigits)
		}
		_ = y.Latency.RecordValue(min(int64(took/tick), longestTook)) // within its range
	case Rejected:
		y.Rejected++
	case Failed:
		y.Failed++
	}
}

// Millis gives a quantile of the resolved lookups' times in milliseconds.
func (y *Stats) Millis(percent float64) float64 {
	if y.Latency == nil {
		return 0
	}
	return float64(y.Latency.ValueAtPercentile(percent)) / float64(time.Millisecond/tick)
}

// Stats takes the counts and starts anew.
func (x *Dispatcher) Stats() Stats {
	x.mu.Lock()
	defer x.mu.Unlock()
	y := x.tally
	x.tally = Stats{}
	return y
}

// InFlight gives how many lookups are not forgotten yet.
func (x *Dispatcher) InFlight() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.tickets) - len(x.free)
}
