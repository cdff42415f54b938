package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The limits of the budgets in a run. The counting backends record what the budgets limit.
const (
	fetchesPerSecond = 240.0 // requests to the origin
	acmePerSecond    = 60.0  // lookups of the tenant acme that reach a backend
	listsPerSecond   = 60.0  // requests to the discovery service for the whole endpoint list
	coldPerSecond    = 30.0  // requests to a cache that restarted recently
	maxCacheConns    = 36    // open connections to one cache
	spareNodes       = 2     // the configuration allows this many nodes more than the run has

	longLeaseDuration = 1500 * time.Millisecond // in runs for which usesLongLeases is true
	longResponseDelay = longLeaseDuration / 4   // slightly below the time limit of a call in these runs
	quotaShiftTime    = 1300 * time.Millisecond // in which quota moves to the nodes under load
)

// budgetSizes returns the parameters of the budgets fetches and room, which depend on the seed of the run: the burst and the
// reserved fraction of fetches, and the limit of concurrent fetches, which is the budget room.
func (tc *testCluster) budgetSizes() (burst int, reservedFraction float64, maxFetches int) {
	maxNodes := float64(tc.plan.Nodes + spareNodes)
	if tc.plan.Seed%2 == 0 && tc.plan.DisabledSafeguard == "" {
		return 8, 0, 60 // the rate of fetches is the bottleneck
	}
	return 16, maxNodes/16 + 0.01, 3 + int(tc.plan.Seed)%9 // the limit of concurrent fetches is the bottleneck; it can be below the number of nodes, so that quota has to move between nodes
}

// joinsLate reports whether a node joins after the others, with other budget totals in its configuration.
func (tc *testCluster) joinsLate(nodeIndex int) bool {
	return tc.plan.testBudgets && nodeIndex >= voterCount && nodeIndex == tc.plan.Nodes-1
}

// addBudgets adds budgets to a node's configuration. A node that joins late has other totals, which the cluster must ignore.
func (tc *testCluster) addBudgets(nodeIndex int, nodeConfig, clusterConfig map[string]any) {
	burst, reservedFraction, maxFetches := tc.budgetSizes()
	factor := 1.0
	if tc.joinsLate(nodeIndex) {
		factor = 3
	}
	clusterConfig["tasks"], clusterConfig["nodes"] = []string{}, tc.plan.Nodes+spareNodes
	if tc.usesLongLeases() {
		clusterConfig["lease_ms"], clusterConfig["delay_ms"] = longLeaseDuration.Milliseconds(), (longLeaseDuration / 20).Milliseconds()
	}
	clusterConfig["budgets"] = []map[string]any{
		{"name": "fetches", "kind": "rate", "bounds": "origin", "whole": fetchesPerSecond * factor, "burst": burst, "apart": min(1, reservedFraction)},
		{"name": "room", "kind": "number", "bounds": "origin", "whole": maxFetches * int(factor), "apart": 0.0},
		{"name": "acme", "kind": "rate", "bounds": "partner", "partner": "acme", "whole": acmePerSecond * factor, "burst": 14, "apart": 0.0},
		{"name": "lists", "kind": "rate", "bounds": "discovery", "whole": listsPerSecond * factor, "burst": 60, "apart": 0.9},
		{"name": "cold", "kind": "rate", "bounds": "cold", "whole": coldPerSecond, "burst": 10, "apart": 0.0},
		{"name": "links", "kind": "number", "bounds": "cache", "whole": maxCacheConns * int(factor), "apart": 0.5},
	}
	settings := nodeConfig["settings"].(map[string]any)
	settings["balancers"] = tc.plan.Nodes
	settings["tenants"] = []map[string]any{{"name": "acme", "quota-rps": acmePerSecond}}
	settings["invariants"] = map[string]any{"warm-up-ms": cacheWarmUp.Milliseconds(), "cold-from": 0.25, "overload-factor": 4, "fall-ms": 1000}
	settings["namespaces"] = []map[string]any{{"name": "read", "repeat": "safe", "target-time-ms": 400, "time-limit-ms": lookupTimeout.Milliseconds()}}
}

// setNodeName records which node a process belongs to.
func (tc *testCluster) setNodeName(pid int, name string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.nodeNames == nil {
		tc.nodeNames = map[int]string{}
	}
	tc.nodeNames[pid] = name
}

// budgetFaultOrder returns the faults of runs that test budgets, in the order in which the seeds go through them.
func budgetFaultOrder() (faults []fault) {
	for _, name := range []string{"handed-on", "kill-third", "in-turn", "stop", "cut", "whole-lowered", "part", "handed-on-unled", "come-and-go", "deaf", "upgrade", "stop-on-renewal",
		"folder-lost", "kill", "slow", "reset", "power"} {
		f, _ := faultByName(name)
		faults = append(faults, f)
	}
	return faults
}

// budgetOnlyFaults are the faults that only runs on budgets have.
var budgetOnlyFaults = []fault{
	{"handed-on", "one node gets all quota, then it is partitioned while all nodes want quota", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.isolateLoadedNode(ctx, node, false)
	}, false},
	{"handed-on-unled", "the same, and the leader is killed during the partition", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.isolateLoadedNode(ctx, node, true)
	}, false},
	{"in-turn", "each node in turn gets nearly all load, then no node, then all nodes at once", func(tc *testCluster, ctx context.Context, _ *clusterNode) bool {
		defer tc.loadFocus.Store(0)
		for i := range tc.nodes {
			tc.loadFocus.Store(int32(i + 1))
			tc.sleep(ctx, quotaShiftTime*2/3)
		}
		tc.loadFocus.Store(focusNone)
		tc.sleep(ctx, quotaShiftTime)
		tc.loadFocus.Store(focusAll)
		tc.sleep(ctx, halfLease)
		return true
	}, false},
	{"kill-third", "SIGKILL of a third of the nodes at once, and a restart half a lease later", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		var restarts sync.WaitGroup
		injected := atomic.Int32{}
		for i := range (tc.plan.Nodes + 2) / 3 {
			victim := tc.nodes[(node.index+i)%tc.plan.Nodes]
			restarts.Go(func() {
				if tc.restart(ctx, victim, syscall.SIGKILL, halfLease, nil) {
					injected.Add(1)
				}
			})
		}
		restarts.Wait()
		tc.sleep(ctx, overOneLease)
		return injected.Load() > 0
	}, false},
	{"come-and-go", "a node leaves and joins again at once, three times", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		for range 3 {
			if !tc.restart(ctx, node, syscall.SIGTERM, 0, nil) {
				return false
			}
			tc.sleep(ctx, halfLease)
		}
		return true
	}, false},
	{"whole-lowered", "an operator lowers budget totals under load, and raises them again", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		burst, _, maxFetches := tc.budgetSizes()
		loweredBurst := max(tc.plan.Nodes+spareNodes, burst*5/8) // at least the units that are reserved, one per node
		if burst == 8 {
			loweredBurst = 5 // no units are reserved
		}
		setTotal := func(name string, total float64) bool {
			_, err := tc.runCommand(ctx, node.index, "budget", "set", name, fmt.Sprint(total))
			return err == nil
		}
		perSecondPerUnit := fetchesPerSecond / float64(burst)
		if !setTotal("fetches", perSecondPerUnit*float64(loweredBurst)) || !setTotal("room", float64((maxFetches+1)/2)) {
			return false
		}
		tc.sleep(ctx, leaseDuration*125/100+100*time.Millisecond) // by then all quota beyond the new totals has been returned or has expired
		tc.addLimit("fetches", limit{fromNs: bootTimeNs(), perSecond: perSecondPerUnit * float64(loweredBurst), max: float64(loweredBurst)})
		tc.addLimit("room", limit{fromNs: bootTimeNs(), max: float64((maxFetches + 1) / 2), concurrency: true})
		tc.sleep(ctx, overOneLease)
		tc.addLimit("fetches", limit{fromNs: bootTimeNs(), perSecond: fetchesPerSecond, max: float64(burst)})
		tc.addLimit("room", limit{fromNs: bootTimeNs(), max: float64(maxFetches), concurrency: true})
		for range 5 {
			if setTotal("fetches", fetchesPerSecond) && setTotal("room", float64(maxFetches)) {
				return true
			}
		}
		return true
	}, false},
}

// usesLongLeases reports whether the run has longer leases, so that responses can be delayed for longer, and so that a new leader is
// elected well within one lease.
func (tc *testCluster) usesLongLeases() bool {
	return tc.plan.OnlyFault == "late-answers" || tc.plan.OnlyFault == "handed-on-unled"
}

// isolateLoadedNode lets one node get nearly all quota, and then partitions it while all nodes are under load. It replaces the
// given node by one that is not a voter, if there is one. If killLeader is set, the leader is killed during the partition.
func (tc *testCluster) isolateLoadedNode(ctx context.Context, node *clusterNode, killLeader bool) bool {
	if len(tc.nodes) > voterCount {
		node = tc.nodes[voterCount+node.index%(len(tc.nodes)-voterCount)]
	}
	duration := overOneLease
	if tc.usesLongLeases() {
		duration = longLeaseDuration * 13 / 10
	}
	tc.loadFocus.Store(int32(node.index + 1))
	tc.sleep(ctx, quotaShiftTime)
	if tc.plan.OnlyFault == "late-answers" {
		for route, r := range tc.relays {
			if route.from == node.index {
				r.toDialer.delayNs.Store(int64(longResponseDelay))
				defer r.toDialer.delayNs.Store(0)
			}
		}
		tc.sleep(ctx, longLeaseDuration)
	}
	tc.loadFocus.Store(focusAll - int32(node.index+1))
	defer tc.loadFocus.Store(0)
	injected := make(chan bool, 1)
	if killLeader {
		leader := tc.leader(ctx, tc.nodes[0])
		go func() { injected <- tc.restart(ctx, leader, syscall.SIGKILL, duration/2, nil) }()
	} else {
		injected <- true
	}
	tc.changeRelays(ctx, "", node, duration, func(toTarget, toDialer *relayDirection, active bool) {
		toTarget.blocked.Store(active)
		toDialer.blocked.Store(active)
	})
	return <-injected
}

// addLimit adds a limit of a budget. It applies from l.fromNs on, in place of the previous one.
func (tc *testCluster) addLimit(budget string, l limit) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.limits[budget] = append(tc.limits[budget], l)
}

// faultForSafeguard maps a safeguard to the fault under which most runs detect that the safeguard is disabled.
var faultForSafeguard = map[string]string{"drift-margin": "clock-bound", "count-from-answer": "late-answers", "burst-kept": "in-turn",
	"leader-forgets": "handed-on-unled"}

// RunBudgets runs a cluster under faults and checks its budgets.
func RunBudgets(ctx context.Context, plan Plan) (r RunResult, err error) {
	plan.testBudgets = true
	if plan.OnlyFault == "" && plan.Seed%4 > 0 { // a quarter of the seeds use all faults, the others the fault for the disabled safeguard
		plan.OnlyFault = faultForSafeguard[plan.DisabledSafeguard]
	}
	r.Seed = plan.Seed
	tc := &testCluster{plan: plan, program: plan.Program, rnd: rand.New(rand.NewPCG(plan.Seed, 30)), relays: map[route]*relay{},
		faultCounts: map[string]int{}, excusedUntil: map[int]int64{}, limits: map[string][]limit{}}
	if tc.dir, err = os.MkdirTemp("", "rig-"); err != nil {
		return r, err
	}
	defer func() { tc.keepHistory(&r, err, "budgets") }()
	burst, _, maxFetches := tc.budgetSizes()
	for budget, l := range map[string]limit{"fetches": {perSecond: fetchesPerSecond, max: float64(burst)}, "room": {max: float64(maxFetches), concurrency: true},
		"acme": {perSecond: acmePerSecond, max: 14}, "lists": {perSecond: listsPerSecond, max: 60}, "cold": {perSecond: coldPerSecond, max: 10},
		"links-0": {max: maxCacheConns, concurrency: true}, "links-1": {max: maxCacheConns, concurrency: true}} {
		tc.limits[budget] = []limit{l}
	}
	err = tc.setUp(ctx)
	done := make(chan struct{})
	load := loadGenerator{lookupsPerSecond: make([]atomic.Int64, plan.Nodes)}
	var running sync.WaitGroup
	var maxDelayNs atomic.Int64
	if last := plan.Nodes - 1; err == nil && tc.joinsLate(last) {
		tc.sleep(ctx, startupWait) // the cluster has agreed on the totals before the node with different ones joins
		_, _, err = tc.nodes[last].start()
	}
	if err == nil {
		tc.excuse(tc.nodes[plan.Nodes-1], 3*time.Second)
		for _, node := range tc.nodes {
			running.Go(func() {
				load.run(node.index, fmt.Sprintf("%s:%d", node.ip, clientPort), plan.Seed, done, func(startNs int64) bool {
					tc.mu.Lock()
					defer tc.mu.Unlock()
					return startNs < tc.excusedUntil[node.index]
				})
			})
		}
		running.Go(func() { tc.varyLoad(&load, done) })
		running.Go(func() { recordMaxDelay(&maxDelayNs, done) })
		tc.sleep(ctx, startupWait)
		tc.injectFaults(ctx)
		tc.sleep(ctx, finalWait)
	}
	close(done)
	running.Wait()
	tc.tearDown()
	if err != nil {
		return r, err
	}
	if ctx.Err() != nil {
		return r, ctx.Err()
	}
	tc.checkBudgets(&r)
	r.InjectedFaults, r.Lookups, r.UnservedLookups = tc.faultCounts, load.sent.Load(), load.unanswered.Load()
	if r.FirstUnserved, _ = load.firstUnanswered.Load().(string); r.UnservedLookups > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("%d lookups got no response in time from nodes that ran; the first: %s", r.UnservedLookups, r.FirstUnserved))
	}
	violationsBeforeLogs := len(r.Violations) // of limits, and by unserved lookups; if there are any, they count even in a void run
	r.Violations = append(append(r.Violations, tc.slowExits...), tc.checkLogs()...)
	summary, _ := json.MarshalIndent(map[string]any{"broken": r.Violations, "worst": r.PeakShares, "wholes": fmt.Sprint(tc.limits), "pauses": fmt.Sprint(tc.pauses),
		"processes": tc.nodeNames}, "", " ")
	_ = os.WriteFile(filepath.Join(tc.dir, "rig.json"), summary, 0o600)
	switch maxDelay := time.Duration(maxDelayNs.Load()); {
	case maxDelay > maxProcessDelay/2:
		r.VoidReason = fmt.Sprintf("the rig itself was delayed by %v: too few cores", maxDelay.Round(time.Millisecond))
	case r.Actions < 200:
		r.VoidReason = fmt.Sprintf("only %d actions", r.Actions)
	}
	if r.VoidReason != "" && violationsBeforeLogs == 0 {
		r.Violations = nil
	}
	return r, nil
}

// Values of loadFocus. It may also be 0 for the usual pattern, 1 + index if only that node is under load, or focusAll - (1 + index) if
// all nodes are under load and that one has the most.
const (
	focusNone = -1   // no node is under load
	focusAll  = -100 // all nodes are under load

	baseLookupsPerSecond = 50 // to each node in the usual pattern
)

// recordMaxDelay records by how much a timer of this process fires late at most, which shows whether the machine has too few cores.
func recordMaxDelay(maxNs *atomic.Int64, done <-chan struct{}) {
	for {
		beforeNs := bootTimeNs()
		select {
		case <-done:
			return
		case <-time.After(delayCheckInterval):
			maxNs.Store(max(maxNs.Load(), bootTimeNs()-beforeNs-int64(delayCheckInterval)))
		}
	}
}

const delayCheckInterval = 10 * time.Millisecond

// varyLoad varies the load of the nodes and restarts a cache from time to time. In the usual pattern a randomly chosen node gets
// five times the load of any other, and the total is above what the budgets allow.
func (tc *testCluster) varyLoad(load *loadGenerator, done <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(tc.plan.Seed, 31))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-done
		cancel()
	}()
	for step := 0; ctx.Err() == nil; step++ {
		hotNode := rnd.IntN(tc.plan.Nodes)
		for i := range load.lookupsPerSecond {
			perSecond := int64(baseLookupsPerSecond)
			switch focus := tc.loadFocus.Load(); {
			case focus == focusNone || focus > 0 && int(focus) != i+1: // another node is under load, or none
				perSecond = 1
			case int(focus) == i+1 || focus == focusAll-int32(i+1): // the node in focus
				perSecond = 8 * baseLookupsPerSecond
			case focus != 0: // all nodes are under load
				perSecond = 3 * baseLookupsPerSecond
			case i == hotNode:
				perSecond = 5 * baseLookupsPerSecond
			}
			load.lookupsPerSecond[i].Store(perSecond)
		}
		switch {
		case tc.loadFocus.Load() != 0:
			tc.sleep(ctx, 20*time.Millisecond)
		case step%4 == 1: // almost no load, then all nodes at once
			for i := range load.lookupsPerSecond {
				load.lookupsPerSecond[i].Store(1)
			}
			tc.sleep(ctx, 800*time.Millisecond)
			for i := range load.lookupsPerSecond {
				load.lookupsPerSecond[i].Store(8 * baseLookupsPerSecond)
			}
			tc.sleep(ctx, 200*time.Millisecond)
		case step%4 == 3:
			tc.countingBackends.restartCache(ctx)
		default:
			deadline := time.Now().Add(600*time.Millisecond + time.Duration(rnd.Int64N(int64(900*time.Millisecond))))
			for time.Now().Before(deadline) && tc.loadFocus.Load() == 0 && ctx.Err() == nil {
				tc.sleep(ctx, 20*time.Millisecond)
			}
		}
	}
}

// checkBudgets checks the arrivals at the counting backends against the limits.
func (tc *testCluster) checkBudgets(run *RunResult) {
	run.PeakShares, run.Utilization = map[string]float64{}, map[string]float64{}
	for budget, log := range tc.countingBackends.arrivalLogs {
		log.mu.Lock()
		arrivals := slices.Clone(log.arrivals)
		log.mu.Unlock()
		if budget == "cold" || budget == "links-0" || budget == "links-1" {
			// Arrivals around a pause don't count: a paused node can't learn that a cache restarted, and can't close connections.
			arrivals = slices.DeleteFunc(arrivals, func(a arrival) bool { return tc.pausedAround(a) })
		}
		var result limitResult
		if tc.limits[budget][0].concurrency {
			result = checkConcurrency(budget, arrivals, tc.limits[budget])
		} else {
			result = checkRate(budget, arrivals, tc.limits[budget])
		}
		run.Actions += result.actions
		run.Windows += result.windows
		run.PeakShares[budget], run.Utilization[budget] = result.peakShare, result.utilization
		run.Violations = append(run.Violations, result.violations[:min(3, len(result.violations))]...)
	}
	slices.Sort(run.Violations)
}

// pausedAround reports whether the node that caused an arrival was paused around that time: the arrival begins at most 3 s before a
// pause and 1.5 s after it, and doesn't end before it. If the node isn't known, the pause of any node counts. The exit of a process
// doesn't count as a pause.
func (tc *testCluster) pausedAround(a arrival) bool {
	const marginNs = int64(1500 * time.Millisecond)
	for _, p := range tc.pauses {
		if p.endNs < 1<<62 && (tc.nodeNames[p.pid] == a.node || a.node == "") && a.startNs < p.endNs+marginNs && (a.endNs == 0 || a.endNs > p.startNs) && a.startNs > p.startNs-marginNs*2 {
			return true
		}
	}
	return false
}
