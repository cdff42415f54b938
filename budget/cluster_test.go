package budget

import (
	"fmt"
	"hash"
	"maps"
	"slices"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/lease"
)

// This file models a small cluster: a replicated log, two leaders, and nodes whose leases expire. One of the leaders may be
// deposed without knowing it. The tests explore the order of messages and elections under drifting clocks. In the model the
// ends of a lease at its holder and at its granter are plain times. The tests of package lease verify that a lease ends at its
// holder before it ends at its granter.

const (
	trueRate      = 1000 // clock ticks per step without drift
	fastRate      = 1250 // clock ticks per step with the maximum drift upwards; the granter's clock
	slowRate      = 750  // clock ticks per step with the maximum drift downwards; the processes' clocks
	leaseDuration = Time(4 * trueRate)
	drift         = 0.25
)

// Safeguards that a test can disable. The comments say what happens without them.
const (
	noDriftMargin      = "drift-margin"        // lease durations have no margin for clock drift
	countFromResponse  = "count-from-answer"   // the holder counts a lease's duration from the response, not from the request
	keepBurst          = "burst-kept"          // a process keeps its tokens when its quota shrinks
	reuseEarly         = "reuse-early"         // units that a node was asked to give back count as free immediately
	forgetQuotas       = "leader-forgets"      // a new leader treats the units of all quotas as free
	acceptStaleReports = "stale-report"        // a report with an outdated quota token is applied to the current quota
	forgetInFlight     = "in-flight-forgotten" // requests in flight don't count as units in use
)

var safeguards = []string{noDriftMargin, countFromResponse, keepBurst, reuseEarly, forgetQuotas, acceptStaleReports, forgetInFlight}

const budgetName = "limit"

type message struct {
	process  int // index of the process that sent the request
	id       uint64
	request  *Request  // nil for a renewal
	response *Response // nil until the leader responds
	renewal  bool      // the message renews the lease of the node
	sentAt   Time
	received bool // a leader has received the request or renewal
}

// process is a process of a node. A node may have several processes, of which the earlier ones haven't noticed the end of
// their lease.
type process struct {
	cluster         *testCluster
	index, node     int // index in testCluster.processes, number of the node
	client          *QuotaClient
	token           uint64
	leaseEnd        Time
	units, reserved int
	quotaEnd        Time
	inFlight        int
	tokens          int
	hasDemand       bool
	alarmTime       Time
	latestRequestID uint64
	renewalInFlight bool
}

type leader struct {
	cluster   *testCluster
	index     int
	state     *lease.State
	applied   int // number of log entries applied to state
	allocator *Allocator
	term      int // term that this leader believes to lead in, 0: none
	proposals []uint64
	alarmTime Time
	alarmSet  bool
}

type testCluster struct {
	disabledSafeguard string
	config            lease.BudgetConfig
	step              int
	startStep         int // step at which an exploration begins
	log               []lease.Entry
	committed         *lease.State    // state after all entries of the log
	leaseEnds         map[string]Time // end of each lease at the granter, by lease name
	leaders           [2]*leader
	processes         []*process
	messages          []message
	term              int
	lastMessageID     uint64
	violation         string // first state that exceeded the budget, empty: none
	// Number of events of each kind that may still happen.
	elections, messageLosses, demandChanges, regrants, renewals, requests int

	maxOlderRequests int // number of older requests of a process that may be in flight in addition to its latest
}

func leaseNameOf(node int) string { return fmt.Sprint("node/n", node) }

func newTestCluster(disabled string, config lease.BudgetConfig, nodes int) *testCluster {
	c := &testCluster{disabledSafeguard: disabled, config: config, committed: lease.NewState(), leaseEnds: map[string]Time{}}
	for i := range c.leaders {
		l := &leader{cluster: c, index: i, state: lease.NewState()}
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
	return NewAllocator(l, l.state, Unsafe{
		ReuseUnreturned:    c.disabledSafeguard == reuseEarly,
		ForgetQuotas:       c.disabledSafeguard == forgetQuotas,
		AcceptStaleReports: c.disabledSafeguard == acceptStaleReports,
	})
}

func (c *testCluster) append(e lease.Entry) lease.Result {
	c.log = append(c.log, e)
	return c.committed.Apply(e)
}

func (l *leader) applyLog() {
	for ; l.applied < len(l.cluster.log); l.applied++ {
		l.state.Apply(l.cluster.log[l.applied])
	}
}

func (c *testCluster) elect(i int) {
	c.term++
	l := c.leaders[i]
	l.term = c.term
	l.applyLog()
	c.append(lease.Entry{Version: 1, Kind: lease.KindNewTerm, Name: fmt.Sprint(i)})
	l.applyLog()
	l.proposals = nil
	l.allocator.Promote(l.now(), l.state.Term)
	for name := range c.leaseEnds {
		c.leaseEnds[name] = l.now() + c.granterDuration()
	}
}

func (c *testCluster) granterDuration() Time {
	if c.disabledSafeguard == noDriftMargin {
		return leaseDuration
	}
	return lease.GranterDuration(leaseDuration, drift)
}

func (c *testCluster) holderDuration() Time {
	if c.disabledSafeguard == noDriftMargin {
		return leaseDuration
	}
	return lease.HolderDuration(leaseDuration, drift)
}

// grant starts a new process of a node and grants the node's lease to it.
func (c *testCluster) grant(node int) {
	r := c.append(lease.Entry{Version: 1, Kind: lease.KindGrant, Name: leaseNameOf(node), Holder: lease.Holder{Name: fmt.Sprint("n", node), Process: len(c.processes)}})
	c.leaseEnds[leaseNameOf(node)] = c.granterNow() + c.granterDuration()
	p := &process{cluster: c, index: len(c.processes), node: node, token: r.Token, hasDemand: node == 0}
	p.leaseEnd = p.now() + c.holderDuration()
	c.processes = append(c.processes, p)
	c.currentLeader().applyLog()
	p.client = NewQuotaClient(p, p.now(), leaseNameOf(node), r.Token, 1, map[string]lease.BudgetConfig{budgetName: c.config}, p.leaseEnd, 0)
}

func (c *testCluster) currentLeader() *leader {
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
func (l *leader) SetAlarm(t Time)       { l.alarmTime, l.alarmSet = t, true }
func (p *process) SetAlarm(t Time)      { p.alarmTime = t }

func (l *leader) Propose(ref uint64, _ lease.Entry) { l.proposals = append(l.proposals, ref) }

func (l *leader) Respond(id uint64, r Response) {
	for i := range l.cluster.messages {
		if m := &l.cluster.messages[i]; m.id == id {
			m.response = &r
		}
	}
}

func (p *process) Send(r Request) {
	inFlight := 0
	for i := len(p.cluster.messages) - 1; i >= 0; i-- { // newest first; drops the requests beyond maxOlderRequests
		if m := p.cluster.messages[i]; m.process == p.index && !m.renewal {
			if inFlight++; inFlight > p.cluster.maxOlderRequests {
				p.cluster.messages = slices.Delete(p.cluster.messages, i, i+1)
			}
		}
	}
	p.cluster.lastMessageID++
	p.latestRequestID = p.cluster.lastMessageID
	p.cluster.messages = append(p.cluster.messages, message{process: p.index, id: p.latestRequestID, request: &r, sentAt: p.now()})
}

func (p *process) SetQuota(_ string, _ lease.BudgetConfig, units, reserved int, quotaEnd Time) quotalimit.Usage {
	p.units, p.reserved, p.quotaEnd = units, reserved, quotaEnd
	if p.abortAtLeaseEnd(); p.cluster.disabledSafeguard != keepBurst {
		p.tokens = min(p.tokens, p.usableUnits())
	}
	usage := quotalimit.Usage{InFlight: p.inFlight, MeanSeconds: 0.1}
	if p.cluster.disabledSafeguard == forgetInFlight {
		usage.InFlight = 0
	}
	if p.hasDemand {
		usage.Requested = 100
	}
	return usage
}

// allowed returns the units that the process may use now.
func (p *process) usableUnits() int {
	if p.now() < p.quotaEnd {
		return p.units
	}
	return p.reserved
}

// abortAtLeaseEnd ends the requests in flight beyond the reserved units once the lease has ended, since a request must not
// outlast the lease.
func (p *process) abortAtLeaseEnd() {
	if p.now() >= p.leaseEnd {
		p.inFlight = min(p.inFlight, p.reserved)
	}
}

// Kinds of events. possibleEvents sorts events by these values, so they determine which event a random index selects.
const (
	eventTick       = "tick"    // advances all clocks by one step and runs the alarms of processes
	deliverRequest  = "ask"     // delivers a request to a leader
	deliverResponse = "answer"  // delivers a response to a process
	sendRenewal     = "extend"  // a process sends a renewal of its lease
	deliverRenewal  = "renew"   // delivers a renewal to the granter
	loseMessage     = "lose"    // drops a request, a response or a renewal
	commitProposal  = "commit"  // commits the first proposal of a leader, or drops it if the leader is deposed
	electLeader     = "elect"   // starts a new term of a leader
	deposeLeader    = "depose"  // a leader learns that another one has been elected
	changeDemand    = "demand"  // turns the demand of a process on or off
	regrantLease    = "regrant" // grants an expired lease to a new process of the node
	beginRequest    = "begin"   // a process begins a request under a concurrency budget
	finishRequest   = "finish"  // a request in flight ends
)

type event struct {
	kind   string
	index  int // of the message, leader, process or node, depending on kind
	leader int // index of the leader that receives a request
}

// possibleEvents returns all events that can happen next, in a fixed order. Ticks are among them until maxSteps steps have
// passed since startStep.
func (c *testCluster) possibleEvents(maxSteps int) (events []event) {
	if c.step-c.startStep < maxSteps {
		events = append(events, event{kind: eventTick})
	}
	for i, m := range c.messages {
		switch {
		case m.response != nil || m.renewal && m.received:
			events = append(events, event{kind: deliverResponse, index: i})
		case !m.received && m.renewal:
			events = append(events, event{kind: deliverRenewal, index: i})
		case !m.received:
			for _, l := range c.leaders {
				if l.term > 0 {
					events = append(events, event{deliverRequest, i, l.index})
				}
			}
		}
		if c.messageLosses > 0 {
			events = append(events, event{kind: loseMessage, index: i})
		}
	}
	for i, l := range c.leaders {
		if l.term > 0 && len(l.proposals) > 0 {
			events = append(events, event{kind: commitProposal, index: i})
		}
		if c.elections > 0 && l.term != c.term {
			events = append(events, event{kind: electLeader, index: i})
		}
		if l.term > 0 && l.term != c.term {
			events = append(events, event{kind: deposeLeader, index: i})
		}
	}
	for i, p := range c.processes {
		if c.demandChanges > 0 && p.client != nil {
			events = append(events, event{kind: changeDemand, index: i})
		}
		if c.renewals > 0 && !p.renewalInFlight && c.committed.Leases[leaseNameOf(p.node)].Token == p.token {
			events = append(events, event{kind: sendRenewal, index: i})
		}
		if c.config.Kind == lease.BudgetKindConcurrency {
			if p.inFlight < p.usableUnits() && c.requests > 0 {
				events = append(events, event{kind: beginRequest, index: i})
			}
			if p.inFlight > 0 {
				events = append(events, event{kind: finishRequest, index: i})
			}
		}
	}
	for name := range c.leaseEnds {
		var node int
		_, _ = fmt.Sscanf(name, "node/n%d", &node)
		if _, held := c.committed.Leases[name]; !held && c.regrants > 0 {
			events = append(events, event{kind: regrantLease, index: node})
		}
	}
	slices.SortFunc(events, func(x, y event) int { return slices.Compare([]byte(fmt.Sprint(x)), []byte(fmt.Sprint(y))) })
	return events
}

func (c *testCluster) execute(e event) {
	switch e.kind {
	case eventTick:
		c.step++
		for _, name := range slices.Sorted(maps.Keys(c.leaseEnds)) {
			if l, held := c.committed.Leases[name]; held && c.granterNow() >= c.leaseEnds[name] {
				c.append(lease.Entry{Version: 1, Kind: lease.KindRevoke, Name: name, Token: l.Token})
				c.currentLeader().applyLog()
				c.currentLeader().allocator.StateChanged(c.granterNow())
			}
		}
		for _, p := range c.processes {
			p.abortAtLeaseEnd()
			if p.now() >= p.leaseEnd && c.disabledSafeguard != keepBurst {
				p.tokens = min(p.tokens, p.reserved)
			}
			p.tokens = max(p.tokens, p.usableUnits()) // a step is long enough to fill the bucket
			if p.alarmTime <= p.now() {
				p.client.Alarm(p.now())
			}
		}
	case deliverRequest:
		m := &c.messages[e.index]
		m.received = true
		id, request := m.id, *m.request
		c.leaders[e.leader].allocator.Handle(c.granterNow(), id, request)
	case sendRenewal:
		c.renewals--
		c.processes[e.index].renewalInFlight = true
		c.lastMessageID++
		c.messages = append(c.messages, message{process: e.index, id: c.lastMessageID, renewal: true, sentAt: c.processes[e.index].now()})
	case deliverRenewal:
		m := &c.messages[e.index]
		p := c.processes[m.process]
		if c.committed.Leases[leaseNameOf(p.node)].Token != p.token {
			c.messages = slices.Delete(c.messages, e.index, e.index+1)
			p.renewalInFlight = false
			break
		}
		m.received = true
		c.leaseEnds[leaseNameOf(p.node)] = max(c.leaseEnds[leaseNameOf(p.node)], c.granterNow()+c.granterDuration())
	case deliverResponse:
		m := c.messages[e.index]
		c.messages = slices.Delete(c.messages, e.index, e.index+1)
		p := c.processes[m.process]
		switch {
		case m.renewal:
			start := m.sentAt
			if c.disabledSafeguard == countFromResponse {
				start = p.now()
			}
			p.renewalInFlight = false
			p.leaseEnd = max(p.leaseEnd, start+c.holderDuration())
			p.client.ExtendLease(p.leaseEnd)
		case m.id == p.latestRequestID:
			p.client.HandleResponse(p.now(), *m.response)
		}
	case loseMessage:
		c.messageLosses--
		m := c.messages[e.index]
		c.messages = slices.Delete(c.messages, e.index, e.index+1)
		p := c.processes[m.process]
		if m.renewal {
			p.renewalInFlight = false
		} else {
			for _, l := range c.leaders {
				l.allocator.CancelRequest(m.id)
			}
			if m.id == p.latestRequestID {
				p.client.HandleTimeout(p.now())
			}
		}
	case commitProposal:
		l := c.leaders[e.index]
		ref := l.proposals[0]
		l.proposals = l.proposals[1:]
		if l.term == c.term {
			l.applyLog()
			c.append(l.allocator.proposals[ref])
			l.applyLog()
			l.allocator.HandleProposalResult(l.now(), ref, false)
		}
	case electLeader:
		c.elections--
		c.elect(e.index)
	case deposeLeader:
		l := c.leaders[e.index]
		l.term, l.proposals, l.alarmSet = 0, nil, false
		l.allocator.Demote()
	case changeDemand:
		c.demandChanges--
		c.processes[e.index].hasDemand = !c.processes[e.index].hasDemand
	case regrantLease:
		c.regrants--
		c.grant(e.index)
	case beginRequest:
		c.requests--
		c.processes[e.index].inFlight++
	case finishRequest:
		c.processes[e.index].inFlight--
	}
	for range 4 { // an alarm may set another one that is due immediately
		for _, l := range c.leaders {
			if l.term > 0 && l.alarmSet && l.alarmTime <= l.now() {
				l.alarmSet = false
				l.allocator.Alarm(l.now())
			}
		}
	}
	c.checkBounds()
}

// checkBounds records a violation if the units, requests in flight or tokens of all processes together exceed the budget.
func (c *testCluster) checkBounds() {
	usedUnits, savedTokens := 0, 0
	hasLaterProcess := map[int]bool{}
	var descriptions []string
	for i := len(c.processes) - 1; i >= 0; i-- {
		p := c.processes[i]
		units := p.usableUnits()
		if p.now() >= p.quotaEnd && hasLaterProcess[p.node] {
			units = 0 // the later process has taken over the node's address and its reserved units
		}
		if p.now() >= p.quotaEnd && units == 0 {
			p.tokens = min(p.tokens, units)
		}
		hasLaterProcess[p.node] = true
		usedUnits += max(units, p.inFlight)
		savedTokens += p.tokens
		descriptions = append(descriptions, fmt.Sprintf("process %d of n%d: %d units, %d requests in flight, %d tokens", p.index, p.node, units, p.inFlight, p.tokens))
	}
	if c.violation == "" && (usedUnits > c.config.Units || c.config.Kind == lease.BudgetKindRate && savedTokens > c.config.Units) {
		c.violation = fmt.Sprintf("budget of %d units exceeded: %v", c.config.Units, descriptions)
	}
}

// settle runs the given number of steps without faults, with up to 10 lease renewals in each step.
func (c *testCluster) settle(steps int) {
	c.renewals = 100
	for end := c.step + steps; c.step < end; {
		events := c.possibleEvents(end)
		i := slices.IndexFunc(events, func(e event) bool {
			switch e.kind {
			case deliverRequest, deliverResponse, deliverRenewal, commitProposal:
				return true
			case sendRenewal:
				return c.renewals > 90
			}
			return false
		})
		if i < 0 {
			c.renewals = 100
			i = slices.IndexFunc(events, func(e event) bool { return e.kind == eventTick })
		}
		c.execute(events[i])
	}
	c.startStep = c.step
}

// clone returns a deep copy of the cluster.
func (c *testCluster) clone() *testCluster {
	clusterCopy := *c
	cloneState := func(s *lease.State) *lease.State {
		stateCopy := *s
		stateCopy.Leases, stateCopy.Budgets = maps.Clone(s.Leases), map[string]*lease.Budget{}
		for name, b := range s.Budgets {
			stateCopy.Budgets[name] = b.Clone()
		}
		return &stateCopy
	}
	clusterCopy.log = c.log[:len(c.log):len(c.log)]
	clusterCopy.messages = slices.Clone(c.messages)
	clusterCopy.committed = cloneState(c.committed)
	clusterCopy.leaseEnds = maps.Clone(c.leaseEnds)
	for i, l := range c.leaders {
		leaderCopy, allocatorCopy := *l, *l.allocator
		leaderCopy.cluster = &clusterCopy
		leaderCopy.state = cloneState(l.state)
		leaderCopy.allocator = &allocatorCopy
		leaderCopy.proposals = slices.Clone(l.proposals)
		allocatorCopy.host = &leaderCopy
		allocatorCopy.state = leaderCopy.state
		allocatorCopy.proposals = maps.Clone(allocatorCopy.proposals)
		allocatorCopy.reserves = maps.Clone(allocatorCopy.reserves)
		allocatorCopy.nodes = map[string]*nodeRecord{}
		allocatorCopy.turns = map[string]map[string]turn{}
		for name, n := range l.allocator.nodes {
			nodeCopy := *n
			nodeCopy.reports, nodeCopy.shrinkTo = maps.Clone(n.reports), maps.Clone(n.shrinkTo)
			allocatorCopy.nodes[name] = &nodeCopy
		}
		for name, turns := range l.allocator.turns {
			allocatorCopy.turns[name] = maps.Clone(turns)
		}
		clusterCopy.leaders[i] = &leaderCopy
	}
	clusterCopy.processes = nil
	for _, p := range c.processes {
		processCopy, clientCopy := *p, *p.client
		processCopy.cluster, processCopy.client, clientCopy.host = &clusterCopy, &clientCopy, &processCopy
		clientCopy.budgets = nil
		for _, b := range p.client.budgets {
			budgetCopy := *b
			clientCopy.budgets = append(clientCopy.budgets, &budgetCopy)
		}
		clusterCopy.processes = append(clusterCopy.processes, &processCopy)
	}
	return &clusterCopy
}

// fingerprint returns a hash of everything that distinguishes one state of the cluster from another.
func (c *testCluster) fingerprint(h hash.Hash64) uint64 {
	h.Reset()
	fmt.Fprint(h, c.step, c.term, c.elections, c.messageLosses, c.demandChanges, c.regrants, c.renewals, c.requests, c.leaseEnds, c.committed.Leases)
	for _, l := range c.leaders {
		fmt.Fprint(h, l.term, len(c.log)-l.applied, l.proposals, l.alarmSet, l.alarmTime)
		for _, name := range slices.Sorted(maps.Keys(l.state.Budgets)) {
			fmt.Fprint(h, *l.state.Budgets[name])
		}
		if l.term > 0 {
			fmt.Fprint(h, l.allocator.stale, l.allocator.nextDivision, l.allocator.redivideTime, l.allocator.moveInFlight, l.allocator.turns)
			for _, name := range slices.Sorted(maps.Keys(l.allocator.nodes)) {
				n := l.allocator.nodes[name]
				fmt.Fprint(h, name, n.token, n.reports, n.shrinkTo, n.requestID != 0, n.deadline)
			}
		}
	}
	for _, p := range c.processes {
		fmt.Fprint(h, p.units, p.reserved, p.quotaEnd, p.inFlight, p.tokens, p.hasDemand, p.alarmTime, p.renewalInFlight, p.leaseEnd, p.client.nextRequest, p.client.lastSample)
		for _, b := range p.client.budgets {
			fmt.Fprint(h, *b)
		}
	}
	var messages []string // sorted, because the order of messages doesn't matter
	for _, m := range c.messages {
		description := fmt.Sprint(m.process, m.sentAt, m.received, m.renewal, m.id == c.processes[m.process].latestRequestID)
		if m.request != nil {
			description += fmt.Sprint(m.request.Reports)
		}
		if m.response != nil {
			description += fmt.Sprint(*m.response)
		}
		messages = append(messages, description)
	}
	slices.Sort(messages)
	fmt.Fprint(h, messages)
	return h.Sum64()
}
