package routing

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/quick"
)

// Guards against decisions that break a rule in an unforeseen order of events. Random runs play every result,
// restarts, drains, failed polls, added caches, clients that disconnect and stale alarms in any order, at one of two
// nodes and at one of a thousand. The fake host checks the rules at every call.
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
		for i, client := range f.requests {
			if !client.ended && len(f.violations) == 0 {
				f.violationf("request %d has no final answer", i)
			}
		}
		for i, s := range f.b.servers {
			if s != nil && s.inFlight != 0 && len(f.violations) == 0 {
				f.violationf("server %d: %d attempts in flight after all have ended, want 0", i, s.inFlight)
			}
		}
		t.Log(seed, f.violations)
		return len(f.violations) == 0
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 300, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// Guards against an overload by the total of 300 nodes, each of which may always send a minimum. One node in 50
// carries far more traffic than the others. One cache restarts, and later the origin stops answering. The total must
// stay within the limit of a cache in slow start, and within maxUnmeasuredFetches per node at the stopped origin.
func TestClusterLoadBoundedAtSlowStartAndStoppedOrigin(t *testing.T) {
	const nodes, restartStep, stopStep, steps, window = 300, 30, 90, 120, 15 // a step is a tenth of a second
	var hosts [nodes]*fakeHost
	for i := range hosts {
		hosts[i] = newFakeHost(int64(i), 4)
		hosts[i].b.nodeCount, hosts[i].b.initialLimit = nodes, 1
	}
	rnd, sent, fetchesInFlight := rand.New(rand.NewSource(1)), [5][steps + 1]float64{}, 0 // attempts at each server up to a step
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
				id, client := f.request(0, fmt.Sprint("k", rnd.Intn(500)), false, f.now+80000)
				for n := 0; n < len(client.attempts); n++ {
					server := client.attempts[n].server
					if sent[server][step+1]++; server < 4 || step < stopStep {
						f.attemptDone(id, n, []Result{Served, NotFound}[rnd.Intn(2)*min(1, 4-server)])
					} else {
						fetchesInFlight++
					}
				}
			}
		}
	}
	maxAttempts := 4 * 0.2 * sent[1][restartStep] / restartStep * window // overload factor x slow-start share x the measured rate of a warm cache x window
	for start := restartStep; start+window <= steps; start++ {
		if got := sent[0][start+window] - sent[0][start]; got > maxAttempts {
			t.Errorf("window at step %d: %g attempts at the cache in slow start, want at most %g", start, got, maxAttempts)
		}
	}
	if sent[0][steps] == sent[0][steps-window] || fetchesInFlight > maxUnmeasuredFetches*nodes {
		t.Errorf("%g attempts at the restarted cache in the last window, want more than 0; %d fetches in flight at the stopped origin, want at most %g",
			sent[0][steps]-sent[0][steps-window], fetchesInFlight, maxUnmeasuredFetches*nodes)
	}
}
