package simulation

import (
	"maps"
	"slices"

	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

const (
	reportInterval = 500 * routing.Millisecond // between a node's reports of its ejections, as in real nodes
	pollInterval   = 50 * routing.Millisecond  // between checks for due probes and for the end of ejections
	probeTimeout   = 500 * routing.Millisecond // of a probe of a silent cache
)

// silenceStats describes how nodes treat caches that stop answering without leaving the endpoint list.
type silenceStats struct {
	SilentSeconds   float64      // seconds of silence, summed over the caches
	Attempts        int          // attempts of requests that reached a silent cache
	NodeProbes      int          // attempts that a node sent to a silent cache that it had ejected
	ClusterProbes   int          // probes on behalf of the whole cluster that were sent to a silent cache
	ReuseSeconds    []float64    // per cache and node that ejected it: seconds from the silence's end to the ejection's end
	leaderlessUntil routing.Time // state of the run, not a statistic: no leader schedules probes before this time
}

// ejector is a Policy that ejects failing servers and accepts the results of probes on behalf of the cluster.
type ejector interface {
	IsEjected(server int) bool
	ReportProbeResult(now routing.Time, server int, healthy bool, next routing.Time)
}

// Nodes check by a type assertion whether their policy is an ejector.
var _ ejector = (*routing.Balancer)(nil)

// silenceCaches makes caches ignore all attempts that arrive during a duration. Afterwards it records how long the nodes
// that have ejected them take to end their ejections.
func (tb *testbed) silenceCaches(caches []*server, duration routing.Time) {
	for _, s := range caches {
		s.isSilent = true
		unansweredBefore := s.unansweredAttempts
		tb.clock.schedule(duration, func() {
			s.isSilent = false
			tb.silenceStats.SilentSeconds += float64(duration) / float64(second)
			tb.silenceStats.Attempts += s.unansweredAttempts - unansweredBefore
			returnedAt := tb.clock.now
			var ejecting []*node
			for _, n := range tb.nodes {
				if ej, ok := n.policy.(ejector); ok && ej.IsEjected(s.endpoint.Server) {
					ejecting = append(ejecting, n)
				}
			}
			tb.pollUntil(func() bool {
				ejecting = slices.DeleteFunc(ejecting, func(n *node) bool {
					usesAgain := !n.policy.(ejector).IsEjected(s.endpoint.Server)
					if usesAgain {
						tb.silenceStats.ReuseSeconds = append(tb.silenceStats.ReuseSeconds, float64(tb.clock.now-returnedAt)/float64(second))
					}
					return usesAgain
				})
				return len(ejecting) == 0 || tb.clock.now >= startTime+tb.experiment.Length.ticks()
			})
		})
	}
}

// pollUntil calls done every pollInterval until done returns true.
func (tb *testbed) pollUntil(done func() bool) {
	tb.clock.schedule(pollInterval, func() {
		if !done() {
			tb.pollUntil(done)
		}
	})
}

// startProbes simulates probes on behalf of the whole cluster. Nodes report their ejections to the leader's
// lease.ProbeScheduler, each ejected cache is probed once for all nodes, and the nodes learn the result.
func (tb *testbed) startProbes() {
	scheduler := lease.NewProbeScheduler()
	oneWay := tb.experiment.Network.OneWayDelay.ticks()
	hasLeader := func() bool { // also discards the scheduler's state while there is no leader
		if tb.clock.now < tb.silenceStats.leaderlessUntil {
			scheduler = lease.NewProbeScheduler() // a new leader has no reports
			return false
		}
		return true
	}
	for i := range tb.nodes {
		var report func()
		report = func() {
			n := tb.nodes[i] // a restart replaces the node
			if ej, ok := n.policy.(ejector); ok && hasLeader() {
				for _, server := range slices.Sorted(maps.Keys(n.knownEndpoints)) {
					if n.knownEndpoints[server].State != routing.Ready || !ej.IsEjected(server) {
						continue
					}
					if status, known := scheduler.ReportEjected(lease.Time(tb.clock.now), n.knownEndpoints[server].ID, ""); known {
						tb.clock.schedule(2*oneWay, func() {
							ej.ReportProbeResult(tb.clock.now, server, status.Healthy, tb.clock.now+routing.Time(status.UntilNextResult))
						})
					}
				}
			}
			tb.clock.schedule(reportInterval, report)
		}
		// The first reports are spread over reportInterval.
		tb.clock.schedule(routing.Time(float64(reportInterval)*float64(i)/float64(len(tb.nodes))), report)
	}
	var runDueProbes func()
	runDueProbes = func() { // always with fencing token 1: the probe task has a single holder in the simulation
		if hasLeader() {
			for _, probe := range scheduler.DueProbes(lease.Time(tb.clock.now), 1) {
				index := slices.IndexFunc(tb.servers, func(s *server) bool { return s.endpoint.ID == probe.ID })
				s, current := tb.servers[index], scheduler
				if s.isSilent {
					tb.silenceStats.ClusterProbes++
					tb.clock.schedule(probeTimeout, func() { current.ReportResult(lease.Time(tb.clock.now), 1, probe.ID, false) })
				} else {
					tb.clock.schedule(2*oneWay, func() { current.ReportResult(lease.Time(tb.clock.now), 1, probe.ID, s.endpoint.State == routing.Ready) })
				}
			}
		}
		tb.clock.schedule(pollInterval, runDueProbes)
	}
	runDueProbes()
}
