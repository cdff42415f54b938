package dispatch

import (
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

const (
	// idRetention is how long the id of a request that may have run is refused after its last attempt has ended. A server may run an attempt that was
	// given up for as long as it was told, and a client that comes again does so within its own deadline, or soon after; both are 3 s at most.
	idRetention = 10 * time.Second

	// maxUploadTime bounds the time for which a request's body is sent.
	maxUploadTime = 15 * time.Minute
)

// reserveID makes other requests with the same trace id be refused, also by other processes of this node, and reports whether the id was free. Safe
// requests may run again at any time, so that only those in flight count, see requestTable. Called with the lock held.
func (d *Dispatcher) reserveID(r *PendingRequest) bool {
	if d.settings.IsSafe(r.Class) || faults.Disabled(faults.IDReservation) {
		return true
	}
	now := kernel.SinceBoot()
	longest := d.settings.MaxDeadline + AnswerOverrun + idRetention
	if r.BodyStream != nil {
		longest += maxUploadTime
	}
	return d.ids.Reserve(r.TraceID, now, now+longest)
}

// releaseID frees a request's trace id, after idRetention if the request may have run. Called with the lock held.
func (d *Dispatcher) releaseID(r *PendingRequest) {
	switch {
	case d.settings.IsSafe(r.Class):
	case r.mayHaveRun:
		now := kernel.SinceBoot()
		d.ids.Keep(r.TraceID, now, now+idRetention)
	default:
		d.ids.Release(r.TraceID)
	}
}
