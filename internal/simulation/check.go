package simulation

import (
	"fmt"
	"math"

	"github.com/thistlerudder/thistlerudder/routing"
)

// checker holds a run against the rules, from what clients and servers see alone: it knows nothing of how a policy
// decides, so that a faulty one is caught.
type checker struct {
	w             *testbed
	offered, done int
	open          map[*pendingRequest]bool
	effects       map[*request]int
	broken        map[string]int
	faults        []string // the first few, in words
}

const faultsMost = 10

func newChecker(w *testbed) *checker {
	return &checker{w: w, open: map[*pendingRequest]bool{}, effects: map[*request]int{}, broken: map[string]int{}}
}

func (c *checker) fault(rule, format string, args ...any) {
	if c.broken[rule]++; len(c.faults) < faultsMost {
		at := float64(c.w.clock.now-origo) / float64(second)
		c.faults = append(c.faults, fmt.Sprintf("%.4f s, %s: %s", at, rule, fmt.Sprintf(format, args...)))
	}
}

func (c *checker) taken(l *pendingRequest) {
	c.open[l] = true
	c.w.clock.in(l.limit-c.w.clock.now+10*routing.Millisecond, func() {
		if !l.over {
			c.fault("lost", "no final answer 1 ms after its limit")
			l.over = true
			delete(c.open, l)
		}
	})
}

// shot is asked for each before it leaves.
func (c *checker) shot(n *node, l *pendingRequest, s *attempt) {
	switch {
	case l.over:
		c.fault("lost", "a shot after the final answer")
	case len(l.shots) >= c.w.e.Rules.Shots:
		c.fault("shots", "more than %d", c.w.e.Rules.Shots)
	}
	if since, drained := n.drained[s.server.box.Server]; drained && c.w.clock.now > since+c.w.e.Rules.Grace.ticks() {
		c.fault("drain", "node %d shoots at %s, told to spare it %.1f s ago", n.number, s.server.box.ID,
			float64(c.w.clock.now-since)/float64(second))
	}
}

// arrived counts shots at a cache that starts cold, from all nodes. It falls under more in a window than the settings allow
// it by then and 2 x root of that and 2, which are put down to chance.
func (c *checker) arrived(s *server) {
	if s.origin || s.box.State != routing.Ready || s.speed() == 1 {
		return
	}
	window := c.w.e.Rules.Window.ticks()
	s.arrivals = append(s.arrivals, c.w.clock.now)
	for s.arrivals[0] <= c.w.clock.now-window {
		s.arrivals = s.arrivals[1:]
	}
	allowed := c.w.e.Rules.Overload * s.speed() * s.capacity() * c.w.e.Rules.Window.Seconds()
	if bears := allowed + 2*math.Sqrt(allowed) + 2; float64(len(s.arrivals)) > bears {
		c.fault("cold", "%s gets %d shots in %v, bears %.1f", s.box.ID, len(s.arrivals), c.w.e.Rules.Window, bears)
		s.arrivals = s.arrivals[:0]
	}
}

// ran says that a server has done what a lookup asks.
func (c *checker) ran(l *pendingRequest) {
	if l.write {
		if c.effects[l.request]++; c.effects[l.request] > 1 {
			c.fault("twice", "a write has run %d times", c.effects[l.request])
		}
	}
}

func (c *checker) ended(l *pendingRequest, how outcome) {
	switch {
	case l.over || !c.open[l]:
		c.fault("lost", "a second final answer")
	case c.w.clock.now > l.limit+10*routing.Millisecond:
		c.fault("lost", "a final answer after the limit")
	}
	// A deferral promises that a write has not run: a shot that may have is one that was not proved otherwise.
	if how == deferred && l.write && c.effects[l.request] > 0 {
		c.fault("twice", "a write that has run is deferred")
	}
	delete(c.open, l)
}

// close looks whether all that came has ended, once.
func (c *checker) close() {
	if len(c.open) > 0 {
		c.fault("lost", "%d lookups are open at the end", len(c.open))
	}
	s := c.w.series
	if sum := s.sum(); sum.InTime+sum.Late+sum.Refused+sum.Failed != c.done || c.done != c.offered {
		c.fault("conservation", "%d requests came, %d ended: %+v", c.offered, c.done, sum)
	}
}
