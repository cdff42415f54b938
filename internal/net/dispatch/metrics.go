package dispatch

import (
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Metrics returns the totals since New. They may be read without the lock.
func (d *Dispatcher) Metrics() *metrics.Metrics { return d.metrics }

// AddOpenRequests changes the number of open requests: those received whose answer has not been written completely.
func (d *Dispatcher) AddOpenRequests(delta int64) { d.metrics.OpenRequests.Add(delta) }

// CountOutcome counts the outcome of a client's request, including one that was refused before Submit. It ignores requests
// of an unknown class.
func (d *Dispatcher) CountOutcome(class string, outcome Outcome) {
	outcomes := d.metrics.ForClass(class)
	if outcomes == nil {
		return
	}
	switch outcome {
	case Served:
		outcomes.Served.Add(1)
	case Rejected:
		outcomes.Rejected.Add(1)
	case Failed:
		outcomes.Failed.Add(1)
	}
}

// ReportWritten reports that the last byte of the attempt was written. An attempt is counted once.
func (a *Attempt) ReportWritten() {
	if a.pending != nil && !a.writtenCounted.Swap(true) {
		a.pending.dispatcher.metrics.AttemptsWritten.Add(1)
	}
}

// CountDenied counts an attempt that was not written, by reason. admission.Granted is not counted.
func (a *Attempt) CountDenied(reason admission.Reason) {
	if a.pending != nil && reason != admission.Granted {
		a.pending.dispatcher.metrics.WithheldAttempts[reason].Add(1)
	}
}

// CountEndpoints updates the metrics of listed and avoided endpoints. It is called periodically, as the balancer ejects
// and restores outliers between two updates of the list.
func (d *Dispatcher) CountEndpoints() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countEndpoints()
}

// countEndpoints is CountEndpoints with the lock held.
func (d *Dispatcher) countEndpoints() {
	listed, avoided := 0, 0
	for i := range d.endpoints.entries {
		e := &d.endpoints.entries[i]
		if e.id == "" || e.gone || e.origin {
			continue
		}
		listed++
		if e.effectiveState != routing.Ready || d.balancer.IsEjected(i) {
			avoided++
		}
	}
	d.metrics.ListedServers.Store(int64(listed))
	d.metrics.ServersOutOfUse.Store(int64(avoided))
}
