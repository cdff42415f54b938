// Package allowance counts what a node may do of a budget of its fleet: so many acts a second with some saved up, or so
// many at a time, until the part ends, and less after that. It does no I/O and has no clock: its times are in whole tenths
// of a millisecond. What to do where nothing is left is for others to decide.
package allowance

import "math"

const second = 10000.0 // of a clock's ticks

// Part is how much of a budget may be acted on.
type Part struct {
	Number             bool    // at a time; else a rate
	Rate, Most         float64 // a second, and how much of it may be saved up; of a number at a time Most alone
	Until              int64
	ThenRate, ThenMost float64 // after that; never more
}

// Use is what was asked for since a part was last set.
type Use struct {
	Asked, Done float64 // acts wanted, and done
	Out         int     // of a number at a time, that go on now
	Took        float64 // seconds that one takes in the mean, 0: not known
}

// Max gives the larger of each.
func (u Use) Max(o Use) Use {
	return Use{max(u.Asked, o.Asked), max(u.Done, o.Done), max(u.Out, o.Out), max(u.Took, o.Took)}
}

// Allowance is what is left of a part. None, a nil one, bounds nothing.
type Allowance struct {
	part  Part
	saved float64
	at    int64
	use   Use
}

// Set changes the part, and gives what was asked for since the last time. Nothing is saved up in a new one; what is saved
// up in an older one was so at the old rate, and shrinks with the part.
func Set(a **Allowance, now int64, p Part) Use {
	if *a == nil {
		*a = &Allowance{part: p, at: now}
	}
	x := *a
	x.Left(now)
	x.part = p
	x.Left(now)
	u := x.use
	x.use = Use{Out: u.Out}
	return u
}

// Like gives a new one of the same part, with nothing saved up.
func (a *Allowance) Like(now int64) *Allowance {
	if a == nil {
		return nil
	}
	return &Allowance{part: a.part, at: now}
}

// Left gives how many acts may begin now. Once the part has ended, all time since the last look counts at the rate after it.
func (a *Allowance) Left(now int64) float64 {
	if a == nil {
		return math.Inf(1)
	}
	if now >= a.part.Until {
		a.part.Rate, a.part.Most = a.part.ThenRate, a.part.ThenMost
	}
	if a.part.Number {
		return a.part.Most - float64(a.use.Out)
	}
	a.saved = min(a.part.Most, a.saved+a.part.Rate*float64(now-a.at)/second)
	a.at = now
	return a.saved
}

// Spend counts an act that begins.
func (a *Allowance) Spend() {
	if a == nil {
		return
	}
	a.use.Asked++
	a.use.Done++
	if a.part.Number {
		a.use.Out++
	} else {
		a.saved--
	}
}

// Ended counts one of a number at a time that is over; took is in ticks, the mean of late.
func (a *Allowance) Ended(took int64) {
	if a != nil {
		a.use.Out, a.use.Took = max(0, a.use.Out-1), float64(took)/second
	}
}

// Lacked counts an act that could not begin.
func (a *Allowance) Lacked() {
	if a != nil {
		a.use.Asked++
	}
}
