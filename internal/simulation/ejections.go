package simulation

import (
	"maps"
	"slices"

	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

const (
	tellEvery = 500 * routing.Millisecond // as the nodes on sockets do
	dueEvery  = 50 * routing.Millisecond
	trialIn   = 500 * routing.Millisecond
)

// silenceStats is what was seen of caches that fell silent.
type silenceStats struct {
	Silent float64      // seconds of silence, all caches together
	Shots  int          // lookups' shots that silent caches got,
	Own    int          // those of them with which a node tried a cache that rested there,
	Trials int          // and the fleet's trials
	Back   []float64    // seconds from a cache's return until each node that rested it used it again
	unled  routing.Time // until when the fleet is silent
}

// ejector is a policy that ejects servers, and hears of others' probes.
type ejector interface {
	IsEjected(server int) bool
	ReportProbeResult(now routing.Time, server int, healthy bool, next routing.Time)
}

// The nodes find out at run time whether their policy is one.
var _ ejector = (*routing.Balancer)(nil)

// silence lets caches hear nothing for a while, and looks when the nodes use them again.
func (w *testbed) silence(some []*server, span routing.Time) {
	for _, s := range some {
		s.silent = true
		before := s.unheard
		w.clock.in(span, func() {
			s.silent = false
			w.sick.Silent += float64(span) / float64(second)
			w.sick.Shots += s.unheard - before
			back := w.clock.now
			var rest []*node
			for _, n := range w.nodes {
				if r, is := n.policy.(ejector); is && r.IsEjected(s.box.Server) {
					rest = append(rest, n)
				}
			}
			w.until(func() bool {
				rest = slices.DeleteFunc(rest, func(n *node) bool {
					used := !n.policy.(ejector).IsEjected(s.box.Server)
					if used {
						w.sick.Back = append(w.sick.Back, float64(w.clock.now-back)/float64(second))
					}
					return used
				})
				return len(rest) == 0 || w.clock.now >= origo+w.e.Length.ticks()
			})
		})
	}
}

// until looks again and again.
func (w *testbed) until(done func() bool) {
	w.clock.in(dueEvery, func() {
		if !done() {
			w.until(done)
		}
	})
}

// probe lets one node try resting caches for all, by the board that a fleet's leader keeps.
func (w *testbed) probe() {
	board := lease.NewProbeScheduler()
	way := w.e.Network.OneWay.ticks()
	led := func() bool {
		if w.clock.now < w.sick.unled {
			board = lease.NewProbeScheduler() // the next leader begins with nothing
			return false
		}
		return true
	}
	for i := range w.nodes {
		var tell func()
		tell = func() {
			n := w.nodes[i] // another after a restart
			if r, is := n.policy.(ejector); is && led() {
				for _, server := range slices.Sorted(maps.Keys(n.known)) {
					if n.known[server].State != routing.Ready || !r.IsEjected(server) {
						continue
					}
					if news, known := board.ReportEjected(lease.Time(w.clock.now), n.known[server].ID, ""); known {
						w.clock.in(2*way, func() {
							r.ReportProbeResult(w.clock.now, server, news.Healthy, w.clock.now+routing.Time(news.UntilNextResult))
						})
					}
				}
			}
			w.clock.in(tellEvery, tell)
		}
		w.clock.in(routing.Time(float64(tellEvery)*float64(i)/float64(len(w.nodes))), tell)
	}
	var try func()
	try = func() {
		if led() {
			for _, t := range board.DueProbes(lease.Time(w.clock.now), 1) {
				at := slices.IndexFunc(w.servers, func(s *server) bool { return s.box.ID == t.ID })
				s, on := w.servers[at], board
				if s.silent {
					w.sick.Trials++
					w.clock.in(trialIn, func() { on.ReportResult(lease.Time(w.clock.now), 1, t.ID, false) })
				} else {
					w.clock.in(2*way, func() { on.ReportResult(lease.Time(w.clock.now), 1, t.ID, s.box.State == routing.Ready) })
				}
			}
		}
		w.clock.in(dueEvery, try)
	}
	try()
}
