package routing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// key returns a key in the range of a cache.
func key(b *Balancer, server int) string {
	for i := 0; ; i++ {
		k := fmt.Sprint("key", i)
		if b.ready[b.rangeOf(keyPoint(xxhash.Sum64String(k)|1))] == server {
			return k
		}
	}
}

// The servers of a request's attempts, given their results. The range of server 0 contains the key. The origin has the
// index after those of the caches.
func TestServerSelection(t *testing.T) {
	noChange, slowOrigin := func(*Balancer) {}, func(b *Balancer) { b.servers[1].meanLatency = 200 * Millisecond }
	originLimit := func(limit float64) func(b *Balancer) { // sets the origin's limit at one of 600 nodes
		return func(b *Balancer) { b.nodeCount, b.servers[1].concurrencyLimit = 600, limit }
	}
	fullOrigin := []int{0, 0, minClusterFetches / 2}                      // attempts in flight that fill the origin, behind two caches
	noRetryBudget := func(b *Balancer) { b.servers[1].retryBudget = 0.5 } // less than one retry
	for _, tc := range []struct {
		name          string
		caches, class int
		inFlight      []int // attempts in flight at each server
		prepare       func(b *Balancer)
		results       []Result
		latency       Time
		want          []int
	}{
		{"full cache, full origin", 4, 0, []int{5, 0, 0, 0, minClusterFetches / 2}, noChange, nil, 0, []int{1}},
		{"full cache, origin with capacity", 4, 0, []int{5}, noChange, nil, 0, []int{4}},
		{"all caches full: no fall-through, which would scatter the keys", 4, 0, []int{3, 3, 3, 3, minClusterFetches / 2}, noChange, nil, 0, nil},
		{"miss", 2, 0, nil, noChange, []Result{NotFound}, 10, []int{0, 2}},
		{"retry within the retry budget", 2, 0, fullOrigin, noChange, []Result{ServerError}, 10, []int{0, 1}},
		{"retry beyond the retry budget", 2, 0, fullOrigin, noRetryBudget, []Result{ServerError}, 10, []int{0}},
		// The next caches are likely to be as full and without the value, so the origin is preferred.
		{"rejected by the cache, origin with capacity", 2, 0, nil, noChange, []Result{Rejected}, 10, []int{0, 2}},
		{"rejected by the cache, full origin", 2, 0, fullOrigin, noChange, []Result{Rejected}, 10, []int{0, 1}},
		// The next caches are likely to accept no connection either, so the origin is preferred.
		{"no connection to the cache, origin with capacity", 2, 0, nil, noChange, []Result{ConnectFailed}, 10, []int{0, 2}},
		{"no connection to the cache, full origin", 2, 0, fullOrigin, noChange, []Result{ConnectFailed}, 10, []int{0, 1}},
		{"miss, full origin", 1, 0, []int{0, minClusterFetches / 2}, noChange, []Result{NotFound}, 10, []int{0}},
		// With hundreds of nodes that rarely fetch, each may have several fetches in flight while the origin is quick.
		// Once it is slow, a fetch is only sent with a low probability.
		{"miss, quick origin, 2 fetches in flight", 1, 0, []int{0, 2}, originLimit(3), []Result{NotFound}, 10, []int{0, 1}},
		{"miss, less time left than the origin's latency", 1, 0, nil, slowOrigin, []Result{NotFound}, 10, []int{0}},
		{"miss, slow origin", 1, 0, nil, originLimit(0), []Result{NotFound}, 10, []int{0}},
		{"idempotent by key, within half of its window", 2, 1, nil, noChange, []Result{ServerError}, 1000, []int{0, 2}},
		{"idempotent by key, after half of its window", 2, 1, nil, noChange, []Result{ServerError}, 2500, []int{0}},
		{"unsafe, may have run", 2, 2, nil, noChange, []Result{ServerError}, 10, []int{0}},
	} {
		f := newFakeHost(1, tc.caches)
		k := key(f.b, 0)
		for i, n := range tc.inFlight {
			f.b.servers[i].inFlight = n
		}
		tc.prepare(f.b)
		id, client := f.request(tc.class, k, false, f.now+5000)
		for n, result := range tc.results {
			f.now += tc.latency
			f.attemptDone(id, n, result)
		}
		var got []int
		for _, a := range client.attempts {
			got = append(got, a.server)
		}
		if !slices.Equal(got, tc.want) || len(got) == len(tc.results) && !client.ended {
			t.Errorf("%s: attempts at %v, want %v; ended %v", tc.name, got, tc.want, client.ended)
		}
	}
}
