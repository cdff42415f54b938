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
	f     *Member
	grip  *HeldLease
	name  string
	ctx   context.Context
	mu    sync.Mutex
	purse *budget.QuotaClient
	alarm alarm
	asked uint64 // the latest asking
	over  bool
}

// part hands one budget to the module: so many units until a time, and so many after it.
func (f *Member) part(name string, t lease.BudgetConfig, units, apart int, left, takes time.Duration) allowance.Usage {
	at := slices.IndexFunc(f.fleet.Budgets, func(b config.Budget) bool { return b.Name == name })
	if at < 0 {
		return allowance.Usage{}
	}
	rate := 0.0
	if t.Kind == lease.RateKind {
		rate = t.RatePerUnit * (1 - f.fleet.MaxDrift) // our clock may be as much too fast
	}
	p := allowance.Quota{Concurrency: t.Kind == lease.ConcurrencyKind, Rate: rate * float64(units), Burst: float64(units),
		ThenRate: rate * float64(apart), ThenBurst: float64(apart)}
	if faults.Without(faults.BurstKept) && !p.Concurrency {
		f.mu.Lock()
		f.bursts[name] = max(f.bursts[name], p.Burst)
		p.Burst, p.ThenBurst = f.bursts[name], f.bursts[name]
		f.mu.Unlock()
	}
	b := f.fleet.Budgets[at]
	return f.own.SetQuota(b.Bound, b.Partner, p, left, takes)
}

// takes is how long before a part's end acts of a number at a time begin no more: what goes on then is cut off.
func (f *Member) takes() time.Duration { return min(f.longest, f.fleet.Lease/takesPart) }

// alone sets all budgets to what is ours without the fleet: what is apart, once the fleet's address is ours, else nothing.
func (f *Member) alone(ours bool) (out int) {
	for _, b := range f.fleet.Budgets {
		t, apart := f.agreed(b), 0
		if ours {
			apart = t.ReservedPerNode
		}
		out += f.part(b.Name, t, apart, apart, 0, 0).InFlight
	}
	return out
}

// agreed gives a budget's terms, as the fleet last told them or else as our papers have them.
func (f *Member) agreed(b config.Budget) lease.BudgetConfig {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t, told := f.wholes[b.Name]; told {
		return t
	}
	return b.BudgetConfig
}

// divide takes part in the division while our name is held.
func (f *Member) divide(ctx context.Context, g *HeldLease) {
	all := map[string]lease.BudgetConfig{}
	for _, b := range f.fleet.Budgets {
		all[b.Name] = f.agreed(b) // which a fleet that has forgotten it, as one founded anew, is told of
	}
	p := &purse{f: f, grip: g, name: session(f.fleet.Node), ctx: ctx}
	p.alarm = newAlarm(p.ring)
	p.mu.Lock()
	p.purse = budget.NewQuotaClient(p, now(), p.name, g.Token(), f.fleet.Weight, all, g.End(), tenths(f.takes()))
	p.mu.Unlock()
	f.mu.Lock()
	f.purse = p
	f.mu.Unlock()
	<-ctx.Done()
	if g.Remaining() > 0 { // we leave, and the parts are ours yet: nothing more begins, and what goes on ends before they are given back
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
		p.purse.ExtendLease(p.grip.End())
		p.purse.Alarm(now())
	}
}

// What the purse acts through. These run with the lock held.

func (p *purse) SetAlarm(at lease.Time) { p.alarm.set(at) }

func (p *purse) SetQuota(name string, t lease.BudgetConfig, units, apart int, until lease.Time) allowance.Usage {
	return p.f.part(name, t, units, apart, span(until-now()), p.f.takes())
}

func (p *purse) Send(a budget.Request) {
	p.asked++
	nth := p.asked
	go func() {
		var x QuotaResponse
		err := p.f.client.plainlyWithin("Fleet.Part", &a, &x, span(a.Wait)+p.f.client.within())
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.over || p.asked != nth {
			return
		}
		p.purse.ExtendLease(p.grip.End())
		if err != nil {
			p.f.log.Debug("an asking for parts came to nothing", zap.Error(err))
			p.purse.HandleTimeout(now())
			return
		}
		if traceParts != nil {
			traceParts(p.f.fleet.Node, x.Updates)
		}
		for _, d := range p.purse.HandleResponse(now(), budget.Response{Updates: x.Updates, Err: x.Error.err()}) {
			p.f.log.Warn("a budget differs from the configuration's: the fleet's holds", zap.String("budget", d.Name),
				zap.Float64("configuration", d.Local.Limit()), zap.Float64("fleet", d.Agreed.Limit()),
				zap.Any("configuration's terms", d.Local), zap.Any("fleet's terms", d.Agreed))
		}
		p.f.mu.Lock()
		for _, n := range x.Updates {
			p.f.wholes[n.Budget] = n.Config
		}
		p.f.mu.Unlock()
	}()
}

// QuotaResponse is the answer to an asking for parts.
type QuotaResponse struct {
	Updates []budget.QuotaUpdate `json:"News"`
	Error   wireError            `json:"Refusal"`
}

// Part is a node's call: what it holds and wants. It is answered once there is news.
func (l *line) Part(a *budget.Request, x *QuotaResponse) error {
	v := l.f.voter()
	got := budget.Response{Err: lease.ErrNotLeader}
	if v != nil {
		got = v.askPart(*a, l.gone)
	}
	if errors.Is(got.Err, lease.ErrNotLeader) {
		return lease.ErrNotLeader
	}
	*x = QuotaResponse{got.Updates, toWireError(got.Err)}
	return nil
}

// LentQuotas is what the present process of a node lets the next one have for a while.
type LentQuotas struct {
	Quotas   []budget.LentQuota `json:"All"`
	Duration int64              `json:"For"` // in tenths of a millisecond
}

// Lend is the call of our own node's next process, which waits for our address.
func (l *line) Lend(_ *struct{}, x *LentQuotas) error {
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
		x.Quotas, x.Duration = all, int64(span)
	}
	return nil
}

// borrow asks the process whose place we take for half of its parts, until the context ends. Both read the same clock.
func (f *Member) borrow(ctx context.Context) {
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
		var x LentQuotas
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
		for _, b := range x.Quotas {
			if ctx.Err() == nil {
				left, takes := sent+span(lease.Time(x.Duration))-boot(), time.Duration(0)
				if b.Config.Kind == lease.ConcurrencyKind {
					takes = min(f.takes(), lendEvery)
				}
				f.part(b.Name, b.Config, b.Units, 0, left-takes, takes)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(lendEvery):
		}
	}
}

// askPart brings an asking to the divider, and waits for its answer or until the caller has gone.
func (v *Voter) askPart(a budget.Request, gone <-chan struct{}) budget.Response {
	c := make(chan budget.Response, 1)
	v.mu.Lock()
	if v.ended != nil {
		v.mu.Unlock()
		return budget.Response{Err: lease.ErrNotLeader}
	}
	v.ids++
	id := v.ids
	v.parts[id] = c
	v.divider.Handle(now(), id, a)
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
	v.divider.CallerGone(id)
	return budget.Response{Err: lease.ErrNotLeader}
}

// dividing is what the divider acts through. Its methods run with the lock held.
type dividing struct{ *Voter }

func (h dividing) SetAlarm(at lease.Time) { h.divides.set(at) }

func (h dividing) Respond(id uint64, a budget.Response) {
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
	Demand  int `json:"Want"`
	Reserve int `json:"Reserve"`
}

// LimitChange is an operator's word.
type LimitChange struct {
	Name  string  `json:"Name"`
	Limit float64 `json:"Whole"`
}

// SetWhole changes a whole, at the leader.
func (l *line) SetWhole(w *LimitChange, x *BudgetState) error {
	v := l.f.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	v.mu.Lock()
	b, known := v.state.Budgets[w.Name]
	leads := v.divider.IsLeader()
	names := slices.Sorted(maps.Keys(v.state.Budgets))
	var t lease.BudgetConfig
	if known {
		t = b.BudgetConfig
	}
	v.mu.Unlock()
	switch {
	case !leads:
		return lease.ErrNotLeader
	case !known:
		return fmt.Errorf("no budget %q: expected one of %v", w.Name, names)
	}
	each := t.RatePerUnit
	if t.Kind == lease.ConcurrencyKind {
		each = 1
	}
	t.Units = int(w.Limit/each + 1e-9)
	if r, err := v.apply(lease.Entry{Kind: lease.KindSetBudget, Name: w.Name, Budget: &t}); err != nil || r.Err != nil {
		return errors.Join(err, r.Err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	x.Budget = *v.state.Budgets[w.Name].Clone()
	return nil
}

// SetLimit changes a whole, and tells how the budget stands then.
func (c *Client) SetLimit(name string, whole float64) (x BudgetState, err error) {
	return x, c.CallLeader("Fleet.SetWhole", &LimitChange{name, whole}, &x, changeMost+c.within())
}

// standings adds what operators see of the budgets from here.
func (f *Member) standings(all map[string]any) {
	f.mu.Lock()
	p := f.purse
	f.mu.Unlock()
	if p == nil {
		for _, b := range f.fleet.Budgets {
			t := f.agreed(b)
			all["budget."+b.Name+".whole"], all["budget."+b.Name+".part"], all["budget."+b.Name+".end_ms"] = t.Limit(), 0, 0
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.purse.Status() {
		unit := func(n int) float64 {
			if s.Config.Kind == lease.ConcurrencyKind {
				return float64(n)
			}
			return s.Config.RatePerUnit * float64(n)
		}
		for key, v := range map[string]any{"whole": s.Config.Limit(), "given": unit(s.Allocated), "reserve": unit(s.Reserve),
			"free": unit(max(0, s.Config.Allocatable()-s.Allocated)), "apart": unit(s.Config.ReservedPerNode), "part": unit(s.Units),
			"wanted": unit(s.Demand), "out": s.InFlight, "used": s.Used, "end_ms": max(0, span(s.End-now()).Milliseconds()),
			"revision": s.Config.Revision} {
			all["budget."+s.Name+"."+key] = v
		}
	}
}
