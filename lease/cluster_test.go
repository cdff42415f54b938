package lease

import (
	"fmt"
	"hash"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	numVoters      = 3
	simulatedLease = 48 * Millisecond / 10 // 2 steps of a nominal clock
	simulatedDrift = 0.25
	nominalRate    = 24 // clock units per step; the rates below differ from it by the drift bound of 25%
	fastRate       = 30
	slowRate       = 18
)

// Safeguards that a test can remove.
const (
	driftMargin        = "drift-margin"
	leaderConfirmation = "leader-confirmation"
	fencingToken       = "fencing-token"
	votePersistence    = "forgotten-vote"
	expiryFromSend     = "count-from-answer"
	entryTerm          = "term"
)

var safeguards = []string{driftMargin, leaderConfirmation, fencingToken, votePersistence, expiryFromSend, entryTerm}

// deliveredFlag is set in the id of a message whose request has been delivered.
const deliveredFlag = 1 << 40

type message struct {
	claimant int // index of the sender
	id       uint64
	request  Request
	sentAt   Time
	response *Response // nil until the request is answered
}

type testVoter struct {
	cluster     *testCluster
	index       int
	term        int // highest term it has voted in
	state       *State
	applied     int // number of entries of the log that are in state
	manager     *Manager
	leadsInTerm int // term in which it believes that it is the leader; 0: none
	alarmTime   Time
	alarmSet    bool
	round       uint64           // quorum round in progress; 0: none
	proposals   map[uint64]Entry // by ref; not committed yet
	results     map[uint64]Result
}

type testClaimant struct {
	cluster   *testCluster
	index     int
	claimant  *Claimant
	alarmTime Time
	alarmSet  bool
	actToken  uint64 // token of an act that MayAct has allowed and that has not been carried out yet; 0: none
}

// testCluster simulates a cluster of three voters and a few claimants. More than one voter may believe that it is the leader.
// Consensus is not simulated: a leader commits an entry unless a majority has voted in a later term. The tests vary what
// surrounds consensus: which voter a request reaches, which messages are delayed or lost, who is elected or crashes, and the
// clock rates.
type testCluster struct {
	removedSafeguard string
	delayCommits     bool    // proposals are committed by "commit" events only
	actsEnabled      bool    // claimants set effects
	step             int     // current time
	log              []Entry // committed entries
	state            *State  // with all of log applied
	voters           [numVoters]*testVoter
	claimants        []*testClaimant
	messages         []message
	lastID           uint64
	effectNumber     uint64 // number of the last effect
	lastEffectToken  uint64 // token of the last applied effect
	violation        string // first violated invariant; empty: none
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

// catchUp applies the committed entries that v has not applied yet.
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

// hasMajority reports whether v is a leader in a term and no majority has voted in a later one.
func (v *testVoter) hasMajority() bool {
	count := 0
	for _, other := range v.cluster.voters {
		if other.term <= v.leadsInTerm {
			count++
		}
	}
	return v.leadsInTerm > 0 && count > numVoters/2
}

// A testVoter implements Host for its Manager.

func (v *testVoter) Propose(ref uint64, e Entry) {
	if v.cluster.removedSafeguard == entryTerm {
		e.Term = 0
	}
	v.proposals[ref] = e
}

// commit commits and applies the proposals of v in order, as long as v has a majority.
func (v *testVoter) commit() {
	for len(v.proposals) > 0 && v.hasMajority() {
		ref := slices.Min(slices.Collect(maps.Keys(v.proposals)))
		e := v.proposals[ref]
		delete(v.proposals, ref)
		v.catchUp()
		v.cluster.append(e)
		r := v.state.Apply(e)
		v.applied = len(v.cluster.log)
		v.manager.HandleProposalResult(v.now(), ref, r, false)
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

// A testClaimant implements ClaimantHost for its Claimant.

func (c *testClaimant) Send(r Request) {
	c.cluster.lastID++
	c.cluster.messages = append(c.cluster.messages, message{claimant: c.index, id: c.cluster.lastID, request: r, sentAt: c.now()})
}
func (c *testClaimant) Granted(uint64)  {}
func (c *testClaimant) Lost(error)      {}
func (c *testClaimant) SetAlarm(t Time) { c.alarmTime, c.alarmSet = t, true }

// event is one event of a history. Its kind is one of:
//
//	tick     advance time by a step and call the alarms that are due
//	ask      deliver a request to a voter that believes that it is the leader
//	answer   deliver a response to a claimant
//	lose     lose a message; its claimant sees a timeout
//	confirm  end a voter's quorum round
//	commit   commit a voter's proposals
//	crash    restart a voter
//	elect    elect a voter with the vote of another
//	depose   let a leader without a majority learn that it is no longer the leader
//	check    let a claimant call MayAct
//	act      let a claimant carry out the act that MayAct has allowed
type event struct {
	kind  string
	index int // of the message, voter or claimant
	voter int // "ask": the receiver; "elect": the voter that votes for index
}

// nextEvents returns all events that may happen next. Time does not advance beyond maxSteps.
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

// applyEvent applies one event and records a violated invariant in violation: two claimants may not hold the lease at once, and
// effects may not be applied with decreasing tokens.
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
		msg.id |= deliveredFlag
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
			v.manager.CancelRequest(v.now(), msg.id)
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
				tc.violation = fmt.Sprintf("claimant %d sets an effect with token %d after one with token %d", c.index, token, tc.lastEffectToken)
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

// claimantWithToken returns the index of the claimant that holds the lease with a token, or -1.
func (tc *testCluster) claimantWithToken(token uint64) int {
	if l := tc.state.Leases["task"]; l.Token == token {
		return l.Holder.Process
	}
	return -1
}

// clone returns a deep copy of tc.
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

// fingerprint returns a hash of all parts of the state that affect later events.
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
	var inFlight []string // sorted below, because their order does not matter
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
