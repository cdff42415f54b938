package lease

import (
	"slices"
	"testing"
)

// recordingHost records the effects of a Claimant.
type recordingHost struct {
	requests []Request
	tokens   []uint64
	losses   int
}

func (a *recordingHost) Send(x Request)       { a.requests = append(a.requests, x) }
func (a *recordingHost) Granted(token uint64) { a.tokens = append(a.tokens, token) }
func (a *recordingHost) Lost(error)           { a.losses++ }
func (a *recordingHost) SetAlarm(Time)        {}

// Each case begins with a Claimant whose first request was sent at 0; it states which operations follow and whether acts may
// begin.
func TestClaimant(t *testing.T) {
	short := HolderDuration(testLeaseDuration, 0.01)
	yes := Response{Token: 7}
	for _, c := range []struct {
		what string
		do   func(c *Claimant)
		at   Time
		may  bool
		asks []string
	}{
		{"granted", func(c *Claimant) { c.HandleResponse(1, 0, yes) }, 1, true, []string{OpAcquire}},
		{"its expiry counts from before the request was sent", func(c *Claimant) { c.HandleResponse(short-1, 0, yes) }, short, false, []string{OpAcquire}},
		{"after a response that is late by a lease, only a renewal shows that it is held", func(c *Claimant) {
			c.HandleResponse(short, 0, yes)
			c.Alarm(short)
		}, short, false, []string{OpAcquire, OpRenew}},
		{"no response to its renewals", func(c *Claimant) {
			c.HandleResponse(1, 0, yes)
			c.Alarm(testLeaseDuration / renewalsPerLease)
			c.HandleTimeout(testLeaseDuration / 2)
			c.Alarm(short)
		}, short, false, []string{OpAcquire, OpRenew, OpRenew}},
		{"expired: it acquires again", func(c *Claimant) {
			c.HandleResponse(1, 0, yes)
			c.Alarm(testLeaseDuration / renewalsPerLease)
			c.HandleResponse(testLeaseDuration/2, testLeaseDuration/renewalsPerLease, Response{Err: ErrLeaseExpired})
			c.Alarm(testLeaseDuration)
		}, testLeaseDuration / 2, false, []string{OpAcquire, OpRenew, OpAcquire}},
		{"released while its renewal is in progress: a late grant revives nothing", func(c *Claimant) {
			c.HandleResponse(1, 0, yes)
			c.Alarm(testLeaseDuration / renewalsPerLease)
			c.Release(testLeaseDuration / 2)
			c.HandleResponse(testLeaseDuration/2+1, testLeaseDuration/renewalsPerLease, yes)
		}, testLeaseDuration/2 + 1, false, []string{OpAcquire, OpRenew, OpRelease}},
		{"granted while it was withdrawn: it is released", func(c *Claimant) {
			c.Release(1)
			c.HandleResponse(2, 0, yes)
		}, 2, false, []string{OpAcquire, OpWithdraw, OpRelease}},
	} {
		a := &recordingHost{}
		x := NewClaimant(a, 0, "task", holder(1), testLeaseDuration, short, 1)
		c.do(x)
		var asks []string
		for _, k := range a.requests {
			asks = append(asks, k.Operation)
		}
		if _, may := x.MayAct(c.at, 0); may != c.may || !slices.Equal(asks, c.asks) || len(a.tokens) > 0 && !may && c.at < short && a.losses == 0 {
			t.Errorf("%s: may %v, asks %v, want %v, %v", c.what, may, asks, c.may, c.asks)
		}
	}
}
