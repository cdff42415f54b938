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
	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	lendInterval     = 100 * time.Millisecond // for the next process of a node to ask the present one for its half
	actMarginDivisor = 10                     // a tenth of a lease: in touch it is renewed long before that
	idlePollInterval = 10 * time.Millisecond  // until a node that leaves looks again whether its acts are over
)

// nodeQuotas is this node's side of the fleet's budgets, while it holds its own name.
type nodeQuotas struct {
	member      *Member
	lease       *HeldLease
	name        string
	ctx         context.Context
	mu          sync.Mutex
	client      *budget.QuotaClient
	alarm       alarm
	lastRequest uint64 // the latest asking
	closed      bool
}

// applyQuota hands one budget to the module: so many units until a time, and so many after it.
func (f *Member) applyQuota(name string, t lease.BudgetConfig, units, apart int, left, takes time.Duration) allowance.Usage {
	at := slices.IndexFunc(f.config.Budgets, func(b config.Budget) bool { return b.Name == name })
	if at < 0 {
		return allowance.Usage{}
	}
	rate := 0.0
	if t.Kind == lease.RateKind {
		rate = t.RatePerUnit * (1 - f.config.MaxDrift) // our clock may be as much too fast
	}
	p := allowance.Quota{Concurrency: t.Kind == lease.ConcurrencyKind, Rate: rate * float64(units), Burst: float64(units),
		ThenRate: rate * float64(apart), ThenBurst: float64(apart)}
	if faults.Without(faults.BurstKept) && !p.Concurrency {
		f.mu.Lock()
		f.bursts[name] = max(f.bursts[name], p.Burst)
		p.Burst, p.ThenBurst = f.bursts[name], f.bursts[name]
		f.mu.Unlock()
	}
	b := f.config.Budgets[at]
	return f.node.SetQuota(b.Bound, b.Partner, p, left, takes)
}

// actMargin is how long before a part's end acts of a number at a time begin no more: what goes on then is cut off.
func (f *Member) actMargin() time.Duration {
	return min(f.maxRequestDuration, f.config.Lease/actMarginDivisor)
}

// applyReserved sets all budgets to what is ours without the fleet: what is apart, once the fleet's address is ours, else nothing.
func (f *Member) applyReserved(ours bool) (out int) {
	for _, b := range f.config.Budgets {
		t, apart := f.agreedConfig(b), 0
		if ours {
			apart = t.ReservedPerNode
		}
		out += f.applyQuota(b.Name, t, apart, apart, 0, 0).InFlight
	}
	return out
}

// agreedConfig gives a budget's terms, as the fleet last told them or else as our papers have them.
func (f *Member) agreedConfig(b config.Budget) lease.BudgetConfig {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t, told := f.agreedConfigs[b.Name]; told {
		return t
	}
	return b.BudgetConfig
}

// holdQuotas takes part in the division while our name is held.
func (f *Member) holdQuotas(ctx context.Context, g *HeldLease) {
	all := map[string]lease.BudgetConfig{}
	for _, b := range f.config.Budgets {
		all[b.Name] = f.agreedConfig(b) // which a fleet that has forgotten it, as one founded anew, is told of
	}
	p := &nodeQuotas{member: f, lease: g, name: nodeLease(f.config.Node), ctx: ctx}
	p.alarm = newAlarm(p.onAlarm)
	p.mu.Lock()
	p.client = budget.NewQuotaClient(p, now(), p.name, g.Token(), f.config.Weight, all, g.End(), toLeaseTime(f.actMargin()))
	p.mu.Unlock()
	f.mu.Lock()
	f.quotas = p
	f.mu.Unlock()
	<-ctx.Done()
	if g.Remaining() > 0 { // we leave, and the parts are ours yet: nothing more begins, and what goes on ends before they are given back
		p.mu.Lock()
		p.client.Close(now())
		p.mu.Unlock()
		for end := time.Now().Add(f.maxRequestDuration + f.client.callTimeout()); time.Now().Before(end); time.Sleep(idlePollInterval) {
			p.mu.Lock()
			idle := p.client.Idle(now())
			p.mu.Unlock()
			if idle {
				break
			}
		}
	}
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	f.mu.Lock()
	f.quotas = nil
	leaving := f.leaving
	f.mu.Unlock()
	f.applyReserved(!leaving)
}

func (p *nodeQuotas) onAlarm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.client.ExtendLease(p.lease.End())
		p.client.Alarm(now())
	}
}

// What the purse acts through. These run with the lock held.

func (p *nodeQuotas) SetAlarm(at lease.Time) { p.alarm.set(at) }

func (p *nodeQuotas) SetQuota(name string, t lease.BudgetConfig, units, apart int, until lease.Time) allowance.Usage {
	return p.member.applyQuota(name, t, units, apart, toDuration(until-now()), p.member.actMargin())
}

func (p *nodeQuotas) Send(a budget.Request) {
	p.lastRequest++
	nth := p.lastRequest
	go func() {
		var x QuotaResponse
		err := p.member.client.callCurrentWithin("Fleet.Part", &a, &x, toDuration(a.Wait)+p.member.client.callTimeout())
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.closed || p.lastRequest != nth {
			return
		}
		p.client.ExtendLease(p.lease.End())
		if err != nil {
			p.member.log.Debug("an asking for parts came to nothing", zap.Error(err))
			p.client.HandleTimeout(now())
			return
		}
		if traceQuotas != nil {
			traceQuotas(p.member.config.Node, x.Updates)
		}
		for _, d := range p.client.HandleResponse(now(), budget.Response{Updates: x.Updates, Err: x.Error.toError()}) {
			p.member.log.Warn("a budget differs from the configuration's: the fleet's holds", zap.String("budget", d.Name),
				zap.Float64("configuration", d.Local.Limit()), zap.Float64("fleet", d.Agreed.Limit()),
				zap.Any("configuration's terms", d.Local), zap.Any("fleet's terms", d.Agreed))
		}
		p.member.mu.Lock()
		for _, n := range x.Updates {
			p.member.agreedConfigs[n.Budget] = n.Config
		}
		p.member.mu.Unlock()
	}()
}

// QuotaResponse is the answer to an asking for parts.
type QuotaResponse struct {
	Updates []budget.QuotaUpdate `json:"News"`
	Error   wireError            `json:"Refusal"`
}

// Part is a node's call: what it holds and wants. It is answered once there is news.
func (l *rpcService) Part(a *budget.Request, x *QuotaResponse) error {
	v := l.member.voter()
	got := budget.Response{Err: lease.ErrNotLeader}
	if v != nil {
		got = v.handleQuotaRequest(*a, l.disconnected)
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
func (l *rpcService) Lend(_ *struct{}, x *LentQuotas) error {
	l.member.mu.Lock()
	p := l.member.quotas
	l.member.mu.Unlock()
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		all, span := p.client.Lend(now())
		x.Quotas, x.Duration = all, int64(span)
	}
	return nil
}

// borrow asks the process whose place we take for half of its parts, until the context ends. Both read the same clock.
func (f *Member) borrow(ctx context.Context) {
	if len(f.config.Budgets) == 0 {
		return
	}
	var conn *rpc.Client
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for ctx.Err() == nil {
		sent := bootTime()
		var x LentQuotas
		if conn == nil {
			if n, err := f.client.dialer.Dial(f.config.Address, transport.PurposeRPC, "", lendInterval); err == nil {
				conn = jsonrpc.NewClient(n)
			}
		}
		if conn != nil {
			if err := call(conn, "Fleet.Lend", &struct{}{}, &x, lendInterval); err != nil {
				_ = conn.Close()
				conn = nil
			}
		}
		for _, b := range x.Quotas {
			if ctx.Err() == nil {
				left, takes := sent+toDuration(lease.Time(x.Duration))-bootTime(), time.Duration(0)
				if b.Config.Kind == lease.ConcurrencyKind {
					takes = min(f.actMargin(), lendInterval)
				}
				f.applyQuota(b.Name, b.Config, b.Units, 0, left-takes, takes)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(lendInterval):
		}
	}
}

// handleQuotaRequest brings an asking to the divider, and waits for its answer or until the caller has gone.
func (v *Voter) handleQuotaRequest(a budget.Request, gone <-chan struct{}) budget.Response {
	c := make(chan budget.Response, 1)
	v.mu.Lock()
	if v.endReason != nil {
		v.mu.Unlock()
		return budget.Response{Err: lease.ErrNotLeader}
	}
	v.lastRequestID++
	id := v.lastRequestID
	v.quotaRequests[id] = c
	v.allocator.Handle(now(), id, a)
	v.mu.Unlock()
	select {
	case x := <-c:
		return x
	case <-gone:
	case <-v.stop:
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.quotaRequests, id)
	v.allocator.CallerGone(id)
	return budget.Response{Err: lease.ErrNotLeader}
}

// allocatorHost is what the divider acts through. Its methods run with the lock held.
type allocatorHost struct{ *Voter }

func (h allocatorHost) SetAlarm(at lease.Time) { h.allocatorAlarm.set(at) }

func (h allocatorHost) Respond(id uint64, a budget.Response) {
	if c, waits := h.quotaRequests[id]; waits {
		delete(h.quotaRequests, id)
		c <- a // it has room for this one
	}
}

func (h allocatorHost) Propose(ref uint64, e lease.Entry) {
	nth := h.leaderChanges
	go func() {
		_, err := h.propose(e)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.leaderChanges == nth {
			h.allocator.Applied(now(), ref, err != nil)
		}
	}()
}

// onAllocatorAlarm is the divider's alarm.
func (v *Voter) onAllocatorAlarm() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.allocator.Alarm(now())
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
func (l *rpcService) SetWhole(w *LimitChange, x *BudgetState) error {
	v := l.member.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	v.mu.Lock()
	b, known := v.state.Budgets[w.Name]
	leads := v.allocator.IsLeader()
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
	if r, err := v.propose(lease.Entry{Kind: lease.KindSetBudget, Name: w.Name, Budget: &t}); err != nil || r.Err != nil {
		return errors.Join(err, r.Err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	x.Budget = *v.state.Budgets[w.Name].Clone()
	return nil
}

// SetLimit changes a whole, and tells how the budget stands then.
func (c *Client) SetLimit(name string, whole float64) (x BudgetState, err error) {
	return x, c.CallLeader("Fleet.SetWhole", &LimitChange{name, whole}, &x, membershipTimeout+c.callTimeout())
}

// addBudgetMetrics adds what operators see of the budgets from here.
func (f *Member) addBudgetMetrics(all map[string]any) {
	f.mu.Lock()
	p := f.quotas
	f.mu.Unlock()
	if p == nil {
		for _, b := range f.config.Budgets {
			t := f.agreedConfig(b)
			all["budget."+b.Name+".whole"], all["budget."+b.Name+".part"], all["budget."+b.Name+".end_ms"] = t.Limit(), 0, 0
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.client.Status() {
		unit := func(n int) float64 {
			if s.Config.Kind == lease.ConcurrencyKind {
				return float64(n)
			}
			return s.Config.RatePerUnit * float64(n)
		}
		for key, v := range map[string]any{"whole": s.Config.Limit(), "given": unit(s.Allocated), "reserve": unit(s.Reserve),
			"free": unit(max(0, s.Config.Allocatable()-s.Allocated)), "apart": unit(s.Config.ReservedPerNode), "part": unit(s.Units),
			"wanted": unit(s.Demand), "out": s.InFlight, "used": s.Used, "end_ms": max(0, toDuration(s.End-now()).Milliseconds()),
			"revision": s.Config.Revision} {
			all["budget."+s.Name+"."+key] = v
		}
	}
}
