package changelog

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A small fleet for the tests: a leader and one that was or will be, two relays, and nodes. Agreement is taken as given: what
// the leader agrees on is so at once, and one that leads no more can't confirm it. What is explored is all beside it: who asks
// whom, what is late, lost or garbled, who starts again with what, and how the clocks run.

const (
	step     = 24 // units of true time
	slowRate = 18 // of a slow clock in a step, at the bound of drift
	fastRate = 30
	drift    = 0.25
	every    = 18 // between two askings: a step at the least
	oneMost  = 20 // bytes of an answer: about one change
)

// agreed is one change of the truth, and when it was.
type agreed struct {
	Change
	at Time
}

// source is one who leads, or thinks so.
type source struct {
	*Log
	confirmed Time // when it last led for sure
}

// flight is an asking on its way, and then its answer.
type flight struct {
	from, parent int
	ask          Request
	answer       *Response
}

// child is a relay or a node, with what it was told.
type child struct {
	w      *world
	n      int
	f      *Follower
	wakeAt Time
	last   Position
	told   []uint64    // revisions of events in its epoch,
	missed [][2]uint64 // and what it was told that it missed
	epoch  uint64      // of both
}

type bounds struct{ steps, agrees, lost, late, deposed, founded, restarts, garbled int }

type world struct {
	unsafe   Unsafe
	ring     int // bytes of the sources' and the relays'
	now      Time
	leader   int
	sources  [2]source
	truths   map[uint64][]agreed
	children []*child // the relays come first
	flying   []flight
	left     bounds
	fault    string
	events   int // told to nodes, in all
	gaps     int // and told to be missed
}

const relays = 2

func newWorld(u Unsafe, ring, nodes int, left bounds) *world {
	w := &world{unsafe: u, ring: ring, truths: map[uint64][]agreed{1: nil}, left: left}
	for i := range w.sources {
		w.sources[i].Log = NewLog(ring)
		w.sources[i].unsafe = u
	}
	w.sources[0].Found(1)
	for n := range relays + nodes {
		c := &child{w: w, n: n}
		w.children = append(w.children, c)
		c.start(nil)
	}
	return w
}

// local is a child's clock: nodes and the second relay have slow ones.
func (c *child) local() Time {
	if c.n == 0 {
		return c.w.now / step * fastRate
	}
	return c.w.now / step * slowRate
}

func (c *child) start(file *Follower) {
	t := Config{Parents: 2, Home: 2, Every: every, Again: every, Stale: 4 * step, Most: oneMost, Drift: drift, Seed: uint64(c.n)}
	if c.n < relays {
		t.Ring = c.w.ring
	}
	var saved *Saved
	if file != nil {
		saved = &Saved{file.place, file.state}
	} else {
		c.told, c.missed, c.epoch = nil, nil, 0
	}
	c.f = NewFollower(c, c.local(), t, saved, c.w.unsafe)
	c.last = c.f.place
}

// A child is its follower's host.

func (c *child) Send(parent int, a Request) {
	c.w.flying = append(c.w.flying, flight{from: c.n, parent: parent, ask: a})
}
func (c *child) SetAlarm(at Time) { c.wakeAt = at }
func (c *child) Replace()         {}

func (c *child) began(epoch uint64) {
	if c.epoch != epoch {
		c.told, c.missed, c.epoch = nil, nil, epoch
	}
}

func (c *child) Apply(x Change) {
	if !x.Event {
		return
	}
	c.began(c.f.place.Epoch)
	if n := len(c.told); n > 0 && c.told[n-1] >= x.Revision {
		c.w.fault = fmt.Sprintf("child %d is told of event %d after %d", c.n, x.Revision, c.told[n-1])
	}
	c.told = append(c.told, x.Revision)
	if c.n >= relays {
		c.w.events++
	}
}

func (c *child) Missed(epoch, after, upTo uint64) {
	if l := c.w.sources[c.w.leader].floor; c.last.Epoch == epoch && l.Epoch == epoch && c.last.Revision >= l.Revision && after < upTo {
		c.fail("at %d is told to have missed events up to %d, which the leader keeps from %d on", c.last.Revision, upTo, l.Revision)
	}
	if c.began(epoch); c.n >= relays {
		c.w.gaps++
	}
	c.missed = append(c.missed, [2]uint64{after, upTo})
}

// The changes that come to be, over and over: events, keys in two buckets, one that goes.
var pattern = []Change{{Topic: "p", Key: "x", Event: true}, {Topic: "c", Key: "a", Value: []byte("1")}, {Topic: "c", Key: "b", Value: []byte("2")},
	{Topic: "p", Key: "y", Event: true}, {Topic: "c", Key: "a", Value: []byte("3")}, {Topic: "c", Key: "b", Gone: true}}

func (w *world) agree() {
	l := w.sources[w.leader].Log
	c := pattern[l.place.Revision%uint64(len(pattern))]
	c.Revision = l.place.Revision + 1
	if err := l.Add(c); err != nil {
		w.fault = err.Error()
	}
	w.truths[l.place.Epoch] = append(w.truths[l.place.Epoch], agreed{c, w.now})
}

// stateAt gives the truth at a place.
func (w *world) stateAt(p Position) map[string]Change {
	state := map[string]Change{}
	for _, a := range w.truths[p.Epoch][:min(int(p.Revision), len(w.truths[p.Epoch]))] {
		if a.Event {
			continue
		}
		if delete(state, keyOf(a.Change)); !a.Gone {
			state[keyOf(a.Change)] = a.Change
		}
	}
	return state
}

// move is one thing that may happen.
type move struct {
	what string
	n    int
}

// moves gives all that may happen now.
func (w *world) moves() (all []move) {
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
	for i, m := range w.flying {
		if m.answer == nil {
			add("hear", i)
		} else {
			add("tell", i)
			if w.left.garbled > 0 && len(m.answer.Changes) > 0 {
				add("garble", i)
			}
		}
		c := w.children[m.from]
		if w.left.lost > 0 {
			add("lose", i)
		}
		if w.left.late > 0 && c.f.out && c.f.id == m.ask.ID {
			add("late", i)
		}
	}
	if w.left.restarts > 0 {
		for n := range w.children {
			add("restart", n)
			if n >= relays || w.unsafe.Ring {
				add("resume", n)
			}
		}
	}
	return all
}

// play lets it happen, and checks all rules.
func (w *world) play(m move) {
	take := func() flight {
		x := w.flying[m.n]
		w.flying = slices.Delete(w.flying, m.n, m.n+1)
		return x
	}
	if m.n >= len(w.flying) && m.what != "restart" && m.what != "resume" && m.what != "tick" && m.what != "agree" && m.what != "depose" && m.what != "found" {
		return // of a history that is given, where nothing is on its way any more
	}
	switch m.what {
	case "tick":
		w.left.steps--
		w.now += step
		w.sources[w.leader].confirmed = w.now
		for _, c := range w.children {
			if c.local() >= c.wakeAt {
				c.f.Alarm(c.local())
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
	case "found": // whose leader lost its folder; the other one may speak of the epoch before yet
		w.left.founded--
		epoch := max(w.sources[0].place.Epoch, w.sources[1].place.Epoch) + 1
		was := w.sources[w.leader].clone()
		w.sources[w.leader].Found(epoch)
		w.truths[epoch] = nil
		w.sources[1-w.leader] = source{was, w.now}
	case "hear":
		x := &w.flying[m.n]
		var a Response
		if x.from >= relays {
			p := w.children[x.parent].f
			a = p.Serve(w.children[x.parent].local(), x.ask)
		} else {
			s := w.sources[x.parent]
			age := Time(0)
			if x.parent != w.leader && !w.unsafe.Parent {
				age = w.now - s.confirmed
			}
			a = s.Respond(x.ask, age)
		}
		x.answer = &a
	case "garble":
		w.left.garbled--
		a := *w.flying[m.n].answer
		a.Changes = a.Changes[1:]
		w.flying[m.n].answer = &a
	case "tell":
		x := take()
		c := w.children[x.from]
		_ = c.f.HandleResponse(c.local(), x.ask.ID, *x.answer)
	case "lose":
		w.left.lost--
		x := take()
		c := w.children[x.from]
		c.f.HandleTimeout(c.local(), x.ask.ID)
	case "late":
		w.left.late--
		x := w.flying[m.n]
		c := w.children[x.from]
		c.f.HandleTimeout(c.local(), x.ask.ID)
	case "restart", "resume":
		w.left.restarts--
		c := w.children[m.n]
		w.flying = slices.DeleteFunc(w.flying, func(x flight) bool { return x.from == c.n })
		was := c.f
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
	if c.w.fault == "" {
		c.w.fault = fmt.Sprintf("child %d: ", c.n) + fmt.Sprintf(format, args...)
	}
}

// check looks at the rules.
func (c *child) check() {
	p := c.f.place
	if p.Epoch < c.last.Epoch || p.Epoch == c.last.Epoch && p.Revision < c.last.Revision {
		c.fail("from %+v back to %+v", c.last, p)
	}
	c.last = p
	truth := c.w.truths[p.Epoch]
	if int(p.Revision) > len(truth) {
		c.fail("at %+v, which was never agreed", p)
		return
	}
	for _, a := range truth[:p.Revision] {
		if !a.Event {
			continue
		}
		told := c.epoch == p.Epoch && slices.Contains(c.told, a.Revision)
		for _, m := range c.missed {
			told = told || c.epoch == p.Epoch && m[0] < a.Revision && a.Revision <= m[1]
		}
		if !told {
			c.fail("at %d event %d was neither told nor told to be missed", p.Revision, a.Revision)
		}
	}
	if want := c.w.stateAt(p); !maps.EqualFunc(c.f.state, want, func(x, y Change) bool {
		return x.Revision == y.Revision && x.Topic == y.Topic && x.Key == y.Key && bytes.Equal(x.Value, y.Value) && x.Event == y.Event && x.Gone == y.Gone
	}) {
		c.fail("state %v at %d, expected %v", c.f.state, p.Revision, want)
	}
	if age, known := c.f.Age(c.local()); known {
		for epoch, all := range c.w.truths {
			for _, a := range all {
				if a.at < c.w.now-age && (epoch > p.Epoch || epoch == p.Epoch && a.Revision > p.Revision) {
					c.fail("%d old at most, and %d of epoch %d is missing, agreed %d ago", age, a.Revision, epoch, c.w.now-a.at)
				}
			}
		}
	}
	if most := max(c.f.terms.Ring, 0); c.f.bytes > most || len(c.f.ring)*overhead > most {
		c.fail("%d bytes of a ring, %d at the most", c.f.bytes, most)
	}
}

func (l *Log) clone() *Log {
	o := *l
	o.ring, o.chain, o.state = slices.Clone(l.ring), slices.Clone(l.chain), maps.Clone(l.state)
	return &o
}

func (w *world) clone() *world {
	o := *w
	o.truths = map[uint64][]agreed{}
	for e, all := range w.truths {
		o.truths[e] = slices.Clone(all)
	}
	for i := range o.sources {
		o.sources[i].Log = w.sources[i].clone()
	}
	o.flying = slices.Clone(w.flying) // answers are never written to
	o.children = nil
	for _, c := range w.children {
		x := *c
		x.w, x.told, x.missed = &o, slices.Clone(c.told), slices.Clone(c.missed)
		f := *c.f
		f.Log, f.host, f.staged = c.f.clone(), &x, maps.Clone(c.f.staged)
		x.f = &f
		o.children = append(o.children, &x)
	}
	return &o
}

// print tells states apart.
func (w *world) print(h *xxhash.Digest) uint64 {
	h.Reset()
	p := func(args ...any) { _, _ = fmt.Fprintln(h, args...) }
	p(w.now, w.leader, w.left)
	for _, epoch := range slices.Sorted(maps.Keys(w.truths)) {
		for _, a := range w.truths[epoch] { // what it is follows from its revision
			p(epoch, a.at)
		}
	}
	for _, s := range w.sources {
		p(s.place, s.floor, s.confirmed)
	}
	for _, c := range w.children {
		f, staged := c.f, []string(nil) // the state follows from the place: that was checked
		for _, key := range slices.Sorted(maps.Keys(f.staged)) {
			staged = append(staged, fmt.Sprint(key, f.staged[key].Revision))
		}
		p(f.staged == nil, c.wakeAt, c.told, c.missed, c.epoch, f.place, f.floor, staged, f.ready, f.parent, f.away, f.out, f.sent, f.next, f.failed, f.drawn,
			f.known, f.asOf, f.age)
	}
	for _, m := range w.flying {
		p(m.from, m.parent, w.children[m.from].f.id-m.ask.ID, m.ask.Position, m.ask.Digests)
		if m.answer != nil {
			p(*m.answer)
		}
	}
	return h.Sum64()
}
