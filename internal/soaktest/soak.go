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
	Program string   // the node's, built with the tag faults where Without is told
	Env     []string // for it, beside this process's own
	Nodes   int      // 30 if 0
	Caches  int      // 12 if 0
	For     time.Duration
	Seed    uint64
	Without string // a safeguard that is taken out of the nodes
	Keep    bool   // the logs of runs that broke a rule

	measured bool
}

// level is that of the nodes' logs: a run is judged by each request, a measurement is of what operators run.
func (p Plan) level() string {
	if p.measured {
		return "info"
	}
	return "debug"
}

// Run is what came of it.
type Run struct {
	Settings       string
	Requests, Void int            // Void: those of which the judge was too late to tell all
	Outcomes       map[string]int // of requests, and how many attempts there were
	Troubles       map[string]int // that struck
	Breaks         []Break
	Logs           []string // lines of the nodes' logs about the first requests with a break
	Kept           string
}

const (
	nodesUsually  = 30
	cachesUsually = 8
	clientsEach   = 2
	logLinesMost  = 40
	nothingOut    = `"out":0` // of a process that left: what was still open then was no request
	breaksLogged  = 3
)

// tally counts by name.
type tally struct {
	mu sync.Mutex
	of map[string]int
}

func (t *tally) add(name string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of[name] += n
}

// world is a run that goes on.
type world struct {
	plan      Plan
	settings  settings
	folder    string
	ledger    *ledger
	discovery *discovery
	struck    *tally
	nodes     []*node
	mu        sync.Mutex
	servers   map[string]*server
	other     []string // breaks that are no request's
}

// broke notes a break that is no request's.
func (w *world) broke(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.other = append(w.other, what)
}

// Play plays a run.
func Play(ctx context.Context, plan Plan) (run Run, err error) {
	if plan.Nodes == 0 {
		plan.Nodes = nodesUsually
	}
	if plan.Caches == 0 {
		plan.Caches = cachesUsually
	}
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return run, err
	}
	defer func() {
		if run.Kept == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	r := rand.New(rand.NewPCG(plan.Seed, 1))
	w := &world{plan: plan, settings: draw(r), folder: folder, ledger: newLedger(), struck: &tally{of: map[string]int{}}, servers: map[string]*server{}}
	w.discovery = newDiscovery(w.ledger)
	if err := w.play(ctx, r); err != nil {
		if plan.Keep {
			run.Kept = folder
		}
		return run, err
	}
	v := w.ledger.judge(w.settings)
	run = Run{Settings: w.settings.String(), Requests: v.judged, Void: v.void, Outcomes: v.counts, Troubles: w.struck.of, Breaks: v.breaks}
	for _, what := range append(w.other, w.complaints()...) {
		run.Breaks = append(run.Breaks, Break{Rule: "process", What: what})
	}
	if len(run.Breaks) > 0 {
		run.Logs = w.lines(run.Breaks)
		if plan.Keep {
			run.Kept = folder
		}
	}
	return run, nil
}

// play starts all, lets the troubles come, and ends all.
func (w *world) play(ctx context.Context, r *rand.Rand) error {
	if err := w.stand(); err != nil {
		return err
	}
	defer w.end()
	var starting sync.WaitGroup
	failed := make(chan error, w.plan.Nodes)
	for n := range w.plan.Nodes {
		x, err := newNode(w, n)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, x)
		starting.Go(func() {
			if err := x.begin(); err != nil {
				failed <- err
			}
		})
	}
	starting.Wait()
	select {
	case err := <-failed:
		return err
	default:
	}
	done := make(chan struct{})
	var going sync.WaitGroup
	going.Go(func() { w.ledger.tick(done) })
	for n := range w.plan.Nodes * clientsEach {
		c := &client{w: w, rand: rand.New(rand.NewPCG(w.plan.Seed, uint64(100+n)))}
		going.Go(func() { c.run(done) })
	}
	err := w.trouble(ctx, r)
	close(done)
	going.Wait()
	return err
}

// stand starts the stand-ins.
func (w *world) stand() error {
	var all []entry
	for n := range w.plan.Caches + 1 {
		id, kind := fmt.Sprintf("c%d", n), "cache"
		if n == w.plan.Caches {
			id, kind = "origin", "origin"
		}
		s := newServer(id, kind == "origin", w.ledger, w.struck, w.plan.Seed*100+uint64(n))
		if err := s.start(); err != nil {
			return err
		}
		w.servers[id] = s
		all = append(all, entry{ID: id, Address: s.address(), Kind: kind, State: "Ready"})
	}
	w.discovery.set(all...)
	return nil
}

func (w *world) end() {
	var ending sync.WaitGroup
	for _, x := range w.nodes {
		ending.Go(x.close)
	}
	ending.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.die()
	}
}

// complaints finds what the nodes' logs say that none should.
func (w *world) complaints() (found []string) {
	for _, x := range w.nodes {
		w.scan(x, func(line string) {
			for _, bad := range []string{"panicked", "panic:", "fatal error", "DATA RACE", "what a rule forbids", "unanswered"} {
				if strings.Contains(line, bad) && !strings.Contains(line, nothingOut) && len(found) < logLinesMost {
					found = append(found, fmt.Sprintf("node %d: %s", x.n, line))
				}
			}
		})
	}
	return found
}

// lines gives the logs' lines about the first requests with a break.
func (w *world) lines(breaks []Break) (found []string) {
	wanted := map[string]bool{}
	for _, b := range breaks {
		if b.Request != "" && len(wanted) < breaksLogged {
			wanted[`"`+b.Request+`"`] = true
		}
	}
	for _, x := range w.nodes {
		w.scan(x, func(line string) {
			for id := range wanted {
				if strings.Contains(line, id) && len(found) < logLinesMost {
					found = append(found, line)
				}
			}
		})
	}
	return found
}

func (w *world) scan(x *node, f func(line string)) {
	log, err := os.Open(x.log())
	if err != nil {
		return
	}
	defer log.Close()
	for lines := bufio.NewScanner(log); lines.Scan(); {
		f(lines.Text())
	}
}

// Summary tells a run in a few lines.
func (r Run) Summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests, %d not judged whole:", r.Requests, r.Void)
	for _, k := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(&b, " %s %d", k, r.Outcomes[k])
	}
	fmt.Fprintf(&b, "\n  %s\n  troubles:", r.Settings)
	for _, k := range slices.Sorted(maps.Keys(r.Troubles)) {
		fmt.Fprintf(&b, " %s %d,", k, r.Troubles[k])
	}
	b.WriteString("\n")
	counts := map[string]int{}
	for _, x := range r.Breaks {
		if counts[x.Rule]++; counts[x.Rule] <= breaksLogged {
			fmt.Fprintf(&b, "  BROKEN %v\n", x)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&b, "  %s broken %d times\n", k, counts[k])
	}
	for _, line := range r.Logs {
		fmt.Fprintf(&b, "  log %s\n", line)
	}
	if r.Kept != "" {
		fmt.Fprintf(&b, "  kept in %s\n", filepath.Clean(r.Kept))
	}
	return b.String()
}
