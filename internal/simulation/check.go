package simulation

import (
	"fmt"
	"math"

	"github.com/thistlerudder/thistlerudder/routing"
)

// checker verifies that a run keeps the rules. It uses only what clients, nodes and servers observe, not the state of the
// policies, and shares no code with the policies, so that it detects a faulty policy.
type checker struct {
	tb                             *testbed
	offeredRequests, endedRequests int                      // requests of clients, without their retries
	openRequests                   map[*pendingRequest]bool // tries without a final answer
	writeRuns                      map[*clientRequest]int   // number of times that servers have executed each write
	violationCounts                map[string]int           // by name of the rule
	violations                     []string                 // messages of the first maxViolations violations
}

// maxViolations limits the violations that are kept with a message; all are counted.
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

// requestStarted adds an open request. If it has no final answer 10 ms after its deadline, the checker records a violation
// and treats the request as ended.
func (c *checker) requestStarted(req *pendingRequest) {
	c.openRequests[req] = true
	c.tb.clock.schedule(req.deadline-c.tb.clock.now+10*routing.Millisecond, func() {
		if !req.ended {
			c.recordViolation("lost", "no final answer 10 ms after the deadline")
			req.ended = true
			delete(c.openRequests, req)
		}
	})
}

// attemptStarted checks an attempt before it is sent and before it is added to the request.
func (c *checker) attemptStarted(n *node, req *pendingRequest, a *attempt) {
	switch {
	case req.ended:
		c.recordViolation("lost", "attempt sent after the final answer")
	case len(req.attempts) >= c.tb.experiment.Rules.MaxAttempts:
		c.recordViolation("shots", "more than %d attempts", c.tb.experiment.Rules.MaxAttempts)
	}
	if since, notReady := n.notReadySince[a.server.endpoint.Server]; notReady &&
		c.tb.clock.now > since+c.tb.experiment.Rules.DrainGrace.ticks() {
		c.recordViolation("drain", "node %d sends an attempt to %s, which the endpoint list has shown as not ready for %.1f s",
			n.index, a.server.endpoint.ID,
			float64(c.tb.clock.now-since)/float64(second))
	}
}

// attemptArrived checks the number of attempts from all nodes together that arrive at a cache in slow start within
// OverloadWindow. The expected number of a window is the overload factor times what the cache can serve at its current
// capacity. The bound adds 2*sqrt(expected) + 2 for random variation.
func (c *checker) attemptArrived(s *server) {
	if s.isOrigin || s.endpoint.State != routing.Ready || s.capacityShare() == 1 {
		return
	}
	window := c.tb.experiment.Rules.OverloadWindow.ticks()
	s.arrivalTimes = append(s.arrivalTimes, c.tb.clock.now)
	for s.arrivalTimes[0] <= c.tb.clock.now-window {
		s.arrivalTimes = s.arrivalTimes[1:]
	}
	expected := c.tb.experiment.Rules.OverloadFactor * s.capacityShare() * s.warmJobsPerSecond() *
		c.tb.experiment.Rules.OverloadWindow.Seconds()
	if bound := expected + 2*math.Sqrt(expected) + 2; float64(len(s.arrivalTimes)) > bound {
		c.recordViolation("cold", "%s received %d attempts in %v, more than %.1f", s.endpoint.ID, len(s.arrivalTimes),
			c.tb.experiment.Rules.OverloadWindow, bound)
		s.arrivalTimes = s.arrivalTimes[:0]
	}
}

// requestServed is called when a server has executed a request. It checks that a write is executed once at most.
func (c *checker) requestServed(req *pendingRequest) {
	if req.isWrite {
		if c.writeRuns[req.clientRequest]++; c.writeRuns[req.clientRequest] > 1 {
			c.recordViolation("twice", "a write was executed %d times", c.writeRuns[req.clientRequest])
		}
	}
}

// requestEnded checks a final answer.
func (c *checker) requestEnded(req *pendingRequest, result outcome) {
	switch {
	case req.ended || !c.openRequests[req]:
		c.recordViolation("lost", "second final answer")
	case c.tb.clock.now > req.deadline+10*routing.Millisecond:
		c.recordViolation("lost", "final answer more than 10 ms after the deadline")
	}
	// A rejection tells the client that the write was not executed. A policy must therefore not reject a write if one of
	// its attempts may have been executed.
	if result == outcomeRejected && req.isWrite && c.writeRuns[req.clientRequest] > 0 {
		c.recordViolation("twice", "a write was rejected as safe to retry but had been executed")
	}
	delete(c.openRequests, req)
}

// checkEnd checks at the end of a run that every request has ended exactly once.
func (c *checker) checkEnd() {
	if len(c.openRequests) > 0 {
		c.recordViolation("lost", "%d requests have no final answer at the end", len(c.openRequests))
	}
	result := c.tb.result
	if total := result.total(); total.InTime+total.Late+total.Refused+total.Failed != c.endedRequests || c.endedRequests != c.offeredRequests {
		c.recordViolation("conservation", "%d requests arrived, %d ended: %+v", c.offeredRequests, c.endedRequests, total)
	}
}
