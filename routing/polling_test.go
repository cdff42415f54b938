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

func (h *pollingHost) Subscribe() { h.polledAt = append(h.polledAt, h.now) }

func (h *pollingHost) SetAlarm(alarmTime Time, handle int) {
	h.alarms[handle] = append(h.alarms[handle], alarmTime)
}

func newPollingHost(seed uint64, config Config) *pollingHost {
	h := &pollingHost{fakeHost: fakeHost{now: Time(seed % 5000), alarms: map[int][]Time{}}}
	h.b = New(h, seed, h.now, config)
	return h
}

// alarmStep is the time between two looks at the alarms, and so the most by which one is late.
const alarmStep = Millisecond

// runUntil plays alarms; event is called at each step.
func (h *pollingHost) runUntil(end Time, onStep func()) {
	for ; h.now < end; h.now += alarmStep {
		due := h.alarms[pollAlarmHandle]
		h.alarms[pollAlarmHandle] = slices.DeleteFunc(slices.Clone(due), func(alarmTime Time) bool { return alarmTime <= h.now })
		for _, alarmTime := range due {
			if alarmTime <= h.now {
				h.b.Alarm(h.now, pollAlarmHandle)
			}
		}
		onStep()
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
func TestPollIntervalBoundedWithoutSubscription(t *testing.T) {
	run := func(seed uint64) bool {
		rnd := rand.New(rand.NewSource(int64(seed)))
		config := randomConfig(rnd)
		wait := max(PollSpread, min(MaxPollWait, config.MaxPollInterval/2, config.PushedGrace/3))
		h := newPollingHost(seed, config)
		lastPollAt, maxGap, subscribed, polls := h.now, PollSpread, false, 0 // without a poll, and the longest that this may last
		h.runUntil(h.now+60000*Millisecond, func() {
			if n := len(h.polledAt); n > polls {
				if subscribed || polls > 0 && maxGap != PollSpread && h.now-lastPollAt < wait/2-alarmStep {
					t.Logf("seed %d: a poll %d after the last, subscribed: %v", seed, h.now-lastPollAt, subscribed)
					h.violationf("early")
				}
				polls, lastPollAt, maxGap = n, h.now, wait
			}
			if !subscribed && h.now-lastPollAt > maxGap+alarmStep {
				h.violationf("late")
			}
			switch r := rnd.Intn(400); {
			case subscribed && r < 1: // a subscription is lost
				h.b.UpdateEndpoints(h.now, Failed, nil)
				subscribed, lastPollAt, maxGap = false, h.now, PollSpread
			case !subscribed && polls > 0 && r < 1:
				h.b.UpdateEndpoints(h.now, []UpdateKind{Full, Incremental}[rnd.Intn(2)], nil)
				subscribed = true
			case !subscribed && r < 40:
				h.b.UpdateEndpoints(h.now, Failed, nil) // one of those in flight
			case r < 50:
				h.b.Alarm(h.now, pollAlarmHandle) // a stale alarm
			}
		})
		if len(h.violations) > 0 {
			t.Logf("seed %d, configuration %+v, wait %d: %v", seed, config, wait, h.violations[0])
		}
		return len(h.violations) == 0 && polls > 5
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(7))}); err != nil {
		t.Error(err)
	}
}

// Polls are repeated while they fail, and end once one has succeeded.
func TestFailedPollIsRepeated(t *testing.T) {
	f := newFakeHost(1, 1)
	for n := range 4 {
		previousPolls := f.polls
		if f.advance(MaxPollWait); f.polls == previousPolls {
			t.Fatalf("no poll within %v after %d that failed", MaxPollWait, n)
		}
		f.b.UpdateEndpoints(f.now, Failed, nil)
	}
	f.b.UpdateEndpoints(f.now, Incremental, nil)
	previousPolls := f.polls
	if f.advance(10 * MaxPollWait); f.polls != previousPolls {
		t.Errorf("%d more polls after one succeeded, want none", f.polls-previousPolls)
	}
}

// Where polls have a quota, a node without any left waits for one poll interval, and every poll takes from it, those
// beside an unanswered one too.
func TestPollsWaitForQuota(t *testing.T) {
	h := newPollingHost(3, DefaultConfig())
	h.b.SetQuota(h.now, DiscoveryRate, 0, allowance.Quota{Rate: 0.0001, Burst: 1, Until: int64(h.now + 90000*Millisecond)})
	h.runUntil(h.now+20000*Millisecond, func() {})
	if len(h.polledAt) > 0 {
		t.Fatalf("%d polls without a quota", len(h.polledAt))
	}
	grantedAt := h.now
	h.b.SetQuota(h.now, DiscoveryRate, 0, allowance.Quota{Rate: 1000, Burst: 1000, Until: int64(h.now + 90000*Millisecond)})
	h.runUntil(grantedAt+10*MaxPollWait, func() {})
	if len(h.polledAt) < 10 || h.polledAt[0]-grantedAt > MaxPollWait+alarmStep {
		t.Errorf("%d polls, the first %d after a quota came", len(h.polledAt), h.polledAt[0]-grantedAt)
	}
}

// A discovery service that returns is not met by all nodes in the same half second: 300 nodes lose their
// subscriptions at once and poll for 3 to 13 s, while no call is answered.
func TestPollsSpreadWhenServiceReturns(t *testing.T) {
	for _, c := range []struct {
		config            Config
		maxRate, maxBurst float64 // polls per second of the whole fleet, and nodes that poll in the first half second
	}{
		{modifiedConfig(func(c *Config) { c.MaxPollInterval = 10000 * Millisecond }), 240, 150},
		{modifiedConfig(func(c *Config) { c.MaxPollInterval, c.PushedGrace = 10000*Millisecond, 3000*Millisecond }), 440, 240}, // each client has a node of its own
	} {
		t.Run(fmt.Sprint(c.config.PushedGrace), func(t *testing.T) {
			const nodes = 300
			polls, nodesByReturn, duration := 0, map[Time]int{}, Time(0)
			for n := range nodes {
				h := newPollingHost(uint64(n), c.config)
				start := h.now
				h.runUntil(start+1000*Millisecond, func() {})
				h.b.UpdateEndpoints(h.now, Full, nil)
				h.runUntil(start+2000*Millisecond, func() {})
				h.b.UpdateEndpoints(h.now, Failed, nil)
				lostAt := h.now
				h.polledAt = nil
				h.runUntil(lostAt+14000*Millisecond, func() {})
				polls += len(h.polledAt)
				duration += h.now - lostAt
				for returnDelay := 3000 * Millisecond; returnDelay < 13000*Millisecond; returnDelay += 500 * Millisecond {
					if slices.ContainsFunc(h.polledAt, func(polledAt Time) bool {
						return polledAt >= lostAt+returnDelay && polledAt < lostAt+returnDelay+500*Millisecond
					}) {
						nodesByReturn[returnDelay]++
					}
				}
			}
			rate, burst := nodes*float64(polls)/seconds(duration), 0
			for _, n := range nodesByReturn {
				burst = max(burst, n)
			}
			t.Logf("%.0f polls a second, %d nodes in the first half second", rate, burst)
			if rate > c.maxRate || float64(burst) > c.maxBurst {
				t.Errorf("%.0f polls a second, want %.0f at most; %d nodes in the first half second, want %.0f at most",
					rate, c.maxRate, burst, c.maxBurst)
			}
		})
	}
}
