package routing

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/quick"

	"github.com/cespare/xxhash/v2"
)

// plainMean is the mean in flight, added up cache by cache in floating point, and the sum.
func plainMean(b *Balancer) (mean float64, sum int) {
	for _, i := range b.ready {
		mean += float64(b.servers[i].inFlight) / float64(len(b.ready))
		sum += b.servers[i].inFlight
	}
	return mean, sum
}

// compareMeans checks that both comparisons of a cache with the mean come out as with the plain sum, and reports
// whether either is a tie.
func compareMeans(b *Balancer, s *serverState, plain float64, sum int) (tie bool, fault string) {
	n, x, mean := len(b.ready), s.inFlight, b.meanInFlight()
	if got, want := float64(x) <= congestionFactor*mean, float64(x) <= congestionFactor*plain; got != want {
		fault = fmt.Sprintf("congested: %v, want %v, for %d of %d in flight at %d caches", got, want, x, sum, n)
	}
	if got, want := float64(x) <= busyFactor*mean+1, float64(x) <= busyFactor*plain+1; got != want {
		fault = fmt.Sprintf("busy: %v, want %v, for %d of %d in flight at %d caches", got, want, x, sum, n)
	}
	return 2*x*n == 3*sum || (x-1)*n == 2*sum, fault
}

// After every step of random runs the count of attempts in flight is the sum over all ready caches, and caches are
// selected as by the plain sum: through restarts and reused indices with attempts in flight, caches that drain, go
// and come back, streamed bodies, and the origin, whose attempts do not count.
func TestInFlightCountIsThePlainSum(t *testing.T) {
	ties, carried, aside, most := 0, 0, 0, 0
	run := func(seed int64) bool {
		f := newFakeHost(seed, 1+int(uint64(seed)%12))
		f.streamReads = true
		for n := 0; n < 600; n++ {
			if f.rnd.Intn(60) == 0 { // another server under an index, in any state
				x := &f.endpoints[f.rnd.Intn(len(f.endpoints)-1)]
				x.ID, x.State = fmt.Sprint("12.", f.rnd.Int()), State(f.rnd.Intn(3))
				if was := f.b.servers[x.Server]; was != nil && was.inFlight > 0 {
					carried++
				}
				f.b.UpdateEndpoints(f.now, Incremental, []Endpoint{*x})
			}
			for _, s := range f.b.servers {
				if s != nil && seed%2 == 0 { // a limit of more than two at each
					s.concurrencyLimit, s.answers, s.ejectionTime = maxConcurrencyLimit, 400, 0
				}
			}
			if f.step(); len(f.b.ready) == 0 {
				continue
			}
			mean, sum := plainMean(f.b)
			if f.b.inFlight != sum {
				t.Errorf("seed %d, step %d: %d in flight are counted, %d are at ready caches", seed, n, f.b.inFlight, sum)
				return false
			}
			for _, s := range f.b.servers {
				if s != nil && s.inFlight > 0 && (s.State != Ready || s.isOrigin) {
					aside++
				}
			}
			for _, i := range f.b.ready {
				tie, fault := compareMeans(f.b, f.b.servers[i], mean, sum)
				if fault != "" {
					t.Errorf("seed %d, step %d: %s", seed, n, fault)
					return false
				}
				if tie && sum > 0 {
					ties++
				}
				most = max(most, f.b.servers[i].inFlight)
			}
		}
		if len(f.faults) > 0 {
			t.Errorf("seed %d: %v", seed, f.faults)
		}
		return len(f.faults) == 0
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 200, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
	t.Logf("%d ties, %d restarts with attempts in flight, %d sights of attempts at what is not ready, %d at one cache at the most", ties, carried, aside, most)
	if ties < 1000 || carried < 100 || aside < 1000 || most < 6 {
		t.Error("the runs don't reach what they are for")
	}
}

// At any size, and with more in flight than a node ever has, the mean and the plain sum decide alike. The sum's rounding is
// below its terms' number times 2^-53 of it, and beside a tie there is at least 1/2n.
func TestTheMeanDecidesAsThePlainSum(t *testing.T) {
	ties, wrong := 0, 0
	run := func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		n := []int{1, 2, 3, 5, 7, 10, 49, 70, 250, 999, 5700}[rnd.Intn(11)]
		b, few := &Balancer{}, 1+rnd.Intn(4)
		for i := range n {
			b.servers = append(b.servers, &serverState{inFlight: rnd.Intn(1 + rnd.Intn(1+few*rnd.Intn(100)))})
			b.ready = append(b.ready, i)
			b.inFlight += b.servers[i].inFlight
		}
		s := b.servers[rnd.Intn(n)]
		if rnd.Intn(2) == 0 { // as near a tie as possible: one cache takes what makes it, or all but one attempt
			x := rnd.Intn(60)
			want := []int{2 * x * n / 3, (x - 1) * n / 2}[rnd.Intn(2)] + rnd.Intn(3) - 1
			b.inFlight, s.inFlight = b.inFlight+x-s.inFlight, x
			for _, o := range b.servers {
				if o != s {
					give := max(-o.inFlight, want-b.inFlight)
					o.inFlight, b.inFlight = o.inFlight+give, b.inFlight+give
				}
			}
		}
		mean, sum := plainMean(b)
		tie, fault := compareMeans(b, s, mean, sum)
		if fault != "" || sum != b.inFlight {
			t.Errorf("seed %d: %s", seed, fault)
		}
		if tie {
			ties++
			if x := s.inFlight; 2*x*n == 3*sum && float64(x) > congestionFactor*mean || (x-1)*n == 2*sum && float64(x) > busyFactor*mean+1 {
				wrong++
			}
		}
		return fault == ""
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 5000, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
	t.Logf("%d ties, of which the plain sum's rounding takes %d for more", ties, wrong)
	if ties < 200 || wrong < 10 {
		t.Error("hardly any ties were met")
	}
}

// A request reads the state of the caches that it may fall through, and of no other: it gets by with the others
// taken away, both with attempts in flight and without.
func TestRequestReadsNoOtherCaches(*testing.T) {
	for _, caches := range []int{70, 5700} {
		q := newBenchHost(caches, 300).warm(2000)
		for n := range 200 {
			for n == 100 && len(q.inFlight) > 0 {
				q.answer()
			}
			key := q.key()
			at := rangeOfKey(q.b, key)
			q.now += Millisecond
			all, near := q.b.servers, make([]*serverState, len(q.b.servers))
			for step := range maxFallThroughs + 1 {
				i := q.b.ready[(at+step)%caches]
				near[i] = all[i]
			}
			near[caches] = all[caches] // the origin
			if q.b.decayedAt+decayInterval <= q.now {
				q.b.advanceClock(q.now) // each second all are read
			}
			q.b.servers = near
			id := q.nextID + n
			out := len(q.inFlight)
			q.b.Request(q.now, id, Request{Tenant: -1, Key: key, Deadline: q.now + 750*Millisecond})
			if q.b.servers = all; len(q.inFlight) > out {
				q.b.AttemptDone(q.now, id, 0, Served, true)
				q.inFlight = q.inFlight[:out]
			} else {
				q.freeIDs = q.freeIDs[:len(q.freeIDs)-1]
			}
		}
	}
}

// rangeOfKey returns the index in ready of the cache whose range holds a key.
func rangeOfKey(b *Balancer, key string) int {
	return b.rangeOf(keyPoint(xxhash.Sum64String(key) | 1))
}
