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
	client *Client
	name   string
	holder lease.Holder
	ctx    context.Context // ends when it is lost

	mu              sync.Mutex
	claimant        *lease.Claimant
	alarm           alarm
	token           uint64
	acquired        chan struct{} // closed when it is held first
	cancel          context.CancelFunc
	released        chan struct{} // closed when the release was answered
	dropped         bool
	warnedDuplicate bool // that another has our name
}

// acquire asks for a name until it is dropped.
func (c *Client) acquire(ctx context.Context, name string) *HeldLease {
	g := &HeldLease{client: c, name: name, acquired: make(chan struct{}), released: make(chan struct{}),
		holder: lease.Holder{Name: c.config.Node, Process: os.Getpid(), Start: c.nextStart()}}
	g.ctx, g.cancel = context.WithCancel(ctx)
	g.alarm = newAlarm(g.onAlarm)
	short := lease.HolderDuration(toLeaseTime(c.config.Lease), c.config.MaxDrift)
	if faults.Without(faults.DriftMargin) {
		short = toLeaseTime(c.config.Lease)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.claimant = lease.NewClaimant((*claimantHost)(g), now(), name, g.holder, toLeaseTime(c.config.Lease), short, uint64(g.holder.Start))
	return g
}

func (g *HeldLease) onAlarm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.dropped {
		g.claimant.Alarm(now())
	}
}

// claimantHost is what the claim acts through. Its methods run with the lock held.
type claimantHost HeldLease

func (g *claimantHost) SetAlarm(at lease.Time) { g.alarm.set(at) }

func (g *claimantHost) Granted(token uint64) {
	if g.token == 0 {
		g.token = token
		close(g.acquired)
	}
}

func (g *claimantHost) Lost(why error) {
	g.cancel()
	if why != nil {
		g.client.log.Warn("a lease is lost", zap.String("lease", g.name), zap.Uint64("token", g.token), zap.Error(why))
	}
}

func (g *claimantHost) Send(a lease.Request) {
	sent := now()
	go func() {
		x, err := g.client.sendTraced(a)
		if faults.Without(faults.FromAnswer) {
			sent = now()
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if a.Operation == lease.OpRelease || a.Operation == lease.OpWithdraw {
			close(g.released)
			g.released = make(chan struct{})
		}
		if err != nil {
			g.client.log.Debug("an asking came to nothing", zap.String("lease", g.name), zap.Error(err))
			if g.claimant != nil {
				g.claimant.HandleTimeout(now())
			}
			return
		}
		if g.claimant != nil {
			g.claimant.HandleResponse(now(), sent, x)
		}
		if errors.Is(x.Err, lease.ErrStillHeld) && g.name == nodeLease(g.client.config.Node) && !g.warnedDuplicate {
			g.warnedDuplicate = true
			g.client.log.Warn("name: another process has our name in the fleet; until its lease ends this one takes no part",
				zap.Stringer("who", x.Holder))
		}
	}()
}

// traceRequest is told of each asking of this process before it is sent, and what it gives back of its answer; only the rig's
// build sets it.
var traceRequest func(a lease.Request) func(x lease.Response, err error)

// traceQuotas is told of each answer about budgets; only the rig's build sets it.
var traceQuotas func(node string, news []budget.QuotaUpdate)

func (c *Client) sendTraced(a lease.Request) (x lease.Response, err error) {
	if traceRequest != nil {
		told := traceRequest(a)
		defer func() { told(x, err) }()
	}
	return c.send(a)
}

// release gives it up, and waits until that was heard or a call's time is over.
func (g *HeldLease) release() {
	g.mu.Lock()
	freed := g.released
	g.dropped = true
	g.claimant.Release(now())
	g.mu.Unlock()
	select {
	case <-freed:
	case <-time.After(g.client.callTimeout()):
	}
	g.cancel()
}

// May says whether an act that takes so long may begin now. What it says is old at once: the process may stand still
// before the act, so the act carries the token to a door that refuses what is old, or is bounded by the time told here.
func (g *HeldLease) May(takes time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, may := g.claimant.MayAct(now(), toLeaseTime(takes))
	return may && g.ctx.Err() == nil // once lost it stays so, whatever the claim comes to
}

// Remaining gives how long it is held for sure.
func (g *HeldLease) Remaining() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, toDuration(g.claimant.Expiry()-now()))
}

// End gives until when it is held, by our clock.
func (g *HeldLease) End() lease.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.claimant.Expiry()
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
	x, err := g.client.sendTraced(a)
	if err != nil || errors.Is(x.Err, lease.ErrNotLeader) {
		return errors.Join(ErrOutcomeUnknown, err)
	}
	return x.Err
}

// Hold claims a name until the context ends, and runs f each time it is held; f's context ends with the holding. What f
// leaves is given back, and claimed again if f says so.
func (c *Client) Hold(ctx context.Context, name string, f func(context.Context, *HeldLease) (again bool)) {
	for ctx.Err() == nil {
		g := c.acquire(ctx, name)
		again := true
		select {
		case <-g.acquired:
			again = f(g.ctx, g)
		case <-ctx.Done():
		}
		g.release()
		if !again {
			return
		}
	}
}
