package dispatch

import (
	"container/heap"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

// alarm is a call that the balancer has scheduled with SetAlarm.
type alarm struct {
	fireAt routing.Time
	handle int
}

// alarmHeap implements heap.Interface, the earliest alarm first.
type alarmHeap []alarm

func (h alarmHeap) Len() int           { return len(h) }
func (h alarmHeap) Less(i, j int) bool { return h[i].fireAt < h[j].fireAt }
func (h alarmHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is called by package heap only.
func (h *alarmHeap) Push(x any) { *h = append(*h, x.(alarm)) }

// Pop is called by package heap only.
func (h *alarmHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// alarmQueue uses one timer for all alarms. It is guarded by the Dispatcher's lock.
type alarmQueue struct {
	pending alarmHeap
	timer   *time.Timer // calls Dispatcher.fireAlarms
}

// add schedules an alarm.
func (q *alarmQueue) add(fireAt routing.Time, handle int, c clock) {
	heap.Push(&q.pending, alarm{fireAt, handle})
	q.resetTimer(c)
}

// resetTimer sets the timer to the earliest alarm. The clock rounds down, so it fires at most a tick late and never
// early.
func (q *alarmQueue) resetTimer(c clock) {
	if len(q.pending) > 0 {
		q.timer.Reset(max(0, toDuration(q.pending[0].fireAt-c.now())))
	}
}

// fireAlarms calls the balancer for each alarm that is due.
func (d *Dispatcher) fireAlarms() {
	d.withLock("alarm", nil, func(now routing.Time) {
		defer d.alarms.resetTimer(d.clock)
		for len(d.alarms.pending) > 0 && d.alarms.pending[0].fireAt <= now {
			due := heap.Pop(&d.alarms.pending).(alarm)
			d.balancer.HandleAlarm(now, due.handle)
		}
	})
}
