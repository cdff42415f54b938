package routing

// While it has no subscription to the endpoint list, a node polls the
// discovery service: after a start or a lost subscription within PollSpread,
// then at random intervals until a call succeeds, whatever becomes of earlier
// ones.

const (
	// PollSpread is the time over which nodes spread their first polls, since
	// many may start or lose the subscription at once.
	PollSpread = 300 * Millisecond

	// MaxPollWait is the longest time between two polls. Two of them and a
	// slow list fit into 5 s.
	MaxPollWait = 1800 * Millisecond

	// pushedGraceDivisor: polls may use a third of Config.PushedGrace; the
	// rest is for the call and the updates.
	pushedGraceDivisor = 3
)

// maxPollWait returns the longest time between two polls for a configuration.
func maxPollWait(config Config) Time {
	return max(PollSpread, min(MaxPollWait, config.MaxPollInterval/2, config.PushedGrace/pushedGraceDivisor))
}

// scheduleFirstPoll sets the alarm for a new node's first poll. pollDue stays
// 0, so an earlier alarm polls as well.
func (b *Balancer) scheduleFirstPoll() {
	b.host.SetAlarm(b.now+b.randomPollDelay(), pollAlarmHandle)
}

// resubscribe schedules a poll after the subscription was lost. Without one
// the next poll is scheduled already.
func (b *Balancer) resubscribe() {
	if !b.subscribed {
		return
	}
	b.subscribed = false
	b.pollDue = b.now + b.randomPollDelay()
	b.host.SetAlarm(b.pollDue, pollAlarmHandle)
}

// randomPollDelay returns a random part of PollSpread.
func (b *Balancer) randomPollDelay() Time { return Time(b.draw() * float64(PollSpread)) }

// pollIfDue polls for the endpoint list, if the quota allows, and schedules
// the next poll.
func (b *Balancer) pollIfDue() {
	if b.subscribed || b.now < b.pollDue {
		return
	}
	quota := b.quotas[DiscoveryRate]
	if quota.Available(int64(b.now)) >= 1 {
		quota.Spend()
		b.host.Subscribe()
	} else {
		quota.Denied()
	}
	b.pollDue = b.now + b.maxPollWait/2 + Time(b.draw()*float64(b.maxPollWait/2))
	b.host.SetAlarm(b.pollDue, pollAlarmHandle)
}
