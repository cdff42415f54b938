package routing

// This file holds what the list of boxes changes: which servers there are, which of them are asked, and in which order.

import (
	"slices"
	"strings"
)

// UpdateEndpoints tells of the boxes.
func (b *Balancer) UpdateEndpoints(now Time, how UpdateKind, boxes []Endpoint) {
	b.advanceClock(now)
	if how == Failed {
		if b.subscribed { // else the next call is due by itself, whatever becomes of this one
			b.subscribed, b.pollDue = false, now+Time(b.draw()*float64(PollSpread))
			b.host.SetAlarm(b.pollDue, pollAlarmHandle)
		}
		return
	}
	b.subscribed = b.subscribed || how != Cached
	if how != Incremental {
		b.ready, b.origins, b.inFlight = b.ready[:0], b.origins[:0], 0
		for _, s := range b.servers {
			if s != nil {
				s.State = Gone
			}
		}
	}
	for _, x := range boxes {
		b.removeReady(x.Server)
		b.updateServer(x)
		if how == Incremental {
			b.insertReady(x.Server)
		}
	}
	if how != Incremental {
		b.rebuildReady()
	}
	b.rangeEnds = b.rangeEnds[:0] // laid anew with the next lookup: a service may tell many changes in a row
}

// updateServer takes over what the list says of a server.
func (b *Balancer) updateServer(x Endpoint) {
	for x.Server >= len(b.servers) {
		b.servers = append(b.servers, nil)
	}
	s := b.servers[x.Server]
	if s == nil || s.StartedAt != x.StartedAt || s.ID != x.ID {
		// A restart makes a server another one, cold and without a past; its old shots still settle.
		fresh := &serverState{slowStartRefilledAt: b.now, concurrencyLimit: b.initialLimit, retryBudget: maxRetryBudget,
			slowStartQuota: b.quotas[SlowStartRate].Clone(int64(b.now)), concurrencyQuota: b.quotas[CacheConcurrency].Clone(int64(b.now))}
		if s != nil {
			fresh.inFlight = s.inFlight
		}
		s = fresh
		b.servers[x.Server] = s
	}
	s.Endpoint = x
	if s.isOrigin = b.config.CacheAside && x.Model == b.config.OriginKind; s.isOrigin {
		s.slowStartQuota, s.concurrencyQuota = nil, nil // these budgets are of caches
	}
}

// findReady finds a server's place among the ready caches.
func (b *Balancer) findReady(id string) (at int, found bool) {
	return slices.BinarySearchFunc(b.ready, id, func(i int, id string) int { return strings.Compare(b.servers[i].ID, id) })
}

// removeReady takes a server out of those that are asked, before what is known of it changes.
func (b *Balancer) removeReady(i int) {
	if i >= len(b.servers) || b.servers[i] == nil || b.servers[i].State != Ready {
		return
	}
	s := b.servers[i]
	if s.isOrigin {
		b.origins = slices.DeleteFunc(b.origins, func(o int) bool { return o == i })
		return
	}
	at, found := b.findReady(s.ID)
	for ; found && at < len(b.ready) && b.servers[b.ready[at]].ID == s.ID; at++ {
		if b.ready[at] == i {
			b.ready = slices.Delete(b.ready, at, at+1)
			b.inFlight -= s.inFlight
			return
		}
	}
}

// insertReady puts a server among those that are asked, if it is ready: caches in the order of their ids, origins in that of their indices.
func (b *Balancer) insertReady(i int) {
	s := b.servers[i]
	switch {
	case s.State != Ready:
	case s.isOrigin:
		at, _ := slices.BinarySearch(b.origins, i)
		b.origins = slices.Insert(b.origins, at, i)
	default:
		at, _ := b.findReady(s.ID)
		b.ready = slices.Insert(b.ready, at, i)
		b.inFlight += s.inFlight
	}
}

// rebuildReady does so for all servers at once.
func (b *Balancer) rebuildReady() {
	for i, s := range b.servers {
		switch {
		case s == nil || s.State != Ready:
		case s.isOrigin:
			b.origins = append(b.origins, i)
		default:
			b.ready = append(b.ready, i)
			b.inFlight += s.inFlight
		}
	}
	slices.SortFunc(b.ready, func(x, y int) int { return strings.Compare(b.servers[x].ID, b.servers[y].ID) })
}
