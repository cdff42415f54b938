package routing

import (
	"math/rand"
	"testing"
	"testing/quick"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
)

// Guards against attempts and polls beyond a quota. Random runs as in TestRandomEventsBreakNoRules continue while quotas
// are granted, shrink and expire. No rule may be broken. Polls must stay within the highest rate times the window plus
// the largest burst in any window, and attempts in flight within the largest number at any time.
func TestQuotasBoundAttemptsAndPolls(t *testing.T) {
	run := func(seed int64) bool {
		f := newFakeHost(seed, 1+int(uint64(seed)%7))
		quotaLimit := []Limit{OriginConcurrency, CacheConcurrency, DiscoveryRate}[uint64(seed)%3]
		rnd := rand.New(rand.NewSource(seed))
		const rate, maxUnits = 4.0, 3.0
		excess, lastStep, lastPolls := 0.0, f.now, 0
		changeQuota := func() {
			n := float64(rnd.Intn(int(maxUnits) + 1))
			f.b.SetQuota(f.now, quotaLimit, 0, quotalimit.Quota{Concurrency: quotaLimit == OriginConcurrency || quotaLimit == CacheConcurrency, Rate: rate * n / maxUnits, Burst: n,
				End: int64(f.now + Time(rnd.Intn(3000))*Millisecond), RateAfterEnd: rate * min(1, n) / maxUnits, BurstAfterEnd: min(1, n)})
		}
		changeQuota()
		for n := 0; n < 800 && len(f.violations) == 0; n++ {
			if f.step(); n%20 == 0 {
				changeQuota()
			}
			inFlight := map[int]int{}
			for _, client := range f.requests {
				for _, a := range client.attempts { // a restart of a cache closes its connections, which ends earlier attempts
					if endpoint := f.endpoints[a.server]; !a.done && (endpoint.Model == 1 || a.sentAt >= endpoint.StartedAt) {
						inFlight[a.server]++
					}
				}
			}
			switch quotaLimit {
			case OriginConcurrency, CacheConcurrency:
				for server, n := range inFlight {
					if (f.endpoints[server].Model == 1) == (quotaLimit == OriginConcurrency) && n > int(maxUnits) {
						f.violationf("%d attempts in flight at server %d, want at most %d", n, server, int(maxUnits))
					}
				}
			case DiscoveryRate:
				excess = max(0, excess-rate*seconds(f.now-lastStep)) + float64(f.polls-lastPolls)
				if lastStep, lastPolls = f.now, f.polls; excess > maxUnits+1e-6 {
					f.violationf("%.2f polls in a window beyond its rate, want at most %.0f", excess, maxUnits)
				}
			}
		}
		t.Log(seed, quotaLimit, f.violations)
		return len(f.violations) == 0
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 200, Rand: rand.New(rand.NewSource(2))}); err != nil {
		t.Error(err)
	}
}

// A request whose quota is exhausted is rejected immediately, with a Retry-After that differs between requests. After a
// quota has expired, its fallback rate applies.
func TestExhaustedQuotaRejects(t *testing.T) {
	f := newFakeHost(3, 2)
	f.advance(2000 * Millisecond)
	f.b.SetQuota(f.now, OriginRate, 0, quotalimit.Quota{Rate: 100, Burst: 2, End: int64(f.now + 500*Millisecond), RateAfterEnd: 1, BurstAfterEnd: 1})
	write := func() (sent bool, retryAfter Time) {
		_, client := f.request(2, "k", true, f.now+700*Millisecond)
		return len(client.attempts) > 0, client.retryAfter
	}
	if sent, retryAfter := write(); sent || retryAfter == 0 {
		t.Errorf("right after the grant: sent %v, retry-after %d, want an immediate rejection with a retry-after", sent, retryAfter)
	}
	f.now += 100 * Millisecond
	first, _ := write()
	second, _ := write()
	third, thirdRetryAfter := write()
	_, fourthRetryAfter := write()
	if !first || !second || third {
		t.Errorf("attempts %v %v %v with a burst of 2, want two", first, second, third)
	}
	if thirdRetryAfter == fourthRetryAfter || thirdRetryAfter == 0 || fourthRetryAfter == 0 {
		t.Errorf("retry-after %d and %d, want two different ones above 0", thirdRetryAfter, fourthRetryAfter)
	}
	f.now += 1500 * Millisecond
	first, _ = write()
	if second, _ = write(); !first || second {
		t.Errorf("attempts %v %v after the quota has expired, want one", first, second)
	}
	if usage := f.b.SetQuota(f.now, OriginRate, 0, quotalimit.Quota{}); usage.Requested != 7 || usage.Started != 3 {
		t.Errorf("usage: %v requested, %v started, want 7 and 3", usage.Requested, usage.Started)
	}
}
