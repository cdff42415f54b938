package faulttest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/loopback"
)

// Plan configures a run.
type Plan struct {
	Program            string // path of a binary built with the tag faults
	Nodes              int    // number of nodes; the first 3 are voters
	Seed               uint64
	DisabledSafeguard  string // name of a safeguard; empty: none is disabled
	OnlyFault          string // name of a fault; empty: all faults in turn
	KeepDir            string // directory for the histories of failed runs; empty: they are deleted
	testBudgets        bool   // the run tests budgets, not leases
	lastNodeStandalone bool   // the last node runs without the cluster
	Slot               int    // differs between runs that are active at the same time
}

const (
	voterCount       = 3
	leaseDuration    = 600 * time.Millisecond
	maxNetworkDelay  = 20 * time.Millisecond
	maxClockDrift    = 0.01
	widestClockDrift = 0.2 // the largest fleet.drift that a configuration accepts
	bootstrapTimeout = 15 * time.Second
	startupWait      = 500 * time.Millisecond  // time to settle, before a node joins late and before the first fault
	finalWait        = 1200 * time.Millisecond // after the last fault; two lease durations
	faultsPerRun     = 5
	maxProcessDelay  = leaseDuration / 6 // scheduling delay of a process that the test did not stop; a longer one shows that the machine has too few cores
)

// route identifies the relay from one node to another by the indexes of the nodes.
type route struct{ from, to int }

// testCluster is the cluster of one run, with its relays, backends and recorded events.
type testCluster struct {
	plan         Plan
	program      string
	dir          string
	rnd          *rand.Rand
	nodes        []*clusterNode
	relays       map[route]*relay
	resource     *guardedResource
	stubBackends *stubBackends
	faultCounts  map[string]int

	mu           sync.Mutex
	pauses       []pause
	holderLosses []holderLoss
	slowExits    []string      // a message for each process that took too long to exit
	excusedUntil map[int]int64 // boot time in ns until which lookups at a node may fail, by node index

	countingBackends *countingBackends  // only in runs that test budgets
	limits           map[string][]limit // by budget, in order of fromNs
	loadFocus        atomic.Int32       // which nodes are under load; its values are listed at focusNone
	nodeNames        map[int]string     // by PID
}

// recordExit records a process that took longer than maxExitTime to exit.
func (tc *testCluster) recordExit(node *clusterNode, elapsed time.Duration) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if elapsed > maxExitTime {
		tc.slowExits = append(tc.slowExits, fmt.Sprintf("%s took %v to exit", node.name, elapsed.Round(time.Millisecond)))
	}
}

// recordPause records a time in which a process was stopped, or the exit of a process.
func (tc *testCluster) recordPause(p pause) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.pauses = append(tc.pauses, p)
}

// ip returns the loopback address with the given last byte, in a range that no other active run uses.
func (tc *testCluster) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", loopback.Octet(), 1+tc.plan.Slot%250, host)
}

const (
	clientPort     = 7070
	clusterPort    = 7100
	firstAdminPort = 7200 // plus the number of processes that the node has started, modulo 100
	firstRelayPort = 8000 // plus the index of the target node
)

// setUp starts the backends, relays and nodes, and bootstraps the cluster.
func (tc *testCluster) setUp(ctx context.Context) error {
	discoveryAddr, err := tc.startBackends()
	if err != nil {
		return err
	}
	var voters []map[string]string
	for i := range voterCount {
		voters = append(voters, map[string]string{"name": fmt.Sprint("n", i), "address": fmt.Sprintf("%s:%d", tc.ip(i+1), clusterPort)})
	}
	for i := range tc.plan.Nodes {
		node, drift := tc.newNode(i)
		if err := os.Mkdir(node.pointsDir, 0o700); err != nil {
			return err
		}
		routes, err := tc.startRelays(node)
		if err != nil {
			return err
		}
		if err := tc.writeConfig(node, discoveryAddr, voters, routes, drift); err != nil {
			return err
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", node.ip, clientPort))
		if err != nil {
			return err
		}
		if node.clientSocket, err = listener.(*net.TCPListener).File(); err != nil {
			return err
		}
		_ = listener.Close()
		tc.nodes = append(tc.nodes, node)
		if tc.joinsLate(i) {
			continue // RunBudgets starts it later
		}
		if _, _, err := node.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(bootstrapTimeout); ; time.Sleep(50 * time.Millisecond) {
		out, err := tc.runCommand(ctx, 0, "fleet", "found")
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("cluster not bootstrapped: %w: %s", err, out)
		}
	}
}

// startBackends starts the guarded resource and the backends. It returns the address of the discovery service.
func (tc *testCluster) startBackends() (discoveryAddr string, err error) {
	if tc.resource, err = newGuardedResource(tc.ip(250)+":8600", strings.Contains(tc.plan.DisabledSafeguard, "door-token")); err != nil {
		return "", err
	}
	if tc.plan.testBudgets {
		if tc.countingBackends, err = newCountingBackends(tc.ip(251)); err != nil {
			return "", err
		}
		return tc.countingBackends.discoveryAddr, nil
	}
	if tc.stubBackends, err = newStubBackends(tc.ip(251)); err != nil {
		return "", err
	}
	return tc.stubBackends.discoveryAddr, nil
}

// newNode returns a node that is not started yet, and the fleet.drift of its configuration.
func (tc *testCluster) newNode(i int) (node *clusterNode, drift float64) {
	node = &clusterNode{cluster: tc, index: i, name: fmt.Sprint("n", i), ip: tc.ip(i + 1), configPath: filepath.Join(tc.dir, fmt.Sprintf("n%d.json", i)),
		pointsDir: filepath.Join(tc.dir, fmt.Sprintf("points%d", i)), clockRate: 1 + (2*tc.rnd.Float64()-1)*maxClockDrift*0.9}
	drift = maxClockDrift
	switch tc.plan.OnlyFault {
	case "clock-bound":
		drift = widestClockDrift
		// The voters, which can lead, are fast. The other nodes, which can hold leases, are slow.
		node.clockRate = []float64{1 + widestClockDrift*0.95, 1 - widestClockDrift*0.95}[min(1, i/voterCount)]
	case "clock-beyond":
		node.clockRate = []float64{0.6, 1}[i%2] // a slow node regards its lease as valid long after it has expired
	}
	if i < voterCount {
		node.folder = filepath.Join(tc.dir, fmt.Sprintf("voter%d", i))
	}
	return node, drift
}

// startRelays starts the relays from a node to all others. It returns their addresses, keyed by the
// address of the target.
func (tc *testCluster) startRelays(node *clusterNode) (routes map[string]string, err error) {
	routes = map[string]string{}
	for to := range tc.plan.Nodes {
		if to == node.index {
			continue
		}
		target := fmt.Sprintf("%s:%d", tc.ip(to+1), clusterPort)
		listenAddr := fmt.Sprintf("%s:%d", node.ip, firstRelayPort+to)
		if tc.relays[route{node.index, to}], err = newRelay(listenAddr, target); err != nil {
			return nil, err
		}
		routes[target] = listenAddr
	}
	return routes, nil
}

// writeConfig writes the configuration file of a node.
func (tc *testCluster) writeConfig(node *clusterNode, discoveryAddr string, voters []map[string]string, routes map[string]string, drift float64) error {
	clusterConfig := map[string]any{"name": "trial", "address": fmt.Sprintf("%s:%d", node.ip, clusterPort), "voters": voters, "routes": routes,
		"lease_ms": leaseDuration.Milliseconds(), "delay_ms": maxNetworkDelay.Milliseconds(), "drift": drift,
		"tasks": []string{"trial", "roll-up", "probe"}, "roll_up_ms": 1000}
	if node.folder != "" {
		clusterConfig["folder"] = node.folder
	}
	nodeConfig := map[string]any{"name": node.name, "listen": fmt.Sprintf("%s:%d", node.ip, clientPort),
		"discovery": discoveryAddr, "admin_addr": fmt.Sprintf("%s:%d", node.ip, firstAdminPort), "fleet": clusterConfig,
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512},
		"settings": map[string]any{"models": []string{"box", "origin"}, "domain": map[string]any{"mode": "aside", "origin-kind": 1},
			"permissions": map[string]any{"most-shots": 3},
			"namespaces":  []map[string]any{{"name": "read", "repeat": "safe", "target-time-ms": 400, "time-limit-ms": 900}}}}
	if tc.plan.testBudgets {
		tc.addBudgets(node.index, nodeConfig, clusterConfig)
	}
	if tc.plan.lastNodeStandalone {
		clusterConfig["tasks"] = []string{"roll-up", "probe"}
	}
	if tc.plan.lastNodeStandalone && node.index == tc.plan.Nodes-1 {
		delete(nodeConfig, "fleet")
	}
	data, _ := json.Marshal(nodeConfig)
	return os.WriteFile(node.configPath, data, 0o600)
}

// runCommand runs an operator's command of the program with the configuration of a node.
func (tc *testCluster) runCommand(ctx context.Context, nodeIndex int, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, tc.program, append(args, "--config", tc.nodes[nodeIndex].configPath)...)
	out, err := cmd.CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

// tearDown stops all processes, relays and servers of the run. It signals each process by its PID.
func (tc *testCluster) tearDown() {
	var stopping sync.WaitGroup
	for _, node := range tc.nodes {
		stopping.Go(func() {
			node.signal(syscall.SIGCONT)
			node.stop(syscall.SIGTERM)
			_ = node.clientSocket.Close()
		})
	}
	stopping.Wait()
	for _, r := range tc.relays {
		r.close()
	}
	if tc.resource != nil {
		_ = tc.resource.server.Close()
	}
	if tc.stubBackends != nil {
		tc.stubBackends.close()
	}
	if tc.countingBackends != nil {
		tc.countingBackends.close()
	}
}

// RunResult is the outcome of one run.
type RunResult struct {
	Seed              uint64
	Actions           int
	InjectedFaults    map[string]int             // number of times that each fault took effect
	FencingViolations int                        // stale tokens accepted, and histories of lease requests that are not linearizable
	Overlaps          int                        // of actions that no fencing token protects
	ExcusedOverlaps   int                        // overlaps while a process was paused, or its clock rate out of bounds
	FailoverTimes     map[string][]time.Duration // by fault
	Violations        []string
	VoidReason        string             // why the run is inconclusive; empty: it is conclusive
	Lookups           int64              // sent to the nodes during the run
	UnservedLookups   int64              // lookups that a running node did not answer with success
	FirstUnserved     string             // description of the first unserved lookup
	Windows           int                // time windows checked against the limits of budgets
	Utilization       map[string]float64 // mean use of each budget, as a share of its limit
	PeakShares        map[string]float64 // the fullest window of each budget, as a share of its limit
	HistoryDir        string             // directory with the files of a failed run; empty: they were not kept
}

// keepHistory moves the files of a failed run to KeepDir, and deletes those of any other run.
func (tc *testCluster) keepHistory(run *RunResult, err error, prefix string) {
	if len(run.Violations) == 0 && err == nil || tc.plan.KeepDir == "" {
		_ = os.RemoveAll(tc.dir)
		return
	}
	run.HistoryDir = filepath.Join(tc.plan.KeepDir, fmt.Sprintf("%s-%d", prefix, tc.plan.Seed))
	_ = os.RemoveAll(run.HistoryDir)
	if errors.Join(os.MkdirAll(tc.plan.KeepDir, 0o700), os.Rename(tc.dir, run.HistoryDir)) != nil {
		run.HistoryDir = tc.dir
	}
}

// RunLeases runs a cluster under faults and checks its leases.
func RunLeases(ctx context.Context, plan Plan) (r RunResult, err error) {
	r.Seed = plan.Seed
	tc := &testCluster{plan: plan, program: plan.Program, rnd: rand.New(rand.NewPCG(plan.Seed, 29)), relays: map[route]*relay{},
		faultCounts: map[string]int{}, excusedUntil: map[int]int64{}}
	if tc.dir, err = os.MkdirTemp("", "rig-"); err != nil {
		return r, err
	}
	defer func() { tc.keepHistory(&r, err, "seed") }()
	err = tc.setUp(ctx)
	done := make(chan struct{})
	var clients lookupClient
	var running sync.WaitGroup
	if err == nil {
		for _, node := range tc.nodes {
			running.Go(func() {
				clients.run(fmt.Sprintf("%s:%d", node.ip, clientPort), done, func(startNs int64) bool {
					tc.mu.Lock()
					defer tc.mu.Unlock()
					return startNs < tc.excusedUntil[node.index]
				})
			})
		}
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
	err = tc.checkLeases(&r, &clients)
	return r, err
}

// checkLeases checks the records of a run against the guarantees of leases, and sets the fields of its result.
func (tc *testCluster) checkLeases(r *RunResult, clients *lookupClient) error {
	history := &history{requests: tc.resource.requests, pauses: tc.pauses, holderLosses: tc.holderLosses,
		clocksBeyondBound: tc.plan.OnlyFault == "clock-beyond", leaseDuration: leaseDuration}
	recordPaths, _ := filepath.Glob(filepath.Join(tc.dir, "*.record"))
	for _, path := range recordPaths {
		events, err := readEvents(path)
		if err != nil {
			return err
		}
		history.events = append(history.events, events...)
	}
	slices.SortStableFunc(history.events, func(a, b event) int { return int(a.TimeNs - b.TimeNs) })
	summary, _ := json.Marshal(map[string]any{"passes": len(history.requests), "pauses": fmt.Sprint(history.pauses), "losses": fmt.Sprint(history.holderLosses)})
	_ = os.WriteFile(filepath.Join(tc.dir, "rig.json"), summary, 0o600)
	result := history.check()
	r.Actions, r.InjectedFaults = result.actions, tc.faultCounts
	r.FencingViolations = len(result.fencingViolations) + len(result.orderViolations)
	r.Overlaps, r.ExcusedOverlaps = len(result.overlaps), result.excusedOverlaps
	r.FailoverTimes, r.Violations = result.failoverTimes, result.violations()
	r.Lookups, r.UnservedLookups = clients.sent.Load(), clients.unserved.Load()
	if r.FirstUnserved, _ = clients.firstUnserved.Load().(string); r.UnservedLookups > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("%d lookups were not served by nodes that ran; the first: %s", r.UnservedLookups, r.FirstUnserved))
	}
	r.Violations = append(append(r.Violations, tc.slowExits...), tc.checkLogs()...)
	switch {
	case result.orderUnknown:
		r.VoidReason = "the check of the order of lease requests timed out"
	case result.maxDelay > maxProcessDelay:
		r.VoidReason = fmt.Sprintf("a process that the rig did not stop was delayed by %v: too few cores", result.maxDelay.Round(time.Millisecond))
	case result.actions == 0:
		r.VoidReason = "no node performed an action"
	}
	if r.VoidReason != "" && len(result.fencingViolations)+len(result.orderViolations) == 0 {
		r.Violations = nil // the other guarantees hold only for processes that get enough CPU time
	}
	return nil
}

// sleep waits for the duration, or until ctx is done.
func (tc *testCluster) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// checkLogs searches the nodes' logs for panics, and for roll-up periods that were written twice.
func (tc *testCluster) checkLogs() (violations []string) {
	writers := map[string]string{}
	for _, node := range tc.nodes {
		log, _ := os.ReadFile(filepath.Join(tc.dir, node.name+".log"))
		for line := range strings.SplitSeq(string(log), "\n") {
			if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				violations = append(violations, node.name+": "+line)
			}
			var rollUp struct{ Msg, Until string }
			if json.Unmarshal([]byte(line), &rollUp) == nil && rollUp.Msg == "roll-up" {
				if firstWriter, written := writers[rollUp.Until]; written {
					violations = append(violations, fmt.Sprintf("the roll-up period until %s was written by %s and %s", rollUp.Until, firstWriter, node.name))
				}
				writers[rollUp.Until] = node.name
			}
		}
	}
	return violations
}
