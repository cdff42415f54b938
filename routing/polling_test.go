package routing

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
)

// pollingHost is a host that counts polls alone and plays alarms in steps.
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

// alarmStep is the time between two looks at the alarms, and so the most by which one is late.
const alarmStep = Millisecond

// runUntil plays alarms; event is called at each step.
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

// randomConfig returns a configuration with any poll interval and grace, or none.
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

// Without a subscription the next poll follows within MaxPollWait of the last one, whatever becomes of calls: some
// are never answered, some fail at once or later, and subscriptions are lost. It follows within half of
// MaxPollInterval and a third of PushedGrace too, where these are no shorter than PollSpread; after the subscription is
// lost within PollSpread; and never twice within half the shortest wait, nor while there is a subscription.
func TestNextPollIsNeverFar(t *testing.T) {
	run := func(seed uint64) bool {
		rnd := rand.New(rand.NewSource(int64(seed)))
		config := randomConfig(rnd)
		wait := max(PollSpread, min(MaxPollWait, config.MaxPollInterval/2, config.PushedGrace/3))
		a := newPollingHost(seed, config)
		since, most, had, calls := a.now, PollSpread, false, 0 // without a poll, and the longest that this may last
		a.runUntil(a.now+60000*Millisecond, func() {
			if n := len(a.polledAt); n > calls {
				if had || calls > 0 && most != PollSpread && a.now-since < wait/2-alarmStep {
					t.Logf("seed %d: a poll %d after the last, subscribed: %v", seed, a.now-since, had)
					a.faultf("early")
				}
				calls, since, most = n, a.now, wait
			}
			if !had && a.now-since > most+alarmStep {
				a.faultf("late")
			}
			switch r := rnd.Intn(400); {
			case had && r < 1: // a subscription is lost
				a.b.UpdateEndpoints(a.now, Failed, nil)
				had, since, most = false, a.now, PollSpread
			case !had && calls > 0 && r < 1:
				a.b.UpdateEndpoints(a.now, []UpdateKind{Full, Incremental}[rnd.Intn(2)], nil)
				had = true
			case !had && r < 40:
				a.b.UpdateEndpoints(a.now, Failed, nil) // one of those in flight
			case r < 50:
				a.b.Alarm(a.now, pollAlarmHandle) // a stale alarm
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

// Polls are repeated while they fail, and end once one has succeeded.
func TestFailedPollIsRepeated(t *testing.T) {
	f := newFakeHost(1, 1)
	for n := range 4 {
		was := f.polls
		if f.advance(MaxPollWait); f.polls == was {
			t.Fatalf("no poll within %v after %d that failed", MaxPollWait, n)
		}
		f.b.UpdateEndpoints(f.now, Failed, nil)
	}
	f.b.UpdateEndpoints(f.now, Incremental, nil)
	was := f.polls
	if f.advance(10 * MaxPollWait); f.polls != was {
		t.Errorf("%d more polls after one succeeded, want none", f.polls-was)
	}
}

// Where polls have a quota, a node without any left waits for one poll interval, and every poll takes from it, those
// beside an unanswered one too.
func TestPollsWaitForTheQuota(t *testing.T) {
	a := newPollingHost(3, DefaultConfig())
	a.b.SetQuota(a.now, DiscoveryRate, 0, allowance.Quota{Rate: 0.0001, Burst: 1, Until: int64(a.now + 90000*Millisecond)})
	a.runUntil(a.now+20000*Millisecond, func() {})
	if len(a.polledAt) > 0 {
		t.Fatalf("%d polls without a quota", len(a.polledAt))
	}
	given := a.now
	a.b.SetQuota(a.now, DiscoveryRate, 0, allowance.Quota{Rate: 1000, Burst: 1000, Until: int64(a.now + 90000*Millisecond)})
	a.runUntil(given+10*MaxPollWait, func() {})
	if len(a.polledAt) < 10 || a.polledAt[0]-given > MaxPollWait+alarmStep {
		t.Errorf("%d polls, the first %d after a quota came", len(a.polledAt), a.polledAt[0]-given)
	}
}

// A discovery service that returns is not met by all nodes in the same half second: 300 nodes lose their
// subscriptions at once and poll for 3 to 13 s, while no call is answered.
func TestAReturningServiceIsNotMetByAllAtOnce(t *testing.T) {
	for _, c := range []struct {
		config        Config
		rate, atFirst float64 // polls per second of the whole fleet, and nodes that poll in the first half second
	}{
		{configOf(func(c *Config) { c.MaxPollInterval = 10000 * Millisecond }), 240, 150},
		{configOf(func(c *Config) { c.MaxPollInterval, c.PushedGrace = 10000*Millisecond, 3000*Millisecond }), 440, 240}, // each client has a node of its own
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
			t.Logf("%.0f polls a second, %d nodes in the first half second", rate, most)
			if rate > c.rate || float64(most) > c.atFirst {
				t.Errorf("%.0f polls a second, want %.0f at most; %d nodes in the first half second, want %.0f at most",
					rate, c.rate, most, c.atFirst)
			}
		})
	}
}
