package lease

import (
	"cmp"
	"maps"
	"slices"
)

const (
	minProbeInterval       = 250 * Millisecond  // between two probes of a server; it doubles with each probe
	maxProbeInterval       = 2000 * Millisecond // half of what a node alone waits: one probes for all
	probeResultTimeout     = 1000 * Millisecond // until a probe without a result is scheduled again
	ejectionReportInterval = 500 * Millisecond  // between two reports of a node, which also fetch results
	probeTargetExpiry      = 5000 * Millisecond // since the last report of a server, until it is dropped
	maxProbeTargets        = 4096               // further servers are probed by each node itself
)

// ProbeScheduler schedules the health checks of servers that nodes have ejected, and keeps the last result of each. It is
// part of the leader's memory: after a change of leader the nodes report again, and probe by themselves meanwhile. It is
// not safe for concurrent use.
type ProbeScheduler struct {
	targets     map[string]*probeTarget // by server id
	latestToken uint64                  // of the lease of the probe task
}

// probeTarget is a server to be probed.
type probeTarget struct {
	address      string
	lastReported Time // by any node
	nextEvent    Time // the next probe, or the timeout of the one in progress
	interval     Time
	probed       bool
	healthy      bool // result of the last probe
	inProgress   bool
}

// Probe is a health check to be made.
type Probe struct {
	ID      string `json:"ID"` // of the server
	Address string `json:"Address"`
}

// ProbeStatus is the result of a server's last probe.
type ProbeStatus struct {
	ID        string `json:"ID"`
	Healthy   bool   `json:"Well"`
	NextProbe Time   `json:"Next"` // from now until the result of the next probe will have been reported
}

// NewProbeScheduler returns a scheduler without targets.
func NewProbeScheduler() *ProbeScheduler {
	return &ProbeScheduler{targets: map[string]*probeTarget{}}
}

// ReportEjected records that a node has ejected a server, and returns the result of the server's last probe, if any.
func (s *ProbeScheduler) ReportEjected(now Time, id, address string) (status ProbeStatus, known bool) {
	target := s.targets[id]
	if target == nil {
		if len(s.targets) >= maxProbeTargets {
			return ProbeStatus{}, false
		}
		target = &probeTarget{nextEvent: now, interval: minProbeInterval}
		s.targets[id] = target
	}
	if target.address != address { // earlier results are those of another address
		*target = probeTarget{address: address, nextEvent: now, interval: minProbeInterval}
	}
	target.lastReported = now
	if !target.probed {
		return ProbeStatus{}, false
	}
	untilNext := max(0, target.nextEvent-now) + probeResultTimeout + 2*ejectionReportInterval
	return ProbeStatus{ID: id, Healthy: target.healthy, NextProbe: untilNext}, true
}

// DueProbes returns the probes to be made now by the holder of the probe task's lease. An earlier holder, with a lower
// token, gets none.
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

// ReportResult records the result of a probe. It ignores results of probes that aren't in progress, and of earlier holders.
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
