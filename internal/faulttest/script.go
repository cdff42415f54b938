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
	name, what string
	of         func(w *world, ctx context.Context, p *process) bool
	voter      bool // it strikes a voter
}

const (
	past       = leaseSpan * 13 / 10 // beyond a lease and all that is added to it
	brief      = leaseSpan / 2
	lateAnswer = 95 * time.Millisecond // a little less than a call may take
)

var kinds = []fault{
	{"kill", "SIGKILL, and a start soon after", func(w *world, ctx context.Context, p *process) bool {
		return w.again(ctx, p, syscall.SIGKILL, brief, nil)
	}, false},
	{"kill-holder", "the same for whoever holds the lease", func(w *world, ctx context.Context, p *process) bool {
		return w.again(ctx, w.holder(p), syscall.SIGKILL, past, nil)
	}, false},
	{"term", "SIGTERM, and a start soon after", func(w *world, ctx context.Context, p *process) bool {
		return w.again(ctx, p, syscall.SIGTERM, brief, nil)
	}, false},
	{"stop", "SIGSTOP for longer than a lease, and SIGCONT", func(w *world, _ context.Context, p *process) bool {
		p = w.holder(p)
		w.lost("stop", p, past+leaseSpan)
		return p.stand("", past)
	}, false},
	{"stop-before-act", "a stop exactly between the check and the act", func(w *world, _ context.Context, p *process) bool {
		p = w.holder(p)
		w.touch(p, pointWithin+past+leaseSpan)
		return p.stand("before-act", past)
	}, false},
	{"stop-in-act", "a stop in the middle of an act that has no door", func(w *world, _ context.Context, p *process) bool {
		p = w.holder(p)
		w.touch(p, pointWithin+past+leaseSpan)
		return p.stand("in-act", past)
	}, false},
	{"stop-on-renewal", "a stop of the leader, with renewals in its queues", func(w *world, ctx context.Context, p *process) bool {
		p = w.leader(ctx, p)
		w.touch(p, pointWithin+past+leaseSpan)
		return p.stand("on-renewal", past)
	}, true},
	{"cut", "a process and all others hear nothing of each other", func(w *world, ctx context.Context, p *process) bool {
		return w.way(ctx, "cut", w.holder(p), past+leaseSpan, func(f, b *flow, on bool) { f.held.Store(on); b.held.Store(on) })
	}, false},
	{"part", "the leader, and the holder if it doesn't vote, are cut off from all others", func(w *world, ctx context.Context, p *process) bool {
		leader, holder := w.leader(ctx, p), w.holder(p)
		side := map[int]bool{leader.n: true}
		if holder.n >= votersOf {
			side[holder.n] = true
		}
		all := func(on bool) {
			for at, l := range w.links {
				if side[at[0]] != side[at[1]] {
					l.forth.held.Store(on)
					l.back.held.Store(on)
				}
			}
		}
		if side[holder.n] {
			w.lost("part", holder, 0)
		}
		all(true)
		w.sleep(ctx, past+2*leaseSpan)
		all(false)
		return true
	}, true},
	{"deaf", "a process is heard, and hears nobody", func(w *world, ctx context.Context, p *process) bool {
		return w.oneWay(ctx, p, past, func(in *flow, on bool) { in.held.Store(on) })
	}, true},
	{"slow", "all ways of a process take ten delays more", func(w *world, ctx context.Context, p *process) bool {
		return w.way(ctx, "", p, past, func(f, b *flow, on bool) {
			d := int64(0)
			if on {
				d = int64(10 * delaySpan)
			}
			f.delay.Store(d)
			b.delay.Store(d)
		})
	}, false},
	{"reset", "all connections of a process are reset, three times", func(w *world, ctx context.Context, p *process) bool {
		for range 3 {
			for at, l := range w.links {
				if at[0] == p.n || at[1] == p.n {
					l.resetAll()
				}
			}
			w.sleep(ctx, brief/3)
		}
		return true
	}, false},
	{"power", "two of three voters lose power together", func(w *world, ctx context.Context, p *process) bool {
		o := w.processes[(p.n+1)%votersOf]
		w.touch(o, 3*time.Second)
		o.end(syscall.SIGKILL)
		struck := w.again(ctx, p, syscall.SIGKILL, brief, nil)
		_, _, err := o.start()
		return struck && err == nil
	}, true},
	{"folder-lost", "a voter comes back without its folder, and is replaced by an operator", func(w *world, ctx context.Context, p *process) bool {
		return w.again(ctx, p, syscall.SIGKILL, brief, func() { _ = os.RemoveAll(p.folder) }) && w.replaced(ctx, p)
	}, true},
	{"folder-cut", "a voter's log is cut short while it is down", func(w *world, ctx context.Context, p *process) bool {
		struck := w.again(ctx, p, syscall.SIGKILL, brief, func() {
			path := filepath.Join(p.folder, "log.db")
			if i, err := os.Stat(path); err == nil {
				_ = os.Truncate(path, i.Size()/3)
			}
		})
		w.sleep(ctx, brief)
		return struck && w.again(ctx, p, syscall.SIGTERM, brief, func() { _ = os.RemoveAll(p.folder) }) && w.replaced(ctx, p)
	}, true},
	{"folder-full", "a voter's files can't grow any more", func(w *world, ctx context.Context, p *process) bool {
		p.mu.Lock()
		pid := p.cmd.Process.Pid
		p.mu.Unlock()
		if unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}, nil) != nil {
			return false
		}
		w.sleep(ctx, past)
		return w.again(ctx, p, syscall.SIGTERM, brief, nil)
	}, true},
	{"late-answers", "who doesn't vote hears answers late, and then a holder among them nothing", func(w *world, ctx context.Context, p *process) bool {
		late := func(span time.Duration) {
			for at, l := range w.links {
				if at[0] >= votersOf {
					l.back.delay.Store(int64(span))
				}
			}
		}
		late(lateAnswer)
		w.sleep(ctx, 2*leaseSpan)
		struck := w.way(ctx, "cut", w.holder(p), past, func(f, b *flow, on bool) { f.held.Store(on); b.held.Store(on) })
		late(0)
		return struck
	}, false},
	{"amnesia", "a voter is behind, one loses its folder, and the third is down: those two must not agree", func(w *world, ctx context.Context, p *process) bool {
		behind, gone := w.processes[(p.n+1)%votersOf], w.processes[(p.n+2)%votersOf]
		cut := func(on bool) {
			for at, l := range w.links {
				if at[0] == behind.n || at[1] == behind.n {
					l.forth.held.Store(on)
					l.back.held.Store(on)
				}
			}
		}
		cut(true)
		w.sleep(ctx, past+leaseSpan) // the others go on, and agree on some entries
		w.touch(gone, 8*time.Second)
		w.touch(p, 8*time.Second)
		p.end(syscall.SIGKILL)
		_ = os.RemoveAll(p.folder)
		gone.end(syscall.SIGKILL)
		_, _, err := p.start()
		cut(false)
		w.sleep(ctx, past+2*leaseSpan) // room for what must not happen
		_, _, again := gone.start()
		w.sleep(ctx, leaseSpan)
		return err == nil && again == nil && w.replaced(ctx, p)
	}, true},
	{"upgrade", "a node is replaced by its next process on the passed socket", func(w *world, ctx context.Context, p *process) bool {
		p = w.holder(p)
		before, ended, err := p.start()
		if err != nil {
			return false
		}
		w.touch(p, brief) // until it has the list, the next one defers what it takes from the socket of both
		serves := p.serves()
		_ = before.Process.Signal(syscall.SIGTERM)
		select {
		case <-ended:
			w.sleep(ctx, brief)
			return serves
		case <-time.After(endWithin):
			_ = before.Process.Kill()
			return false
		}
	}, false},
}

// The kinds that reign over a whole run: how the clocks go.
var clocks = []fault{
	{name: "clock-bound", what: "clocks up to a fifth off, as the configuration allows; with cuts of the holder"},
	{name: "clock-beyond", what: "clocks of unlike rate far beyond the bound; with kills and stops of the holder"},
}

// FaultKinds tells them by name, in order.
func FaultKinds() (all [][2]string) {
	for _, k := range slices.Concat(kinds, clocks) {
		all = append(all, [2]string{k.name, k.what})
	}
	return all
}

// BudgetKinds tells those of runs on budgets.
func BudgetKinds() (all [][2]string) {
	for _, k := range append(dividing(), clocks[0]) {
		all = append(all, [2]string{k.name, k.what})
	}
	k, _ := kindOf("late-answers")
	return append(all, [2]string{k.name, k.what})
}

func kindOf(name string) (fault, bool) {
	all := slices.Concat(kinds, ofBudgets)
	i := slices.IndexFunc(all, func(k fault) bool { return k.name == name })
	if i < 0 {
		return fault{}, false
	}
	return all[i], true
}

// script strikes one fault after another, each healed before the next. Over the seeds the kinds come in turn, so that some
// runs have them all; whom they strike, and when, is chance.
func (w *world) script(ctx context.Context) {
	kinds := kinds
	if w.plan.Budgets {
		kinds = dividing()
	}
	for i := range faultsRun {
		k := kinds[(int(w.plan.Seed)*faultsRun+i)%len(kinds)]
		if only, is := kindOf(w.plan.Only); is {
			k = only
		}
		if w.plan.Budgets && w.plan.Only == "late-answers" {
			k, _ = kindOf("handed-on")
		}
		switch w.plan.Only {
		case "clock-bound":
			k, _ = kindOf("cut")
			if w.plan.Budgets {
				k, _ = kindOf("handed-on")
			}
		case "clock-beyond":
			k, _ = kindOf([]string{"kill-holder", "stop-before-act", "cut"}[w.rnd.IntN(3)])
		}
		at := w.rnd.IntN(w.plan.Processes)
		if k.voter {
			at %= votersOf
		}
		if ctx.Err() != nil {
			return
		}
		w.log("%s at n%d", k.name, at)
		if k.of(w, ctx, w.processes[at]) {
			w.struck[k.name]++
		}
		w.log("%s over", k.name)
		w.sleep(ctx, brief+time.Duration(w.rnd.Int64N(int64(brief))))
	}
	if w.plan.Only != "" && len(w.struck) > 0 {
		w.struck[w.plan.Only] = max(1, w.struck[w.plan.Only])
	}
}

// log writes a line of the rig's own, by the boot clock and the wall's, beside the nodes' logs.
func (w *world) log(format string, args ...any) {
	f, err := os.OpenFile(filepath.Join(w.folder, "rig.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer f.Close()
	fmt.Fprintf(f, "%d %s %s\n", boot(), time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// holder gives whoever acted last at the door, or the process at hand.
func (w *world) holder(otherwise *process) *process {
	who := w.door.holder()
	for _, p := range w.processes {
		if p.name == who {
			return p
		}
	}
	return otherwise
}

// leader gives whoever leads, or the process at hand.
func (w *world) leader(ctx context.Context, otherwise *process) *process {
	out, err := w.command(ctx, otherwise.n, "fleet", "status")
	for _, p := range w.processes {
		if err == nil && strings.Contains(out, "led by "+p.name+".") {
			return p
		}
	}
	return otherwise
}

// touch excuses a process from serving its clients for a while.
func (w *world) touch(p *process, span time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.touched[p.n] = max(w.touched[p.n], boot()+int64(span))
}

// lost notes that a holder is struck, if it is one.
func (w *world) lost(kind string, p *process, span time.Duration) {
	w.touch(p, span)
	if w.door.holder() == p.name {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.losses = append(w.losses, loss{kind, p.name, boot()})
	}
}

// again ends a process, and starts the node's next.
func (w *world) again(ctx context.Context, p *process, s syscall.Signal, after time.Duration, meanwhile func()) bool {
	kind := "kill"
	if s == syscall.SIGTERM {
		kind = "term"
	}
	w.lost(kind, p, after+5*time.Second)
	p.end(s)
	w.sleep(ctx, after)
	if meanwhile != nil {
		meanwhile()
	}
	_, _, err := p.start()
	return err == nil
}

// replaced lets an operator remove the voter that was, and add the one that is.
func (w *world) replaced(ctx context.Context, p *process) bool {
	w.sleep(ctx, brief)
	asked := (p.n + 1) % votersOf
	_, _ = w.command(ctx, asked, "fleet", "voter", "remove", p.name)
	for range 10 {
		if _, err := w.command(ctx, asked, "fleet", "voter", "add", p.name, w.ip(p.n+1)+":7100"); err == nil {
			return true
		}
		w.sleep(ctx, brief)
	}
	return false
}

// way changes all ways of a process for a while. With a kind it is a loss, if the process holds the lease.
func (w *world) way(ctx context.Context, kind string, p *process, span time.Duration, f func(forth, back *flow, on bool)) bool {
	all := func(on bool) {
		for at, l := range w.links {
			if at[0] == p.n || at[1] == p.n {
				f(&l.forth, &l.back, on)
			}
		}
	}
	if kind != "" {
		w.lost(kind, p, 0)
	}
	all(true)
	w.sleep(ctx, span)
	all(false)
	return true
}

// oneWay changes all that a process would hear.
func (w *world) oneWay(ctx context.Context, p *process, span time.Duration, f func(in *flow, on bool)) bool {
	all := func(on bool) {
		for at, l := range w.links {
			if at[1] == p.n {
				f(&l.forth, on)
			}
			if at[0] == p.n {
				f(&l.back, on)
			}
		}
	}
	w.lost("deaf", p, 0)
	all(true)
	w.sleep(ctx, span)
	all(false)
	return true
}
