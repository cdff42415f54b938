package routing

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/quick"

	"github.com/cespare/xxhash/v2"
)

// plainMean returns the mean number of attempts in flight, added up cache by cache in floating point, and the sum.
func plainMean(b *Balancer) (mean float64, sum int) {
	for _, i := range b.ready {
		mean += float64(b.servers[i].inFlight) / float64(len(b.ready))
		sum += b.servers[i].inFlight
	}
	return mean, sum
}

// compareMeans checks that both comparisons of a cache with meanInFlight have the same result as with plainMean. It
// describes a difference in diff, and reports whether either comparison is a tie.
func compareMeans(b *Balancer, s *serverState, wantMean float64, sum int) (tie bool, diff string) {
	n, inFlight, mean := len(b.ready), s.inFlight, b.meanInFlight()
	if got, want := float64(inFlight) <= congestionFactor*mean, float64(inFlight) <= congestionFactor*wantMean; got != want {
		diff = fmt.Sprintf("congested: %v, want %v, for %d of %d in flight at %d caches", got, want, inFlight, sum, n)
	}
	if got, want := float64(inFlight) <= busyFactor*mean+1, float64(inFlight) <= busyFactor*wantMean+1; got != want {
		diff = fmt.Sprintf("busy: %v, want %v, for %d of %d in flight at %d caches", got, want, inFlight, sum, n)
	}
	return 2*inFlight*n == 3*sum || (inFlight-1)*n == 2*sum, diff
}

// Guards against an incremental count of attempts in flight that differs from the sum over the ready caches. Random
// runs include restarts and reused indices with attempts in flight, caches that drain, disappear and return, streamed
// bodies, and an origin, whose attempts do not count. After every step the count must equal the sum, and comparisons
// with the mean must have the same result as with plainMean.
func TestInFlightCountMatchesSum(t *testing.T) {
	ties, resets, uncounted, maxInFlight := 0, 0, 0, 0
	run := func(seed int64) bool {
		f := newFakeHost(seed, 1+int(uint64(seed)%12))
		f.streamReads = true
		for n := 0; n < 600; n++ {
			if f.rnd.Intn(60) == 0 { // the index is reused for another server, in any state
				endpoint := &f.endpoints[f.rnd.Intn(len(f.endpoints)-1)]
				endpoint.ID, endpoint.State = fmt.Sprint("12.", f.rnd.Int()), State(f.rnd.Intn(3))
				if previous := f.b.servers[endpoint.Server]; previous != nil && previous.inFlight > 0 {
					resets++
				}
				f.b.UpdateEndpoints(f.now, Incremental, []Endpoint{*endpoint})
			}
			for _, s := range f.b.servers {
				if s != nil && seed%2 == 0 { // allows more than two attempts in flight at each cache
					s.concurrencyLimit, s.answers, s.ejectionTime = maxConcurrencyLimit, 400, 0
				}
			}
			if f.step(); len(f.b.ready) == 0 {
				continue
			}
			mean, sum := plainMean(f.b)
			if f.b.inFlight != sum {
				t.Errorf("seed %d, step %d: count of %d in flight, want %d, the sum over the ready caches", seed, n, f.b.inFlight, sum)
				return false
			}
			for _, s := range f.b.servers {
				if s != nil && s.inFlight > 0 && (s.State != Ready || s.isOrigin) {
					uncounted++
				}
			}
			for _, i := range f.b.ready {
				tie, diff := compareMeans(f.b, f.b.servers[i], mean, sum)
				if diff != "" {
					t.Errorf("seed %d, step %d: %s", seed, n, diff)
					return false
				}
				if tie && sum > 0 {
					ties++
				}
				maxInFlight = max(maxInFlight, f.b.servers[i].inFlight)
			}
		}
		if len(f.violations) > 0 {
			t.Errorf("seed %d: %v", seed, f.violations)
		}
		return len(f.violations) == 0
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 200, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
	t.Logf("%d ties, %d reused indices with attempts in flight, %d servers that were not ready caches but had attempts in flight, at most %d attempts at one cache", ties, resets, uncounted, maxInFlight)
	if ties < 1000 || resets < 100 || uncounted < 1000 || maxInFlight < 6 {
		t.Error("the runs don't reach enough of the cases that they are to cover")
	}
}

// At any number of caches, and with more attempts in flight than a node ever has, comparisons with meanInFlight have
// the same result as with plainMean. The rounding error of the sum is below its number of terms times 2^-53 of it. Unless
// there is a tie, the compared values differ by at least 1/2n.
func TestMeanInFlightComparesLikePlainSum(t *testing.T) {
	ties, roundedUp := 0, 0
	run := func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		n := []int{1, 2, 3, 5, 7, 10, 49, 70, 250, 999, 5700}[rnd.Intn(11)]
		b, scale := &Balancer{}, 1+rnd.Intn(4)
		for i := range n {
			b.servers = append(b.servers, &serverState{inFlight: rnd.Intn(1 + rnd.Intn(1+scale*rnd.Intn(100)))})
			b.ready = append(b.ready, i)
			b.inFlight += b.servers[i].inFlight
		}
		s := b.servers[rnd.Intn(n)]
		if rnd.Intn(2) == 0 { // near a tie: the total in flight is set to make one, or one attempt more or less
			x := rnd.Intn(60)
			target := []int{2 * x * n / 3, (x - 1) * n / 2}[rnd.Intn(2)] + rnd.Intn(3) - 1
			b.inFlight, s.inFlight = b.inFlight+x-s.inFlight, x
			for _, other := range b.servers {
				if other != s {
					delta := max(-other.inFlight, target-b.inFlight)
					other.inFlight, b.inFlight = other.inFlight+delta, b.inFlight+delta
				}
			}
		}
		mean, sum := plainMean(b)
		tie, diff := compareMeans(b, s, mean, sum)
		if diff != "" || sum != b.inFlight {
			t.Errorf("seed %d: %s", seed, diff)
		}
		if tie {
			ties++
			if x := s.inFlight; 2*x*n == 3*sum && float64(x) > congestionFactor*mean || (x-1)*n == 2*sum && float64(x) > busyFactor*mean+1 {
				roundedUp++
			}
		}
		return diff == ""
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 5000, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
	t.Logf("%d ties, %d of them decided as above the mean due to rounding", ties, roundedUp)
	if ties < 200 || roundedUp < 10 {
		t.Error("the runs reach too few ties")
	}
}

// A request reads the state only of the caches that it may fall through, so that its cost does not grow with the
// number of caches. The test removes all other caches, which would panic if they were read. It covers nodes with and
// without attempts in flight.
func TestRequestReadsOnlyReachableCaches(*testing.T) {
	for _, caches := range []int{70, 5700} {
		h := newBenchHost(caches, 300).warm(2000)
		for n := range 200 {
			for n == 100 && len(h.inFlight) > 0 {
				h.answer()
			}
			key := h.key()
			first := rangeOfKey(h.b, key)
			h.now += Millisecond
			all, reachable := h.b.servers, make([]*serverState, len(h.b.servers))
			for step := range maxFallThroughs + 1 {
				i := h.b.ready[(first+step)%caches]
				reachable[i] = all[i]
			}
			reachable[caches] = all[caches] // the origin
			if h.b.decayedAt+decayInterval <= h.now {
				h.b.advanceClock(h.now) // the periodic work of each second reads all caches
			}
			h.b.servers = reachable
			id := h.nextID + n
			inFlight := len(h.inFlight)
			h.b.StartRequest(h.now, id, Request{Tenant: -1, Key: key, Deadline: h.now + 750*Millisecond})
			if h.b.servers = all; len(h.inFlight) > inFlight {
				h.b.AttemptDone(h.now, id, 0, Served, true)
				h.inFlight = h.inFlight[:inFlight]
			} else {
				h.freeIDs = h.freeIDs[:len(h.freeIDs)-1]
			}
		}
	}
}

// rangeOfKey returns the index in ready of the cache whose range holds a key.
func rangeOfKey(b *Balancer, key string) int {
	return b.rangeOf(keyPoint(xxhash.Sum64String(key) | 1))
}
