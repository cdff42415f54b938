package soaktest

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Plan says what to play.
type Plan struct {
	Program           string   // the node's, built with the tag faults where Without is told
	Env               []string // for it, beside this process's own
	Nodes             int      // 30 if 0
	Caches            int      // 12 if 0
	Duration          time.Duration
	Seed              uint64
	DisabledSafeguard string // a safeguard that is taken out of the nodes
	KeepLogs          bool   // the logs of runs that broke a rule

	measuresUsage bool
}

// level is that of the nodes' logs: a run is judged by each request, a measurement is of what operators run.
func (p Plan) logLevel() string {
	if p.measuresUsage {
		return "info"
	}
	return "debug"
}

// Run is what came of it.
type Result struct {
	Settings               string
	Requests, Inconclusive int            // Void: those of which the judge was too late to tell all
	Outcomes               map[string]int // of requests, and how many attempts there were
	Faults                 map[string]int // that struck
	Violations             []Violation
	LogLines               []string // lines of the nodes' logs about the first requests with a break
	LogFolder              string
}

const (
	defaultNodes         = 30
	defaultCaches        = 8
	clientsPerNode       = 2
	maxLogLines          = 40
	noRequestOutstanding = `"out":0` // of a process that left: what was still open then was no request
	maxViolationsShown   = 3
)

// tally counts by name.
type counters struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *counters) add(name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name] += n
}

// world is a run that goes on.
type testbed struct {
	plan              Plan
	settings          settings
	folder            string
	recorder          *recorder
	discovery         *discovery
	faultCounts       *counters
	nodes             []*node
	mu                sync.Mutex
	servers           map[string]*server
	processViolations []string // breaks that are no request's
}

// broke notes a break that is no request's.
func (tb *testbed) addProcessViolation(description string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.processViolations = append(tb.processViolations, description)
}

// Play plays a run.
func Run(ctx context.Context, plan Plan) (result Result, err error) {
	if plan.Nodes == 0 {
		plan.Nodes = defaultNodes
	}
	if plan.Caches == 0 {
		plan.Caches = defaultCaches
	}
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return result, err
	}
	defer func() {
		if result.LogFolder == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	rng := rand.New(rand.NewPCG(plan.Seed, 1))
	tb := &testbed{plan: plan, settings: drawSettings(rng), folder: folder, recorder: newRecorder(), faultCounts: &counters{counts: map[string]int{}}, servers: map[string]*server{}}
	tb.discovery = newDiscovery(tb.recorder)
	if err := tb.run(ctx, rng); err != nil {
		if plan.KeepLogs {
			result.LogFolder = folder
		}
		return result, err
	}
	summary := tb.recorder.checkRequests(tb.settings)
	result = Result{Settings: tb.settings.String(), Requests: summary.checked, Inconclusive: summary.inconclusive, Outcomes: summary.outcomes, Faults: tb.faultCounts.counts, Violations: summary.violations}
	for _, description := range append(tb.processViolations, tb.logViolations()...) {
		result.Violations = append(result.Violations, Violation{Rule: "process", Description: description})
	}
	if len(result.Violations) > 0 {
		result.LogLines = tb.logLinesOf(result.Violations)
		if plan.KeepLogs {
			result.LogFolder = folder
		}
	}
	return result, nil
}

// play starts all, lets the troubles come, and ends all.
func (tb *testbed) run(ctx context.Context, rng *rand.Rand) error {
	if err := tb.startStandIns(); err != nil {
		return err
	}
	defer tb.close()
	var starting sync.WaitGroup
	startErrs := make(chan error, tb.plan.Nodes)
	for i := range tb.plan.Nodes {
		nd, err := newNode(tb, i)
		if err != nil {
			return err
		}
		tb.nodes = append(tb.nodes, nd)
		starting.Go(func() {
			if err := nd.start(); err != nil {
				startErrs <- err
			}
		})
	}
	starting.Wait()
	select {
	case err := <-startErrs:
		return err
	default:
	}
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { tb.recorder.sampleSchedulingDelays(done) })
	for i := range tb.plan.Nodes * clientsPerNode {
		c := &client{testbed: tb, rng: rand.New(rand.NewPCG(tb.plan.Seed, uint64(100+i)))}
		running.Go(func() { c.run(done) })
	}
	err := tb.injectFaults(ctx, rng)
	close(done)
	running.Wait()
	return err
}

// stand starts the stand-ins.
func (tb *testbed) startStandIns() error {
	var entries []entry
	for i := range tb.plan.Caches + 1 {
		id, kind := fmt.Sprintf("c%d", i), "cache"
		if i == tb.plan.Caches {
			id, kind = "origin", "origin"
		}
		s := newServer(id, kind == "origin", tb.recorder, tb.faultCounts, tb.plan.Seed*100+uint64(i))
		if err := s.start(); err != nil {
			return err
		}
		tb.servers[id] = s
		entries = append(entries, entry{ID: id, Address: s.address(), Kind: kind, State: "Ready"})
	}
	tb.discovery.set(entries...)
	return nil
}

func (tb *testbed) close() {
	var closing sync.WaitGroup
	for _, nd := range tb.nodes {
		closing.Go(nd.close)
	}
	closing.Wait()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, s := range tb.servers {
		s.abort()
	}
}

// complaints finds what the nodes' logs say that none should.
func (tb *testbed) logViolations() (found []string) {
	for _, nd := range tb.nodes {
		tb.scanLog(nd, func(line string) {
			for _, marker := range []string{"panicked", "panic:", "fatal error", "DATA RACE", "what a rule forbids", "unanswered"} {
				if strings.Contains(line, marker) && !strings.Contains(line, noRequestOutstanding) && len(found) < maxLogLines {
					found = append(found, fmt.Sprintf("node %d: %s", nd.index, line))
				}
			}
		})
	}
	return found
}

// lines gives the logs' lines about the first requests with a break.
func (tb *testbed) logLinesOf(violations []Violation) (found []string) {
	quotedIDs := map[string]bool{}
	for _, b := range violations {
		if b.RequestID != "" && len(quotedIDs) < maxViolationsShown {
			quotedIDs[`"`+b.RequestID+`"`] = true
		}
	}
	for _, nd := range tb.nodes {
		tb.scanLog(nd, func(line string) {
			for id := range quotedIDs {
				if strings.Contains(line, id) && len(found) < maxLogLines {
					found = append(found, line)
				}
			}
		})
	}
	return found
}

func (tb *testbed) scanLog(nd *node, handle func(line string)) {
	log, err := os.Open(nd.logPath())
	if err != nil {
		return
	}
	defer log.Close()
	for scanner := bufio.NewScanner(log); scanner.Scan(); {
		handle(scanner.Text())
	}
}

// Summary tells a run in a few lines.
func (r Result) Summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests, %d not judged whole:", r.Requests, r.Inconclusive)
	for _, k := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(&b, " %s %d", k, r.Outcomes[k])
	}
	fmt.Fprintf(&b, "\n  %s\n  troubles:", r.Settings)
	for _, k := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(&b, " %s %d,", k, r.Faults[k])
	}
	b.WriteString("\n")
	counts := map[string]int{}
	for _, v := range r.Violations {
		if counts[v.Rule]++; counts[v.Rule] <= maxViolationsShown {
			fmt.Fprintf(&b, "  BROKEN %v\n", v)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&b, "  %s broken %d times\n", k, counts[k])
	}
	for _, line := range r.LogLines {
		fmt.Fprintf(&b, "  log %s\n", line)
	}
	if r.LogFolder != "" {
		fmt.Fprintf(&b, "  kept in %s\n", filepath.Clean(r.LogFolder))
	}
	return b.String()
}
