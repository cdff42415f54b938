package faulttest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// fault is a kind of fault. inject injects it, undoes it before it returns, and reports whether it took effect.
type fault struct {
	name, description string
	inject            func(tc *testCluster, ctx context.Context, node *clusterNode) bool
	needsVoter        bool // the node passed to inject must be a voter
}

const (
	overOneLease  = leaseDuration * 13 / 10 // longer than a lease with all its margins
	halfLease     = leaseDuration / 2
	responseDelay = 95 * time.Millisecond // slightly below the time limit of a call
)

// leaseFaults are the faults of runs that test leases, in the order in which the seeds go through them.
var leaseFaults = []fault{
	{"kill", "SIGKILL, and a restart half a lease later", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.restart(ctx, node, syscall.SIGKILL, halfLease, nil)
	}, false},
	{"kill-holder", "SIGKILL of the lease holder, and a restart after its lease has expired", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.restart(ctx, tc.lastHolder(node), syscall.SIGKILL, overOneLease, nil)
	}, false},
	{"term", "SIGTERM, and a restart half a lease later", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.restart(ctx, node, syscall.SIGTERM, halfLease, nil)
	}, false},
	{"stop", "SIGSTOP for longer than a lease, and SIGCONT", func(tc *testCluster, _ context.Context, node *clusterNode) bool {
		node = tc.lastHolder(node)
		tc.recordHolderLoss("stop", node, overOneLease+leaseDuration)
		return node.pause("", overOneLease)
	}, false},
	{"stop-before-act", "SIGSTOP of the lease holder between the check of the lease and the action", func(tc *testCluster, _ context.Context, node *clusterNode) bool {
		node = tc.lastHolder(node)
		tc.excuse(node, pointTimeout+overOneLease+leaseDuration)
		return node.pause("before-act", overOneLease)
	}, false},
	{"stop-in-act", "SIGSTOP of the lease holder during an action without a fencing token", func(tc *testCluster, _ context.Context, node *clusterNode) bool {
		node = tc.lastHolder(node)
		tc.excuse(node, pointTimeout+overOneLease+leaseDuration)
		return node.pause("in-act", overOneLease)
	}, false},
	{"stop-on-renewal", "SIGSTOP of the leader while renewals are queued", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		node = tc.leader(ctx, node)
		tc.excuse(node, pointTimeout+overOneLease+leaseDuration)
		return node.pause("on-renewal", overOneLease)
	}, true},
	{"cut", "a node is partitioned from all other nodes", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.changeRelays(ctx, "cut", tc.lastHolder(node), overOneLease+leaseDuration, func(toTarget, toDialer *relayDirection, active bool) {
			toTarget.blocked.Store(active)
			toDialer.blocked.Store(active)
		})
	}, false},
	{"part", "the leader, and the lease holder if it is not a voter, are partitioned from all other nodes", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		leader, holder := tc.leader(ctx, node), tc.lastHolder(node)
		isolated := map[int]bool{leader.index: true}
		if holder.index >= voterCount {
			isolated[holder.index] = true
		}
		setBlocked := func(active bool) {
			for route, r := range tc.relays {
				if isolated[route.from] != isolated[route.to] {
					r.toTarget.blocked.Store(active)
					r.toDialer.blocked.Store(active)
				}
			}
		}
		if isolated[holder.index] {
			tc.recordHolderLoss("part", holder, 0)
		}
		setBlocked(true)
		tc.sleep(ctx, overOneLease+2*leaseDuration)
		setBlocked(false)
		return true
	}, true},
	{"deaf", "a node can send but receives nothing", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.changeInbound(ctx, node, overOneLease, func(inbound *relayDirection, active bool) { inbound.blocked.Store(active) })
	}, true},
	{"slow", "all messages from and to a node are delayed by ten times the expected maximum", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.changeRelays(ctx, "", node, overOneLease, func(toTarget, toDialer *relayDirection, active bool) {
			delayNs := int64(0)
			if active {
				delayNs = int64(10 * maxNetworkDelay)
			}
			toTarget.delayNs.Store(delayNs)
			toDialer.delayNs.Store(delayNs)
		})
	}, false},
	{"reset", "all connections of a node to other nodes are reset three times", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		for range 3 {
			for route, r := range tc.relays {
				if route.from == node.index || route.to == node.index {
					r.resetAll()
				}
			}
			tc.sleep(ctx, halfLease/3)
		}
		return true
	}, false},
	{"power", "two of three voters lose power together", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		second := tc.nodes[(node.index+1)%voterCount]
		tc.excuse(second, 3*time.Second)
		second.stop(syscall.SIGKILL)
		injected := tc.restart(ctx, node, syscall.SIGKILL, halfLease, nil)
		_, _, err := second.start()
		return injected && err == nil
	}, true},
	{"folder-lost", "a voter restarts without its folder, and an operator replaces it", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.restart(ctx, node, syscall.SIGKILL, halfLease, func() { _ = os.RemoveAll(node.folder) }) && tc.replaceVoter(ctx, node)
	}, true},
	{"folder-cut", "a voter's log is truncated while it is down", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		injected := tc.restart(ctx, node, syscall.SIGKILL, halfLease, func() {
			path := filepath.Join(node.folder, "log.db")
			if info, err := os.Stat(path); err == nil {
				_ = os.Truncate(path, info.Size()/3)
			}
		})
		tc.sleep(ctx, halfLease)
		return injected && tc.restart(ctx, node, syscall.SIGTERM, halfLease, func() { _ = os.RemoveAll(node.folder) }) && tc.replaceVoter(ctx, node)
	}, true},
	{"folder-full", "a voter's files cannot grow", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		node.mu.Lock()
		pid := node.cmd.Process.Pid
		node.mu.Unlock()
		if unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}, nil) != nil {
			return false
		}
		tc.sleep(ctx, overOneLease)
		return tc.restart(ctx, node, syscall.SIGTERM, halfLease, nil)
	}, true},
	{"late-answers", "responses to nodes that are not voters are late, then the lease holder is partitioned", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		setDelay := func(delay time.Duration) {
			for route, r := range tc.relays {
				if route.from >= voterCount {
					r.toDialer.delayNs.Store(int64(delay))
				}
			}
		}
		setDelay(responseDelay)
		tc.sleep(ctx, 2*leaseDuration)
		injected := tc.changeRelays(ctx, "cut", tc.lastHolder(node), overOneLease, func(toTarget, toDialer *relayDirection, active bool) {
			toTarget.blocked.Store(active)
			toDialer.blocked.Store(active)
		})
		setDelay(0)
		return injected
	}, false},
	{"amnesia", "one voter is outdated, one loses its folder, and the third is down: the first two must not form a majority", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		outdated, restarted := tc.nodes[(node.index+1)%voterCount], tc.nodes[(node.index+2)%voterCount]
		setBlocked := func(active bool) {
			for route, r := range tc.relays {
				if route.from == outdated.index || route.to == outdated.index {
					r.toTarget.blocked.Store(active)
					r.toDialer.blocked.Store(active)
				}
			}
		}
		setBlocked(true)
		tc.sleep(ctx, overOneLease+leaseDuration) // the other two voters commit entries
		tc.excuse(restarted, 8*time.Second)
		tc.excuse(node, 8*time.Second)
		node.stop(syscall.SIGKILL)
		_ = os.RemoveAll(node.folder)
		restarted.stop(syscall.SIGKILL)
		_, _, err := node.start()
		setBlocked(false)
		tc.sleep(ctx, overOneLease+2*leaseDuration) // time in which the two voters must not elect a leader
		_, _, secondErr := restarted.start()
		tc.sleep(ctx, leaseDuration)
		return err == nil && secondErr == nil && tc.replaceVoter(ctx, node)
	}, true},
	{"upgrade", "the process of a node is replaced by a new one that inherits its socket", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		node = tc.lastHolder(node)
		previous, exited, err := node.start()
		if err != nil {
			return false
		}
		tc.excuse(node, halfLease) // until it has the endpoint list, the new process delays the requests that it accepts from the shared socket
		ready := node.waitReady()
		_ = previous.Process.Signal(syscall.SIGTERM)
		select {
		case <-exited:
			tc.sleep(ctx, halfLease)
			return ready
		case <-time.After(exitTimeout):
			_ = previous.Process.Kill()
			return false
		}
	}, false},
}

// clockFaults last for a whole run. They set the rates of the clocks.
var clockFaults = []fault{
	{name: "clock-bound", description: "clock rates up to a fifth off, as the configuration allows; the lease holder is partitioned"},
	{name: "clock-beyond", description: "clock rates far out of bounds; the lease holder is killed, stopped and partitioned"},
}

// FaultInfo is the name and description of a fault.
type FaultInfo struct{ Name, Description string }

// LeaseFaults lists the faults of runs that test leases.
func LeaseFaults() (infos []FaultInfo) {
	for _, f := range slices.Concat(leaseFaults, clockFaults) {
		infos = append(infos, FaultInfo{f.name, f.description})
	}
	return infos
}

// BudgetFaults lists the faults of runs that test budgets.
func BudgetFaults() (infos []FaultInfo) {
	for _, f := range append(budgetFaultOrder(), clockFaults[0]) {
		infos = append(infos, FaultInfo{f.name, f.description})
	}
	f, _ := faultByName("late-answers")
	return append(infos, FaultInfo{f.name, f.description})
}

func faultByName(name string) (fault, bool) {
	faults := slices.Concat(leaseFaults, budgetOnlyFaults)
	i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
	if i < 0 {
		return fault{}, false
	}
	return faults[i], true
}

// injectFaults injects faultsPerRun faults, one after another. Consecutive seeds go through the faults in turn, so that a few
// runs cover them all. The affected nodes and the times are random.
func (tc *testCluster) injectFaults(ctx context.Context) {
	candidates := leaseFaults
	if tc.plan.testBudgets {
		candidates = budgetFaultOrder()
	}
	for i := range faultsPerRun {
		f := candidates[(int(tc.plan.Seed)*faultsPerRun+i)%len(candidates)]
		if only, known := faultByName(tc.plan.OnlyFault); known {
			f = only
		}
		if tc.plan.testBudgets && tc.plan.OnlyFault == "late-answers" {
			f, _ = faultByName("handed-on")
		}
		switch tc.plan.OnlyFault {
		case "clock-bound":
			f, _ = faultByName("cut")
			if tc.plan.testBudgets {
				f, _ = faultByName("handed-on")
			}
		case "clock-beyond":
			f, _ = faultByName([]string{"kill-holder", "stop-before-act", "cut"}[tc.rnd.IntN(3)])
		}
		nodeIndex := tc.rnd.IntN(tc.plan.Nodes)
		if f.needsVoter {
			nodeIndex %= voterCount
		}
		if ctx.Err() != nil {
			return
		}
		tc.logf("%s at n%d", f.name, nodeIndex)
		if f.inject(tc, ctx, tc.nodes[nodeIndex]) {
			tc.faultCounts[f.name]++
		}
		tc.logf("%s over", f.name)
		tc.sleep(ctx, halfLease+time.Duration(tc.rnd.Int64N(int64(halfLease))))
	}
	if tc.plan.OnlyFault != "" && len(tc.faultCounts) > 0 {
		tc.faultCounts[tc.plan.OnlyFault] = max(1, tc.faultCounts[tc.plan.OnlyFault])
	}
}

// logf appends a line to the rig's own log, with the boot time and the wall time. The log is stored beside the nodes' logs.
func (tc *testCluster) logf(format string, args ...any) {
	f, err := os.OpenFile(filepath.Join(tc.dir, "rig.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer f.Close()
	fmt.Fprintf(f, "%d %s %s\n", bootTimeNs(), time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// lastHolder returns the node whose request the guarded resource accepted last, or fallback if there is none.
func (tc *testCluster) lastHolder(fallback *clusterNode) *clusterNode {
	name := tc.resource.lastHolder()
	for _, node := range tc.nodes {
		if node.name == name {
			return node
		}
	}
	return fallback
}

// leader returns the leader, or fallback if it is not known.
func (tc *testCluster) leader(ctx context.Context, fallback *clusterNode) *clusterNode {
	out, err := tc.runCommand(ctx, fallback.index, "fleet", "status")
	for _, node := range tc.nodes {
		if err == nil && strings.Contains(out, "led by "+node.name+".") {
			return node
		}
	}
	return fallback
}

// excuse allows lookups at a node to fail for the duration.
func (tc *testCluster) excuse(node *clusterNode, duration time.Duration) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.excusedUntil[node.index] = max(tc.excusedUntil[node.index], bootTimeNs()+int64(duration))
}

// recordHolderLoss records a holder loss if the node holds the lease, and excuses the node.
func (tc *testCluster) recordHolderLoss(faultName string, node *clusterNode, excusedFor time.Duration) {
	tc.excuse(node, excusedFor)
	if tc.resource.lastHolder() == node.name {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		tc.holderLosses = append(tc.holderLosses, holderLoss{faultName, node.name, bootTimeNs()})
	}
}

// restart stops the process of a node by a signal, and starts a new one after the downtime. whileDown may be nil.
func (tc *testCluster) restart(ctx context.Context, node *clusterNode, sig syscall.Signal, downtime time.Duration, whileDown func()) bool {
	faultName := "kill"
	if sig == syscall.SIGTERM {
		faultName = "term"
	}
	tc.recordHolderLoss(faultName, node, downtime+5*time.Second)
	node.stop(sig)
	tc.sleep(ctx, downtime)
	if whileDown != nil {
		whileDown()
	}
	_, _, err := node.start()
	return err == nil
}

// replaceVoter removes a voter that lost its folder, and adds the node as a new voter, as an operator does.
func (tc *testCluster) replaceVoter(ctx context.Context, node *clusterNode) bool {
	tc.sleep(ctx, halfLease)
	contactIndex := (node.index + 1) % voterCount
	_, _ = tc.runCommand(ctx, contactIndex, "fleet", "voter", "remove", node.name)
	for range 10 {
		if _, err := tc.runCommand(ctx, contactIndex, "fleet", "voter", "add", node.name, tc.ip(node.index+1)+":7100"); err == nil {
			return true
		}
		tc.sleep(ctx, halfLease)
	}
	return false
}

// changeRelays applies a change to all relays from and to a node for the duration. With a fault name, it records a holder loss
// if the node holds the lease.
func (tc *testCluster) changeRelays(ctx context.Context, faultName string, node *clusterNode, duration time.Duration, change func(toTarget, toDialer *relayDirection, active bool)) bool {
	setActive := func(active bool) {
		for route, r := range tc.relays {
			if route.from == node.index || route.to == node.index {
				change(&r.toTarget, &r.toDialer, active)
			}
		}
	}
	if faultName != "" {
		tc.recordHolderLoss(faultName, node, 0)
	}
	setActive(true)
	tc.sleep(ctx, duration)
	setActive(false)
	return true
}

// changeInbound applies a change to everything that a node receives, for the duration. It records a holder loss if the node
// holds the lease.
func (tc *testCluster) changeInbound(ctx context.Context, node *clusterNode, duration time.Duration, change func(inbound *relayDirection, active bool)) bool {
	setActive := func(active bool) {
		for route, r := range tc.relays {
			if route.to == node.index {
				change(&r.toTarget, active)
			}
			if route.from == node.index {
				change(&r.toDialer, active)
			}
		}
	}
	tc.recordHolderLoss("deaf", node, 0)
	setActive(true)
	tc.sleep(ctx, duration)
	setActive(false)
	return true
}
