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

// Sizes of the benchmarks: from the caches of one zone to those of a whole deployment, and the nodes that share them.
var (
	benchCaches = []int{70, 250, 1000, 5700}
	benchNodes  = []int{300, 19000}
)

const (
	benchRate     = 1160          // requests per second of a node at the peak load of a large deployment
	benchInFlight = 12            // requests in flight, each of which takes some ten milliseconds
	benchKeys     = 1_200_000_000 // objects, whose popularity follows Zipf's law
	benchSkew     = 1.1
)

// benchHost is a Host that answers the attempts in the order in which they were sent.
type benchHost struct {
	b        *Balancer
	now      Time
	fraction float64 // fraction of a tick by which now is rounded down
	zipf     *rand.Zipf
	inFlight []int // requests in flight, with one attempt each
	freeIDs  []int
	nextID   int
}

func (h *benchHost) Send(id, _ int, _ Time)        { h.inFlight = append(h.inFlight, id) }
func (h *benchHost) Reject(id int, _ Time)         { h.freeIDs = append(h.freeIDs, id) }
func (h *benchHost) Fail(id int)                   { h.freeIDs = append(h.freeIDs, id) }
func (h *benchHost) Subscribe()                    {}
func (h *benchHost) CloseIdleConnections(int, int) {}
func (h *benchHost) SetAlarm(Time, int)            {}

// key returns a random key.
func (h *benchHost) key() string { return fmt.Sprint("object/", h.zipf.Uint64()) }

// request starts a request after the mean time between two requests, and answers the oldest attempt if more than
// benchInFlight are in flight.
func (h *benchHost) request(key string) {
	gap := float64(1000*Millisecond)/benchRate + h.fraction
	h.now, h.fraction = h.now+Time(gap), gap-math.Floor(gap)
	id := h.nextID
	if n := len(h.freeIDs); n > 0 {
		id, h.freeIDs = h.freeIDs[n-1], h.freeIDs[:n-1]
	} else {
		h.nextID++
	}
	h.b.StartRequest(h.now, id, Request{Tenant: -1, Key: key, Deadline: h.now + 750*Millisecond})
	if len(h.inFlight) > benchInFlight {
		h.answer()
	}
}

// answer ends the oldest attempt in flight.
func (h *benchHost) answer() {
	id := h.inFlight[0]
	h.inFlight = slices.Delete(h.inFlight, 0, 1)
	h.b.AttemptDone(h.now, id, 0, Served, true)
	h.freeIDs = append(h.freeIDs, id)
}

// newBenchHost returns the host of one node with warm caches, whose IDs are in random order, and an origin.
func newBenchHost(caches, nodes int) *benchHost {
	rnd := rand.New(rand.NewSource(1))
	h := &benchHost{now: 100_000_000, zipf: rand.NewZipf(rnd, benchSkew, 1, benchKeys-1)}
	h.b = New(h, 1, h.now, modifiedConfig(func(c *Config) {
		c.Nodes, c.CacheAside, c.OriginModel, c.MaxAttempts = nodes, true, 1, 3
		c.Classes = []Class{{Idempotence: Safe, LatencyTarget: 200 * Millisecond}}
	}))
	var endpoints []Endpoint
	for i := range caches {
		endpoints = append(endpoints, Endpoint{Server: i, ID: fmt.Sprintf("c-%08x", rnd.Uint32())})
	}
	h.b.UpdateEndpoints(h.now, Full, append(endpoints, Endpoint{Server: caches, ID: "origin", Model: 1}))
	return h
}

// warm sends a number of requests and returns h.
func (h *benchHost) warm(requests int) *benchHost {
	for range requests {
		h.request(h.key())
	}
	return h
}

// runSizes runs a benchmark at each size.
func runSizes(b *testing.B, f func(b *testing.B, caches, nodes int)) {
	for _, nodes := range benchNodes {
		for _, caches := range benchCaches {
			b.Run(fmt.Sprintf("nodes=%d/caches=%d", nodes, caches), func(b *testing.B) { f(b, caches, nodes) })
		}
	}
}

// A request with its answer, including its share of the periodic work of every second or two.
func BenchmarkRequest(b *testing.B) {
	runSizes(b, func(b *testing.B, caches, nodes int) {
		h := newBenchHost(caches, nodes).warm(60_000)
		keys := make([]string, 1<<16)
		for i := range keys {
			keys[i] = h.key()
		}
		for i := 0; b.Loop(); i++ {
			h.request(keys[i%len(keys)])
		}
	})
}

// An incremental update of one endpoint, which starts to drain or becomes ready again.
func BenchmarkListChange(b *testing.B) {
	runSizes(b, func(b *testing.B, caches, nodes int) {
		h := newBenchHost(caches, nodes).warm(60_000)
		changed := []Endpoint{h.b.servers[caches/2].Endpoint}
		for i := 0; b.Loop(); i++ {
			changed[0].State = []State{Draining, Ready}[i%2]
			h.b.UpdateEndpoints(h.now, Incremental, changed)
		}
	})
}

// A full update of the endpoint list that changes nothing.
func BenchmarkFullList(b *testing.B) {
	runSizes(b, func(b *testing.B, caches, nodes int) {
		h := newBenchHost(caches, nodes).warm(60_000)
		var endpoints []Endpoint
		for _, s := range h.b.servers {
			endpoints = append(endpoints, s.Endpoint)
		}
		for b.Loop() {
			h.b.UpdateEndpoints(h.now, Full, endpoints)
		}
	})
}

// The computation of the ranges, which runs every two seconds.
func BenchmarkRecomputeRanges(b *testing.B) {
	runSizes(b, func(b *testing.B, caches, nodes int) {
		h := newBenchHost(caches, nodes).warm(60_000)
		for b.Loop() {
			h.b.recomputeRanges()
		}
	})
}

// The work of each second: comparing the demand with the histogram and halving the decaying counts.
func BenchmarkPeriodicWork(b *testing.B) {
	runSizes(b, func(b *testing.B, caches, nodes int) {
		h := newBenchHost(caches, nodes).warm(60_000)
		for b.Loop() {
			h.now += 1000 * Millisecond
			h.b.advanceClock(h.now)
		}
	})
}

// The heap size of a node's state after 60,000 requests, and the balance of its ranges. 60,000 more requests are
// counted by the cache whose range contains their key. Reported are the requests of the busiest cache, of the 99th
// percentile and of the median as multiples of the mean, the number of caches without a request, and the widest range
// as a multiple of the mean width. The busiest cache has the most popular key, which gets a tenth of all requests.
func BenchmarkState(b *testing.B) {
	runSizes(b, func(b *testing.B, caches, nodes int) {
		var stateBytes, busiest, p99, median, idleCaches, widest float64
		for b.Loop() {
			heapBefore := heapBytes()
			h := newBenchHost(caches, nodes).warm(60_000)
			stateBytes = heapBytes() - heapBefore
			requestCounts := make([]float64, caches)
			for range 60_000 {
				i := sort.SearchFloat64s(h.b.rangeEnds, keyPoint(xxhash.Sum64String(h.key())|1))
				requestCounts[min(i, caches-1)]++
			}
			slices.Sort(requestCounts)
			mean := 60_000 / float64(caches)
			busiest, p99, median = requestCounts[caches-1]/mean, requestCounts[caches*99/100]/mean, requestCounts[caches/2]/mean
			rangeStart := 0.0
			for widest = 0; len(h.b.rangeEnds) > 0; h.b.rangeEnds = h.b.rangeEnds[1:] {
				widest, rangeStart = max(widest, (h.b.rangeEnds[0]-rangeStart)*float64(caches)/binCount), h.b.rangeEnds[0]
			}
			idleCaches = float64(sort.SearchFloat64s(requestCounts, 0.5))
			runtime.KeepAlive(h)
		}
		b.ReportMetric(stateBytes, "B/state")
		b.ReportMetric(busiest, "busiest/mean")
		b.ReportMetric(p99, "p99/mean")
		b.ReportMetric(median, "p50/mean")
		b.ReportMetric(widest, "widest/mean")
		b.ReportMetric(idleCaches, "without")
	})
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
