package dispatch

import (
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Ejection is an operator's order to send nothing to an endpoint. It identifies the endpoint by id, as addresses
// change.
type Ejection struct {
	ID         string
	EjectedAt  float64 // Unix time in milliseconds; 0: never
	RestoredAt float64 // Unix time in milliseconds; 0: still ejected
}

// SetEjections replaces the ejections. An endpoint without an entry in ejections keeps its state, also if it had one
// before.
func (d *Dispatcher) SetEjections(ejections []Ejection) {
	d.withLock("ejections", nil, func(now routing.Time) {
		d.ejections = make(map[string]Ejection, len(ejections))
		var update []routing.Endpoint
		for _, ejection := range ejections {
			d.ejections[ejection.ID] = ejection
			i, known := d.endpoints.byID[ejection.ID]
			if !known || d.endpoints.entries[i].ejection == ejection {
				continue
			}
			e := &d.endpoints.entries[i]
			d.applyEjection(e, ejection)
			// The endpoint may restart while it is ejected, so connections from before must not be used afterwards.
			d.transport.CloseIdleConnections(e.incarnation, 0)
			e.incarnation = d.endpoints.nextIncarnation()
			if !e.gone {
				update = append(update, d.routingEndpoint(i))
			}
		}
		if len(update) > 0 {
			d.balancer.UpdateEndpoints(now, routing.Incremental, update)
			d.countEndpoints()
		}
	})
}

// applyEjection stores an ejection and converts its times to the balancer's clock. Called with the lock held.
func (d *Dispatcher) applyEjection(e *endpointEntry, ejection Ejection) {
	if ejection.EjectedAt != e.ejection.EjectedAt {
		e.ejectedAt = d.fromUnixNow(ejection.EjectedAt)
	}
	if ejection.RestoredAt != e.ejection.RestoredAt {
		e.restoredAt = d.fromUnixNow(ejection.RestoredAt)
	}
	e.ejection = ejection
}

// ejectedState returns the state with the ejection applied: an ejected endpoint that is listed as ready is draining.
func (e *endpointEntry) ejectedState() routing.State {
	state := e.listedState
	if e.ejection.EjectedAt != 0 && e.ejection.RestoredAt == 0 && state == routing.Ready {
		state = routing.Draining
	}
	if state == routing.Draining && faults.Disabled(faults.DrainState) {
		return routing.Ready
	}
	return state
}

// effectiveStart returns the time from which slow start counts. For a restored endpoint that, according to the list,
// has not restarted since its ejection, that is when it was restored.
func (e *endpointEntry) effectiveStart() routing.Time {
	if e.ejection.EjectedAt != 0 && e.ejection.RestoredAt > 0 && e.startedAt < e.ejectedAt {
		return e.restoredAt
	}
	return e.startedAt
}
