package quotalimit

import (
	"testing"

	"pgregory.net/rapid"
)

// Units move between nodes at random. A unit is granted only after another node has returned it. Each limiter spends all of
// its tokens. All nodes together never exceed the budget's rate and burst in any time window. With keepTokens, a limiter keeps
// its burst when its quota shrinks, and the budget must be exceeded.
func TestQuotaMovesStayWithinBudget(t *testing.T) {
	for _, keepTokens := range []bool{false, true} {
		budgetExceeded := false
		check := func(t *rapid.T) {
			const nodes, units = 4, 12.0
			var limiters [nodes]*Limiter
			var nodeUnits [nodes]float64
			now, tokensAboveRate, lastSpend := int64(0), 0.0, int64(0)
			nodeUnits[0] = units
			setQuota := func(i int) {
				burst := nodeUnits[i]
				if keepTokens {
					burst = units // a shrinking quota doesn't reduce the tokens
				}
				SetQuota(&limiters[i], now, Quota{Rate: nodeUnits[i], Burst: burst, End: 1 << 60})
			}
			for i := range limiters {
				setQuota(i)
			}
			for range 200 {
				now += rapid.Int64Range(0, 20000).Draw(t, "span")
				if from, to := rapid.IntRange(0, nodes-1).Draw(t, "from"), rapid.IntRange(0, nodes-1).Draw(t, "to"); from != to {
					moved := float64(rapid.IntRange(0, int(nodeUnits[from])).Draw(t, "units"))
					nodeUnits[from] -= moved
					setQuota(from)
					nodeUnits[to] += moved
					setQuota(to)
				}
				if rapid.IntRange(0, 3).Draw(t, "spend") > 0 {
					continue
				}
				for _, l := range limiters {
					for l.Available(now) >= 1 {
						l.RequestStarted()
						tokensAboveRate = max(0, tokensAboveRate-units*float64(now-lastSpend)/ticksPerSecond) + 1
						if lastSpend = now; tokensAboveRate > units+1e-6 {
							if budgetExceeded = true; !keepTokens {
								t.Fatalf("%.3f tokens above the rate, want at most %g", tokensAboveRate, units)
							}
						}
					}
				}
			}
		}
		rapid.Check(t, check)
		if keepTokens && !budgetExceeded {
			t.Error("no run exceeds the budget although limiters keep their tokens; the test can't detect a violation")
		}
	}
}

// Covers the lower limit after the end of a quota, the concurrency limit, and the usage that SetQuota returns.
func TestLimiterQuotaEndAndUsage(t *testing.T) {
	var concurrencyLimiter *Limiter
	if concurrencyLimiter.Available(5) < 1e300 || concurrencyLimiter.Clone(5) != nil {
		t.Error("nil limiter limits requests or has a non-nil clone")
	}
	concurrencyLimiter.RequestStarted()
	SetQuota(&concurrencyLimiter, 0, Quota{Concurrency: true, Burst: 3, End: 100, BurstAfterEnd: 1})
	concurrencyLimiter.RequestStarted()
	concurrencyLimiter.RequestStarted()
	concurrencyLimiter.RequestDenied()
	for now, want := range map[int64]float64{99: 1, 100: -1} {
		limiterCopy := *concurrencyLimiter
		if got := limiterCopy.Available(now); got != want {
			t.Errorf("at tick %d: Available = %g, want %g", now, got, want)
		}
	}
	concurrencyLimiter.RequestEnded(2500)
	if usage := SetQuota(&concurrencyLimiter, 50, Quota{Concurrency: true, Burst: 3, End: 100}); usage != (Usage{Requested: 3, Started: 2, InFlight: 1, MeanSeconds: 0.25}) {
		t.Errorf("SetQuota returned %+v, want 3 requested, 2 started, 1 in flight, a mean of 0.25 s", usage)
	}
	if usage := SetQuota(&concurrencyLimiter, 60, Quota{Concurrency: true}); usage.InFlight != 1 || usage.Requested != 0 {
		t.Errorf("Set returned %+v, want 1 request in flight and the other counts reset", usage)
	}
	if clone := concurrencyLimiter.Clone(70); clone.Available(70) != 0 {
		t.Errorf("clone under an empty quota: Available = %g, want 0", clone.Available(70))
	}
	var rateLimiter *Limiter
	SetQuota(&rateLimiter, 0, Quota{Rate: 2, Burst: 4, End: 10000, RateAfterEnd: 1, BurstAfterEnd: 1})
	if rateLimiter.Available(5000) != 1 || rateLimiter.Available(20000) != 1 {
		t.Error("tokens don't accumulate with time, or the bucket doesn't shrink when the quota ends")
	}
}
