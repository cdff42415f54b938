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

// The budgets of a run. What they bound is counted by the stand-ins.
const (
	fetchesPerSecond = 240.0 // a second at the origin
	acmePerSecond    = 60.0
	listsPerSecond   = 60.0
	coldPerSecond    = 30.0
	maxCacheConns    = 36
	spareNodes       = 2 // nodes that there may be beside those that there are

	longLeaseDuration = 1500 * time.Millisecond
	longResponseDelay = longLeaseDuration / 4 // nearly as late as a call may take
	quotaShiftTime    = 1300 * time.Millisecond
)

// sizes are what the seed of a run decides of its budgets.
func (tc *testCluster) budgetSizes() (burst int, reservedFraction float64, maxFetches int) {
	maxNodes := float64(tc.plan.Nodes + spareNodes)
	if tc.plan.Seed%2 == 0 && tc.plan.DisabledSafeguard == "" {
		return 8, 0, 60 // the rate is what is short
	}
	return 16, maxNodes/16 + 0.01, 3 + int(tc.plan.Seed)%9 // the number is; smaller than the fleet at times, so that units go round
}

// odd says whether a node comes late, with wholes of its own in its papers.
func (tc *testCluster) joinsLate(nodeIndex int) bool {
	return tc.plan.testBudgets && nodeIndex >= voterCount && nodeIndex == tc.plan.Nodes-1
}

// budgeted changes a node's papers for a run on budgets. The last node's have wholes of their own, which must not count.
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

func (tc *testCluster) setNodeName(pid int, name string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.nodeNames == nil {
		tc.nodeNames = map[int]string{}
	}
	tc.nodeNames[pid] = name
}

// dividing are the kinds of fault that runs on budgets have in turn.
func budgetFaultOrder() (faults []fault) {
	for _, name := range []string{"handed-on", "kill-third", "in-turn", "stop", "cut", "whole-lowered", "part", "handed-on-unled", "come-and-go", "deaf", "upgrade", "stop-on-renewal",
		"folder-lost", "kill", "slow", "reset", "power"} {
		f, _ := faultByName(name)
		faults = append(faults, f)
	}
	return faults
}

// ofBudgets are those that only such runs have. It is filled at the start, since kinds refer to each other by name.
var budgetOnlyFaults = []fault{
	{"handed-on", "one node alone has all, then it is cut off and all others want it", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.isolateLoadedNode(ctx, node, false)
	}, false},
	{"handed-on-unled", "the same, and the leader is killed meanwhile", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.isolateLoadedNode(ctx, node, true)
	}, false},
	{"in-turn", "each node in turn has nearly all, then nobody wants any, then all at once", func(tc *testCluster, ctx context.Context, _ *clusterNode) bool {
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
	{"kill-third", "SIGKILL of a third of all at once, and a start soon after", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
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
	{"come-and-go", "a node leaves and joins again, without pause", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		for range 3 {
			if !tc.restart(ctx, node, syscall.SIGTERM, 0, nil) {
				return false
			}
			tc.sleep(ctx, halfLease)
		}
		return true
	}, false},
	{"whole-lowered", "an operator lowers wholes under load, and raises them again", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		burst, _, maxFetches := tc.budgetSizes()
		lowered := max(tc.plan.Nodes+spareNodes, burst*5/8) // not below what is apart
		if burst == 8 {
			lowered = 5
		}
		setTotal := func(name string, total float64) bool {
			_, err := tc.runCommand(ctx, node.index, "budget", "set", name, fmt.Sprint(total))
			return err == nil
		}
		perUnit := fetchesPerSecond / float64(burst)
		if !setTotal("fetches", perUnit*float64(lowered)) || !setTotal("room", float64((maxFetches+1)/2)) {
			return false
		}
		tc.sleep(ctx, leaseDuration*125/100+100*time.Millisecond) // by then all that was out has come back
		tc.addLimit("fetches", limit{fromNs: bootTimeNs(), perSecond: perUnit * float64(lowered), max: float64(lowered)})
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

// long says whether leases are longer in a run: answers can be late by more then, and a leader is followed well within one.
func (tc *testCluster) usesLongLeases() bool {
	return tc.plan.OnlyFault == "late-answers" || tc.plan.OnlyFault == "handed-on-unled"
}

// handedOn lets a node that doesn't vote, or any where all do, come to have nearly all, and cuts it off while all want it.
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

func (tc *testCluster) addLimit(budget string, l limit) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.limits[budget] = append(tc.limits[budget], l)
}

// showsAt tells at which fault a safeguard is missed most.
var faultForSafeguard = map[string]string{"drift-margin": "clock-bound", "count-from-answer": "late-answers", "burst-kept": "in-turn",
	"leader-forgets": "handed-on-unled"}

// PlayBudgets plays one run on budgets.
func PlayBudgets(ctx context.Context, plan Plan) (r Run, err error) {
	plan.testBudgets = true
	if plan.OnlyFault == "" && plan.Seed%4 > 0 { // what is missing is looked for where it counts, and in a quarter anywhere
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
		tc.sleep(ctx, startupWait) // the wholes are agreed before the node with others comes
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
		r.Violations = append(r.Violations, fmt.Sprintf("%d lookups had no answer in time from nodes that ran; the first: %s", r.UnservedLookups, r.FirstUnserved))
	}
	limitViolations := len(r.Violations)
	r.Violations = append(append(r.Violations, tc.slowExits...), tc.checkLogs()...)
	summary, _ := json.MarshalIndent(map[string]any{"broken": r.Violations, "worst": r.PeakShares, "wholes": fmt.Sprint(tc.limits), "pauses": fmt.Sprint(tc.pauses),
		"processes": tc.nodeNames}, "", " ")
	_ = os.WriteFile(filepath.Join(tc.dir, "rig.json"), summary, 0o600)
	switch maxDelay := time.Duration(maxDelayNs.Load()); {
	case maxDelay > maxProcessDelay/2:
		r.VoidReason = fmt.Sprintf("the rig itself was %v late: too few cores", maxDelay.Round(time.Millisecond))
	case r.Actions < 200:
		r.VoidReason = fmt.Sprintf("%d acts only", r.Actions)
	}
	if r.VoidReason != "" && limitViolations == 0 {
		r.Violations = nil
	}
	return r, nil
}

// What demand may be fixed on, beside a node's number and one.
const (
	focusNone = -1
	focusAll  = -100 // less a node's number and one, which is asked most; all others much

	baseLookupsPerSecond = 50 // lookups a second before each node
)

// lateness notes how late the rig itself is for want of cores.
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

// shift moves the clients' demand about, and lets a cache start again now and then: one node has ten times what another has,
// and all together want twice what they may.
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
			case focus == focusNone || focus > 0 && int(focus) != i+1: // one alone
				perSecond = 1
			case int(focus) == i+1 || focus == focusAll-int32(i+1): // it goes on
				perSecond = 8 * baseLookupsPerSecond
			case focus != 0:
				perSecond = 3 * baseLookupsPerSecond
			case i == hotNode:
				perSecond = 5 * baseLookupsPerSecond
			}
			load.lookupsPerSecond[i].Store(perSecond)
		}
		switch {
		case tc.loadFocus.Load() != 0:
			tc.sleep(ctx, 20*time.Millisecond)
		case step%4 == 1: // a lull, and all at once
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

// judgeBudgets holds what the stand-ins saw against the wholes.
func (tc *testCluster) checkBudgets(run *Run) {
	run.PeakShares, run.Utilization = map[string]float64{}, map[string]float64{}
	for budget, log := range tc.countingBackends.arrivalLogs {
		log.mu.Lock()
		arrivals := slices.Clone(log.arrivals)
		log.mu.Unlock()
		if budget == "cold" || budget == "links-0" || budget == "links-1" {
			// Who stood still neither heard that a cache starts again nor could close a connection.
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

// stood says whether the node that an arrival is of stood still about then.
func (tc *testCluster) pausedAround(a arrival) bool {
	const marginNs = int64(1500 * time.Millisecond)
	for _, p := range tc.pauses {
		if p.endNs < 1<<62 && (tc.nodeNames[p.pid] == a.node || a.node == "") && a.startNs < p.endNs+marginNs && (a.endNs == 0 || a.endNs > p.startNs) && a.startNs > p.startNs-marginNs*2 {
			return true
		}
	}
	return false
}
