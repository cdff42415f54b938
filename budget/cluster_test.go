package budget

import (
	"fmt"
	"hash"
	"maps"
	"slices"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/lease"
)

// A small fleet for the tests: a log, two who may lead and believe it for too long, and nodes under leases that end. What
// is explored is who hears what and when, who leads, and how the clocks run. Leases are kept by package lease, whose own
// tests show that a holder's end comes before the granter's; here both ends are plain times.

const (
	trueRate = 1000 // ticks of a clock in a step; the others are as far off as the bound allows
	fastRate = 1250
	slowRate = 750
	length   = Time(4 * trueRate)
	drift    = 0.25
)

// The safeguards that can be taken out.
const (
	noMargin   = "drift-margin"      // ends with no margin for clocks of unlike rate
	fromAnswer = "count-from-answer" // ends counted from when the answer came
	burstKept  = "burst-kept"        // what was saved up stays when a part shrinks
	reuse      = "reuse-early"       // what is asked back counts as free at once
	forget     = "leader-forgets"    // a new leader takes all parts to be free
	lateWord   = "old-word"          // an old word about a part counts for the one now
	outKept    = "acts-forgotten"    // a number at a time shrinks on paper while acts go on
)

var safeguards = []string{noMargin, fromAnswer, burstKept, reuse, forget, lateWord, outKept}

const limit = "limit"

type letter struct {
	from   int // process
	id     uint64
	ask    *Request
	answer *Response
	renews bool // of the lease
	sent   Time
	heard  bool
}

// process is one of a node; a node may have an earlier one that hasn't noticed its end.
type process struct {
	w            *world
	n, node      int
	purse        *QuotaClient
	token        uint64
	end          Time
	units, apart int
	until        Time
	out          int
	saved        int
	asks         bool // it is asked to act
	wakeAt       Time
	last         uint64 // its latest asking
	renewing     bool
}

type leader struct {
	w       *world
	n       int
	state   *lease.State
	applied int
	d       *Allocator
	term    int // 0: it doesn't believe to lead
	out     []uint64
	wakeAt  Time
	awake   bool
}

type world struct {
	without string
	terms   lease.BudgetConfig
	step    int
	from    int // the step that an exploration begins at
	log     []lease.Entry
	truth   *lease.State
	ends    map[string]Time // as the granter counts
	leaders [2]*leader
	procs   []*process
	flying  []letter
	term    int
	ids     uint64
	fault   string
	leads, lost, demands, regrants, renews,
	acts int
	old int // letters of a process that may be under way beside its latest
}

func nameOf(node int) string { return fmt.Sprint("node/n", node) }

func newWorld(without string, t lease.BudgetConfig, nodes int) *world {
	w := &world{without: without, terms: t, truth: lease.NewState(), ends: map[string]Time{}}
	for i := range w.leaders {
		l := &leader{w: w, n: i, state: lease.NewState()}
		l.d = w.divider(l)
		w.leaders[i] = l
	}
	w.append(lease.Entry{Version: 1, Kind: lease.KindFoundCluster, Name: "f"})
	w.elect(0)
	for i := range nodes {
		w.grant(i)
	}
	return w
}

func (w *world) divider(l *leader) *Allocator {
	return NewAllocator(l, l.state, Unsafe{Reuse: w.without == reuse, Forget: w.without == forget, Words: w.without == lateWord})
}

func (w *world) append(e lease.Entry) lease.Result {
	w.log = append(w.log, e)
	return w.truth.Apply(e)
}

func (l *leader) catchUp() {
	for ; l.applied < len(l.w.log); l.applied++ {
		l.state.Apply(l.w.log[l.applied])
	}
}

func (w *world) elect(i int) {
	w.term++
	l := w.leaders[i]
	l.term = w.term
	l.catchUp()
	w.append(lease.Entry{Version: 1, Kind: lease.KindNewTerm, Name: fmt.Sprint(i)})
	l.catchUp()
	l.out = nil
	l.d.Promote(l.now(), l.state.Term)
	for name := range w.ends {
		w.ends[name] = l.now() + w.long()
	}
}

func (w *world) long() Time {
	if w.without == noMargin {
		return length
	}
	return lease.GranterDuration(length, drift)
}

func (w *world) short() Time {
	if w.without == noMargin {
		return length
	}
	return lease.HolderDuration(length, drift)
}

// grant gives a node's lease to a new process of it.
func (w *world) grant(node int) {
	r := w.append(lease.Entry{Version: 1, Kind: lease.KindGrant, Name: nameOf(node), Holder: lease.Holder{Name: fmt.Sprint("n", node), Process: len(w.procs)}})
	w.ends[nameOf(node)] = w.granter() + w.long()
	p := &process{w: w, n: len(w.procs), node: node, token: r.Token, asks: node == 0}
	p.end = p.now() + w.short()
	w.procs = append(w.procs, p)
	w.current().catchUp()
	p.purse = NewQuotaClient(p, p.now(), nameOf(node), r.Token, 1, map[string]lease.BudgetConfig{limit: w.terms}, p.end, 0)
}

func (w *world) current() *leader {
	for _, l := range w.leaders {
		if l.term == w.term {
			return l
		}
	}
	return nil
}

func (w *world) granter() Time      { return Time(w.step * fastRate) }
func (l *leader) now() Time         { return l.w.granter() }
func (p *process) now() Time        { return Time(p.w.step * slowRate) }
func (l *leader) SetAlarm(at Time)  { l.wakeAt, l.awake = at, true }
func (p *process) SetAlarm(at Time) { p.wakeAt = at }

func (l *leader) Propose(ref uint64, e lease.Entry) { l.out = append(l.out, ref) }

func (l *leader) Respond(id uint64, a Response) {
	for i := range l.w.flying {
		if m := &l.w.flying[i]; m.id == id {
			m.answer = &a
		}
	}
}

func (p *process) Send(a Request) {
	n := 0
	for i := len(p.w.flying) - 1; i >= 0; i-- { // the oldest are lost
		if f := p.w.flying[i]; f.from == p.n && !f.renews {
			if n++; n > p.w.old {
				p.w.flying = slices.Delete(p.w.flying, i, i+1)
			}
		}
	}
	p.w.ids++
	p.last = p.w.ids
	p.w.flying = append(p.w.flying, letter{from: p.n, id: p.last, ask: &a, sent: p.now()})
}

func (p *process) SetQuota(_ string, t lease.BudgetConfig, units, apart int, until Time) allowance.Usage {
	p.units, p.apart, p.until = units, apart, until
	if p.cut(); p.w.without != burstKept {
		p.saved = min(p.saved, p.allowed())
	}
	u := allowance.Usage{InFlight: p.out, MeanSeconds: 0.1}
	if p.w.without == outKept {
		u.InFlight = 0
	}
	if p.asks {
		u.Wanted = 100
	}
	return u
}

// allowed is what the process may act on now, whatever it notices.
func (p *process) allowed() int {
	if p.now() < p.until {
		return p.units
	}
	return p.apart
}

// cut ends what an end ends: acts of a number at a time begin only where they are over by then.
func (p *process) cut() {
	if p.now() >= p.end {
		p.out = min(p.out, p.apart)
	}
}

type move struct {
	what string
	a, b int
}

func (w *world) moves(most int) (all []move) {
	if w.step-w.from < most {
		all = append(all, move{what: "tick"})
	}
	for i, m := range w.flying {
		switch {
		case m.answer != nil || m.renews && m.heard:
			all = append(all, move{what: "answer", a: i})
		case !m.heard && m.renews:
			all = append(all, move{what: "renew", a: i})
		case !m.heard:
			for _, l := range w.leaders {
				if l.term > 0 {
					all = append(all, move{"ask", i, l.n})
				}
			}
		}
		if w.lost > 0 {
			all = append(all, move{what: "lose", a: i})
		}
	}
	for i, l := range w.leaders {
		if l.term > 0 && len(l.out) > 0 {
			all = append(all, move{what: "commit", a: i})
		}
		if w.leads > 0 && l.term != w.term {
			all = append(all, move{what: "elect", a: i})
		}
		if l.term > 0 && l.term != w.term {
			all = append(all, move{what: "depose", a: i})
		}
	}
	for i, p := range w.procs {
		if w.demands > 0 && p.purse != nil {
			all = append(all, move{what: "demand", a: i})
		}
		if w.renews > 0 && !p.renewing && w.truth.Leases[nameOf(p.node)].Token == p.token {
			all = append(all, move{what: "extend", a: i})
		}
		if w.terms.Kind == lease.ConcurrencyKind {
			if p.out < p.allowed() && w.acts > 0 {
				all = append(all, move{what: "begin", a: i})
			}
			if p.out > 0 {
				all = append(all, move{what: "finish", a: i})
			}
		}
	}
	for name := range w.ends {
		var node int
		_, _ = fmt.Sscanf(name, "node/n%d", &node)
		if _, held := w.truth.Leases[name]; !held && w.regrants > 0 {
			all = append(all, move{what: "regrant", a: node})
		}
	}
	slices.SortFunc(all, func(x, y move) int { return slices.Compare([]byte(fmt.Sprint(x)), []byte(fmt.Sprint(y))) })
	return all
}

func (w *world) play(m move) {
	switch m.what {
	case "tick":
		w.step++
		for _, name := range slices.Sorted(maps.Keys(w.ends)) {
			if l, held := w.truth.Leases[name]; held && w.granter() >= w.ends[name] {
				w.append(lease.Entry{Version: 1, Kind: lease.KindRevoke, Name: name, Token: l.Token})
				w.current().catchUp()
				w.current().d.StateChanged(w.granter())
			}
		}
		for _, p := range w.procs {
			p.cut()
			if p.now() >= p.end && w.without != burstKept {
				p.saved = min(p.saved, p.apart)
			}
			p.saved = max(p.saved, p.allowed()) // a bucket is full by now
			if p.wakeAt <= p.now() {
				p.purse.Alarm(p.now())
			}
		}
	case "ask":
		f := &w.flying[m.a]
		f.heard = true
		id, a := f.id, *f.ask
		w.leaders[m.b].d.Handle(w.granter(), id, a)
	case "extend":
		w.renews--
		w.procs[m.a].renewing = true
		w.ids++
		w.flying = append(w.flying, letter{from: m.a, id: w.ids, renews: true, sent: w.procs[m.a].now()})
	case "renew":
		f := &w.flying[m.a]
		p := w.procs[f.from]
		if w.truth.Leases[nameOf(p.node)].Token != p.token {
			w.flying = slices.Delete(w.flying, m.a, m.a+1)
			p.renewing = false
			break
		}
		f.heard = true
		w.ends[nameOf(p.node)] = max(w.ends[nameOf(p.node)], w.granter()+w.long())
	case "answer":
		f := w.flying[m.a]
		w.flying = slices.Delete(w.flying, m.a, m.a+1)
		p := w.procs[f.from]
		switch {
		case f.renews:
			from := f.sent
			if w.without == fromAnswer {
				from = p.now()
			}
			p.renewing = false
			p.end = max(p.end, from+w.short())
			p.purse.ExtendLease(p.end)
		case f.id == p.last:
			p.purse.HandleResponse(p.now(), *f.answer)
		}
	case "lose":
		w.lost--
		f := w.flying[m.a]
		w.flying = slices.Delete(w.flying, m.a, m.a+1)
		p := w.procs[f.from]
		if f.renews {
			p.renewing = false
		} else {
			for _, l := range w.leaders {
				l.d.CallerGone(f.id)
			}
			if f.id == p.last {
				p.purse.HandleTimeout(p.now())
			}
		}
	case "commit":
		l := w.leaders[m.a]
		ref := l.out[0]
		l.out = l.out[1:]
		if l.term == w.term {
			l.catchUp()
			w.append(l.d.proposals[ref])
			l.catchUp()
			l.d.Applied(l.now(), ref, false)
		}
	case "elect":
		w.leads--
		w.elect(m.a)
	case "depose":
		l := w.leaders[m.a]
		l.term, l.out, l.awake = 0, nil, false
		l.d.Demote()
	case "demand":
		w.demands--
		w.procs[m.a].asks = !w.procs[m.a].asks
	case "regrant":
		w.regrants--
		w.grant(m.a)
	case "begin":
		w.acts--
		w.procs[m.a].out++
	case "finish":
		w.procs[m.a].out--
	}
	for range 4 { // what is due at once
		for _, l := range w.leaders {
			if l.term > 0 && l.awake && l.wakeAt <= l.now() {
				l.awake = false
				l.d.Alarm(l.now())
			}
		}
	}
	w.look()
}

// look holds all processes together against the whole: what they may do, what goes on, what is saved up.
func (w *world) look() {
	sum, saved := 0, 0
	apart := map[int]bool{}
	var told []string
	for i := len(w.procs) - 1; i >= 0; i-- {
		p := w.procs[i]
		units := p.allowed()
		if p.now() >= p.until && apart[p.node] {
			units = 0 // the address is the later process's, and what is apart with it
		}
		if p.now() >= p.until && units == 0 {
			p.saved = min(p.saved, units)
		}
		apart[p.node] = true
		sum += max(units, p.out)
		saved += p.saved
		told = append(told, fmt.Sprintf("process %d of n%d: %d, %d going on, %d saved", p.n, p.node, units, p.out, p.saved))
	}
	if w.fault == "" && (sum > w.terms.Units || w.terms.Kind == lease.RateKind && saved > w.terms.Units) {
		w.fault = fmt.Sprintf("of %d units: %v", w.terms.Units, told)
	}
}

// settle lets all go well for some steps.
func (w *world) settle(steps int) {
	w.renews = 100
	for end := w.step + steps; w.step < end; {
		all := w.moves(end)
		at := slices.IndexFunc(all, func(m move) bool {
			return m.what == "answer" || m.what == "commit" || m.what == "renew" || m.what == "ask" || m.what == "extend" && w.renews > 90
		})
		if at < 0 {
			w.renews = 100
			at = slices.IndexFunc(all, func(m move) bool { return m.what == "tick" })
		}
		w.play(all[at])
	}
	w.from = w.step
}

// clone copies the whole fleet.
func (w *world) clone() *world {
	o := *w
	copied := func(s *lease.State) *lease.State {
		x := *s
		x.Leases, x.Budgets = maps.Clone(s.Leases), map[string]*lease.Budget{}
		for name, b := range s.Budgets {
			x.Budgets[name] = b.Clone()
		}
		return &x
	}
	o.log, o.flying, o.truth, o.ends = w.log[:len(w.log):len(w.log)], slices.Clone(w.flying), copied(w.truth), maps.Clone(w.ends)
	for i, l := range w.leaders {
		x, d := *l, *l.d
		x.w, x.state, x.d, x.out = &o, copied(l.state), &d, slices.Clone(l.out)
		d.host, d.state, d.proposals, d.reserves, d.nodes, d.turns = &x, x.state, maps.Clone(d.proposals), maps.Clone(d.reserves), map[string]*nodeRecord{}, map[string]map[string]turn{}
		for name, m := range l.d.nodes {
			y := *m
			y.holdings, y.shrinkTo = maps.Clone(m.holdings), maps.Clone(m.shrinkTo)
			d.nodes[name] = &y
		}
		for name, t := range l.d.turns {
			d.turns[name] = maps.Clone(t)
		}
		o.leaders[i] = &x
	}
	o.procs = nil
	for _, p := range w.procs {
		x, purse := *p, *p.purse
		x.w, x.purse, purse.host = &o, &purse, &x
		purse.budgets = nil
		for _, s := range p.purse.budgets {
			y := *s
			purse.budgets = append(purse.budgets, &y)
		}
		o.procs = append(o.procs, &x)
	}
	return &o
}

// print gives what tells one state from another.
func (w *world) print(h hash.Hash64) uint64 {
	h.Reset()
	fmt.Fprint(h, w.step, w.term, w.leads, w.lost, w.demands, w.regrants, w.renews, w.acts, w.ends, w.truth.Leases)
	for _, l := range w.leaders {
		fmt.Fprint(h, l.term, len(w.log)-l.applied, l.out, l.awake, l.wakeAt)
		for _, name := range slices.Sorted(maps.Keys(l.state.Budgets)) {
			fmt.Fprint(h, *l.state.Budgets[name])
		}
		if l.term > 0 {
			fmt.Fprint(h, l.d.stale, l.d.nextDivision, l.d.retryAt, l.d.moveInFlight, l.d.turns)
			for _, name := range slices.Sorted(maps.Keys(l.d.nodes)) {
				m := l.d.nodes[name]
				fmt.Fprint(h, name, m.token, m.holdings, m.shrinkTo, m.request != 0, m.deadline)
			}
		}
	}
	for _, p := range w.procs {
		fmt.Fprint(h, p.units, p.apart, p.until, p.out, p.saved, p.asks, p.wakeAt, p.renewing, p.end, p.purse.nextRequest, p.purse.lastSample)
		for _, s := range p.purse.budgets {
			fmt.Fprint(h, *s)
		}
	}
	var flying []string // in whatever order
	for _, m := range w.flying {
		as := fmt.Sprint(m.from, m.sent, m.heard, m.renews, m.id == w.procs[m.from].last)
		if m.ask != nil {
			as += fmt.Sprint(m.ask.Held)
		}
		if m.answer != nil {
			as += fmt.Sprint(*m.answer)
		}
		flying = append(flying, as)
	}
	slices.Sort(flying)
	fmt.Fprint(h, flying)
	return h.Sum64()
}
