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
	Use                *Use    // of a budget; nil: there is none
	Busiest            float64 // shots at the busiest cache that was there all the time, over the mean of those

	times  *hdrhistogram.Histogram // of resolved requests, in ticks
	worked float64
}

func newSeries(e *Experiment, policy string, seed uint64) *Series {
	longest := int64(e.Demand.Limit.ticks()) * int64(2*e.Demand.Tries+2)
	return &Series{Experiment: e.Name, Policy: policy, Seed: seed, Points: make([]Point, 1),
		times: hdrhistogram.New(1, max(2, longest), 3)}
}

func (s *Series) now() *Point { return &s.Points[len(s.Points)-1] }

func (s *Series) took(t routing.Time) {
	_ = s.times.RecordValue(min(max(1, int64(t)), s.times.HighestTrackableValue())) // within its range
}

func (s *Series) next(w *testbed) {
	at, worked, slots := s.now(), 0.0, 0
	for _, v := range w.servers {
		worked += v.worked
		if v.box.State == routing.Gone {
			continue
		}
		if !v.origin && v.box.State == routing.Ready {
			at.Ready++
		}
		slots += v.of.Slots
		at.Queued += len(v.waiting)
	}
	at.Busy = (worked - s.worked) / float64(second) / float64(slots)
	s.worked = worked
	s.Points = append(s.Points, Point{})
}

func (s *Series) sum() (sum Point) {
	for _, p := range s.Points {
		sum.InTime += p.InTime
		sum.Late += p.Late
		sum.Refused += p.Refused
		sum.Failed += p.Failed
		sum.Deferrals += p.Deferrals
		sum.Fetches += p.Fetches
		sum.Hits += p.Hits
	}
	return sum
}

// Fetches is how many values the origin gave in a second, on average.
func (s *Series) Fetches() float64 {
	return float64(s.sum().Fetches) / float64(max(1, len(s.Points)-1))
}

// AtSilent is what each silent cache got in a second, shots and trials (nodes' own and the fleet's), and the longest and
// the mean time from its return until a node that rested it used it again.
func (s *Series) AtSilent() (shots, trials, longest, mean float64) {
	for _, t := range s.Sick.Back {
		longest, mean = max(longest, t), mean+t/float64(len(s.Sick.Back))
	}
	per := max(1, s.Sick.Silent)
	return float64(s.Sick.Shots) / per, float64(s.Sick.Own+s.Sick.Trials) / per, longest, mean
}

// Share is the part of all requests that were answered in time.
func (s *Series) Share() float64 {
	return float64(s.sum().InTime) / float64(max(1, s.Offered))
}

// Worst is the lowest share in time over any ten seconds.
func (s *Series) Worst() float64 {
	const span = 10
	worst := 1.0
	for i := 0; i+span <= len(s.Points); i++ {
		in, all := 0, 0
		for _, p := range s.Points[i : i+span] {
			in, all = in+p.InTime, all+p.InTime+p.Late+p.Refused+p.Failed
		}
		if all > 0 {
			worst = min(worst, float64(in)/float64(all))
		}
	}
	return worst
}

// Millis gives a quantile of the resolved requests' times, from their first lookup on.
func (s *Series) Millis(percent float64) float64 {
	return float64(s.times.ValueAtPercentile(percent)) / float64(routing.Millisecond)
}

// FetchRatio is how much the origin gave in the busiest so many seconds after a time, beside what it gave on average in
// as many before it.
func (s *Series) FetchRatio(at, span int) float64 {
	rate := func(from, to int) float64 {
		n := 0
		for _, p := range s.Points[max(0, from):min(to, len(s.Points))] {
			n += p.Fetches
		}
		return float64(n) / float64(max(1, to-from))
	}
	before, most := rate(at-span, at), 0.0
	for from := at; from+span < len(s.Points); from++ {
		most = max(most, rate(from, from+span))
	}
	if before == 0 {
		return 0
	}
	return most / before
}

// Header is the first line of a table of points.
var Header = []string{"experiment", "policy", "seed", "second", "in_time", "late", "refused", "failed", "deferrals",
	"fetches", "hits", "ready", "queued", "busy"}

// Write writes the points as lines of comma-separated values.
func (s *Series) Write(to io.Writer) error {
	w := csv.NewWriter(to)
	for i, p := range s.Points {
		line := []string{s.Experiment, s.Policy, fmt.Sprint(s.Seed), strconv.Itoa(i)}
		for _, n := range []int{p.InTime, p.Late, p.Refused, p.Failed, p.Deferrals, p.Fetches, p.Hits, p.Ready, p.Queued} {
			line = append(line, strconv.Itoa(n))
		}
		if err := w.Write(append(line, strconv.FormatFloat(p.Busy, 'f', 4, 64))); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}
