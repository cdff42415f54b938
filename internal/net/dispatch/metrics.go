package dispatch

import (
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Metrics gives the totals since the start.
func (x *Dispatcher) Metrics() *metrics.Metrics { return x.metrics }

// AddOpen counts lookups that came, or, with a negative number, that have been answered whole.
func (x *Dispatcher) AddOpen(by int64) { x.metrics.Open.Add(by) }

// CountEnd counts how a client's lookup ended, also of one that was turned away before it was taken. What names no
// namespace of the terms is not counted.
func (x *Dispatcher) CountEnd(namespace string, o Outcome) {
	ends := x.metrics.Of(namespace)
	if ends == nil {
		return
	}
	switch o {
	case Served:
		ends.Served.Add(1)
	case Rejected:
		ends.Rejected.Add(1)
	case Failed:
		ends.Failed.Add(1)
	}
}

// Written says that the shot's last byte went out; it counts once.
func (s *Attempt) Written() {
	if s.pending != nil && !s.counted.Swap(true) {
		s.pending.dispatcher.metrics.Written.Add(1)
	}
}

// CountEndpoints counts the box list for the figures: suspects come and go between two lists.
func (x *Dispatcher) CountEndpoints() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.census()
}

// census is called with the lock held.
func (x *Dispatcher) census() {
	listed, avoided := 0, 0
	for i := range x.boxes {
		p := &x.boxes[i]
		if p.id == "" || p.gone || p.origin {
			continue
		}
		listed++
		if p.effectiveState != routing.Ready || x.balancer.IsEjected(i) {
			avoided++
		}
	}
	x.metrics.Listed.Store(int64(listed))
	x.metrics.Avoided.Store(int64(avoided))
}
