package simulation

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Point describes one second of a run. A request is counted in the second in which it ends.
type Point struct {
	InTime, Late, Refused, Failed int     // requests by how they ended
	Deferrals                     int     // rejections after which the client retries
	Fetches, Hits                 int     // answers of the origin to reads, and of caches
	Ready                         int     // ready caches at the end of the second
	Queued                        int     // jobs in the queues of all servers at the end of the second
	Busy                          float64 // service time of the jobs started in the second, as a share of the time of all slots
}

// Result holds what one run measured.
type Result struct {
	Experiment, Policy string
	Seed               uint64
	Points             []Point
	OfferedRequests    int            // requests of clients, without their retries
	ViolationCounts    map[string]int // number of violations by rule
	Violations         []string       // messages of the first violations
	SilenceStats       silenceStats
	BudgetUsage        *BudgetUsage // nil if the fleet has no budget
	BusiestCacheRatio  float64      // attempts at the busiest cache relative to the mean, of caches present during the whole run

	latencies     *hdrhistogram.Histogram // of served requests, in ticks
	busySlotTicks float64                 // sum over all servers at the end of the last point
}

func newResult(e *Experiment, policy string, seed uint64) *Result {
	maxTicks := int64(e.Demand.TimeLimit.ticks()) * int64(2*e.Demand.MaxTries+2)
	return &Result{Experiment: e.Name, Policy: policy, Seed: seed, Points: make([]Point, 1),
		latencies: hdrhistogram.New(1, max(2, maxTicks), 3)}
}

// current returns the point of the current second.
func (r *Result) current() *Point { return &r.Points[len(r.Points)-1] }

func (r *Result) recordLatency(latency routing.Time) {
	_ = r.latencies.RecordValue(min(max(1, int64(latency)), r.latencies.HighestTrackableValue())) // the value is in range, so no error
}

// closePoint completes the point of the current second and begins the next one.
func (r *Result) closePoint(tb *testbed) {
	point, slotTicks, slots := r.current(), 0.0, 0
	for _, server := range tb.servers {
		slotTicks += server.busySlotTicks
		if server.endpoint.State == routing.Gone {
			continue
		}
		if !server.isOrigin && server.endpoint.State == routing.Ready {
			point.Ready++
		}
		slots += server.config.Slots
		point.Queued += len(server.queue)
	}
	point.Busy = (slotTicks - r.busySlotTicks) / float64(second) / float64(slots)
	r.busySlotTicks = slotTicks
	r.Points = append(r.Points, Point{})
}

// total returns the sums of those fields that are counts of events.
func (r *Result) total() (total Point) {
	for _, p := range r.Points {
		total.InTime += p.InTime
		total.Late += p.Late
		total.Refused += p.Refused
		total.Failed += p.Failed
		total.Deferrals += p.Deferrals
		total.Fetches += p.Fetches
		total.Hits += p.Hits
	}
	return total
}

// FetchesPerSecond returns the mean number of fetches per second.
func (r *Result) FetchesPerSecond() float64 {
	return float64(r.total().Fetches) / float64(max(1, len(r.Points)-1))
}

// SilenceSummary returns how many attempts and probes (of nodes and on behalf of the cluster) a silent cache receives per
// second, and the longest and the mean time in seconds from the end of a silence until a node that has ejected the cache
// uses it again.
func (r *Result) SilenceSummary() (attempts, probes, longest, mean float64) {
	for _, seconds := range r.SilenceStats.ReuseSeconds {
		longest, mean = max(longest, seconds), mean+seconds/float64(len(r.SilenceStats.ReuseSeconds))
	}
	silentSeconds := max(1, r.SilenceStats.SilentSeconds)
	return float64(r.SilenceStats.Attempts) / silentSeconds, float64(r.SilenceStats.NodeProbes+r.SilenceStats.ClusterProbes) / silentSeconds, longest, mean
}

// InTimeShare returns the share of all requests that were served within the latency target.
func (r *Result) InTimeShare() float64 {
	return float64(r.total().InTime) / float64(max(1, r.OfferedRequests))
}

// WorstInTimeShare returns the lowest share of requests served within the latency target over any 10 s.
func (r *Result) WorstInTimeShare() float64 {
	const windowSeconds = 10
	lowest := 1.0
	for i := 0; i+windowSeconds <= len(r.Points); i++ {
		inTime, total := 0, 0
		for _, p := range r.Points[i : i+windowSeconds] {
			inTime, total = inTime+p.InTime, total+p.InTime+p.Late+p.Refused+p.Failed
		}
		if total > 0 {
			lowest = min(lowest, float64(inTime)/float64(total))
		}
	}
	return lowest
}

// LatencyMilliseconds returns a percentile of the latencies of served requests, in milliseconds from the client's first try.
func (r *Result) LatencyMilliseconds(percent float64) float64 {
	return float64(r.latencies.ValueAtPercentile(percent)) / float64(routing.Millisecond)
}

// PeakFetchRatio returns the highest mean rate of fetches in any window of windowSeconds from atSecond on, relative to the rate
// in the window before atSecond.
func (r *Result) PeakFetchRatio(atSecond, windowSeconds int) float64 {
	rate := func(from, to int) float64 {
		fetches := 0
		for _, p := range r.Points[max(0, from):min(to, len(r.Points))] {
			fetches += p.Fetches
		}
		return float64(fetches) / float64(max(1, to-from))
	}
	before, peak := rate(atSecond-windowSeconds, atSecond), 0.0
	for from := atSecond; from+windowSeconds < len(r.Points); from++ {
		peak = max(peak, rate(from, from+windowSeconds))
	}
	if before == 0 {
		return 0
	}
	return peak / before
}

// PointsHeader is the header record of the CSV file of points.
var PointsHeader = []string{"experiment", "policy", "seed", "second", "in_time", "late", "refused", "failed", "deferrals",
	"fetches", "hits", "ready", "queued", "busy"}

// WritePoints writes the points as CSV records, without the header.
func (r *Result) WritePoints(out io.Writer) error {
	w := csv.NewWriter(out)
	for i, p := range r.Points {
		record := []string{r.Experiment, r.Policy, fmt.Sprint(r.Seed), strconv.Itoa(i)}
		for _, n := range []int{p.InTime, p.Late, p.Refused, p.Failed, p.Deferrals, p.Fetches, p.Hits, p.Ready, p.Queued} {
			record = append(record, strconv.Itoa(n))
		}
		if err := w.Write(append(record, strconv.FormatFloat(p.Busy, 'f', 4, 64))); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}
