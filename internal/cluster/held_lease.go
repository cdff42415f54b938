package cluster

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

// ErrOutcomeUnknown means that an effect may or may not have been applied.
var ErrOutcomeUnknown = errors.New("no response: the effect may have been applied")

// HeldLease is a lease that this process requests, holds or has held. It is safe for concurrent use.
type HeldLease struct {
	client *Client
	name   string
	holder lease.Holder
	ctx    context.Context // ends when the lease is lost or released
	cancel context.CancelFunc

	mu              sync.Mutex
	claimant        *lease.Claimant
	alarm           alarm
	token           uint64
	acquired        chan struct{} // closed when the lease is first held
	responded       chan struct{} // closed at the end of each release or withdraw request, then replaced
	releasing       bool
	warnedDuplicate bool // a warning that another process holds this node's name was logged
}

// acquire requests a lease, and renews it once it is granted, until release is called.
func (c *Client) acquire(ctx context.Context, name string) *HeldLease {
	holder := lease.Holder{Name: c.config.Node, Process: os.Getpid(), Start: c.nextStart()}
	h := &HeldLease{
		client:    c,
		name:      name,
		holder:    holder,
		acquired:  make(chan struct{}),
		responded: make(chan struct{}),
	}
	h.ctx, h.cancel = context.WithCancel(ctx)
	h.alarm = newAlarm(h.onAlarm)
	leaseDuration := toLeaseTime(c.config.Lease)
	holderDuration := lease.HolderDuration(leaseDuration, c.config.MaxDrift)
	if faults.Disabled(faults.DriftMargin) {
		holderDuration = leaseDuration
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claimant = lease.NewClaimant((*claimantHost)(h), now(), name, holder, leaseDuration, holderDuration, uint64(holder.Start))
	return h
}

func (h *HeldLease) onAlarm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.releasing {
		h.claimant.Alarm(now())
	}
}

// claimantHost is the lease.ClaimantHost of a HeldLease. Its methods are called with the lock held.
type claimantHost HeldLease

func (h *claimantHost) SetAlarm(alarmTime lease.Time) { h.alarm.set(alarmTime) }

func (h *claimantHost) Granted(token uint64) {
	if h.token == 0 {
		h.token = token
		close(h.acquired)
	}
}

func (h *claimantHost) Lost(reason error) {
	h.cancel()
	if reason != nil {
		h.client.log.Warn("a lease is lost", zap.String("lease", h.name), zap.Uint64("token", h.token), zap.Error(reason))
	}
}

func (h *claimantHost) Send(r lease.Request) {
	sent := now()
	go func() {
		response, err := h.client.sendTraced(r)
		if faults.Disabled(faults.FromAnswer) {
			sent = now()
		}
		(*HeldLease)(h).handleOutcome(r, sent, response, err)
	}()
}

// handleOutcome passes the response or the error of a request to the claimant.
func (h *HeldLease) handleOutcome(r lease.Request, sent lease.Time, response lease.Response, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Operation == lease.OpRelease || r.Operation == lease.OpWithdraw {
		close(h.responded)
		h.responded = make(chan struct{}) // a grant that arrives during a withdrawal needs another request, which releases it
	}
	if err != nil {
		h.client.log.Debug("lease request failed", zap.String("lease", h.name), zap.Error(err))
		if h.claimant != nil {
			h.claimant.HandleTimeout(now())
		}
		return
	}
	if h.claimant != nil {
		h.claimant.HandleResponse(now(), sent, response)
	}
	if errors.Is(response.Err, lease.ErrStillHeld) && h.name == nodeLease(h.client.config.Node) && !h.warnedDuplicate {
		h.warnedDuplicate = true
		h.client.log.Warn("another process holds the lease of this node's name, waiting for it", zap.Stringer("holder", response.Holder))
	}
}

// release releases the lease, and waits for the response for up to callTimeout.
func (h *HeldLease) release() {
	h.mu.Lock()
	responded := h.responded
	h.releasing = true
	h.claimant.Release(now())
	h.mu.Unlock()
	select {
	case <-responded:
	case <-time.After(h.client.callTimeout()):
	}
	h.cancel()
}

// MayAct reports whether an act of the given duration may begin now. The process may be suspended between this check and the
// act. Therefore either the act passes the fencing token to a resource that refuses old tokens, or its end is bounded by the
// duration.
func (h *HeldLease) MayAct(duration time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, allowed := h.claimant.MayAct(now(), toLeaseTime(duration))
	return allowed && h.ctx.Err() == nil // a HeldLease stays lost, although its claimant may acquire the lease again
}

// Remaining returns the time for which the lease is certain to be held, or 0.
func (h *HeldLease) Remaining() time.Duration { return max(0, toDuration(h.Expiry()-now())) }

// Expiry returns the end of the lease by this process's clock.
func (h *HeldLease) Expiry() lease.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claimant.Expiry()
}

// Token returns the fencing token. Later grants, of any lease, have higher tokens.
func (h *HeldLease) Token() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.token
}

// SetEffect applies an effect to the cluster's replicated state. The state refuses an old token, and a number that isn't higher
// than the effect's last number. The error is ErrOutcomeUnknown if there was no response.
func (h *HeldLease) SetEffect(effect string, number uint64, value []byte) error {
	if !h.MayAct(0) {
		return lease.ErrLeaseExpired
	}
	faults.StopPoint(faults.BeforeAct)
	response, err := h.client.sendTraced(lease.Request{
		Operation: lease.OpEffect,
		Name:      h.name,
		Holder:    h.holder,
		Token:     h.Token(),
		Effect:    effect,
		Number:    number,
		Value:     value,
	})
	if err != nil || errors.Is(response.Err, lease.ErrNotLeader) {
		return errors.Join(ErrOutcomeUnknown, err)
	}
	return response.Err
}

// Hold acquires a lease and runs f while it is held. f's context ends when the lease is lost. When f returns, Hold releases the
// lease, and acquires it again if f returned true. Hold returns when f returns false or ctx ends.
func (c *Client) Hold(ctx context.Context, name string, f func(context.Context, *HeldLease) (reacquire bool)) {
	for ctx.Err() == nil {
		held := c.acquire(ctx, name)
		reacquire := true
		select {
		case <-held.acquired:
			reacquire = f(held.ctx, held)
		case <-ctx.Done():
		}
		held.release()
		if !reacquire {
			return
		}
	}
}
