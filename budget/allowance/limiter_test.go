package allowance

import (
	"testing"

	"pgregory.net/rapid"
)

// Parts that move between nodes at random, each given only once another has given it up: all together never do more than
// the whole's rate in any window, and its burst. An act is done wherever one may be.
func TestMovesNeverPassTheWhole(t *testing.T) {
	for _, kept := range []bool{false, true} {
		passed := false
		check := func(t *rapid.T) {
			const nodes, units = 4, 12.0
			var all [nodes]*Limiter
			var has [nodes]float64
			now, excess, last := int64(0), 0.0, int64(0)
			has[0] = units
			set := func(i int) {
				most := has[i]
				if kept {
					most = units // what was saved up stays
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
							if passed = true; !kept {
								t.Fatalf("%.3f beyond the rate, %g may be", excess, units)
							}
						}
					}
				}
			}
		}
		rapid.Check(t, check)
		if kept && !passed {
			t.Error("with what was saved up kept nothing passes the whole: the test shows nothing")
		}
	}
}

// A part's end, acts at a time, and what is told of them.
func TestEndsAndUse(t *testing.T) {
	var a *Limiter
	if a.Available(5) < 1e300 || a.Clone(5) != nil {
		t.Error("no part bounds something")
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
		t.Errorf("what goes on counts on: %+v", u)
	}
	if l := a.Clone(70); l.Available(70) != 0 {
		t.Errorf("%g left of a new one of no part", l.Available(70))
	}
	var r *Limiter
	Set(&r, 0, Quota{Rate: 2, Burst: 4, Until: 10000, ThenRate: 1, ThenBurst: 1})
	if r.Available(5000) != 1 || r.Available(20000) != 1 {
		t.Error("a rate fills with time, and what is saved up ends with its part")
	}
}
