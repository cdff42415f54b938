package simulation

import (
	"encoding/csv"
	"fmt"
	"math"
	"slices"
	"strconv"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Budget is what all nodes together may do at the origin, divided among them as on sockets: by the same leader's memory, the
// same purses and the same state. Agreement is a log with a delay and one leader at a time.
type Budget struct {
	Kind  string  `toml:"kind"`  // rate or number
	Whole float64 `toml:"whole"` // fetches a second, or at a time
	Burst int     `toml:"burst"` // of a rate
	Apart float64 `toml:"apart"` // share set aside for nodes that are cut off
	Lease Span    `toml:"lease"`
	Drift float64 `toml:"drift"`
	Log   Span    `toml:"log"` // from an entry's proposal to its agreement
	// Way is how the whole is shared out: divided (empty), or even: an even part for each node, for ever.
	Way string `toml:"way"`
}

func (b *Budget) check(want func(ok bool, key, expected string, got any)) {
	want(b.Kind == lease.BudgetKindRate || b.Kind == lease.BudgetKindConcurrency, "fleet.budget.kind", "rate or number", b.Kind)
	want(b.Whole > 0, "fleet.budget.whole", "a number above 0", b.Whole)
	want(b.Kind != lease.BudgetKindRate || b.Burst >= 1, "fleet.budget.burst", "1 or more", b.Burst)
	want(b.Apart >= 0 && b.Apart <= 1, "fleet.budget.apart", "a share from 0 to 1", b.Apart)
	want(b.Drift >= 0 && b.Drift <= 0.2, "fleet.budget.drift", "a share from 0 to 0.2", b.Drift)
	want(b.Way == "" || b.Way == "divided" || b.Way == "even", "fleet.budget.way", "divided or even", b.Way)
	if b.Lease.Duration == 0 {
		b.Lease.Duration = 3e9
	}
	if b.Log.Duration == 0 {
		b.Log.Duration = 5e6
	}
}

func (b *Budget) terms(nodes int) lease.BudgetConfig {
	t := lease.BudgetConfig{Kind: b.Kind, Resource: "origin", Units: int(b.Whole), RatePerUnit: 1, MaxNodes: nodes}
	if b.Kind == lease.BudgetKindRate {
		t.Units, t.RatePerUnit = b.Burst, b.Whole/float64(b.Burst)
	}
	t.ReservedPerNode = int(b.Apart*float64(t.Units)/float64(nodes) + 1e-9)
	return t
}

// Use is how much of a budget was used, beside what others would have given the same demand.
type Use struct {
	Demand, Done      []int // lookups that wanted it and those that had it, by tenths of a second
	Exact, Even       []int // had of one limiter that sees all, and of even parts
	Moved             []float64
	Back              []float64 // seconds until all of what killed nodes had was given again
	Entries, Messages int
	Above             float64 // the most that came in any window beyond the rate in it, or at a time, as a share of what may be
	wanted, got       []int   // by node
}

// quotaHolder is one node's side.
type quotaHolder struct {
	w     *division
	n     int
	purse *budget.QuotaClient
	token uint64
	end   lease.Time
	life  int
	down  bool
	cut   routing.Time // until when nobody hears it
	nth   uint64
	bound routing.Limit
}

// division is the agreement and its leader, and all nodes' sides.
type division struct {
	*testbed
	terms  lease.BudgetConfig
	state  *lease.State
	d      *budget.Allocator
	ends   map[string]lease.Time
	unled  routing.Time
	leads  bool
	reigns int
	holds  []*quotaHolder
	wakeAt routing.Time
	use    Use
	asked  map[uint64]func(budget.Response)
	ids    uint64

	exact       float64
	exactAt     routing.Time
	evens       []float64
	evensAt     []routing.Time
	excess      float64
	excessAt    routing.Time
	out         int
	watch       []int // nodes whose demand has just come
	watchFrom   routing.Time
	killedUnits int
	killedAt    routing.Time
	held        []int // by those, every lookEvery
	evenPart    float64
}

const (
	limitName = "origin"
	lookEvery = 20 * routing.Millisecond
	settled   = 5 * second // after a move, when all has come to rest
)

func nameOf(n int) string { return fmt.Sprint("node/", n) }

func (w *testbed) divide() {
	b := w.e.Fleet.Budget
	d := &division{testbed: w, terms: b.terms(w.e.Fleet.Nodes), state: lease.NewState(), ends: map[string]lease.Time{}, asked: map[uint64]func(budget.Response){},
		evens: make([]float64, w.e.Fleet.Nodes), evensAt: make([]routing.Time, w.e.Fleet.Nodes)}
	w.division = d
	tenths := int(w.e.Length.Seconds()*10) + 1
	d.use = Use{Demand: make([]int, tenths), Done: make([]int, tenths), Exact: make([]int, tenths), Even: make([]int, tenths),
		wanted: make([]int, w.e.Fleet.Nodes), got: make([]int, w.e.Fleet.Nodes)}
	d.exact, d.evenPart = float64(d.terms.Units), max(1, float64(d.terms.Units)/float64(w.e.Fleet.Nodes))
	for i := range d.evens {
		d.evens[i] = d.evenPart
	}
	d.apply(lease.Entry{Version: 1, Kind: lease.KindFoundCluster, Name: "f"})
	d.d = budget.NewAllocator(d, d.state, budget.Unsafe{})
	d.lead()
	for i := range w.nodes {
		h := &quotaHolder{w: d, n: i, bound: routing.OriginRate}
		if b.Kind == lease.BudgetKindConcurrency {
			h.bound = routing.OriginConcurrency
		}
		d.holds = append(d.holds, h)
		h.begin()
	}
	d.sweep()
}

func (d *division) now() lease.Time { return lease.Time(d.clock.now) }

func (d *division) led() bool { return d.leads && d.clock.now >= d.unled }

func (d *division) lead() {
	d.reigns++
	r := d.apply(lease.Entry{Version: 1, Kind: lease.KindNewTerm, Name: "l"})
	d.leads = true
	for name := range d.ends {
		d.ends[name] = d.now() + d.long()
	}
	d.d.Promote(d.now(), r.Term)
}

func (d *division) lose(span routing.Time) {
	d.unled = max(d.unled, d.clock.now+span)
	if d.leads {
		d.leads = false
		d.reigns++
		d.d.Demote()
		clear(d.asked)
		var wait func()
		wait = func() {
			if d.clock.now < d.unled {
				d.clock.in(d.unled-d.clock.now, wait)
				return
			}
			d.lead()
		}
		d.clock.in(span, wait)
	}
}

func (d *division) apply(e lease.Entry) lease.Result {
	d.use.Entries++
	return d.state.Apply(e)
}

func (d *division) long() lease.Time {
	b := d.e.Fleet.Budget
	return lease.GranterDuration(lease.Time(b.Lease.ticks()), b.Drift)
}

// sweep ends leases that have run out.
func (d *division) sweep() {
	if d.led() {
		for i := range d.holds {
			if l, held := d.state.Leases[nameOf(i)]; held && d.now() >= d.ends[nameOf(i)] {
				d.apply(lease.Entry{Version: 1, Kind: lease.KindRevoke, Name: nameOf(i), Token: l.Token})
				d.d.StateChanged(d.now())
			}
		}
	}
	d.look()
	d.clock.in(lookEvery, d.sweep)
}

// look notes when what was waited for is there.
func (d *division) look() {
	b := d.state.Budgets[limitName]
	if b == nil {
		return
	}
	if len(d.watch) > 0 {
		sum := 0
		for _, n := range d.watch {
			sum += b.Quotas[nameOf(n)].Units
		}
		if d.held = append(d.held, sum); d.clock.now >= d.watchFrom+settled {
			for i, h := range d.held { // until nine tenths of what they come to hold in the end
				if h*10 >= 9*sum {
					d.use.Moved = append(d.use.Moved, float64(i)*float64(lookEvery)/float64(second))
					break
				}
			}
			d.watch = nil
		}
	}
	alive := 0
	for n := range d.holds {
		if !d.dead[n] {
			alive += b.Quotas[nameOf(n)].Units
		}
	}
	if d.killedUnits > 0 && alive >= d.killedUnits {
		d.use.Back = append(d.use.Back, float64(d.clock.now-d.killedAt)/float64(second))
		d.killedUnits = 0
	}
}

// The division is its divider's host.

// Propose is for budget.Host, as all below.
func (d *division) Propose(ref uint64, e lease.Entry) {
	reign := d.reigns
	d.clock.in(d.e.Fleet.Budget.Log.ticks(), func() {
		if reign == d.reigns {
			d.apply(e)
			d.d.HandleProposalResult(d.now(), ref, false)
		}
	})
}

// Respond ends an asking.
func (d *division) Respond(id uint64, a budget.Response) {
	if f := d.asked[id]; f != nil {
		delete(d.asked, id)
		f(a)
	}
}

// SetAlarm books the divider's alarm.
func (d *division) SetAlarm(at lease.Time) {
	d.wakeAt = routing.Time(at)
	d.clock.in(d.wakeAt-d.clock.now, func() {
		if d.led() && d.clock.now >= d.wakeAt {
			d.d.Alarm(d.now())
		}
	})
}

// begin starts a node's process: its name is claimed until it is had.
func (h *quotaHolder) begin() {
	life, d := h.life, h.w
	h.part(d.terms, d.terms.ReservedPerNode, d.terms.ReservedPerNode, 0)
	var claim func()
	claim = func() {
		if life != h.life || h.down {
			return
		}
		if _, held := d.state.Leases[nameOf(h.n)]; held || !h.heard() {
			d.clock.in(50*routing.Millisecond, claim)
			return
		}
		sent := d.now()
		d.clock.in(2*d.way()+d.e.Fleet.Budget.Log.ticks(), func() {
			if life != h.life || !h.heard() {
				d.clock.in(50*routing.Millisecond, claim)
				return
			}
			r := d.apply(lease.Entry{Version: 1, Kind: lease.KindGrant, Name: nameOf(h.n), Holder: lease.Holder{Name: fmt.Sprint(h.n), Process: h.life}})
			if r.Err != nil {
				d.clock.in(50*routing.Millisecond, claim)
				return
			}
			d.ends[nameOf(h.n)] = d.now() + d.long()
			h.token, h.end = r.Token, sent+h.short()
			h.purse = budget.NewQuotaClient(h, d.now(), nameOf(h.n), h.token, 1, map[string]lease.BudgetConfig{limitName: d.terms}, h.end,
				min(lease.Time(d.e.Demand.Limit.ticks()), lease.Time(d.e.Fleet.Budget.Lease.ticks()/3)))
			h.renew(life)
		})
	}
	d.clock.in(routing.Time(float64(100*routing.Millisecond)*d.chance.Float64()), claim)
}

func (h *quotaHolder) short() lease.Time {
	b := h.w.e.Fleet.Budget
	return lease.HolderDuration(lease.Time(b.Lease.ticks()), b.Drift)
}

func (d *division) way() routing.Time { return d.e.Network.OneWay.ticks() }

// heard says whether the leader and the node hear each other now.
func (h *quotaHolder) heard() bool { return !h.down && h.w.led() && h.w.clock.now >= h.cut }

func (h *quotaHolder) renew(life int) {
	d := h.w
	d.clock.in(d.e.Fleet.Budget.Lease.ticks()/3, func() {
		if life != h.life || h.down {
			return
		}
		sent, token := d.now(), h.token
		if l := d.state.Leases[nameOf(h.n)]; l.Token != token && h.heard() { // it ran out: anew
			h.life++
			h.purse = nil
			h.begin()
			return
		}
		if h.heard() {
			d.use.Messages += 2
			d.ends[nameOf(h.n)] = d.now() + d.long()
			d.clock.in(2*d.way(), func() {
				if life == h.life && h.heard() {
					h.end = sent + h.short()
					h.purse.ExtendLease(h.end)
				}
			})
		}
		h.renew(life)
	})
}

// kill ends the process for good, or for a while.
func (h *quotaHolder) kill() {
	h.life++
	h.down, h.purse = true, nil
}

func (h *quotaHolder) part(t lease.BudgetConfig, units, apart int, left routing.Time) quotalimit.Usage {
	drift := 1 - h.w.e.Fleet.Budget.Drift
	n, is := h.w.nodes[h.n].policy.(*routing.Balancer)
	if !is {
		return quotalimit.Usage{}
	}
	if h.w.e.Fleet.Budget.Way == "even" {
		units, apart = 0, 0
		return n.SetQuota(h.w.clock.now, h.bound, 0, quotalimit.Quota{Concurrency: t.Kind == lease.BudgetKindConcurrency, Rate: h.w.terms.RatePerUnit * float64(h.w.terms.Units) / float64(len(h.w.nodes)),
			Burst: h.w.evenPart, End: math.MaxInt64})
	}
	p := quotalimit.Quota{Concurrency: t.Kind == lease.BudgetKindConcurrency, Burst: float64(units), ThenBurst: float64(apart), End: int64(h.w.clock.now + left)}
	if !p.Concurrency {
		p.Rate, p.RateAfterEnd = t.RatePerUnit*drift*float64(units), t.RatePerUnit*drift*float64(apart)
	}
	return n.SetQuota(h.w.clock.now, h.bound, 0, p)
}

// quotaHolder is the host of its quota client.

// SetQuota is for budget.Acts, as all below.
func (h *quotaHolder) SetQuota(_ string, t lease.BudgetConfig, units, apart int, until lease.Time) quotalimit.Usage {
	return h.part(t, units, apart, routing.Time(until)-h.w.clock.now)
}

// Send sends an asking to the leader.
func (h *quotaHolder) Send(a budget.Request) {
	h.nth++
	nth, life, d := h.nth, h.life, h.w
	current := func() bool { return nth == h.nth && life == h.life && h.purse != nil }
	d.use.Messages++
	d.clock.in(d.way(), func() {
		if !h.heard() {
			d.clock.in(300*routing.Millisecond, func() {
				if current() {
					h.purse.HandleTimeout(d.now())
				}
			})
			return
		}
		d.ids++
		id := d.ids
		d.asked[id] = func(x budget.Response) {
			d.use.Messages++
			d.clock.in(d.way(), func() {
				if current() && h.heard() {
					h.purse.HandleResponse(d.now(), x)
				}
			})
		}
		d.d.Handle(d.now(), id, a)
	})
	d.clock.in(routing.Time(a.Wait)+300*routing.Millisecond, func() { // no answer in time
		if current() {
			h.purse.HandleTimeout(d.now())
		}
	})
}

// SetAlarm books the purse's alarm.
func (h *quotaHolder) SetAlarm(at lease.Time) {
	life := h.life
	h.w.clock.in(routing.Time(at)-h.w.clock.now, func() {
		if life == h.life && h.purse != nil && !h.down {
			h.purse.Alarm(h.w.now())
		}
	})
}

// wants notes a lookup that wants a fetch, and asks the limiters that only look on.
func (d *division) wants(n int) {
	at, now := d.tenth(), d.clock.now
	if at >= len(d.use.Demand) {
		return
	}
	d.use.Demand[at]++
	d.use.wanted[n]++
	if d.terms.Kind != lease.BudgetKindRate {
		return
	}
	rate := d.terms.Limit() / float64(second)
	d.exact = min(float64(d.terms.Units), d.exact+rate*float64(now-d.exactAt))
	if d.exactAt = now; d.exact >= 1 {
		d.exact--
		d.use.Exact[at]++
	}
	d.evens[n] = min(d.evenPart, d.evens[n]+rate/float64(len(d.evens))*float64(now-d.evensAt[n]))
	if d.evensAt[n] = now; d.evens[n] >= 1 {
		d.evens[n]--
		d.use.Even[at]++
	}
}

func (d *division) tenth() int { return int((d.clock.now - origo) / (second / 10)) }

// fetched notes a fetch that comes to the origin, and holds it against the whole.
func (d *division) fetched(n int) {
	if at := d.tenth(); at < len(d.use.Done) {
		d.use.Done[at]++
		d.use.got[n]++
	}
	d.out++
	if d.terms.Kind == lease.BudgetKindRate {
		now := d.clock.now
		d.excess = max(1, d.excess+1-d.terms.Limit()*float64(now-d.excessAt)/float64(second))
		d.excessAt = now
		d.use.Above = max(d.use.Above, d.excess/float64(d.terms.Units))
	} else {
		d.use.Above = max(d.use.Above, float64(d.out)/float64(d.terms.Units))
	}
}

func (d *division) gone() { d.out-- }

// Ratios gives the shares of the whole in use, and of what one exact limiter gives, from a second on to another.
func (u *Use) Ratios(whole float64, from, to int) (used, exact, even float64) {
	sum := func(of []int) (n float64) {
		for i := from * 10; i < min(to*10, len(of)); i++ {
			n += float64(of[i])
		}
		return n / whole / float64(to-from)
	}
	return sum(u.Done), sum(u.Exact), sum(u.Even)
}

// Jain gives the fairness of what nodes had, each beside what it should have had by max-min of what they wanted.
func (u *Use) Jain() float64 {
	total := 0
	for _, g := range u.got {
		total += g
	}
	want := slices.Clone(u.wanted)
	slices.Sort(want)
	left, level := float64(total), 0.0
	for i, x := range want {
		level = left / float64(len(want)-i)
		if float64(x) > level {
			break
		}
		left -= float64(x)
	}
	sum, squares, n := 0.0, 0.0, 0.0
	for i, g := range u.got {
		due := min(float64(u.wanted[i]), level)
		if due < 1 {
			continue
		}
		x := float64(g) / due
		sum, squares, n = sum+x, squares+x*x, n+1
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / n / squares
}

// moved begins to look at what nodes come to hold whose demand has just risen.
func (d *division) moved(hot []int) {
	if d.clock.now > origo+10*second {
		d.watch, d.watchFrom, d.held = hot, d.clock.now, nil
	}
}

// killed begins to wait until as much is given again as before.
func (d *division) killed() {
	if b := d.state.Budgets[limitName]; b != nil {
		d.killedUnits, d.killedAt = b.Allocated()*9/10, d.clock.now
	}
}

// Line tells a run's use of its budget in words; the first ten seconds, in which all begins, don't count.
func (u *Use) Line(e *Experiment) string {
	n, span := float64(e.Fleet.Nodes), e.Length.Seconds()
	used, exact, even := u.Ratios(e.Fleet.Budget.Whole, 10, int(span))
	line := fmt.Sprintf("fullest %.2f; fairness %.3f", u.Above, u.Jain())
	if e.Fleet.Budget.Kind == lease.BudgetKindRate {
		line = fmt.Sprintf("of the whole used %.3f, by one exact limiter %.3f, by even parts %.3f (%.3f of the limiter); ", used, exact, even,
			used/max(1e-9, exact)) + line
	}
	if len(u.Moved) > 0 {
		line += fmt.Sprintf("; moved demand has 90%% after %.2f s (longest of %d)", slices.Max(u.Moved), len(u.Moved))
	}
	if len(u.Back) > 0 {
		line += fmt.Sprintf("; given again after %.2f s", slices.Max(u.Back))
	}
	return line + fmt.Sprintf("; %.2f messages a node and second, %.2f entries a node in 10 s", float64(u.Messages)/n/span, float64(u.Entries)/n/span*10)
}

// UseHeader is the first line of a table of use.
var UseHeader = []string{"experiment", "second", "wanted", "used", "exact", "even"}

// Write writes the shares of the whole that were wanted, used, and given by others, second by second.
func (u *Use) Write(w *csv.Writer, e *Experiment) error {
	for at := 0; at+10 <= len(u.Demand); at += 10 {
		line := []string{e.Name, strconv.Itoa(at / 10)}
		for _, of := range [][]int{u.Demand, u.Done, u.Exact, u.Even} {
			sum := 0
			for _, x := range of[at : at+10] {
				sum += x
			}
			line = append(line, strconv.FormatFloat(float64(sum)/e.Fleet.Budget.Whole, 'f', 4, 64))
		}
		if err := w.Write(line); err != nil {
			return err
		}
	}
	return nil
}
