// Package allowance counts what a node may do of a budget of its fleet: so many acts a second with some saved up, or so
// many at a time, until the part ends, and less after that. It does no I/O and has no clock: its times are in whole tenths
// of a millisecond. What to do where nothing is left is for others to decide.
package allowance

import "math"

const ticksPerSecond = 10000.0 // of a clock's ticks

// Quota is how much of a budget may be acted on.
type Quota struct {
	Concurrency         bool    // at a time; else a rate
	Rate, Burst         float64 // a second, and how much of it may be saved up; of a number at a time Most alone
	Until               int64
	ThenRate, ThenBurst float64 // after that; never more
}

// Usage is what was asked for since a part was last set.
type Usage struct {
	Wanted, Done float64 // acts wanted, and done
	InFlight     int     // of a number at a time, that go on now
	MeanSeconds  float64 // seconds that one takes in the mean, 0: not known
}

// Max gives the larger of each.
func (u Usage) Max(o Usage) Usage {
	return Usage{max(u.Wanted, o.Wanted), max(u.Done, o.Done), max(u.InFlight, o.InFlight), max(u.MeanSeconds, o.MeanSeconds)}
}

// Limiter is what is left of a part. None, a nil one, bounds nothing.
type Limiter struct {
	quota      Quota
	tokens     float64
	refilledAt int64
	usage      Usage
}

// Set changes the part, and gives what was asked for since the last time. Nothing is saved up in a new one; what is saved
// up in an older one was so at the old rate, and shrinks with the part.
func Set(a **Limiter, now int64, p Quota) Usage {
	if *a == nil {
		*a = &Limiter{quota: p, refilledAt: now}
	}
	x := *a
	x.Available(now)
	x.quota = p
	x.Available(now)
	u := x.usage
	x.usage = Usage{InFlight: u.InFlight}
	return u
}

// Clone gives a new one of the same part, with nothing saved up.
func (a *Limiter) Clone(now int64) *Limiter {
	if a == nil {
		return nil
	}
	return &Limiter{quota: a.quota, refilledAt: now}
}

// Available gives how many acts may begin now. Once the part has ended, all time since the last look counts at the rate after it.
func (a *Limiter) Available(now int64) float64 {
	if a == nil {
		return math.Inf(1)
	}
	if now >= a.quota.Until {
		a.quota.Rate, a.quota.Burst = a.quota.ThenRate, a.quota.ThenBurst
	}
	if a.quota.Concurrency {
		return a.quota.Burst - float64(a.usage.InFlight)
	}
	a.tokens = min(a.quota.Burst, a.tokens+a.quota.Rate*float64(now-a.refilledAt)/ticksPerSecond)
	a.refilledAt = now
	return a.tokens
}

// Spend counts an act that begins.
func (a *Limiter) Spend() {
	if a == nil {
		return
	}
	a.usage.Wanted++
	a.usage.Done++
	if a.quota.Concurrency {
		a.usage.InFlight++
	} else {
		a.tokens--
	}
}

// Ended counts one of a number at a time that is over; took is in ticks, the mean of late.
func (a *Limiter) Ended(took int64) {
	if a != nil {
		a.usage.InFlight, a.usage.MeanSeconds = max(0, a.usage.InFlight-1), float64(took)/ticksPerSecond
	}
}

// Denied counts an act that could not begin.
func (a *Limiter) Denied() {
	if a != nil {
		a.usage.Wanted++
	}
}
