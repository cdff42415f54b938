package simulation

import (
	"container/heap"

	"github.com/thistlerudder/thistlerudder/routing"
)

// origo is the clock's start: not 0, which stands for long ago on the box list.
const origo = routing.Time(1_000_000)

// clock runs what is due, in the order of time, and what is due at once in the order in which it was asked for.
type clock struct {
	now   routing.Time
	asked uint64
	queue agenda
}

type due struct {
	at    routing.Time
	asked uint64
	do    func()
}

type agenda []due

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].asked < a[j].asked
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push is for container/heap; so is Pop.
func (a *agenda) Push(x any) { *a = append(*a, x.(due)) }

// Pop takes the last one.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	(*a)[len(*a)-1].do = nil
	*a = (*a)[:len(*a)-1]
	return last
}

// in asks for something after a span.
func (c *clock) in(span routing.Time, do func()) {
	c.asked++
	heap.Push(&c.queue, due{c.now + max(0, span), c.asked, do})
}

// run plays all that is due up to a time.
func (c *clock) run(until routing.Time) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		d := heap.Pop(&c.queue).(due)
		c.now = d.at
		d.do()
	}
	c.now = until
}
