package routing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// key returns a key whose range is the cache's.
func key(b *Balancer, server int) string {
	for i := 0; ; i++ {
		k := fmt.Sprint("key", i)
		if b.ready[b.rangeOf(keyPoint(xxhash.Sum64String(k)|1))] == server {
			return k
		}
	}
}

// Where the attempts of a request go when they end with these results. Server 0 owns the key; the origin comes after
// the caches.
func TestServerSelection(t *testing.T) {
	noChange, slowOrigin := func(*Balancer) {}, func(b *Balancer) { b.servers[1].meanLatency = 200 * Millisecond }
	originLimit := func(limit float64) func(b *Balancer) { // of the origin, seen by one of many nodes
		return func(b *Balancer) { b.nodeCount, b.servers[1].concurrencyLimit = 600, limit }
	}
	fullOrigin := []int{0, 0, minFleetFetches / 2}                        // all that the origin has capacity for
	noRetryBudget := func(b *Balancer) { b.servers[1].retryBudget = 0.5 } // less than one retry
	for _, c := range []struct {
		name          string
		caches, class int
		inFlight      []int // attempts of the node at each server
		prepare       func(b *Balancer)
		results       []Result
		latency       Time
		want          []int
	}{
		{"a request falls through from a busy cache", 4, 0, []int{5, 0, 0, 0, minFleetFetches / 2}, noChange, nil, 0, []int{1}},
		{"or goes to the origin, where that has capacity", 4, 0, []int{5}, noChange, nil, 0, []int{4}},
		{"congestion ends the fall-through, lest it scatter the keys", 4, 0, []int{3, 3, 3, 3, minFleetFetches / 2}, noChange, nil, 0, nil},
		{"a miss goes to the origin", 2, 0, nil, noChange, []Result{NotFound}, 10, []int{0, 2}},
		{"a retry within the budget", 2, 0, fullOrigin, noChange, []Result{ServerError}, 10, []int{0, 1}},
		{"a retry beyond the budget", 2, 0, fullOrigin, noRetryBudget, []Result{ServerError}, 10, []int{0}},
		// full caches, the next ones as full and without the value, and an origin with capacity
		{"a full cache, and the origin has capacity", 2, 0, nil, noChange, []Result{Rejected}, 10, []int{0, 2}},
		{"a full cache, and it has none", 2, 0, fullOrigin, noChange, []Result{Rejected}, 10, []int{0, 1}},
		// caches that accept no connection, the next ones neither, and an origin with capacity
		{"no connection, and the origin has capacity", 2, 0, nil, noChange, []Result{ConnectFailed}, 10, []int{0, 2}},
		{"no connection, and it has none", 2, 0, fullOrigin, noChange, []Result{ConnectFailed}, 10, []int{0, 1}},
		{"the origin has no capacity", 1, 0, []int{0, minFleetFetches / 2}, noChange, []Result{NotFound}, 10, []int{0}},
		// Hundreds of nodes with a fetch now and then: each may have several in flight
		// while the origin is quick, and none for sure once it is slow.
		{"the origin's least limit", 1, 0, []int{0, 2}, originLimit(3), []Result{NotFound}, 10, []int{0, 1}},
		{"less time than the origin takes", 1, 0, nil, slowOrigin, []Result{NotFound}, 10, []int{0}},
		{"a slow origin", 1, 0, nil, originLimit(0), []Result{NotFound}, 10, []int{0}},
		{"idempotent by key, inside its window", 2, 1, nil, noChange, []Result{ServerError}, 1000, []int{0, 2}},
		{"idempotent by key, too late", 2, 1, nil, noChange, []Result{ServerError}, 2500, []int{0}},
		{"unsafe, may have run", 2, 2, nil, noChange, []Result{ServerError}, 10, []int{0}},
	} {
		f := newFakeHost(1, c.caches)
		k := key(f.b, 0)
		for i, n := range c.inFlight {
			f.b.servers[i].inFlight = n
		}
		c.prepare(f.b)
		id, client := f.request(c.class, k, false, f.now+5000)
		for n, result := range c.results {
			f.now += c.latency
			f.attemptDone(id, n, result)
		}
		var got []int
		for _, a := range client.attempts {
			got = append(got, a.server)
		}
		if !slices.Equal(got, c.want) || len(got) == len(c.results) && !client.ended {
			t.Errorf("%s: attempts at %v, want %v; ended %v", c.name, got, c.want, client.ended)
		}
	}
}
