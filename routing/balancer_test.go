package routing

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/quick"
)

// Random runs: outcomes of every code, restarts, drains, list failures, fleets that double, lost clients and
// stale alarms and odd orders of events, as one of two nodes and of a thousand. The fake checks the rules.
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
				f.faultf("lookup %d was lost", i)
			}
		}
		for i, s := range f.b.servers {
			if s != nil && s.inFlight != 0 && len(f.faults) == 0 {
				f.faultf("server %d counts %d in flight though nothing is out", i, s.inFlight)
			}
		}
		t.Log(seed, f.faults)
		return len(f.faults) == 0
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 300, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// Three hundred nodes of one fleet, a few of which carry far more than the rest: in sum they must spare a
// cache that starts cold, whatever each may do at least, and the origin while it does not answer.
func TestSumOverAFleet(t *testing.T) {
	const nodes, cold, stop, steps, window = 300, 30, 90, 120, 15 // in tenths of a second
	var fleet [nodes]*fakeHost
	for i := range fleet {
		fleet[i] = newFakeHost(int64(i), 4)
		fleet[i].b.nodeCount, fleet[i].b.initialLimit = nodes, 1
	}
	rnd, sent, fetches := rand.New(rand.NewSource(1)), [5][steps + 1]float64{}, 0 // shots at each by then
	for step := range steps {
		for s := range sent {
			sent[s][step+1] = sent[s][step]
		}
		for i, f := range fleet {
			if f.now += 100 * Millisecond; step == cold {
				f.endpoints[0].StartedAt = f.now
				f.b.UpdateEndpoints(f.now, Incremental, f.endpoints[:1])
			}
			for range rnd.Intn(2) + 3*(i%50/49) {
				lkp, c := f.request(0, fmt.Sprint("k", rnd.Intn(500)), false, f.now+80000)
				for n := 0; n < len(c.attempts); n++ {
					at := c.attempts[n].server
					if sent[at][step+1]++; at < 4 || step < stop {
						f.attemptDone(lkp, n, []Result{Served, NotFound}[rnd.Intn(2)*min(1, 4-at)])
					} else {
						fetches++
					}
				}
			}
		}
	}
	most := 4 * 0.2 * sent[1][cold] / cold * window // factor x cold share x what a warm one is seen to bear
	for at := cold; at+window <= steps; at++ {
		if got := sent[0][at+window] - sent[0][at]; got > most {
			t.Errorf("step %d: %g shots in a window at the cold cache, at most %g", at, got, most)
		}
	}
	if sent[0][steps] == sent[0][steps-window] || fetches > maxUnmeasuredFetches*nodes {
		t.Errorf("the cold cache must warm up, and %d fetches are out at a stopped origin", fetches)
	}
}
