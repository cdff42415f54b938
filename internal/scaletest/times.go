package scaletest

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// What a node's mark tells.
const (
	markStart  = "s" // it starts
	markList   = "l" // a list is in force, of the version told
	markFile   = "c" // its configuration was read anew
	markHeld   = "h" // the lease of its name is held
	markRenews = "r" // and was renewed; the asking took so many nanoseconds
	markFailed = "f" // an asking for it came to nothing, or was refused
	markLost   = "x" // it is lost
	markParts  = "p" // its parts are told, under the revision of the budget's terms
)

// Mark is one thing that happened at a node, by the machine's boot clock in nanoseconds.
type Mark struct {
	Node int    `json:"n"`
	What string `json:"w"`
	At   int64  `json:"a"`
	N    int64  `json:"v,omitempty"`
}

// Change is something that is to come into force at all nodes.
type Change struct {
	At int64
	N  int64 // what a mark has to tell at the least
}

// Times is how long changes took.
type Times struct {
	Each    *hdrhistogram.Histogram // microseconds, of each node and change
	Last    *hdrhistogram.Histogram // of each change's last node
	Missing int                     // at which one was not in force in time
}

const timesMost = int64(5 * time.Minute / time.Microsecond)

func newTimes() Times {
	return Times{hdrhistogram.New(1, timesMost, 3), hdrhistogram.New(1, timesMost, 3), 0}
}

// record takes a time in; whatever is out of the histogram's bounds counts as its ends.
func record(h *hdrhistogram.Histogram, ns int64) {
	_ = h.RecordValue(min(timesMost, max(1, ns/int64(time.Microsecond))))
}

// byNode sorts marks.
func byNode(marks []Mark) map[int][]Mark {
	all := map[int][]Mark{}
	for _, m := range marks {
		all[m.Node] = append(all[m.Node], m)
	}
	for _, ms := range all {
		slices.SortStableFunc(ms, func(a, b Mark) int { return int(a.At - b.At) })
	}
	return all
}

const downBefore = int64(4 * time.Second) // before it starts a node may have been on its way out

// inForce measures from each change to the first mark of it at each of these nodes. A node that was down at that moment is left
// out: the time of a start is measured by itself.
func inForce(changes []Change, of map[int][]Mark, nodes []int, what string, within time.Duration) Times {
	t := newTimes()
	for _, c := range changes {
		last := int64(0)
		for _, n := range nodes {
			if wasDown(of[n], c.At, what) {
				continue
			}
			at := slices.IndexFunc(of[n], func(m Mark) bool { return m.What == what && m.At >= c.At && m.N >= c.N })
			if at < 0 || of[n][at].At-c.At > int64(within) {
				t.Missing++
				continue
			}
			took := of[n][at].At - c.At
			record(t.Each, took)
			last = max(last, took)
		}
		if last > 0 {
			record(t.Last, last)
		}
	}
	return t
}

// wasDown says whether a node had not yet come, or was on its way out, at a time.
func wasDown(marks []Mark, at int64, what string) bool {
	for i, m := range marks {
		if m.What != markStart {
			continue
		}
		up := slices.IndexFunc(marks[i:], func(u Mark) bool { return u.What == what })
		if at >= m.At-downBefore && (up < 0 || at <= marks[i+up].At) {
			return true
		}
	}
	return false
}

// sinceStart measures from each start after a time to the node's first mark of something.
func sinceStart(of map[int][]Mark, nodes []int, from int64, what string, within time.Duration) Times {
	t := newTimes()
	last := int64(0)
	for _, n := range nodes {
		for i, m := range of[n] {
			if m.What != markStart || m.At < from {
				continue
			}
			at := slices.IndexFunc(of[n][i:], func(u Mark) bool { return u.What == what })
			if at < 0 || of[n][i+at].At-m.At > int64(within) {
				t.Missing++
				continue
			}
			took := of[n][i+at].At - m.At
			record(t.Each, took)
			last = max(last, took)
		}
	}
	if last > 0 {
		record(t.Last, last)
	}
	return t
}

// renewed measures to the first renewal, or grant, whose asking was sent after a time.
func renewed(of map[int][]Mark, nodes []int, from int64, within time.Duration) Times {
	var marks = map[int][]Mark{}
	for _, n := range nodes {
		for _, m := range of[n] {
			if (m.What == markRenews || m.What == markHeld) && m.At-m.N >= from {
				marks[n] = append(marks[n], Mark{n, markRenews, m.At, 0})
			}
		}
	}
	return inForce([]Change{{At: from}}, marks, nodes, markRenews, within)
}
