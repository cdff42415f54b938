package routing

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
)

// slowStartCase is a cluster of nodes that send requests to a cache, which restarts repeatedly.
type slowStartCase struct {
	nodes int

	// overloadLimit is N right after a restart, the work per window with which the cache is overloaded:
	// overload factor x slow-start share x capacity x window.
	overloadLimit float64

	overloadFactor  float64
	initialShare    float64 // slow-start share right after a restart
	load            float64 // usual load of a warm cache, as a share of its capacity
	hotShare        float64 // share of all requests that have keys of the restarted cache, in addition to its part of the other requests
	lullFactor      float64 // multiple of the load from the restart until the burst
	burstFactor     float64 // multiple of the load during the burst, which takes a tenth of the slow start
	variedWork      bool    // the work of requests is exponentially distributed and given in Request.Work
	idleBeforeBurst bool    // no request before the burst has a key of the restarted cache, and half of all requests during the burst do
	restartAll      bool    // all caches restart at the same time
	slowStartWindow Time
	rollingRestart  bool    // the nodes are restarted one after another during the slow start
	quotaFactor     float64 // the cluster's quota for each cache in slow start, as a multiple of N; 0: no quota
	restarts        int
}

const (
	slowStartCaches = 6
	overloadWindow  = 1000 * Millisecond
)

// slowStartNode is the Host of a node. It collects the servers of the attempts.
type slowStartNode struct {
	b        *Balancer
	informed bool // whether the node was told of the latest restart
	sent     []int
}

func (n *slowStartNode) Send(_, server int, _ Time)    { n.sent = append(n.sent, server) }
func (n *slowStartNode) Reject(int, Time)              {}
func (n *slowStartNode) Fail(int)                      {}
func (n *slowStartNode) Subscribe()                    {}
func (n *slowStartNode) CloseIdleConnections(int, int) {}
func (n *slowStartNode) SetAlarm(Time, int)            {}

// slowStartOutcome is the result of a slowStartCase.
type slowStartOutcome struct {
	overloadedStarts int         // restarts after which the work in some window exceeded N + 2 x square root of N + 2
	maxWindowLoad    float64     // highest work in a window, as a share of that bound
	shares           [10]float64 // attempts as a share of those at a warm cache, by tenth of the slow start
}

// run restarts cache 0 repeatedly. Each request has its own key and is answered immediately. One node in ten gets ten
// times as many requests as the others. Attempts of nodes that were not told of the restart yet do not count.
func (c slowStartCase) run() (outcome slowStartOutcome) {
	rnd, now := rand.New(rand.NewSource(int64(c.nodes)*1000+int64(c.overloadLimit))), 10000*Millisecond
	capacity := c.overloadLimit / (c.overloadFactor * c.initialShare * seconds(overloadWindow))
	var endpoints []Endpoint
	for i := range slowStartCaches {
		endpoints = append(endpoints, Endpoint{Server: i, ID: fmt.Sprint("c", i)})
	}
	nodes, startedNodes := make([]*slowStartNode, c.nodes), 0
	// Each unit of the quota allows a burst of one. If there are fewer units than nodes, the nodes hold them in turn.
	units, firstHolder := max(1, int(c.quotaFactor*c.overloadLimit/4)), 0
	setQuota := func(i int) {
		nodeUnits := float64(units / c.nodes)
		if (i-firstHolder+c.nodes)%c.nodes < units%c.nodes {
			nodeUnits++
		}
		nodes[i].b.SetQuota(now, SlowStartRate, 0, quotalimit.Quota{Rate: nodeUnits * c.quotaFactor * c.overloadLimit / seconds(overloadWindow) / float64(units), Burst: nodeUnits,
			End: math.MaxInt64})
	}
	startNode := func(i int) {
		n := &slowStartNode{informed: true}
		startedNodes++
		n.b = New(n, uint64(startedNodes), now, modifiedConfig(func(config *Config) {
			config.Nodes, config.MaxAttempts, config.SlowStartShare = c.nodes, 3, c.initialShare
			config.SlowStartWindow, config.OverloadFactor, config.OverloadWindow = c.slowStartWindow, c.overloadFactor, overloadWindow
			config.Classes = []Class{{Idempotence: Safe, LatencyTarget: 200 * Millisecond}}
		}))
		if nodes[i] = n; c.quotaFactor > 0 {
			setQuota(i)
		}
		n.b.UpdateEndpoints(now, Full, endpoints)
	}
	for i := range nodes {
		startNode(i)
	}
	sendUntil := func(factor, hotShare float64, until Time, onAttempt func(server int, informed bool, work float64)) {
		for {
			now += 1 + Time(rnd.ExpFloat64()/(slowStartCaches*c.load*capacity*factor)*float64(1000*Millisecond))
			if now >= until {
				now = until
				return
			}
			i := rnd.Intn(c.nodes)
			if rnd.Intn(2) == 0 {
				i = i / 10 * 10
			}
			n := nodes[i]
			key := fmt.Sprint(rnd.Int63())
			if isHot := rnd.Float64() < hotShare; isHot || hotShare < 0 {
				for (keyPoint(xxhash.Sum64String(key)|1) < binCount/slowStartCaches) != isHot {
					key = fmt.Sprint(rnd.Int63())
				}
			}
			work := 1.0
			if c.variedWork {
				work = rnd.ExpFloat64()
			}
			n.b.StartRequest(now, 0, Request{Tenant: -1, Key: key, Deadline: now + 8000, Work: 20 * work})
			for number, server := range n.sent {
				onAttempt(server, n.informed, work)
				n.b.AttemptDone(now, 0, number, Served, true)
			}
			n.sent = n.sent[:0]
		}
	}
	sendUntil(1, c.hotShare, now+10*overloadWindow, func(int, bool, float64) {})
	for range c.restarts {
		restartedAt, overloaded := now, false
		for i := range endpoints {
			if i == 0 || c.restartAll {
				endpoints[i].StartedAt = now
			}
		}
		for _, n := range nodes {
			n.informed = false
		}
		var arrivals []Time
		var works []float64
		const steps = 300
		burstStart, nextRestart := rnd.Intn(steps*9/10), 0
		var attempts [10][2]float64
		for step := range steps {
			for i, n := range nodes {
				if !n.informed && (step > 2 || rnd.Intn(2) == 0) { // all nodes are told within four tenths of a second
					n.informed = true
					n.b.UpdateEndpoints(now, Incremental, endpoints)
				}
				if c.rollingRestart && nextRestart*steps < step*c.nodes && i == nextRestart {
					startNode(i)
					nextRestart++
				}
			}
			if c.quotaFactor > 0 && step%5 == 0 {
				previousHolder := firstHolder
				firstHolder = (firstHolder + 1) % c.nodes
				setQuota(previousHolder)
				for i := range nodes {
					setQuota(i)
				}
			}
			factor, hotShare := 1.0, c.hotShare
			if step < burstStart {
				if factor = c.lullFactor; c.idleBeforeBurst {
					hotShare = -1
				}
			} else if step < burstStart+steps/10 {
				if factor = c.burstFactor; c.idleBeforeBurst {
					hotShare = 0.5
				}
			}
			sendUntil(factor, hotShare, restartedAt+c.slowStartWindow*Time(step+1)/steps, func(server int, informed bool, work float64) {
				if server != 0 {
					attempts[step*10/steps][1] += 1.0 / (slowStartCaches - 1)
					return
				}
				if attempts[step*10/steps][0]++; !informed {
					return
				}
				arrivals, works = append(arrivals, now), append(works, work)
				for arrivals[0] <= now-overloadWindow {
					arrivals, works = arrivals[1:], works[1:]
				}
				total := 0.0
				for _, w := range works {
					total += w
				}
				windowLimit := c.overloadLimit * (1 + (1/c.initialShare-1)*float64(now-restartedAt)/float64(c.slowStartWindow))
				windowLoad := total / (windowLimit + 2*math.Sqrt(windowLimit) + 2)
				outcome.maxWindowLoad, overloaded = max(outcome.maxWindowLoad, windowLoad), overloaded || windowLoad > 1
			})
		}
		for i, s := range attempts {
			outcome.shares[i] += s[0] / max(1, s[1]) / float64(c.restarts)
		}
		if overloaded {
			outcome.overloadedStarts++
		}
		sendUntil(1, c.hotShare, now+5*overloadWindow, func(int, bool, float64) {})
	}
	return outcome
}

// Guards against an overload of a cache in slow start by the total of all nodes, under uneven traffic, hot keys, bursts
// and restarts of nodes. In any window, the work sent to the cache must stay below N, the bound of the settings, plus
// 2 × square root of N and 2 as a tolerance for random variation. It must rise until the slow start is over.
func TestClusterDoesNotOverloadSlowStartCache(t *testing.T) {
	base := slowStartCase{nodes: 30, overloadFactor: 1.5, initialShare: 0.05, load: 0.7, hotShare: 0.2, lullFactor: 1, burstFactor: 2, rollingRestart: true,
		slowStartWindow: 30000 * Millisecond}
	for _, tc := range []struct {
		name          string
		overloadLimit float64
		restarts      int
		change        func(c *slowStartCase)
	}{
		{"N is 1", 1, 80, func(*slowStartCase) {}},
		{"one node", 1, 80, func(c *slowStartCase) { c.nodes = 1 }},
		{"one node, N is 10", 10, 10, func(c *slowStartCase) { c.nodes = 1 }},
		{"three nodes", 1, 80, func(c *slowStartCase) { c.nodes = 3 }},
		{"three nodes, N is 4", 4, 20, func(c *slowStartCase) { c.nodes = 3 }},
		{"20 nodes", 1, 40, func(c *slowStartCase) { c.nodes = 20 }},
		{"300 nodes", 1, 15, func(c *slowStartCase) { c.nodes = 300 }},
		{"300 nodes, N is 10", 10, 2, func(c *slowStartCase) { c.nodes = 300 }},
		{"N is 2", 2, 30, func(*slowStartCase) {}},
		{"N is 4, slow-start share 0.1", 4, 15, func(c *slowStartCase) { c.overloadFactor, c.initialShare = 2, 0.1 }},
		{"N is 10", 10, 4, func(*slowStartCase) {}},
		{"N is 30", 30, 1, func(*slowStartCase) {}},
		{"burst after low load", 1, 40, func(c *slowStartCase) { c.lullFactor, c.burstFactor = 0.1, 3 }},
		{"burst on idle keys", 2, 10, func(c *slowStartCase) {
			c.idleBeforeBurst, c.slowStartWindow, c.rollingRestart = true, 120000*Millisecond, false
		}},
		{"all caches restart", 1, 40, func(c *slowStartCase) { c.restartAll = true }},
		{"varied work", 1, 40, func(c *slowStartCase) { c.variedWork = true }},
		{"quota of N", 10, 3, func(c *slowStartCase) { c.quotaFactor = 1 }},
		{"quota far above N", 2, 10, func(c *slowStartCase) { c.quotaFactor = 100 }},
	} {
		testCase := base
		testCase.overloadLimit, testCase.restarts = tc.overloadLimit, tc.restarts
		if testing.Short() {
			testCase.restarts = (tc.restarts + 3) / 4
		}
		tc.change(&testCase)
		outcome := testCase.run()
		t.Logf("%s: overloaded after %d of %d restarts, highest window load %.2f, shares %.2f", tc.name, outcome.overloadedStarts, testCase.restarts, outcome.maxWindowLoad, outcome.shares)
		if outcome.overloadedStarts > 0 {
			t.Errorf("%s: cache overloaded after %d of %d restarts, highest window load %.2f of the bound", tc.name, outcome.overloadedStarts, testCase.restarts, outcome.maxWindowLoad)
		}
		if outcome.shares[9] < slowStartMargin*testCase.overloadFactor/2 && testCase.quotaFactor == 0 || outcome.shares[9] == 0 {
			t.Errorf("%s: slow start does not end: shares of a warm cache's attempts %.2f", tc.name, outcome.shares)
		}
	}
}

// A request with many times the mean work may exceed the whole burst of a cache in slow start. It is sent to another
// server, unless the burst is large enough.
func TestHeavyRequestSkipsSlowStartCache(t *testing.T) {
	for _, warmCacheRate := range []float64{1, 100} {
		f, sent := newFakeHost(1, 2), map[float64]int{}
		for i := range 4000 {
			f.now += 100 * Millisecond
			s := f.b.servers[0]
			s.StartedAt, f.b.warmCacheRate, f.b.decayedAt = f.now-1000*Millisecond, warmCacheRate, f.now
			work := []float64{10, 100}[i%10/9]
			f.requests = append(f.requests[:0], &fakeRequest{idempotence: idempotences[0], deadline: f.now + 8000})
			f.b.StartRequest(f.now, 0, Request{Tenant: -1, Key: key(f.b, 0), Work: work, Deadline: f.now + 8000})
			for n, attempt := range f.requests[0].attempts {
				if attempt.server == 0 {
					sent[work]++
				}
				f.attemptDone(0, n, Served)
			}
		}
		if sent[10] == 0 || (sent[100] > 0) != (warmCacheRate > 1) {
			t.Errorf("%g answers per second from a warm cache: attempts at the cache in slow start by work: %v", warmCacheRate, sent)
		}
	}
}
