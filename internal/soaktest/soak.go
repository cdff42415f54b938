// Package soaktest runs dozens of node processes on loopback against stand-ins of clients, cache servers, an origin and a discovery
// service, injects faults that overlap in time, and checks each request against the rules. The clients, the stand-ins and the checker
// run in one process with one clock, and share no code with the nodes.
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

// Plan describes a run. Zero values of Nodes and Caches select the defaults.
type Plan struct {
	Program           string        // path of the node's program, built with the tag faults if DisabledSafeguard is set
	Env               []string      // environment variables of the nodes, in addition to those of this process
	Nodes             int           // number of nodes; 0: defaultNodes
	Caches            int           // number of cache servers; 0: defaultCaches
	Duration          time.Duration // time during which faults start
	Seed              uint64        // of all random draws
	DisabledSafeguard string        // safeguard that the nodes run without; empty: none
	KeepLogs          bool          // keep the nodes' logs if the run fails or violates a rule
	LeavingShare      float64       // share of requests, from 0 to 1, whose clients disconnect at once, in addition to those by chance
	UploadShare       float64       // share of requests, from 0 to 1, with a streamed body, in addition to those by chance
	OriginHangShare   float64       // share of attempts, from 0 to 1, that the origin doesn't answer, in addition to its faults
	EndlessShare      float64       // share of answers, from 0 to 1, that never end, in addition to those by a fault
	SlowPeers         bool          // servers answer and read slowly, clients upload at once, come again with their ids and flood
	CrowdPerNode      int           // idle clients of each node

	measuresUsage bool // the run measures the resource usage of a node and is not checked
}

// logLevel returns the level of the nodes' logs: debug for the log lines of each request, or info for measurements, which are to
// have the log volume of production.
func (p Plan) logLevel() string {
	if p.measuresUsage {
		return "info"
	}
	return "debug"
}

// Result holds the results of a run.
type Result struct {
	Settings               string         // of the nodes, as one line
	Requests, Inconclusive int            // Inconclusive: requests of which a check fell near a scheduling delay of this process
	Outcomes               map[string]int // requests by outcome; also the number of attempts and of violations that are excused
	Faults                 map[string]int // number of faults and of misbehaving clients, by name
	Violations             []Violation
	LogLines               []string // lines of the nodes' logs about the first requests with a violation
	LogFolder              string   // folder of the nodes' logs if they are kept
}

const (
	defaultNodes         = 30
	defaultCaches        = 8
	clientsPerNode       = 2
	maxLogLines          = 40
	noRequestOutstanding = `"in flight":0` // log lines with this field are ignored: each request had its answer, or a part of a long one
	maxViolationsShown   = 3               // violations per rule, and requests whose log lines are shown
)

// counters counts events by name.
type counters struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *counters) add(name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name] += n
}

// testbed is the nodes and stand-ins of one run.
type testbed struct {
	plan              Plan
	settings          settings
	folder            string
	recorder          *recorder
	discovery         *discovery
	faultCounts       *counters
	nodes             []*node
	mu                sync.Mutex
	servers           map[string]*server // by ID; a server that drains or is away is absent
	processViolations []string           // violations that concern no single request
}

// addProcessViolation records a violation that concerns no single request.
func (tb *testbed) addProcessViolation(description string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.processViolations = append(tb.processViolations, description)
}

// Run runs the nodes as planned, injects faults, and checks all requests. It returns an error if the run could not be carried out;
// violations are in the result.
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
	tb := &testbed{plan: plan, settings: drawSettings(rng), folder: folder, recorder: newRecorder(),
		faultCounts: &counters{counts: map[string]int{}}, servers: map[string]*server{}}
	tb.discovery = newDiscovery(tb.recorder)
	if err := tb.run(ctx, rng); err != nil {
		if plan.KeepLogs {
			result.LogFolder = folder
		}
		return result, err
	}
	summary := tb.recorder.checkRequests(tb.settings)
	result = Result{Settings: tb.settings.String(), Requests: summary.checked, Inconclusive: summary.inconclusive, Outcomes: summary.outcomes,
		Faults: tb.faultCounts.counts, Violations: summary.violations}
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

// run starts the stand-ins, the nodes and the clients, injects faults, and stops them all.
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
		if tb.plan.SlowPeers {
			c.slowRNG = rand.New(rand.NewPCG(tb.plan.Seed, uint64(100_000+i)))
		}
		running.Go(func() { c.run(done) })
	}
	tb.startCrowd(&running, done)
	err := tb.injectFaults(ctx, rng)
	close(done)
	running.Wait()
	return err
}

// startStandIns starts the cache servers and the origin, and lists them in the discovery service.
func (tb *testbed) startStandIns() error {
	var entries []entry
	for i := range tb.plan.Caches + 1 {
		id, kind := fmt.Sprintf("c%d", i), "cache"
		if i == tb.plan.Caches {
			id, kind = "origin", "origin"
		}
		s := newServer(id, kind == "origin", tb.recorder, tb.faultCounts, tb.plan.Seed*100+uint64(i))
		s.endlessShare = tb.plan.EndlessShare
		s.slowPeers = tb.plan.SlowPeers
		if s.isOrigin {
			s.hangShare = tb.plan.OriginHangShare
		}
		if err := s.start(); err != nil {
			return err
		}
		tb.servers[id] = s
		entries = append(entries, entry{ID: id, Address: s.address(), Kind: kind, State: "Ready"})
	}
	tb.discovery.set(entries...)
	return nil
}

// close stops the nodes and the stand-ins.
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

// logViolations returns the lines of the nodes' logs that report a panic, a data race, a forbidden decision or an unanswered request.
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

// logLinesOf returns the lines of the nodes' logs about the first requests with a violation.
func (tb *testbed) logLinesOf(violations []Violation) (found []string) {
	quotedIDs := map[string]bool{}
	for _, v := range violations {
		if v.RequestID != "" && len(quotedIDs) < maxViolationsShown {
			quotedIDs[`"`+v.RequestID+`"`] = true
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

// scanLog calls handle for each line of a node's log.
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

// Summary returns the results in a few lines.
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
