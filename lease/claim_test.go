package lease

import (
	"slices"
	"testing"
)

// asker notes what a claim does.
type asker struct {
	asks []Ask
	held []uint64
	lost int
}

func (a *asker) Ask(x Ask)         { a.asks = append(a.asks, x) }
func (a *asker) Held(token uint64) { a.held = append(a.held, token) }
func (a *asker) Lost(error)        { a.lost++ }
func (a *asker) Wake(Time)         {}

// Each case begins with a claim whose first asking is out since 0; it tells what is asked then, and whether acts may begin.
func TestClaims(t *testing.T) {
	short := Short(aLease, 0.01)
	yes := Answer{Token: 7}
	for _, c := range []struct {
		what string
		do   func(c *Claim)
		at   Time
		may  bool
		asks []string
	}{
		{"granted", func(c *Claim) { c.Answered(1, 0, yes) }, 1, true, []string{Acquire}},
		{"its end counts from before the asking", func(c *Claim) { c.Answered(short-1, 0, yes) }, short, false, []string{Acquire}},
		{"an answer that is late by the lease shows nothing before a renewal does", func(c *Claim) {
			c.Answered(short, 0, yes)
			c.Alarm(short)
		}, short, false, []string{Acquire, Renew}},
		{"nobody answers its renewals", func(c *Claim) {
			c.Answered(1, 0, yes)
			c.Alarm(aLease / renewPart)
			c.Unanswered(aLease / 2)
			c.Alarm(short)
		}, short, false, []string{Acquire, Renew, Renew}},
		{"lapsed: it asks anew", func(c *Claim) {
			c.Answered(1, 0, yes)
			c.Alarm(aLease / renewPart)
			c.Answered(aLease/2, aLease/renewPart, Answer{Err: ErrLapsed})
			c.Alarm(aLease)
		}, aLease / 2, false, []string{Acquire, Renew, Acquire}},
		{"released while its renewal is under way: a late yes revives nothing", func(c *Claim) {
			c.Answered(1, 0, yes)
			c.Alarm(aLease / renewPart)
			c.Drop(aLease / 2)
			c.Answered(aLease/2+1, aLease/renewPart, yes)
		}, aLease/2 + 1, false, []string{Acquire, Renew, Release}},
		{"granted while it was given up: it goes back", func(c *Claim) {
			c.Drop(1)
			c.Answered(2, 0, yes)
		}, 2, false, []string{Acquire, Withdraw, Release}},
	} {
		a := &asker{}
		x := NewClaim(a, 0, "task", holder(1), aLease, short, 1)
		c.do(x)
		var asks []string
		for _, k := range a.asks {
			asks = append(asks, k.Kind)
		}
		if _, may := x.May(c.at, 0); may != c.may || !slices.Equal(asks, c.asks) || len(a.held) > 0 && !may && c.at < short && a.lost == 0 {
			t.Errorf("%s: may %v, asks %v, want %v, %v", c.what, may, asks, c.may, c.asks)
		}
	}
}
