package routing

import (
	"math/rand"
	"testing"
	"testing/quick"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
)

// Random runs as in TestRulesHoldInRandomRuns, while quotas come, shrink and end: no rule breaks, and what is bounded
// stays within its quota: in any window at most the largest rate times the window and the largest burst, and never
// more at a time.
func TestQuotasBoundWhatIsDone(t *testing.T) {
	run := func(seed int64) bool {
		f := newFakeHost(seed, 1+int(uint64(seed)%7))
		of := []Limit{OriginConcurrency, CacheConcurrency, DiscoveryRate}[uint64(seed)%3]
		rnd := rand.New(rand.NewSource(seed))
		const rate, limit = 4.0, 3.0
		excess, last, seen := 0.0, f.now, 0
		part := func() {
			n := float64(rnd.Intn(int(limit) + 1))
			f.b.SetQuota(f.now, of, 0, allowance.Quota{Concurrency: of == OriginConcurrency || of == CacheConcurrency, Rate: rate * n / limit, Burst: n,
				Until: int64(f.now + Time(rnd.Intn(3000))*Millisecond), ThenRate: rate * min(1, n) / limit, ThenBurst: min(1, n)})
		}
		part()
		for n := 0; n < 800 && len(f.faults) == 0; n++ {
			if f.step(); n%20 == 0 {
				part()
			}
			out := map[int]int{}
			for _, c := range f.requests {
				for _, s := range c.attempts { // a restart closes the connections of before
					if x := f.endpoints[s.server]; !s.done && (x.Model == 1 || s.sentAt >= x.StartedAt) {
						out[s.server]++
					}
				}
			}
			switch of {
			case OriginConcurrency, CacheConcurrency:
				for server, n := range out {
					if (f.endpoints[server].Model == 1) == (of == OriginConcurrency) && n > int(limit) {
						f.faultf("%d in flight at server %d", n, server)
					}
				}
			case DiscoveryRate:
				excess = max(0, excess-rate*seconds(f.now-last)) + float64(f.polls-seen)
				if last, seen = f.now, f.polls; excess > limit+1e-6 {
					f.faultf("%.2f polls beyond the rate in a window", excess)
				}
			}
		}
		t.Log(seed, of, f.faults)
		return len(f.faults) == 0
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 200, Rand: rand.New(rand.NewSource(2))}); err != nil {
		t.Error(err)
	}
}

// A request whose quota is exhausted is rejected at once, with a retry-after that differs from one to the next; once
// a quota has expired its fallback holds.
func TestExhaustedQuota(t *testing.T) {
	f := newFakeHost(3, 2)
	f.advance(2000 * Millisecond)
	f.b.SetQuota(f.now, OriginRate, 0, allowance.Quota{Rate: 100, Burst: 2, Until: int64(f.now + 500*Millisecond), ThenRate: 1, ThenBurst: 1})
	write := func() (attempt bool, after Time) {
		_, c := f.request(2, "k", true, f.now+700*Millisecond)
		return len(c.attempts) > 0, c.retryAfter
	}
	if attempt, after := write(); attempt || after == 0 {
		t.Error("a new quota has nothing saved up: a request that needs it is rejected at once")
	}
	f.now += 100 * Millisecond
	first, _ := write()
	second, _ := write()
	third, one := write()
	_, other := write()
	if !first || !second || third {
		t.Errorf("two were saved up: attempts %v %v %v", first, second, third)
	}
	if one == other || one == 0 || other == 0 {
		t.Errorf("retry-after %d and %d: clients come back together", one, other)
	}
	f.now += 1500 * Millisecond
	first, _ = write()
	if second, _ = write(); !first || second {
		t.Errorf("after its end one a second: attempts %v %v", first, second)
	}
	if u := f.b.SetQuota(f.now, OriginRate, 0, allowance.Quota{}); u.Wanted != 7 || u.Done != 3 {
		t.Errorf("usage of %v wanted, %v done", u.Wanted, u.Done)
	}
}
