//go:build faults

package scaletest

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// usageByProcess returns what each process has used since its start.
func (r *run) usageByProcess() (map[*process]processUsage, error) {
	usages := map[*process]processUsage{}
	var mu sync.Mutex
	return usages, inParallel(r.processes(), func(p *process) error {
		u, err := p.usage()
		mu.Lock()
		defer mu.Unlock()
		usages[p] = u
		return err
	})
}

// startMeasurement discards all events recorded before it, and returns what each process has used since its start.
func (r *run) startMeasurement() (map[*process]processUsage, error) {
	if err := r.fetchNodeEvents(); err != nil {
		return nil, err
	}
	r.nodeEvents = nil
	return r.usageByProcess()
}

// reportUsage reports, for each role, the CPU time, messages and bytes that its processes used per second between two measurements, and
// their memory and descriptors at the second one. leader is the index of the leader among the voters, or -1 if it is unknown.
func (r *run) reportUsage(phase string, before, after map[*process]processUsage, leader int) {
	// reportRole reports each metric's sum over the processes, divided by divisor. baseHeapBytes is subtracted from each live heap.
	reportRole := func(role string, processes []*process, divisor float64, baseHeapBytes uint64) {
		sums := map[string]float64{}
		byteRatesByPurpose := map[string]float64{}
		for _, p := range processes {
			first, last := before[p], after[p]
			seconds := float64(last.measuredNs-first.measuredNs) / float64(time.Second)
			// The difference excludes the garbage collections of the two measurements: each runs between its CPUBefore and CPUAfter.
			sums["share of a core %"] += 100 * float64(last.CPUBefore-first.CPUAfter) / float64(time.Second) / seconds
			for purpose, traffic := range last.Traffic {
				earlier := first.Traffic[purpose]
				sums["messages sent /s"] += float64(traffic.Writes-earlier.Writes) / seconds
				sums["messages received /s"] += float64(traffic.Reads-earlier.Reads) / seconds
				sums["bytes sent /s"] += float64(traffic.Sent-earlier.Sent) / seconds
				sums["bytes received /s"] += float64(traffic.Received-earlier.Received) / seconds
				byteRatesByPurpose["bytes both ways /s: "+purpose] += float64(traffic.Sent-earlier.Sent+traffic.Received-earlier.Received) / seconds
			}
			sums["resident MB"] += float64(last.residentBytes) / (1 << 20)
			sums["live heap KB"] += (float64(last.Heap) - float64(baseHeapBytes)) / 1024
			sums["descriptors"] += float64(last.descriptors)
			if last.calls != (CallCounts{}) { // only the discovery service counts calls
				sums["whole lists /s"] += float64(last.calls.FullLists-first.calls.FullLists) / seconds
				sums["lists of changes /s"] += float64(last.calls.Changes-first.calls.Changes) / seconds
			}
		}
		text := fmt.Sprintf("%s: %s:", phase, role)
		for _, metric := range slices.Concat(metricOrder, sortedKeys(byteRatesByPurpose)) {
			value, reported := sums[metric]
			if byteRate, isPurpose := byteRatesByPurpose[metric]; isPurpose {
				value, reported = byteRate, true
			}
			if reported {
				r.addMeasurement(phase, role, metric, value/divisor)
				text += fmt.Sprintf(" %s %.4g,", metric, value/divisor)
			}
		}
		r.addLine("%s", text[:len(text)-1])
	}
	reportRole("node", r.hosts, float64(r.HollowNodes), r.baseHeapBytes)
	// This role reports the total of all hollow nodes and their processes. In a line fitted to it over the number of nodes, the slope is
	// the cost of a node, and the intercept is the cost of the processes without nodes.
	reportRole("all nodes", r.hosts, 1, r.baseHeapBytes)
	if r.RealNodes > 0 {
		reportRole("real node", r.realNodes, float64(r.RealNodes), r.baseHeapBytes)
	}
	if leader >= 0 {
		reportRole("leader", r.voters[leader:leader+1], 1, r.baseHeapBytes)
		var otherVoters []*process
		for i, p := range r.voters {
			if i != leader && p.isRunning() {
				otherVoters = append(otherVoters, p)
			}
		}
		reportRole("other voter", otherVoters, float64(len(otherVoters)), r.baseHeapBytes)
	}
	reportRole("discovery", []*process{r.discovery}, 1, 0)
}

// metricOrder lists the metrics in the order in which reportUsage reports them. The bytes by purpose follow.
var metricOrder = []string{"share of a core %", "messages sent /s", "messages received /s", "bytes sent /s", "bytes received /s", "resident MB",
	"live heap KB", "descriptors", "whole lists /s", "lists of changes /s"}

// reportLeaderAndDiscoveryUsage reports the CPU time and sent bytes of the leader and of the discovery service since the measurement
// before. It omits a process that is excluded or was not measured before. leader is the index of the leader among the voters, or -1 if
// it is unknown.
func (r *run) reportLeaderAndDiscoveryUsage(scenario string, before map[*process]processUsage, leader int, excluded []*process) error {
	after := map[*process]processUsage{}
	for _, p := range r.processes() {
		if _, measuredBefore := before[p]; !measuredBefore || slices.Contains(excluded, p) {
			continue
		}
		usage, err := p.usage()
		if err != nil {
			return err
		}
		after[p] = usage
	}
	reportRole := func(name string, p *process) {
		first, last := before[p], after[p]
		if first.measuredNs == 0 || last.measuredNs == 0 {
			return // not measured before or after the scenario
		}
		seconds := float64(last.measuredNs-first.measuredNs) / float64(time.Second)
		cpuPercent := 100 * float64(last.CPUBefore-first.CPUAfter) / float64(time.Second) / seconds
		sentBytesPerSecond := 0.0
		for purpose, traffic := range last.Traffic {
			sentBytesPerSecond += float64(traffic.Sent-first.Traffic[purpose].Sent) / seconds
		}
		r.addMeasurement(scenario, name, "share of a core %", cpuPercent)
		r.addMeasurement(scenario, name, "bytes sent /s", sentBytesPerSecond)
		r.addLine("%s: %s: %.3g%% of a core and %.4g bytes sent a second over %.1f s", scenario, name, cpuPercent, sentBytesPerSecond, seconds)
	}
	if leader >= 0 {
		reportRole("leader", r.voters[leader])
	}
	reportRole("discovery", r.discovery)
	if first, last := before[r.discovery].calls, after[r.discovery].calls; first != last {
		r.addLine("%s: discovery gave %d whole lists and %d of changes", scenario, last.FullLists-first.FullLists, last.Changes-first.Changes)
	}
	return nil
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
