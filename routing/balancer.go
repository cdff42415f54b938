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
	b := &Balancer{host: host, config: config, seed: seed, now: now, fade: 1,
		nodes: float64(max(1, config.Nodes)), halved: now, ease: 1,
		klDue: now + klSpan, fetches: map[uint64][]int{}, keep: keepMost,
		weight: slices.Repeat([]float64{1.0 / bins}, bins), late: make([]float64, klGroups)}
	b.least = max(1, min(busyLeast, roomLeast/b.nodes))
	b.askWait = max(PollSpread, min(MaxPollWait, config.MaxPollInterval/2, config.PushedGrace/pushedGracePart))
	b.read()
	host.SetAlarm(now+Time(b.draw()*float64(PollSpread)), listHandle)
	return b
}

// Request takes a client's lookup, which is owed one final answer from now on.
func (b *Balancer) Request(now Time, lkp int, in Request) {
	b.clock(now)
	for lkp >= len(b.lookups) {
		b.lookups = append(b.lookups, lookup{})
	}
	l, ns := &b.lookups[lkp], &b.spaces[in.Class]
	*l = lookup{Request: in, live: true, arrived: now, giveUp: in.Deadline, work: 1, shots: l.shots[:0]}
	if ns.LateUtility == 0 && ns.Idempotence == Safe {
		// Two ticks early, so that a deferral is still inside the target time.
		l.giveUp = min(in.Deadline, now+ns.LatencyTarget-2*b.config.Tick)
	}
	if l.point = b.draw() * bins; in.Key != "" {
		l.key = xxhash.Sum64String(in.Key) | 1
		l.point = pointOf(l.key)
		b.learn(l.point)
	}
	if in.Work > 0 {
		ns.work, ns.asked = ns.work+in.Work, ns.asked+1
		l.work = in.Work * ns.asked / ns.work
	}
	sure := false
	if in.Tenant >= 0 && b.partners[in.Tenant].part != nil {
		if b.lacks(l, b.partners[in.Tenant].part) {
			b.finish(lkp)
			return
		}
		b.partners[in.Tenant].part.Spend()
	} else if in.Tenant >= 0 {
		p, carry := &b.partners[in.Tenant], b.carry(in.Tenant)
		p.room = min(p.rate+shareLeast, p.room+p.rate*seconds(now-p.at)) - 1
		p.most = min(p.rate*carry+shareLeast, p.most+p.rate*carry*seconds(now-p.at)) - 1
		p.at = now
		p.asked++
		if p.room < 0 {
			l.over, p.room = true, p.room+1
		}
		if p.most < 0 {
			sure, p.most = true, p.most+1
		}
	}
	ease := easeSteps * b.ease
	if sure {
		ease -= easeSteps - 1
	}
	if l.over && b.draw() >= ease {
		b.finish(lkp)
	} else {
		b.advance(lkp)
	}
}

// carry tells how many even parts of the traffic we carry. Clients are dealt out unevenly, and more of them
// come when other nodes are lost: then the other partners send more than their even parts too.
func (b *Balancer) carry(of int) float64 {
	asked, due := 0.0, 0.0
	for i, p := range b.partners {
		if i != of {
			asked, due = asked+b.rate(p.asked), due+p.rate
		}
	}
	if due == 0 {
		return 1
	}
	return max(1, asked/due)
}

// BodySent tells that a long lookup's shot is out whole, or ends before: its time counts from here, and its lookup's.
func (b *Balancer) BodySent(now Time, lkp, number int) {
	t := &b.lookups[lkp].shots[number]
	b.lookups[lkp].arrived, t.sent = now, now
	b.count(b.servers[t.server], 1)
}

// ClientGone tells that a lookup is over without us.
func (b *Balancer) ClientGone(now Time, lkp int) {
	b.clock(now)
	if b.lookups[lkp].live {
		b.end(lkp)
	}
}

// SetQuota tells how much of a budget of the fleet is ours, in place of our even part; partner is whose lookups it
// bounds, if any's. It gives what was asked of the bound since the last time, of servers the most at any one.
func (b *Balancer) SetQuota(now Time, of Limit, partner int, p allowance.Quota) (u allowance.Usage) {
	b.clock(now)
	if of == TenantRate {
		return allowance.Set(&b.partners[partner].part, int64(now), p)
	}
	u = allowance.Set(&b.parts[of], int64(now), p)
	for _, s := range b.servers {
		if s != nil && !s.origin && of == SlowStartRate {
			u = u.Max(allowance.Set(&s.cold, int64(now), p))
		} else if s != nil && !s.origin && of == CacheConcurrency {
			u = u.Max(allowance.Set(&s.links, int64(now), p))
		}
	}
	return u
}

// Alarm comes at or after a time asked for with Wake; a stale one does nothing.
func (b *Balancer) Alarm(now Time, handle int) {
	b.clock(now)
	if handle == listHandle && !b.subscribed && now >= b.askDue {
		if !b.lacks(&lookup{}, b.parts[DiscoveryRate]) {
			b.parts[DiscoveryRate].Spend()
			b.host.Subscribe()
		}
		b.askDue = now + b.askWait/2 + Time(b.draw()*float64(b.askWait/2))
		b.host.SetAlarm(b.askDue, listHandle)
	} else if i := handle - 1; i >= 0 && i < len(b.lookups) && b.lookups[i].waiting && now >= b.lookups[i].giveUp {
		b.finish(i)
	}
}

// clock moves the time on and does what is due.
func (b *Balancer) clock(now Time) {
	b.now = now
	if now >= b.klDue {
		b.klDue = now + klSpan
		b.adapt()
	}
	if now < b.halved+halveSpan {
		return
	}
	sum, warm := 0.0, 0
	for _, i := range b.ready {
		if s := b.servers[i]; b.coldShare(s) == 1 {
			sum, warm = sum+b.rate(s.firsts), warm+1
		}
	}
	b.perCache = sum / float64(max(1, warm))
	for _, s := range b.servers {
		if s != nil {
			s.answers, s.firsts = s.answers/2, s.firsts/2
		}
	}
	for i := range b.partners {
		b.partners[i].asked /= 2
	}
	b.halved = now
}
