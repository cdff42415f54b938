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

// ErrUnknown says that nobody knows whether an act was done.
var ErrUnknown = errors.New("no answer: the act may have been done")

// Grip is a lease that is held, or was.
type Grip struct {
	c      *Client
	name   string
	holder lease.Holder
	ctx    context.Context // ends when it is lost

	mu    sync.Mutex
	claim *lease.Claim
	alarm alarm
	token uint64
	held  chan struct{} // closed when it is held first
	lost  context.CancelFunc
	freed chan struct{} // closed when the release was answered
	over  bool
	told  bool // that another has our name
}

// claim asks for a name until it is dropped.
func (c *Client) claim(ctx context.Context, name string) *Grip {
	g := &Grip{c: c, name: name, held: make(chan struct{}), freed: make(chan struct{}),
		holder: lease.Holder{Name: c.fleet.Node, Process: os.Getpid(), Start: c.start()}}
	g.ctx, g.lost = context.WithCancel(ctx)
	g.alarm = newAlarm(g.ring)
	short := lease.Short(tenths(c.fleet.Lease), c.fleet.MaxDrift)
	if faults.Without(faults.DriftMargin) {
		short = tenths(c.fleet.Lease)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.claim = lease.NewClaim((*claims)(g), now(), name, g.holder, tenths(c.fleet.Lease), short, uint64(g.holder.Start))
	return g
}

func (g *Grip) ring() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.over {
		g.claim.Alarm(now())
	}
}

// claims is what the claim acts through. Its methods run with the lock held.
type claims Grip

func (g *claims) Wake(at lease.Time) { g.alarm.set(at) }

func (g *claims) Held(token uint64) {
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

func (g *claims) Ask(a lease.Ask) {
	sent := now()
	go func() {
		x, err := g.c.traced(a)
		if faults.Without(faults.FromAnswer) {
			sent = now()
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if a.Kind == lease.Release || a.Kind == lease.Withdraw {
			close(g.freed)
			g.freed = make(chan struct{})
		}
		if err != nil {
			g.c.log.Debug("an asking came to nothing", zap.String("lease", g.name), zap.Error(err))
			if g.claim != nil {
				g.claim.Unanswered(now())
			}
			return
		}
		if g.claim != nil {
			g.claim.Answered(now(), sent, x)
		}
		if errors.Is(x.Err, lease.ErrWait) && g.name == session(g.c.fleet.Node) && !g.told {
			g.told = true
			g.c.log.Warn("name: another process has our name in the fleet; until its lease ends this one takes no part",
				zap.Stringer("who", x.Holder))
		}
	}()
}

// trace is told of each asking of this process before it is sent, and what it gives back of its answer; only the rig's
// build sets it.
var trace func(a lease.Ask) func(x lease.Answer, err error)

// traceParts is told of each answer about budgets; only the rig's build sets it.
var traceParts func(node string, news []budget.News)

func (c *Client) traced(a lease.Ask) (x lease.Answer, err error) {
	if trace != nil {
		told := trace(a)
		defer func() { told(x, err) }()
	}
	return c.ask(a)
}

// drop gives it up, and waits until that was heard or a call's time is over.
func (g *Grip) drop() {
	g.mu.Lock()
	freed := g.freed
	g.over = true
	g.claim.Drop(now())
	g.mu.Unlock()
	select {
	case <-freed:
	case <-time.After(g.c.within()):
	}
	g.lost()
}

// May says whether an act that takes so long may begin now. What it says is old at once: the process may stand still
// before the act, so the act carries the token to a door that refuses what is old, or is bounded by the time told here.
func (g *Grip) May(takes time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, may := g.claim.May(now(), tenths(takes))
	return may && g.ctx.Err() == nil // once lost it stays so, whatever the claim comes to
}

// Left gives how long it is held for sure.
func (g *Grip) Left() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, span(g.claim.End()-now()))
}

// End gives until when it is held, by our clock.
func (g *Grip) End() lease.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.claim.End()
}

// Token is of this holding; tokens only grow.
func (g *Grip) Token() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.token
}

// Do acts on a fact of the fleet, which refuses an old token, and a number that isn't above the fact's last.
func (g *Grip) Do(fact string, number uint64, value []byte) error {
	if !g.May(0) {
		return lease.ErrLapsed
	}
	faults.Point(faults.BeforeAct)
	a := lease.Ask{Kind: lease.Do, Name: g.name, Holder: g.holder, Token: g.Token(), Fact: fact, Number: number, Value: value}
	x, err := g.c.traced(a)
	if err != nil || errors.Is(x.Err, lease.ErrNotLeader) {
		return errors.Join(ErrUnknown, err)
	}
	return x.Err
}

// Keep claims a name until the context ends, and runs f each time it is held; f's context ends with the holding. What f
// leaves is given back, and claimed again if f says so.
func (c *Client) Keep(ctx context.Context, name string, f func(context.Context, *Grip) (again bool)) {
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
