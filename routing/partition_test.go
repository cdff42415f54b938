package routing

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// Lazy scaling gives the same weights as multiplying all of them for each request.
func TestLazyScalingMatchesPlainWeights(t *testing.T) {
	b := newFakeHost(1, 5).b
	plain := slices.Repeat([]float64{1.0 / binCount}, binCount)
	rnd := rand.New(rand.NewSource(1))
	for range 4000 {
		bin := rnd.Intn(1 + rnd.Intn(binCount))
		b.recordPoint(float64(bin) + 0.5)
		for i := range plain {
			plain[i] *= 1 - b.alpha
		}
		plain[bin] += b.alpha
	}
	for i, want := range plain {
		if got := b.binWeights[i] * b.weightScale; math.Abs(got-want) > 1e-9 {
			t.Fatalf("bin %d: %g, want %g", i, got, want)
		}
	}
}

// Under steady demand, also with a hot key, all remembered requests have equal weights: alpha is the inverse of their
// number. When other keys become popular, alpha rises within some seconds, so that the histogram follows. It stays
// within its bounds.
func TestAlphaFollowsDemand(t *testing.T) {
	for _, perInterval := range []int{30, 200} { // requests between two comparisons
		b := newFakeHost(1, 5).b
		rnd := rand.New(rand.NewSource(1))
		record := func(intervals, firstBin int) {
			for range intervals {
				for range perInterval {
					bin := firstBin + rnd.Intn(1+rnd.Intn(binCount/2))
					if rnd.Intn(8) == 0 {
						bin = firstBin + 77
					}
					b.recordPoint(float64(bin) + 0.5)
				}
				b.adaptToDemand()
			}
		}
		if record(100, 0); b.alpha > 1.2/float64(100*perInterval) {
			t.Errorf("%d per interval: alpha %g in steady demand, want about %g", perInterval, b.alpha, 1/float64(100*perInterval))
		}
		steadyAlpha := b.alpha
		if record(4, binCount/2); b.alpha < 20*steadyAlpha {
			t.Errorf("%d per interval: alpha %g after a shift, %g before", perInterval, b.alpha, steadyAlpha)
		}
		b.rememberedRequests = 1
		if b.recordPoint(1); b.alpha != 1.0/100 {
			t.Errorf("alpha %g after the first request, want its maximum", b.alpha)
		}
		b.rememberedRequests = 1e9
		if b.recordPoint(1); b.alpha != minAlpha {
			t.Errorf("alpha %g after 1e9 requests, want its minimum", b.alpha)
		}
	}
}

func TestRangeEnds(t *testing.T) {
	for _, tc := range []struct {
		weight map[int]float64 // weights of the bins; those not listed are 0; nil: equal weights
		want   []float64
	}{
		{nil, []float64{500, 1000, 1500, 2000}},
		{nil, []float64{2000}},
		{map[int]float64{10: 1, 11: 3}, []float64{11 + 1.0/3, 2000}},
		{map[int]float64{7: 1}, []float64{7.25, 7.5, 7.75, 2000}},
	} {
		b := newFakeHost(1, len(tc.want)).b
		if tc.weight != nil {
			b.binWeights = make([]float64, binCount)
		}
		for i, w := range tc.weight {
			b.binWeights[i] = w
		}
		b.recomputeRanges()
		for i, want := range tc.want {
			if math.Abs(b.rangeEnds[i]-want) > 1e-6 {
				t.Errorf("range ends %v, want %v", b.rangeEnds, tc.want)
				break
			}
		}
	}
}
