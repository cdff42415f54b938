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
	fetchRate = 240.0 // a second at the origin
	acmeRate  = 60.0
	listRate  = 60.0
	coldRate  = 30.0
	linksMost = 36
	joinMost  = 2 // nodes that there may be beside those that there are

	lateLease = 1500 * time.Millisecond
	lateMuch  = lateLease / 4 // nearly as late as a call may take
	movesIn   = 1300 * time.Millisecond
)

// sizes are what the seed of a run decides of its budgets.
func (w *world) sizes() (burst int, apart float64, room int) {
	nodes := float64(w.plan.Processes + joinMost)
	if w.plan.Seed%2 == 0 && w.plan.Without == "" {
		return 8, 0, 60 // the rate is what is short
	}
	return 16, nodes/16 + 0.01, 3 + int(w.plan.Seed)%9 // the number is; smaller than the fleet at times, so that units go round
}

// odd says whether a node comes late, with wholes of its own in its papers.
func (w *world) odd(n int) bool { return w.plan.Budgets && n >= votersOf && n == w.plan.Processes-1 }

// budgeted changes a node's papers for a run on budgets. The last node's have wholes of their own, which must not count.
func (w *world) budgeted(n int, papers, fleet map[string]any) {
	burst, apart, room := w.sizes()
	times := 1.0
	if w.odd(n) {
		times = 3
	}
	fleet["tasks"], fleet["nodes"] = []string{}, w.plan.Processes+joinMost
	if w.long() {
		fleet["lease_ms"], fleet["delay_ms"] = lateLease.Milliseconds(), (lateLease / 20).Milliseconds()
	}
	fleet["budgets"] = []map[string]any{
		{"name": "fetches", "kind": "rate", "bounds": "origin", "whole": fetchRate * times, "burst": burst, "apart": min(1, apart)},
		{"name": "room", "kind": "number", "bounds": "origin", "whole": room * int(times), "apart": 0.0},
		{"name": "acme", "kind": "rate", "bounds": "partner", "partner": "acme", "whole": acmeRate * times, "burst": 14, "apart": 0.0},
		{"name": "lists", "kind": "rate", "bounds": "discovery", "whole": listRate * times, "burst": 60, "apart": 0.9},
		{"name": "cold", "kind": "rate", "bounds": "cold", "whole": coldRate, "burst": 10, "apart": 0.0},
		{"name": "links", "kind": "number", "bounds": "cache", "whole": linksMost * int(times), "apart": 0.5},
	}
	settings := papers["settings"].(map[string]any)
	settings["balancers"] = w.plan.Processes
	settings["tenants"] = []map[string]any{{"name": "acme", "quota-rps": acmeRate}}
	settings["invariants"] = map[string]any{"warm-up-ms": coldSpan.Milliseconds(), "cold-from": 0.25, "overload-factor": 4, "fall-ms": 1000}
	settings["namespaces"] = []map[string]any{{"name": "read", "repeat": "safe", "target-time-ms": 400, "time-limit-ms": limitOf.Milliseconds()}}
}

func (w *world) named(pid int, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.names == nil {
		w.names = map[int]string{}
	}
	w.names[pid] = name
}

// dividing are the kinds of fault that runs on budgets have in turn.
func dividing() (all []fault) {
	for _, name := range []string{"handed-on", "kill-third", "in-turn", "stop", "cut", "whole-lowered", "part", "handed-on-unled", "come-and-go", "deaf", "upgrade", "stop-on-renewal",
		"folder-lost", "kill", "slow", "reset", "power"} {
		k, _ := kindOf(name)
		all = append(all, k)
	}
	return all
}

// ofBudgets are those that only such runs have. It is filled at the start, since kinds refer to each other by name.
var ofBudgets = []fault{
	{"handed-on", "one node alone has all, then it is cut off and all others want it", func(w *world, ctx context.Context, p *process) bool {
		return w.handedOn(ctx, p, false)
	}, false},
	{"handed-on-unled", "the same, and the leader is killed meanwhile", func(w *world, ctx context.Context, p *process) bool {
		return w.handedOn(ctx, p, true)
	}, false},
	{"in-turn", "each node in turn has nearly all, then nobody wants any, then all at once", func(w *world, ctx context.Context, _ *process) bool {
		defer w.focus.Store(0)
		for n := range w.processes {
			w.focus.Store(int32(n + 1))
			w.sleep(ctx, movesIn*2/3)
		}
		w.focus.Store(lull)
		w.sleep(ctx, movesIn)
		w.focus.Store(everyone)
		w.sleep(ctx, brief)
		return true
	}, false},
	{"kill-third", "SIGKILL of a third of all at once, and a start soon after", func(w *world, ctx context.Context, p *process) bool {
		var all sync.WaitGroup
		struck := atomic.Int32{}
		for i := range (w.plan.Processes + 2) / 3 {
			o := w.processes[(p.n+i)%w.plan.Processes]
			all.Go(func() {
				if w.again(ctx, o, syscall.SIGKILL, brief, nil) {
					struck.Add(1)
				}
			})
		}
		all.Wait()
		w.sleep(ctx, past)
		return struck.Load() > 0
	}, false},
	{"come-and-go", "a node leaves and joins again, without pause", func(w *world, ctx context.Context, p *process) bool {
		for range 3 {
			if !w.again(ctx, p, syscall.SIGTERM, 0, nil) {
				return false
			}
			w.sleep(ctx, brief)
		}
		return true
	}, false},
	{"whole-lowered", "an operator lowers wholes under load, and raises them again", func(w *world, ctx context.Context, p *process) bool {
		burst, _, room := w.sizes()
		lower := max(w.plan.Processes+joinMost, burst*5/8) // not below what is apart
		if burst == 8 {
			lower = 5
		}
		set := func(name string, whole float64) bool {
			_, err := w.command(ctx, p.n, "budget", "set", name, fmt.Sprint(whole))
			return err == nil
		}
		each := fetchRate / float64(burst)
		if !set("fetches", each*float64(lower)) || !set("room", float64((room+1)/2)) {
			return false
		}
		w.sleep(ctx, leaseSpan*125/100+100*time.Millisecond) // by then all that was out has come back
		w.bound("fetches", bounded{from: boot(), rate: each * float64(lower), most: float64(lower)})
		w.bound("room", bounded{from: boot(), most: float64((room + 1) / 2), number: true})
		w.sleep(ctx, past)
		w.bound("fetches", bounded{from: boot(), rate: fetchRate, most: float64(burst)})
		w.bound("room", bounded{from: boot(), most: float64(room), number: true})
		for range 5 {
			if set("fetches", fetchRate) && set("room", float64(room)) {
				return true
			}
		}
		return true
	}, false},
}

// long says whether leases are longer in a run: answers can be late by more then, and a leader is followed well within one.
func (w *world) long() bool { return w.plan.Only == "late-answers" || w.plan.Only == "handed-on-unled" }

// handedOn lets a node that doesn't vote, or any where all do, come to have nearly all, and cuts it off while all want it.
func (w *world) handedOn(ctx context.Context, p *process, unled bool) bool {
	if len(w.processes) > votersOf {
		p = w.processes[votersOf+p.n%(len(w.processes)-votersOf)]
	}
	lasts := past
	if w.long() {
		lasts = lateLease * 13 / 10
	}
	w.focus.Store(int32(p.n + 1))
	w.sleep(ctx, movesIn)
	if w.plan.Only == "late-answers" {
		for at, l := range w.links {
			if at[0] == p.n {
				l.back.delay.Store(int64(lateMuch))
				defer l.back.delay.Store(0)
			}
		}
		w.sleep(ctx, lateLease)
	}
	w.focus.Store(everyone - int32(p.n+1))
	defer w.focus.Store(0)
	struck := make(chan bool, 1)
	if unled {
		leader := w.leader(ctx, w.processes[0])
		go func() { struck <- w.again(ctx, leader, syscall.SIGKILL, lasts/2, nil) }()
	} else {
		struck <- true
	}
	w.way(ctx, "", p, lasts, func(f, b *flow, on bool) { f.held.Store(on); b.held.Store(on) })
	return <-struck
}

func (w *world) bound(name string, b bounded) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wholes[name] = append(w.wholes[name], b)
}

// showsAt tells at which fault a safeguard is missed most.
var showsAt = map[string]string{"drift-margin": "clock-bound", "count-from-answer": "late-answers", "burst-kept": "in-turn",
	"leader-forgets": "handed-on-unled"}

// PlayBudgets plays one run on budgets.
func PlayBudgets(ctx context.Context, plan Plan) (r Run, err error) {
	plan.Budgets = true
	if plan.Only == "" && plan.Seed%4 > 0 { // what is missing is looked for where it counts, and in a quarter anywhere
		plan.Only = showsAt[plan.Without]
	}
	r.Seed = plan.Seed
	w := &world{plan: plan, program: plan.Program, rnd: rand.New(rand.NewPCG(plan.Seed, 30)), links: map[[2]int]*link{},
		struck: map[string]int{}, touched: map[int]int64{}, wholes: map[string][]bounded{}}
	if w.folder, err = os.MkdirTemp("", "rig-"); err != nil {
		return r, err
	}
	defer func() { w.keep(&r, err, "budgets") }()
	burst, _, room := w.sizes()
	for name, b := range map[string]bounded{"fetches": {rate: fetchRate, most: float64(burst)}, "room": {most: float64(room), number: true},
		"acme": {rate: acmeRate, most: 14}, "lists": {rate: listRate, most: 60}, "cold": {rate: coldRate, most: 10},
		"links-0": {most: linksMost, number: true}, "links-1": {most: linksMost, number: true}} {
		w.wholes[name] = []bounded{b}
	}
	err = w.setUp(ctx)
	done := make(chan struct{})
	d := demand{rates: make([]atomic.Int64, plan.Processes)}
	var asking sync.WaitGroup
	var late atomic.Int64
	if last := plan.Processes - 1; err == nil && w.odd(last) {
		w.sleep(ctx, warmSpan) // the wholes are agreed before the node with others comes
		_, _, err = w.processes[last].start()
	}
	if err == nil {
		w.touch(w.processes[plan.Processes-1], 3*time.Second)
		for _, p := range w.processes {
			asking.Go(func() {
				d.run(p.n, fmt.Sprintf("%s:%d", p.ip, clientsPort), plan.Seed, done, func(from int64) bool {
					w.mu.Lock()
					defer w.mu.Unlock()
					return from < w.touched[p.n]
				})
			})
		}
		asking.Go(func() { w.shift(&d, done) })
		asking.Go(func() { lateness(&late, done) })
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
	w.judgeBudgets(&r)
	r.Faults, r.Asked, r.Unserved = w.struck, d.asked.Load(), d.unanswered.Load()
	if r.Why, _ = d.why.Load().(string); r.Unserved > 0 {
		r.Broken = append(r.Broken, fmt.Sprintf("%d lookups had no answer in time from nodes that ran; the first: %s", r.Unserved, r.Why))
	}
	over := len(r.Broken)
	r.Broken = append(append(r.Broken, w.slow...), w.inLogs()...)
	text, _ := json.MarshalIndent(map[string]any{"broken": r.Broken, "worst": r.Worst, "wholes": fmt.Sprint(w.wholes), "pauses": fmt.Sprint(w.pauses),
		"processes": w.names}, "", " ")
	_ = os.WriteFile(filepath.Join(w.folder, "rig.json"), text, 0o600)
	switch worst := time.Duration(late.Load()); {
	case worst > lateMost/2:
		r.Void = fmt.Sprintf("the rig itself was %v late: too few cores", worst.Round(time.Millisecond))
	case r.Acts < 200:
		r.Void = fmt.Sprintf("%d acts only", r.Acts)
	}
	if r.Void != "" && over == 0 {
		r.Broken = nil
	}
	return r, nil
}

// What demand may be fixed on, beside a node's number and one.
const (
	lull     = -1
	everyone = -100 // less a node's number and one, which is asked most; all others much

	crowd = 50 // lookups a second before each node
)

// lateness notes how late the rig itself is for want of cores.
func lateness(most *atomic.Int64, done <-chan struct{}) {
	for {
		was := boot()
		select {
		case <-done:
			return
		case <-time.After(lateLook):
			most.Store(max(most.Load(), boot()-was-int64(lateLook)))
		}
	}
}

const lateLook = 10 * time.Millisecond

// shift moves the clients' demand about, and lets a cache start again now and then: one node has ten times what another has,
// and all together want twice what they may.
func (w *world) shift(d *demand, done <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(w.plan.Seed, 31))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		<-done
		stop()
	}()
	for i := 0; ctx.Err() == nil; i++ {
		hot := rnd.IntN(w.plan.Processes)
		for n := range d.rates {
			rate := int64(crowd)
			switch focus := w.focus.Load(); {
			case focus == lull || focus > 0 && int(focus) != n+1: // one alone
				rate = 1
			case int(focus) == n+1 || focus == everyone-int32(n+1): // it goes on
				rate = 8 * crowd
			case focus != 0:
				rate = 3 * crowd
			case n == hot:
				rate = 5 * crowd
			}
			d.rates[n].Store(rate)
		}
		switch {
		case w.focus.Load() != 0:
			w.sleep(ctx, 20*time.Millisecond)
		case i%4 == 1: // a lull, and all at once
			for n := range d.rates {
				d.rates[n].Store(1)
			}
			w.sleep(ctx, 800*time.Millisecond)
			for n := range d.rates {
				d.rates[n].Store(8 * crowd)
			}
			w.sleep(ctx, 200*time.Millisecond)
		case i%4 == 3:
			w.tallies.restart(ctx)
		default:
			end := time.Now().Add(600*time.Millisecond + time.Duration(rnd.Int64N(int64(900*time.Millisecond))))
			for time.Now().Before(end) && w.focus.Load() == 0 && ctx.Err() == nil {
				w.sleep(ctx, 20*time.Millisecond)
			}
		}
	}
}

// judgeBudgets holds what the stand-ins saw against the wholes.
func (w *world) judgeBudgets(r *Run) {
	r.Worst, r.Used = map[string]float64{}, map[string]float64{}
	for name, l := range w.tallies.ledgers {
		l.mu.Lock()
		all := slices.Clone(l.all)
		l.mu.Unlock()
		if name == "cold" || name == "links-0" || name == "links-1" {
			// Who stood still neither heard that a cache starts again nor could close a connection.
			all = slices.DeleteFunc(all, func(a arrival) bool { return w.stood(a) })
		}
		var p passed
		if w.wholes[name][0].number {
			p = judgeNumber(name, all, w.wholes[name])
		} else {
			p = judgeRate(name, all, w.wholes[name])
		}
		r.Acts += p.acts
		r.Windows += p.windows
		r.Worst[name], r.Used[name] = p.worst, p.used
		r.Broken = append(r.Broken, p.broken[:min(3, len(p.broken))]...)
	}
	slices.Sort(r.Broken)
}

// stood says whether the node that an arrival is of stood still about then.
func (w *world) stood(a arrival) bool {
	const after = int64(1500 * time.Millisecond)
	for _, p := range w.pauses {
		if p.to < 1<<62 && (w.names[p.pid] == a.who || a.who == "") && a.at < p.to+after && (a.end == 0 || a.end > p.from) && a.at > p.from-after*2 {
			return true
		}
	}
	return false
}
