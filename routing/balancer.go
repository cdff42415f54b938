package routing

// This file makes a Balancer and takes what happens. New makes one per node from its Config and a Host to act through;
// host.go has Host and the plain types. Then the caller reports each thing that happens by calling a method: Lookup, Sent,
// Settled, Tried, Left, List, Part or Alarm, with the clock. Methods act by calling the Host before they return. docs/design.md says where
// all this comes from.

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
)

// New starts a node.
func New(host Host, seed uint64, now Time, config Config) *Balancer {
	b := &Balancer{host: host, config: config, seed: seed, now: now, weightScale: 1,
		nodeCount: float64(max(1, config.Nodes)), decayedAt: now, admissionLevel: 1,
		adaptDue: now + adaptInterval, fetchWaiters: map[uint64][]int{}, idleTimeout: maxIdleTimeout,
		binWeights: slices.Repeat([]float64{1.0 / binCount}, binCount), recentByGroup: make([]float64, binGroups)}
	b.initialLimit = max(1, min(minBusyInFlight, initialFleetLimit/b.nodeCount))
	b.maxPollWait = max(PollSpread, min(MaxPollWait, config.MaxPollInterval/2, config.PushedGrace/pushedGraceDivisor))
	b.initClassesAndTenants()
	host.SetAlarm(now+Time(b.draw()*float64(PollSpread)), pollAlarmHandle)
	return b
}

// Request takes a client's lookup, which is owed one final answer from now on.
func (b *Balancer) Request(now Time, lkp int, in Request) {
	b.advanceClock(now)
	for lkp >= len(b.requests) {
		b.requests = append(b.requests, requestState{})
	}
	l, ns := &b.requests[lkp], &b.classes[in.Class]
	*l = requestState{Request: in, active: true, arrivedAt: now, giveUpAt: in.Deadline, work: 1, attempts: l.attempts[:0]}
	if ns.LateUtility == 0 && ns.Idempotence == Safe {
		// Two ticks early, so that a deferral is still inside the target time.
		l.giveUpAt = min(in.Deadline, now+ns.LatencyTarget-2*b.config.Tick)
	}
	if l.point = b.draw() * binCount; in.Key != "" {
		l.keyHash = xxhash.Sum64String(in.Key) | 1
		l.point = keyPoint(l.keyHash)
		b.learnPoint(l.point)
	}
	if in.Work > 0 {
		ns.hintedWork, ns.hintedRequests = ns.hintedWork+in.Work, ns.hintedRequests+1
		l.work = in.Work * ns.hintedRequests / ns.hintedWork
	}
	sure := false
	if in.Tenant >= 0 && b.tenants[in.Tenant].quota != nil {
		if b.quotaExhausted(l, b.tenants[in.Tenant].quota) {
			b.finish(lkp)
			return
		}
		b.tenants[in.Tenant].quota.Spend()
	} else if in.Tenant >= 0 {
		p, carry := &b.tenants[in.Tenant], b.carriedShares(in.Tenant)
		p.evenTokens = min(p.evenRate+minTenantBurst, p.evenTokens+p.evenRate*seconds(now-p.refilledAt)) - 1
		p.carriedTokens = min(p.evenRate*carry+minTenantBurst, p.carriedTokens+p.evenRate*carry*seconds(now-p.refilledAt)) - 1
		p.refilledAt = now
		p.requests++
		if p.evenTokens < 0 {
			l.overQuota, p.evenTokens = true, p.evenTokens+1
		}
		if p.carriedTokens < 0 {
			sure, p.carriedTokens = true, p.carriedTokens+1
		}
	}
	ease := admissionSteps * b.admissionLevel
	if sure {
		ease -= admissionSteps - 1
	}
	if l.overQuota && b.draw() >= ease {
		b.finish(lkp)
	} else {
		b.advance(lkp)
	}
}

// carriedShares tells how many even parts of the traffic we carry. Clients are dealt out unevenly, and more of them
// come when other nodes are lost: then the other partners send more than their even parts too.
func (b *Balancer) carriedShares(of int) float64 {
	asked, due := 0.0, 0.0
	for i, p := range b.tenants {
		if i != of {
			asked, due = asked+b.perSecond(p.requests), due+p.evenRate
		}
	}
	if due == 0 {
		return 1
	}
	return max(1, asked/due)
}

// BodySent tells that a long lookup's shot is out whole, or ends before: its time counts from here, and its lookup's.
func (b *Balancer) BodySent(now Time, lkp, number int) {
	t := &b.requests[lkp].attempts[number]
	b.requests[lkp].arrivedAt, t.sentAt = now, now
	b.addInFlight(b.servers[t.server], 1)
}

// ClientGone tells that a lookup is over without us.
func (b *Balancer) ClientGone(now Time, lkp int) {
	b.advanceClock(now)
	if b.requests[lkp].active {
		b.endRequest(lkp)
	}
}

// SetQuota tells how much of a budget of the fleet is ours, in place of our even part; partner is whose lookups it
// bounds, if any's. It gives what was asked of the bound since the last time, of servers the most at any one.
func (b *Balancer) SetQuota(now Time, of Limit, partner int, p allowance.Quota) (u allowance.Usage) {
	b.advanceClock(now)
	if of == TenantRate {
		return allowance.Set(&b.tenants[partner].quota, int64(now), p)
	}
	u = allowance.Set(&b.quotas[of], int64(now), p)
	for _, s := range b.servers {
		if s != nil && !s.isOrigin && of == SlowStartRate {
			u = u.Max(allowance.Set(&s.slowStartQuota, int64(now), p))
		} else if s != nil && !s.isOrigin && of == CacheConcurrency {
			u = u.Max(allowance.Set(&s.concurrencyQuota, int64(now), p))
		}
	}
	return u
}

// Alarm comes at or after a time asked for with Wake; a stale one does nothing.
func (b *Balancer) Alarm(now Time, handle int) {
	b.advanceClock(now)
	if handle == pollAlarmHandle && !b.subscribed && now >= b.pollDue {
		if !b.quotaExhausted(&requestState{}, b.quotas[DiscoveryRate]) {
			b.quotas[DiscoveryRate].Spend()
			b.host.Subscribe()
		}
		b.pollDue = now + b.maxPollWait/2 + Time(b.draw()*float64(b.maxPollWait/2))
		b.host.SetAlarm(b.pollDue, pollAlarmHandle)
	} else if i := handle - 1; i >= 0 && i < len(b.requests) && b.requests[i].awaitsFetch && now >= b.requests[i].giveUpAt {
		b.finish(i)
	}
}

// advanceClock moves the time on and does what is due.
func (b *Balancer) advanceClock(now Time) {
	b.now = now
	if now >= b.adaptDue {
		b.adaptDue = now + adaptInterval
		b.adaptToDemand()
	}
	if now < b.decayedAt+decayInterval {
		return
	}
	sum, warm := 0.0, 0
	for _, i := range b.ready {
		if s := b.servers[i]; b.slowStartShare(s) == 1 {
			sum, warm = sum+b.perSecond(s.firstAttemptAnswers), warm+1
		}
	}
	b.warmCacheRate = sum / float64(max(1, warm))
	for _, s := range b.servers {
		if s != nil {
			s.answers, s.firstAttemptAnswers = s.answers/2, s.firstAttemptAnswers/2
		}
	}
	for i := range b.tenants {
		b.tenants[i].requests /= 2
	}
	b.decayedAt = now
}
