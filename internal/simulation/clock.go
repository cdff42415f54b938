package simulation

import (
	"container/heap"

	"github.com/thistlerudder/thistlerudder/routing"
)

// startTime is the clock's first value. It isn't 0, because an Endpoint.StartedAt of 0 means a start long ago.
const startTime = routing.Time(1_000_000)

// clock is the virtual clock of a simulation. It makes scheduled calls in the order of their times; calls scheduled for
// the same time are made in the order in which they were scheduled.
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

// callQueue is a heap of calls, with the next one first.
type callQueue []scheduledCall

// Len implements heap.Interface.
func (q callQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q callQueue) Less(i, j int) bool {
	return q[i].runAt < q[j].runAt || q[i].runAt == q[j].runAt && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *callQueue) Push(x any) { *q = append(*q, x.(scheduledCall)) }

// Pop implements heap.Interface.
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1].call = nil // lets the garbage collector free what the call refers to
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule makes a call after a delay; a negative delay counts as 0.
func (c *clock) schedule(delay routing.Time, call func()) {
	c.lastSequence++
	heap.Push(&c.queue, scheduledCall{c.now + max(0, delay), c.lastSequence, call})
}

// runUntil makes all calls that are scheduled up to and including end, and sets the clock to end.
func (c *clock) runUntil(end routing.Time) {
	for len(c.queue) > 0 && c.queue[0].runAt <= end {
		next := heap.Pop(&c.queue).(scheduledCall)
		c.now = next.runAt
		next.call()
	}
	c.now = end
}
