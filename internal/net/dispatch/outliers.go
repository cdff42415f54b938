package dispatch

import (
	"time"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// EjectedEndpoints returns the addresses, by id, of listed caches that the balancer has ejected as outliers. An
// origin's ejection is ignored.
func (d *Dispatcher) EjectedEndpoints() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	addresses := map[string]string{}
	for i := range d.endpoints.entries {
		e := &d.endpoints.entries[i]
		if e.id != "" && !e.gone && !e.origin && e.effectiveState == routing.Ready && d.balancer.IsEjected(i) {
			addresses[e.id] = e.address
		}
	}
	return addresses
}

// ReportProbeResult reports the result of another node's probe of an endpoint to the balancer. The result of the next probe
// is due within next. A result for an endpoint that is not listed with this address is ignored.
func (d *Dispatcher) ReportProbeResult(id, address string, succeeded bool, next time.Duration) {
	d.withLock("probe result", nil, func(now routing.Time) {
		i, known := d.endpoints.byID[id]
		if !known || d.endpoints.entries[i].gone || d.endpoints.entries[i].address != address {
			return
		}
		d.balancer.ReportProbeResult(now, i, succeeded, now+config.MillisecondsToTime(float64(next)/float64(time.Millisecond)))
	})
}
