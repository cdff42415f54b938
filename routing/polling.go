package routing

// A node without a subscription to the endpoint list polls the discovery service.
// The first poll is sent within PollSpread after a start or the loss of the
// subscription. Further polls follow at random intervals until a call succeeds,
// even while earlier calls are unanswered.

const (
	// PollSpread is the time over which nodes spread their first polls, since
	// many nodes may start or lose their subscriptions at the same time.
	PollSpread = 300 * Millisecond

	// MaxPollWait is the longest time between two polls. Two such waits and a
	// slow transfer of the list fit into 5 s.
	MaxPollWait = 1800 * Millisecond

	// pushedGraceDivisor: the time between two polls is at most a third of
	// Config.PushedGrace. The rest is left for the call and the updates.
	pushedGraceDivisor = 3
)

// maxPollWait returns the longest time between two polls for a configuration.
func maxPollWait(config Config) Time {
	return max(PollSpread, min(MaxPollWait, config.MaxPollInterval/2, config.PushedGrace/pushedGraceDivisor))
}

// scheduleFirstPoll sets the alarm for a new node's first poll. pollDue stays 0,
// so an earlier alarm would poll, too.
func (b *Balancer) scheduleFirstPoll() {
	b.host.SetAlarm(b.now+b.firstPollDelay(), pollAlarmHandle)
}

// resubscribe schedules a poll after the subscription was lost. If there was no
// subscription, the next poll is already scheduled.
func (b *Balancer) resubscribe() {
	if !b.subscribed {
		return
	}
	b.subscribed = false
	b.pollDue = b.now + b.firstPollDelay()
	b.host.SetAlarm(b.pollDue, pollAlarmHandle)
}

// firstPollDelay returns a random delay of less than PollSpread.
func (b *Balancer) firstPollDelay() Time { return Time(b.draw() * float64(PollSpread)) }

// pollIfDue polls for the endpoint list if a poll is due and the quota allows it,
// and schedules the next poll.
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
