package routing

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/quick"
)

// Random runs with every result, restarts, drains, failed polls, growing fleets, clients that leave, stale alarms
// and events in any order, as one of two nodes and of a thousand. The fake host checks the rules.
func TestRulesHoldInRandomRuns(t *testing.T) {
	run := func(seed int64) bool {
		f := newFakeHost(seed, 1+int(uint64(seed)%7))
		if seed%3 == 0 {
			f.b.nodeCount, f.b.initialLimit = 1000, 1
		}
		for n := 0; n < 800 && len(f.faults) == 0; n++ {
			f.step()
		}
		for n := 0; n < 100 && len(f.faults) == 0; n++ {
			f.advance(10 * Millisecond)
		}
		for i, c := range f.requests {
			if !c.ended && len(f.faults) == 0 {
				f.faultf("request %d was lost", i)
			}
		}
		for i, s := range f.b.servers {
			if s != nil && s.inFlight != 0 && len(f.faults) == 0 {
				f.faultf("server %d counts %d in flight though nothing is", i, s.inFlight)
			}
		}
		t.Log(seed, f.faults)
		return len(f.faults) == 0
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 300, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// Three hundred nodes, some of which carry far more than the rest: their sum spares a cache in slow start and an
// origin that does not answer, whatever each node may always send.
func TestSumOverAFleet(t *testing.T) {
	const nodes, restart, stop, steps, window = 300, 30, 90, 120, 15 // in tenths of a second
	var fleet [nodes]*fakeHost
	for i := range fleet {
		fleet[i] = newFakeHost(int64(i), 4)
		fleet[i].b.nodeCount, fleet[i].b.initialLimit = nodes, 1
	}
	rnd, sent, fetches := rand.New(rand.NewSource(1)), [5][steps + 1]float64{}, 0 // attempts at each by then
	for step := range steps {
		for s := range sent {
			sent[s][step+1] = sent[s][step]
		}
		for i, f := range fleet {
			if f.now += 100 * Millisecond; step == restart {
				f.endpoints[0].StartedAt = f.now
				f.b.UpdateEndpoints(f.now, Incremental, f.endpoints[:1])
			}
			for range rnd.Intn(2) + 3*(i%50/49) {
				id, c := f.request(0, fmt.Sprint("k", rnd.Intn(500)), false, f.now+80000)
				for n := 0; n < len(c.attempts); n++ {
					at := c.attempts[n].server
					if sent[at][step+1]++; at < 4 || step < stop {
						f.attemptDone(id, n, []Result{Served, NotFound}[rnd.Intn(2)*min(1, 4-at)])
					} else {
						fetches++
					}
				}
			}
		}
	}
	most := 4 * 0.2 * sent[1][restart] / restart * window // factor x slow-start share x what a warm one is seen to bear
	for at := restart; at+window <= steps; at++ {
		if got := sent[0][at+window] - sent[0][at]; got > most {
			t.Errorf("step %d: %g attempts in a window at the cache in slow start, at most %g", at, got, most)
		}
	}
	if sent[0][steps] == sent[0][steps-window] || fetches > maxUnmeasuredFetches*nodes {
		t.Errorf("slow start must end, and %d fetches are in flight at a stopped origin", fetches)
	}
}
