package simulation

import (
	"fmt"
	"math"

	"github.com/thistlerudder/thistlerudder/routing"
)

// checker holds a run against the rules, from what clients and servers see alone: it knows nothing of how a policy
// decides, so that a faulty one is caught.
type checker struct {
	tb                             *testbed
	offeredRequests, endedRequests int
	openRequests                   map[*pendingRequest]bool
	writeRuns                      map[*clientRequest]int
	violationCounts                map[string]int
	violations                     []string // the first few, in words
}

const maxViolations = 10

func newChecker(tb *testbed) *checker {
	return &checker{tb: tb, openRequests: map[*pendingRequest]bool{}, writeRuns: map[*clientRequest]int{}, violationCounts: map[string]int{}}
}

func (c *checker) recordViolation(rule, format string, args ...any) {
	if c.violationCounts[rule]++; len(c.violations) < maxViolations {
		elapsedSeconds := float64(c.tb.clock.now-startTime) / float64(second)
		c.violations = append(c.violations, fmt.Sprintf("%.4f s, %s: %s", elapsedSeconds, rule, fmt.Sprintf(format, args...)))
	}
}

func (c *checker) requestStarted(req *pendingRequest) {
	c.openRequests[req] = true
	c.tb.clock.schedule(req.deadline-c.tb.clock.now+10*routing.Millisecond, func() {
		if !req.ended {
			c.recordViolation("lost", "no final answer 1 ms after its limit")
			req.ended = true
			delete(c.openRequests, req)
		}
	})
}

// shot is asked for each before it leaves.
func (c *checker) attemptStarted(n *node, req *pendingRequest, a *attempt) {
	switch {
	case req.ended:
		c.recordViolation("lost", "a shot after the final answer")
	case len(req.attempts) >= c.tb.experiment.Rules.MaxAttempts:
		c.recordViolation("shots", "more than %d", c.tb.experiment.Rules.MaxAttempts)
	}
	if drainedSince, isDraining := n.drainedSince[a.server.endpoint.Server]; isDraining && c.tb.clock.now > drainedSince+c.tb.experiment.Rules.DrainGrace.ticks() {
		c.recordViolation("drain", "node %d shoots at %s, told to spare it %.1f s ago", n.index, a.server.endpoint.ID,
			float64(c.tb.clock.now-drainedSince)/float64(second))
	}
}

// arrived counts shots at a cache that starts cold, from all nodes. It falls under more in a window than the settings allow
// it by then and 2 x root of that and 2, which are put down to chance.
func (c *checker) attemptArrived(s *server) {
	if s.isOrigin || s.endpoint.State != routing.Ready || s.capacityShare() == 1 {
		return
	}
	window := c.tb.experiment.Rules.OverloadWindow.ticks()
	s.arrivalTimes = append(s.arrivalTimes, c.tb.clock.now)
	for s.arrivalTimes[0] <= c.tb.clock.now-window {
		s.arrivalTimes = s.arrivalTimes[1:]
	}
	expected := c.tb.experiment.Rules.OverloadFactor * s.capacityShare() * s.warmJobsPerSecond() * c.tb.experiment.Rules.OverloadWindow.Seconds()
	if bound := expected + 2*math.Sqrt(expected) + 2; float64(len(s.arrivalTimes)) > bound {
		c.recordViolation("cold", "%s gets %d shots in %v, bears %.1f", s.endpoint.ID, len(s.arrivalTimes), c.tb.experiment.Rules.OverloadWindow, bound)
		s.arrivalTimes = s.arrivalTimes[:0]
	}
}

// ran says that a server has done what a lookup asks.
func (c *checker) requestServed(req *pendingRequest) {
	if req.isWrite {
		if c.writeRuns[req.clientRequest]++; c.writeRuns[req.clientRequest] > 1 {
			c.recordViolation("twice", "a write has run %d times", c.writeRuns[req.clientRequest])
		}
	}
}

func (c *checker) requestEnded(req *pendingRequest, result outcome) {
	switch {
	case req.ended || !c.openRequests[req]:
		c.recordViolation("lost", "a second final answer")
	case c.tb.clock.now > req.deadline+10*routing.Millisecond:
		c.recordViolation("lost", "a final answer after the limit")
	}
	// A deferral promises that a write has not run: a shot that may have is one that was not proved otherwise.
	if result == outcomeRejected && req.isWrite && c.writeRuns[req.clientRequest] > 0 {
		c.recordViolation("twice", "a write that has run is deferred")
	}
	delete(c.openRequests, req)
}

// close looks whether all that came has ended, once.
func (c *checker) checkEnd() {
	if len(c.openRequests) > 0 {
		c.recordViolation("lost", "%d lookups are open at the end", len(c.openRequests))
	}
	series := c.tb.series
	if total := series.total(); total.InTime+total.Late+total.Refused+total.Failed != c.endedRequests || c.endedRequests != c.offeredRequests {
		c.recordViolation("conservation", "%d requests came, %d ended: %+v", c.offeredRequests, c.endedRequests, total)
	}
}
