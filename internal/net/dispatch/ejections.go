package dispatch

import (
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Ejection is an operator's order to send nothing to an endpoint. It names the endpoint by its id, as addresses change.
type Ejection struct {
	ID         string
	EjectedAt  float64 // Unix time in milliseconds; 0: never
	RestoredAt float64 // Unix time in milliseconds; 0: it is still ejected
}

// SetEjections replaces the ejections. An endpoint that ejections does not name stays as it is.
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
			// The endpoint restarts while it is ejected, so connections from before must not be used after it.
			d.transport.CloseIdle(e.incarnation, 0)
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

// applyEjection takes over an ejection or its end. Called with the lock held.
func (d *Dispatcher) applyEjection(e *endpointEntry, ejection Ejection) {
	if ejection.EjectedAt != e.ejection.EjectedAt {
		e.ejectedAt = d.fromUnixNow(ejection.EjectedAt)
	}
	if ejection.RestoredAt != e.ejection.RestoredAt {
		e.restoredAt = d.fromUnixNow(ejection.RestoredAt)
	}
	e.ejection = ejection
}

// ejectedState returns the listed state, except that an ejected endpoint which the list calls ready is draining.
func (e *endpointEntry) ejectedState() routing.State {
	state := e.listedState
	if e.ejection.EjectedAt != 0 && e.ejection.RestoredAt == 0 && state == routing.Ready {
		state = routing.Draining
	}
	if state == routing.Draining && faults.Without(faults.DrainNews) {
		return routing.Ready
	}
	return state
}

// effectiveStart returns the start that slow start counts from. A restored endpoint that the list does not report as
// restarted since its ejection starts when it is restored.
func (e *endpointEntry) effectiveStart() routing.Time {
	if e.ejection.EjectedAt != 0 && e.ejection.RestoredAt > 0 && e.startedAt < e.ejectedAt {
		return e.restoredAt
	}
	return e.startedAt
}
