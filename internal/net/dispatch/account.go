package dispatch

import (
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Figures gives the totals since the start.
func (x *Exchange) Figures() *metrics.Figures { return x.figures }

// Open counts lookups that came, or, with a negative number, that have been answered whole.
func (x *Exchange) Open(by int64) { x.figures.Open.Add(by) }

// Ended counts how a client's lookup ended, also of one that was turned away before it was taken. What names no
// namespace of the terms is not counted.
func (x *Exchange) Ended(namespace string, o Outcome) {
	ends := x.figures.Of(namespace)
	if ends == nil {
		return
	}
	switch o {
	case Resolved:
		ends.Resolved.Add(1)
	case Deferred:
		ends.Deferred.Add(1)
	case Abandoned:
		ends.Abandoned.Add(1)
	}
}

// Written says that the shot's last byte went out; it counts once.
func (s *Shot) Written() {
	if s.ticket != nil && !s.written.Swap(true) {
		s.ticket.x.figures.Written.Add(1)
	}
}

// Census counts the box list for the figures: suspects come and go between two lists.
func (x *Exchange) Census() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.census()
}

// census is called with the lock held.
func (x *Exchange) census() {
	listed, avoided := 0, 0
	for i := range x.boxes {
		p := &x.boxes[i]
		if p.id == "" || p.gone || p.origin {
			continue
		}
		listed++
		if p.state != routing.Ready || x.balancer.Rests(i) {
			avoided++
		}
	}
	x.figures.Listed.Store(int64(listed))
	x.figures.Avoided.Store(int64(avoided))
}
