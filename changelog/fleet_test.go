package changelog

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/thistlerudder/thistlerudder/lease"
)

// A whole fleet in simulated time: a leader, two relays in each region, and nodes; long polls, network delays, and parents that fall
// silent. Each agreed change goes through the package's own code to each node.

const (
	ms               = lease.Millisecond
	longPoll         = 500 * ms // that a request waits for changes
	callTimeout      = 800 * ms // after which the child gives a request up
	commitInterval   = 50 * ms  // changes within it share one entry of the leader's log
	regionDelay      = 2 * ms   // about, one way, within a region
	crossRegionDelay = 80 * ms  // about, one way, between regions
	purgeRate        = 120      // purges a second
	none             = -2       // no region; the leader is in -1
	changeGap        = 7200 * ms
)

type simEvent struct {
	at Time
	n  int // order among events at the same time
	do func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// poll is a request that waits at a parent.
type poll struct {
	from     *machine
	request  Request
	deadline Time
}

// machine is the leader, a relay or a node.
type machine struct {
	sim      *simulation
	name     string
	region   int
	log      *Log      // of the leader,
	follower *Follower // of the others
	parents  []*machine
	polls    []poll
	down     bool
	alarmAt  Time
	from     uint64 // only changes after this revision are measured
	missed   uint64
}

type simulation struct {
	now             Time
	queue           eventQueue
	n               int
	leader          *machine
	relays          []*machine
	nodes           []*machine
	cut             int // region without network, or none
	agreed          []Time
	latencies       *hdrhistogram.Histogram // of each change to each node, in tenths of a millisecond
	lastNodeLatency []Time                  // of each change to the last node, by revision
	oldest          Time                    // largest age of all nodes that are up, as sampled
	requests        int
	changes         int
}

func (s *simulation) at(t Time, do func()) {
	s.n++
	heap.Push(&s.queue, simEvent{t, s.n, do})
}

func (s *simulation) run(until Time) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		m := heap.Pop(&s.queue).(simEvent)
		s.now = m.at
		m.do()
	}
	s.now = until
}

func hashOf(parts ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, parts...)
	return h.Sum64()
}

// delay returns how long a message takes, and whether it arrives.
func (s *simulation) delay(a, b *machine) (Time, bool) {
	if a.down || b.down {
		return 0, false
	}
	base := regionDelay
	if a.region != b.region {
		if a.region == s.cut || b.region == s.cut {
			return 0, false
		}
		base = crossRegionDelay
	}
	s.n++
	return base/2 + Time(hashOf(a.name, b.name, s.n)%uint64(base)), true
}

func (m *machine) SetAlarm(at Time) {
	m.alarmAt = max(at, m.sim.now)
	m.sim.at(m.alarmAt, func() {
		if m.sim.now == m.alarmAt && !m.down {
			m.follower.Alarm(m.sim.now)
		}
	})
}

func (m *machine) Send(parent int, a Request) {
	s, f := m.sim, m.follower
	s.requests++
	to := m.parents[parent]
	if way, there := s.delay(m, to); there {
		s.at(s.now+way, func() { to.receive(m, a) })
	}
	s.at(s.now+callTimeout, func() {
		if m.follower == f && !m.down {
			f.HandleTimeout(s.now, a.ID)
		}
	})
}

func (m *machine) receive(from *machine, a Request) {
	if m.down {
		return
	}
	if !m.respond(from, a, false) {
		m.polls = append(m.polls, poll{from, a, m.sim.now + longPoll})
		m.sim.at(m.sim.now+longPoll, m.servePolls)
	}
}

// respond answers a request if there is anything new or it has waited long enough.
func (m *machine) respond(from *machine, a Request, late bool) bool {
	s := m.sim
	var x Response
	if m.log != nil {
		x = m.log.Respond(a, 0)
	} else {
		x = m.follower.Serve(s.now, a)
	}
	if x.Err == nil && !x.BelowFloor && x.Buckets == nil && len(x.Changes) == 0 && !late {
		return false
	}
	f := from.follower
	if way, there := s.delay(m, from); there {
		s.at(s.now+way, func() {
			if from.follower == f && !from.down {
				_ = f.HandleResponse(s.now, a.ID, x)
				from.servePolls()
			}
		})
	}
	return true
}

// servePolls answers the requests that wait, as far as there is anything new.
func (m *machine) servePolls() {
	if m.down || len(m.polls) == 0 {
		return
	}
	waits := m.polls
	m.polls = nil
	for _, p := range waits {
		if !m.respond(p.from, p.request, m.sim.now >= p.deadline) {
			m.polls = append(m.polls, p)
		}
	}
}

func (m *machine) Apply(c Change) {
	if m.region < 0 || m.follower.config.RingBytes > 0 || c.Revision <= m.from {
		return
	}
	took := m.sim.now - m.sim.agreed[c.Revision-1]
	_ = m.sim.latencies.RecordValue(int64(took))
	m.sim.lastNodeLatency[c.Revision-1] = max(m.sim.lastNodeLatency[c.Revision-1], took)
}
func (m *machine) StateReplaced() {}
func (m *machine) EventsMissed(_, after, upTo uint64) {
	if after > 0 {
		m.missed += upTo - after
	}
}

func (m *machine) start() {
	t := Config{ParentCount: len(m.parents), HomeParentCount: min(2, len(m.parents)), MinRequestInterval: 250 * ms, RetryBackoff: 100 * ms, MaxParentAge: 2350 * ms, MaxResponseBytes: defaultConfig.MaxResponseBytes, MaxDriftFraction: 0.01,
		JitterSeed: hashOf(m.name)}
	if m.log == nil && m.parents[0] == m.sim.leader {
		t.MinRequestInterval, t.RetryBackoff, t.RingBytes, t.MaxResponseBytes = 50*ms, 25*ms, 10<<20, 1<<20
	}
	m.from = uint64(len(m.sim.agreed))
	m.follower = NewFollower(m, m.sim.now, t, nil, DisabledSafeguards{})
}

func newSimulation(regions, each int) *simulation {
	s := &simulation{cut: none, latencies: hdrhistogram.New(1, int64(1000_000*ms), 2)}
	s.leader = &machine{sim: s, name: "leader", region: -1, log: NewLog(10 << 20)}
	s.leader.log.StartEpoch(1)
	for r := range regions {
		for i := range 2 {
			s.relays = append(s.relays, &machine{sim: s, name: fmt.Sprint("relay-", r, "-", i), region: r, parents: []*machine{s.leader}})
		}
	}
	for r := range regions {
		for i := range each {
			m := &machine{sim: s, name: fmt.Sprint("node-", r, "-", i), region: r}
			turn := int(hashOf(m.name) % uint64(len(s.relays)))
			m.parents = []*machine{s.relays[2*r+turn%2], s.relays[2*r+1-turn%2]}
			for k := range s.relays {
				if o := s.relays[(turn+k)%len(s.relays)]; o.region != r {
					m.parents = append(m.parents, o)
				}
			}
			s.nodes = append(s.nodes, m)
		}
	}
	for _, m := range s.relays {
		s.at(0, m.start)
	}
	for i, m := range s.nodes {
		s.at(Time(i)%(500*ms), m.start)
	}
	s.at(commitInterval, s.agree)
	s.at(100*ms, s.sampleAges)
	return s
}

// agree appends the next entry to the log.
func (s *simulation) agree() {
	add := func(c Change) {
		c.Revision = s.leader.log.Position().Revision + 1
		if err := s.leader.log.Add(c); err != nil {
			panic(err)
		}
		s.agreed, s.lastNodeLatency = append(s.agreed, s.now), append(s.lastNodeLatency, 0)
	}
	for range purgeRate * int(commitInterval) / int(1000*ms) {
		add(Change{Topic: "purge", Key: hashedKey(len(s.agreed)), Event: true})
	}
	if s.changes++; s.changes%int(changeGap/commitInterval) == 0 {
		add(Change{Topic: "configuration", Key: fmt.Sprint("part-", s.changes%25), Value: make([]byte, 2000)})
	}
	s.leader.servePolls()
	s.at(s.now+commitInterval, s.agree)
}

// sampleAges samples the ages of all nodes that are up.
func (s *simulation) sampleAges() {
	s.oldest = 0
	for _, m := range s.nodes {
		if m.follower == nil { // not started yet
			continue
		}
		age, known := m.follower.Age(s.now)
		if !known {
			age = 1 << 40
		}
		if !m.down {
			s.oldest = max(s.oldest, age)
		}
	}
	s.at(s.now+100*ms, s.sampleAges)
}

// runFault begins and ends a fault, and returns the largest age of all nodes, and how long after the end all nodes were within the
// bound again.
func (s *simulation) runFault(begin, end func(), lasts, watch, bound Time) (oldest, back Time) {
	begin()
	from := s.now
	for s.now < from+lasts {
		s.run(s.now + 100*ms)
		oldest = max(oldest, s.oldest)
	}
	end()
	over := s.now
	for s.now < over+watch {
		s.run(s.now + 100*ms)
		if oldest = max(oldest, s.oldest); s.oldest > bound {
			back = s.now - over
		}
	}
	return oldest, back
}

// The bounds of docs/design-changes.md hold in simulated time: without faults, when relays or the leader fall silent, when a region is
// cut off, and when all nodes of a region restart at once.
func TestAFleetKeepsItsBounds(t *testing.T) {
	regions, each := 4, 30
	if testing.Short() {
		regions, each = 3, 8
	}
	bound := 4700 * ms
	nothing := func() {}
	for _, c := range []struct {
		what                string
		begin, end          func(s *simulation) func()
		lasts, oldest, back Time
	}{
		{"peace", nil, nil, 5000 * ms, 1600 * ms, 0},
		{"a relay falls silent", func(s *simulation) func() { return func() { s.relays[0].down = true } }, nil, 5000 * ms, 2400 * ms, 0},
		{"its twin too, a second later", func(s *simulation) func() {
			return func() {
				s.relays[0].down = true
				s.at(s.now+1000*ms, func() { s.relays[1].down = true })
			}
		}, nil, 8000 * ms, 4000 * ms, 0},
		{"the leader for two seconds", func(s *simulation) func() { return func() { s.leader.down = true } },
			func(s *simulation) func() { return func() { s.leader.down = false } }, 2000 * ms, 4600 * ms, 0},
		{"a region for a minute", func(s *simulation) func() { return func() { s.cut = 0 } },
			func(s *simulation) func() { return func() { s.cut = none } }, 60_000 * ms, 75_000 * ms, 2 * 4700 * ms},
		{"all nodes of a region start again", func(s *simulation) func() {
			return func() {
				for _, m := range s.nodes {
					if m.region == 0 {
						m.start()
					}
				}
			}
		}, nil, 5000 * ms, 1 << 41, 2000 * ms},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			s := newSimulation(regions, each)
			s.run(20_000 * ms)
			begin, end := nothing, nothing
			if c.begin != nil {
				begin = c.begin(s)
			}
			if c.end != nil {
				end = c.end(s)
			}
			before := len(s.agreed)
			s.latencies.Reset()
			oldest, back := s.runFault(begin, end, c.lasts, 20_000*ms, bound)
			worst, late := Time(0), 0
			for _, l := range s.lastNodeLatency[before : len(s.lastNodeLatency)-2*purgeRate] {
				if worst = max(worst, l); l > bound {
					late++
				}
			}
			missed := uint64(0)
			for _, m := range s.nodes {
				missed += m.missed
			}
			t.Logf("%d changes to %d nodes: p50 %d, p99 %d ms; worst at a last node %d ms, %d past the bound; oldest view %d ms; back %d ms after the end; missed %d",
				len(s.agreed)-before, len(s.nodes), s.latencies.ValueAtQuantile(50)/int64(ms), s.latencies.ValueAtQuantile(99)/int64(ms), worst/ms, late, oldest/ms, back/ms, missed)
			if oldest > c.oldest || back > c.back || missed > 0 {
				t.Errorf("oldest view %d ms, want %d at the most; back after %d ms, want %d; %d events missed", oldest/ms, c.oldest/ms, back/ms, c.back/ms, missed)
			}
		})
	}
}
