package cluster

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/rpc"
	"net/rpc/jsonrpc"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	lendEvery = 100 * time.Millisecond // for the next process of a node to ask the present one for its half
	takesPart = 10                     // a tenth of a lease: in touch it is renewed long before that
	idleEvery = 10 * time.Millisecond  // until a node that leaves looks again whether its acts are over
)

// purse is this node's side of the fleet's budgets, while it holds its own name.
type purse struct {
	f     *Fellows
	grip  *Grip
	name  string
	ctx   context.Context
	mu    sync.Mutex
	purse *budget.Purse
	alarm alarm
	asked uint64 // the latest asking
	over  bool
}

// part hands one budget to the module: so many units until a time, and so many after it.
func (f *Fellows) part(name string, t lease.Terms, units, apart int, left, takes time.Duration) allowance.Use {
	at := slices.IndexFunc(f.fleet.Budgets, func(b config.Budget) bool { return b.Name == name })
	if at < 0 {
		return allowance.Use{}
	}
	rate := 0.0
	if t.Kind == lease.RateKind {
		rate = t.Each * (1 - f.fleet.MaxDrift) // our clock may be as much too fast
	}
	p := allowance.Part{Number: t.Kind == lease.NumberKind, Rate: rate * float64(units), Most: float64(units),
		ThenRate: rate * float64(apart), ThenMost: float64(apart)}
	if faults.Without(faults.BurstKept) && !p.Number {
		f.mu.Lock()
		f.bursts[name] = max(f.bursts[name], p.Most)
		p.Most, p.ThenMost = f.bursts[name], f.bursts[name]
		f.mu.Unlock()
	}
	b := f.fleet.Budgets[at]
	return f.own.Part(b.Bound, b.Partner, p, left, takes)
}

// takes is how long before a part's end acts of a number at a time begin no more: what goes on then is cut off.
func (f *Fellows) takes() time.Duration { return min(f.longest, f.fleet.Lease/takesPart) }

// alone sets all budgets to what is ours without the fleet: what is apart, once the fleet's address is ours, else nothing.
func (f *Fellows) alone(ours bool) (out int) {
	for _, b := range f.fleet.Budgets {
		t, apart := f.agreed(b), 0
		if ours {
			apart = t.Apart
		}
		out += f.part(b.Name, t, apart, apart, 0, 0).Out
	}
	return out
}

// agreed gives a budget's terms, as the fleet last told them or else as our papers have them.
func (f *Fellows) agreed(b config.Budget) lease.Terms {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t, told := f.wholes[b.Name]; told {
		return t
	}
	return b.Terms
}

// divide takes part in the division while our name is held.
func (f *Fellows) divide(ctx context.Context, g *Grip) {
	all := map[string]lease.Terms{}
	for _, b := range f.fleet.Budgets {
		all[b.Name] = f.agreed(b) // which a fleet that has forgotten it, as one founded anew, is told of
	}
	p := &purse{f: f, grip: g, name: session(f.fleet.Node), ctx: ctx}
	p.alarm = newAlarm(p.ring)
	p.mu.Lock()
	p.purse = budget.NewPurse(p, now(), p.name, g.Token(), f.fleet.Weight, all, g.End(), tenths(f.takes()))
	p.mu.Unlock()
	f.mu.Lock()
	f.purse = p
	f.mu.Unlock()
	<-ctx.Done()
	if g.Left() > 0 { // we leave, and the parts are ours yet: nothing more begins, and what goes on ends before they are given back
		p.mu.Lock()
		p.purse.Close(now())
		p.mu.Unlock()
		for end := time.Now().Add(f.longest + f.client.within()); time.Now().Before(end); time.Sleep(idleEvery) {
			p.mu.Lock()
			idle := p.purse.Idle(now())
			p.mu.Unlock()
			if idle {
				break
			}
		}
	}
	p.mu.Lock()
	p.over = true
	p.mu.Unlock()
	f.mu.Lock()
	f.purse = nil
	leaving := f.leaving
	f.mu.Unlock()
	f.alone(!leaving)
}

func (p *purse) ring() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.over {
		p.purse.Extend(p.grip.End())
		p.purse.Alarm(now())
	}
}

// What the purse acts through. These run with the lock held.

func (p *purse) Wake(at lease.Time) { p.alarm.set(at) }

func (p *purse) Set(name string, t lease.Terms, units, apart int, until lease.Time) allowance.Use {
	return p.f.part(name, t, units, apart, span(until-now()), p.f.takes())
}

func (p *purse) Ask(a budget.Ask) {
	p.asked++
	nth := p.asked
	go func() {
		var x Parted
		err := p.f.client.plainlyWithin("Fleet.Part", &a, &x, span(a.Wait)+p.f.client.within())
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.over || p.asked != nth {
			return
		}
		p.purse.Extend(p.grip.End())
		if err != nil {
			p.f.log.Debug("an asking for parts came to nothing", zap.Error(err))
			p.purse.Unanswered(now())
			return
		}
		if traceParts != nil {
			traceParts(p.f.fleet.Node, x.News)
		}
		for _, d := range p.purse.Answered(now(), budget.Answer{News: x.News, Err: x.Refusal.err()}) {
			p.f.log.Warn("a budget differs from the configuration's: the fleet's holds", zap.String("budget", d.Name),
				zap.Float64("configuration", d.Ours.Whole()), zap.Float64("fleet", d.Fleet.Whole()),
				zap.Any("configuration's terms", d.Ours), zap.Any("fleet's terms", d.Fleet))
		}
		p.f.mu.Lock()
		for _, n := range x.News {
			p.f.wholes[n.Budget] = n.Terms
		}
		p.f.mu.Unlock()
	}()
}

// Parted is the answer to an asking for parts.
type Parted struct {
	News    []budget.News `json:"News"`
	Refusal refusal       `json:"Refusal"`
}

// Part is a node's call: what it holds and wants. It is answered once there is news.
func (l *line) Part(a *budget.Ask, x *Parted) error {
	v := l.f.voter()
	got := budget.Answer{Err: lease.ErrNotLeader}
	if v != nil {
		got = v.askPart(*a, l.gone)
	}
	if errors.Is(got.Err, lease.ErrNotLeader) {
		return lease.ErrNotLeader
	}
	*x = Parted{got.News, refusalOf(got.Err)}
	return nil
}

// Lent is what the present process of a node lets the next one have for a while.
type Lent struct {
	All []budget.Lent `json:"All"`
	For int64         `json:"For"` // in tenths of a millisecond
}

// Lend is the call of our own node's next process, which waits for our address.
func (l *line) Lend(_ *struct{}, x *Lent) error {
	l.f.mu.Lock()
	p := l.f.purse
	l.f.mu.Unlock()
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.over {
		all, span := p.purse.Lend(now())
		x.All, x.For = all, int64(span)
	}
	return nil
}

// borrow asks the process whose place we take for half of its parts, until the context ends. Both read the same clock.
func (f *Fellows) borrow(ctx context.Context) {
	if len(f.fleet.Budgets) == 0 {
		return
	}
	var conn *rpc.Client
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for ctx.Err() == nil {
		sent := boot()
		var x Lent
		if conn == nil {
			if n, err := f.client.dial(f.fleet.Address, forAsks, "", lendEvery); err == nil {
				conn = jsonrpc.NewClient(n)
			}
		}
		if conn != nil {
			if err := call(conn, "Fleet.Lend", &struct{}{}, &x, lendEvery); err != nil {
				_ = conn.Close()
				conn = nil
			}
		}
		for _, b := range x.All {
			if ctx.Err() == nil {
				left, takes := sent+span(lease.Time(x.For))-boot(), time.Duration(0)
				if b.Terms.Kind == lease.NumberKind {
					takes = min(f.takes(), lendEvery)
				}
				f.part(b.Name, b.Terms, b.Units, 0, left-takes, takes)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(lendEvery):
		}
	}
}

// askPart brings an asking to the divider, and waits for its answer or until the caller has gone.
func (v *Voter) askPart(a budget.Ask, gone <-chan struct{}) budget.Answer {
	c := make(chan budget.Answer, 1)
	v.mu.Lock()
	if v.ended != nil {
		v.mu.Unlock()
		return budget.Answer{Err: lease.ErrNotLeader}
	}
	v.ids++
	id := v.ids
	v.parts[id] = c
	v.divider.Ask(now(), id, a)
	v.mu.Unlock()
	select {
	case x := <-c:
		return x
	case <-gone:
	case <-v.stop:
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.parts, id)
	v.divider.Gone(id)
	return budget.Answer{Err: lease.ErrNotLeader}
}

// dividing is what the divider acts through. Its methods run with the lock held.
type dividing struct{ *Voter }

func (h dividing) Wake(at lease.Time) { h.divides.set(at) }

func (h dividing) Answer(id uint64, a budget.Answer) {
	if c, waits := h.parts[id]; waits {
		delete(h.parts, id)
		c <- a // it has room for this one
	}
}

func (h dividing) Propose(ref uint64, e lease.Entry) {
	nth := h.leads
	go func() {
		_, err := h.apply(e)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.leads == nth {
			h.divider.Applied(now(), ref, err != nil)
		}
	}()
}

// deal is the divider's alarm.
func (v *Voter) deal() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.divider.Alarm(now())
}

// BudgetState is a budget as a voter has it; Want and Reserve are the leader's to know.
type BudgetState struct {
	lease.Budget
	Want    int `json:"Want"`
	Reserve int `json:"Reserve"`
}

// NewWhole is an operator's word.
type NewWhole struct {
	Name  string  `json:"Name"`
	Whole float64 `json:"Whole"`
}

// SetWhole changes a whole, at the leader.
func (l *line) SetWhole(w *NewWhole, x *BudgetState) error {
	v := l.f.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	v.mu.Lock()
	b, known := v.state.Budgets[w.Name]
	leads := v.divider.Leads()
	names := slices.Sorted(maps.Keys(v.state.Budgets))
	var t lease.Terms
	if known {
		t = b.Terms
	}
	v.mu.Unlock()
	switch {
	case !leads:
		return lease.ErrNotLeader
	case !known:
		return fmt.Errorf("no budget %q: expected one of %v", w.Name, names)
	}
	each := t.Each
	if t.Kind == lease.NumberKind {
		each = 1
	}
	t.Units = int(w.Whole/each + 1e-9)
	if r, err := v.apply(lease.Entry{Kind: lease.Whole, Name: w.Name, Budget: &t}); err != nil || r.Err != nil {
		return errors.Join(err, r.Err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	x.Budget = *v.state.Budgets[w.Name].Clone()
	return nil
}

// SetWhole changes a whole, and tells how the budget stands then.
func (c *Client) SetWhole(name string, whole float64) (x BudgetState, err error) {
	return x, c.Leader("Fleet.SetWhole", &NewWhole{name, whole}, &x, changeMost+c.within())
}

// standings adds what operators see of the budgets from here.
func (f *Fellows) standings(all map[string]any) {
	f.mu.Lock()
	p := f.purse
	f.mu.Unlock()
	if p == nil {
		for _, b := range f.fleet.Budgets {
			t := f.agreed(b)
			all["budget."+b.Name+".whole"], all["budget."+b.Name+".part"], all["budget."+b.Name+".end_ms"] = t.Whole(), 0, 0
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.purse.Standings() {
		unit := func(n int) float64 {
			if s.Terms.Kind == lease.NumberKind {
				return float64(n)
			}
			return s.Terms.Each * float64(n)
		}
		for key, v := range map[string]any{"whole": s.Terms.Whole(), "given": unit(s.Given), "reserve": unit(s.Reserve),
			"free": unit(max(0, s.Terms.Lendable()-s.Given)), "apart": unit(s.Terms.Apart), "part": unit(s.Units),
			"wanted": unit(s.Want), "out": s.Out, "used": s.Used, "end_ms": max(0, span(s.End-now()).Milliseconds()),
			"revision": s.Terms.Revision} {
			all["budget."+s.Name+"."+key] = v
		}
	}
}
