package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/thistlerudder/thistlerudder/routing"
)

// outcome is how a try of a request ended.
type outcome int

const (
	outcomeServed   outcome = iota
	outcomeRejected         // not executed; the client may retry
	outcomeFailed           // may have been executed
)

// testbed simulates one run of an experiment: the fleet, its clients and the discovery service.
type testbed struct {
	experiment *Experiment
	clock      *clock
	newPolicy  policyFactory
	servers    []*server // the origin at index 0, then the caches; a server's index never changes
	nodes      []*node
	checker    *checker
	result     *Result

	demandFactor float64    // multiplies the request rate; 0 stops new requests
	keyOffset    uint64     // added to the drawn keys, so that other keys are popular
	clientRand   *rand.Rand // for clients: keys, nodes, and times of requests and retries
	fleetRand    *rand.Rand // for delays, names of caches, and the servers and nodes that an event affects
	zipf         *rand.Zipf // draws keys from clientRand
	seedRand     *rand.Rand // for the seeds of nodes and servers
	cacheCount   int        // caches started so far
	silenceStats silenceStats

	budgetSim *budgetSim   // nil if the fleet has no budget
	hotNodes  []int        // indexes of nodes that receive more requests than others
	deadNodes map[int]bool // by node index; no new requests; pending ones and their retries go on
}

// second is one second of the virtual clock.
const second = 1000 * routing.Millisecond

// Run simulates an experiment with one policy and one seed. The same arguments always give the same result.
func Run(e *Experiment, policy string, seed uint64) (*Result, error) {
	newPolicy := policies[policy]
	if newPolicy == nil {
		return nil, fmt.Errorf("policy %q: expected one of %v", policy, Policies())
	}
	return simulate(e, policy, newPolicy, seed), nil
}

// simulate runs an experiment with the policies of a factory. After the length of the experiment no new requests arrive.
// The run then continues for the longest time that MaxTries tries can take: each try ends within TimeLimit, and a client
// waits less than 3 latency targets before a retry (2 at most by MaxRetryAfter in newBalancer, and less than 0.1 by the
// jitter in recordEnd).
func simulate(e *Experiment, policy string, newPolicy policyFactory, seed uint64) *Result {
	tb := &testbed{experiment: e, clock: &clock{now: startTime}, newPolicy: newPolicy, demandFactor: 1, deadNodes: map[int]bool{},
		seedRand:   rand.New(rand.NewPCG(seed, 5)),
		clientRand: rand.New(rand.NewPCG(seed, 2)), fleetRand: rand.New(rand.NewPCG(seed, 3))}
	tb.zipf = rand.NewZipf(tb.clientRand, e.Demand.ZipfExponent, 1, e.Demand.KeyCount-1)
	tb.result = newResult(e, policy, seed)
	tb.checker = newChecker(tb)
	tb.addServer(e.Origin, true, 0)
	for range e.Fleet.Caches {
		tb.addServer(e.Fleet.ServerConfig, false, 0)
	}
	for i := range e.Fleet.Nodes {
		tb.nodes = append(tb.nodes, tb.newNode(i, tb.nextSeed()))
	}
	for _, ev := range e.Events {
		tb.clock.schedule(ev.Start.ticks(), func() { tb.applyEvent(ev) })
	}
	if e.Fleet.ClusterProbes {
		tb.startProbes()
	}
	if e.Fleet.Budget != nil {
		tb.startBudget()
	}
	tb.generateRequest()
	tb.sampleEverySecond()
	tb.clock.runUntil(startTime + e.Length.ticks())
	tb.result.OfferedRequests, tb.result.BusiestCacheRatio = tb.checker.offeredRequests, tb.busiestCacheRatio()
	tb.demandFactor = 0 // no new requests while the pending ones end
	tb.clock.runUntil(tb.clock.now + routing.Time(e.Demand.MaxTries)*(e.Demand.TimeLimit.ticks()+3*e.Demand.LatencyTarget.ticks()) + second)
	tb.checker.checkEnd()
	tb.result.SilenceStats = tb.silenceStats
	if tb.budgetSim != nil {
		tb.result.BudgetUsage = &tb.budgetSim.usage
	}
	tb.result.ViolationCounts, tb.result.Violations = tb.checker.violationCounts, tb.checker.violations
	return tb.result
}

// busiestCacheRatio returns the attempts at the busiest cache relative to the mean. Only caches that were present during the
// whole run count.
func (tb *testbed) busiestCacheRatio() float64 {
	maxAttempts, sum, caches := 0, 0, 0
	for _, s := range tb.servers {
		if !s.isOrigin && s.endpoint.StartedAt == 0 && s.endpoint.State == routing.Ready {
			maxAttempts, sum, caches = max(maxAttempts, s.attemptCount), sum+s.attemptCount, caches+1
		}
	}
	return float64(maxAttempts) * float64(caches) / float64(max(1, sum))
}

// nextSeed returns the seed for the next node or server.
func (tb *testbed) nextSeed() uint64 { return tb.seedRand.Uint64() }

// addServer starts a server; startedAt 0 means that it is warm.
func (tb *testbed) addServer(config ServerConfig, isOrigin bool, startedAt routing.Time) {
	index := len(tb.servers)
	s := &server{clock: tb.clock, rng: rand.New(rand.NewPCG(tb.nextSeed(), 4)), config: config, isOrigin: isOrigin,
		missCost:  tb.experiment.Fleet.MissCost,
		coldShare: tb.experiment.Fleet.ColdShare, warmUp: tb.experiment.Fleet.WarmUp.ticks(), slowFactor: 1,
		cached:  newLRUCache(tb.experiment.Fleet.CacheSize),
		running: map[int]job{}, endpoint: routing.Endpoint{Server: index, ID: "origin", Model: 1, StartedAt: startedAt}}
	if !isOrigin {
		tb.cacheCount++
		s.endpoint.ID, s.endpoint.Model = fmt.Sprintf("c-%08x", tb.fleetRand.Uint32()), 0
	}
	tb.servers = append(tb.servers, s)
}

// endpoints returns the endpoint list of the discovery service.
func (tb *testbed) endpoints() (list []routing.Endpoint) {
	for _, s := range tb.servers {
		if s.endpoint.State != routing.Gone {
			list = append(list, s.endpoint)
		}
	}
	return list
}

// notificationDelay draws the delay until a node learns of a change of the endpoint list.
func (tb *testbed) notificationDelay() routing.Time {
	return routing.Time(tb.fleetRand.Float64() * float64(tb.experiment.Network.MaxNotificationDelay.ticks()))
}

// notifyNodes sends changed servers to all nodes, each after its own delay.
func (tb *testbed) notifyNodes(changed ...*server) {
	endpoints := make([]routing.Endpoint, 0, len(changed))
	for _, s := range changed {
		endpoints = append(endpoints, s.endpoint)
	}
	for _, n := range tb.nodes {
		tb.clock.schedule(tb.notificationDelay(), func() {
			// A later change may arrive earlier, so the state at the time of arrival is sent.
			for i := range endpoints {
				endpoints[i] = tb.servers[endpoints[i].Server].endpoint
			}
			n.updateEndpoints(routing.Incremental, slices.Clone(endpoints))
		})
	}
}

// randomCaches returns up to maxCount random caches that are in the given state.
func (tb *testbed) randomCaches(state routing.State, maxCount int) (chosen []*server) {
	for _, s := range tb.servers {
		if !s.isOrigin && s.endpoint.State == state {
			chosen = append(chosen, s)
		}
	}
	tb.fleetRand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:min(maxCount, len(chosen))]
}

// applyEvent applies an event of the experiment. The kinds are documented at eventChecks.
func (tb *testbed) applyEvent(ev Event) {
	switch ev.Kind {
	case "add":
		firstAdded := len(tb.servers)
		for range ev.Caches {
			tb.addServer(tb.experiment.Fleet.ServerConfig, false, tb.clock.now)
		}
		tb.notifyNodes(tb.servers[firstAdded:]...)
	case "drain":
		caches := tb.randomCaches(routing.Ready, ev.Caches)
		for _, s := range caches {
			s.endpoint.State = routing.Draining
		}
		tb.notifyNodes(caches...)
		// The caches leave when no attempt can be in flight: a node learns of the drain within MaxNotificationDelay, may send
		// attempts for DrainGrace after that, and an attempt ends within TimeLimit.
		tb.clock.schedule(tb.experiment.Network.MaxNotificationDelay.ticks()+tb.experiment.Rules.DrainGrace.ticks()+
			tb.experiment.Demand.TimeLimit.ticks(), func() {
			for _, s := range caches {
				s.endpoint.State = routing.Gone
			}
			tb.notifyNodes(caches...)
		})
	case "crash":
		caches := tb.randomCaches(routing.Ready, ev.Caches)
		for _, s := range caches {
			s.crash()
		}
		tb.notifyNodes(caches...)
	case "slow":
		caches := tb.randomCaches(routing.Ready, ev.Caches)
		for _, s := range caches {
			s.slowFactor *= ev.Factor
		}
		tb.clock.schedule(ev.Duration.ticks(), func() {
			for _, s := range caches {
				s.slowFactor /= ev.Factor
			}
		})
	case "demand":
		tb.demandFactor *= ev.Factor
		tb.clock.schedule(ev.Duration.ticks(), func() { tb.demandFactor /= ev.Factor })
	case "restart":
		for _, i := range tb.fleetRand.Perm(len(tb.nodes))[:min(ev.Nodes, len(tb.nodes))] {
			// The old process still ends its pending requests. The new one starts with the endpoint list and no other state.
			tb.nodes[i] = tb.newNode(i, tb.nextSeed())
			if tb.budgetSim != nil { // no graceful shutdown: the old process's lease stays until it expires
				tb.budgetSim.budgetNodes[i].kill()
				tb.budgetSim.budgetNodes[i].isDown = false
				tb.budgetSim.budgetNodes[i].start()
			}
		}
	case "silent":
		tb.silenceCaches(tb.randomCaches(routing.Ready, ev.Caches), ev.Duration.ticks())
	case "unled":
		tb.silenceStats.leaderlessUntil = max(tb.silenceStats.leaderlessUntil, tb.clock.now+ev.Duration.ticks())
		if tb.budgetSim != nil {
			tb.budgetSim.loseLeader(ev.Duration.ticks())
		}
	case "move":
		tb.hotNodes = tb.fleetRand.Perm(len(tb.nodes))[:min(ev.Nodes, len(tb.nodes))]
		if tb.budgetSim != nil {
			tb.budgetSim.watchShift(tb.hotNodes)
		}
	case "kill":
		if tb.budgetSim != nil {
			tb.budgetSim.watchRecovery()
		}
		for _, i := range tb.fleetRand.Perm(len(tb.nodes))[:min(ev.Nodes, len(tb.nodes)-1)] {
			tb.deadNodes[i] = true
			if tb.budgetSim != nil {
				tb.budgetSim.budgetNodes[i].kill()
			}
		}
	case "cut":
		for _, i := range tb.fleetRand.Perm(len(tb.nodes))[:min(ev.Nodes, len(tb.nodes))] {
			if tb.budgetSim != nil {
				tb.budgetSim.budgetNodes[i].disconnectedUntil = tb.clock.now + ev.Duration.ticks()
			}
		}
	case "shift":
		tb.keyOffset += tb.experiment.Demand.KeyCount / 2
	}
}

// generateRequest starts a client request now and schedules the next one. Arrivals are a Poisson process.
func (tb *testbed) generateRequest() {
	if tb.demandFactor > 0 {
		r := &clientRequest{key: (tb.zipf.Uint64() + tb.keyOffset) % tb.experiment.Demand.KeyCount,
			isWrite:   tb.clientRand.Float64() < tb.experiment.Demand.WriteShare,
			nodeIndex: tb.clientRand.IntN(len(tb.nodes)), firstSentAt: tb.clock.now}
		if len(tb.hotNodes) > 0 && tb.clientRand.Float64() < tb.hotShare() {
			r.nodeIndex = tb.hotNodes[tb.clientRand.IntN(len(tb.hotNodes))]
		}
		for tb.deadNodes[r.nodeIndex] {
			r.nodeIndex = tb.clientRand.IntN(len(tb.nodes))
		}
		gap := tb.clientRand.ExpFloat64() / (tb.experiment.Demand.RequestsPerSecond * tb.demandFactor) * float64(second)
		tb.clock.schedule(routing.Time(math.Round(gap)), tb.generateRequest)
		tb.checker.offeredRequests++
		tb.nodes[r.nodeIndex].startRequest(r)
	}
}

// hotShare returns the share of requests whose node is drawn from the hot nodes only; the node of each other request is
// drawn from all nodes. Each hot node then receives HotFactor times as many requests as a node that is not hot.
func (tb *testbed) hotShare() float64 {
	nodes, hot := float64(len(tb.nodes)), float64(len(tb.hotNodes))
	return hot * (tb.experiment.Demand.HotFactor - 1) / (nodes - hot + hot*tb.experiment.Demand.HotFactor)
}

// recordServerResult handles the result of an attempt when its server has finished it. A value fetched from the origin is
// stored in all caches that the request has tried and that are still on the endpoint list; a write removes the key from all
// caches.
func (tb *testbed) recordServerResult(req *pendingRequest, a *attempt, result routing.Result) {
	if result != routing.Served {
		return
	}
	tb.checker.requestServed(req)
	switch {
	case req.isWrite:
		for _, cache := range tb.servers[1:] {
			cache.cached.remove(req.key)
		}
	case a.server.isOrigin:
		tb.result.current().Fetches++
		for _, tried := range req.attempts {
			if !tried.server.isOrigin && tried.server.endpoint.State != routing.Gone {
				tried.server.cached.add(req.key)
			}
		}
	default:
		tb.result.current().Hits++
	}
}

// recordEnd counts a node's final answer to a try of a request. If the answer is a rejection and the client has tries left,
// it counts a deferral and schedules the retry at the same node.
func (tb *testbed) recordEnd(req *pendingRequest, result outcome, retryAfter routing.Time) {
	latency, target := tb.clock.now-req.firstSentAt, tb.experiment.Demand.LatencyTarget.ticks()
	point := tb.result.current()
	switch {
	case result == outcomeServed && latency <= target:
		point.InTime++
	case result == outcomeServed:
		point.Late++
	case result == outcomeRejected && req.tries < tb.experiment.Demand.MaxTries:
		point.Deferrals++
		delay := max(retryAfter, target/20) + routing.Time(tb.clientRand.Float64()*float64(target)/10)
		tb.clock.schedule(delay, func() { tb.nodes[req.nodeIndex].startRequest(req.clientRequest) })
		return
	case result == outcomeRejected:
		point.Refused++
	default:
		point.Failed++
	}
	if result == outcomeServed {
		tb.result.recordLatency(latency)
	}
	tb.checker.endedRequests++
}

// sampleEverySecond completes a point of the result at the end of each second.
func (tb *testbed) sampleEverySecond() {
	tb.clock.schedule(second, func() {
		tb.result.closePoint(tb)
		tb.sampleEverySecond()
	})
}
