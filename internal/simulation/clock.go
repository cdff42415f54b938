package simulation

import (
	"container/heap"

	"github.com/thistlerudder/thistlerudder/routing"
)

// origo is the clock's start: not 0, which stands for long ago on the box list.
const startTime = routing.Time(1_000_000)

// clock runs what is due, in the order of time, and what is due at once in the order in which it was asked for.
type clock struct {
	now          routing.Time
	lastSequence uint64
	queue        callQueue
}

type scheduledCall struct {
	runAt    routing.Time
	sequence uint64
	call     func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].runAt < q[j].runAt || q[i].runAt == q[j].runAt && q[i].sequence < q[j].sequence
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap; so is Pop.
func (q *callQueue) Push(x any) { *q = append(*q, x.(scheduledCall)) }

// Pop takes the last one.
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1].call = nil
	*q = (*q)[:len(*q)-1]
	return last
}

// in asks for something after a span.
func (c *clock) schedule(delay routing.Time, call func()) {
	c.lastSequence++
	heap.Push(&c.queue, scheduledCall{c.now + max(0, delay), c.lastSequence, call})
}

// run plays all that is due up to a time.
func (c *clock) runUntil(end routing.Time) {
	for len(c.queue) > 0 && c.queue[0].runAt <= end {
		next := heap.Pop(&c.queue).(scheduledCall)
		c.now = next.runAt
		next.call()
	}
	c.now = end
}
