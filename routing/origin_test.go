package routing

import (
	"fmt"
	"testing"
)

// A crash before six hundred nodes: together they kept the origin's queue longer than their time limits.
func TestTimeoutsAtTheOriginLowerItsLimit(t *testing.T) {
	f := newFakeHost(1, 1)
	for n := range 5 {
		lkp, _ := f.request(0, fmt.Sprint(n), false, f.now+5000)
		f.attemptDone(lkp, 0, NotFound)
		f.now += 150 * Millisecond
		f.attemptDone(lkp, 1, TimedOut)
	}
	if calm := f.b.servers[1].concurrencyLimit; calm != minConcurrencyLimit {
		t.Errorf("calm room %g after five time-outs, want the least", calm)
	}
}

// quiet of the yards: nodes that fetch once a second deferred one miss in eight for the first twenty seconds.
func TestOriginLimitGrowsWithTheFirstAnswers(t *testing.T) {
	f := newFakeHost(1, 1)
	for n := range 4 {
		lkp, _ := f.request(0, fmt.Sprint(n), false, f.now+5000)
		f.attemptDone(lkp, 0, NotFound)
		f.now += 10 * Millisecond
		f.attemptDone(lkp, 1, Served)
	}
	if calm := f.b.servers[1].concurrencyLimit; calm < maxUnmeasuredFetches || calm > maxUnmeasuredFetches+0.5 {
		t.Errorf("calm room %.1f after four quick answers, want %g or a little more", calm, maxUnmeasuredFetches)
	}
}

// rough-1 of the videos: segments, which may take 2.5 s, filled the origin and held up playlists, which may take 0.15.
func TestPatientReadsDontDelayOthersAtTheOrigin(t *testing.T) {
	f := newFakeHost(1, 1)
	f.b.classes[0].LatencyTarget = 2500 * Millisecond // the others have 200 ms
	o := f.b.servers[1]
	o.answers, f.b.decayedAt, o.inFlight = 100, f.b.now, 13 // 100 a second, for 0.6 of 200 ms
	lkp, c := f.request(0, "k", false, f.now+50000)
	if f.attemptDone(lkp, 0, NotFound); len(c.attempts) != 1 || !c.ended {
		t.Errorf("shots %v, want the origin spared", c.attempts)
	}
	o.inFlight = 11
	lkp, c = f.request(0, "k", false, f.now+50000)
	if f.attemptDone(lkp, 0, NotFound); len(c.attempts) != 2 {
		t.Errorf("shots %v, want one at the origin", c.attempts)
	}
}
