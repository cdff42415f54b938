package dispatch

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and resolution of the latency histogram.
const (
	maxLatency    = time.Minute // longer ones count as this
	latencyDigits = 2           // significant decimal digits
)

// Stats counts what happened since the previous Stats were stats.
type Stats struct {
	Requests, Served, Rejected, Failed, ClientGone, Attempts, Panics int

	Results [attemptResultCount]int // attempts by AttemptResult
	Latency *hdrhistogram.Histogram // of served requests, in tenths of a millisecond; nil: none was served
}

// count counts a request's final answer, which came after latency.
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
	_ = s.Latency.RecordValue(int64(min(latency, maxLatency) / tick)) // fails beyond its range only
}

// LatencyMs returns a percentile of the served requests' latencies, in milliseconds; 0 where none was served.
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

// InFlight returns how many requests are pending, or have attempts or an answer's stream that go on.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests.len()
}
