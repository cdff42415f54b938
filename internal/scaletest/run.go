//go:build faults

package scaletest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/faulttest"
)

const (
	clientPort         = 6070
	clusterPort        = 6100
	discoveryPort      = 6500
	relayPort          = 6600
	cachePort          = 6700
	hollowNodePrefix   = "h"
	budgetName         = "fetches"
	budgetRatePerNode  = 20.0 // per second, of the budget's limit
	limitCheckInterval = 500 * time.Millisecond
)

// run is the state of a run.
type run struct {
	*Plan
	resources     Resources
	ctx           context.Context
	dir           string
	logf          func(format string, args ...any)
	entries       []Entry
	baseHeapBytes uint64 // live heap of a host without hollow nodes

	discovery      *process
	voters         []*process
	hosts          []*process // by rack
	realNodes      []*process
	relays         []*faulttest.Relay // between the partitioned region and the voters and the discovery service
	cacheServers   []*http.Server
	client         *cluster.Client
	lookups        faulttest.Lookups
	lookupClients  sync.WaitGroup
	done           chan struct{}
	configRevision int             // number of times that the configuration files were written
	configPadding  json.RawMessage // in each hollow node's, real node's and voter's file
	budgetLimit    float64
	nodeEvents     []NodeEvent
	report         Report
	stalls         stallMonitor
}

// Report is the result of a run.
type Report struct {
	Measurements   []Measurement
	Lines          []string
	ExceededBounds []string
	VoidReason     string // why exceeded bounds show nothing about the program; empty if they do
}

// hollowConfigFile returns the name of a hollow node's configuration file.
func hollowConfigFile(node int) string { return fmt.Sprintf("%s%d.json", hollowNodePrefix, node) }

// loopbackIP returns an address of the loopback network. Addresses of runs at the same time differ by the process id.
func loopbackIP(index int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, index/250, 1+index%250)
}

// Indexes of loopback addresses. The voters have the first ones, then the real nodes, then the hollow nodes.
const (
	discoveryAddrIndex  = 60_000
	firstRelayAddrIndex = 60_010
	firstCacheAddrIndex = 60_100
)

// Run runs the plan. It writes progress by logf. When it returns, even with an error, the processes that it started have ended and
// the files that it wrote are removed.
func Run(ctx context.Context, plan Plan, logf func(format string, args ...any)) (report Report, err error) {
	resources, err := availableResources()
	if err == nil {
		err = plan.CheckFits(resources)
	}
	if err != nil {
		return report, err
	}
	limitedCtx, stop := context.WithTimeout(ctx, plan.MaxDuration())
	defer stop()
	runCtx, fail := context.WithCancelCause(limitedCtx)
	defer fail(nil)
	r := &run{Plan: &plan, resources: resources, ctx: runCtx, logf: logf, done: make(chan struct{}),
		budgetLimit: budgetRatePerNode * float64(plan.HollowNodes+plan.RealNodes+voterCount)}
	if r.dir, err = os.MkdirTemp("", "scale-"); err != nil {
		return report, err
	}
	defer func() {
		r.tearDown()
		err = errors.Join(err, os.RemoveAll(r.dir))
	}()
	r.defineProcesses()
	go r.enforceLimits(fail)
	go r.stalls.watch(runCtx)
	if err = r.runPhases(); err != nil && runCtx.Err() != nil {
		err = context.Cause(runCtx)
	}
	if longestStallNs := r.stalls.longestNs.Load(); len(r.report.ExceededBounds) > 0 && time.Duration(longestStallNs) > maxStall {
		r.report.VoidReason = fmt.Sprintf("the machine did not schedule the test process for %v", time.Duration(longestStallNs).Round(time.Millisecond))
	}
	return r.report, err
}

// enforceLimits cancels the run if it exceeds the limits on memory or processes. The estimate before the run may be wrong.
func (r *run) enforceLimits(fail context.CancelCauseFunc) {
	for ticker := time.NewTicker(limitCheckInterval); ; {
		select {
		case <-r.ctx.Done():
			ticker.Stop()
			return
		case <-ticker.C:
		}
		totalResidentBytes, processes := residentBytes(os.Getpid()), 1
		for _, p := range r.processes() {
			if p.isRunning() {
				totalResidentBytes += residentBytes(p.pid())
				processes++
			}
		}
		if err := checkRunLimits(totalResidentBytes, processes); err != nil {
			fail(err)
		}
	}
}

// defineProcesses defines all processes and the endpoint list before any process starts.
func (r *run) defineProcesses() {
	discoveryAddress := fmt.Sprintf("%s:%d", loopbackIP(discoveryAddrIndex), discoveryPort)
	r.discovery = &process{name: "discovery", dir: r.dir, acceptsCommands: true, args: []string{"trial", "directory", "--address", discoveryAddress}}
	if r.Includes(ScenarioLease) {
		for i := range voterCount {
			r.voters = append(r.voters, r.nodeProcess(fmt.Sprint("v", i)))
		}
	}
	for i := range r.RealNodes {
		r.realNodes = append(r.realNodes, r.nodeProcess(fmt.Sprint("r", i)))
	}
	for rack := range r.Zones() * racksPerZone {
		p := &process{name: fmt.Sprint("rack", rack), dir: r.dir, acceptsCommands: true, args: []string{"trial", "hollow", "--folder", r.dir,
			"--name", fmt.Sprint("rack", rack), "--seed", fmt.Sprint(r.Seed), fmt.Sprint("--quiet=", r.NoLoad)}}
		for n := range r.HollowNodes {
			if r.PlaceOf(n).Rack == rack {
				p.nodes = append(p.nodes, n)
			}
		}
		r.hosts = append(r.hosts, p)
	}
	for i := range r.CacheServers {
		place := r.PlaceOf(i)
		r.entries = append(r.entries, Entry{ID: fmt.Sprintf("cache-%05d", i), Address: fmt.Sprintf("%s:%d", loopbackIP(firstCacheAddrIndex+i%maxCacheListeners), cachePort),
			Kind: "box", State: "Ready", Region: fmt.Sprint("region-", place.Region), Zone: fmt.Sprint("zone-", place.Zone)})
	}
	r.entries = append(r.entries, Entry{ID: "origin", Address: fmt.Sprintf("%s:%d", loopbackIP(firstCacheAddrIndex+maxCacheListeners), cachePort), Kind: "origin",
		State: "Ready", Region: "region-0", Zone: "zone-0"})
}

// nodeProcess returns the process of a voter or a real node.
func (r *run) nodeProcess(name string) *process {
	return &process{name: name, dir: r.dir, args: []string{"serve", "--config", filepath.Join(r.dir, name+".json")}}
}

// processes returns all processes of the run.
func (r *run) processes() []*process {
	return slices.Concat([]*process{r.discovery}, r.voters, r.realNodes, r.hosts)
}

// tearDown stops all processes by their ids, and closes the client, the relays and the cache servers.
func (r *run) tearDown() {
	select {
	case <-r.done:
	default:
		close(r.done)
	}
	r.lookupClients.Wait()
	if r.client != nil {
		r.client.Close()
	}
	var stopping sync.WaitGroup
	for _, p := range r.processes() {
		stopping.Go(func() { p.stop(syscall.SIGKILL) }) // no graceful shutdown is needed, as the run's files are removed
	}
	stopping.Wait()
	for _, relay := range r.relays {
		relay.Close()
	}
	for _, server := range r.cacheServers {
		_ = server.Close()
	}
}

// writeNodeConfig writes the configuration file of a node. With viaRelays the node reaches the voters and the discovery service
// over the relays. The file is replaced atomically.
func (r *run) writeNodeConfig(name string, addrIndex int, isVoter, viaRelays bool) error {
	discovery := fmt.Sprintf("%s:%d", loopbackIP(discoveryAddrIndex), discoveryPort)
	routes := map[string]string{}
	var voterList []map[string]string
	for i := range voterCount {
		clusterAddress := fmt.Sprintf("%s:%d", loopbackIP(i), clusterPort)
		voterList = append(voterList, map[string]string{"name": fmt.Sprint("v", i), "address": clusterAddress})
		routes[clusterAddress] = fmt.Sprintf("%s:%d", loopbackIP(firstRelayAddrIndex), relayPort+i)
	}
	sockets := 1024
	if isVoter {
		sockets = r.voterSocketLimit(r.resources.Descriptors)
	}
	file := map[string]any{"name": name, "listen": fmt.Sprintf("%s:%d", loopbackIP(addrIndex), clientPort), "discovery": discovery,
		"limits": map[string]any{"cores": 1, "memory_mb": 256, "sockets": sockets},
		"settings": map[string]any{"balancers": r.HollowNodes + r.RealNodes, "models": []string{"box", "origin"},
			"domain":      map[string]any{"mode": "aside", "origin-kind": 1},
			"permissions": map[string]any{"most-shots": 3},
			"namespaces":  []map[string]any{{"name": "read", "repeat": "safe", "target-time-ms": 400, "time-limit-ms": 900}}}}
	if r.Includes(ScenarioLease) {
		clusterSection := map[string]any{"name": "scale", "address": fmt.Sprintf("%s:%d", loopbackIP(addrIndex), clusterPort), "voters": voterList}
		if isVoter {
			clusterSection["folder"], clusterSection["tasks"] = filepath.Join(r.dir, name+"-vote"), []string{"probe"}
		}
		if r.Includes(ScenarioBudget) {
			clusterSection["nodes"] = r.HollowNodes + r.RealNodes + voterCount
			limit := budgetRatePerNode * float64(r.HollowNodes+r.RealNodes+voterCount)
			clusterSection["budgets"] = []map[string]any{{"name": budgetName, "kind": "rate", "bounds": "origin", "whole": limit, "burst": 2 * int(limit)}}
		}
		if viaRelays {
			clusterSection["routes"] = routes
		}
		file["fleet"] = clusterSection
	}
	if viaRelays {
		file["discovery"] = fmt.Sprintf("%s:%d", loopbackIP(firstRelayAddrIndex), relayPort+voterCount)
	}
	if r.ConfigFileKB > 0 {
		file["notes"] = r.configPadding
	}
	encoded, err := json.Marshal(file)
	if err != nil {
		return err
	}
	path := filepath.Join(r.dir, name+".json")
	if err := os.WriteFile(path+".new", encoded, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// writeConfigs writes the configuration files of all nodes.
func (r *run) writeConfigs() (err error) {
	r.configRevision++
	padding := map[string]any{"revision": r.configRevision} // nodes ignore unknown keys; these make the files as large as real ones
	for i := range r.ConfigFileKB * 16 {
		padding[fmt.Sprintf("note-%05d", i)] = fmt.Sprintf("%048d", i)
	}
	if r.configPadding, err = json.Marshal(padding); err != nil {
		return err
	}
	for i, p := range r.voters {
		err = errors.Join(err, r.writeNodeConfig(p.name, i, true, false))
	}
	for i, p := range r.realNodes {
		err = errors.Join(err, r.writeNodeConfig(p.name, voterCount+i, false, false))
	}
	for n := range r.HollowNodes {
		viaRelays := r.Includes(ScenarioPartition) && r.PlaceOf(n).Region == 0
		err = errors.Join(err, r.writeNodeConfig(fmt.Sprint(hollowNodePrefix, n), voterCount+r.RealNodes+n, false, viaRelays))
	}
	return err
}

// inParallel calls do for all processes at once and joins the errors.
func inParallel(processes []*process, do func(*process) error) error {
	errs := make([]error, len(processes))
	var running sync.WaitGroup
	for i, p := range processes {
		running.Go(func() { errs[i] = do(p) })
	}
	running.Wait()
	return errors.Join(errs...)
}

// sleep waits for the duration or until the run is canceled.
func (r *run) sleep(duration time.Duration) {
	select {
	case <-r.ctx.Done():
	case <-time.After(duration):
	}
}

// runPhases starts everything and runs the phases of the plan in order.
func (r *run) runPhases() error {
	if err := r.start(); err != nil {
		return err
	}
	r.sleep(settleDuration)
	if err := r.fetchNodeEvents(); err != nil {
		return err
	}
	if err := r.runPhase("peace", r.steadyChanges()); err != nil {
		return err
	}
	for _, scenario := range AllScenarios {
		if !r.Includes(scenario) || r.ctx.Err() != nil {
			continue
		}
		var err error
		switch scenario {
		case ScenarioChurn:
			err = r.runPhase(ScenarioChurn, r.churnChanges())
		case ScenarioRestart, ScenarioRackLoss, ScenarioZoneLoss, ScenarioRegionLoss:
			err = r.loseAndRestore(scenario)
		case ScenarioPartition:
			err = r.runPartition()
		case ScenarioDiscoveryOutage:
			err = r.runDiscoveryOutage()
		case ScenarioLeaderKill:
			err = r.killLeader()
		default:
			continue
		}
		if err != nil {
			return err
		}
	}
	if r.RealNodes > 0 && !r.NoLoad {
		lookups, unserved, firstReason := r.lookups.Verdict()
		r.addLine("lookups at %d real nodes: %d, left unserved by a running node: %d", r.RealNodes, lookups, unserved)
		if unserved > 0 || lookups == 0 {
			r.addExceededBound("%d of %d lookups were not served by nodes that ran; the first: %s", unserved, lookups, firstReason)
		}
	}
	return r.ctx.Err()
}

// addLine adds a line to the report and logs it.
func (r *run) addLine(format string, args ...any) {
	r.report.Lines = append(r.report.Lines, fmt.Sprintf(format, args...))
	r.logf(format, args...)
}

// addExceededBound adds an exceeded bound to the report.
func (r *run) addExceededBound(format string, args ...any) {
	r.report.ExceededBounds = append(r.report.ExceededBounds, fmt.Sprintf(format, args...))
}

// addMeasurement adds a measured value to the report.
func (r *run) addMeasurement(phase, role, metric string, value float64) {
	r.report.Measurements = append(r.report.Measurements, Measurement{r.HollowNodes, r.RealNodes, r.CacheServers, r.Seed, phase, role, metric, value})
}

// start starts all processes, and then all hollow nodes at once. It returns once the nodes are ready.
func (r *run) start() (err error) {
	if err = r.writeConfigs(); err != nil {
		return err
	}
	if err = r.discovery.start(r.Program); err != nil {
		return err
	}
	if _, err = r.discovery.send(command{Name: "open", Entries: r.entries}); err != nil {
		return err
	}
	if r.RealNodes > 0 && !r.NoLoad {
		for i := range min(r.CacheServers, maxCacheListeners) {
			if err = r.startCacheServer(firstCacheAddrIndex + i); err != nil {
				return err
			}
		}
		if err = r.startCacheServer(firstCacheAddrIndex + maxCacheListeners); err != nil {
			return err
		}
	}
	if r.Includes(ScenarioPartition) {
		for i := range voterCount + 1 {
			target := fmt.Sprintf("%s:%d", loopbackIP(i), clusterPort)
			if i == voterCount {
				target = fmt.Sprintf("%s:%d", loopbackIP(discoveryAddrIndex), discoveryPort)
			}
			relay, err := faulttest.NewRelay(fmt.Sprintf("%s:%d", loopbackIP(firstRelayAddrIndex), relayPort+i), target)
			if err != nil {
				return err
			}
			r.relays = append(r.relays, relay)
		}
	}
	if r.Includes(ScenarioLease) {
		if err = inParallel(r.voters, func(p *process) error { return p.start(r.Program) }); err != nil {
			return err
		}
		clusterConfig, err := config.ReadCluster(filepath.Join(r.dir, "v0.json"))
		if err != nil {
			return err
		}
		r.client = cluster.NewClient(clusterConfig, zap.NewNop())
		for deadline := time.Now().Add(startStopTimeout); ; r.sleep(50 * time.Millisecond) {
			if err = r.client.FoundCluster(0); err == nil {
				break
			}
			if time.Now().After(deadline) || r.ctx.Err() != nil {
				return fmt.Errorf("cluster was not founded: %w", err)
			}
		}
	}
	if err = inParallel(slices.Concat(r.hosts, r.realNodes), func(p *process) error { return p.start(r.Program) }); err != nil {
		return err
	}
	usage, err := r.hosts[0].usage()
	if err != nil {
		return err
	}
	r.baseHeapBytes = usage.Heap
	startNs := faulttest.Boot()
	if err = inParallel(r.hosts, func(p *process) error { _, err := p.send(command{Name: "start", Nodes: p.nodes}); return err }); err != nil {
		return err
	}
	if err = r.awaitRecovery("start", startNs, maxRecovery); err != nil {
		return err
	}
	if r.RealNodes > 0 && !r.NoLoad {
		for i, p := range r.realNodes {
			address := fmt.Sprintf("%s:%d", loopbackIP(voterCount+i), clientPort)
			if !r.waitUntilServing(address) {
				return fmt.Errorf("%s did not become ready", p.name)
			}
			r.lookupClients.Go(func() { r.lookups.Ask(address, r.done, func(int64) bool { return false }) })
		}
	}
	return r.ctx.Err()
}

// waitUntilServing reports whether a real node becomes ready within startStopTimeout.
func (r *run) waitUntilServing(address string) bool {
	httpClient := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startStopTimeout); time.Now().Before(deadline) && r.ctx.Err() == nil; r.sleep(20 * time.Millisecond) {
		if resp, err := httpClient.Get("http://" + address + "/up"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// startCacheServer starts a simulated cache server or origin.
func (r *run) startCacheServer(addrIndex int) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopbackIP(addrIndex), cachePort))
	if err != nil {
		return err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(responseWriter http.ResponseWriter, _ *http.Request) { fmt.Fprint(responseWriter, "value") })}
	r.cacheServers = append(r.cacheServers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// fetchNodeEvents replaces nodeEvents by the events that the hosts have recorded since the last fetch.
func (r *run) fetchNodeEvents() error {
	var mu sync.Mutex
	r.nodeEvents = nil
	return inParallel(r.hosts, func(p *process) error {
		if !p.isRunning() {
			return nil
		}
		fetched, err := p.send(command{Name: "marks"})
		mu.Lock()
		defer mu.Unlock()
		r.nodeEvents = append(r.nodeEvents, fetched.NodeEvents...)
		return err
	})
}

// appendNodeEvents fetches the new events and keeps the earlier ones.
func (r *run) appendNodeEvents() error {
	earlier := r.nodeEvents
	err := r.fetchNodeEvents()
	r.nodeEvents = append(earlier, r.nodeEvents...)
	return err
}

// nodesOutside returns the numbers of all hollow nodes outside the racks.
func (r *run) nodesOutside(racks map[int]bool) (nodes []int) {
	for n := range r.HollowNodes {
		if !racks[r.PlaceOf(n).Rack] {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// requiredEvents returns the kinds of events that each node has after a start.
func (r *run) requiredEvents() (kinds []string) {
	kinds = []string{eventListInForce}
	if r.Includes(ScenarioLease) {
		kinds = append(kinds, eventLeaseAcquired)
	}
	if r.Includes(ScenarioBudget) {
		kinds = append(kinds, eventQuotasReceived)
	}
	return kinds
}

// eventLabels maps kinds of events to their names in the report.
var eventLabels = map[string]string{eventListInForce: "list", eventLeaseAcquired: "lease", eventQuotasReceived: "part", eventConfigInForce: "configuration"}

// awaitRecovery waits until each node that has started since sinceNs has its required events, and reports how long they took.
func (r *run) awaitRecovery(phase string, sinceNs int64, timeout time.Duration) error {
	r.nodeEvents = nil
	for deadline := time.Now().Add(timeout); ; r.sleep(200 * time.Millisecond) {
		if err := r.appendNodeEvents(); err != nil {
			return err
		}
		eventsByNode, missing := groupByNode(r.nodeEvents), 0
		for _, kind := range r.requiredEvents() {
			missing += startLatencies(eventsByNode, r.nodesOutside(nil), sinceNs, kind, timeout).Missing
		}
		if timedOut := time.Now().After(deadline); missing == 0 || timedOut || r.ctx.Err() != nil {
			break
		}
	}
	eventsByNode := groupByNode(r.nodeEvents)
	for _, kind := range r.requiredEvents() {
		r.reportLatencies(phase, eventLabels[kind]+" after a start", startLatencies(eventsByNode, r.nodesOutside(nil), sinceNs, kind, timeout))
	}
	return r.ctx.Err()
}

// reportLatencies adds latencies to the report, as measurements and as a line. Missing events are an exceeded bound.
func (r *run) reportLatencies(phase, label string, latencies Latencies) {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	if latencies.PerNode.TotalCount() > 0 {
		for _, percentile := range []float64{50, 99, 100} {
			name := fmt.Sprintf("p%g", percentile)
			if percentile == 100 {
				name = "worst"
			}
			r.addMeasurement(phase, "node", fmt.Sprintf("%s %s ms", label, name), ms(latencies.PerNode.ValueAtPercentile(percentile)))
			r.addMeasurement(phase, "last node", fmt.Sprintf("%s %s ms", label, name), ms(latencies.LastNode.ValueAtPercentile(percentile)))
		}
		r.addLine("%s: %s: p50 %.1f, p99 %.1f, worst %.1f ms of %d; at the last node p50 %.1f, p99 %.1f, worst %.1f of %d; missing %d", phase, label,
			ms(latencies.PerNode.ValueAtPercentile(50)), ms(latencies.PerNode.ValueAtPercentile(99)), ms(latencies.PerNode.Max()),
			latencies.PerNode.TotalCount(),
			ms(latencies.LastNode.ValueAtPercentile(50)), ms(latencies.LastNode.ValueAtPercentile(99)), ms(latencies.LastNode.Max()),
			latencies.LastNode.TotalCount(), latencies.Missing)
	}
	if r.addMeasurement(phase, "node", label+" missing", float64(latencies.Missing)); latencies.Missing > 0 {
		r.addExceededBound("%s: %s: %d times not in time", phase, label, latencies.Missing)
	}
}

// usageByProcess returns the usage of all processes.
func (r *run) usageByProcess() (map[*process]processUsage, error) {
	usages := map[*process]processUsage{}
	var mu sync.Mutex
	return usages, inParallel(r.processes(), func(p *process) error {
		u, err := p.usage()
		mu.Lock()
		defer mu.Unlock()
		usages[p] = u
		return err
	})
}

// startMeasurement discards the events so far and returns what each process has used so far.
func (r *run) startMeasurement() (map[*process]processUsage, error) {
	if err := r.fetchNodeEvents(); err != nil {
		return nil, err
	}
	r.nodeEvents = nil
	return r.usageByProcess()
}

// leaderIndex returns the index of the leader among the voters, or -1 if no leader is known.
func (r *run) leaderIndex() int {
	if r.client == nil {
		return -1
	}
	s, err := r.client.Status()
	if err != nil {
		return -1
	}
	return slices.IndexFunc(r.voters, func(p *process) bool { return p.name == s.Node })
}

// changeEntries changes entries of the endpoint list.
func (r *run) changeEntries(entries []Entry) (AppliedChange, error) {
	response, err := r.discovery.send(command{Name: "change", Entries: entries})
	return AppliedChange{response.BootTimeNs, response.Version}, err
}

// reloadConfigs rewrites all configuration files and makes all nodes except the voters reload them.
func (r *run) reloadConfigs() (AppliedChange, error) {
	if err := r.writeConfigs(); err != nil {
		return AppliedChange{}, err
	}
	startNs := faulttest.Boot()
	err := inParallel(r.hosts, func(p *process) error { _, err := p.send(command{Name: "reload"}); return err })
	for _, p := range r.realNodes {
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	}
	return AppliedChange{BootTimeNs: startNs}, err
}

// runPhase applies the scheduled changes, and reports how long they took and what the processes used.
func (r *run) runPhase(name string, schedule []ScheduledChange) error {
	leader := r.leaderIndex()
	before, err := r.usageByProcess()
	if err != nil {
		return err
	}
	if err := r.fetchNodeEvents(); err != nil { // events before this phase are reported elsewhere
		return err
	}
	r.nodeEvents = nil
	startTime, startNs := time.Now(), faulttest.Boot()
	changes, failedLimitChanges := map[string][]AppliedChange{}, 0
	var mu, reloadMu sync.Mutex
	var errs []error
	var slowChanges sync.WaitGroup // slow changes must not delay the other changes
	recordChange := func(kind string, c AppliedChange, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			errs = append(errs, err)
			return
		}
		changes[kind] = append(changes[kind], c)
	}
	for _, scheduled := range schedule {
		r.sleep(time.Until(startTime.Add(scheduled.Offset)))
		if r.ctx.Err() != nil {
			return r.ctx.Err()
		}
		switch scheduled.Kind {
		case changeEntry:
			entry := r.entries[scheduled.Index]
			entry.StartedMs = float64(time.Now().UnixMilli())
			c, err := r.changeEntries([]Entry{entry})
			recordChange(scheduled.Kind, c, err)
		case changeConfig:
			slowChanges.Go(func() {
				reloadMu.Lock() // one at a time
				defer reloadMu.Unlock()
				c, err := r.reloadConfigs()
				recordChange(scheduled.Kind, c, err)
			})
		case changeBudget:
			if r.budgetLimit *= 1.1; r.budgetLimit > 1.2*budgetRatePerNode*float64(r.HollowNodes+r.RealNodes+voterCount) {
				r.budgetLimit /= 1.21
			}
			limit := math.Round(r.budgetLimit)
			slowChanges.Go(func() {
				c := AppliedChange{BootTimeNs: faulttest.Boot()}
				status, err := r.client.SetLimit(budgetName, limit)
				if err != nil { // for example during an election; the other changes go on
					mu.Lock()
					defer mu.Unlock()
					r.addLine("%s: the budget's whole could not be set: %v", name, err)
					failedLimitChanges++
					return
				}
				c.MinValue = int64(status.BudgetConfig.Revision)
				recordChange(scheduled.Kind, c, nil)
			})
		case restartNode:
			_, err := r.hosts[r.PlaceOf(scheduled.Index).Rack].send(command{Name: "restart", Nodes: []int{scheduled.Index}})
			recordChange(scheduled.Kind, AppliedChange{}, err)
		}
	}
	slowChanges.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	r.sleep(time.Until(startTime.Add(r.PhaseDuration)))
	after, err := r.usageByProcess()
	if err != nil {
		return err
	}
	r.sleep(maxPropagation / 5) // wait for late events
	if err := r.appendNodeEvents(); err != nil {
		return err
	}
	r.reportUsage(name, before, after, leader)
	eventsByNode, nodes := groupByNode(r.nodeEvents), r.nodesOutside(nil)
	for i, p := range r.realNodes {
		eventsByNode[firstRealNodeNumber+i] = p.loggedEvents(firstRealNodeNumber + i)
		nodes = append(nodes, firstRealNodeNumber+i)
	}
	r.reportLatencies(name, "list in force", changeLatencies(changes[changeEntry], eventsByNode, nodes, eventListInForce, maxPropagation))
	if r.Includes(ScenarioConfiguration) {
		r.reportLatencies(name, "configuration in force", changeLatencies(changes[changeConfig], eventsByNode, nodes, eventConfigInForce, maxPropagation))
	}
	if r.Includes(ScenarioBudget) {
		if r.addMeasurement(name, "node", "wholes that could not be set", float64(failedLimitChanges)); failedLimitChanges > 0 {
			r.addExceededBound("%s: a budget's whole could not be set %d times", name, failedLimitChanges)
		}
		r.reportLatencies(name, "budget's whole in force", changeLatencies(changes[changeBudget], eventsByNode, r.nodesOutside(nil), eventQuotasReceived, maxPropagation))
	}
	if n := len(changes[restartNode]); n > 0 {
		r.addLine("%s: %d nodes restarted, %d entries changed: %g times the operators' whole fleet's", name, n, len(changes[changeEntry]), r.ChurnFactor)
		for _, kind := range r.requiredEvents() {
			r.reportLatencies(name, eventLabels[kind]+" after a start", startLatencies(eventsByNode, r.nodesOutside(nil), startNs, kind, maxPropagation))
		}
	}
	if r.Includes(ScenarioLease) {
		r.reportRenewals(name)
	}
	if leaderNow := r.leaderIndex(); leaderNow != leader {
		r.addLine("%s: another voter came to lead meanwhile: what the leader used is not all told", name)
	}
	return nil
}

// reportRenewals reports the durations of lease renewals, and the numbers of failed requests and lost leases.
func (r *run) reportRenewals(phase string) {
	latencies, failed, lost := newLatencies(), 0, 0
	for _, event := range r.nodeEvents {
		switch event.Kind {
		case eventLeaseRenewed:
			recordLatency(latencies.PerNode, event.Value)
			recordLatency(latencies.LastNode, event.Value)
		case eventLeaseRequestFailed:
			failed++
		case eventLeaseLost:
			lost++
		}
	}
	r.reportLatencies(phase, "a renewal", latencies)
	r.addMeasurement(phase, "node", "askings that came to nothing", float64(failed))
	r.addMeasurement(phase, "node", "leases lost", float64(lost))
	r.addLine("%s: askings for leases that came to nothing %d, leases lost %d", phase, failed, lost)
}

// reportUsage reports what the processes of each role used between two measurements.
func (r *run) reportUsage(phase string, before, after map[*process]processUsage, leader int) {
	reportRole := func(role string, processes []*process, divisor float64, baseHeapBytes uint64) {
		sums := map[string]float64{}
		bytesByPurpose := map[string]float64{}
		for _, p := range processes {
			first, last := before[p], after[p]
			seconds := float64(last.measuredNs-first.measuredNs) / float64(time.Second)
			sums["share of a core %"] += 100 * float64(last.CPUBefore-first.CPUAfter) / float64(time.Second) / seconds
			for purpose, traffic := range last.Traffic {
				earlier := first.Traffic[purpose]
				sums["messages sent /s"] += float64(traffic.Writes-earlier.Writes) / seconds
				sums["messages received /s"] += float64(traffic.Reads-earlier.Reads) / seconds
				sums["bytes sent /s"] += float64(traffic.Sent-earlier.Sent) / seconds
				sums["bytes received /s"] += float64(traffic.Received-earlier.Received) / seconds
				bytesByPurpose["bytes both ways /s: "+purpose] += float64(traffic.Sent-earlier.Sent+traffic.Received-earlier.Received) / seconds
			}
			sums["resident MB"] += float64(last.residentBytes) / (1 << 20)
			sums["live heap KB"] += (float64(last.Heap) - float64(baseHeapBytes)) / 1024
			sums["descriptors"] += float64(last.descriptors)
			if last.calls != (CallCounts{}) {
				sums["whole lists /s"] += float64(last.calls.FullLists-first.calls.FullLists) / seconds
				sums["lists of changes /s"] += float64(last.calls.Changes-first.calls.Changes) / seconds
			}
		}
		text := fmt.Sprintf("%s: %s:", phase, role)
		for _, metric := range slices.Concat(metricOrder, sortedKeys(bytesByPurpose)) {
			value, reported := sums[metric]
			if bytes, isPurpose := bytesByPurpose[metric]; isPurpose {
				value, reported = bytes, true
			}
			if reported {
				r.addMeasurement(phase, role, metric, value/divisor)
				text += fmt.Sprintf(" %s %.4g,", metric, value/divisor)
			}
		}
		r.addLine("%s", text[:len(text)-1])
	}
	reportRole("node", r.hosts, float64(r.HollowNodes), r.baseHeapBytes)
	reportRole("all nodes", r.hosts, 1, r.baseHeapBytes) // in a fit over the number of nodes, the slope is the cost of a node, and the intercept that of the processes
	if r.RealNodes > 0 {
		reportRole("real node", r.realNodes, float64(r.RealNodes), r.baseHeapBytes)
	}
	if leader >= 0 {
		reportRole("leader", r.voters[leader:leader+1], 1, r.baseHeapBytes)
		var otherVoters []*process
		for i, p := range r.voters {
			if i != leader && p.isRunning() {
				otherVoters = append(otherVoters, p)
			}
		}
		reportRole("other voter", otherVoters, float64(len(otherVoters)), r.baseHeapBytes)
	}
	reportRole("discovery", []*process{r.discovery}, 1, 0)
}

// metricOrder lists the metrics of reportUsage in the order of the report.
var metricOrder = []string{"share of a core %", "messages sent /s", "messages received /s", "bytes sent /s", "bytes received /s", "resident MB",
	"live heap KB", "descriptors", "whole lists /s", "lists of changes /s"}
