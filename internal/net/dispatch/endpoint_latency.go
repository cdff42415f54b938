package dispatch

import (
	"slices"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

const (
	bypassFactor       = 2 // an attempt is bypassed after twice its endpoint's mean latency, if a later one was answered meanwhile
	meanLatencyDivisor = 8 // each answer moves the mean latency by an eighth of the difference
)

// endpointLatency detects attempts that are bypassed: later ones at the same endpoint have their answers already, so the
// connection may have gone silent. It is guarded by the Dispatcher's lock.
type endpointLatency struct {
	inFlight          []*Attempt    // those that the balancer waits for
	meanLatency       time.Duration // of complete answers, moving
	lastAnsweredStart time.Time     // start of the latest attempt that was answered
}

// trackAttempt adds an attempt to those in flight, and has it checked for being bypassed where it may be hedged. Called
// with the lock held.
func (d *Dispatcher) trackAttempt(a *Attempt) {
	e := &d.endpoints.entries[a.endpointIndex]
	e.inFlight = append(e.inFlight, a)
	if e.meanLatency > 0 && a.mayHedge() {
		a.bypassTimer = time.AfterFunc(bypassFactor*e.meanLatency, a.checkBypassed)
	}
}

// untrack removes an attempt from those in flight.
func (l *endpointLatency) untrack(a *Attempt) {
	l.inFlight = slices.DeleteFunc(l.inFlight, func(other *Attempt) bool { return other == a })
	if a.bypassTimer != nil {
		a.bypassTimer.Stop()
	}
}

// bypassed reports whether an attempt has waited for a multiple of the mean latency while one that started later was
// answered. An overloaded endpoint is slow for all attempts, so it bypasses few.
func (l *endpointLatency) bypassed(a *Attempt) bool {
	return a.startedAt.Before(l.lastAnsweredStart) && time.Since(a.startedAt) >= bypassFactor*l.meanLatency
}

// checkBypassed reports a bypassed attempt to the balancer as over. It may just be slow, so it stays in flight, and its
// answer counts if it comes first.
func (a *Attempt) checkBypassed() {
	d := a.pending.dispatcher
	d.withLock("bypass check", a.pending, func(routing.Time) {
		if !a.reported && d.endpoints.entries[a.endpointIndex].bypassed(a) {
			a.report(Bypassed)
		}
	})
}

// noteResult learns from an answer, unless the endpoint has restarted or moved since the attempt.
func (e *endpointEntry) noteResult(a *Attempt, result AttemptResult) {
	if e.incarnation != a.Incarnation || result != Complete && result != NotFound {
		return
	}
	if result == Complete {
		e.meanLatency += (time.Since(a.startedAt) - e.meanLatency) / meanLatencyDivisor
	}
	if a.startedAt.After(e.lastAnsweredStart) {
		e.lastAnsweredStart = a.startedAt
	}
	for _, other := range e.inFlight {
		if other.bypassTimer != nil && e.bypassed(other) {
			other.bypassTimer.Reset(0)
		}
	}
}
