package changelog

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A model of a small cluster: a leader and its predecessor or successor, two relays, and nodes. Consensus is taken as given: a
// change of the leader is agreed at once, and an earlier leader can't confirm its leadership. The tests explore the rest: requests to
// any parent, responses that are late, lost or garbled, restarts with and without a snapshot, and clock drift.

const (
	step           = 24 // units of true time
	slowRate       = 18 // of a slow clock in a step, at the bound of drift
	fastRate       = 30
	drift          = 0.25
	minInterval    = 18 // between two requests: at least one step
	oneChangeBytes = 20 // MaxBytes of a request: about one change
)

// agreed is an agreed change, and when that was.
type agreed struct {
	Change
	at Time
}

// source is a leader, or an earlier one that doesn't know it.
type source struct {
	*Log
	confirmed Time // when it was last the leader for certain
}

// message is a request in flight, and then its response.
type message struct {
	from, parent int
	request      Request
	response     *Response
}

// child is a relay or a node, and what its follower's host was notified of.
type child struct {
	cluster  *testCluster
	n        int
	follower *Follower
	wakeAt   Time
	last     Position
	events   []uint64    // revisions of the events applied in epoch,
	missed   [][2]uint64 // and the ranges of revisions reported as missed
	epoch    uint64      // of events and missed
}

type bounds struct{ steps, agrees, lost, late, deposed, founded, restarts, garbled int }

type testCluster struct {
	unsafe        DisabledSafeguards
	ring          int // bytes of the sources' and the relays'
	now           Time
	leader        int
	sources       [2]source
	agreedByEpoch map[uint64][]agreed
	children      []*child // the relays come first
	messages      []message
	left          bounds
	fault         string
	eventsApplied int // at nodes, in all
	eventsMissed  int // ranges reported as missed at nodes
}

const relays = 2

func newTestCluster(u DisabledSafeguards, ring, nodes int, left bounds) *testCluster {
	w := &testCluster{unsafe: u, ring: ring, agreedByEpoch: map[uint64][]agreed{1: nil}, left: left}
	for i := range w.sources {
		w.sources[i].Log = NewLog(ring)
		w.sources[i].disabled = u
	}
	w.sources[0].StartEpoch(1)
	for n := range relays + nodes {
		c := &child{cluster: w, n: n}
		w.children = append(w.children, c)
		c.start(nil)
	}
	return w
}

// localNow returns a child's clock: those of the nodes and the second relay are slow.
func (c *child) localNow() Time {
	if c.n == 0 {
		return c.cluster.now / step * fastRate
	}
	return c.cluster.now / step * slowRate
}

func (c *child) start(file *Follower) {
	t := Config{ParentCount: 2, HomeParentCount: 2, MinRequestInterval: minInterval, RetryBackoff: minInterval, MaxParentAge: 4 * step, MaxResponseBytes: oneChangeBytes, MaxDriftFraction: drift, JitterSeed: uint64(c.n)}
	if c.n < relays {
		t.RingBytes = c.cluster.ring
	}
	var saved *Snapshot
	if file != nil {
		saved = &Snapshot{file.position, file.state}
	} else {
		c.events, c.missed, c.epoch = nil, nil, 0
	}
	c.follower = NewFollower(c, c.localNow(), t, saved, c.cluster.unsafe)
	c.last = c.follower.position
}

// A child is the Host of its follower.

func (c *child) Send(parent int, a Request) {
	c.cluster.messages = append(c.cluster.messages, message{from: c.n, parent: parent, request: a})
}
func (c *child) SetAlarm(at Time) { c.wakeAt = at }
func (c *child) StateReplaced()   {}

func (c *child) startEpoch(epoch uint64) {
	if c.epoch != epoch {
		c.events, c.missed, c.epoch = nil, nil, epoch
	}
}

func (c *child) Apply(x Change) {
	if !x.Event {
		return
	}
	c.startEpoch(c.follower.position.Epoch)
	if n := len(c.events); n > 0 && c.events[n-1] >= x.Revision {
		c.cluster.fault = fmt.Sprintf("child %d is passed event %d after %d", c.n, x.Revision, c.events[n-1])
	}
	c.events = append(c.events, x.Revision)
	if c.n >= relays {
		c.cluster.eventsApplied++
	}
}

func (c *child) EventsMissed(epoch, after, upTo uint64) {
	if l := c.cluster.sources[c.cluster.leader].floor; c.last.Epoch == epoch && l.Epoch == epoch && c.last.Revision >= l.Revision && after < upTo {
		c.fail("at %d: events up to %d reported as missed, though the leader has them from %d on", c.last.Revision, upTo, l.Revision)
	}
	if c.startEpoch(epoch); c.n >= relays {
		c.cluster.eventsMissed++
	}
	c.missed = append(c.missed, [2]uint64{after, upTo})
}

// The changes that are agreed, over and over: events, keys in two buckets, and one that is deleted.
var pattern = []Change{{Topic: "p", Key: "x", Event: true}, {Topic: "c", Key: "a", Value: []byte("1")}, {Topic: "c", Key: "b", Value: []byte("2")},
	{Topic: "p", Key: "y", Event: true}, {Topic: "c", Key: "a", Value: []byte("3")}, {Topic: "c", Key: "b", Deleted: true}}

func (w *testCluster) agree() {
	l := w.sources[w.leader].Log
	c := pattern[l.position.Revision%uint64(len(pattern))]
	c.Revision = l.position.Revision + 1
	if err := l.Add(c); err != nil {
		w.fault = err.Error()
	}
	w.agreedByEpoch[l.position.Epoch] = append(w.agreedByEpoch[l.position.Epoch], agreed{c, w.now})
}

// stateAt returns the agreed state at a position.
func (w *testCluster) stateAt(p Position) map[string]Change {
	state := map[string]Change{}
	for _, a := range w.agreedByEpoch[p.Epoch][:min(int(p.Revision), len(w.agreedByEpoch[p.Epoch]))] {
		if a.Event {
			continue
		}
		if delete(state, stateKey(a.Change)); !a.Deleted {
			state[stateKey(a.Change)] = a.Change
		}
	}
	return state
}

// move is one thing that can happen.
type move struct {
	what string
	n    int
}

// moves returns everything that can happen now.
func (w *testCluster) moves() (all []move) {
	add := func(what string, n int) { all = append(all, move{what, n}) }
	if w.left.steps > 0 {
		add("tick", 0)
	}
	if w.left.agrees > 0 {
		add("agree", 0)
	}
	if w.left.deposed > 0 {
		add("depose", 0)
	}
	if w.left.founded > 0 {
		add("found", 0)
	}
	for i, m := range w.messages {
		if m.response == nil {
			add("hear", i)
		} else {
			add("tell", i)
			if w.left.garbled > 0 && len(m.response.Changes) > 0 {
				add("garble", i)
			}
		}
		c := w.children[m.from]
		if w.left.lost > 0 {
			add("lose", i)
		}
		if w.left.late > 0 && c.follower.requestInFlight && c.follower.requestID == m.request.ID {
			add("late", i)
		}
	}
	if w.left.restarts > 0 {
		for n := range w.children {
			add("restart", n)
			if n >= relays || w.unsafe.StartRelayWithoutRing {
				add("resume", n)
			}
		}
	}
	return all
}

// play makes it happen, and checks all invariants.
func (w *testCluster) play(m move) {
	take := func() message {
		x := w.messages[m.n]
		w.messages = slices.Delete(w.messages, m.n, m.n+1)
		return x
	}
	if m.n >= len(w.messages) && m.what != "restart" && m.what != "resume" && m.what != "tick" && m.what != "agree" && m.what != "depose" && m.what != "found" {
		return // of a given history, in which no such message is in flight any more
	}
	switch m.what {
	case "tick":
		w.left.steps--
		w.now += step
		w.sources[w.leader].confirmed = w.now
		for _, c := range w.children {
			if c.localNow() >= c.wakeAt {
				c.follower.Alarm(c.localNow())
			}
		}
	case "agree":
		w.left.agrees--
		w.agree()
	case "depose":
		w.left.deposed--
		was := w.sources[w.leader].Log
		w.sources[w.leader].confirmed = w.now
		w.leader = 1 - w.leader
		w.sources[w.leader].Log = was.clone()
	case "found": // the leader lost its stored state; the other one may still serve the epoch before
		w.left.founded--
		epoch := max(w.sources[0].position.Epoch, w.sources[1].position.Epoch) + 1
		was := w.sources[w.leader].clone()
		w.sources[w.leader].StartEpoch(epoch)
		w.agreedByEpoch[epoch] = nil
		w.sources[1-w.leader] = source{was, w.now}
	case "hear":
		x := &w.messages[m.n]
		var a Response
		if x.from >= relays {
			p := w.children[x.parent].follower
			a = p.Serve(w.children[x.parent].localNow(), x.request)
		} else {
			s := w.sources[x.parent]
			age := Time(0)
			if x.parent != w.leader && !w.unsafe.IgnoreParentAge {
				age = w.now - s.confirmed
			}
			a = s.Respond(x.request, age)
		}
		x.response = &a
	case "garble":
		w.left.garbled--
		a := *w.messages[m.n].response
		a.Changes = a.Changes[1:]
		w.messages[m.n].response = &a
	case "tell":
		x := take()
		c := w.children[x.from]
		_ = c.follower.HandleResponse(c.localNow(), x.request.ID, *x.response)
	case "lose":
		w.left.lost--
		x := take()
		c := w.children[x.from]
		c.follower.HandleTimeout(c.localNow(), x.request.ID)
	case "late":
		w.left.late--
		x := w.messages[m.n]
		c := w.children[x.from]
		c.follower.HandleTimeout(c.localNow(), x.request.ID)
	case "restart", "resume":
		w.left.restarts--
		c := w.children[m.n]
		w.messages = slices.DeleteFunc(w.messages, func(x message) bool { return x.from == c.n })
		was := c.follower
		if m.what == "restart" {
			was = nil
		}
		c.start(was)
	}
	for _, c := range w.children {
		c.check()
	}
}

func (c *child) fail(format string, args ...any) {
	if c.cluster.fault == "" {
		c.cluster.fault = fmt.Sprintf("child %d: ", c.n) + fmt.Sprintf(format, args...)
	}
}

// check checks the invariants.
func (c *child) check() {
	p := c.follower.position
	if p.Epoch < c.last.Epoch || p.Epoch == c.last.Epoch && p.Revision < c.last.Revision {
		c.fail("from %+v back to %+v", c.last, p)
	}
	c.last = p
	truth := c.cluster.agreedByEpoch[p.Epoch]
	if int(p.Revision) > len(truth) {
		c.fail("at %+v, which was never agreed", p)
		return
	}
	for _, a := range truth[:p.Revision] {
		if !a.Event {
			continue
		}
		told := c.epoch == p.Epoch && slices.Contains(c.events, a.Revision)
		for _, m := range c.missed {
			told = told || c.epoch == p.Epoch && m[0] < a.Revision && a.Revision <= m[1]
		}
		if !told {
			c.fail("at %d: event %d was neither applied nor reported as missed", p.Revision, a.Revision)
		}
	}
	if want := c.cluster.stateAt(p); !maps.EqualFunc(c.follower.state, want, func(x, y Change) bool {
		return x.Revision == y.Revision && x.Topic == y.Topic && x.Key == y.Key && bytes.Equal(x.Value, y.Value) && x.Event == y.Event && x.Deleted == y.Deleted
	}) {
		c.fail("state %v at %d, expected %v", c.follower.state, p.Revision, want)
	}
	if age, known := c.follower.Age(c.localNow()); known {
		for epoch, all := range c.cluster.agreedByEpoch {
			for _, a := range all {
				if a.at < c.cluster.now-age && (epoch > p.Epoch || epoch == p.Epoch && a.Revision > p.Revision) {
					c.fail("age is at most %d, but revision %d of epoch %d is missing, agreed %d ago", age, a.Revision, epoch, c.cluster.now-a.at)
				}
			}
		}
	}
	if most := max(c.follower.config.RingBytes, 0); c.follower.ringBytes > most || len(c.follower.ring)*changeOverheadBytes > most {
		c.fail("%d bytes of a ring, want at most %d", c.follower.ringBytes, most)
	}
}

func (l *Log) clone() *Log {
	o := *l
	o.ring, o.chains, o.state = slices.Clone(l.ring), slices.Clone(l.chains), maps.Clone(l.state)
	return &o
}

func (w *testCluster) clone() *testCluster {
	o := *w
	o.agreedByEpoch = map[uint64][]agreed{}
	for e, all := range w.agreedByEpoch {
		o.agreedByEpoch[e] = slices.Clone(all)
	}
	for i := range o.sources {
		o.sources[i].Log = w.sources[i].clone()
	}
	o.messages = slices.Clone(w.messages) // responses are never modified
	o.children = nil
	for _, c := range w.children {
		x := *c
		x.cluster, x.events, x.missed = &o, slices.Clone(c.events), slices.Clone(c.missed)
		f := *c.follower
		f.Log, f.host, f.stagedState = c.follower.clone(), &x, maps.Clone(c.follower.stagedState)
		x.follower = &f
		o.children = append(o.children, &x)
	}
	return &o
}

// fingerfingerprint returns a hash of everything that tells states apart.
func (w *testCluster) fingerprint(h *xxhash.Digest) uint64 {
	h.Reset()
	p := func(args ...any) { _, _ = fmt.Fprintln(h, args...) }
	p(w.now, w.leader, w.left)
	for _, epoch := range slices.Sorted(maps.Keys(w.agreedByEpoch)) {
		for _, a := range w.agreedByEpoch[epoch] { // the change itself follows from its revision
			p(epoch, a.at)
		}
	}
	for _, s := range w.sources {
		p(s.position, s.floor, s.confirmed)
	}
	for _, c := range w.children {
		f, staged := c.follower, []string(nil) // the state follows from the position: that was checked
		for _, key := range slices.Sorted(maps.Keys(f.stagedState)) {
			staged = append(staged, fmt.Sprint(key, f.stagedState[key].Revision))
		}
		p(f.stagedState == nil, c.wakeAt, c.events, c.missed, c.epoch, f.position, f.floor, staged, f.ready, f.parentIndex, f.leftHomeRegionAt, f.requestInFlight, f.sentAt, f.nextRequestAt, f.consecutiveFailures, f.randomDraws,
			f.ageKnown, f.ageMeasuredAt, f.parentAge)
	}
	for _, m := range w.messages {
		p(m.from, m.parent, w.children[m.from].follower.requestID-m.request.ID, m.request.Position, m.request.Digests)
		if m.response != nil {
			p(*m.response)
		}
	}
	return h.Sum64()
}
