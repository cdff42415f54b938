package simulation

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Point is what happened in one second. Requests count when they end.
type Point struct {
	InTime, Late, Refused, Failed int // requests, by how they ended
	Deferrals                     int // lookups whose clients came back
	Fetches, Hits                 int // values that the origin gave, and caches
	Ready                         int // caches at the second's end,
	Queued                        int // and what waits at all servers
	Busy                          float64
}

// Series is a run's result.
type Series struct {
	Experiment, Policy string
	Seed               uint64
	Points             []Point
	Offered            int
	Broken             map[string]int // rules, and how often
	Faults             []string
	Sick               silenceStats
	Use                *BudgetUsage // of a budget; nil: there is none
	Busiest            float64      // shots at the busiest cache that was there all the time, over the mean of those

	latencies     *hdrhistogram.Histogram // of resolved requests, in ticks
	busySlotTicks float64
}

func newSeries(e *Experiment, policy string, seed uint64) *Series {
	maxTicks := int64(e.Demand.TimeLimit.ticks()) * int64(2*e.Demand.MaxTries+2)
	return &Series{Experiment: e.Name, Policy: policy, Seed: seed, Points: make([]Point, 1),
		latencies: hdrhistogram.New(1, max(2, maxTicks), 3)}
}

func (s *Series) current() *Point { return &s.Points[len(s.Points)-1] }

func (s *Series) recordLatency(latency routing.Time) {
	_ = s.latencies.RecordValue(min(max(1, int64(latency)), s.latencies.HighestTrackableValue())) // within its range
}

func (s *Series) closePoint(tb *testbed) {
	point, slotTicks, slots := s.current(), 0.0, 0
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
	point.Busy = (slotTicks - s.busySlotTicks) / float64(second) / float64(slots)
	s.busySlotTicks = slotTicks
	s.Points = append(s.Points, Point{})
}

func (s *Series) total() (total Point) {
	for _, p := range s.Points {
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

// Fetches is how many values the origin gave in a second, on average.
func (s *Series) Fetches() float64 {
	return float64(s.total().Fetches) / float64(max(1, len(s.Points)-1))
}

// AtSilent is what each silent cache got in a second, shots and trials (nodes' own and the fleet's), and the longest and
// the mean time from its return until a node that rested it used it again.
func (s *Series) AtSilent() (attempts, probes, longest, mean float64) {
	for _, seconds := range s.Sick.ReuseSeconds {
		longest, mean = max(longest, seconds), mean+seconds/float64(len(s.Sick.ReuseSeconds))
	}
	silentSeconds := max(1, s.Sick.Silent)
	return float64(s.Sick.Attempts) / silentSeconds, float64(s.Sick.NodeProbes+s.Sick.ClusterProbes) / silentSeconds, longest, mean
}

// Share is the part of all requests that were answered in time.
func (s *Series) Share() float64 {
	return float64(s.total().InTime) / float64(max(1, s.Offered))
}

// Worst is the lowest share in time over any ten seconds.
func (s *Series) Worst() float64 {
	const windowSeconds = 10
	lowest := 1.0
	for i := 0; i+windowSeconds <= len(s.Points); i++ {
		inTime, total := 0, 0
		for _, p := range s.Points[i : i+windowSeconds] {
			inTime, total = inTime+p.InTime, total+p.InTime+p.Late+p.Refused+p.Failed
		}
		if total > 0 {
			lowest = min(lowest, float64(inTime)/float64(total))
		}
	}
	return lowest
}

// Millis gives a quantile of the resolved requests' times, from their first lookup on.
func (s *Series) Millis(percent float64) float64 {
	return float64(s.latencies.ValueAtPercentile(percent)) / float64(routing.Millisecond)
}

// FetchRatio is how much the origin gave in the busiest so many seconds after a time, beside what it gave on average in
// as many before it.
func (s *Series) FetchRatio(atSecond, windowSeconds int) float64 {
	rate := func(from, to int) float64 {
		fetches := 0
		for _, p := range s.Points[max(0, from):min(to, len(s.Points))] {
			fetches += p.Fetches
		}
		return float64(fetches) / float64(max(1, to-from))
	}
	before, peak := rate(atSecond-windowSeconds, atSecond), 0.0
	for from := atSecond; from+windowSeconds < len(s.Points); from++ {
		peak = max(peak, rate(from, from+windowSeconds))
	}
	if before == 0 {
		return 0
	}
	return peak / before
}

// Header is the first line of a table of points.
var Header = []string{"experiment", "policy", "seed", "second", "in_time", "late", "refused", "failed", "deferrals",
	"fetches", "hits", "ready", "queued", "busy"}

// Write writes the points as lines of comma-separated values.
func (s *Series) Write(out io.Writer) error {
	w := csv.NewWriter(out)
	for i, p := range s.Points {
		record := []string{s.Experiment, s.Policy, fmt.Sprint(s.Seed), strconv.Itoa(i)}
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
