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
)

// Plan is what is played.
type Plan struct {
	Program   string // of a build with the tag faults
	Processes int    // 3 of them vote
	Seed      uint64
	Without   string // a safeguard that is taken out; empty: none
	Only      string // one kind of fault; empty: all, by chance
	Keep      string // where the histories of broken runs stay; empty: nowhere
	Budgets   bool   // budgets are played, not leases
	plain     bool   // the last process has no fleet
	Slot      int    // another one for each run that goes on at the same time
}

const (
	votersOf  = 3
	leaseSpan = 600 * time.Millisecond
	delaySpan = 20 * time.Millisecond
	driftMost = 0.01
	driftWide = 0.2 // the widest bound that a configuration takes
	upWithin  = 15 * time.Second
	warmSpan  = 500 * time.Millisecond
	coolSpan  = 1200 * time.Millisecond // after the last fault: two leases
	faultsRun = 5                       // faults in a run
	lateMost  = leaseSpan / 6           // of a process that nobody stopped: beyond, the run tells of the machine
)

// world is one run.
type world struct {
	plan      Plan
	program   string
	folder    string
	rnd       *rand.Rand
	processes []*process
	links     map[[2]int]*link // from, to
	door      *door
	stands    *stands
	struck    map[string]int

	mu      sync.Mutex
	pauses  []pause
	losses  []loss
	slow    []string      // nodes that took too long to end
	touched map[int]int64 // until when a process may fail its clients, by number

	tallies *tallies // of a run on budgets
	wholes  map[string][]bounded
	focus   atomic.Int32   // what demand is fixed on; 0: it comes as it comes
	names   map[int]string // of nodes, by process
}

// left notes how long a node took to end.
func (w *world) left(p *process, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if took > leaveMost {
		w.slow = append(w.slow, fmt.Sprintf("%s took %v to end", p.name, took.Round(time.Millisecond)))
	}
}

func (w *world) note(p pause) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pauses = append(w.pauses, p)
}

// ip gives an address of the loopback net that no other run has.
func (w *world) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+w.plan.Slot%250, n)
}

const (
	clientsPort = 7070
	fleetPort   = 7100
	adminPort   = 7200
	linkPort    = 8000 // and the number of whom it leads to
)

// setUp lays all out and starts it.
func (w *world) setUp(ctx context.Context) (err error) {
	if w.door, err = newDoor(w.ip(250)+":8600", strings.Contains(w.plan.Without, "door-token")); err != nil {
		return err
	}
	discovery := ""
	if w.plan.Budgets {
		if w.tallies, err = newTallies(w.ip(251)); err == nil {
			discovery = w.tallies.discovery
		}
	} else if w.stands, err = newStands(w.ip(251)); err == nil {
		discovery = w.stands.discovery
	}
	if err != nil {
		return err
	}
	var voters []map[string]string
	for n := range votersOf {
		voters = append(voters, map[string]string{"name": fmt.Sprint("n", n), "address": fmt.Sprintf("%s:%d", w.ip(n+1), fleetPort)})
	}
	for n := range w.plan.Processes {
		p := &process{w: w, n: n, name: fmt.Sprint("n", n), ip: w.ip(n + 1), config: filepath.Join(w.folder, fmt.Sprintf("n%d.json", n)),
			points: filepath.Join(w.folder, fmt.Sprintf("points%d", n)), rate: 1 + (2*w.rnd.Float64()-1)*driftMost*0.9}
		drift := driftMost
		switch w.plan.Only {
		case "clock-bound":
			drift = driftWide
			p.rate = []float64{1 + driftWide*0.95, 1 - driftWide*0.95}[min(1, n/votersOf)] // those who lead are fast, some that hold slow
		case "clock-beyond":
			p.rate = []float64{0.6, 1}[n%2] // the lease of a slow one lasts far longer than it thinks
		}
		if err := os.Mkdir(p.points, 0o700); err != nil {
			return err
		}
		routes := map[string]string{}
		for to := range w.plan.Processes {
			if to == n {
				continue
			}
			target := fmt.Sprintf("%s:%d", w.ip(to+1), fleetPort)
			at := fmt.Sprintf("%s:%d", p.ip, linkPort+to)
			if w.links[[2]int{n, to}], err = newLink(at, target); err != nil {
				return err
			}
			routes[target] = at
		}
		fleet := map[string]any{"name": "trial", "address": fmt.Sprintf("%s:%d", p.ip, fleetPort), "voters": voters, "routes": routes,
			"lease_ms": leaseSpan.Milliseconds(), "delay_ms": delaySpan.Milliseconds(), "drift": drift,
			"tasks": []string{"trial", "roll-up", "probe"}, "roll_up_ms": 1000}
		if n < votersOf {
			p.folder = filepath.Join(w.folder, fmt.Sprintf("voter%d", n))
			fleet["folder"] = p.folder
		}
		papers := map[string]any{"name": p.name, "listen": fmt.Sprintf("%s:%d", p.ip, clientsPort),
			"discovery": discovery, "admin_addr": fmt.Sprintf("%s:%d", p.ip, adminPort), "fleet": fleet,
			"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512},
			"settings": map[string]any{"models": []string{"box", "origin"}, "domain": map[string]any{"mode": "aside", "origin-kind": 1},
				"permissions": map[string]any{"most-shots": 3},
				"namespaces":  []map[string]any{{"name": "read", "repeat": "safe", "target-time-ms": 400, "time-limit-ms": 900}}}}
		if w.plan.Budgets {
			w.budgeted(n, papers, fleet)
		}
		if w.plan.plain {
			fleet["tasks"] = []string{"roll-up", "probe"}
		}
		if w.plan.plain && n == w.plan.Processes-1 {
			delete(papers, "fleet")
		}
		text, _ := json.Marshal(papers)
		if err := os.WriteFile(p.config, text, 0o600); err != nil {
			return err
		}
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.ip, clientsPort))
		if err != nil {
			return err
		}
		if p.socket, err = l.(*net.TCPListener).File(); err != nil {
			return err
		}
		_ = l.Close()
		w.processes = append(w.processes, p)
		if w.odd(n) {
			continue // it comes later, with other papers
		}
		if _, _, err := p.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(upWithin); ; time.Sleep(50 * time.Millisecond) {
		out, err := w.command(ctx, 0, "fleet", "found")
		if err == nil {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("the fleet was not founded: %w: %s", err, out)
		}
	}
}

// command runs the program's own for an operator on a node.
func (w *world) command(ctx context.Context, node int, args ...string) (string, error) {
	ctx, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	c := exec.CommandContext(ctx, w.program, append(args, "--config", w.processes[node].config)...)
	out, err := c.CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

// tearDown ends all that the run started, each process by its id.
func (w *world) tearDown() {
	var ending sync.WaitGroup
	for _, p := range w.processes {
		ending.Go(func() {
			p.signal(syscall.SIGCONT)
			p.end(syscall.SIGTERM)
			_ = p.socket.Close()
		})
	}
	ending.Wait()
	for _, l := range w.links {
		l.close()
	}
	if w.door != nil {
		_ = w.door.server.Close()
	}
	if w.stands != nil {
		w.stands.close()
	}
	if w.tallies != nil {
		w.tallies.close()
	}
}

// Run is what became of one.
type Run struct {
	Seed     uint64
	Acts     int
	Faults   map[string]int // that really struck, by kind
	Door     int            // overlaps at a door
	Outside  int
	Excused  int // overlaps outside a door that nothing promised against
	Handings map[string][]time.Duration
	Broken   []string
	Void     string             // why it shows nothing; empty: it does
	Asked    int64              // lookups at the nodes meanwhile
	Unserved int64              // of those: not answered well, though their node ran
	Why      string             // of the first of them
	Windows  int                // judged, of budgets
	Used     map[string]float64 // of each whole, over the run
	Worst    map[string]float64 // the most that came in one, as a share of what it may be, by budget
	Kept     string
}

// keep lets the history of a run that failed stay where the plan wants it, and removes any other.
func (w *world) keep(r *Run, err error, kind string) {
	if len(r.Broken) == 0 && err == nil || w.plan.Keep == "" {
		_ = os.RemoveAll(w.folder)
		return
	}
	r.Kept = filepath.Join(w.plan.Keep, fmt.Sprintf("%s-%d", kind, w.plan.Seed))
	_ = os.RemoveAll(r.Kept)
	if errors.Join(os.MkdirAll(w.plan.Keep, 0o700), os.Rename(w.folder, r.Kept)) != nil {
		r.Kept = w.folder
	}
}

// Play plays one run.
func Play(ctx context.Context, plan Plan) (r Run, err error) {
	r.Seed = plan.Seed
	w := &world{plan: plan, program: plan.Program, rnd: rand.New(rand.NewPCG(plan.Seed, 29)), links: map[[2]int]*link{},
		struck: map[string]int{}, touched: map[int]int64{}}
	if w.folder, err = os.MkdirTemp("", "rig-"); err != nil {
		return r, err
	}
	defer func() { w.keep(&r, err, "seed") }()
	err = w.setUp(ctx)
	done := make(chan struct{})
	var c client
	var asking sync.WaitGroup
	if err == nil {
		for _, p := range w.processes {
			asking.Go(func() {
				c.run(fmt.Sprintf("%s:%d", p.ip, clientsPort), done, func(from int64) bool {
					w.mu.Lock()
					defer w.mu.Unlock()
					return from < w.touched[p.n]
				})
			})
		}
		w.sleep(ctx, warmSpan)
		w.script(ctx)
		w.sleep(ctx, coolSpan)
	}
	close(done)
	asking.Wait()
	w.tearDown()
	if err != nil {
		return r, err
	}
	if ctx.Err() != nil {
		return r, ctx.Err()
	}
	h := &history{passes: w.door.passes, pauses: w.pauses, losses: w.losses, beyond: plan.Only == "clock-beyond", lease: leaseSpan}
	records, _ := filepath.Glob(filepath.Join(w.folder, "*.record"))
	for _, path := range records {
		notes, err := readNotes(path)
		if err != nil {
			return r, err
		}
		h.notes = append(h.notes, notes...)
	}
	slices.SortStableFunc(h.notes, func(a, b note) int { return int(a.At - b.At) })
	text, _ := json.Marshal(map[string]any{"passes": len(h.passes), "pauses": fmt.Sprint(h.pauses), "losses": fmt.Sprint(h.losses)})
	_ = os.WriteFile(filepath.Join(w.folder, "rig.json"), text, 0o600)
	v := h.judge()
	r.Acts, r.Faults, r.Door, r.Outside, r.Excused = v.acts, w.struck, len(v.door)+len(v.order), len(v.outside), v.excused
	r.Handings, r.Broken = v.handings, v.broken()
	r.Asked, r.Unserved = c.asked.Load(), c.failed.Load()
	if r.Why, _ = c.why.Load().(string); r.Unserved > 0 {
		r.Broken = append(r.Broken, fmt.Sprintf("%d lookups were not served by nodes that ran; the first: %s", r.Unserved, r.Why))
	}
	r.Broken = append(append(r.Broken, w.slow...), w.inLogs()...)
	switch {
	case v.unjudged:
		r.Void = "the order of its askings could not be looked through in time"
	case v.late > lateMost:
		r.Void = fmt.Sprintf("a process that nobody stopped was %v late: too few cores", v.late.Round(time.Millisecond))
	case v.acts == 0:
		r.Void = "nobody acted"
	}
	if r.Void != "" && len(v.door)+len(v.order) == 0 {
		r.Broken = nil // what is promised outside doors is promised to processes that run
	}
	return r, nil
}

func (w *world) sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// inLogs finds what no process may write: a panic, or a period that is written twice.
func (w *world) inLogs() (broken []string) {
	lines := map[string]string{}
	for _, p := range w.processes {
		text, _ := os.ReadFile(filepath.Join(w.folder, p.name+".log"))
		for l := range strings.SplitSeq(string(text), "\n") {
			if strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "fatal error:") {
				broken = append(broken, p.name+": "+l)
			}
			var x struct{ Msg, Until string }
			if json.Unmarshal([]byte(l), &x) == nil && x.Msg == "roll-up" {
				if before, is := lines[x.Until]; is {
					broken = append(broken, fmt.Sprintf("the period until %s is written by %s and %s", x.Until, before, p.name))
				}
				lines[x.Until] = p.name
			}
		}
	}
	return broken
}
