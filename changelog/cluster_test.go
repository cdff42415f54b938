package changelog

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A model of a small cluster: a leader and a former leader, two relays, and nodes. Consensus isn't modelled: a change is committed
// at once, and a former leader can't confirm its leadership. The tests explore requests to any parent, responses that are late,
// lost or malformed, restarts with and without a snapshot, and clock drift.

const (
	tickTime       = 24   // true time that passes in a tick
	slowClockTick  = 18   // advance of a slow clock in a tick, at the limit of maxDrift
	fastClockTick  = 30   // advance of a fast clock in a tick, at the limit of maxDrift
	maxDrift       = 0.25 // as a fraction
	minInterval    = 18   // between two requests: at least one tick
	oneChangeBytes = 20   // MaxBytes of a request: about one change
)

// committedChange is a committed change and the true time at which it was committed.
type committedChange struct {
	Change
	committedAt Time
}

// source is a leader, or a former leader that isn't aware of its successor.
type source struct {
	*Log
	confirmedAt Time // when it was last confirmed to be the leader
}

// message is a request in flight, or its response in flight once response is set.
type message struct {
	child, parent int // indexes; the parent of a relay is an index in sources
	request       Request
	response      *Response
}

// revisionRange is the revisions above after and up to upTo.
type revisionRange struct{ after, upTo uint64 }

// child is a relay or a node, and the Host of its follower. It records what its follower notifies it of.
type child struct {
	cluster       *testCluster
	index         int
	follower      *Follower
	alarmTime     Time
	lastPosition  Position
	appliedEvents []uint64        // revisions of the events passed to Apply in recordedEpoch
	missedRanges  []revisionRange // ranges reported as missed in recordedEpoch
	recordedEpoch uint64
}

// moveLimits is how often each kind of move may still be made.
type moveLimits struct {
	ticks, commits, losses, timeouts, leaderChanges, newEpochs, restarts, corruptions int
}

type testCluster struct {
	disabled       DisabledSafeguards
	maxRingBytes   int // of the sources and the relays
	now            Time
	leader         int // index in sources
	sources        [2]source
	changesByEpoch map[uint64][]committedChange
	children       []*child // the relays come first
	messages       []message
	limits         moveLimits
	violation      string // a violation of an invariant, or empty
	eventsApplied  int    // at all nodes
	rangesMissed   int    // ranges reported as missed at all nodes
}

const relayCount = 2

func newTestCluster(disabled DisabledSafeguards, maxRingBytes, nodeCount int, limits moveLimits) *testCluster {
	tc := &testCluster{disabled: disabled, maxRingBytes: maxRingBytes, changesByEpoch: map[uint64][]committedChange{1: nil}, limits: limits}
	for i := range tc.sources {
		tc.sources[i].Log = NewLog(maxRingBytes)
		tc.sources[i].disabled = disabled
	}
	tc.sources[0].StartEpoch(1)
	for i := range relayCount + nodeCount {
		c := &child{cluster: tc, index: i}
		tc.children = append(tc.children, c)
		c.start(nil)
	}
	return tc
}

// localNow returns the time by the child's clock. The first relay's clock is fast, all others are slow.
func (c *child) localNow() Time {
	if c.index == 0 {
		return c.cluster.now / tickTime * fastClockTick
	}
	return c.cluster.now / tickTime * slowClockTick
}

// start starts the child, from a snapshot of its previous follower unless that is nil.
func (c *child) start(previous *Follower) {
	config := Config{ParentCount: 2, HomeParentCount: 2, MinRequestInterval: minInterval, RetryBackoff: minInterval, MaxParentAge: 4 * tickTime, MaxResponseBytes: oneChangeBytes, MaxDriftFraction: maxDrift, JitterSeed: uint64(c.index)}
	if c.index < relayCount {
		config.RingBytes = c.cluster.maxRingBytes
	}
	var snapshot *Snapshot
	if previous != nil {
		snapshot = &Snapshot{previous.position, previous.state}
	} else {
		c.appliedEvents, c.missedRanges, c.recordedEpoch = nil, nil, 0
	}
	c.follower = NewFollower(c, c.localNow(), config, snapshot, c.cluster.disabled)
	c.lastPosition = c.follower.position
}

func (c *child) Send(parent int, r Request) {
	c.cluster.messages = append(c.cluster.messages, message{child: c.index, parent: parent, request: r})
}
func (c *child) SetAlarm(t Time) { c.alarmTime = t }
func (c *child) StateReplaced()  {}

// startEpoch clears the records if they are of another epoch.
func (c *child) startEpoch(epoch uint64) {
	if c.recordedEpoch != epoch {
		c.appliedEvents, c.missedRanges, c.recordedEpoch = nil, nil, epoch
	}
}

func (c *child) Apply(change Change) {
	if !change.Event {
		return
	}
	c.startEpoch(c.follower.position.Epoch)
	if n := len(c.appliedEvents); n > 0 && c.appliedEvents[n-1] >= change.Revision {
		c.cluster.violation = fmt.Sprintf("child %d: event %d applied after event %d", c.index, change.Revision, c.appliedEvents[n-1])
	}
	c.appliedEvents = append(c.appliedEvents, change.Revision)
	if c.index >= relayCount {
		c.cluster.eventsApplied++
	}
}

func (c *child) EventsMissed(epoch, after, upTo uint64) {
	floor := c.cluster.sources[c.cluster.leader].floor
	if c.lastPosition.Epoch == epoch && floor.Epoch == epoch && c.lastPosition.Revision >= floor.Revision && after < upTo {
		c.fail("at revision %d: events up to %d reported as missed, although the leader's ring has all after %d", c.lastPosition.Revision, upTo, floor.Revision)
	}
	if c.startEpoch(epoch); c.index >= relayCount {
		c.cluster.rangesMissed++
	}
	c.missedRanges = append(c.missedRanges, revisionRange{after, upTo})
}

// changePattern is the changes that are committed in a cycle: events, keys in two buckets, and the removal of one of these keys.
var changePattern = []Change{{Topic: "p", Key: "x", Event: true}, {Topic: "c", Key: "a", Value: []byte("1")}, {Topic: "c", Key: "b", Value: []byte("2")},
	{Topic: "p", Key: "y", Event: true}, {Topic: "c", Key: "a", Value: []byte("3")}, {Topic: "c", Key: "b", Deleted: true}}

// commit commits the next change at the leader.
func (tc *testCluster) commit() {
	l := tc.sources[tc.leader].Log
	c := changePattern[l.position.Revision%uint64(len(changePattern))]
	c.Revision = l.position.Revision + 1
	if err := l.Add(c); err != nil {
		tc.violation = err.Error()
	}
	tc.changesByEpoch[l.position.Epoch] = append(tc.changesByEpoch[l.position.Epoch], committedChange{c, tc.now})
}

// stateAt returns the state that results from the committed changes up to a position.
func (tc *testCluster) stateAt(p Position) map[string]Change {
	state := map[string]Change{}
	for _, c := range tc.changesByEpoch[p.Epoch][:min(int(p.Revision), len(tc.changesByEpoch[p.Epoch]))] {
		if c.Event {
			continue
		}
		if delete(state, stateKey(c.Change)); !c.Deleted {
			state[stateKey(c.Change)] = c.Change
		}
	}
	return state
}

type moveKind string

const (
	moveTick            moveKind = "tick"
	moveCommit          moveKind = "commit"
	moveChangeLeader    moveKind = "change leader"
	moveStartEpoch      moveKind = "found"
	moveServeRequest    moveKind = "serve request"
	moveDeliverResponse moveKind = "deliver response"
	moveCorruptResponse moveKind = "corrupt response"
	moveLoseMessage     moveKind = "lose"
	moveTimeOut         moveKind = "late" // the request times out, but its response may still arrive
	moveRestart         moveKind = "restart"
	moveRestoreSnapshot moveKind = "restart from snapshot"
)

// move is one step of a history.
type move struct {
	kind  moveKind
	index int // of the message or child that the move concerns, or 0
}

// concernsMessage reports whether the move's index is that of a message in flight.
func (m move) concernsMessage() bool {
	switch m.kind {
	case moveServeRequest, moveDeliverResponse, moveCorruptResponse, moveLoseMessage, moveTimeOut:
		return true
	}
	return false
}

// possibleMoves returns the moves that are possible now, within the limits.
func (tc *testCluster) possibleMoves() (possible []move) {
	add := func(kind moveKind, index int) { possible = append(possible, move{kind, index}) }
	if tc.limits.ticks > 0 {
		add(moveTick, 0)
	}
	if tc.limits.commits > 0 {
		add(moveCommit, 0)
	}
	if tc.limits.leaderChanges > 0 {
		add(moveChangeLeader, 0)
	}
	if tc.limits.newEpochs > 0 {
		add(moveStartEpoch, 0)
	}
	for i, m := range tc.messages {
		if m.response == nil {
			add(moveServeRequest, i)
		} else {
			add(moveDeliverResponse, i)
			if tc.limits.corruptions > 0 && len(m.response.Changes) > 0 {
				add(moveCorruptResponse, i)
			}
		}
		c := tc.children[m.child]
		if tc.limits.losses > 0 {
			add(moveLoseMessage, i)
		}
		if tc.limits.timeouts > 0 && c.follower.requestInFlight && c.follower.requestID == m.request.ID {
			add(moveTimeOut, i)
		}
	}
	if tc.limits.restarts > 0 {
		for i := range tc.children {
			add(moveRestart, i)
			if i >= relayCount || tc.disabled.StartRelayWithoutRing {
				add(moveRestoreSnapshot, i)
			}
		}
	}
	return possible
}

// apply makes a move and checks all invariants. It ignores a move that concerns a message which isn't in flight, as in a fixed history.
func (tc *testCluster) apply(m move) {
	takeMessage := func() message {
		msg := tc.messages[m.index]
		tc.messages = slices.Delete(tc.messages, m.index, m.index+1)
		return msg
	}
	if m.concernsMessage() && m.index >= len(tc.messages) {
		return
	}
	switch m.kind {
	case moveTick:
		tc.limits.ticks--
		tc.now += tickTime
		tc.sources[tc.leader].confirmedAt = tc.now
		for _, c := range tc.children {
			if c.localNow() >= c.alarmTime {
				c.follower.Alarm(c.localNow())
			}
		}
	case moveCommit:
		tc.limits.commits--
		tc.commit()
	case moveChangeLeader:
		tc.limits.leaderChanges--
		previous := tc.sources[tc.leader].Log
		tc.sources[tc.leader].confirmedAt = tc.now
		tc.leader = 1 - tc.leader
		tc.sources[tc.leader].Log = previous.clone()
	case moveStartEpoch: // the leader lost its stored state; the former leader may still serve the previous epoch
		tc.limits.newEpochs--
		epoch := max(tc.sources[0].position.Epoch, tc.sources[1].position.Epoch) + 1
		previous := tc.sources[tc.leader].clone()
		tc.sources[tc.leader].StartEpoch(epoch)
		tc.changesByEpoch[epoch] = nil
		tc.sources[1-tc.leader] = source{previous, tc.now}
	case moveServeRequest:
		msg := &tc.messages[m.index]
		var resp Response
		if msg.child >= relayCount {
			relay := tc.children[msg.parent]
			resp = relay.follower.Serve(relay.localNow(), msg.request)
		} else {
			parent := tc.sources[msg.parent]
			age := Time(0)
			if msg.parent != tc.leader && !tc.disabled.IgnoreParentAge {
				age = tc.now - parent.confirmedAt
			}
			resp = parent.Respond(msg.request, age)
		}
		msg.response = &resp
	case moveCorruptResponse:
		tc.limits.corruptions--
		resp := *tc.messages[m.index].response
		resp.Changes = resp.Changes[1:]
		tc.messages[m.index].response = &resp
	case moveDeliverResponse:
		msg := takeMessage()
		c := tc.children[msg.child]
		_ = c.follower.HandleResponse(c.localNow(), msg.request.ID, *msg.response)
	case moveLoseMessage:
		tc.limits.losses--
		msg := takeMessage()
		c := tc.children[msg.child]
		c.follower.HandleTimeout(c.localNow(), msg.request.ID)
	case moveTimeOut:
		tc.limits.timeouts--
		msg := tc.messages[m.index]
		c := tc.children[msg.child]
		c.follower.HandleTimeout(c.localNow(), msg.request.ID)
	case moveRestart, moveRestoreSnapshot:
		tc.limits.restarts--
		c := tc.children[m.index]
		tc.messages = slices.DeleteFunc(tc.messages, func(msg message) bool { return msg.child == c.index })
		previous := c.follower
		if m.kind == moveRestart {
			previous = nil
		}
		c.start(previous)
	}
	for _, c := range tc.children {
		c.check()
	}
}

// fail records a violation of an invariant, unless there is one already.
func (c *child) fail(format string, args ...any) {
	if c.cluster.violation == "" {
		c.cluster.violation = fmt.Sprintf("child %d: ", c.index) + fmt.Sprintf(format, args...)
	}
}

// check checks the invariants: the position never moves back, every event up to it was applied or reported as missed, the state is
// the one that results from the committed changes, the age isn't understated, and the ring is within its limit.
func (c *child) check() {
	p := c.follower.position
	if p.Epoch < c.lastPosition.Epoch || p.Epoch == c.lastPosition.Epoch && p.Revision < c.lastPosition.Revision {
		c.fail("position moved back from %+v to %+v", c.lastPosition, p)
	}
	c.lastPosition = p
	committed := c.cluster.changesByEpoch[p.Epoch]
	if int(p.Revision) > len(committed) {
		c.fail("position %+v was never committed", p)
		return
	}
	for _, change := range committed[:p.Revision] {
		if !change.Event {
			continue
		}
		isReported := c.recordedEpoch == p.Epoch && slices.Contains(c.appliedEvents, change.Revision)
		for _, missed := range c.missedRanges {
			isReported = isReported || c.recordedEpoch == p.Epoch && missed.after < change.Revision && change.Revision <= missed.upTo
		}
		if !isReported {
			c.fail("at revision %d: event %d was neither applied nor reported as missed", p.Revision, change.Revision)
		}
	}
	if want := c.cluster.stateAt(p); !maps.EqualFunc(c.follower.state, want, func(x, y Change) bool {
		return x.Revision == y.Revision && x.Topic == y.Topic && x.Key == y.Key && bytes.Equal(x.Value, y.Value) && x.Event == y.Event && x.Deleted == y.Deleted
	}) {
		c.fail("state %v at revision %d, expected %v", c.follower.state, p.Revision, want)
	}
	if age, known := c.follower.Age(c.localNow()); known {
		for epoch, committed := range c.cluster.changesByEpoch {
			for _, change := range committed {
				if change.committedAt < c.cluster.now-age && (epoch > p.Epoch || epoch == p.Epoch && change.Revision > p.Revision) {
					c.fail("age is reported as %d, but revision %d of epoch %d is missing, which was committed %d ago", age, change.Revision, epoch, c.cluster.now-change.committedAt)
				}
			}
		}
	}
	if limit := max(c.follower.config.RingBytes, 0); c.follower.ringBytes > limit || len(c.follower.ring)*changeOverheadBytes > limit {
		c.fail("ring has %d bytes, want at most %d", c.follower.ringBytes, limit)
	}
}

func (l *Log) clone() *Log {
	copied := *l
	copied.ring, copied.chains, copied.state = slices.Clone(l.ring), slices.Clone(l.chains), maps.Clone(l.state)
	return &copied
}

func (tc *testCluster) clone() *testCluster {
	copied := *tc
	copied.changesByEpoch = map[uint64][]committedChange{}
	for epoch, changes := range tc.changesByEpoch {
		copied.changesByEpoch[epoch] = slices.Clone(changes)
	}
	for i := range copied.sources {
		copied.sources[i].Log = tc.sources[i].clone()
	}
	copied.messages = slices.Clone(tc.messages) // responses are never modified
	copied.children = nil
	for _, c := range tc.children {
		copiedChild := *c
		copiedChild.cluster, copiedChild.appliedEvents, copiedChild.missedRanges = &copied, slices.Clone(c.appliedEvents), slices.Clone(c.missedRanges)
		f := *c.follower
		f.Log, f.host, f.stagedState = c.follower.clone(), &copiedChild, maps.Clone(c.follower.stagedState)
		copiedChild.follower = &f
		copied.children = append(copied.children, &copiedChild)
	}
	return &copied
}

// fingerprint returns a hash that differs between clusters in different states.
func (tc *testCluster) fingerprint(h *xxhash.Digest) uint64 {
	h.Reset()
	write := func(args ...any) { _, _ = fmt.Fprintln(h, args...) }
	write(tc.now, tc.leader, tc.limits)
	for _, epoch := range slices.Sorted(maps.Keys(tc.changesByEpoch)) {
		for _, change := range tc.changesByEpoch[epoch] { // the revision determines the rest of a change
			write(epoch, change.committedAt)
		}
	}
	for _, s := range tc.sources {
		write(s.position, s.floor, s.confirmedAt)
	}
	for _, c := range tc.children {
		f, staged := c.follower, []string(nil) // f.state is omitted, because check ensures that the position determines it
		for _, key := range slices.Sorted(maps.Keys(f.stagedState)) {
			staged = append(staged, fmt.Sprint(key, f.stagedState[key].Revision))
		}
		write(f.stagedState == nil, c.alarmTime, c.appliedEvents, c.missedRanges, c.recordedEpoch, f.position, f.floor, staged, f.ready, f.parentIndex, f.leftHomeRegionAt, f.requestInFlight, f.sentAt, f.nextRequestAt, f.consecutiveFailures, f.randomDraws,
			f.ageKnown, f.ageMeasuredAt, f.parentAge)
	}
	for _, m := range tc.messages {
		write(m.child, m.parent, tc.children[m.child].follower.requestID-m.request.ID, m.request.Position, m.request.Digests)
		if m.response != nil {
			write(*m.response)
		}
	}
	return h.Sum64()
}
