package scaletest

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kinds of node events.
const (
	eventStart              = "s" // the node starts
	eventListInForce        = "l" // an endpoint list is in force; Value is its version
	eventConfigInForce      = "c" // the configuration was reloaded
	eventLeaseAcquired      = "h" // the lease of the node's name was acquired; Value is the duration of the request in ns
	eventLeaseRenewed       = "r" // the lease was renewed; Value is the duration of the request in ns
	eventLeaseRequestFailed = "f" // a request for the lease failed or was rejected
	eventLeaseLost          = "x" // the lease was lost
	eventQuotasReceived     = "p" // quotas were received; Value is the revision of the budget's configuration
)

// NodeEvent is an event at a node, with its time by the machine's boot clock in nanoseconds.
type NodeEvent struct {
	Node       int    `json:"n"`
	Kind       string `json:"w"`
	BootTimeNs int64  `json:"a"`
	Value      int64  `json:"v,omitempty"`
}

// AppliedChange is a change that is expected to come into force at all nodes.
type AppliedChange struct {
	BootTimeNs int64
	MinValue   int64 // smallest Value of an event that shows the change in force
}

// Latencies holds how long changes took.
type Latencies struct {
	PerNode  *hdrhistogram.Histogram // microseconds, for each node and change
	LastNode *hdrhistogram.Histogram // microseconds, for each change at the last node
	Missing  int                     // pairs of node and change without an event in time
}

const maxLatencyMicros = int64(5 * time.Minute / time.Microsecond)

func newLatencies() Latencies {
	return Latencies{hdrhistogram.New(1, maxLatencyMicros, 3), hdrhistogram.New(1, maxLatencyMicros, 3), 0}
}

// recordLatency records a latency. A value outside the histogram's range counts as the nearest value in the range.
func recordLatency(h *hdrhistogram.Histogram, ns int64) {
	_ = h.RecordValue(min(maxLatencyMicros, max(1, ns/int64(time.Microsecond))))
}

// groupByNode returns the events of each node by time.
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

const maxShutdownNs = int64(4 * time.Second) // a restarted node may have been shutting down for this long before its start

// changeLatencies measures the time from each change to the first event at each of these nodes that shows the change in force. A
// node that was down at the time of the change is left out, as startLatencies measures starts.
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

// wasDown reports whether a node was starting or may have been shutting down at a time.
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

// startLatencies measures the time from each start since sinceNs to the node's first event of a kind.
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

// renewalLatencies measures the time from sinceNs to each node's first renewal or acquisition whose request was sent since then.
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
