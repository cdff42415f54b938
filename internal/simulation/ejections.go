package simulation

import (
	"maps"
	"slices"

	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

const (
	reportInterval = 500 * routing.Millisecond // as the nodes on sockets do
	pollInterval   = 50 * routing.Millisecond
	probeTimeout   = 500 * routing.Millisecond
)

// silenceStats is what was seen of caches that fell silent.
type silenceStats struct {
	Silent          float64      // seconds of silence, all caches together
	Attempts        int          // lookups' shots that silent caches got,
	NodeProbes      int          // those of them with which a node tried a cache that rested there,
	ClusterProbes   int          // and the fleet's trials
	ReuseSeconds    []float64    // seconds from a cache's return until each node that rested it used it again
	leaderlessUntil routing.Time // until when the fleet is silent
}

// ejector is a policy that ejects servers, and hears of others' probes.
type ejector interface {
	IsEjected(server int) bool
	ProbeResult(now routing.Time, server int, healthy bool, next routing.Time)
}

// The nodes find out at run time whether their policy is one.
var _ ejector = (*routing.Balancer)(nil)

// silence lets caches hear nothing for a while, and looks when the nodes use them again.
func (tb *testbed) silenceCaches(caches []*server, duration routing.Time) {
	for _, s := range caches {
		s.isSilent = true
		unansweredBefore := s.unansweredAttempts
		tb.clock.schedule(duration, func() {
			s.isSilent = false
			tb.silenceStats.Silent += float64(duration) / float64(second)
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

// until looks again and again.
func (tb *testbed) pollUntil(done func() bool) {
	tb.clock.schedule(pollInterval, func() {
		if !done() {
			tb.pollUntil(done)
		}
	})
}

// probe lets one node try resting caches for all, by the board that a fleet's leader keeps.
func (tb *testbed) startProbes() {
	scheduler := lease.NewProbeScheduler()
	oneWay := tb.experiment.Network.OneWayDelay.ticks()
	hasLeader := func() bool {
		if tb.clock.now < tb.silenceStats.leaderlessUntil {
			scheduler = lease.NewProbeScheduler() // the next leader begins with nothing
			return false
		}
		return true
	}
	for i := range tb.nodes {
		var report func()
		report = func() {
			n := tb.nodes[i] // another after a restart
			if ej, ok := n.policy.(ejector); ok && hasLeader() {
				for _, server := range slices.Sorted(maps.Keys(n.knownEndpoints)) {
					if n.knownEndpoints[server].State != routing.Ready || !ej.IsEjected(server) {
						continue
					}
					if status, known := scheduler.ReportEjected(lease.Time(tb.clock.now), n.knownEndpoints[server].ID, ""); known {
						tb.clock.schedule(2*oneWay, func() {
							ej.ProbeResult(tb.clock.now, server, status.Healthy, tb.clock.now+routing.Time(status.NextProbe))
						})
					}
				}
			}
			tb.clock.schedule(reportInterval, report)
		}
		tb.clock.schedule(routing.Time(float64(reportInterval)*float64(i)/float64(len(tb.nodes))), report)
	}
	var runDueProbes func()
	runDueProbes = func() {
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
