package logic

import (
	"math"
	"testing"
)

// The lazy fade must give what the plain definition gives: every bin fades, the lookup's own gains alpha.
func TestFade(t *testing.T) {
	b := New(&fake{}, 1, 0, map[string]any{})
	b.alpha = 0.2
	plain := make([]float64, bins)
	for i := range plain {
		plain[i] = 1.0 / bins
	}
	for n := range 1000 {
		at := n * 7 % 50
		for i := range plain {
			plain[i] *= 1 - b.alpha
		}
		plain[at] += b.alpha
		b.learn(float64(at) + 0.5)
	}
	for i, want := range plain {
		if got := b.weight[i] * b.fade; math.Abs(got-want) > 1e-9 {
			t.Fatalf("bin %d: %g, want %g", i, got, want)
		}
	}
}
