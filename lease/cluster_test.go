package lease

import (
	"fmt"
	"hash"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A small fleet for the tests: three voters, any of which may believe that it leads, and claimants. Agreement is taken as
// given: an entry is in the log at once if a majority hasn't heard of a later term. What is explored is all round it: who
// asks whom, what is late or lost, who leads when, and how the clocks run.

const (
	voters   = 3
	length   = 48 * Millisecond / 10
	drift    = 0.25
	trueRate = 24 // units of a clock in a step of time; the others are as far off as the bound allows
	fastRate = 30
	slowRate = 18
)

// The safeguards that can be taken out.
const (
	noMargin       = "drift-margin"
	noConfirmation = "leader-confirmation"
	noToken        = "door-token"
	noVote         = "forgotten-vote"
	fromAnswer     = "count-from-answer"
	noReign        = "reign"
)

var safeguards = []string{noMargin, noConfirmation, noToken, noVote, fromAnswer, noReign}

type message struct {
	from   int // claimant
	id     uint64
	ask    Request
	sent   Time
	answer *Response
}

type voter struct {
	w       *fleet
	n       int
	term    int // of the vote
	state   *State
	applied int
	keeper  *Manager
	reign   int // term in which it believes to lead, 0: it doesn't
	wakeAt  Time
	awake   bool
	round   uint64
	out     map[uint64]Entry // proposals that are not in the log yet
	results map[uint64]Result
}

type claimant struct {
	w      *fleet
	n      int
	claim  *Claimant
	wakeAt Time
	awake  bool
	act    uint64 // token of an act that was checked and is not done
}

type fleet struct {
	without string
	later   bool // proposals take time
	acts    bool // claimants act
	step    int
	log     []Entry
	truth   *State
	voters  [voters]*voter
	claims  []*claimant
	flying  []message
	ids     uint64
	number  uint64 // of the door's last act
	door    uint64 // token of the last act that passed it
	fault   string
	crashes int
	leads   int
	lost    int
}

func newFleet(without string, claimants int) *fleet {
	w := &fleet{without: without, truth: NewState()}
	for i := range w.voters {
		w.voters[i] = &voter{w: w, n: i, state: NewState(), out: map[uint64]Entry{}, results: map[uint64]Result{}}
		w.voters[i].keeper = w.keeper(w.voters[i])
	}
	w.append(Entry{Version: formatVersion, Kind: KindFoundCluster, Name: "f"})
	short := HolderDuration(length, drift)
	if without == noMargin {
		short = length
	}
	for i := range claimants {
		c := &claimant{w: w, n: i}
		w.claims = append(w.claims, c)
		c.claim = NewClaimant(c, c.now(), "task", Holder{Name: fmt.Sprint("c", i), Process: i}, length, short, uint64(i))
	}
	return w
}

func (w *fleet) keeper(v *voter) *Manager {
	long := GranterDuration(length, drift)
	if w.without == noMargin {
		long = length
	}
	return NewManager(v, v.state, length, long)
}

func (w *fleet) append(e Entry) Result {
	w.log = append(w.log, e)
	return w.truth.Apply(e)
}

// catchUp applies what is in the log.
func (v *voter) catchUp() {
	for ; v.applied < len(v.w.log); v.applied++ {
		v.state.Apply(v.w.log[v.applied])
	}
}

func (v *voter) now() Time { return Time(v.w.step * fastRate) }

func (c *claimant) now() Time {
	if c.n == 0 {
		return Time(c.w.step * slowRate)
	}
	return Time(c.w.step * trueRate)
}

// majority says whether a majority would still follow v.
func (v *voter) majority() bool {
	n := 0
	for _, o := range v.w.voters {
		if o.term <= v.reign {
			n++
		}
	}
	return v.reign > 0 && n > voters/2
}

// A voter is its keeper's host.

func (v *voter) Propose(ref uint64, e Entry) {
	if v.w.without == noReign {
		e.Term = 0
	}
	v.out[ref] = e
}

// commit brings proposals into the log, as far as a majority follows.
func (v *voter) commit() {
	for len(v.out) > 0 && v.majority() {
		ref := slices.Min(slices.Collect(maps.Keys(v.out)))
		e := v.out[ref]
		delete(v.out, ref)
		v.catchUp()
		v.w.append(e)
		r := v.state.Apply(e)
		v.applied = len(v.w.log)
		v.keeper.Applied(v.now(), ref, r, false)
	}
}

func (v *voter) ConfirmLeadership(round uint64) { v.round = round }

func (v *voter) Respond(id uint64, a Response) {
	for i := range v.w.flying {
		if m := &v.w.flying[i]; m.id == id && m.answer == nil {
			m.answer = &a
		}
	}
}

func (v *voter) SetAlarm(at Time) { v.wakeAt, v.awake = at, true }

// A claimant is its claim's host.

func (c *claimant) Send(a Request) {
	c.w.ids++
	c.w.flying = append(c.w.flying, message{from: c.n, id: c.w.ids, ask: a, sent: c.now()})
}
func (c *claimant) Granted(uint64)   {}
func (c *claimant) Lost(error)       {}
func (c *claimant) SetAlarm(at Time) { c.wakeAt, c.awake = at, true }

// move is one thing that may happen.
type move struct {
	what string
	a, b int
}

// moves gives all that may happen now.
func (w *fleet) moves(most int) (all []move) {
	if w.step < most {
		all = append(all, move{what: "tick"})
	}
	for i, m := range w.flying {
		if m.answer == nil && m.ask.Operation != "" {
			for _, v := range w.voters {
				if v.reign > 0 && m.id&(1<<40) == 0 {
					all = append(all, move{"ask", i, v.n})
				}
			}
		}
		if m.answer != nil {
			all = append(all, move{what: "answer", a: i})
		}
		if w.lost > 0 && m.ask.Operation != OpWithdraw {
			all = append(all, move{what: "lose", a: i})
		}
	}
	for i, v := range w.voters {
		if v.reign > 0 && v.round != 0 {
			all = append(all, move{what: "confirm", a: i})
		}
		if w.later && v.reign > 0 && len(v.out) > 0 {
			all = append(all, move{what: "commit", a: i})
		}
		if w.crashes > 0 {
			all = append(all, move{what: "crash", a: i})
		}
		if w.leads > 0 && v.reign == 0 {
			for j, o := range w.voters {
				if j != i && o.term <= v.term {
					all = append(all, move{"elect", i, j})
				}
			}
		}
		if v.reign > 0 && !v.majority() {
			all = append(all, move{what: "depose", a: i})
		}
	}
	for i, c := range w.claims {
		if _, may := c.claim.MayAct(c.now(), 0); may && c.act == 0 && w.acts {
			all = append(all, move{what: "check", a: i})
		}
		if c.act != 0 {
			all = append(all, move{what: "act", a: i})
		}
	}
	return all
}

// play does one move, and looks at the rules.
func (w *fleet) play(m move) {
	switch m.what {
	case "tick":
		w.step++
		for _, v := range w.voters {
			if v.reign > 0 && v.awake && v.now() >= v.wakeAt {
				v.awake = false
				v.keeper.Alarm(v.now())
			}
		}
		for _, c := range w.claims {
			if c.awake && c.now() >= c.wakeAt {
				c.awake = false
				c.claim.Alarm(c.now())
			}
		}
	case "ask":
		f := &w.flying[m.a]
		f.id |= 1 << 40 // delivered
		ask := f.ask
		w.voters[m.b].keeper.Handle(w.voters[m.b].now(), f.id, ask)
	case "answer":
		f := w.flying[m.a]
		w.flying = slices.Delete(w.flying, m.a, m.a+1)
		c := w.claims[f.from]
		sent := f.sent
		if w.without == fromAnswer {
			sent = c.now()
		}
		c.claim.HandleResponse(c.now(), sent, *f.answer)
	case "lose":
		w.lost--
		f := w.flying[m.a]
		w.flying = slices.Delete(w.flying, m.a, m.a+1)
		w.claims[f.from].claim.HandleTimeout(w.claims[f.from].now())
		for _, v := range w.voters {
			v.keeper.CallerGone(v.now(), f.id)
		}
	case "confirm":
		v := w.voters[m.a]
		round := v.round
		v.round = 0
		v.keeper.LeadershipConfirmed(v.now(), round, v.majority() || w.without == noConfirmation)
	case "commit":
		w.voters[m.a].commit()
	case "crash":
		w.crashes--
		v := w.voters[m.a]
		v.reign, v.round, v.awake, v.out = 0, 0, false, map[uint64]Entry{}
		v.keeper.Demote()
		v.keeper = w.keeper(v)
		if w.without == noVote {
			v.term = 0
		}
	case "elect":
		w.leads--
		v, o := w.voters[m.a], w.voters[m.b]
		v.term++
		o.term, v.reign = v.term, v.term
		v.catchUp()
		w.append(Entry{Version: formatVersion, Kind: KindNewTerm, Name: fmt.Sprint(v.n)})
		v.catchUp()
		v.keeper.Promote(v.now(), v.state.Term)
	case "depose":
		v := w.voters[m.a]
		v.reign, v.round, v.awake = 0, 0, false
		v.keeper.Demote()
		if w.without != noReign {
			v.out = map[uint64]Entry{}
		}
	case "check":
		c := w.claims[m.a]
		c.act, _ = c.claim.MayAct(c.now(), 0)
	case "act":
		c := w.claims[m.a]
		token := c.act
		c.act = 0
		if w.without == noToken {
			token = w.truth.Leases["task"].Token
		}
		w.number++
		if r := w.append(Entry{Version: formatVersion, Kind: KindEffect, Name: "task", Token: token, Effect: "task", Number: w.number}); r.Err == nil {
			if w.fault == "" && token < w.door || w.without == noToken && w.holds(token) != c.n {
				w.fault = fmt.Sprintf("claimant %d acts with token %d after token %d", c.n, token, w.door)
			}
			w.door = token
		}
	}
	if !w.later {
		for _, v := range w.voters {
			v.commit()
		}
	}
	var hold []int
	for _, c := range w.claims {
		if _, may := c.claim.MayAct(c.now(), 0); may {
			hold = append(hold, c.n)
		}
	}
	if len(hold) > 1 && w.fault == "" {
		w.fault = fmt.Sprintf("claimants %v hold the lease at once", hold)
	}
}

// holds gives which claimant has this token.
func (w *fleet) holds(token uint64) int {
	if l := w.truth.Leases["task"]; l.Token == token {
		return l.Holder.Process
	}
	return -1
}

// clone copies the whole fleet.
func (w *fleet) clone() *fleet {
	o := *w
	o.log, o.flying, o.truth = slices.Clone(w.log), slices.Clone(w.flying), w.truth.clone()
	o.claims = nil
	for i, v := range w.voters {
		x, k := *v, *v.keeper
		x.w, x.state, x.out, x.keeper = &o, v.state.clone(), maps.Clone(v.out), &k
		k.host, k.state = &x, x.state
		k.expiries, k.changing, k.requests, k.proposals = maps.Clone(k.expiries), maps.Clone(k.changing), maps.Clone(k.requests), maps.Clone(k.proposals)
		k.queuedRenewals, k.roundRenewals = slices.Clone(k.queuedRenewals), slices.Clone(k.roundRenewals)
		k.queues = map[string][]waiter{}
		for name, line := range v.keeper.queues {
			k.queues[name] = slices.Clone(line)
		}
		o.voters[i] = &x
	}
	for _, c := range w.claims {
		x, claim := *c, *c.claim
		x.w, x.claim, claim.host = &o, &claim, &x
		o.claims = append(o.claims, &x)
	}
	return &o
}

func (s *State) clone() *State {
	o := *s
	o.Leases, o.Effects = maps.Clone(s.Leases), maps.Clone(s.Effects)
	return &o
}

// print gives what tells one state from another.
func (w *fleet) print(h hash.Hash64) uint64 {
	h.Reset()
	fmt.Fprint(h, w.step, w.crashes, w.leads, w.lost, w.door, w.truth.Leases, w.truth.Term)
	for _, v := range w.voters {
		fmt.Fprint(h, v.term, v.reign, v.round != 0, v.awake, v.wakeAt, len(w.log)-v.applied)
		if v.reign > 0 {
			k := v.keeper
			fmt.Fprint(h, k.expiries, k.changing, len(k.queuedRenewals), len(k.roundRenewals), k.term)
			for _, w := range k.queues["task"] {
				fmt.Fprint(h, w.holder.Process, w.requestID != 0, w.deadline)
			}
			for ref, e := range v.out {
				fmt.Fprint(h, ref, e)
			}
		}
	}
	for _, c := range w.claims {
		k := c.claim
		fmt.Fprint(h, c.act, c.awake, c.wakeAt, k.token, k.expiry, k.granted, k.requestPending, k.released, k.nextRequest, k.failures)
	}
	var flying []string // in whatever order
	for _, m := range w.flying {
		as := fmt.Sprint(m.from, m.ask.Operation, m.ask.Token, m.sent, m.id>>40)
		if m.answer != nil {
			as += fmt.Sprint(m.answer.Token, m.answer.Err)
		}
		flying = append(flying, as)
	}
	slices.Sort(flying)
	fmt.Fprint(h, flying)
	return h.Sum64()
}

func newHash() hash.Hash64 { return xxhash.New() }
