package simulation

import (
	"strconv"

	"github.com/thistlerudder/thistlerudder/routing"
)

// request is what a client wants; it may ask several times for it.
type request struct {
	key     uint64
	write   bool
	node    int
	arrived routing.Time // its first lookup
	tries   int
}

// pendingRequest is one try of a client to get its request served, as a node holds it.
type pendingRequest struct {
	*request
	index int
	limit routing.Time
	shots []*attempt
	out   int
	over  bool
}

type attempt struct {
	server  *server
	settled bool
}

// node carries out what its policy orders.
type node struct {
	w       *testbed
	number  int
	policy  Policy
	lookups []*pendingRequest
	free    []int
	known   map[int]routing.Endpoint // the list as told, where the fleet's trials go by it
	drained map[int]routing.Time
}

func (w *testbed) newNode(number int, seed uint64) *node {
	n := &node{w: w, number: number, known: map[int]routing.Endpoint{}, drained: map[int]routing.Time{}}
	n.policy = w.maker(n, seed, w.clock.now, w.e)
	n.list(routing.Cached, w.boxes())
	return n
}

// list tells the policy, and notes from when on a server is to be spared.
func (n *node) list(how routing.UpdateKind, boxes []routing.Endpoint) {
	for _, b := range boxes {
		if b.State == routing.Ready {
			delete(n.drained, b.Server)
		} else if _, since := n.drained[b.Server]; !since {
			n.drained[b.Server] = n.w.clock.now
		}
		if n.w.e.Fleet.Probe {
			n.known[b.Server] = b
		}
	}
	n.policy.UpdateEndpoints(n.w.clock.now, how, boxes)
}

// take brings a lookup.
func (n *node) take(r *request) {
	l := &pendingRequest{request: r, index: len(n.lookups), limit: n.w.clock.now + n.w.e.Demand.Limit.ticks()}
	if last := len(n.free) - 1; last >= 0 {
		l.index, n.free = n.free[last], n.free[:last]
		n.lookups[l.index] = l
	} else {
		n.lookups = append(n.lookups, l)
	}
	r.tries++
	n.w.check.taken(l)
	if n.w.division != nil && r.write {
		n.w.division.wants(n.number)
	}
	in := routing.Request{Tenant: -1, Key: strconv.FormatUint(r.key, 10), Deadline: l.limit, Write: r.write}
	if r.write {
		in.Class = 1
	}
	n.policy.StartRequest(n.w.clock.now, l.index, in)
}

// Send is for routing.Host, as all below.
func (n *node) Send(lkp, to int, timeout routing.Time) {
	w, l := n.w, n.lookups[lkp]
	s := &attempt{server: w.servers[to]}
	if r, is := n.policy.(ejector); is && s.server.silent && r.IsEjected(to) {
		w.sick.Own++
	}
	w.check.shot(n, l, s)
	number := len(l.shots)
	l.shots = append(l.shots, s)
	l.out++
	settle := func(code routing.Result) {
		if s.settled {
			return
		}
		s.settled = true
		l.out--
		if code == routing.Served && !l.over {
			n.end(l, resolved, 0)
		}
		n.policy.AttemptDone(w.clock.now, lkp, number, code, l.over)
		n.forget(l)
	}
	way := w.e.Network.OneWay.ticks()
	w.clock.in(way, func() {
		w.check.arrived(s.server)
		counted := w.division != nil && s.server.origin
		if counted {
			w.division.fetched(n.number)
		}
		s.server.take(job{key: l.key, write: l.write, done: func(code routing.Result) {
			if counted {
				w.division.gone()
			}
			w.worked(l, s, code)
			w.clock.in(way, func() { settle(code) })
		}})
	})
	w.clock.in(timeout, func() { settle(routing.TimedOut) })
}

// Reject turns a lookup away; its client may come back.
func (n *node) Reject(lkp int, retryAfter routing.Time) { n.end(n.lookups[lkp], deferred, retryAfter) }

// Fail gives a lookup up.
func (n *node) Fail(lkp int) { n.end(n.lookups[lkp], abandoned, 0) }

// Subscribe asks for the list; what changes comes from then on.
func (n *node) Subscribe() {
	n.w.clock.in(n.w.delay(), func() { n.list(routing.Full, n.w.boxes()) })
}

// CloseIdleConnections does nothing: connections cost nothing here.
func (n *node) CloseIdleConnections(int, int) {}

// SetAlarm books an alarm.
func (n *node) SetAlarm(at routing.Time, handle int) {
	n.w.clock.in(at-n.w.clock.now, func() { n.policy.HandleAlarm(n.w.clock.now, handle) })
}

func (n *node) end(l *pendingRequest, how outcome, retryAfter routing.Time) {
	n.w.check.ended(l, how)
	l.over = true
	n.w.ended(l, how, retryAfter)
	n.forget(l)
}

// forget gives a lookup's index back once it is over and nothing of it is out.
func (n *node) forget(l *pendingRequest) {
	if l.over && l.out == 0 && n.lookups[l.index] == l {
		n.lookups[l.index] = nil
		n.free = append(n.free, l.index)
	}
}
