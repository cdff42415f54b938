package routing

// A node without a subscription to the endpoint list polls the discovery service.
// The first poll is sent within PollSpread after the node has started or has lost
// its subscription. Further polls follow at random intervals until a call succeeds.
// They do not wait for the answers to earlier calls.

const (
	// PollSpread is the time over which nodes spread their first polls, since
	// many nodes may start or lose their subscriptions at the same time.
	PollSpread = 300 * Millisecond

	// MaxPollGap is the longest time between two polls. It is such that two
	// waits and a slow transfer of the list together take less than 5 s.
	MaxPollGap = 1800 * Millisecond

	// pushedGraceDivisor limits the time between two polls to a third of
	// Config.PushedGrace. The other two thirds are for the call to the discovery
	// service and for applying the updates.
	pushedGraceDivisor = 3
)

// maxPollGap returns the longest time between two polls for a configuration.
func maxPollGap(config Config) Time {
	return max(PollSpread, min(MaxPollGap, config.MaxPollInterval/2, config.PushedGrace/pushedGraceDivisor))
}

// scheduleFirstPoll sets the alarm for the first poll after the node's start. It
// leaves pollDue at 0, so an alarm that comes earlier polls as well.
func (b *Balancer) scheduleFirstPoll() {
	b.host.SetAlarm(b.now+b.firstPollDelay(), pollAlarmHandle)
}

// resubscribe schedules a poll after the subscription was lost. If there was no
// subscription, it does nothing, because the next poll is already scheduled.
func (b *Balancer) resubscribe() {
	if !b.subscribed {
		return
	}
	b.subscribed = false
	b.pollDue = b.now + b.firstPollDelay()
	b.host.SetAlarm(b.pollDue, pollAlarmHandle)
}

// firstPollDelay returns a random time, less than PollSpread, to wait before a first poll.
func (b *Balancer) firstPollDelay() Time { return Time(b.draw() * float64(PollSpread)) }

// pollIfDue does nothing before a poll is due. When one is due, it polls for the
// endpoint list if the quota allows it, and in either case schedules the next poll.
func (b *Balancer) pollIfDue() {
	if b.subscribed || b.now < b.pollDue {
		return
	}
	quota := b.quotas[DiscoveryRate]
	if quota.Available(int64(b.now)) >= 1 {
		quota.RequestStarted()
		b.host.Subscribe()
	} else {
		quota.RequestDenied()
	}
	b.pollDue = b.now + b.maxPollGap/2 + Time(b.draw()*float64(b.maxPollGap/2))
	b.host.SetAlarm(b.pollDue, pollAlarmHandle)
}
