package allowance

import (
	"testing"

	"pgregory.net/rapid"
)

// Units move between nodes at random, each granted only once another node has returned it: all nodes together never exceed the
// budget's rate and burst in any window. Each limiter spends every token that it has.
func TestMovesNeverExceedTheBudget(t *testing.T) {
	for _, kept := range []bool{false, true} {
		exceeded := false
		check := func(t *rapid.T) {
			const nodes, units = 4, 12.0
			var all [nodes]*Limiter
			var has [nodes]float64
			now, excess, last := int64(0), 0.0, int64(0)
			has[0] = units
			set := func(i int) {
				most := has[i]
				if kept {
					most = units // tokens stay
				}
				Set(&all[i], now, Quota{Rate: has[i], Burst: most, Until: 1 << 60})
			}
			for i := range all {
				set(i)
			}
			for range 200 {
				now += rapid.Int64Range(0, 20000).Draw(t, "span")
				if from, to := rapid.IntRange(0, nodes-1).Draw(t, "from"), rapid.IntRange(0, nodes-1).Draw(t, "to"); from != to {
					n := float64(rapid.IntRange(0, int(has[from])).Draw(t, "units"))
					has[from] -= n
					set(from)
					has[to] += n
					set(to)
				}
				if rapid.IntRange(0, 3).Draw(t, "spend") > 0 {
					continue
				}
				for _, a := range all {
					for a.Available(now) >= 1 {
						a.Spend()
						excess = max(0, excess-units*float64(now-last)/ticksPerSecond) + 1
						if last = now; excess > units+1e-6 {
							if exceeded = true; !kept {
								t.Fatalf("%.3f beyond the rate, want at most %g", excess, units)
							}
						}
					}
				}
			}
		}
		rapid.Check(t, check)
		if kept && !exceeded {
			t.Error("with tokens kept no run exceeds the budget: the test proves nothing")
		}
	}
}

// The end of a quota, a concurrency limit, and the usage reported.
func TestEndsAndUse(t *testing.T) {
	var a *Limiter
	if a.Available(5) < 1e300 || a.Clone(5) != nil {
		t.Error("a nil limiter limits something")
	}
	a.Spend()
	Set(&a, 0, Quota{Concurrency: true, Burst: 3, Until: 100, ThenBurst: 1})
	a.Spend()
	a.Spend()
	a.Denied()
	for now, want := range map[int64]float64{99: 1, 100: -1} {
		b := *a
		if got := b.Available(now); got != want {
			t.Errorf("at %d: %g left, want %g", now, got, want)
		}
	}
	a.Ended(2500)
	if u := Set(&a, 50, Quota{Concurrency: true, Burst: 3, Until: 100}); u != (Usage{Wanted: 3, Done: 2, InFlight: 1, MeanSeconds: 0.25}) {
		t.Errorf("%+v", u)
	}
	if u := Set(&a, 60, Quota{Concurrency: true}); u.InFlight != 1 || u.Wanted != 0 {
		t.Errorf("requests in flight must stay counted: %+v", u)
	}
	if l := a.Clone(70); l.Available(70) != 0 {
		t.Errorf("%g available from the clone of an empty quota", l.Available(70))
	}
	var r *Limiter
	Set(&r, 0, Quota{Rate: 2, Burst: 4, Until: 10000, ThenRate: 1, ThenBurst: 1})
	if r.Available(5000) != 1 || r.Available(20000) != 1 {
		t.Error("want tokens to fill with time, and the bucket to shrink when the quota ends")
	}
}
