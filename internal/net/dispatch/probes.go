package dispatch

import (
	"time"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// EjectedEndpoints gives the addresses of caches that are listed and rest here, by id. The origin is asked whatever was seen of it.
func (x *Dispatcher) EjectedEndpoints() map[string]string {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := map[string]string{}
	for i := range x.boxes {
		if p := &x.boxes[i]; p.id != "" && !p.gone && !p.origin && p.effectiveState == routing.Ready && x.balancer.IsEjected(i) {
			all[p.id] = p.address
		}
	}
	return all
}

// ProbeResult tells the module how another node's trial of a server went, and within which time it tells of the next.
func (x *Dispatcher) ProbeResult(id, address string, well bool, next time.Duration) {
	x.withLock("tried", nil, func(now routing.Time) {
		if i, known := x.places[id]; known && !x.boxes[i].gone && x.boxes[i].address == address {
			x.balancer.ProbeResult(now, i, well, now+config.Ticks(float64(next)/float64(time.Millisecond)))
		}
	})
}
