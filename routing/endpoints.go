package routing

import (
	"slices"
	"strings"
)

// UpdateEndpoints reports an update of the endpoint list, or with Failed the
// failure of a call or of the subscription. Full and Incremental updates imply
// that the subscription is active.
func (b *Balancer) UpdateEndpoints(now Time, kind UpdateKind, endpoints []Endpoint) {
	b.advanceClock(now)
	if kind == Failed {
		b.resubscribe()
		return
	}
	b.subscribed = b.subscribed || kind != Cached
	if kind == Incremental {
		b.changeEndpoints(endpoints)
	} else {
		b.replaceEndpoints(endpoints)
	}
	b.invalidateRanges()
}

// changeEndpoints applies an incremental update.
func (b *Balancer) changeEndpoints(endpoints []Endpoint) {
	for _, e := range endpoints {
		b.removeReady(e.Server) // uses the old ID and state
		b.updateServer(e)
		b.insertReady(e.Server)
	}
}

// replaceEndpoints applies a full list.
func (b *Balancer) replaceEndpoints(endpoints []Endpoint) {
	for _, s := range b.servers {
		if s != nil {
			s.State = Gone
		}
	}
	for _, e := range endpoints {
		b.updateServer(e)
	}
	b.rebuildReady()
}

// updateServer applies a list entry to the state of its server. The state is reset
// if the server restarted or if the index now stands for another server. Only
// the count of attempts in flight is kept, since those attempts still end.
func (b *Balancer) updateServer(e Endpoint) {
	for e.Server >= len(b.servers) {
		b.servers = append(b.servers, nil)
	}
	s := b.servers[e.Server]
	if s == nil || s.StartedAt != e.StartedAt || s.ID != e.ID {
		replacement := b.newServer()
		if s != nil {
			replacement.inFlight = s.inFlight
		}
		s = replacement
		b.servers[e.Server] = s
	}
	s.Endpoint = e
	s.isOrigin = b.config.CacheAside && e.Model == b.config.OriginModel
	if s.isOrigin { // these quotas apply to caches only
		s.slowStartQuota = nil
		s.concurrencyQuota = nil
	}
}

// findReady returns the index in ready of the first cache with the given ID, or
// the index at which it would be inserted.
func (b *Balancer) findReady(id string) (index int, found bool) {
	return slices.BinarySearchFunc(b.ready, id, func(server int, id string) int {
		return strings.Compare(b.servers[server].ID, id)
	})
}

// removeReady removes a server from ready or origins, if its state is Ready.
func (b *Balancer) removeReady(server int) {
	if server >= len(b.servers) || b.servers[server] == nil || b.servers[server].State != Ready {
		return
	}
	s := b.servers[server]
	if s.isOrigin {
		b.origins = slices.DeleteFunc(b.origins, func(origin int) bool { return origin == server })
		return
	}
	index, found := b.findReady(s.ID)
	for ; found && index < len(b.ready) && b.servers[b.ready[index]].ID == s.ID; index++ {
		if b.ready[index] == server {
			b.ready = slices.Delete(b.ready, index, index+1)
			b.inFlight -= s.inFlight
			return
		}
	}
}

// insertReady inserts a server into ready or origins, if its state is Ready.
func (b *Balancer) insertReady(server int) {
	s := b.servers[server]
	if s.State != Ready {
		return
	}
	if s.isOrigin {
		index, _ := slices.BinarySearch(b.origins, server)
		b.origins = slices.Insert(b.origins, index, server)
		return
	}
	index, _ := b.findReady(s.ID)
	b.ready = slices.Insert(b.ready, index, server)
	b.inFlight += s.inFlight
}

// rebuildReady rebuilds ready and origins from all servers.
func (b *Balancer) rebuildReady() {
	b.ready = b.ready[:0]
	b.origins = b.origins[:0]
	b.inFlight = 0
	for server, s := range b.servers {
		switch {
		case s == nil || s.State != Ready:
		case s.isOrigin:
			b.origins = append(b.origins, server)
		default:
			b.ready = append(b.ready, server)
			b.inFlight += s.inFlight
		}
	}
	slices.SortFunc(b.ready, func(x, y int) int { return strings.Compare(b.servers[x].ID, b.servers[y].ID) })
}
