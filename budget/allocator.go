package budget

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/thistlerudder/thistlerudder/lease"
)

// Limits on what an Allocator accepts.
const (
	maxNodes    = 4096
	maxHoldings = 64  // budgets in one request
	maxWeight   = 1e6 // of a node
	maxWait     = 10_000 * lease.Millisecond
)

// divisionInterval is the shortest time between two divisions, so that changes within it share one log entry.
const divisionInterval = 20 * lease.Millisecond

const (
	entryVersion  = 2       // of the log's entries, the first one with budgets
	moveEntryName = "parts" // the name under which entries of quota moves are stored
)

// Host performs the actions of an Allocator. Its methods must neither block nor call back.
type Host interface {
	// Propose appends an entry to the replicated log; Allocator.Applied reports the outcome under the same ref.
	Propose(ref uint64, e lease.Entry)
	// Respond answers the request with this id.
	Respond(id uint64, r Response)
	// SetAlarm schedules a call of Allocator.Alarm at that time or soon after; it replaces an earlier alarm.
	SetAlarm(t Time)
}

// Unsafe disables safeguards, so that tests can show that their checks detect each one's absence.
type Unsafe struct {
	ReuseUnreturned    bool // units that a node was asked to give back count as free before it has done so
	ForgetQuotas       bool // a new leader takes all quotas to be free
	AcceptStaleReports bool // a report under an outdated quota token counts for the present quota
}

// nodeRecord is the state of a node that has sent a request in this term.
type nodeRecord struct {
	token     uint64 // of the node's lease
	weight    float64
	holdings  map[string]Holding // latest reports, by budget
	shrinkTo  map[string]int     // units that the node has to come down to, by budget
	requestID uint64             // id of the request that waits for an answer, 0: none
	deadline  Time               // of that request
}

// Allocator divides all budgets of a cluster on the node that leads. It remembers demand only; the quotas themselves are in
// the lease.State, so a new leader starts from these, and a node that hasn't reported to it yet keeps its quotas.
// An Allocator is not safe for concurrent use.
type Allocator struct {
	host   Host
	state  *lease.State
	unsafe Unsafe

	leader    bool
	term      uint64
	nodes     map[string]*nodeRecord     // by lease
	turns     map[string]map[string]turn // by budget and lease
	reserves  map[string]int             // by budget, as of the last division
	lastRef   uint64
	proposals map[uint64]lease.Entry // not applied yet, by ref

	moveInFlight bool // one of the proposals is an entry of moves
	stale        bool // something has changed since the last division
	nextDivision Time // earliest time of the next division
	retryTime    Time // when to divide again though nothing has changed, 0: no need
	moveRate     moveRate
}

// NewAllocator returns an Allocator that doesn't lead.
func NewAllocator(host Host, state *lease.State, u Unsafe) *Allocator {
	a := &Allocator{host: host, state: state, unsafe: u}
	a.Demote()
	return a
}

// Promote makes the Allocator the leader's. An entry of this term must have been applied to the state already.
func (a *Allocator) Promote(now Time, term uint64) {
	a.Demote()
	a.leader = true
	a.term = term
	a.moveRate.reset(now)
	if a.unsafe.ForgetQuotas {
		a.freeAllQuotas()
	}
	a.StateChanged(now)
}

// freeAllQuotas takes all units off all nodes, without asking them.
func (a *Allocator) freeAllQuotas() {
	var moves []lease.QuotaMove
	for name, b := range a.state.Budgets {
		for leaseName, quota := range b.Quotas {
			moves = append(moves, lease.QuotaMove{Budget: name, Lease: leaseName, Token: a.state.Leases[leaseName].Token, FromToken: quota.Token})
		}
	}
	a.propose(lease.Entry{Kind: lease.KindMoveQuotas, Moves: moves})
}

// Demote ends leadership, or what may have been it: it answers all waiting requests with lease.ErrNotLeader and discards
// everything remembered of the nodes.
func (a *Allocator) Demote() {
	for _, name := range slices.Sorted(maps.Keys(a.nodes)) {
		a.reply(a.nodes[name], Response{Err: lease.ErrNotLeader})
	}
	a.leader = false
	a.moveInFlight = false
	a.stale = false
	a.nodes = map[string]*nodeRecord{}
	a.turns = map[string]map[string]turn{}
	a.proposals = map[uint64]lease.Entry{}
	a.reserves = map[string]int{}
}

// IsLeader reports whether the Allocator believes that it leads.
func (a *Allocator) IsLeader() bool { return a.leader }

// Demand returns the units of a budget that all nodes in contact could use, and those held back for nodes without any.
func (a *Allocator) Demand(name string) (demand, reserve int) {
	for _, n := range a.nodes {
		demand += n.holdings[name].Demand
	}
	return demand, a.reserves[name]
}

// Handle takes a node's request. Its id must be above 0 and different from those of all requests that wait.
func (a *Allocator) Handle(now Time, id uint64, r Request) {
	if err := a.validate(r); err != nil {
		a.host.Respond(id, Response{Err: err})
		return
	}
	n := a.getOrCreateNode(r)
	a.reply(n, Response{Err: lease.ErrWithdrawn}) // a node's later request replaces its earlier one
	n.requestID = id
	n.deadline = now + min(max(r.Wait, 0), maxWait)
	n.weight = cmp.Or(r.Weight, 1)
	a.recordHoldings(n, r)
	a.proposeDeclared(r.Declared)
	a.notifyNode(r.Lease)
	a.scheduleAlarm(now)
}

// validate returns the error that a request is refused with, if any.
func (a *Allocator) validate(r Request) error {
	if !a.leader {
		return lease.ErrNotLeader
	}
	if current, ok := a.state.Leases[r.Lease]; !ok || current.Token != r.Token {
		return lease.ErrLeaseExpired
	}
	if len(a.nodes) >= maxNodes && a.nodes[r.Lease] == nil {
		return lease.ErrLimitExceeded
	}
	if r.Weight < 0 || r.Weight > maxWeight || len(r.Holdings) > maxHoldings || len(r.Declared) > maxHoldings {
		return lease.ErrMalformed
	}
	return nil
}

// getOrCreateNode returns the record of the request's node, a new one if the node or its lease is new.
func (a *Allocator) getOrCreateNode(r Request) *nodeRecord {
	n := a.nodes[r.Lease]
	if n != nil && n.token == r.Token {
		return n
	}
	if n != nil {
		a.reply(n, Response{Err: lease.ErrWithdrawn})
	}
	n = &nodeRecord{token: r.Token, holdings: map[string]Holding{}, shrinkTo: map[string]int{}}
	a.nodes[r.Lease] = n
	a.stale = true
	return n
}

// recordHoldings keeps a node's reports, and notes whether one of them calls for a division.
func (a *Allocator) recordHoldings(n *nodeRecord, r Request) {
	for _, h := range r.Holdings {
		previous, known := n.holdings[h.Budget]
		b := a.state.Budgets[h.Budget]
		returned := b != nil && b.Quotas[r.Lease].Units > h.Units
		if !known || previous.Demand != h.Demand || returned {
			a.stale = true
		}
		n.holdings[h.Budget] = h
	}
}

// proposeDeclared proposes the budgets of a node's configuration that the cluster doesn't have yet.
func (a *Allocator) proposeDeclared(declared map[string]lease.BudgetConfig) {
	for _, name := range slices.Sorted(maps.Keys(declared)) {
		if a.state.Budgets[name] != nil || a.isProposed(name) {
			continue
		}
		config := declared[name]
		config.Revision = 0
		a.propose(lease.Entry{Kind: lease.KindSetBudget, Name: name, Budget: &config})
	}
}

// isProposed reports whether a proposal for this budget is not applied yet.
func (a *Allocator) isProposed(name string) bool {
	for _, e := range a.proposals {
		if e.Kind == lease.KindSetBudget && e.Name == name {
			return true
		}
	}
	return false
}

// CallerGone drops a waiting request whose caller has disconnected. The node itself stays known.
func (a *Allocator) CallerGone(id uint64) {
	for _, n := range a.nodes {
		if n.requestID == id {
			n.requestID = 0
		}
	}
}

// StateChanged must be called after any entry has been applied to the state.
func (a *Allocator) StateChanged(now Time) {
	if a.leader {
		a.stale = true
		a.scheduleAlarm(now)
	}
}

// Applied reports the outcome of a proposal. lost means that it is unknown whether the entry is or will be applied.
func (a *Allocator) Applied(now Time, ref uint64, lost bool) {
	e, ok := a.proposals[ref]
	if !ok {
		return
	}
	delete(a.proposals, ref)
	if e.Kind == lease.KindMoveQuotas {
		a.moveInFlight = false
		if lost {
			a.nextDivision = now + divisionInterval // the state may show the outcome by then
		}
	}
	a.stale = true
	a.notifyAllNodes()
	a.scheduleAlarm(now)
}

func (a *Allocator) propose(e lease.Entry) {
	e.Term = a.term
	e.Version = entryVersion
	if e.Kind == lease.KindMoveQuotas {
		e.Name = moveEntryName
		a.moveInFlight = true
	}
	a.lastRef++
	a.proposals[a.lastRef] = e
	a.host.Propose(a.lastRef, e)
}

// reply answers a node's request, if one waits.
func (a *Allocator) reply(n *nodeRecord, r Response) {
	if n.requestID == 0 {
		return
	}
	id := n.requestID
	n.requestID = 0
	a.host.Respond(id, r)
}

func (a *Allocator) notifyAllNodes() {
	for _, name := range slices.Sorted(maps.Keys(a.nodes)) {
		a.notifyNode(name)
	}
}

// notifyNode answers a node's waiting request if something has changed for the node.
func (a *Allocator) notifyNode(name string) {
	n := a.nodes[name]
	if n == nil || n.requestID == 0 {
		return
	}
	changed := false
	var updates []QuotaUpdate
	for _, budget := range slices.Sorted(maps.Keys(n.holdings)) {
		b := a.state.Budgets[budget]
		if b == nil {
			continue
		}
		u := QuotaUpdate{
			Budget:    budget,
			Config:    b.BudgetConfig,
			Quota:     b.Quotas[name],
			ShrinkTo:  noShrink,
			Allocated: b.Allocated(),
			Reserve:   a.reserves[budget],
		}
		if target, ok := n.shrinkTo[budget]; ok && target < u.Quota.Units {
			u.ShrinkTo = target
		}
		changed = changed || u.differs(n.holdings[budget])
		updates = append(updates, u)
	}
	if changed {
		a.reply(n, Response{Updates: updates})
	}
}

// differs reports whether the node that sent this report must be notified of the update.
func (u QuotaUpdate) differs(h Holding) bool {
	if u.Quota.Token > h.Token || u.Config.Revision != h.Revision {
		return true
	}
	return u.Quota.Token == h.Token && u.ShrinkTo != h.ShrinkTo
}

// Alarm must be called at or soon after the time that Host.SetAlarm named.
func (a *Allocator) Alarm(now Time) {
	if !a.leader {
		return
	}
	a.expireNodes(now)
	due := a.stale && now >= a.nextDivision || a.retryTime > 0 && now >= a.retryTime
	if due && !a.moveInFlight {
		a.divide(now)
	}
	a.scheduleAlarm(now)
}

// expireNodes drops nodes whose lease has ended, and ends the requests that have waited long enough.
func (a *Allocator) expireNodes(now Time) {
	for _, name := range slices.Sorted(maps.Keys(a.nodes)) {
		n := a.nodes[name]
		if current, ok := a.state.Leases[name]; !ok || current.Token != n.token {
			a.reply(n, Response{Err: lease.ErrLeaseExpired})
			delete(a.nodes, name)
			a.stale = true
		} else if n.requestID != 0 && now >= n.deadline {
			a.reply(n, Response{Err: lease.ErrStillHeld})
		}
	}
}

// scheduleAlarm asks for a call at the next division or the next deadline of a request, whichever comes first.
func (a *Allocator) scheduleAlarm(now Time) {
	alarmTime := Time(math.MaxInt64)
	if a.stale && !a.moveInFlight {
		alarmTime = a.nextDivision
	}
	if a.retryTime > 0 && !a.moveInFlight {
		alarmTime = min(alarmTime, a.retryTime)
	}
	for _, n := range a.nodes {
		if n.requestID != 0 {
			alarmTime = min(alarmTime, n.deadline)
		}
	}
	if alarmTime < math.MaxInt64 {
		a.host.SetAlarm(max(alarmTime, now))
	}
}
