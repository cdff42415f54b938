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
	clientsPort   = 6070
	fleetPort     = 6100
	discoveryPort = 6500
	relayPort     = 6600
	cachePort     = 6700
	hollowName    = "h"
	budgetName    = "fetches"
	eachNode      = 20.0 // a second, of the budget's whole
	guardEvery    = 500 * time.Millisecond
)

// world is one run.
type world struct {
	*Plan
	room    Room
	ctx     context.Context
	folder  string
	say     func(format string, args ...any)
	entries []Entry
	base    uint64 // live heap of a host with no nodes

	discovery *process
	voters    []*process
	hosts     []*process // by rack
	reals     []*process
	relays    []*faulttest.Relay // of the region that is cut off
	caches    []*http.Server
	client    *cluster.Client
	lookups   faulttest.Lookups
	asking    sync.WaitGroup
	done      chan struct{}
	file      int             // changes of configuration so far,
	notes     json.RawMessage // and what is in each file besides
	whole     float64
	marks     []Mark
	result    Result
	late      late
}

// Result is what became of a run.
type Result struct {
	Points []Point
	Lines  []string
	Broken []string
	Void   string // why what is broken shows nothing of the program; empty: it does
}

func fileOf(n int) string { return fmt.Sprintf("%s%d.json", hollowName, n) }

// ip gives an address of the loopback net.
func ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, n/250, 1+n%250) }

const (
	discoveryAt = 60_000 // numbers of addresses: voters first, then real nodes, then hollow ones
	relaysAt    = 60_010
	cachesAt    = 60_100
)

// Play plays one run. It ends whatever it started and removes what it wrote, however it ends.
func Play(ctx context.Context, plan Plan, say func(format string, args ...any)) (r Result, err error) {
	room, err := free()
	if err == nil {
		err = plan.Fits(room)
	}
	if err != nil {
		return r, err
	}
	bounded, stop := context.WithTimeout(ctx, plan.Longest())
	defer stop()
	guarded, fail := context.WithCancelCause(bounded)
	defer fail(nil)
	w := &world{Plan: &plan, room: room, ctx: guarded, say: say, done: make(chan struct{}), whole: eachNode * float64(plan.Nodes+plan.Real+voters)}
	if w.folder, err = os.MkdirTemp("", "scale-"); err != nil {
		return r, err
	}
	defer func() {
		w.tearDown()
		err = errors.Join(err, os.RemoveAll(w.folder))
	}()
	w.layOut()
	go w.guard(fail)
	go w.late.watch(guarded)
	if err = w.play(); err != nil && guarded.Err() != nil {
		err = context.Cause(guarded)
	}
	if worst := w.late.worst.Load(); len(w.result.Broken) > 0 && time.Duration(worst) > stillMost {
		w.result.Void = fmt.Sprintf("the machine let a process of the run stand still for %v", time.Duration(worst).Round(time.Millisecond))
	}
	return w.result, err
}

// guard ends the run when it goes beyond its memory or its number of processes.
func (w *world) guard(fail context.CancelCauseFunc) {
	for every := time.NewTicker(guardEvery); ; {
		select {
		case <-w.ctx.Done():
			every.Stop()
			return
		case <-every.C:
		}
		sum, n := residentOf(os.Getpid()), 1
		for _, p := range w.all() {
			if p.runs() {
				sum += residentOf(p.pid())
				n++
			}
		}
		if err := beyond(sum, n); err != nil {
			fail(err)
		}
	}
}

// layOut names all processes, before any is started.
func (w *world) layOut() {
	at := fmt.Sprintf("%s:%d", ip(discoveryAt), discoveryPort)
	w.discovery = &process{name: "discovery", folder: w.folder, orders: true, args: []string{"trial", "directory", "--address", at}}
	if w.Has(Lease) {
		for i := range voters {
			w.voters = append(w.voters, w.served(fmt.Sprint("v", i)))
		}
	}
	for i := range w.Real {
		w.reals = append(w.reals, w.served(fmt.Sprint("r", i)))
	}
	for rack := range w.Zones() * racksZone {
		p := &process{name: fmt.Sprint("rack", rack), folder: w.folder, orders: true, args: []string{"trial", "hollow", "--folder", w.folder,
			"--name", fmt.Sprint("rack", rack), "--seed", fmt.Sprint(w.Seed), fmt.Sprint("--quiet=", w.Quiet)}}
		for n := range w.Nodes {
			if w.PlaceOf(n).Rack == rack {
				p.nodes = append(p.nodes, n)
			}
		}
		w.hosts = append(w.hosts, p)
	}
	for i := range w.Servers {
		place := w.PlaceOf(i)
		w.entries = append(w.entries, Entry{ID: fmt.Sprintf("cache-%05d", i), Address: fmt.Sprintf("%s:%d", ip(cachesAt+i%cachesMost), cachePort),
			Kind: "box", State: "Ready", Region: fmt.Sprint("region-", place.Region), Zone: fmt.Sprint("zone-", place.Zone)})
	}
	w.entries = append(w.entries, Entry{ID: "origin", Address: fmt.Sprintf("%s:%d", ip(cachesAt+cachesMost), cachePort), Kind: "origin",
		State: "Ready", Region: "region-0", Zone: "zone-0"})
}

func (w *world) served(name string) *process {
	return &process{name: name, folder: w.folder, args: []string{"serve", "--config", filepath.Join(w.folder, name+".json")}}
}

func (w *world) all() []*process {
	return slices.Concat([]*process{w.discovery}, w.voters, w.reals, w.hosts)
}

// tearDown ends all that was started, each process by its id.
func (w *world) tearDown() {
	select {
	case <-w.done:
	default:
		close(w.done)
	}
	w.asking.Wait()
	if w.client != nil {
		w.client.Close()
	}
	var ending sync.WaitGroup
	for _, p := range w.all() {
		ending.Go(func() { p.end(syscall.SIGKILL) }) // nothing of a run is kept, so nothing has to end well
	}
	ending.Wait()
	for _, r := range w.relays {
		r.Close()
	}
	for _, c := range w.caches {
		_ = c.Close()
	}
}

// papers writes a node's file.
func (w *world) papers(name string, address int, vote, cut bool) error {
	discovery := fmt.Sprintf("%s:%d", ip(discoveryAt), discoveryPort)
	routes := map[string]string{}
	var votes []map[string]string
	for i := range voters {
		at := fmt.Sprintf("%s:%d", ip(i), fleetPort)
		votes = append(votes, map[string]string{"name": fmt.Sprint("v", i), "address": at})
		routes[at] = fmt.Sprintf("%s:%d", ip(relaysAt), relayPort+i)
	}
	sockets := 1024
	if vote {
		sockets = w.voterSockets(w.room.Descriptors)
	}
	x := map[string]any{"name": name, "listen": fmt.Sprintf("%s:%d", ip(address), clientsPort), "discovery": discovery,
		"limits": map[string]any{"cores": 1, "memory_mb": 256, "sockets": sockets},
		"settings": map[string]any{"balancers": w.Nodes + w.Real, "models": []string{"box", "origin"},
			"domain":      map[string]any{"mode": "aside", "origin-kind": 1},
			"permissions": map[string]any{"most-shots": 3},
			"namespaces":  []map[string]any{{"name": "read", "repeat": "safe", "target-time-ms": 400, "time-limit-ms": 900}}}}
	if w.Has(Lease) {
		fleet := map[string]any{"name": "scale", "address": fmt.Sprintf("%s:%d", ip(address), fleetPort), "voters": votes}
		if vote {
			fleet["folder"], fleet["tasks"] = filepath.Join(w.folder, name+"-vote"), []string{"probe"}
		}
		if w.Has(Budget) {
			fleet["nodes"] = w.Nodes + w.Real + voters
			whole := eachNode * float64(w.Nodes+w.Real+voters)
			fleet["budgets"] = []map[string]any{{"name": budgetName, "kind": "rate", "bounds": "origin", "whole": whole, "burst": 2 * int(whole)}}
		}
		if cut {
			fleet["routes"] = routes
		}
		x["fleet"] = fleet
	}
	if cut {
		x["discovery"] = fmt.Sprintf("%s:%d", ip(relaysAt), relayPort+voters)
	}
	if w.FileKB > 0 {
		x["notes"] = w.notes
	}
	b, err := json.Marshal(x)
	if err != nil {
		return err
	}
	path := filepath.Join(w.folder, name+".json")
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// write writes all files.
func (w *world) write() (err error) {
	w.file++
	notes := map[string]any{"revision": w.file} // unknown keys are accepted: they stand for what else a file has
	for i := range w.FileKB * 16 {
		notes[fmt.Sprintf("note-%05d", i)] = fmt.Sprintf("%048d", i)
	}
	if w.notes, err = json.Marshal(notes); err != nil {
		return err
	}
	for i, p := range w.voters {
		err = errors.Join(err, w.papers(p.name, i, true, false))
	}
	for i, p := range w.reals {
		err = errors.Join(err, w.papers(p.name, voters+i, false, false))
	}
	for n := range w.Nodes {
		cut := w.Has(Cut) && w.PlaceOf(n).Region == 0
		err = errors.Join(err, w.papers(fmt.Sprint(hollowName, n), voters+w.Real+n, false, cut))
	}
	return err
}

// each does something for processes side by side.
func each(of []*process, do func(*process) error) error {
	errs := make([]error, len(of))
	var all sync.WaitGroup
	for i, p := range of {
		all.Go(func() { errs[i] = do(p) })
	}
	all.Wait()
	return errors.Join(errs...)
}

func (w *world) sleep(span time.Duration) {
	select {
	case <-w.ctx.Done():
	case <-time.After(span):
	}
}

// play does all in turn.
func (w *world) play() error {
	if err := w.setUp(); err != nil {
		return err
	}
	w.sleep(settleSpan)
	if err := w.collect(); err != nil {
		return err
	}
	if err := w.phase("peace", w.peace()); err != nil {
		return err
	}
	for _, what := range All {
		if !w.Has(what) || w.ctx.Err() != nil {
			continue
		}
		var err error
		switch what {
		case Churn:
			err = w.phase(Churn, w.churn())
		case Restart, Rack, Zone, Region:
			err = w.loss(what)
		case Cut:
			err = w.cutOff()
		case Discovery:
			err = w.outage()
		case Leader:
			err = w.deposed()
		default:
			continue
		}
		if err != nil {
			return err
		}
	}
	if w.Real > 0 && !w.Quiet {
		asked, unserved, why := w.lookups.Verdict()
		w.line("lookups at %d real nodes: %d, left unserved by a running node: %d", w.Real, asked, unserved)
		if unserved > 0 || asked == 0 {
			w.broken("%d of %d lookups were not served by nodes that ran; the first: %s", unserved, asked, why)
		}
	}
	return w.ctx.Err()
}

func (w *world) line(format string, args ...any) {
	w.result.Lines = append(w.result.Lines, fmt.Sprintf(format, args...))
	w.say(format, args...)
}

func (w *world) broken(format string, args ...any) {
	w.result.Broken = append(w.result.Broken, fmt.Sprintf(format, args...))
}

func (w *world) point(phase, role, what string, v float64) {
	w.result.Points = append(w.result.Points, Point{w.Nodes, w.Real, w.Servers, w.Seed, phase, role, what, v})
}

// setUp starts all, the hollow nodes together.
func (w *world) setUp() (err error) {
	if err = w.write(); err != nil {
		return err
	}
	if err = w.discovery.start(w.Program); err != nil {
		return err
	}
	if _, err = w.discovery.tell(order{Do: "open", Entries: w.entries}); err != nil {
		return err
	}
	if w.Real > 0 && !w.Quiet {
		for i := range min(w.Servers, cachesMost) {
			if err = w.cache(cachesAt + i); err != nil {
				return err
			}
		}
		if err = w.cache(cachesAt + cachesMost); err != nil {
			return err
		}
	}
	if w.Has(Cut) {
		for i := range voters + 1 {
			target := fmt.Sprintf("%s:%d", ip(i), fleetPort)
			if i == voters {
				target = fmt.Sprintf("%s:%d", ip(discoveryAt), discoveryPort)
			}
			r, err := faulttest.NewRelay(fmt.Sprintf("%s:%d", ip(relaysAt), relayPort+i), target)
			if err != nil {
				return err
			}
			w.relays = append(w.relays, r)
		}
	}
	if w.Has(Lease) {
		if err = each(w.voters, func(p *process) error { return p.start(w.Program) }); err != nil {
			return err
		}
		f, err := config.ReadCluster(filepath.Join(w.folder, "v0.json"))
		if err != nil {
			return err
		}
		w.client = cluster.NewClient(f, zap.NewNop())
		for end := time.Now().Add(endWithin); ; w.sleep(50 * time.Millisecond) {
			if err = w.client.FoundCluster(0); err == nil {
				break
			}
			if time.Now().After(end) || w.ctx.Err() != nil {
				return fmt.Errorf("the fleet was not founded: %w", err)
			}
		}
	}
	if err = each(slices.Concat(w.hosts, w.reals), func(p *process) error { return p.start(w.Program) }); err != nil {
		return err
	}
	u, err := w.hosts[0].used()
	if err != nil {
		return err
	}
	w.base = u.Heap
	from := faulttest.Boot()
	if err = each(w.hosts, func(p *process) error { _, err := p.tell(order{Do: "start", Nodes: p.nodes}); return err }); err != nil {
		return err
	}
	if err = w.recovered("start", from, recoverMost); err != nil {
		return err
	}
	if w.Real > 0 && !w.Quiet {
		for i, p := range w.reals {
			at := fmt.Sprintf("%s:%d", ip(voters+i), clientsPort)
			if !w.up(at) {
				return fmt.Errorf("%s doesn't serve", p.name)
			}
			w.asking.Go(func() { w.lookups.Ask(at, w.done, func(int64) bool { return false }) })
		}
	}
	return w.ctx.Err()
}

// up waits until a real node says that it serves.
func (w *world) up(at string) bool {
	h := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(endWithin); time.Now().Before(end) && w.ctx.Err() == nil; w.sleep(20 * time.Millisecond) {
		if resp, err := h.Get("http://" + at + "/up"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// cache opens a stand-in of a cache or of the origin.
func (w *world) cache(n int) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip(n), cachePort))
	if err != nil {
		return err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "value") })}
	w.caches = append(w.caches, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// collect takes the marks over that have come since the last time.
func (w *world) collect() error {
	var mu sync.Mutex
	w.marks = nil
	return each(w.hosts, func(p *process) error {
		if !p.runs() {
			return nil
		}
		r, err := p.tell(order{Do: "marks"})
		mu.Lock()
		defer mu.Unlock()
		w.marks = append(w.marks, r.Marks...)
		return err
	})
}

// add is collect, and keeps what was taken over before.
func (w *world) add() error {
	before := w.marks
	err := w.collect()
	w.marks = append(before, w.marks...)
	return err
}

// nodes gives all hollow nodes' numbers but those of some racks.
func (w *world) nodes(but map[int]bool) (all []int) {
	for n := range w.Nodes {
		if !but[w.PlaceOf(n).Rack] {
			all = append(all, n)
		}
	}
	return all
}

// wanted gives what every node comes to have.
func (w *world) wanted() (all []string) {
	all = []string{markList}
	if w.Has(Lease) {
		all = append(all, markHeld)
	}
	if w.Has(Budget) {
		all = append(all, markParts)
	}
	return all
}

var called = map[string]string{markList: "list", markHeld: "lease", markParts: "part", markFile: "configuration"}

// recovered waits until all nodes that started since have all that they need, and tells how long each took.
func (w *world) recovered(phase string, from int64, within time.Duration) error {
	w.marks = nil
	for end := time.Now().Add(within); ; w.sleep(200 * time.Millisecond) {
		if err := w.add(); err != nil {
			return err
		}
		of, missing := byNode(w.marks), 0
		for _, what := range w.wanted() {
			missing += sinceStart(of, w.nodes(nil), from, what, within).Missing
		}
		if late := time.Now().After(end); missing == 0 || late || w.ctx.Err() != nil {
			break
		}
	}
	of := byNode(w.marks)
	for _, what := range w.wanted() {
		w.told(phase, called[what]+" after a start", sinceStart(of, w.nodes(nil), from, what, within))
	}
	return w.ctx.Err()
}

// told keeps times as points, and as a line.
func (w *world) told(phase, what string, t Times) {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	if t.Each.TotalCount() > 0 {
		for _, p := range []float64{50, 99, 100} {
			name := fmt.Sprintf("p%g", p)
			if p == 100 {
				name = "worst"
			}
			w.point(phase, "node", fmt.Sprintf("%s %s ms", what, name), ms(t.Each.ValueAtPercentile(p)))
			w.point(phase, "last node", fmt.Sprintf("%s %s ms", what, name), ms(t.Last.ValueAtPercentile(p)))
		}
		w.line("%s: %s: p50 %.1f, p99 %.1f, worst %.1f ms of %d; at the last node p50 %.1f, p99 %.1f, worst %.1f of %d; missing %d", phase, what,
			ms(t.Each.ValueAtPercentile(50)), ms(t.Each.ValueAtPercentile(99)), ms(t.Each.Max()), t.Each.TotalCount(),
			ms(t.Last.ValueAtPercentile(50)), ms(t.Last.ValueAtPercentile(99)), ms(t.Last.Max()), t.Last.TotalCount(), t.Missing)
	}
	if w.point(phase, "node", what+" missing", float64(t.Missing)); t.Missing > 0 {
		w.broken("%s: %s: %d times not in time", phase, what, t.Missing)
	}
}

// snapshot asks all processes for their use.
func (w *world) snapshot() (map[*process]used, error) {
	all := map[*process]used{}
	var mu sync.Mutex
	return all, each(w.all(), func(p *process) error {
		u, err := p.used()
		mu.Lock()
		defer mu.Unlock()
		all[p] = u
		return err
	})
}

// afresh collects, forgets the marks of what came before, and gives what each process has used so far.
func (w *world) afresh() (map[*process]used, error) {
	if err := w.collect(); err != nil {
		return nil, err
	}
	w.marks = nil
	return w.snapshot()
}

// leader gives the voter that leads, -1: none is known.
func (w *world) leader() int {
	if w.client == nil {
		return -1
	}
	s, err := w.client.Status()
	if err != nil {
		return -1
	}
	return slices.IndexFunc(w.voters, func(p *process) bool { return p.name == s.Node })
}

// change lets entries change on the list.
func (w *world) change(entries []Entry) (Change, error) {
	r, err := w.discovery.tell(order{Do: "change", Entries: entries})
	return Change{r.At, r.Version}, err
}

// reload lets all nodes read their files anew.
func (w *world) reload() (Change, error) {
	if err := w.write(); err != nil {
		return Change{}, err
	}
	at := faulttest.Boot()
	err := each(w.hosts, func(p *process) error { _, err := p.tell(order{Do: "reload"}); return err })
	for _, p := range w.reals {
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	}
	return Change{At: at}, err
}

// phase plays events, and tells what they took.
func (w *world) phase(name string, events []Event) error {
	leads := w.leader()
	before, err := w.snapshot()
	if err != nil {
		return err
	}
	if err := w.collect(); err != nil { // what came before is told by others
		return err
	}
	w.marks = nil
	began, start := time.Now(), faulttest.Boot()
	changes, unset := map[string][]Change{}, 0
	var mu, reloads sync.Mutex
	var errs []error
	var slow sync.WaitGroup // what takes long must not hold up the other events
	note := func(kind string, c Change, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			errs = append(errs, err)
			return
		}
		changes[kind] = append(changes[kind], c)
	}
	for _, e := range events {
		w.sleep(time.Until(began.Add(e.At)))
		if w.ctx.Err() != nil {
			return w.ctx.Err()
		}
		switch e.Kind {
		case entryChanges:
			x := w.entries[e.Index]
			x.Started = float64(time.Now().UnixMilli())
			c, err := w.change([]Entry{x})
			note(e.Kind, c, err)
		case fileChanges:
			slow.Go(func() {
				reloads.Lock() // one at a time
				defer reloads.Unlock()
				c, err := w.reload()
				note(e.Kind, c, err)
			})
		case budgetChanges:
			if w.whole *= 1.1; w.whole > 1.2*eachNode*float64(w.Nodes+w.Real+voters) {
				w.whole /= 1.21
			}
			whole := math.Round(w.whole)
			slow.Go(func() {
				c := Change{At: faulttest.Boot()}
				x, err := w.client.SetLimit(budgetName, whole)
				if err != nil { // nobody led just now: the other changes go on
					mu.Lock()
					defer mu.Unlock()
					w.line("%s: the budget's whole could not be set: %v", name, err)
					unset++
					return
				}
				c.N = int64(x.BudgetConfig.Revision)
				note(e.Kind, c, nil)
			})
		case nodeRestarts:
			_, err := w.hosts[w.PlaceOf(e.Index).Rack].tell(order{Do: "restart", Nodes: []int{e.Index}})
			note(e.Kind, Change{}, err)
		}
	}
	slow.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	w.sleep(time.Until(began.Add(w.Span)))
	after, err := w.snapshot()
	if err != nil {
		return err
	}
	w.sleep(lateMost / 5) // what is late comes yet
	if err := w.add(); err != nil {
		return err
	}
	w.costs(name, before, after, leads)
	of, nodes := byNode(w.marks), w.nodes(nil)
	for i, p := range w.reals {
		of[realNodes+i] = p.logged(realNodes + i)
		nodes = append(nodes, realNodes+i)
	}
	w.told(name, "list in force", inForce(changes[entryChanges], of, nodes, markList, lateMost))
	if w.Has(Configuration) {
		w.told(name, "configuration in force", inForce(changes[fileChanges], of, nodes, markFile, lateMost))
	}
	if w.Has(Budget) {
		if w.point(name, "node", "wholes that could not be set", float64(unset)); unset > 0 {
			w.broken("%s: a budget's whole could not be set %d times", name, unset)
		}
		w.told(name, "budget's whole in force", inForce(changes[budgetChanges], of, w.nodes(nil), markParts, lateMost))
	}
	if n := len(changes[nodeRestarts]); n > 0 {
		w.line("%s: %d nodes restarted, %d entries changed: %g times the operators' whole fleet's", name, n, len(changes[entryChanges]), w.Faster)
		for _, what := range w.wanted() {
			w.told(name, called[what]+" after a start", sinceStart(of, w.nodes(nil), start, what, lateMost))
		}
	}
	if w.Has(Lease) {
		w.renewals(name)
	}
	if now := w.leader(); now != leads {
		w.line("%s: another voter came to lead meanwhile: what the leader used is not all told", name)
	}
	return nil
}

// renewals tells how long askings for leases took, and how many came to nothing.
func (w *world) renewals(phase string) {
	t, failed, lost := newTimes(), 0, 0
	for _, m := range w.marks {
		switch m.What {
		case markRenews:
			record(t.Each, m.N)
			record(t.Last, m.N)
		case markFailed:
			failed++
		case markLost:
			lost++
		}
	}
	w.told(phase, "a renewal", t)
	w.point(phase, "node", "askings that came to nothing", float64(failed))
	w.point(phase, "node", "leases lost", float64(lost))
	w.line("%s: askings for leases that came to nothing %d, leases lost %d", phase, failed, lost)
}

// costs tells what each role has used between two looks.
func (w *world) costs(phase string, before, after map[*process]used, leads int) {
	tell := func(role string, of []*process, per float64, base uint64) {
		sums := map[string]float64{}
		uses := map[string]float64{}
		for _, p := range of {
			a, b := before[p], after[p]
			span := float64(b.at-a.at) / float64(time.Second)
			sums["share of a core %"] += 100 * float64(b.CPUBefore-a.CPUAfter) / float64(time.Second) / span
			for use, t := range b.Traffic {
				was := a.Traffic[use]
				sums["messages sent /s"] += float64(t.Writes-was.Writes) / span
				sums["messages received /s"] += float64(t.Reads-was.Reads) / span
				sums["bytes sent /s"] += float64(t.Sent-was.Sent) / span
				sums["bytes received /s"] += float64(t.Received-was.Received) / span
				uses["bytes both ways /s: "+use] += float64(t.Sent-was.Sent+t.Received-was.Received) / span
			}
			sums["resident MB"] += float64(b.resident) / (1 << 20)
			sums["live heap KB"] += (float64(b.Heap) - float64(base)) / 1024
			sums["descriptors"] += float64(b.descriptors)
			if b.calls != (Calls{}) {
				sums["whole lists /s"] += float64(b.calls.Whole-a.calls.Whole) / span
				sums["lists of changes /s"] += float64(b.calls.Changes-a.calls.Changes) / span
			}
		}
		text := fmt.Sprintf("%s: %s:", phase, role)
		for _, what := range slices.Concat(measures, sortedKeys(uses)) {
			v, is := sums[what]
			if u, by := uses[what]; by {
				v, is = u, true
			}
			if is {
				w.point(phase, role, what, v/per)
				text += fmt.Sprintf(" %s %.4g,", what, v/per)
			}
		}
		w.line("%s", text[:len(text)-1])
	}
	tell("node", w.hosts, float64(w.Nodes), w.base)
	tell("all nodes", w.hosts, 1, w.base) // over sizes: what each comes to is the slope, and the processes' own part the base
	if w.Real > 0 {
		tell("real node", w.reals, float64(w.Real), w.base)
	}
	if leads >= 0 {
		tell("leader", w.voters[leads:leads+1], 1, w.base)
		var others []*process
		for i, p := range w.voters {
			if i != leads && p.runs() {
				others = append(others, p)
			}
		}
		tell("other voter", others, float64(len(others)), w.base)
	}
	tell("discovery", []*process{w.discovery}, 1, 0)
}

var measures = []string{"share of a core %", "messages sent /s", "messages received /s", "bytes sent /s", "bytes received /s", "resident MB",
	"live heap KB", "descriptors", "whole lists /s", "lists of changes /s"}
