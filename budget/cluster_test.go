package budget

import (
	"fmt"
	"hash"
	"maps"
	"slices"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/lease"
)

// A model of a small cluster: a log, two leaders of which one may be outdated without knowing it, and nodes under leases that
// expire. The tests explore the order of messages, elections and clock rates. That a lease ends for its holder before it does
// for its granter is shown by the tests of package lease; here both ends are plain times.

const (
	trueRate      = 1000 // ticks of a clock in a step; the others drift as far as the bound allows
	fastRate      = 1250
	slowRate      = 750
	leaseDuration = Time(4 * trueRate)
	drift         = 0.25
)

// The safeguards that can be disabled.
const (
	withoutDriftMargin = "drift-margin"      // lease ends have no margin for clock drift
	countFromResponse  = "count-from-answer" // lease ends count from the response, not from the request
	keepBurst          = "burst-kept"        // tokens stay when a quota shrinks
	reuseEarly         = "reuse-early"       // units that are asked back count as free at once
	forgetQuotas       = "leader-forgets"    // a new leader takes all quotas to be free
	acceptStaleReports = "old-word"          // a report under an outdated token counts
	forgetInFlight     = "acts-forgotten"    // requests in flight don't count as units in use
)

var safeguards = []string{withoutDriftMargin, countFromResponse, keepBurst, reuseEarly, forgetQuotas, acceptStaleReports, forgetInFlight}

const limit = "limit"

type message struct {
	from     int // process
	id       uint64
	request  *Request
	response *Response
	renewal  bool // of the lease
	sent     Time
	received bool
}

// process is a process of a node; a node may have an earlier one that hasn't noticed the end of its lease.
type process struct {
	cluster         *testCluster
	n, node         int
	client          *QuotaClient
	token           uint64
	leaseEnd        Time
	units, reserved int
	until           Time
	inFlight        int
	tokens          int
	busy            bool // it has demand
	wakeAt          Time
	lastRequest     uint64 // id of its latest request
	renewing        bool
}

type leader struct {
	cluster   *testCluster
	n         int
	state     *lease.State
	applied   int
	allocator *Allocator
	term      int // 0: it doesn't believe that it leads
	proposals []uint64
	wakeAt    Time
	alarmSet  bool
}

type testCluster struct {
	disabled  string
	config    lease.BudgetConfig
	step      int
	startStep int // the step that an exploration begins at
	log       []lease.Entry
	truth     *lease.State
	leaseEnds map[string]Time // as the granter counts
	leaders   [2]*leader
	processes []*process
	messages  []message
	term      int
	ids       uint64
	fault     string
	elections, losses, demandChanges, regrants, renewals,
	requests int
	olderMessages int // requests of a process that may be in flight beside its latest
}

func nameOf(node int) string { return fmt.Sprint("node/n", node) }

func newTestCluster(without string, t lease.BudgetConfig, nodes int) *testCluster {
	c := &testCluster{disabled: without, config: t, truth: lease.NewState(), leaseEnds: map[string]Time{}}
	for i := range c.leaders {
		l := &leader{cluster: c, n: i, state: lease.NewState()}
		l.allocator = c.newAllocator(l)
		c.leaders[i] = l
	}
	c.append(lease.Entry{Version: 1, Kind: lease.KindFoundCluster, Name: "f"})
	c.elect(0)
	for i := range nodes {
		c.grant(i)
	}
	return c
}

func (c *testCluster) newAllocator(l *leader) *Allocator {
	return NewAllocator(l, l.state, Unsafe{ReuseUnreturned: c.disabled == reuseEarly, ForgetQuotas: c.disabled == forgetQuotas, AcceptStaleReports: c.disabled == acceptStaleReports})
}

func (c *testCluster) append(e lease.Entry) lease.Result {
	c.log = append(c.log, e)
	return c.truth.Apply(e)
}

func (l *leader) catchUp() {
	for ; l.applied < len(l.cluster.log); l.applied++ {
		l.state.Apply(l.cluster.log[l.applied])
	}
}

func (c *testCluster) elect(i int) {
	c.term++
	l := c.leaders[i]
	l.term = c.term
	l.catchUp()
	c.append(lease.Entry{Version: 1, Kind: lease.KindNewTerm, Name: fmt.Sprint(i)})
	l.catchUp()
	l.proposals = nil
	l.allocator.Promote(l.now(), l.state.Term)
	for name := range c.leaseEnds {
		c.leaseEnds[name] = l.now() + c.granterDuration()
	}
}

func (c *testCluster) granterDuration() Time {
	if c.disabled == withoutDriftMargin {
		return leaseDuration
	}
	return lease.GranterDuration(leaseDuration, drift)
}

func (c *testCluster) holderDuration() Time {
	if c.disabled == withoutDriftMargin {
		return leaseDuration
	}
	return lease.HolderDuration(leaseDuration, drift)
}

// grant gives a node's lease to a new process of it.
func (c *testCluster) grant(node int) {
	r := c.append(lease.Entry{Version: 1, Kind: lease.KindGrant, Name: nameOf(node), Holder: lease.Holder{Name: fmt.Sprint("n", node), Process: len(c.processes)}})
	c.leaseEnds[nameOf(node)] = c.granterNow() + c.granterDuration()
	p := &process{cluster: c, n: len(c.processes), node: node, token: r.Token, busy: node == 0}
	p.leaseEnd = p.now() + c.holderDuration()
	c.processes = append(c.processes, p)
	c.current().catchUp()
	p.client = NewQuotaClient(p, p.now(), nameOf(node), r.Token, 1, map[string]lease.BudgetConfig{limit: c.config}, p.leaseEnd, 0)
}

func (c *testCluster) current() *leader {
	for _, l := range c.leaders {
		if l.term == c.term {
			return l
		}
	}
	return nil
}

func (c *testCluster) granterNow() Time { return Time(c.step * fastRate) }
func (l *leader) now() Time             { return l.cluster.granterNow() }
func (p *process) now() Time            { return Time(p.cluster.step * slowRate) }
func (l *leader) SetAlarm(at Time)      { l.wakeAt, l.alarmSet = at, true }
func (p *process) SetAlarm(at Time)     { p.wakeAt = at }

func (l *leader) Propose(ref uint64, _ lease.Entry) { l.proposals = append(l.proposals, ref) }

func (l *leader) Respond(id uint64, a Response) {
	for i := range l.cluster.messages {
		if m := &l.cluster.messages[i]; m.id == id {
			m.response = &a
		}
	}
}

func (p *process) Send(a Request) {
	n := 0
	for i := len(p.cluster.messages) - 1; i >= 0; i-- { // drops the oldest
		if f := p.cluster.messages[i]; f.from == p.n && !f.renewal {
			if n++; n > p.cluster.olderMessages {
				p.cluster.messages = slices.Delete(p.cluster.messages, i, i+1)
			}
		}
	}
	p.cluster.ids++
	p.lastRequest = p.cluster.ids
	p.cluster.messages = append(p.cluster.messages, message{from: p.n, id: p.lastRequest, request: &a, sent: p.now()})
}

func (p *process) SetQuota(_ string, _ lease.BudgetConfig, units, apart int, until Time) allowance.Usage {
	p.units, p.reserved, p.until = units, apart, until
	if p.endAtLease(); p.cluster.disabled != keepBurst {
		p.tokens = min(p.tokens, p.allowed())
	}
	u := allowance.Usage{InFlight: p.inFlight, MeanSeconds: 0.1}
	if p.cluster.disabled == forgetInFlight {
		u.InFlight = 0
	}
	if p.busy {
		u.Wanted = 100
	}
	return u
}

// allowed returns the units that the process may use now.
func (p *process) allowed() int {
	if p.now() < p.until {
		return p.units
	}
	return p.reserved
}

// endAtLease ends requests in flight at the lease's end: none begins that would outlast it.
func (p *process) endAtLease() {
	if p.now() >= p.leaseEnd {
		p.inFlight = min(p.inFlight, p.reserved)
	}
}

type move struct {
	what string
	a, b int
}

func (c *testCluster) moves(most int) (all []move) {
	if c.step-c.startStep < most {
		all = append(all, move{what: "tick"})
	}
	for i, m := range c.messages {
		switch {
		case m.response != nil || m.renewal && m.received:
			all = append(all, move{what: "answer", a: i})
		case !m.received && m.renewal:
			all = append(all, move{what: "renew", a: i})
		case !m.received:
			for _, l := range c.leaders {
				if l.term > 0 {
					all = append(all, move{"ask", i, l.n})
				}
			}
		}
		if c.losses > 0 {
			all = append(all, move{what: "lose", a: i})
		}
	}
	for i, l := range c.leaders {
		if l.term > 0 && len(l.proposals) > 0 {
			all = append(all, move{what: "commit", a: i})
		}
		if c.elections > 0 && l.term != c.term {
			all = append(all, move{what: "elect", a: i})
		}
		if l.term > 0 && l.term != c.term {
			all = append(all, move{what: "depose", a: i})
		}
	}
	for i, p := range c.processes {
		if c.demandChanges > 0 && p.client != nil {
			all = append(all, move{what: "demand", a: i})
		}
		if c.renewals > 0 && !p.renewing && c.truth.Leases[nameOf(p.node)].Token == p.token {
			all = append(all, move{what: "extend", a: i})
		}
		if c.config.Kind == lease.ConcurrencyKind {
			if p.inFlight < p.allowed() && c.requests > 0 {
				all = append(all, move{what: "begin", a: i})
			}
			if p.inFlight > 0 {
				all = append(all, move{what: "finish", a: i})
			}
		}
	}
	for name := range c.leaseEnds {
		var node int
		_, _ = fmt.Sscanf(name, "node/n%d", &node)
		if _, held := c.truth.Leases[name]; !held && c.regrants > 0 {
			all = append(all, move{what: "regrant", a: node})
		}
	}
	slices.SortFunc(all, func(x, y move) int { return slices.Compare([]byte(fmt.Sprint(x)), []byte(fmt.Sprint(y))) })
	return all
}

func (c *testCluster) play(m move) {
	switch m.what {
	case "tick":
		c.step++
		for _, name := range slices.Sorted(maps.Keys(c.leaseEnds)) {
			if l, held := c.truth.Leases[name]; held && c.granterNow() >= c.leaseEnds[name] {
				c.append(lease.Entry{Version: 1, Kind: lease.KindRevoke, Name: name, Token: l.Token})
				c.current().catchUp()
				c.current().allocator.StateChanged(c.granterNow())
			}
		}
		for _, p := range c.processes {
			p.endAtLease()
			if p.now() >= p.leaseEnd && c.disabled != keepBurst {
				p.tokens = min(p.tokens, p.reserved)
			}
			p.tokens = max(p.tokens, p.allowed()) // a step is long enough to fill the bucket
			if p.wakeAt <= p.now() {
				p.client.Alarm(p.now())
			}
		}
	case "ask":
		f := &c.messages[m.a]
		f.received = true
		id, a := f.id, *f.request
		c.leaders[m.b].allocator.Handle(c.granterNow(), id, a)
	case "extend":
		c.renewals--
		c.processes[m.a].renewing = true
		c.ids++
		c.messages = append(c.messages, message{from: m.a, id: c.ids, renewal: true, sent: c.processes[m.a].now()})
	case "renew":
		f := &c.messages[m.a]
		p := c.processes[f.from]
		if c.truth.Leases[nameOf(p.node)].Token != p.token {
			c.messages = slices.Delete(c.messages, m.a, m.a+1)
			p.renewing = false
			break
		}
		f.received = true
		c.leaseEnds[nameOf(p.node)] = max(c.leaseEnds[nameOf(p.node)], c.granterNow()+c.granterDuration())
	case "answer":
		f := c.messages[m.a]
		c.messages = slices.Delete(c.messages, m.a, m.a+1)
		p := c.processes[f.from]
		switch {
		case f.renewal:
			from := f.sent
			if c.disabled == countFromResponse {
				from = p.now()
			}
			p.renewing = false
			p.leaseEnd = max(p.leaseEnd, from+c.holderDuration())
			p.client.ExtendLease(p.leaseEnd)
		case f.id == p.lastRequest:
			p.client.HandleResponse(p.now(), *f.response)
		}
	case "lose":
		c.losses--
		f := c.messages[m.a]
		c.messages = slices.Delete(c.messages, m.a, m.a+1)
		p := c.processes[f.from]
		if f.renewal {
			p.renewing = false
		} else {
			for _, l := range c.leaders {
				l.allocator.CallerGone(f.id)
			}
			if f.id == p.lastRequest {
				p.client.HandleTimeout(p.now())
			}
		}
	case "commit":
		l := c.leaders[m.a]
		ref := l.proposals[0]
		l.proposals = l.proposals[1:]
		if l.term == c.term {
			l.catchUp()
			c.append(l.allocator.proposals[ref])
			l.catchUp()
			l.allocator.Applied(l.now(), ref, false)
		}
	case "elect":
		c.elections--
		c.elect(m.a)
	case "depose":
		l := c.leaders[m.a]
		l.term, l.proposals, l.alarmSet = 0, nil, false
		l.allocator.Demote()
	case "demand":
		c.demandChanges--
		c.processes[m.a].busy = !c.processes[m.a].busy
	case "regrant":
		c.regrants--
		c.grant(m.a)
	case "begin":
		c.requests--
		c.processes[m.a].inFlight++
	case "finish":
		c.processes[m.a].inFlight--
	}
	for range 4 { // alarms that are due at once
		for _, l := range c.leaders {
			if l.term > 0 && l.alarmSet && l.wakeAt <= l.now() {
				l.alarmSet = false
				l.allocator.Alarm(l.now())
			}
		}
	}
	c.checkBounds()
}

// checkBounds checks that the units, requests in flight and tokens of all processes together don't exceed the budget.
func (c *testCluster) checkBounds() {
	sum, saved := 0, 0
	apart := map[int]bool{}
	var told []string
	for i := len(c.processes) - 1; i >= 0; i-- {
		p := c.processes[i]
		units := p.allowed()
		if p.now() >= p.until && apart[p.node] {
			units = 0 // the later process has the node's address, and its reserved units with it
		}
		if p.now() >= p.until && units == 0 {
			p.tokens = min(p.tokens, units)
		}
		apart[p.node] = true
		sum += max(units, p.inFlight)
		saved += p.tokens
		told = append(told, fmt.Sprintf("process %d of n%d: %d, %d going on, %d saved", p.n, p.node, units, p.inFlight, p.tokens))
	}
	if c.fault == "" && (sum > c.config.Units || c.config.Kind == lease.RateKind && saved > c.config.Units) {
		c.fault = fmt.Sprintf("of %d units: %v", c.config.Units, told)
	}
}

// settle plays some steps without faults.
func (c *testCluster) settle(steps int) {
	c.renewals = 100
	for end := c.step + steps; c.step < end; {
		all := c.moves(end)
		at := slices.IndexFunc(all, func(m move) bool {
			return m.what == "answer" || m.what == "commit" || m.what == "renew" || m.what == "ask" || m.what == "extend" && c.renewals > 90
		})
		if at < 0 {
			c.renewals = 100
			at = slices.IndexFunc(all, func(m move) bool { return m.what == "tick" })
		}
		c.play(all[at])
	}
	c.startStep = c.step
}

// clone returns a deep copy.
func (c *testCluster) clone() *testCluster {
	o := *c
	copied := func(s *lease.State) *lease.State {
		x := *s
		x.Leases, x.Budgets = maps.Clone(s.Leases), map[string]*lease.Budget{}
		for name, b := range s.Budgets {
			x.Budgets[name] = b.Clone()
		}
		return &x
	}
	o.log, o.messages, o.truth, o.leaseEnds = c.log[:len(c.log):len(c.log)], slices.Clone(c.messages), copied(c.truth), maps.Clone(c.leaseEnds)
	for i, l := range c.leaders {
		x, d := *l, *l.allocator
		x.cluster, x.state, x.allocator, x.proposals = &o, copied(l.state), &d, slices.Clone(l.proposals)
		d.host, d.state, d.proposals, d.reserves, d.nodes, d.turns = &x, x.state, maps.Clone(d.proposals), maps.Clone(d.reserves), map[string]*nodeRecord{}, map[string]map[string]turn{}
		for name, m := range l.allocator.nodes {
			y := *m
			y.holdings, y.shrinkTo = maps.Clone(m.holdings), maps.Clone(m.shrinkTo)
			d.nodes[name] = &y
		}
		for name, t := range l.allocator.turns {
			d.turns[name] = maps.Clone(t)
		}
		o.leaders[i] = &x
	}
	o.processes = nil
	for _, p := range c.processes {
		x, purse := *p, *p.client
		x.cluster, x.client, purse.host = &o, &purse, &x
		purse.budgets = nil
		for _, s := range p.client.budgets {
			y := *s
			purse.budgets = append(purse.budgets, &y)
		}
		o.processes = append(o.processes, &x)
	}
	return &o
}

// fingerprint returns a hash of everything that tells one state from another.
func (c *testCluster) fingerprint(h hash.Hash64) uint64 {
	h.Reset()
	fmt.Fprint(h, c.step, c.term, c.elections, c.losses, c.demandChanges, c.regrants, c.renewals, c.requests, c.leaseEnds, c.truth.Leases)
	for _, l := range c.leaders {
		fmt.Fprint(h, l.term, len(c.log)-l.applied, l.proposals, l.alarmSet, l.wakeAt)
		for _, name := range slices.Sorted(maps.Keys(l.state.Budgets)) {
			fmt.Fprint(h, *l.state.Budgets[name])
		}
		if l.term > 0 {
			fmt.Fprint(h, l.allocator.stale, l.allocator.nextDivision, l.allocator.retryTime, l.allocator.moveInFlight, l.allocator.turns)
			for _, name := range slices.Sorted(maps.Keys(l.allocator.nodes)) {
				m := l.allocator.nodes[name]
				fmt.Fprint(h, name, m.token, m.holdings, m.shrinkTo, m.requestID != 0, m.deadline)
			}
		}
	}
	for _, p := range c.processes {
		fmt.Fprint(h, p.units, p.reserved, p.until, p.inFlight, p.tokens, p.busy, p.wakeAt, p.renewing, p.leaseEnd, p.client.nextRequest, p.client.lastSample)
		for _, s := range p.client.budgets {
			fmt.Fprint(h, *s)
		}
	}
	var flying []string // in whatever order
	for _, m := range c.messages {
		as := fmt.Sprint(m.from, m.sent, m.received, m.renewal, m.id == c.processes[m.from].lastRequest)
		if m.request != nil {
			as += fmt.Sprint(m.request.Holdings)
		}
		if m.response != nil {
			as += fmt.Sprint(*m.response)
		}
		flying = append(flying, as)
	}
	slices.Sort(flying)
	fmt.Fprint(h, flying)
	return h.Sum64()
}
