// Package quotalimit limits the requests of a node to its quota of a budget. A quota limits either the request rate, with a
// token bucket, or the number of requests in flight. After the end of the quota a lower limit applies. The package does no
// I/O and reads no clock: callers pass times in ticks of a tenth of a millisecond. The caller decides what happens to a
// request that the limit denies.
package quotalimit

import "math"

const ticksPerSecond = 10000.0

// Quota is a limit with an end, and the lower limit that applies after the end.
type Quota struct {
	Concurrency                 bool    // if true, Burst limits the requests in flight; otherwise Rate and Burst limit the request rate
	Rate, Burst                 float64 // tokens per second, and size of the token bucket
	End                         int64   // end of the quota, in ticks
	RateAfterEnd, BurstAfterEnd float64 // Rate and Burst after the end, never above those before
}

// Usage counts the requests at a limiter since the last call of SetQuota.
type Usage struct {
	Requested, Started float64 // requests that asked to begin, and those that began
	InFlight           int     // requests in flight now, under a concurrency limit
	MeanSeconds        float64 // mean duration of a request, 0: unknown
}

// Max returns the maximum of u and other, field by field.
func (u Usage) Max(other Usage) Usage {
	return Usage{
		Requested:   max(u.Requested, other.Requested),
		Started:     max(u.Started, other.Started),
		InFlight:    max(u.InFlight, other.InFlight),
		MeanSeconds: max(u.MeanSeconds, other.MeanSeconds),
	}
}

// Limiter enforces a Quota. A nil Limiter doesn't limit anything. A Limiter is not safe for concurrent use.
type Limiter struct {
	quota      Quota
	tokens     float64
	refilledAt int64
	usage      Usage
}

// SetQuota replaces the quota of *l and returns the usage since the previous call. If *l is nil, SetQuota creates a limiter without
// tokens. An existing limiter keeps the tokens that it accumulated at the old rate, up to the size of the new bucket. A quota
// that shrinks because its units move to another node must not leave their burst behind.
func SetQuota(l **Limiter, now int64, q Quota) Usage {
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

// Clone returns a new limiter with the same quota and without tokens.
func (l *Limiter) Clone(now int64) *Limiter {
	if l == nil {
		return nil
	}
	return &Limiter{quota: l.quota, refilledAt: now}
}

// Available returns how many requests may begin now. It is negative if more requests are in flight than the limit allows.
// After the end of the quota, the bucket refills at the lower rate for all the time since the previous call, also for the part
// before the end.
func (l *Limiter) Available(now int64) float64 {
	if l == nil {
		return math.Inf(1)
	}
	if now >= l.quota.End {
		l.quota.Rate = l.quota.RateAfterEnd
		l.quota.Burst = l.quota.BurstAfterEnd
	}
	if l.quota.Concurrency {
		return l.quota.Burst - float64(l.usage.InFlight)
	}
	l.tokens = min(l.quota.Burst, l.tokens+l.quota.Rate*float64(now-l.refilledAt)/ticksPerSecond)
	l.refilledAt = now
	return l.tokens
}

// RequestStarted records the start of a request.
func (l *Limiter) RequestStarted() {
	if l == nil {
		return
	}
	l.usage.Requested++
	l.usage.Started++
	if l.quota.Concurrency {
		l.usage.InFlight++
	} else {
		l.tokens--
	}
}

// RequestEnded records the end of a request in flight. meanDuration is the mean duration of recent requests, in ticks.
func (l *Limiter) RequestEnded(meanDuration int64) {
	if l == nil {
		return
	}
	l.usage.InFlight = max(0, l.usage.InFlight-1)
	l.usage.MeanSeconds = float64(meanDuration) / ticksPerSecond
}

// RequestDenied records a request that the limit denied.
func (l *Limiter) RequestDenied() {
	if l != nil {
		l.usage.Requested++
	}
}
