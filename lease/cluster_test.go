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
	voters         = 3
	simulatedLease = 48 * Millisecond / 10
	simulatedDrift = 0.25
	nominalRate    = 24 // units of a clock in a step of time; the others are as far off as the bound allows
	fastRate       = 30
	slowRate       = 18
)

// The safeguards that can be taken out.
const (
	noMargin       = "drift-margin"
	noConfirmation = "leader-confirmation"
	noFencing      = "fencing-token"
	noVote         = "forgotten-vote"
	fromAnswer     = "count-from-answer"
	noTerm         = "term"
)

var safeguards = []string{noMargin, noConfirmation, noFencing, noVote, fromAnswer, noTerm}

type message struct {
	claimant int // index
	id       uint64
	request  Request
	sent     Time
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
	alarmAt     Time
	alarmSet    bool
	round       uint64
	proposals   map[uint64]Entry // not in the log yet
	results     map[uint64]Result
}

type testClaimant struct {
	cluster  *testCluster
	index    int
	claimant *Claimant
	alarmAt  Time
	alarmSet bool
	actToken uint64 // token of an act that MayAct has allowed and that is not done yet
}

type testCluster struct {
	without         string
	delayCommits    bool // proposals take time
	actsEnabled     bool // claimants act
	step            int
	log             []Entry
	state           *State
	voters          [voters]*testVoter
	claimants       []*testClaimant
	messages        []message
	lastID          uint64
	effectNumber    uint64 // of the last effect
	lastEffectToken uint64 // token of the last effect that was applied
	violation       string
	crashesLeft     int
	electionsLeft   int
	lossesLeft      int
}

func newTestCluster(without string, claimants int) *testCluster {
	tc := &testCluster{without: without, state: NewState()}
	for i := range tc.voters {
		tc.voters[i] = &testVoter{cluster: tc, index: i, state: NewState(), proposals: map[uint64]Entry{}, results: map[uint64]Result{}}
		tc.voters[i].manager = tc.newManager(tc.voters[i])
	}
	tc.append(Entry{Version: formatVersion, Kind: KindFoundCluster, Name: "f"})
	short := HolderDuration(simulatedLease, simulatedDrift)
	if without == noMargin {
		short = simulatedLease
	}
	for i := range claimants {
		c := &testClaimant{cluster: tc, index: i}
		tc.claimants = append(tc.claimants, c)
		c.claimant = NewClaimant(c, c.now(), "task", Holder{Name: fmt.Sprint("c", i), Process: i}, simulatedLease, short, uint64(i))
	}
	return tc
}

func (tc *testCluster) newManager(v *testVoter) *Manager {
	long := GranterDuration(simulatedLease, simulatedDrift)
	if tc.without == noMargin {
		long = simulatedLease
	}
	return NewManager(v, v.state, simulatedLease, long)
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
	n := 0
	for _, o := range v.cluster.voters {
		if o.term <= v.leadsInTerm {
			n++
		}
	}
	return v.leadsInTerm > 0 && n > voters/2
}

// A testVoter is the Host of its Manager.

func (v *testVoter) Propose(ref uint64, e Entry) {
	if v.cluster.without == noTerm {
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

func (v *testVoter) Respond(id uint64, a Response) {
	for i := range v.cluster.messages {
		if m := &v.cluster.messages[i]; m.id == id && m.response == nil {
			m.response = &a
		}
	}
}

func (v *testVoter) SetAlarm(at Time) { v.alarmAt, v.alarmSet = at, true }

// A testClaimant is the ClaimantHost of its Claimant.

func (c *testClaimant) Send(a Request) {
	c.cluster.lastID++
	c.cluster.messages = append(c.cluster.messages, message{claimant: c.index, id: c.cluster.lastID, request: a, sent: c.now()})
}
func (c *testClaimant) Granted(uint64)   {}
func (c *testClaimant) Lost(error)       {}
func (c *testClaimant) SetAlarm(at Time) { c.alarmAt, c.alarmSet = at, true }

// move is one event of a history.
type move struct {
	what string
	a, b int
}

// moves returns all events that may happen next, with time up to maxSteps.
func (tc *testCluster) moves(maxSteps int) (all []move) {
	if tc.step < maxSteps {
		all = append(all, move{what: "tick"})
	}
	for i, m := range tc.messages {
		if m.response == nil && m.request.Operation != "" {
			for _, v := range tc.voters {
				if v.leadsInTerm > 0 && m.id&(1<<40) == 0 {
					all = append(all, move{"ask", i, v.index})
				}
			}
		}
		if m.response != nil {
			all = append(all, move{what: "answer", a: i})
		}
		if tc.lossesLeft > 0 && m.request.Operation != OpWithdraw {
			all = append(all, move{what: "lose", a: i})
		}
	}
	for i, v := range tc.voters {
		if v.leadsInTerm > 0 && v.round != 0 {
			all = append(all, move{what: "confirm", a: i})
		}
		if tc.delayCommits && v.leadsInTerm > 0 && len(v.proposals) > 0 {
			all = append(all, move{what: "commit", a: i})
		}
		if tc.crashesLeft > 0 {
			all = append(all, move{what: "crash", a: i})
		}
		if tc.electionsLeft > 0 && v.leadsInTerm == 0 {
			for j, o := range tc.voters {
				if j != i && o.term <= v.term {
					all = append(all, move{"elect", i, j})
				}
			}
		}
		if v.leadsInTerm > 0 && !v.hasMajority() {
			all = append(all, move{what: "depose", a: i})
		}
	}
	for i, c := range tc.claimants {
		if _, may := c.claimant.MayAct(c.now(), 0); may && c.actToken == 0 && tc.actsEnabled {
			all = append(all, move{what: "check", a: i})
		}
		if c.actToken != 0 {
			all = append(all, move{what: "act", a: i})
		}
	}
	return all
}

// play plays one event and checks the invariants.
func (tc *testCluster) play(m move) {
	switch m.what {
	case "tick":
		tc.step++
		for _, v := range tc.voters {
			if v.leadsInTerm > 0 && v.alarmSet && v.now() >= v.alarmAt {
				v.alarmSet = false
				v.manager.Alarm(v.now())
			}
		}
		for _, c := range tc.claimants {
			if c.alarmSet && c.now() >= c.alarmAt {
				c.alarmSet = false
				c.claimant.Alarm(c.now())
			}
		}
	case "ask":
		f := &tc.messages[m.a]
		f.id |= 1 << 40 // delivered
		ask := f.request
		tc.voters[m.b].manager.Handle(tc.voters[m.b].now(), f.id, ask)
	case "answer":
		f := tc.messages[m.a]
		tc.messages = slices.Delete(tc.messages, m.a, m.a+1)
		c := tc.claimants[f.claimant]
		sent := f.sent
		if tc.without == fromAnswer {
			sent = c.now()
		}
		c.claimant.HandleResponse(c.now(), sent, *f.response)
	case "lose":
		tc.lossesLeft--
		f := tc.messages[m.a]
		tc.messages = slices.Delete(tc.messages, m.a, m.a+1)
		tc.claimants[f.claimant].claimant.HandleTimeout(tc.claimants[f.claimant].now())
		for _, v := range tc.voters {
			v.manager.CallerGone(v.now(), f.id)
		}
	case "confirm":
		v := tc.voters[m.a]
		round := v.round
		v.round = 0
		v.manager.LeadershipConfirmed(v.now(), round, v.hasMajority() || tc.without == noConfirmation)
	case "commit":
		tc.voters[m.a].commit()
	case "crash":
		tc.crashesLeft--
		v := tc.voters[m.a]
		v.leadsInTerm, v.round, v.alarmSet, v.proposals = 0, 0, false, map[uint64]Entry{}
		v.manager.Demote()
		v.manager = tc.newManager(v)
		if tc.without == noVote {
			v.term = 0
		}
	case "elect":
		tc.electionsLeft--
		v, o := tc.voters[m.a], tc.voters[m.b]
		v.term++
		o.term, v.leadsInTerm = v.term, v.term
		v.catchUp()
		tc.append(Entry{Version: formatVersion, Kind: KindNewTerm, Name: fmt.Sprint(v.index)})
		v.catchUp()
		v.manager.Promote(v.now(), v.state.Term)
	case "depose":
		v := tc.voters[m.a]
		v.leadsInTerm, v.round, v.alarmSet = 0, 0, false
		v.manager.Demote()
		if tc.without != noTerm {
			v.proposals = map[uint64]Entry{}
		}
	case "check":
		c := tc.claimants[m.a]
		c.actToken, _ = c.claimant.MayAct(c.now(), 0)
	case "act":
		c := tc.claimants[m.a]
		token := c.actToken
		c.actToken = 0
		if tc.without == noFencing {
			token = tc.state.Leases["task"].Token
		}
		tc.effectNumber++
		if r := tc.append(Entry{Version: formatVersion, Kind: KindEffect, Name: "task", Token: token, Effect: "task", Number: tc.effectNumber}); r.Err == nil {
			if tc.violation == "" && token < tc.lastEffectToken || tc.without == noFencing && tc.holderOf(token) != c.index {
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
	var hold []int
	for _, c := range tc.claimants {
		if _, may := c.claimant.MayAct(c.now(), 0); may {
			hold = append(hold, c.index)
		}
	}
	if len(hold) > 1 && tc.violation == "" {
		tc.violation = fmt.Sprintf("claimants %v hold the lease at once", hold)
	}
}

// holderOf returns the claimant whose lease has a token, -1 for none.
func (tc *testCluster) holderOf(token uint64) int {
	if l := tc.state.Leases["task"]; l.Token == token {
		return l.Holder.Process
	}
	return -1
}

// clone returns a deep copy of the cluster.
func (tc *testCluster) clone() *testCluster {
	o := *tc
	o.log, o.messages, o.state = slices.Clone(tc.log), slices.Clone(tc.messages), tc.state.clone()
	o.claimants = nil
	for i, v := range tc.voters {
		x, k := *v, *v.manager
		x.cluster, x.state, x.proposals, x.manager = &o, v.state.clone(), maps.Clone(v.proposals), &k
		k.host, k.state = &x, x.state
		k.expiries, k.changePending, k.requests, k.proposals = maps.Clone(k.expiries), maps.Clone(k.changePending), maps.Clone(k.requests), maps.Clone(k.proposals)
		k.queuedRenewals, k.roundRenewals = slices.Clone(k.queuedRenewals), slices.Clone(k.roundRenewals)
		k.queues = map[string][]waiter{}
		for name, line := range v.manager.queues {
			k.queues[name] = slices.Clone(line)
		}
		o.voters[i] = &x
	}
	for _, c := range tc.claimants {
		x, claim := *c, *c.claimant
		x.cluster, x.claimant, claim.host = &o, &claim, &x
		o.claimants = append(o.claimants, &x)
	}
	return &o
}

func (s *State) clone() *State {
	o := *s
	o.Leases, o.Effects = maps.Clone(s.Leases), maps.Clone(s.Effects)
	return &o
}

// fingerprint returns a hash of all that tells one state from another.
func (tc *testCluster) fingerprint(h hash.Hash64) uint64 {
	h.Reset()
	fmt.Fprint(h, tc.step, tc.crashesLeft, tc.electionsLeft, tc.lossesLeft, tc.lastEffectToken, tc.state.Leases, tc.state.Term)
	for _, v := range tc.voters {
		fmt.Fprint(h, v.term, v.leadsInTerm, v.round != 0, v.alarmSet, v.alarmAt, len(tc.log)-v.applied)
		if v.leadsInTerm > 0 {
			k := v.manager
			fmt.Fprint(h, k.expiries, k.changePending, len(k.queuedRenewals), len(k.roundRenewals), k.term)
			for _, tc := range k.queues["task"] {
				fmt.Fprint(h, tc.holder.Process, tc.requestID != 0, tc.deadline)
			}
			for ref, e := range v.proposals {
				fmt.Fprint(h, ref, e)
			}
		}
	}
	for _, c := range tc.claimants {
		k := c.claimant
		fmt.Fprint(h, c.actToken, c.alarmSet, c.alarmAt, k.token, k.expiry, k.granted, k.requestPending, k.released, k.nextRequest, k.failures)
	}
	var flying []string // in whatever order
	for _, m := range tc.messages {
		as := fmt.Sprint(m.claimant, m.request.Operation, m.request.Token, m.sent, m.id>>40)
		if m.response != nil {
			as += fmt.Sprint(m.response.Token, m.response.Err)
		}
		flying = append(flying, as)
	}
	slices.Sort(flying)
	fmt.Fprint(h, flying)
	return h.Sum64()
}

func newHash() hash.Hash64 { return xxhash.New() }
