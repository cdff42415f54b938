package dispatch

import (
	"slices"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

const (
	bypassFactor       = 2 // an attempt is bypassed after twice its endpoint's mean latency, if a later one was answered
	meanLatencyDivisor = 8 // each answer changes the mean latency by an eighth of the difference
)

// endpointLatency detects bypassed attempts: later ones at the same endpoint have been answered, so the connection of a
// bypassed attempt may be dead without having been closed. It is guarded by the Dispatcher's lock.
type endpointLatency struct {
	inFlight          []*Attempt    // attempts whose result is not reported to the balancer yet
	meanLatency       time.Duration // moving average over complete answers
	lastAnsweredStart time.Time     // latest start among the answered attempts
}

// trackAttempt adds an attempt to those in flight. If it may be hedged, it schedules checkBypassed. Called with the
// lock held.
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

// bypassed reports whether an attempt has waited for bypassFactor times the mean latency while one that started later
// was answered. An overloaded endpoint is slow for all attempts, so few of them are bypassed.
func (l *endpointLatency) bypassed(a *Attempt) bool {
	return a.startedAt.Before(l.lastAnsweredStart) && time.Since(a.startedAt) >= bypassFactor*l.meanLatency
}

// checkBypassed reports the attempt to the balancer as Bypassed if it is. The attempt may merely be slow, so it is not
// canceled, and its answer is delivered if it is the request's first.
func (a *Attempt) checkBypassed() {
	d := a.pending.dispatcher
	d.withLock("bypass check", a.pending, func(routing.Time) {
		if !a.reported && !a.delivered && d.endpoints.entries[a.endpointIndex].bypassed(a) {
			a.report(Bypassed)
		}
	})
}

// noteResult updates the latency state with an answer, unless the endpoint's incarnation has changed since the attempt
// started, and rechecks the attempts in flight at once.
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
