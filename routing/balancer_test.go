package routing

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/quick"
)

// Random runs with every result, restarts, drains, failed polls, growing fleets, clients that leave, stale alarms
// and events in any order, as one of two nodes and of a thousand. The fake host checks the rules.
func TestRandomEventsBreakNoRules(t *testing.T) {
	run := func(seed int64) bool {
		f := newFakeHost(seed, 1+int(uint64(seed)%7))
		if seed%3 == 0 {
			f.b.nodeCount, f.b.initialLimit = 1000, 1
		}
		for n := 0; n < 800 && len(f.violations) == 0; n++ {
			f.step()
		}
		for n := 0; n < 100 && len(f.violations) == 0; n++ {
			f.advance(10 * Millisecond)
		}
		for i, c := range f.requests {
			if !c.ended && len(f.violations) == 0 {
				f.violationf("request %d was lost", i)
			}
		}
		for i, s := range f.b.servers {
			if s != nil && s.inFlight != 0 && len(f.violations) == 0 {
				f.violationf("server %d counts %d in flight though nothing is", i, s.inFlight)
			}
		}
		t.Log(seed, f.violations)
		return len(f.violations) == 0
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 300, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// Three hundred nodes, some of which carry far more than the rest: their sum spares a cache in slow start and an
// origin that does not answer, whatever each node may always send.
func TestClusterLoadBoundedAtSlowStartAndStoppedOrigin(t *testing.T) {
	const nodes, restartStep, stopStep, steps, window = 300, 30, 90, 120, 15 // in tenths of a second
	var hosts [nodes]*fakeHost
	for i := range hosts {
		hosts[i] = newFakeHost(int64(i), 4)
		hosts[i].b.nodeCount, hosts[i].b.initialLimit = nodes, 1
	}
	rnd, sent, fetchesInFlight := rand.New(rand.NewSource(1)), [5][steps + 1]float64{}, 0 // attempts at each by then
	for step := range steps {
		for server := range sent {
			sent[server][step+1] = sent[server][step]
		}
		for i, f := range hosts {
			if f.now += 100 * Millisecond; step == restartStep {
				f.endpoints[0].StartedAt = f.now
				f.b.UpdateEndpoints(f.now, Incremental, f.endpoints[:1])
			}
			for range rnd.Intn(2) + 3*(i%50/49) {
				id, c := f.request(0, fmt.Sprint("k", rnd.Intn(500)), false, f.now+80000)
				for n := 0; n < len(c.attempts); n++ {
					server := c.attempts[n].server
					if sent[server][step+1]++; server < 4 || step < stopStep {
						f.attemptDone(id, n, []Result{Served, NotFound}[rnd.Intn(2)*min(1, 4-server)])
					} else {
						fetchesInFlight++
					}
				}
			}
		}
	}
	maxAttempts := 4 * 0.2 * sent[1][restartStep] / restartStep * window // factor x slow-start share x what a warm one is seen to bear
	for start := restartStep; start+window <= steps; start++ {
		if got := sent[0][start+window] - sent[0][start]; got > maxAttempts {
			t.Errorf("step %d: %g attempts in a window at the cache in slow start, at most %g", start, got, maxAttempts)
		}
	}
	if sent[0][steps] == sent[0][steps-window] || fetchesInFlight > maxUnmeasuredFetches*nodes {
		t.Errorf("slow start must end, and %d fetches are in flight at a stopped origin", fetchesInFlight)
	}
}
