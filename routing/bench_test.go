package routing

import (
	"fmt"
	"math"
	"math/rand"
	"runtime"
	"slices"
	"sort"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// Sizes at which the module is measured: a zone's caches and up to a whole deployment's, and nodes that share them.
var (
	benchCaches = []int{70, 250, 1000, 5700}
	benchNodes  = []int{300, 19000}
)

const (
	benchRate     = 1160          // requests per second of a node, at the peak of a large deployment
	benchInFlight = 12            // requests in flight: each takes some ten milliseconds
	benchKeys     = 1_200_000_000 // objects, with popularity by Zipf's law
	benchSkew     = 1.1
)

// benchHost is a Host that keeps the requests in flight; each attempt is answered, the oldest first.
type benchHost struct {
	b        *Balancer
	now      Time
	fraction float64 // of a tick, until the next request
	zipf     *rand.Zipf
	inFlight []int // requests, one attempt each
	freeIDs  []int
	nextID   int
}

func (q *benchHost) Send(id, _ int, _ Time) { q.inFlight = append(q.inFlight, id) }
func (q *benchHost) Reject(id int, _ Time)  { q.freeIDs = append(q.freeIDs, id) }
func (q *benchHost) Fail(id int)            { q.freeIDs = append(q.freeIDs, id) }
func (q *benchHost) Subscribe()             {}
func (q *benchHost) CloseIdle(int, int)     {}
func (q *benchHost) SetAlarm(Time, int)     {}

func (q *benchHost) key() string { return fmt.Sprint("object/", q.zipf.Uint64()) }

// request sends a request after the mean time between two, and the oldest answer.
func (q *benchHost) request(key string) {
	gap := float64(1000*Millisecond)/benchRate + q.fraction
	q.now, q.fraction = q.now+Time(gap), gap-math.Floor(gap)
	id := q.nextID
	if n := len(q.freeIDs); n > 0 {
		id, q.freeIDs = q.freeIDs[n-1], q.freeIDs[:n-1]
	} else {
		q.nextID++
	}
	q.b.Request(q.now, id, Request{Tenant: -1, Key: key, Deadline: q.now + 750*Millisecond})
	if len(q.inFlight) > benchInFlight {
		q.answer()
	}
}

// answer ends the oldest attempt.
func (q *benchHost) answer() {
	id := q.inFlight[0]
	q.inFlight = slices.Delete(q.inFlight, 0, 1)
	q.b.AttemptDone(q.now, id, 0, Served, true)
	q.freeIDs = append(q.freeIDs, id)
}

// newBenchHost returns the host of one node before warm caches, whose IDs lie in no order, and an origin.
func newBenchHost(caches, nodes int) *benchHost {
	rnd := rand.New(rand.NewSource(1))
	q := &benchHost{now: 100_000_000, zipf: rand.NewZipf(rnd, benchSkew, 1, benchKeys-1)}
	q.b = New(q, 1, q.now, configOf(func(c *Config) {
		c.Nodes, c.CacheAside, c.OriginModel, c.MaxAttempts = nodes, true, 1, 3
		c.Classes = []Class{{Idempotence: Safe, LatencyTarget: 200 * Millisecond}}
	}))
	var endpoints []Endpoint
	for i := range caches {
		endpoints = append(endpoints, Endpoint{Server: i, ID: fmt.Sprintf("c-%08x", rnd.Uint32())})
	}
	q.b.UpdateEndpoints(q.now, Full, append(endpoints, Endpoint{Server: caches, ID: "origin", Model: 1}))
	return q
}

func (q *benchHost) warm(requests int) *benchHost {
	for range requests {
		q.request(q.key())
	}
	return q
}

func eachSize(b *testing.B, f func(b *testing.B, caches, nodes int)) {
	for _, nodes := range benchNodes {
		for _, caches := range benchCaches {
			b.Run(fmt.Sprintf("nodes=%d/caches=%d", nodes, caches), func(b *testing.B) { f(b, caches, nodes) })
		}
	}
}

// A request with its answer, and its part of what is done every second or two.
func BenchmarkLookup(b *testing.B) {
	eachSize(b, func(b *testing.B, caches, nodes int) {
		q := newBenchHost(caches, nodes).warm(60_000)
		keys := make([]string, 1<<16)
		for i := range keys {
			keys[i] = q.key()
		}
		for i := 0; b.Loop(); i++ {
			q.request(keys[i%len(keys)])
		}
	})
}

// A change of one endpoint: a cache begins to drain, or is back.
func BenchmarkListChange(b *testing.B) {
	eachSize(b, func(b *testing.B, caches, nodes int) {
		q := newBenchHost(caches, nodes).warm(60_000)
		changed := []Endpoint{q.b.servers[caches/2].Endpoint}
		for i := 0; b.Loop(); i++ {
			changed[0].State = []State{Draining, Ready}[i%2]
			q.b.UpdateEndpoints(q.now, Incremental, changed)
		}
	})
}

// A full endpoint list without changes.
func BenchmarkListWhole(b *testing.B) {
	eachSize(b, func(b *testing.B, caches, nodes int) {
		q := newBenchHost(caches, nodes).warm(60_000)
		var endpoints []Endpoint
		for _, s := range q.b.servers {
			endpoints = append(endpoints, s.Endpoint)
		}
		for b.Loop() {
			q.b.UpdateEndpoints(q.now, Full, endpoints)
		}
	})
}

// Computation of the ranges, as every two seconds.
func BenchmarkRecut(b *testing.B) {
	eachSize(b, func(b *testing.B, caches, nodes int) {
		q := newBenchHost(caches, nodes).warm(60_000)
		for b.Loop() {
			q.b.recomputeRanges()
		}
	})
}

// What is done each second: the demand is compared with the histogram, and the counts are halved.
func BenchmarkSecond(b *testing.B) {
	eachSize(b, func(b *testing.B, caches, nodes int) {
		q := newBenchHost(caches, nodes).warm(60_000)
		for b.Loop() {
			q.now += 1000 * Millisecond
			q.b.advanceClock(q.now)
		}
	})
}

// The heap that a node's state takes after 60,000 requests, and how even its ranges are. 60,000 more requests are
// counted at their range's cache: reported are the busiest cache, the 99th percentile and the median as multiples
// of the mean, and the caches without any; and the widest range, the largest share of all keys, as a multiple of
// the mean. The busiest cache has the most popular key, a tenth of all requests.
func BenchmarkState(b *testing.B) {
	eachSize(b, func(b *testing.B, caches, nodes int) {
		var state, busiest, most, middle, none, widest float64
		for b.Loop() {
			before := heap()
			q := newBenchHost(caches, nodes).warm(60_000)
			state = heap() - before
			got := make([]float64, caches)
			for range 60_000 {
				at := sort.SearchFloat64s(q.b.rangeEnds, keyPoint(xxhash.Sum64String(q.key())|1))
				got[min(at, caches-1)]++
			}
			slices.Sort(got)
			mean := 60_000 / float64(caches)
			busiest, most, middle = got[caches-1]/mean, got[caches*99/100]/mean, got[caches/2]/mean
			from := 0.0
			for widest = 0; len(q.b.rangeEnds) > 0; q.b.rangeEnds = q.b.rangeEnds[1:] {
				widest, from = max(widest, (q.b.rangeEnds[0]-from)*float64(caches)/binCount), q.b.rangeEnds[0]
			}
			none = float64(sort.SearchFloat64s(got, 0.5))
			runtime.KeepAlive(q)
		}
		b.ReportMetric(state, "B/state")
		b.ReportMetric(busiest, "busiest/mean")
		b.ReportMetric(most, "p99/mean")
		b.ReportMetric(middle, "p50/mean")
		b.ReportMetric(widest, "widest/mean")
		b.ReportMetric(none, "without")
	})
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
