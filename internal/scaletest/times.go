package scaletest

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// What a node's mark tells.
const (
	eventStart              = "s" // it starts
	eventListInForce        = "l" // a list is in force, of the version told
	eventConfigInForce      = "c" // its configuration was read anew
	eventLeaseAcquired      = "h" // the lease of its name is held
	eventLeaseRenewed       = "r" // and was renewed; the asking took so many nanoseconds
	eventLeaseRequestFailed = "f" // an asking for it came to nothing, or was refused
	eventLeaseLost          = "x" // it is lost
	eventQuotasReceived     = "p" // its parts are told, under the revision of the budget's terms
)

// Mark is one thing that happened at a node, by the machine's boot clock in nanoseconds.
type NodeEvent struct {
	Node       int    `json:"n"`
	Kind       string `json:"w"`
	BootTimeNs int64  `json:"a"`
	Value      int64  `json:"v,omitempty"`
}

// Change is something that is to come into force at all nodes.
type AppliedChange struct {
	BootTimeNs int64
	MinValue   int64 // what a mark has to tell at the least
}

// Times is how long changes took.
type Latencies struct {
	PerNode  *hdrhistogram.Histogram // microseconds, of each node and change
	LastNode *hdrhistogram.Histogram // of each change's last node
	Missing  int                     // at which one was not in force in time
}

const maxLatencyMicros = int64(5 * time.Minute / time.Microsecond)

func newLatencies() Latencies {
	return Latencies{hdrhistogram.New(1, maxLatencyMicros, 3), hdrhistogram.New(1, maxLatencyMicros, 3), 0}
}

// record takes a time in; whatever is out of the histogram's bounds counts as its ends.
func recordLatency(h *hdrhistogram.Histogram, ns int64) {
	_ = h.RecordValue(min(maxLatencyMicros, max(1, ns/int64(time.Microsecond))))
}

// byNode sorts marks.
func groupByNode(events []NodeEvent) map[int][]NodeEvent {
	grouped := map[int][]NodeEvent{}
	for _, event := range events {
		grouped[event.Node] = append(grouped[event.Node], event)
	}
	for _, nodeEvents := range grouped {
		slices.SortStableFunc(nodeEvents, func(a, b NodeEvent) int { return int(a.BootTimeNs - b.BootTimeNs) })
	}
	return grouped
}

const maxShutdownNs = int64(4 * time.Second) // before it starts a node may have been on its way out

// inForce measures from each change to the first mark of it at each of these nodes. A node that was down at that moment is left
// out: the time of a start is measured by itself.
func changeLatencies(changes []AppliedChange, eventsByNode map[int][]NodeEvent, nodes []int, kind string, timeout time.Duration) Latencies {
	latencies := newLatencies()
	for _, c := range changes {
		lastNs := int64(0)
		for _, n := range nodes {
			if wasDown(eventsByNode[n], c.BootTimeNs, kind) {
				continue
			}
			index := slices.IndexFunc(eventsByNode[n], func(event NodeEvent) bool {
				return event.Kind == kind && event.BootTimeNs >= c.BootTimeNs && event.Value >= c.MinValue
			})
			if index < 0 || eventsByNode[n][index].BootTimeNs-c.BootTimeNs > int64(timeout) {
				latencies.Missing++
				continue
			}
			latencyNs := eventsByNode[n][index].BootTimeNs - c.BootTimeNs
			recordLatency(latencies.PerNode, latencyNs)
			lastNs = max(lastNs, latencyNs)
		}
		if lastNs > 0 {
			recordLatency(latencies.LastNode, lastNs)
		}
	}
	return latencies
}

// wasDown says whether a node had not yet come, or was on its way out, at a time.
func wasDown(events []NodeEvent, timeNs int64, kind string) bool {
	for i, started := range events {
		if started.Kind != eventStart {
			continue
		}
		upOffset := slices.IndexFunc(events[i:], func(event NodeEvent) bool { return event.Kind == kind })
		if timeNs >= started.BootTimeNs-maxShutdownNs && (upOffset < 0 || timeNs <= events[i+upOffset].BootTimeNs) {
			return true
		}
	}
	return false
}

// sinceStart measures from each start after a time to the node's first mark of something.
func startLatencies(eventsByNode map[int][]NodeEvent, nodes []int, sinceNs int64, kind string, timeout time.Duration) Latencies {
	latencies := newLatencies()
	lastNs := int64(0)
	for _, n := range nodes {
		for i, started := range eventsByNode[n] {
			if started.Kind != eventStart || started.BootTimeNs < sinceNs {
				continue
			}
			offset := slices.IndexFunc(eventsByNode[n][i:], func(event NodeEvent) bool { return event.Kind == kind })
			if offset < 0 || eventsByNode[n][i+offset].BootTimeNs-started.BootTimeNs > int64(timeout) {
				latencies.Missing++
				continue
			}
			latencyNs := eventsByNode[n][i+offset].BootTimeNs - started.BootTimeNs
			recordLatency(latencies.PerNode, latencyNs)
			lastNs = max(lastNs, latencyNs)
		}
	}
	if lastNs > 0 {
		recordLatency(latencies.LastNode, lastNs)
	}
	return latencies
}

// renewed measures to the first renewal, or grant, whose asking was sent after a time.
func renewalLatencies(eventsByNode map[int][]NodeEvent, nodes []int, sinceNs int64, timeout time.Duration) Latencies {
	var renewals = map[int][]NodeEvent{}
	for _, n := range nodes {
		for _, event := range eventsByNode[n] {
			if (event.Kind == eventLeaseRenewed || event.Kind == eventLeaseAcquired) && event.BootTimeNs-event.Value >= sinceNs {
				renewals[n] = append(renewals[n], NodeEvent{n, eventLeaseRenewed, event.BootTimeNs, 0})
			}
		}
	}
	return changeLatencies([]AppliedChange{{BootTimeNs: sinceNs}}, renewals, nodes, eventLeaseRenewed, timeout)
}
