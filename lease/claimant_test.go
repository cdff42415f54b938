package lease

import (
	"slices"
	"testing"
)

// asker notes what a claim does.
type asker struct {
	asks []Request
	held []uint64
	lost int
}

func (a *asker) Send(x Request)       { a.asks = append(a.asks, x) }
func (a *asker) Granted(token uint64) { a.held = append(a.held, token) }
func (a *asker) Lost(error)           { a.lost++ }
func (a *asker) SetAlarm(Time)        {}

// Each case begins with a claim whose first asking is out since 0; it tells what is asked then, and whether acts may begin.
func TestClaims(t *testing.T) {
	short := HolderDuration(aLease, 0.01)
	yes := Response{Token: 7}
	for _, c := range []struct {
		what string
		do   func(c *Claimant)
		at   Time
		may  bool
		asks []string
	}{
		{"granted", func(c *Claimant) { c.HandleResponse(1, 0, yes) }, 1, true, []string{OpAcquire}},
		{"its end counts from before the asking", func(c *Claimant) { c.HandleResponse(short-1, 0, yes) }, short, false, []string{OpAcquire}},
		{"an answer that is late by the lease shows nothing before a renewal does", func(c *Claimant) {
			c.HandleResponse(short, 0, yes)
			c.Alarm(short)
		}, short, false, []string{OpAcquire, OpRenew}},
		{"nobody answers its renewals", func(c *Claimant) {
			c.HandleResponse(1, 0, yes)
			c.Alarm(aLease / renewalsPerLease)
			c.HandleTimeout(aLease / 2)
			c.Alarm(short)
		}, short, false, []string{OpAcquire, OpRenew, OpRenew}},
		{"lapsed: it asks anew", func(c *Claimant) {
			c.HandleResponse(1, 0, yes)
			c.Alarm(aLease / renewalsPerLease)
			c.HandleResponse(aLease/2, aLease/renewalsPerLease, Response{Err: ErrLeaseExpired})
			c.Alarm(aLease)
		}, aLease / 2, false, []string{OpAcquire, OpRenew, OpAcquire}},
		{"released while its renewal is under way: a late yes revives nothing", func(c *Claimant) {
			c.HandleResponse(1, 0, yes)
			c.Alarm(aLease / renewalsPerLease)
			c.Release(aLease / 2)
			c.HandleResponse(aLease/2+1, aLease/renewalsPerLease, yes)
		}, aLease/2 + 1, false, []string{OpAcquire, OpRenew, OpRelease}},
		{"granted while it was given up: it goes back", func(c *Claimant) {
			c.Release(1)
			c.HandleResponse(2, 0, yes)
		}, 2, false, []string{OpAcquire, OpWithdraw, OpRelease}},
	} {
		a := &asker{}
		x := NewClaimant(a, 0, "task", holder(1), aLease, short, 1)
		c.do(x)
		var asks []string
		for _, k := range a.asks {
			asks = append(asks, k.Operation)
		}
		if _, may := x.MayAct(c.at, 0); may != c.may || !slices.Equal(asks, c.asks) || len(a.held) > 0 && !may && c.at < short && a.lost == 0 {
			t.Errorf("%s: may %v, asks %v, want %v, %v", c.what, may, asks, c.may, c.asks)
		}
	}
}
