package routing

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
)

// pollingHost is a Host that records the times of polls and fires alarms in steps of alarmStep.
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

// alarmStep is the time between two checks for alarms that are due, and so the maximum delay of an alarm.
const alarmStep = Millisecond

// runUntil fires alarms until a time. onStep is called in each step.
func (h *pollingHost) runUntil(end Time, onStep func()) {
	for ; h.now < end; h.now += alarmStep {
		due := h.alarms[pollAlarmHandle]
		h.alarms[pollAlarmHandle] = slices.DeleteFunc(slices.Clone(due), func(alarmTime Time) bool { return alarmTime <= h.now })
		for _, alarmTime := range due {
			if alarmTime <= h.now {
				h.b.HandleAlarm(h.now, pollAlarmHandle)
			}
		}
		onStep()
	}
}

// randomConfig returns a configuration in which MaxPollInterval and PushedGrace are random or the default.
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

// Guards against a node that stops polling, or polls too often. Calls are never answered or fail immediately or later,
// and subscriptions are lost. Without a subscription the next poll must follow within MaxPollGap, and also within half
// of MaxPollInterval and a third of PushedGrace unless these are shorter than PollSpread. After the loss of the
// subscription it must follow within PollSpread. Two polls must be at least half of this longest wait apart, and there
// must be no poll during a subscription.
func TestPollIntervalBoundedWithoutSubscription(t *testing.T) {
	run := func(seed uint64) bool {
		rnd := rand.New(rand.NewSource(int64(seed)))
		config := randomConfig(rnd)
		wait := max(PollSpread, min(MaxPollGap, config.MaxPollInterval/2, config.PushedGrace/3))
		h := newPollingHost(seed, config)
		lastPollAt, maxGap, subscribed, polls := h.now, PollSpread, false, 0 // maxGap is the longest time allowed until the next poll
		h.runUntil(h.now+60000*Millisecond, func() {
			if n := len(h.polledAt); n > polls {
				if subscribed || polls > 0 && maxGap != PollSpread && h.now-lastPollAt < wait/2-alarmStep {
					t.Logf("seed %d: poll %d after the last one, subscribed: %v", seed, h.now-lastPollAt, subscribed)
					h.violationf("poll too early")
				}
				polls, lastPollAt, maxGap = n, h.now, wait
			}
			if !subscribed && h.now-lastPollAt > maxGap+alarmStep {
				h.violationf("no poll in time")
			}
			switch r := rnd.Intn(400); {
			case subscribed && r < 1: // the subscription is lost
				h.b.UpdateEndpoints(h.now, Failed, nil)
				subscribed, lastPollAt, maxGap = false, h.now, PollSpread
			case !subscribed && polls > 0 && r < 1:
				h.b.UpdateEndpoints(h.now, []UpdateKind{Full, Incremental}[rnd.Intn(2)], nil)
				subscribed = true
			case !subscribed && r < 40:
				h.b.UpdateEndpoints(h.now, Failed, nil) // a call in flight fails
			case r < 50:
				h.b.HandleAlarm(h.now, pollAlarmHandle) // a stale alarm
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

// Polls are repeated while they fail, and stop once one has succeeded.
func TestFailedPollIsRepeated(t *testing.T) {
	f := newFakeHost(1, 1)
	for n := range 4 {
		previousPolls := f.polls
		if f.advance(MaxPollGap); f.polls == previousPolls {
			t.Fatalf("no poll within %v after %d failed polls", MaxPollGap, n)
		}
		f.b.UpdateEndpoints(f.now, Failed, nil)
	}
	f.b.UpdateEndpoints(f.now, Incremental, nil)
	previousPolls := f.polls
	if f.advance(10 * MaxPollGap); f.polls != previousPolls {
		t.Errorf("%d more polls after one succeeded, want none", f.polls-previousPolls)
	}
}

// A node whose quota of polls is exhausted waits for one poll interval before it tries again. Every poll spends quota,
// even while an earlier one is unanswered.
func TestPollsWaitForQuota(t *testing.T) {
	h := newPollingHost(3, DefaultConfig())
	h.b.SetQuota(h.now, DiscoveryRate, 0, quotalimit.Quota{Rate: 0.0001, Burst: 1, End: int64(h.now + 90000*Millisecond)})
	h.runUntil(h.now+20000*Millisecond, func() {})
	if len(h.polledAt) > 0 {
		t.Fatalf("%d polls with an exhausted quota, want none", len(h.polledAt))
	}
	grantedAt := h.now
	h.b.SetQuota(h.now, DiscoveryRate, 0, quotalimit.Quota{Rate: 1000, Burst: 1000, End: int64(h.now + 90000*Millisecond)})
	h.runUntil(grantedAt+10*MaxPollGap, func() {})
	if len(h.polledAt) < 10 || h.polledAt[0]-grantedAt > MaxPollGap+alarmStep {
		t.Errorf("%d polls, the first %d after the quota was granted", len(h.polledAt), h.polledAt[0]-grantedAt)
	}
}

// Guards against an overload of a discovery service that returns after an outage. 300 nodes lose their subscriptions at
// the same time, and no call is answered for 3 to 13 s. The nodes must spread their polls, so that not all of them
// poll in the first half second after the service has returned.
func TestPollsSpreadWhenServiceReturns(t *testing.T) {
	for _, tc := range []struct {
		config            Config
		maxRate, maxBurst float64 // polls per second of all nodes, and nodes that poll in the half second after the return
	}{
		{modifiedConfig(func(c *Config) { c.MaxPollInterval = 10000 * Millisecond }), 240, 150},
		{modifiedConfig(func(c *Config) { c.MaxPollInterval, c.PushedGrace = 10000*Millisecond, 3000*Millisecond }), 440, 240}, // a deployment in which each client has its own node
	} {
		t.Run(fmt.Sprint(tc.config.PushedGrace), func(t *testing.T) {
			const nodes = 300
			polls, nodesByReturn, duration := 0, map[Time]int{}, Time(0)
			for n := range nodes {
				h := newPollingHost(uint64(n), tc.config)
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
			t.Logf("%.0f polls per second, %d nodes in the first half second", rate, burst)
			if rate > tc.maxRate || float64(burst) > tc.maxBurst {
				t.Errorf("%.0f polls per second, want at most %.0f; %d nodes in the first half second, want at most %.0f",
					rate, tc.maxRate, burst, tc.maxBurst)
			}
		})
	}
}
