package lease

import (
	"fmt"
	"hash"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// testCluster simulates a small cluster: three voters, any of which may believe that it leads, and claimants. Consensus
// itself is taken as given: an entry is committed if no majority has voted in a later term. The tests explore what is around it:
// which requests reach whom, what is late or lost, who leads when, and how the clocks run.

const (
	numVoters      = 3
	simulatedLease = 48 * Millisecond / 10
	simulatedDrift = 0.25
	nominalRate    = 24 // units of a clock in a step of time; the others are as far off as the bound allows
	fastRate       = 30
	slowRate       = 18
)

// The safeguards that can be taken out.
const (
	driftMargin        = "drift-margin"
	leaderConfirmation = "leader-confirmation"
	fencingToken       = "fencing-token"
	votePersistence    = "forgotten-vote"
	expiryFromSend     = "count-from-answer"
	entryTerm          = "term"
)

var safeguards = []string{driftMargin, leaderConfirmation, fencingToken, votePersistence, expiryFromSend, entryTerm}

// deliveredFlag is set in the id of a delivered message.
const deliveredFlag = 1 << 40

type message struct {
	claimant int // index
	id       uint64
	request  Request
	sentAt   Time
	response *Response
}

type testVoter struct {
	cluster     *testCluster
	index       int
	term        int // of the vote
	state       *State
	applied     int
	manager     *Manager
	leadsInTerm int // term in which it believes to lead, 0: it doesn't
	alarmTime   Time
	alarmSet    bool
	round       uint64
	proposals   map[uint64]Entry // not in the log yet
	results     map[uint64]Result
}

type testClaimant struct {
	cluster   *testCluster
	index     int
	claimant  *Claimant
	alarmTime Time
	alarmSet  bool
	actToken  uint64 // token of an act that MayAct has allowed and that is not done yet
}

type testCluster struct {
	removedSafeguard string
	delayCommits     bool // proposals take time
	actsEnabled      bool // claimants act
	step             int
	log              []Entry
	state            *State
	voters           [numVoters]*testVoter
	claimants        []*testClaimant
	messages         []message
	lastID           uint64
	effectNumber     uint64 // of the last effect
	lastEffectToken  uint64 // token of the last effect that was applied
	violation        string
	crashesLeft      int
	electionsLeft    int
	lossesLeft       int
}

func newTestCluster(removedSafeguard string, claimants int) *testCluster {
	tc := &testCluster{removedSafeguard: removedSafeguard, state: NewState()}
	for i := range tc.voters {
		tc.voters[i] = &testVoter{cluster: tc, index: i, state: NewState(), proposals: map[uint64]Entry{}, results: map[uint64]Result{}}
		tc.voters[i].manager = tc.newManager(tc.voters[i])
	}
	tc.append(Entry{Version: formatVersion, Kind: KindFoundCluster, Name: "f"})
	holderDuration := HolderDuration(simulatedLease, simulatedDrift)
	if removedSafeguard == driftMargin {
		holderDuration = simulatedLease
	}
	for i := range claimants {
		c := &testClaimant{cluster: tc, index: i}
		tc.claimants = append(tc.claimants, c)
		c.claimant = NewClaimant(c, c.now(), "task", Holder{Name: fmt.Sprint("c", i), Process: i}, simulatedLease, holderDuration, uint64(i))
	}
	return tc
}

func (tc *testCluster) newManager(v *testVoter) *Manager {
	grantDuration := GranterDuration(simulatedLease, simulatedDrift)
	if tc.removedSafeguard == driftMargin {
		grantDuration = simulatedLease
	}
	return NewManager(v, v.state, simulatedLease, grantDuration)
}

func (tc *testCluster) append(e Entry) Result {
	tc.log = append(tc.log, e)
	return tc.state.Apply(e)
}

// catchUp applies what is in the log.
func (v *testVoter) catchUp() {
	for ; v.applied < len(v.cluster.log); v.applied++ {
		v.state.Apply(v.cluster.log[v.applied])
	}
}

func (v *testVoter) now() Time { return Time(v.cluster.step * fastRate) }

func (c *testClaimant) now() Time {
	if c.index == 0 {
		return Time(c.cluster.step * slowRate)
	}
	return Time(c.cluster.step * nominalRate)
}

// hasMajority reports whether a majority has voted in no later term than v leads in.
func (v *testVoter) hasMajority() bool {
	count := 0
	for _, other := range v.cluster.voters {
		if other.term <= v.leadsInTerm {
			count++
		}
	}
	return v.leadsInTerm > 0 && count > numVoters/2
}

// A testVoter is the Host of its Manager.

func (v *testVoter) Propose(ref uint64, e Entry) {
	if v.cluster.removedSafeguard == entryTerm {
		e.Term = 0
	}
	v.proposals[ref] = e
}

// commit commits proposals, as long as v has a majority.
func (v *testVoter) commit() {
	for len(v.proposals) > 0 && v.hasMajority() {
		ref := slices.Min(slices.Collect(maps.Keys(v.proposals)))
		e := v.proposals[ref]
		delete(v.proposals, ref)
		v.catchUp()
		v.cluster.append(e)
		r := v.state.Apply(e)
		v.applied = len(v.cluster.log)
		v.manager.Applied(v.now(), ref, r, false)
	}
}

func (v *testVoter) ConfirmLeadership(round uint64) { v.round = round }

func (v *testVoter) Respond(id uint64, response Response) {
	for i := range v.cluster.messages {
		if m := &v.cluster.messages[i]; m.id == id && m.response == nil {
			m.response = &response
		}
	}
}

func (v *testVoter) SetAlarm(t Time) { v.alarmTime, v.alarmSet = t, true }

// A testClaimant is the ClaimantHost of its Claimant.

func (c *testClaimant) Send(r Request) {
	c.cluster.lastID++
	c.cluster.messages = append(c.cluster.messages, message{claimant: c.index, id: c.cluster.lastID, request: r, sentAt: c.now()})
}
func (c *testClaimant) Granted(uint64)  {}
func (c *testClaimant) Lost(error)      {}
func (c *testClaimant) SetAlarm(t Time) { c.alarmTime, c.alarmSet = t, true }

// event is one event of a history.
type event struct {
	kind  string
	index int
	voter int
}

// nextEvents returns all events that may happen next, with time up to maxSteps.
func (tc *testCluster) nextEvents(maxSteps int) (all []event) {
	if tc.step < maxSteps {
		all = append(all, event{kind: "tick"})
	}
	for i, m := range tc.messages {
		if m.response == nil && m.request.Operation != "" {
			for _, v := range tc.voters {
				if v.leadsInTerm > 0 && m.id&deliveredFlag == 0 {
					all = append(all, event{"ask", i, v.index})
				}
			}
		}
		if m.response != nil {
			all = append(all, event{kind: "answer", index: i})
		}
		if tc.lossesLeft > 0 && m.request.Operation != OpWithdraw {
			all = append(all, event{kind: "lose", index: i})
		}
	}
	for i, v := range tc.voters {
		if v.leadsInTerm > 0 && v.round != 0 {
			all = append(all, event{kind: "confirm", index: i})
		}
		if tc.delayCommits && v.leadsInTerm > 0 && len(v.proposals) > 0 {
			all = append(all, event{kind: "commit", index: i})
		}
		if tc.crashesLeft > 0 {
			all = append(all, event{kind: "crash", index: i})
		}
		if tc.electionsLeft > 0 && v.leadsInTerm == 0 {
			for j, other := range tc.voters {
				if j != i && other.term <= v.term {
					all = append(all, event{"elect", i, j})
				}
			}
		}
		if v.leadsInTerm > 0 && !v.hasMajority() {
			all = append(all, event{kind: "depose", index: i})
		}
	}
	for i, c := range tc.claimants {
		if _, may := c.claimant.MayAct(c.now(), 0); may && c.actToken == 0 && tc.actsEnabled {
			all = append(all, event{kind: "check", index: i})
		}
		if c.actToken != 0 {
			all = append(all, event{kind: "act", index: i})
		}
	}
	return all
}

// applyEvent plays one event and checks the invariants.
func (tc *testCluster) applyEvent(e event) {
	switch e.kind {
	case "tick":
		tc.step++
		for _, v := range tc.voters {
			if v.leadsInTerm > 0 && v.alarmSet && v.now() >= v.alarmTime {
				v.alarmSet = false
				v.manager.Alarm(v.now())
			}
		}
		for _, c := range tc.claimants {
			if c.alarmSet && c.now() >= c.alarmTime {
				c.alarmSet = false
				c.claimant.Alarm(c.now())
			}
		}
	case "ask":
		msg := &tc.messages[e.index]
		msg.id |= deliveredFlag // delivered
		tc.voters[e.voter].manager.Handle(tc.voters[e.voter].now(), msg.id, msg.request)
	case "answer":
		msg := tc.messages[e.index]
		tc.messages = slices.Delete(tc.messages, e.index, e.index+1)
		c := tc.claimants[msg.claimant]
		sentAt := msg.sentAt
		if tc.removedSafeguard == expiryFromSend {
			sentAt = c.now()
		}
		c.claimant.HandleResponse(c.now(), sentAt, *msg.response)
	case "lose":
		tc.lossesLeft--
		msg := tc.messages[e.index]
		tc.messages = slices.Delete(tc.messages, e.index, e.index+1)
		tc.claimants[msg.claimant].claimant.HandleTimeout(tc.claimants[msg.claimant].now())
		for _, v := range tc.voters {
			v.manager.CallerGone(v.now(), msg.id)
		}
	case "confirm":
		v := tc.voters[e.index]
		round := v.round
		v.round = 0
		v.manager.LeadershipConfirmed(v.now(), round, v.hasMajority() || tc.removedSafeguard == leaderConfirmation)
	case "commit":
		tc.voters[e.index].commit()
	case "crash":
		tc.crashesLeft--
		v := tc.voters[e.index]
		v.leadsInTerm, v.round, v.alarmSet, v.proposals = 0, 0, false, map[uint64]Entry{}
		v.manager.Demote()
		v.manager = tc.newManager(v)
		if tc.removedSafeguard == votePersistence {
			v.term = 0
		}
	case "elect":
		tc.electionsLeft--
		v, supporter := tc.voters[e.index], tc.voters[e.voter]
		v.term++
		supporter.term, v.leadsInTerm = v.term, v.term
		v.catchUp()
		tc.append(Entry{Version: formatVersion, Kind: KindNewTerm, Name: fmt.Sprint(v.index)})
		v.catchUp()
		v.manager.Promote(v.now(), v.state.Term)
	case "depose":
		v := tc.voters[e.index]
		v.leadsInTerm, v.round, v.alarmSet = 0, 0, false
		v.manager.Demote()
		if tc.removedSafeguard != entryTerm {
			v.proposals = map[uint64]Entry{}
		}
	case "check":
		c := tc.claimants[e.index]
		c.actToken, _ = c.claimant.MayAct(c.now(), 0)
	case "act":
		c := tc.claimants[e.index]
		token := c.actToken
		c.actToken = 0
		if tc.removedSafeguard == fencingToken {
			token = tc.state.Leases["task"].Token
		}
		tc.effectNumber++
		if r := tc.append(Entry{Version: formatVersion, Kind: KindEffect, Name: "task", Token: token, Effect: "task", Number: tc.effectNumber}); r.Err == nil {
			if tc.violation == "" && token < tc.lastEffectToken || tc.removedSafeguard == fencingToken && tc.claimantWithToken(token) != c.index {
				tc.violation = fmt.Sprintf("claimant %d acts with token %d after token %d", c.index, token, tc.lastEffectToken)
			}
			tc.lastEffectToken = token
		}
	}
	if !tc.delayCommits {
		for _, v := range tc.voters {
			v.commit()
		}
	}
	var holders []int
	for _, c := range tc.claimants {
		if _, may := c.claimant.MayAct(c.now(), 0); may {
			holders = append(holders, c.index)
		}
	}
	if len(holders) > 1 && tc.violation == "" {
		tc.violation = fmt.Sprintf("claimants %v hold the lease at once", holders)
	}
}

// claimantWithToken returns the claimant whose lease has a token, -1 for none.
func (tc *testCluster) claimantWithToken(token uint64) int {
	if l := tc.state.Leases["task"]; l.Token == token {
		return l.Holder.Process
	}
	return -1
}

// clone returns a deep copy of the cluster.
func (tc *testCluster) clone() *testCluster {
	clone := *tc
	clone.log, clone.messages, clone.state = slices.Clone(tc.log), slices.Clone(tc.messages), tc.state.clone()
	clone.claimants = nil
	for i, v := range tc.voters {
		voter, m := *v, *v.manager
		voter.cluster, voter.state, voter.proposals, voter.manager = &clone, v.state.clone(), maps.Clone(v.proposals), &m
		m.host, m.state = &voter, voter.state
		m.expiries, m.changePending, m.requests, m.proposals = maps.Clone(m.expiries), maps.Clone(m.changePending), maps.Clone(m.requests), maps.Clone(m.proposals)
		m.queuedRenewals, m.roundRenewals = slices.Clone(m.queuedRenewals), slices.Clone(m.roundRenewals)
		m.queues = map[string][]waiter{}
		for name, queue := range v.manager.queues {
			m.queues[name] = slices.Clone(queue)
		}
		clone.voters[i] = &voter
	}
	for _, c := range tc.claimants {
		testClaimant, claimant := *c, *c.claimant
		testClaimant.cluster, testClaimant.claimant, claimant.host = &clone, &claimant, &testClaimant
		clone.claimants = append(clone.claimants, &testClaimant)
	}
	return &clone
}

func (s *State) clone() *State {
	clone := *s
	clone.Leases, clone.Effects = maps.Clone(s.Leases), maps.Clone(s.Effects)
	return &clone
}

// fingerprint returns a hash of all that tells one state from another.
func (tc *testCluster) fingerprint(h hash.Hash64) uint64 {
	h.Reset()
	fmt.Fprint(h, tc.step, tc.crashesLeft, tc.electionsLeft, tc.lossesLeft, tc.lastEffectToken, tc.state.Leases, tc.state.Term)
	for _, v := range tc.voters {
		fmt.Fprint(h, v.term, v.leadsInTerm, v.round != 0, v.alarmSet, v.alarmTime, len(tc.log)-v.applied)
		if v.leadsInTerm > 0 {
			m := v.manager
			fmt.Fprint(h, m.expiries, m.changePending, len(m.queuedRenewals), len(m.roundRenewals), m.term)
			for _, w := range m.queues["task"] {
				fmt.Fprint(h, w.holder.Process, w.requestID != 0, w.deadline)
			}
			for ref, e := range v.proposals {
				fmt.Fprint(h, ref, e)
			}
		}
	}
	for _, c := range tc.claimants {
		claimant := c.claimant
		fmt.Fprint(h, c.actToken, c.alarmSet, c.alarmTime, claimant.token, claimant.expiry, claimant.granted, claimant.requestPending, claimant.released, claimant.nextRequest, claimant.failures)
	}
	var inFlight []string // in whatever order
	for _, m := range tc.messages {
		text := fmt.Sprint(m.claimant, m.request.Operation, m.request.Token, m.sentAt, m.id/deliveredFlag)
		if m.response != nil {
			text += fmt.Sprint(m.response.Token, m.response.Err)
		}
		inFlight = append(inFlight, text)
	}
	slices.Sort(inFlight)
	fmt.Fprint(h, inFlight)
	return h.Sum64()
}

func newHash() hash.Hash64 { return xxhash.New() }
