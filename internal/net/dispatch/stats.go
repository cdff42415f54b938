package dispatch

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and resolution of the latency histogram.
const (
	maxLatency    = time.Minute // longer latencies are recorded as this
	latencyDigits = 2           // significant decimal digits
)

// Stats counts events since the previous call of Dispatcher.Stats.
type Stats struct {
	Requests, Served, Rejected, Failed, ClientGone, Attempts, Panics int

	Results [attemptResultCount]int // attempts by AttemptResult
	Latency *hdrhistogram.Histogram // of served requests, in tenths of a millisecond; nil: none was served
}

// count counts a request's final answer, delivered after latency.
func (s *Stats) count(answer Answer, latency time.Duration) {
	switch answer.Outcome {
	case Served:
		s.Served++
		s.recordLatency(latency)
	case Rejected:
		s.Rejected++
	case Failed:
		s.Failed++
	}
}

func (s *Stats) recordLatency(latency time.Duration) {
	if s.Latency == nil {
		s.Latency = hdrhistogram.New(1, int64(maxLatency/tick), latencyDigits)
	}
	_ = s.Latency.RecordValue(int64(min(latency, maxLatency) / tick)) // fails only for values out of range
}

// LatencyMs returns a percentile of the latencies of served requests, in milliseconds; 0 if none was served.
func (s *Stats) LatencyMs(percentile float64) float64 {
	if s.Latency == nil {
		return 0
	}
	return float64(s.Latency.ValueAtPercentile(percentile)) / float64(time.Millisecond/tick)
}

// Stats returns the counts since the last call.
func (d *Dispatcher) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	stats := d.stats
	d.stats = Stats{}
	return stats
}

// Unanswered returns the number of requests that have neither a final answer nor lost their client. A request whose answer
// is still streamed is not counted.
func (d *Dispatcher) Unanswered() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.requests.slots {
		if r != nil && !r.ended.Load() {
			n++
		}
	}
	return n
}

// InFlight returns the number of requests that are pending, or have attempts in flight or a streamed answer that is not
// closed.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests.len()
}
