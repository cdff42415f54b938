// Package allowance limits what a node does by its quota of a budget: a rate by a token bucket, or a concurrency, until the
// quota ends, and a lower limit after that. It does no I/O and reads no clock: its times are in ticks of a tenth of a
// millisecond. What to do with a request that the limit denies is the caller's decision.
package allowance

import "math"

const ticksPerSecond = 10000.0

// Quota is a limit that falls to another at its end.
type Quota struct {
	Concurrency         bool    // limits requests in flight, to Burst; else it limits a rate
	Rate, Burst         float64 // tokens a second, and the bucket's size
	Until               int64   // the end, in ticks
	ThenRate, ThenBurst float64 // the limit after the end; never above the one before
}

// Usage is what was asked of a limiter since Set was last called.
type Usage struct {
	Wanted, Done float64 // requests that wanted to begin, and those that did
	InFlight     int     // requests in flight now, under a concurrency limit
	MeanSeconds  float64 // that a request takes, 0: not known
}

// Max returns the larger of each field.
func (u Usage) Max(other Usage) Usage {
	return Usage{
		Wanted:      max(u.Wanted, other.Wanted),
		Done:        max(u.Done, other.Done),
		InFlight:    max(u.InFlight, other.InFlight),
		MeanSeconds: max(u.MeanSeconds, other.MeanSeconds),
	}
}

// Limiter enforces a Quota. A nil Limiter limits nothing. It is not safe for concurrent use.
type Limiter struct {
	quota      Quota
	tokens     float64
	refilledAt int64
	usage      Usage
}

// Set replaces the quota of *l, which it creates if it is nil, and returns the usage since the call before. A new limiter has
// no tokens. An older one has those that it got at the old rate, as far as the new bucket holds them: a quota that moves to
// another node must not leave its burst behind.
func Set(l **Limiter, now int64, q Quota) Usage {
	if *l == nil {
		*l = &Limiter{quota: q, refilledAt: now}
	}
	limiter := *l
	limiter.Available(now)
	limiter.quota = q
	limiter.Available(now)
	usage := limiter.usage
	limiter.usage = Usage{InFlight: usage.InFlight}
	return usage
}

// Clone returns a new limiter under the same quota, with no tokens.
func (l *Limiter) Clone(now int64) *Limiter {
	if l == nil {
		return nil
	}
	return &Limiter{quota: l.quota, refilledAt: now}
}

// Available returns how many requests may begin now; it is negative when more are in flight than the limit allows. Once
// the quota has ended, all time since the call before counts at the rate after the end.
func (l *Limiter) Available(now int64) float64 {
	if l == nil {
		return math.Inf(1)
	}
	if now >= l.quota.Until {
		l.quota.Rate = l.quota.ThenRate
		l.quota.Burst = l.quota.ThenBurst
	}
	if l.quota.Concurrency {
		return l.quota.Burst - float64(l.usage.InFlight)
	}
	l.tokens = min(l.quota.Burst, l.tokens+l.quota.Rate*float64(now-l.refilledAt)/ticksPerSecond)
	l.refilledAt = now
	return l.tokens
}

// Spend counts a request that begins.
func (l *Limiter) Spend() {
	if l == nil {
		return
	}
	l.usage.Wanted++
	l.usage.Done++
	if l.quota.Concurrency {
		l.usage.InFlight++
	} else {
		l.tokens--
	}
}

// Ended counts a request in flight that has ended. meanDuration is the mean of recent requests, in ticks.
func (l *Limiter) Ended(meanDuration int64) {
	if l == nil {
		return
	}
	l.usage.InFlight = max(0, l.usage.InFlight-1)
	l.usage.MeanSeconds = float64(meanDuration) / ticksPerSecond
}

// Denied counts a request that the limit kept from beginning.
func (l *Limiter) Denied() {
	if l != nil {
		l.usage.Wanted++
	}
}
