package lease

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
)

const (
	renewPart = 3                  // a lease is renewed each third of it: two renewals may be lost
	againPart = 30                 // an asking that failed is repeated after a thirtieth of a lease,
	againMost = 1000 * Millisecond // a second at most
	waitPart  = 4                  // a claimant waits at the leader for a quarter of a lease at a time
)

// ClaimantHost is what a Holder can do. None of the methods may call back.
type ClaimantHost interface {
	// Send sends an asking; Answered or Unanswered tells how it went. No other follows before, but for Drop's.
	Send(a Request)
	// Granted tells that the lease is held from now on, with this token.
	Granted(token uint64)
	// Lost tells that it isn't any more: what is under way has to end.
	Lost(why error)
	// SetAlarm asks for Alarm at that time or soon after.
	SetAlarm(at Time)
}

// Claimant is the side of one who wants a lease, and keeps it until it is dropped. It counts a lease from before its asking
// was sent, since the granter counts from after. It is not safe for concurrent use.
type Claimant struct {
	claims ClaimantHost
	name   string
	holder Holder
	short  Time // a lease as we count it: the granter's clock may be faster than ours
	length Time

	token   uint64 // 0: none
	end     Time   // of the lease, by our clock
	told    bool   // Held was told of it
	out     bool   // one is out
	dropped bool
	next    Time // when to ask again
	failed  int  // askings in a row that came to nothing
	seed    uint64
	drawn   uint64
}

// NewClaimant makes one, which asks at once. short is the length of a lease as its holder counts it; seed spreads askings.
func NewClaimant(claims ClaimantHost, now Time, name string, holder Holder, length, short Time, seed uint64) *Claimant {
	c := &Claimant{claims: claims, name: name, holder: holder, short: short, length: length, seed: seed}
	c.ask(now)
	return c
}

// MayAct says whether an act that takes so long may begin, and with which token. It holds for now only: after any wait ask
// again, and since a process may stand still between this and its act, the act carries the token to a door.
func (c *Claimant) MayAct(now, takes Time) (token uint64, may bool) {
	return c.token, c.told && !c.dropped && now+takes < c.end
}

// Expiry gives until when the lease is held, as far as is known.
func (c *Claimant) Expiry() Time { return c.end }

func (c *Claimant) ask(now Time) {
	a := Request{Operation: OpAcquire, Name: c.name, Holder: c.holder, Wait: c.length / waitPart}
	switch {
	case c.dropped && c.token != 0:
		a.Operation, a.Token = OpRelease, c.token
	case c.dropped:
		a.Operation = OpWithdraw
	case c.token != 0:
		a.Operation, a.Token = OpRenew, c.token
	}
	c.out = true
	c.claims.Send(a)
}

// HandleResponse tells what came of the asking that was out, which was sent at the time given.
func (c *Claimant) HandleResponse(now, sent Time, a Response) {
	if c.dropped {
		if a.Err == nil && a.Token != 0 && c.token == 0 {
			c.token = a.Token // granted while it was given up: so it goes back
			c.ask(now)
		}
		return // a late yes revives nothing
	}
	if !c.out {
		return
	}
	c.out = false
	switch {
	case a.Err == nil && (c.token == 0 || a.Token == c.token):
		c.failed = 0
		c.token = a.Token
		c.end = max(c.end, sent+c.short)
		c.next = sent + c.length/renewPart
		if now >= c.end { // the answer was late by a lease: a renewal has to show that it is still ours
			c.next = now
		} else if !c.told {
			c.told = true
			c.claims.Granted(c.token)
		}
	case errors.Is(a.Err, ErrLeaseExpired) || a.Err == nil:
		c.lose(a.Err)
		c.later(now)
	case errors.Is(a.Err, ErrStillHeld):
		c.failed = 0
		c.next = now
	default:
		c.later(now)
	}
	c.wake(now)
}

// HandleTimeout tells that the asking that was out came to nothing: nobody knows whether it was heard.
func (c *Claimant) HandleTimeout(now Time) {
	if !c.out || c.dropped {
		return
	}
	c.out = false
	c.later(now)
	c.wake(now)
}

// later spreads those who come again together.
func (c *Claimant) later(now Time) {
	c.failed = min(c.failed+1, 5)
	base := min(c.length/againPart, againMost)
	c.next = now + base + Time(c.draw()*float64(base)*float64(c.failed))
}

// draw gives the next number in [0, 1) of this claim's own chance.
func (c *Claimant) draw() float64 {
	c.drawn++
	h := fnv.New64a()
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], c.seed)
	binary.LittleEndian.PutUint64(buf[8:], c.drawn)
	h.Write(buf[:])
	return float64(h.Sum64()%(1<<20)) / (1 << 20)
}

func (c *Claimant) lose(why error) {
	was := c.told
	c.token, c.told, c.end = 0, false, 0
	if was {
		c.claims.Lost(why)
	}
}

// Alarm comes at or after a time asked for with Wake.
func (c *Claimant) Alarm(now Time) {
	if c.dropped {
		return
	}
	if c.told && now >= c.end {
		// It may still be ours by the granter's count, so the token stays, and a renewal shows it.
		c.told = false
		c.claims.Lost(ErrLeaseExpired)
	}
	if !c.out && now >= c.next {
		c.ask(now)
	}
	c.wake(now)
}

func (c *Claimant) wake(now Time) {
	if c.dropped {
		return
	}
	at := c.next
	if c.out {
		if !c.told {
			return // its end comes
		}
		at = c.end
	} else if c.told {
		at = min(at, c.end)
	}
	c.claims.SetAlarm(max(at, now))
}

// Release gives the lease up, or the wish for it, once all acts have ended. What is held is released, or granted yet.
func (c *Claimant) Release(now Time) {
	if c.dropped {
		return
	}
	c.dropped = true
	if c.told {
		c.told = false
		c.claims.Lost(nil)
	}
	c.ask(now)
}
