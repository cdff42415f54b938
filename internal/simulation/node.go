package simulation

import (
	"strconv"

	"github.com/thistlerudder/thistlerudder/routing"
)

// clientRequest is a request of a client, which may retry it after rejections.
type clientRequest struct {
	key         uint64
	isWrite     bool
	nodeIndex   int
	firstSentAt routing.Time // time of the first try
	tries       int          // how often the client has sent it so far
}

// pendingRequest is one try of a client request at a node.
type pendingRequest struct {
	*clientRequest
	index    int // in node.pending
	deadline routing.Time
	attempts []*attempt
	inFlight int  // attempts without a result
	ended    bool // a final answer was given
}

// attempt is one attempt of a request at a server.
type attempt struct {
	server *server
	done   bool // the policy has its result
}

// node is a node of the fleet. As the routing.Host of its policy it carries out the policy's decisions.
type node struct {
	tb             *testbed
	index          int
	policy         Policy
	pending        []*pendingRequest        // nil at free indexes
	freeIndexes    []int                    // of pending
	knownEndpoints map[int]routing.Endpoint // by server index; only kept if the cluster probes ejected caches
	notReadySince  map[int]routing.Time     // by server index, for servers that this node knows not to be ready
}

// newNode starts a node with the current endpoint list as its cached list.
func (tb *testbed) newNode(index int, seed uint64) *node {
	n := &node{tb: tb, index: index, knownEndpoints: map[int]routing.Endpoint{}, notReadySince: map[int]routing.Time{}}
	n.policy = tb.newPolicy(n, seed, tb.clock.now, tb.experiment)
	n.updateEndpoints(routing.Cached, tb.endpoints())
	return n
}

// updateEndpoints passes an update of the endpoint list to the policy and records since when the node knows a server not
// to be ready.
func (n *node) updateEndpoints(kind routing.UpdateKind, endpoints []routing.Endpoint) {
	for _, ep := range endpoints {
		if ep.State == routing.Ready {
			delete(n.notReadySince, ep.Server)
		} else if _, known := n.notReadySince[ep.Server]; !known {
			n.notReadySince[ep.Server] = n.tb.clock.now
		}
		if n.tb.experiment.Fleet.ClusterProbes {
			n.knownEndpoints[ep.Server] = ep
		}
	}
	n.policy.UpdateEndpoints(n.tb.clock.now, kind, endpoints)
}

// startRequest starts a try of a client request at this node.
func (n *node) startRequest(r *clientRequest) {
	req := &pendingRequest{clientRequest: r, index: len(n.pending), deadline: n.tb.clock.now + n.tb.experiment.Demand.TimeLimit.ticks()}
	if last := len(n.freeIndexes) - 1; last >= 0 {
		req.index, n.freeIndexes = n.freeIndexes[last], n.freeIndexes[:last]
		n.pending[req.index] = req
	} else {
		n.pending = append(n.pending, req)
	}
	r.tries++
	n.tb.checker.requestStarted(req)
	if n.tb.budgetSim != nil && r.isWrite {
		n.tb.budgetSim.recordDemand(n.index)
	}
	routingRequest := routing.Request{Tenant: -1, Key: strconv.FormatUint(r.key, 10), Deadline: req.deadline, Write: r.isWrite}
	if r.isWrite {
		routingRequest.Class = 1
	}
	n.policy.StartRequest(n.tb.clock.now, req.index, routingRequest)
}

// Send implements routing.Host.
func (n *node) Send(request, server int, timeout routing.Time) {
	tb, req := n.tb, n.pending[request]
	a := &attempt{server: tb.servers[server]}
	if ej, ok := n.policy.(ejector); ok && a.server.isSilent && ej.IsEjected(server) {
		tb.silenceStats.NodeProbes++
	}
	tb.checker.attemptStarted(n, req, a)
	attemptIndex := len(req.attempts)
	req.attempts = append(req.attempts, a)
	req.inFlight++
	finish := func(result routing.Result) {
		if a.done {
			return
		}
		a.done = true
		req.inFlight--
		if result == routing.Served && !req.ended {
			n.endRequest(req, outcomeServed, 0)
		}
		n.policy.AttemptDone(tb.clock.now, request, attemptIndex, result, req.ended)
		n.releaseIndex(req)
	}
	oneWay := tb.experiment.Network.OneWayDelay.ticks()
	tb.clock.schedule(oneWay, func() {
		tb.checker.attemptArrived(a.server)
		countsTowardBudget := tb.budgetSim != nil && a.server.isOrigin
		if countsTowardBudget {
			tb.budgetSim.fetchStarted(n.index)
		}
		a.server.handle(job{key: req.key, isWrite: req.isWrite, done: func(result routing.Result) {
			if countsTowardBudget {
				tb.budgetSim.fetchEnded()
			}
			tb.recordServerResult(req, a, result)
			tb.clock.schedule(oneWay, func() { finish(result) })
		}})
	})
	tb.clock.schedule(timeout, func() { finish(routing.TimedOut) })
}

// Reject implements routing.Host. The client may retry the request.
func (n *node) Reject(request int, retryAfter routing.Time) {
	n.endRequest(n.pending[request], outcomeRejected, retryAfter)
}

// Fail implements routing.Host. The client doesn't retry the request.
func (n *node) Fail(request int) { n.endRequest(n.pending[request], outcomeFailed, 0) }

// Subscribe implements routing.Host. The node receives the full list after a delay; testbed.notifyNodes sends the changes
// whether or not a node has subscribed.
func (n *node) Subscribe() {
	n.tb.clock.schedule(n.tb.notificationDelay(), func() { n.updateEndpoints(routing.Full, n.tb.endpoints()) })
}

// CloseIdleConnections implements routing.Host. It does nothing, since the simulation has no connections.
func (n *node) CloseIdleConnections(int, int) {}

// SetAlarm implements routing.Host.
func (n *node) SetAlarm(alarmTime routing.Time, handle int) {
	n.tb.clock.schedule(alarmTime-n.tb.clock.now, func() { n.policy.HandleAlarm(n.tb.clock.now, handle) })
}

// endRequest gives a request its final answer.
func (n *node) endRequest(req *pendingRequest, result outcome, retryAfter routing.Time) {
	n.tb.checker.requestEnded(req, result)
	req.ended = true
	n.tb.recordEnd(req, result, retryAfter)
	n.releaseIndex(req)
}

// releaseIndex makes a request's index available for reuse once the request has ended and no attempt is in flight.
func (n *node) releaseIndex(req *pendingRequest) {
	if req.ended && req.inFlight == 0 && n.pending[req.index] == req {
		n.pending[req.index] = nil
		n.freeIndexes = append(n.freeIndexes, req.index)
	}
}
