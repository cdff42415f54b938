package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// maxStartReportDelay bounds how late an endpoint list may report the start of an endpoint. Discovery services detect
// it some seconds late.
const maxStartReportDelay = 30 * time.Second

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID, Address, Model string
	State              routing.State
	StartedMs          float64 // Unix time in milliseconds; 0: long ago
}

// endpointEntry is an endpoint as the list last described it, with this node's own state for it.
type endpointEntry struct {
	id, address    string // an empty id: the entry is free
	origin         bool
	model          int
	gone           bool          // no longer in the list
	listedState    routing.State // according to the list
	effectiveState routing.State // as reported to the balancer
	incarnation    uint64        // as in Attempt; connections are not reused by another incarnation
	replaced       *atomic.Bool  // set when the incarnation has ended: the endpoint is gone, has restarted or has another address
	listedStartMs  float64       // Endpoint.StartedMs
	startedAt      routing.Time  // listedStartMs by the balancer's clock, converted when it was received
	ejection       Ejection      // the latest one ordered by an operator
	ejectedAt      routing.Time  // ejection.EjectedAt by the balancer's clock; 0: never
	restoredAt     routing.Time  // ejection.RestoredAt by the balancer's clock; 0: not restored
	endpointLatency
}

// endpointIndex finds endpoints by the balancer's index and by id. It is guarded by the Dispatcher's lock.
type endpointIndex struct {
	entries         []endpointEntry // by index
	free            []int           // free indices, the next one last
	byID            map[string]int
	lastIncarnation uint64 // also the number of incarnations so far
}

// allocate assigns an index to an endpoint. Indices are reused, as endpoints with new ids are added all the time.
func (x *endpointIndex) allocate(id string) int {
	i := len(x.entries)
	if last := len(x.free) - 1; last >= 0 {
		i = x.free[last]
		x.free = x.free[:last]
	} else {
		x.entries = append(x.entries, endpointEntry{})
	}
	x.byID[id] = i
	return i
}

// releaseIfUnused frees an index once its endpoint is gone and no attempt at it is in flight.
func (x *endpointIndex) releaseIfUnused(i int) {
	e := &x.entries[i]
	if !e.gone || len(e.inFlight) > 0 || e.id == "" {
		return
	}
	delete(x.byID, e.id)
	*e = endpointEntry{}
	x.free = append(x.free, i)
}

// nextIncarnation returns a number that no endpoint has been assigned before.
func (x *endpointIndex) nextIncarnation() uint64 {
	x.lastIncarnation++
	return x.lastIncarnation
}

// UpdateEndpoints applies an update of the endpoint list and reports it to the balancer.
func (d *Dispatcher) UpdateEndpoints(kind routing.UpdateKind, listed []Endpoint) {
	d.withLock("endpoint list", nil, func(now routing.Time) {
		if kind == routing.Full || kind == routing.Cached {
			for i := range d.endpoints.entries {
				d.endpoints.entries[i].gone = true // reset below for those in the list
			}
		}
		update := make([]routing.Endpoint, 0, len(listed))
		for _, endpoint := range listed {
			if i, known := d.updateEndpoint(endpoint); known {
				update = append(update, d.routingEndpoint(i))
			}
		}
		if kind == routing.Full || kind == routing.Incremental {
			d.lastLiveUpdate = now
		}
		for i := range d.endpoints.entries {
			d.endpoints.entries[i].noteGone()
		}
		d.balancer.UpdateEndpoints(now, kind, update)
		for i := range d.endpoints.entries {
			d.endpoints.releaseIfUnused(i)
		}
		d.countEndpoints()
		if kind != routing.Failed && len(listed) > 0 {
			d.listReceived = true
		}
	})
}

// updateEndpoint applies one entry of the list and returns its index. It returns false for an endpoint that is gone and
// was not known. Called with the lock held.
func (d *Dispatcher) updateEndpoint(listed Endpoint) (int, bool) {
	i, known := d.endpoints.byID[listed.ID]
	if !known {
		if listed.State == routing.Gone {
			return 0, false
		}
		i = d.endpoints.allocate(listed.ID)
	}
	d.listedIDs.add(listed.ID)
	e := &d.endpoints.entries[i]
	d.applyListed(e, listed)
	if ejection, ejected := d.ejections[listed.ID]; ejected {
		d.applyEjection(e, ejection)
	}
	model, known := d.settings.Models[listed.Model]
	if !known {
		model = -1
	}
	e.model = model
	e.origin = d.settings.IsOrigin(model)
	return i, true
}

// applyListed copies id, address, start time and state from the list. An endpoint that has restarted or changed its
// address keeps its index and gets a new incarnation. Called with the lock held.
func (d *Dispatcher) applyListed(e *endpointEntry, listed Endpoint) {
	restarted := e.id != listed.ID || e.listedStartMs != listed.StartedMs
	if listed.State != routing.Gone && (restarted || e.address != listed.Address) {
		if restarted {
			e.startedAt = d.startTime(e, listed)
		}
		e.id = listed.ID
		e.address = listed.Address
		e.listedStartMs = listed.StartedMs
		e.startIncarnation(d.endpoints.nextIncarnation())
	}
	e.gone = listed.State == routing.Gone
	e.listedState = listed.State
}

// startIncarnation ends the present incarnation, if there is one, and starts another.
func (e *endpointEntry) startIncarnation(incarnation uint64) {
	if e.replaced != nil {
		e.replaced.Store(true)
	}
	e.incarnation = incarnation
	e.replaced = &atomic.Bool{}
}

// noteGone ends the incarnation of an endpoint that is gone: another process may come up at its address. An endpoint that is listed again goes on as the
// same incarnation, for attempts that start from then on.
func (e *endpointEntry) noteGone() {
	if e.replaced == nil || e.gone == e.replaced.Load() {
		return
	}
	if e.gone {
		e.replaced.Store(true)
	} else {
		e.replaced = &atomic.Bool{}
	}
}

// startTime returns when a listed endpoint started, by the balancer's clock. If a known endpoint gets a start time more
// than maxStartReportDelay before the latest live update, that update should have reported it already. The time is due
// to a wrong clock then, and the time of that update is used instead. Called with the lock held.
func (d *Dispatcher) startTime(e *endpointEntry, listed Endpoint) routing.Time {
	startedAt := d.fromUnixNow(listed.StartedMs)
	overdue := d.lastLiveUpdate-startedAt > config.MillisecondsToTime(float64(maxStartReportDelay/time.Millisecond))
	if e.id == listed.ID && startedAt > 0 && overdue {
		return d.lastLiveUpdate
	}
	return startedAt
}

// routingEndpoint returns an endpoint as it is reported to the balancer, and stores the reported state as
// effectiveState. Called with the lock held.
func (d *Dispatcher) routingEndpoint(i int) routing.Endpoint {
	e := &d.endpoints.entries[i]
	e.effectiveState = e.ejectedState()
	return routing.Endpoint{Server: i, ID: e.id, Model: e.model, State: e.effectiveState, StartedAt: e.effectiveStart()}
}
