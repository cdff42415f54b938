package changelog

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/thistlerudder/thistlerudder/lease"
)

// A simulation of a whole fleet in virtual time: a leader, two relays in each region, and nodes, with long polls, network delays and
// parents that stop responding. Logs and followers of this package carry each committed change to each node.

const (
	ms                   = lease.Millisecond
	longPollTimeout      = 500 * ms // how long a parent holds a request while it has no changes for it
	requestTimeout       = 800 * ms // from the sending of a request until the child stops waiting for its response
	commitInterval       = 50 * ms  // changes are committed in batches, one per interval
	regionDelay          = 2 * ms   // average delay of a message within a region, one way
	crossRegionDelay     = 80 * ms  // average delay of a message between regions, one way
	purgesPerSecond      = 120
	leaderRegion         = -1        // the leader is in no region of relays and nodes
	noRegion             = -2        // value of isolatedRegion while no region is isolated
	unknownAge           = 1 << 40   // stands for the age of a node whose age is unknown
	configChangeInterval = 7200 * ms // time between two changes of the configuration
)

type simEvent struct {
	dueAt    Time
	sequence int // order among events at the same time
	run      func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].dueAt < q[j].dueAt || q[i].dueAt == q[j].dueAt && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// pendingPoll is a request that a parent holds until it has changes or the deadline passes.
type pendingPoll struct {
	child    *member
	request  Request
	deadline Time
}

// member is the leader, a relay or a node. It is the Host of its follower.
type member struct {
	sim           *simulation
	name          string
	region        int
	log           *Log      // of the leader; nil for others
	follower      *Follower // of a relay or node; nil for the leader
	parents       []*member
	pendingPolls  []pendingPoll
	isDown        bool
	alarmAt       Time
	startRevision uint64 // latest revision when the member started; latencies of changes up to it aren't recorded
	missedEvents  uint64 // number of revisions whose events may have been missed
}

type simulation struct {
	now             Time
	queue           eventQueue
	sequence        int // counter that orders events and seeds delays
	leader          *member
	relays          []*member
	nodes           []*member
	isolatedRegion  int                     // region without a connection to others, or noRegion
	committedAt     []Time                  // of each change, by revision - 1
	latencies       *hdrhistogram.Histogram // from the commit of each change until each node has it, in tenths of a millisecond
	lastNodeLatency []Time                  // from the commit of each change until the last node has it, by revision - 1
	maxAge          Time                    // largest age of all nodes that are up, at the last sample
	requests        int
	commits         int
}

// schedule runs a function at a time, after those scheduled earlier for the same time.
func (s *simulation) schedule(t Time, run func()) {
	s.sequence++
	heap.Push(&s.queue, simEvent{t, s.sequence, run})
}

// run advances the simulation to a time.
func (s *simulation) run(until Time) {
	for len(s.queue) > 0 && s.queue[0].dueAt <= until {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.dueAt
		next.run()
	}
	s.now = until
}

func hashOf(parts ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, parts...)
	return h.Sum64()
}

// delay returns the delay of a message from a to b, and whether the message arrives.
func (s *simulation) delay(a, b *member) (Time, bool) {
	if a.isDown || b.isDown {
		return 0, false
	}
	average := regionDelay
	if a.region != b.region {
		if a.region == s.isolatedRegion || b.region == s.isolatedRegion {
			return 0, false
		}
		average = crossRegionDelay
	}
	s.sequence++
	return average/2 + Time(hashOf(a.name, b.name, s.sequence)%uint64(average)), true
}

func (m *member) SetAlarm(t Time) {
	m.alarmAt = max(t, m.sim.now)
	m.sim.schedule(m.alarmAt, func() {
		if m.sim.now == m.alarmAt && !m.isDown {
			m.follower.Alarm(m.sim.now)
		}
	})
}

func (m *member) Send(parent int, r Request) {
	s, f := m.sim, m.follower
	s.requests++
	receiver := m.parents[parent]
	if delay, arrives := s.delay(m, receiver); arrives {
		s.schedule(s.now+delay, func() { receiver.receive(m, r) })
	}
	s.schedule(s.now+requestTimeout, func() {
		if m.follower == f && !m.isDown {
			f.HandleTimeout(s.now, r.ID)
		}
	})
}

// receive responds to a child's request, or holds it while there are no changes for it.
func (m *member) receive(child *member, r Request) {
	if m.isDown {
		return
	}
	if !m.respond(child, r, false) {
		m.pendingPolls = append(m.pendingPolls, pendingPoll{child, r, m.sim.now + longPollTimeout})
		m.sim.schedule(m.sim.now+longPollTimeout, m.servePolls)
	}
}

// respond sends the response to a request if the response isn't empty or the request's long poll has ended. It reports whether it sent
// the response, which may be lost.
func (m *member) respond(child *member, r Request, pollEnded bool) bool {
	s := m.sim
	var resp Response
	if m.log != nil {
		resp = m.log.Respond(r, 0)
	} else {
		resp = m.follower.Serve(s.now, r)
	}
	if resp.Err == nil && !resp.BelowFloor && resp.Buckets == nil && len(resp.Changes) == 0 && !pollEnded {
		return false
	}
	f := child.follower
	if delay, arrives := s.delay(m, child); arrives {
		s.schedule(s.now+delay, func() {
			if child.follower == f && !child.isDown {
				_ = f.HandleResponse(s.now, r.ID, resp)
				child.servePolls()
			}
		})
	}
	return true
}

// servePolls responds to the pending requests for which there are changes or whose long poll has ended.
func (m *member) servePolls() {
	if m.isDown || len(m.pendingPolls) == 0 {
		return
	}
	pending := m.pendingPolls
	m.pendingPolls = nil
	for _, p := range pending {
		if !m.respond(p.child, p.request, m.sim.now >= p.deadline) {
			m.pendingPolls = append(m.pendingPolls, p)
		}
	}
}

// Apply records the latency of a change to a node. Relays, whose followers have a ring, don't count.
func (m *member) Apply(c Change) {
	if m.region < 0 || m.follower.config.RingBytes > 0 || c.Revision <= m.startRevision {
		return
	}
	latency := m.sim.now - m.sim.committedAt[c.Revision-1]
	_ = m.sim.latencies.RecordValue(int64(latency))
	m.sim.lastNodeLatency[c.Revision-1] = max(m.sim.lastNodeLatency[c.Revision-1], latency)
}

func (m *member) StateReplaced() {}

func (m *member) EventsMissed(_, after, upTo uint64) {
	if after > 0 { // it is 0 when a new follower receives its first state
		m.missedEvents += upTo - after
	}
}

// start starts the member with a new, empty follower.
func (m *member) start() {
	config := Config{ParentCount: len(m.parents), HomeParentCount: min(2, len(m.parents)), MinRequestInterval: 250 * ms, RetryBackoff: 100 * ms, MaxParentAge: 2350 * ms, MaxResponseBytes: defaultConfig.MaxResponseBytes, MaxDriftFraction: 0.01,
		JitterSeed: hashOf(m.name)}
	if m.log == nil && m.parents[0] == m.sim.leader {
		config.MinRequestInterval, config.RetryBackoff, config.RingBytes, config.MaxResponseBytes = 50*ms, 25*ms, 10<<20, 1<<20
	}
	m.startRevision = uint64(len(m.sim.committedAt))
	m.follower = NewFollower(m, m.sim.now, config, nil, DisabledSafeguards{})
}

func newSimulation(regionCount, nodesPerRegion int) *simulation {
	s := &simulation{isolatedRegion: noRegion, latencies: hdrhistogram.New(1, int64(1000_000*ms), 2)}
	s.leader = &member{sim: s, name: "leader", region: leaderRegion, log: NewLog(10 << 20)}
	s.leader.log.StartEpoch(1)
	for region := range regionCount {
		for i := range 2 {
			s.relays = append(s.relays, &member{sim: s, name: fmt.Sprint("relay-", region, "-", i), region: region, parents: []*member{s.leader}})
		}
	}
	for region := range regionCount {
		for i := range nodesPerRegion {
			m := &member{sim: s, name: fmt.Sprint("node-", region, "-", i), region: region}
			firstRelay := int(hashOf(m.name) % uint64(len(s.relays)))
			m.parents = []*member{s.relays[2*region+firstRelay%2], s.relays[2*region+1-firstRelay%2]}
			for offset := range s.relays {
				if relay := s.relays[(firstRelay+offset)%len(s.relays)]; relay.region != region {
					m.parents = append(m.parents, relay)
				}
			}
			s.nodes = append(s.nodes, m)
		}
	}
	for _, m := range s.relays {
		s.schedule(0, m.start)
	}
	for i, m := range s.nodes {
		s.schedule(Time(i)%(500*ms), m.start)
	}
	s.schedule(commitInterval, s.commit)
	s.schedule(100*ms, s.sampleAges)
	return s
}

// commit commits the next batch of changes at the leader.
func (s *simulation) commit() {
	add := func(c Change) {
		c.Revision = s.leader.log.Position().Revision + 1
		if err := s.leader.log.Add(c); err != nil {
			panic(err)
		}
		s.committedAt, s.lastNodeLatency = append(s.committedAt, s.now), append(s.lastNodeLatency, 0)
	}
	for range purgesPerSecond * int(commitInterval) / int(1000*ms) {
		add(Change{Topic: "purge", Key: hashedKey(len(s.committedAt)), Event: true})
	}
	if s.commits++; s.commits%int(configChangeInterval/commitInterval) == 0 {
		add(Change{Topic: "configuration", Key: fmt.Sprint("part-", s.commits%25), Value: make([]byte, 2000)})
	}
	s.leader.servePolls()
	s.schedule(s.now+commitInterval, s.commit)
}

// sampleAges updates s.maxAge every 100 ms.
func (s *simulation) sampleAges() {
	s.maxAge = 0
	for _, m := range s.nodes {
		if m.follower == nil { // not started yet
			continue
		}
		age, known := m.follower.Age(s.now)
		if !known {
			age = unknownAge
		}
		if !m.isDown {
			s.maxAge = max(s.maxAge, age)
		}
	}
	s.schedule(s.now+100*ms, s.sampleAges)
}

// runFault begins a fault, ends it after a duration, and observes the fleet for a time afterwards. It returns the largest age of
// all nodes, and how long after the end of the fault the age of any node was last above ageLimit.
func (s *simulation) runFault(begin, end func(), duration, observation, ageLimit Time) (maxAge, recovery Time) {
	begin()
	beganAt := s.now
	for s.now < beganAt+duration {
		s.run(s.now + 100*ms)
		maxAge = max(maxAge, s.maxAge)
	}
	end()
	endedAt := s.now
	for s.now < endedAt+observation {
		s.run(s.now + 100*ms)
		if maxAge = max(maxAge, s.maxAge); s.maxAge > ageLimit {
			recovery = s.now - endedAt
		}
	}
	return maxAge, recovery
}

// The ages of all nodes stay within the bounds of docs/design-changes.md, and no events are missed: without faults, when relays or the
// leader stop responding, when a region is isolated, and when all nodes of a region restart at once.
func TestFleetFaultsKeepAgesWithinBounds(t *testing.T) {
	regionCount, nodesPerRegion := 4, 30
	if testing.Short() {
		regionCount, nodesPerRegion = 3, 8
	}
	ageLimit := 4700 * ms
	noAction := func() {}
	for _, c := range []struct {
		name                          string
		begin, end                    func(s *simulation) func() // nil: no action
		duration, maxAge, maxRecovery Time
	}{
		{"no fault", nil, nil, 5000 * ms, 1600 * ms, 0},
		{"one relay stops responding", func(s *simulation) func() { return func() { s.relays[0].isDown = true } }, nil, 5000 * ms, 2400 * ms, 0},
		{"both relays of a region stop responding one second apart", func(s *simulation) func() {
			return func() {
				s.relays[0].isDown = true
				s.schedule(s.now+1000*ms, func() { s.relays[1].isDown = true })
			}
		}, nil, 8000 * ms, 4000 * ms, 0},
		{"leader stops responding for two seconds", func(s *simulation) func() { return func() { s.leader.isDown = true } },
			func(s *simulation) func() { return func() { s.leader.isDown = false } }, 2000 * ms, 4600 * ms, 0},
		{"region isolated for a minute", func(s *simulation) func() { return func() { s.isolatedRegion = 0 } },
			func(s *simulation) func() { return func() { s.isolatedRegion = noRegion } }, 60_000 * ms, 75_000 * ms, 2 * 4700 * ms},
		{"all nodes of a region restart", func(s *simulation) func() {
			return func() {
				for _, m := range s.nodes {
					if m.region == 0 {
						m.start()
					}
				}
			}
		}, nil, 5000 * ms, 1 << 41, 2000 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSimulation(regionCount, nodesPerRegion)
			s.run(20_000 * ms)
			begin, end := noAction, noAction
			if c.begin != nil {
				begin = c.begin(s)
			}
			if c.end != nil {
				end = c.end(s)
			}
			changesBefore := len(s.committedAt)
			s.latencies.Reset()
			maxAge, recovery := s.runFault(begin, end, c.duration, 20_000*ms, ageLimit)
			maxLatency, lateChanges := Time(0), 0
			// The changes of the last two seconds are left out: they may not have reached all nodes.
			for _, latency := range s.lastNodeLatency[changesBefore : len(s.lastNodeLatency)-2*purgesPerSecond] {
				if maxLatency = max(maxLatency, latency); latency > ageLimit {
					lateChanges++
				}
			}
			missedEvents := uint64(0)
			for _, m := range s.nodes {
				missedEvents += m.missedEvents
			}
			t.Logf("%d changes to %d nodes: p50 %d ms, p99 %d ms; maximum at the last node %d ms, %d above the limit; largest age %d ms; recovery %d ms after the end; %d events missed",
				len(s.committedAt)-changesBefore, len(s.nodes), s.latencies.ValueAtQuantile(50)/int64(ms), s.latencies.ValueAtQuantile(99)/int64(ms), maxLatency/ms, lateChanges, maxAge/ms, recovery/ms, missedEvents)
			if maxAge > c.maxAge || recovery > c.maxRecovery || missedEvents > 0 {
				t.Errorf("largest age %d ms, want at most %d ms; recovery after %d ms, want at most %d ms; %d events missed", maxAge/ms, c.maxAge/ms, recovery/ms, c.maxRecovery/ms, missedEvents)
			}
		})
	}
}
