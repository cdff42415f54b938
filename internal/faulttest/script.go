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

// fault is one kind: it strikes, and heals before it returns. It says whether it really struck.
type fault struct {
	name, description string
	inject            func(tc *testCluster, ctx context.Context, node *clusterNode) bool
	needsVoter        bool // it strikes a voter
}

const (
	overOneLease  = leaseDuration * 13 / 10 // beyond a lease and all that is added to it
	halfLease     = leaseDuration / 2
	responseDelay = 95 * time.Millisecond // a little less than a call may take
)

var leaseFaults = []fault{
	{"kill", "SIGKILL, and a start soon after", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.restart(ctx, node, syscall.SIGKILL, halfLease, nil)
	}, false},
	{"kill-holder", "the same for whoever holds the lease", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.restart(ctx, tc.lastHolder(node), syscall.SIGKILL, overOneLease, nil)
	}, false},
	{"term", "SIGTERM, and a start soon after", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.restart(ctx, node, syscall.SIGTERM, halfLease, nil)
	}, false},
	{"stop", "SIGSTOP for longer than a lease, and SIGCONT", func(tc *testCluster, _ context.Context, node *clusterNode) bool {
		node = tc.lastHolder(node)
		tc.recordHolderLoss("stop", node, overOneLease+leaseDuration)
		return node.pause("", overOneLease)
	}, false},
	{"stop-before-act", "a stop exactly between the check and the act", func(tc *testCluster, _ context.Context, node *clusterNode) bool {
		node = tc.lastHolder(node)
		tc.excuse(node, pointTimeout+overOneLease+leaseDuration)
		return node.pause("before-act", overOneLease)
	}, false},
	{"stop-in-act", "a stop in the middle of an act that has no door", func(tc *testCluster, _ context.Context, node *clusterNode) bool {
		node = tc.lastHolder(node)
		tc.excuse(node, pointTimeout+overOneLease+leaseDuration)
		return node.pause("in-act", overOneLease)
	}, false},
	{"stop-on-renewal", "a stop of the leader, with renewals in its queues", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		node = tc.leader(ctx, node)
		tc.excuse(node, pointTimeout+overOneLease+leaseDuration)
		return node.pause("on-renewal", overOneLease)
	}, true},
	{"cut", "a process and all others hear nothing of each other", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.changeRelays(ctx, "cut", tc.lastHolder(node), overOneLease+leaseDuration, func(toTarget, toDialer *relayDirection, active bool) {
			toTarget.blocked.Store(active)
			toDialer.blocked.Store(active)
		})
	}, false},
	{"part", "the leader, and the holder if it doesn't vote, are cut off from all others", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
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
	{"deaf", "a process is heard, and hears nobody", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.changeInbound(ctx, node, overOneLease, func(inbound *relayDirection, active bool) { inbound.blocked.Store(active) })
	}, true},
	{"slow", "all ways of a process take ten delays more", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.changeRelays(ctx, "", node, overOneLease, func(toTarget, toDialer *relayDirection, active bool) {
			delayNs := int64(0)
			if active {
				delayNs = int64(10 * maxNetworkDelay)
			}
			toTarget.delayNs.Store(delayNs)
			toDialer.delayNs.Store(delayNs)
		})
	}, false},
	{"reset", "all connections of a process are reset, three times", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
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
	{"folder-lost", "a voter comes back without its folder, and is replaced by an operator", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		return tc.restart(ctx, node, syscall.SIGKILL, halfLease, func() { _ = os.RemoveAll(node.folder) }) && tc.replaceVoter(ctx, node)
	}, true},
	{"folder-cut", "a voter's log is cut short while it is down", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		injected := tc.restart(ctx, node, syscall.SIGKILL, halfLease, func() {
			path := filepath.Join(node.folder, "log.db")
			if info, err := os.Stat(path); err == nil {
				_ = os.Truncate(path, info.Size()/3)
			}
		})
		tc.sleep(ctx, halfLease)
		return injected && tc.restart(ctx, node, syscall.SIGTERM, halfLease, func() { _ = os.RemoveAll(node.folder) }) && tc.replaceVoter(ctx, node)
	}, true},
	{"folder-full", "a voter's files can't grow any more", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		node.mu.Lock()
		pid := node.cmd.Process.Pid
		node.mu.Unlock()
		if unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}, nil) != nil {
			return false
		}
		tc.sleep(ctx, overOneLease)
		return tc.restart(ctx, node, syscall.SIGTERM, halfLease, nil)
	}, true},
	{"late-answers", "who doesn't vote hears answers late, and then a holder among them nothing", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
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
	{"amnesia", "a voter is behind, one loses its folder, and the third is down: those two must not agree", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
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
		tc.sleep(ctx, overOneLease+leaseDuration) // the others go on, and agree on some entries
		tc.excuse(restarted, 8*time.Second)
		tc.excuse(node, 8*time.Second)
		node.stop(syscall.SIGKILL)
		_ = os.RemoveAll(node.folder)
		restarted.stop(syscall.SIGKILL)
		_, _, err := node.start()
		setBlocked(false)
		tc.sleep(ctx, overOneLease+2*leaseDuration) // room for what must not happen
		_, _, secondErr := restarted.start()
		tc.sleep(ctx, leaseDuration)
		return err == nil && secondErr == nil && tc.replaceVoter(ctx, node)
	}, true},
	{"upgrade", "a node is replaced by its next process on the passed socket", func(tc *testCluster, ctx context.Context, node *clusterNode) bool {
		node = tc.lastHolder(node)
		previous, exited, err := node.start()
		if err != nil {
			return false
		}
		tc.excuse(node, halfLease) // until it has the list, the next one defers what it takes from the socket of both
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

// The kinds that reign over a whole run: how the clocks go.
var clockFaults = []fault{
	{name: "clock-bound", description: "clocks up to a fifth off, as the configuration allows; with cuts of the holder"},
	{name: "clock-beyond", description: "clocks of unlike rate far beyond the bound; with kills and stops of the holder"},
}

// FaultInfo names and describes a fault.
type FaultInfo struct{ Name, Description string }

// FaultKinds tells them by name, in order.
func LeaseFaults() (infos []FaultInfo) {
	for _, f := range slices.Concat(leaseFaults, clockFaults) {
		infos = append(infos, FaultInfo{f.name, f.description})
	}
	return infos
}

// BudgetKinds tells those of runs on budgets.
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

// script strikes one fault after another, each healed before the next. Over the seeds the kinds come in turn, so that some
// runs have them all; whom they strike, and when, is chance.
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

// log writes a line of the rig's own, by the boot clock and the wall's, beside the nodes' logs.
func (tc *testCluster) logf(format string, args ...any) {
	f, err := os.OpenFile(filepath.Join(tc.dir, "rig.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer f.Close()
	fmt.Fprintf(f, "%d %s %s\n", bootTimeNs(), time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// holder gives whoever acted last at the door, or the process at hand.
func (tc *testCluster) lastHolder(fallback *clusterNode) *clusterNode {
	name := tc.resource.lastHolder()
	for _, node := range tc.nodes {
		if node.name == name {
			return node
		}
	}
	return fallback
}

// leader gives whoever leads, or the process at hand.
func (tc *testCluster) leader(ctx context.Context, fallback *clusterNode) *clusterNode {
	out, err := tc.runCommand(ctx, fallback.index, "fleet", "status")
	for _, node := range tc.nodes {
		if err == nil && strings.Contains(out, "led by "+node.name+".") {
			return node
		}
	}
	return fallback
}

// touch excuses a process from serving its clients for a while.
func (tc *testCluster) excuse(node *clusterNode, duration time.Duration) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.excusedUntil[node.index] = max(tc.excusedUntil[node.index], bootTimeNs()+int64(duration))
}

// lost notes that a holder is struck, if it is one.
func (tc *testCluster) recordHolderLoss(faultName string, node *clusterNode, excusedFor time.Duration) {
	tc.excuse(node, excusedFor)
	if tc.resource.lastHolder() == node.name {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		tc.holderLosses = append(tc.holderLosses, holderLoss{faultName, node.name, bootTimeNs()})
	}
}

// again ends a process, and starts the node's next.
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

// replaced lets an operator remove the voter that was, and add the one that is.
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

// way changes all ways of a process for a while. With a kind it is a loss, if the process holds the lease.
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

// oneWay changes all that a process would hear.
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
