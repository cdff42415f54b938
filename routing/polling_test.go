package routing

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
)

// pollingHost is a host that only counts the calls for the list, and wakes to the tick.
type pollingHost struct {
	fakeHost
	polledAt []Time
}

func (a *pollingHost) Subscribe() { a.polledAt = append(a.polledAt, a.now) }

func (a *pollingHost) SetAlarm(at Time, handle int) { a.alarms[handle] = append(a.alarms[handle], at) }

func newPollingHost(seed uint64, config Config) *pollingHost {
	a := &pollingHost{fakeHost: fakeHost{now: Time(seed % 5000), alarms: map[int][]Time{}}}
	a.b = New(a, seed, a.now, config)
	return a
}

// alarmStep is between two looks at the alarms; one may be as late.
const alarmStep = Millisecond

// runUntil plays alarms; tell gives what the service does at each step.
func (a *pollingHost) runUntil(end Time, tell func()) {
	for ; a.now < end; a.now += alarmStep {
		due := a.alarms[pollAlarmHandle]
		a.alarms[pollAlarmHandle] = slices.DeleteFunc(slices.Clone(due), func(at Time) bool { return at <= a.now })
		for _, at := range due {
			if at <= a.now {
				a.b.Alarm(a.now, pollAlarmHandle)
			}
		}
		tell()
	}
}

// randomConfig gives the configuration of a deployment: any limit for asking, any grace, or none.
func randomConfig(rnd *rand.Rand) Config {
	config := DefaultConfig()
	if rnd.Intn(3) > 0 {
		config.MaxPollInterval = Time(rnd.Intn(400)) * 100 * Millisecond
	}
	if rnd.Intn(2) > 0 {
		config.PushedGrace = Time(rnd.Intn(80)) * 50 * Millisecond
	}
	return config
}

// Without a list the next call begins within AskMost of the last one's begin, whatever becomes of calls: some are never
// answered, some fail at once or later, again and again, and lists are lost. It begins within half of the limit for asking and a
// third of a pushed list's grace too, where these are no shorter than AskSpread; after the list is lost within AskSpread; and
// never twice within half the shortest wait, nor while there is a list.
func TestNextPollIsNeverFar(t *testing.T) {
	run := func(seed uint64) bool {
		rnd := rand.New(rand.NewSource(int64(seed)))
		config := randomConfig(rnd)
		wait := max(PollSpread, min(MaxPollWait, config.MaxPollInterval/2, config.PushedGrace/3))
		a := newPollingHost(seed, config)
		since, most, had, calls := a.now, PollSpread, false, 0 // without a call, and the longest that this may last
		a.runUntil(a.now+60000*Millisecond, func() {
			if n := len(a.polledAt); n > calls {
				if had || calls > 0 && most != PollSpread && a.now-since < wait/2-alarmStep {
					t.Logf("seed %d: a call %d after the last, with a list: %v", seed, a.now-since, had)
					a.faultf("early")
				}
				calls, since, most = n, a.now, wait
			}
			if !had && a.now-since > most+alarmStep {
				a.faultf("late")
			}
			switch r := rnd.Intn(400); {
			case had && r < 1: // a watch is lost
				a.b.UpdateEndpoints(a.now, Failed, nil)
				had, since, most = false, a.now, PollSpread
			case !had && calls > 0 && r < 1:
				a.b.UpdateEndpoints(a.now, []UpdateKind{Full, Incremental}[rnd.Intn(2)], nil)
				had = true
			case !had && r < 40:
				a.b.UpdateEndpoints(a.now, Failed, nil) // one of those that are out
			case r < 50:
				a.b.Alarm(a.now, pollAlarmHandle) // a stale one
			}
		})
		if len(a.faults) > 0 {
			t.Logf("seed %d, configuration %+v, wait %d: %v", seed, config, wait, a.faults[0])
		}
		return len(a.faults) == 0 && calls > 5
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(7))}); err != nil {
		t.Error(err)
	}
}

// The list is asked for again after each call that fails, and no more once one has gone through.
func TestFailedPollIsRepeated(t *testing.T) {
	f := newFakeHost(1, 1)
	for n := range 4 {
		was := f.polls
		if f.advance(MaxPollWait); f.polls == was {
			t.Fatalf("no call within %v after %d that failed", MaxPollWait, n)
		}
		f.b.UpdateEndpoints(f.now, Failed, nil)
	}
	f.b.UpdateEndpoints(f.now, Incremental, nil)
	was := f.polls
	if f.advance(10 * MaxPollWait); f.polls != was {
		t.Errorf("%d more calls after one went through, want none", f.polls-was)
	}
}

// Where the fleet's calls are budgeted, the wait for a part is one between calls, and every call takes from it, those
// beside a silent one too.
func TestPollsWaitForTheQuota(t *testing.T) {
	a := newPollingHost(3, DefaultConfig())
	a.b.SetQuota(a.now, DiscoveryRate, 0, allowance.Quota{Rate: 0.0001, Burst: 1, Until: int64(a.now + 90000*Millisecond)})
	a.runUntil(a.now+20000*Millisecond, func() {})
	if len(a.polledAt) > 0 {
		t.Fatalf("%d calls without a part", len(a.polledAt))
	}
	given := a.now
	a.b.SetQuota(a.now, DiscoveryRate, 0, allowance.Quota{Rate: 1000, Burst: 1000, Until: int64(a.now + 90000*Millisecond)})
	a.runUntil(given+10*MaxPollWait, func() {})
	if len(a.polledAt) < 10 || a.polledAt[0]-given > MaxPollWait+alarmStep {
		t.Errorf("%d calls, the first %d after a part came", len(a.polledAt), a.polledAt[0]-given)
	}
}

// A service that returns is not met by all nodes in the same half second, and calls stay priced: 300 nodes lose their watches
// at once and ask for 3 to 13 s, while no call is answered.
func TestAReturningServiceIsNotMetByAllAtOnce(t *testing.T) {
	for _, c := range []struct {
		config        Config
		rate, atFirst float64 // calls a second of the whole fleet, and nodes that ask in the first half second
	}{
		{configOf(func(c *Config) { c.MaxPollInterval = 10000 * Millisecond }), 240, 150},
		{configOf(func(c *Config) { c.MaxPollInterval, c.PushedGrace = 10000*Millisecond, 3000*Millisecond }), 440, 240}, // each has an agent of its own
	} {
		t.Run(fmt.Sprint(c.config.PushedGrace), func(t *testing.T) {
			const nodes = 300
			calls, first, span := 0, map[Time]int{}, Time(0)
			for n := range nodes {
				a := newPollingHost(uint64(n), c.config)
				start := a.now
				a.runUntil(start+1000*Millisecond, func() {})
				a.b.UpdateEndpoints(a.now, Full, nil)
				a.runUntil(start+2000*Millisecond, func() {})
				a.b.UpdateEndpoints(a.now, Failed, nil)
				lost := a.now
				a.polledAt = nil
				a.runUntil(lost+14000*Millisecond, func() {})
				calls += len(a.polledAt)
				span += a.now - lost
				for back := 3000 * Millisecond; back < 13000*Millisecond; back += 500 * Millisecond {
					if slices.ContainsFunc(a.polledAt, func(at Time) bool { return at >= lost+back && at < lost+back+500*Millisecond }) {
						first[back]++
					}
				}
			}
			rate, most := nodes*float64(calls)/seconds(span), 0
			for _, n := range first {
				most = max(most, n)
			}
			t.Logf("%.0f calls a second, %d nodes in the first half second", rate, most)
			if rate > c.rate || float64(most) > c.atFirst {
				t.Errorf("%.0f calls a second, want %.0f at most; %d nodes in the first half second, want %.0f at most",
					rate, c.rate, most, c.atFirst)
			}
		})
	}
}
