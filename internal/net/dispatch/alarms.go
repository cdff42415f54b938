package dispatch

import (
	"container/heap"

	"github.com/thistlerudder/thistlerudder/routing"
)

// alarm is one that the module asked for.
type alarm struct {
	at     routing.Time
	handle int
}

// alarms is a heap, the earliest first.
type alarms []alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push is for container/heap; so is Pop.
func (a *alarms) Push(x any) { *a = append(*a, x.(alarm)) }

// Pop takes the last one.
func (a *alarms) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// wake books an alarm and sets the one timer to the earliest. Called with the lock held.
func (x *Dispatcher) wake(at routing.Time, handle int) {
	heap.Push(&x.alarms, alarm{at, handle})
	x.windUp()
}

func (x *Dispatcher) windUp() {
	if len(x.alarms) > 0 {
		// The clock rounds down, so this is at most one tick late and never early.
		x.timer.Reset(max(0, toDuration(x.alarms[0].at-x.clock.now())))
	}
}

// ring tells the module of every alarm that is due.
func (x *Dispatcher) ring() {
	x.withLock("alarm", nil, func(now routing.Time) {
		defer x.windUp()
		for len(x.alarms) > 0 && x.alarms[0].at <= now {
			x.balancer.Alarm(now, heap.Pop(&x.alarms).(alarm).handle)
		}
	})
}
