package dispatch

import (
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Ejection is a server that operators took out, by its id: places are used anew, and addresses change.
type Ejection struct {
	ID         string
	EjectedAt  float64 // Unix time in milliseconds, as the list's start times
	RestoredAt float64 // when it was put back; 0: it is out
}

// maxListedIDs bounds the ids that are remembered after they have left the list: boxes come under new ones all day.
const maxListedIDs = 4096

// listedIDs remembers the latest ids that were listed.
type listedIDs struct {
	ids   map[string]bool
	order []string // a ring, once it is full
	next  int
}

func (h *listedIDs) add(id string) {
	if h.ids[id] {
		return
	}
	if len(h.order) < maxListedIDs {
		h.order = append(h.order, id)
	} else {
		delete(h.ids, h.order[h.next])
		h.order[h.next] = id
		h.next = (h.next + 1) % maxListedIDs
	}
	if h.ids == nil {
		h.ids = map[string]bool{}
	}
	h.ids[id] = true
}

// WasListed says whether an id was ever listed.
func (x *Dispatcher) WasListed(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, listed := x.places[id]
	return listed || x.heard.ids[id]
}

// SetEjections takes over the whole list of bans and late returns. A server that is not on it stays as it is.
func (x *Dispatcher) SetEjections(all []Ejection) {
	x.withLock("bans", nil, func(now routing.Time) {
		x.bans = make(map[string]Ejection, len(all))
		var list []routing.Endpoint
		for _, b := range all {
			x.bans[b.ID] = b
			i, known := x.places[b.ID]
			if !known || x.boxes[i].ejection == b {
				continue
			}
			p := &x.boxes[i]
			x.banned(p, b)
			// What was kept to it is of no further use: it is restarted meanwhile. This holds for both ways, lest a
			// shot goes on a connection from before.
			x.carrier.CloseIdle(p.incarnation, 0)
			x.told++
			p.incarnation = x.told
			if !p.gone {
				list = append(list, x.routingEndpoint(i))
			}
		}
		if len(list) > 0 {
			x.balancer.UpdateEndpoints(now, routing.Incremental, list)
			x.census()
		}
	})
}

// routingEndpoint gives a place as the module is to see it. What is banned drains, whatever the list says. What is back is cold:
// if the list has not told of a start since the ban, the return itself is the start.
func (x *Dispatcher) routingEndpoint(i int) routing.Endpoint {
	p := &x.boxes[i]
	p.effectiveState = p.listedState
	since := p.startedAt
	switch {
	case p.ejection.EjectedAt == 0:
	case p.ejection.RestoredAt == 0 && p.listedState == routing.Ready:
		p.effectiveState = routing.Draining
	case p.ejection.RestoredAt > 0 && p.startedAt < p.ejectedAt:
		since = p.restoredAt
	}
	if p.effectiveState == routing.Draining && faults.Without(faults.DrainNews) {
		p.effectiveState = routing.Ready
	}
	return routing.Endpoint{Server: i, ID: p.id, Model: p.model, State: p.effectiveState, StartedAt: since}
}

// banned takes over a ban or a return.
func (x *Dispatcher) banned(p *endpointEntry, ban Ejection) {
	if ban.EjectedAt != p.ejection.EjectedAt {
		p.ejectedAt = x.started(ban.EjectedAt)
	}
	if ban.RestoredAt != p.ejection.RestoredAt {
		p.restoredAt = x.started(ban.RestoredAt)
	}
	p.ejection = ban
}
