package cluster

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

// ErrOutcomeUnknown says that nobody knows whether an act was done.
var ErrOutcomeUnknown = errors.New("no answer: the act may have been done")

// HeldLease is a lease that is held, or was.
type HeldLease struct {
	c      *Client
	name   string
	holder lease.Holder
	ctx    context.Context // ends when it is lost

	mu    sync.Mutex
	claim *lease.Claimant
	alarm alarm
	token uint64
	held  chan struct{} // closed when it is held first
	lost  context.CancelFunc
	freed chan struct{} // closed when the release was answered
	over  bool
	told  bool // that another has our name
}

// claim asks for a name until it is dropped.
func (c *Client) claim(ctx context.Context, name string) *HeldLease {
	g := &HeldLease{c: c, name: name, held: make(chan struct{}), freed: make(chan struct{}),
		holder: lease.Holder{Name: c.fleet.Node, Process: os.Getpid(), Start: c.start()}}
	g.ctx, g.lost = context.WithCancel(ctx)
	g.alarm = newAlarm(g.ring)
	short := lease.HolderDuration(tenths(c.fleet.Lease), c.fleet.MaxDrift)
	if faults.Without(faults.DriftMargin) {
		short = tenths(c.fleet.Lease)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.claim = lease.NewClaimant((*claims)(g), now(), name, g.holder, tenths(c.fleet.Lease), short, uint64(g.holder.Start))
	return g
}

func (g *HeldLease) ring() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.over {
		g.claim.Alarm(now())
	}
}

// claims is what the claim acts through. Its methods run with the lock held.
type claims HeldLease

func (g *claims) SetAlarm(at lease.Time) { g.alarm.set(at) }

func (g *claims) Granted(token uint64) {
	if g.token == 0 {
		g.token = token
		close(g.held)
	}
}

func (g *claims) Lost(why error) {
	g.lost()
	if why != nil {
		g.c.log.Warn("a lease is lost", zap.String("lease", g.name), zap.Uint64("token", g.token), zap.Error(why))
	}
}

func (g *claims) Send(a lease.Request) {
	sent := now()
	go func() {
		x, err := g.c.traced(a)
		if faults.Without(faults.FromAnswer) {
			sent = now()
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if a.Operation == lease.OpRelease || a.Operation == lease.OpWithdraw {
			close(g.freed)
			g.freed = make(chan struct{})
		}
		if err != nil {
			g.c.log.Debug("an asking came to nothing", zap.String("lease", g.name), zap.Error(err))
			if g.claim != nil {
				g.claim.HandleTimeout(now())
			}
			return
		}
		if g.claim != nil {
			g.claim.HandleResponse(now(), sent, x)
		}
		if errors.Is(x.Err, lease.ErrStillHeld) && g.name == session(g.c.fleet.Node) && !g.told {
			g.told = true
			g.c.log.Warn("name: another process has our name in the fleet; until its lease ends this one takes no part",
				zap.Stringer("who", x.Holder))
		}
	}()
}

// trace is told of each asking of this process before it is sent, and what it gives back of its answer; only the rig's
// build sets it.
var trace func(a lease.Request) func(x lease.Response, err error)

// traceParts is told of each answer about budgets; only the rig's build sets it.
var traceParts func(node string, news []budget.QuotaUpdate)

func (c *Client) traced(a lease.Request) (x lease.Response, err error) {
	if trace != nil {
		told := trace(a)
		defer func() { told(x, err) }()
	}
	return c.ask(a)
}

// drop gives it up, and waits until that was heard or a call's time is over.
func (g *HeldLease) drop() {
	g.mu.Lock()
	freed := g.freed
	g.over = true
	g.claim.Release(now())
	g.mu.Unlock()
	select {
	case <-freed:
	case <-time.After(g.c.within()):
	}
	g.lost()
}

// May says whether an act that takes so long may begin now. What it says is old at once: the process may stand still
// before the act, so the act carries the token to a door that refuses what is old, or is bounded by the time told here.
func (g *HeldLease) May(takes time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, may := g.claim.MayAct(now(), tenths(takes))
	return may && g.ctx.Err() == nil // once lost it stays so, whatever the claim comes to
}

// Remaining gives how long it is held for sure.
func (g *HeldLease) Remaining() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, span(g.claim.Expiry()-now()))
}

// End gives until when it is held, by our clock.
func (g *HeldLease) End() lease.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.claim.Expiry()
}

// Token is of this holding; tokens only grow.
func (g *HeldLease) Token() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.token
}

// Do acts on a fact of the fleet, which refuses an old token, and a number that isn't above the fact's last.
func (g *HeldLease) Do(fact string, number uint64, value []byte) error {
	if !g.May(0) {
		return lease.ErrLeaseExpired
	}
	faults.Point(faults.BeforeAct)
	a := lease.Request{Operation: lease.OpEffect, Name: g.name, Holder: g.holder, Token: g.Token(), Effect: fact, Number: number, Value: value}
	x, err := g.c.traced(a)
	if err != nil || errors.Is(x.Err, lease.ErrNotLeader) {
		return errors.Join(ErrOutcomeUnknown, err)
	}
	return x.Err
}

// Hold claims a name until the context ends, and runs f each time it is held; f's context ends with the holding. What f
// leaves is given back, and claimed again if f says so.
func (c *Client) Hold(ctx context.Context, name string, f func(context.Context, *HeldLease) (again bool)) {
	for ctx.Err() == nil {
		g := c.claim(ctx, name)
		again := true
		select {
		case <-g.held:
			again = f(g.ctx, g)
		case <-ctx.Done():
		}
		g.drop()
		if !again {
			return
		}
	}
}
