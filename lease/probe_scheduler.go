package lease

import (
	"cmp"
	"maps"
	"slices"
)

const (
	minProbeInterval       = 250 * Millisecond  // between probes of a server; doubles with each probe, resets when the result changes
	maxProbeInterval       = 2000 * Millisecond // half of the interval of a node that probes by itself, because one probe serves all nodes
	probeResultTimeout     = 1000 * Millisecond // after this time a probe without a result is made again
	ejectionReportInterval = 500 * Millisecond  // between two reports of a node, which also fetch the results
	probeTargetExpiry      = 5000 * Millisecond // a server is dropped this long after the last report of it
	maxProbeTargets        = 4096               // each node probes by itself the servers beyond this number
)

// ProbeScheduler schedules health checks of the servers that nodes have ejected, and keeps the last result of each server. It
// is not replicated: after a change of leader the nodes report their ejections again, and probe by themselves until then. A
// ProbeScheduler is not safe for concurrent use.
type ProbeScheduler struct {
	targets     map[string]*probeTarget // by server id
	latestToken uint64                  // highest fencing token seen of the probe task's lease
}

// probeTarget is a server to probe.
type probeTarget struct {
	address      string
	lastReported Time // last report by any node
	nextEvent    Time // time of the next probe, or timeout of the probe in progress
	interval     Time // between the next result and the probe after it
	probed       bool
	healthy      bool // result of the last probe
	inProgress   bool
}

// Probe is a health check to make.
type Probe struct {
	ID      string `json:"ID"` // server id
	Address string `json:"Address"`
}

// ProbeStatus is the result of a server's last probe.
type ProbeStatus struct {
	ID              string `json:"ID"`
	Healthy         bool   `json:"Well"`
	UntilNextResult Time   `json:"Next"` // time from now by which nodes will have fetched the next result
}

// NewProbeScheduler returns a ProbeScheduler without targets.
func NewProbeScheduler() *ProbeScheduler {
	return &ProbeScheduler{targets: map[string]*probeTarget{}}
}

// ReportEjected records that a node has ejected a server. It returns the result of the server's last probe; known is false if
// there is none.
func (s *ProbeScheduler) ReportEjected(now Time, id, address string) (status ProbeStatus, known bool) {
	target := s.targets[id]
	if target == nil {
		if len(s.targets) >= maxProbeTargets {
			return ProbeStatus{}, false
		}
		target = &probeTarget{nextEvent: now, interval: minProbeInterval}
		s.targets[id] = target
	}
	if target.address != address { // discard the results for the previous address
		*target = probeTarget{address: address, nextEvent: now, interval: minProbeInterval}
	}
	target.lastReported = now
	if !target.probed {
		return ProbeStatus{}, false
	}
	untilNext := max(0, target.nextEvent-now) + probeResultTimeout + 2*ejectionReportInterval
	return ProbeStatus{ID: id, Healthy: target.healthy, UntilNextResult: untilNext}, true
}

// DueProbes returns the probes that the holder of the probe task's lease has to make now, and drops servers that are no
// longer reported. An earlier holder, whose token is lower, gets no probes.
func (s *ProbeScheduler) DueProbes(now Time, token uint64) (due []Probe) {
	if token < s.latestToken {
		return nil
	}
	s.latestToken = token
	for _, id := range slices.SortedFunc(maps.Keys(s.targets), cmp.Compare[string]) {
		target := s.targets[id]
		switch {
		case now-target.lastReported > probeTargetExpiry:
			delete(s.targets, id)
		case now >= target.nextEvent:
			target.inProgress = true
			target.nextEvent = now + probeResultTimeout
			due = append(due, Probe{ID: id, Address: target.address})
		}
	}
	return due
}

// ReportResult records the result of a probe. It ignores results from earlier holders and of probes that are not in progress.
func (s *ProbeScheduler) ReportResult(now Time, token uint64, id string, healthy bool) {
	target := s.targets[id]
	if target == nil || token < s.latestToken || !target.inProgress {
		return
	}
	if target.probed && target.healthy != healthy {
		target.interval = minProbeInterval
	}
	target.probed = true
	target.healthy = healthy
	target.inProgress = false
	target.nextEvent = now + target.interval
	target.interval = min(2*target.interval, maxProbeInterval)
}
