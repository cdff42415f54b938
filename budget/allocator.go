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
	maxNodes   = 4096
	maxReports = 64                         // number of budgets in the reports, and in the declared configurations, of one request
	maxWeight  = 1e6                        // weight of one node
	maxWait    = 10_000 * lease.Millisecond // longer waits of requests are shortened to this
)

// divisionInterval is the minimum time between two divisions. Changes within this interval share one log entry.
const divisionInterval = 20 * lease.Millisecond

const (
	entryVersion  = 2       // log entry version; version 2 is the first with budgets
	moveEntryName = "parts" // name of log entries that move quotas
)

// Host performs the actions of an Allocator. Its methods must neither block nor call methods of the Allocator.
type Host interface {
	// Propose appends an entry to the replicated log. Its outcome must be reported to Allocator.HandleProposalResult with the same
	// ref.
	Propose(ref uint64, e lease.Entry)
	// Respond sends the response to the request that was passed to Allocator.Handle with this id.
	Respond(id uint64, r Response)
	// SetAlarm schedules a call of Allocator.Alarm at time t or soon after. It replaces the previous alarm.
	SetAlarm(t Time)
}

// Unsafe disables safeguards. Tests use it to verify that their checks detect the absence of each safeguard.
type Unsafe struct {
	ReuseUnreturned    bool // units that a node was asked to give back count as free before the node has returned them
	ForgetQuotas       bool // a new leader treats the units of all quotas as free
	AcceptStaleReports bool // a report with an outdated quota token is applied to the current quota
}

// nodeRecord is the leader's in-memory state of a node that has sent a request in this term.
type nodeRecord struct {
	token     uint64 // token of the node's lease
	weight    float64
	reports   map[string]Report // latest report of the node, by budget
	shrinkTo  map[string]int    // units that the node has to shrink its usage to, by budget
	requestID uint64            // ID of the request that waits for a response, 0: none
	deadline  Time              // time by which that request must be answered
}

// Allocator runs on the leader and divides all budgets of the cluster. It keeps only demand in memory; the quotas are part
// of the replicated lease.State. A new leader therefore starts from the quotas in force, and a node that hasn't reported to
// the new leader yet keeps its quotas. An Allocator is not safe for concurrent use.
type Allocator struct {
	host   Host
	state  *lease.State
	unsafe Unsafe

	leader    bool
	term      uint64
	nodes     map[string]*nodeRecord     // by lease name
	turns     map[string]map[string]turn // by budget and lease name
	reserves  map[string]int             // units held back for nodes without units as of the last division, by budget
	lastRef   uint64
	proposals map[uint64]lease.Entry // proposed entries whose outcome is unknown, by ref

	moveInFlight bool // one of the proposals moves quotas
	stale        bool // demand, nodes or the replicated state may have changed since the last division
	nextDivision Time // earliest time of the next division
	redivideTime Time // time to divide again even if nothing has changed, 0: none
	moveRate     moveRate
}

// NewAllocator returns an Allocator that is not the leader.
func NewAllocator(host Host, state *lease.State, u Unsafe) *Allocator {
	a := &Allocator{host: host, state: state, unsafe: u}
	a.Demote()
	return a
}

// Promote starts the leadership of a term. The caller must have applied an entry of this term to the state.
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

// freeAllQuotas proposes to remove the quotas of all nodes, which may still use them. Only Unsafe.ForgetQuotas needs it.
func (a *Allocator) freeAllQuotas() {
	var moves []lease.QuotaChange
	for name, b := range a.state.Budgets {
		for leaseName, quota := range b.Quotas {
			moves = append(moves, lease.QuotaChange{Budget: name, Lease: leaseName, Token: a.state.Leases[leaseName].Token, FromToken: quota.Token})
		}
	}
	a.propose(lease.Entry{Kind: lease.KindMoveQuotas, Moves: moves})
}

// Demote ends the leadership, if any. It answers all waiting requests with lease.ErrNotLeader and discards the state of all
// nodes.
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

// Demand returns the units of a budget that the nodes known in this term could use in total, and the units that are held
// back for nodes without units.
func (a *Allocator) Demand(name string) (demand, reserve int) {
	for _, n := range a.nodes {
		demand += n.reports[name].Demand
	}
	return demand, a.reserves[name]
}

// Handle processes a node's request. The id must be above 0 and differ from the ids of all requests that wait for a
// response.
func (a *Allocator) Handle(now Time, id uint64, r Request) {
	if err := a.validate(r); err != nil {
		a.host.Respond(id, Response{Err: err})
		return
	}
	n := a.getOrCreateNode(r)
	a.reply(n, Response{Err: lease.ErrWithdrawn}) // a new request of a node replaces the one that waits
	n.requestID = id
	n.deadline = now + min(max(r.MaxWait, 0), maxWait)
	n.weight = cmp.Or(r.Weight, 1)
	a.recordReports(n, r)
	a.proposeDeclared(r.DeclaredConfigs)
	a.notifyNode(r.Lease)
	a.scheduleAlarm(now)
}

// validate returns the error to refuse a request with, or nil.
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
	if r.Weight < 0 || r.Weight > maxWeight || len(r.Reports) > maxReports || len(r.DeclaredConfigs) > maxReports {
		return lease.ErrMalformed
	}
	return nil
}

// getOrCreateNode returns the record of the node that sent the request. It creates a new record if the node is unknown or
// its lease token has changed.
func (a *Allocator) getOrCreateNode(r Request) *nodeRecord {
	n := a.nodes[r.Lease]
	if n != nil && n.token == r.Token {
		return n
	}
	if n != nil {
		a.reply(n, Response{Err: lease.ErrWithdrawn})
	}
	n = &nodeRecord{token: r.Token, reports: map[string]Report{}, shrinkTo: map[string]int{}}
	a.nodes[r.Lease] = n
	a.stale = true
	return n
}

// recordReports stores a node's reports. It requests a division if a budget is reported for the first time, its demand has
// changed, or units have been returned.
func (a *Allocator) recordReports(n *nodeRecord, r Request) {
	for _, report := range r.Reports {
		previous, known := n.reports[report.Budget]
		b := a.state.Budgets[report.Budget]
		returned := b != nil && b.Quotas[r.Lease].Units > report.Units
		if !known || previous.Demand != report.Demand || returned {
			a.stale = true
		}
		n.reports[report.Budget] = report
	}
}

// proposeDeclared proposes to create the budgets of a node's configuration that the cluster doesn't have yet.
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

// isProposed reports whether the outcome of a proposal to create this budget is still unknown.
func (a *Allocator) isProposed(name string) bool {
	for _, e := range a.proposals {
		if e.Kind == lease.KindSetBudget && e.Name == name {
			return true
		}
	}
	return false
}

// CancelRequest drops a waiting request whose caller has disconnected. The record of the node stays.
func (a *Allocator) CancelRequest(id uint64) {
	for _, n := range a.nodes {
		if n.requestID == id {
			n.requestID = 0
		}
	}
}

// StateChanged must be called after entries have been applied to the state.
func (a *Allocator) StateChanged(now Time) {
	if a.leader {
		a.stale = true
		a.scheduleAlarm(now)
	}
}

// HandleProposalResult must be called with the outcome of a proposal. lost means that the entry may or may not be applied, now or
// later.
func (a *Allocator) HandleProposalResult(now Time, ref uint64, lost bool) {
	e, ok := a.proposals[ref]
	if !ok {
		return
	}
	delete(a.proposals, ref)
	if e.Kind == lease.KindMoveQuotas {
		a.moveInFlight = false
		if lost {
			a.nextDivision = now + divisionInterval // the entry may be applied to the state by then
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

// reply answers the waiting request of a node, if there is one.
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

// notifyNode answers a node's waiting request if there is an update that the node doesn't know yet.
func (a *Allocator) notifyNode(name string) {
	n := a.nodes[name]
	if n == nil || n.requestID == 0 {
		return
	}
	changed := false
	var updates []QuotaUpdate
	for _, budget := range slices.Sorted(maps.Keys(n.reports)) {
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
		changed = changed || u.differs(n.reports[budget])
		updates = append(updates, u)
	}
	if changed {
		a.reply(n, Response{Updates: updates})
	}
}

// differs reports whether the update contains anything that the node didn't know when it sent the report.
func (u QuotaUpdate) differs(report Report) bool {
	if u.Quota.Token > report.Token || u.Config.Revision != report.Revision {
		return true
	}
	return u.Quota.Token == report.Token && u.ShrinkTo != report.ShrinkTo
}

// Alarm must be called at or soon after the time passed to Host.SetAlarm.
func (a *Allocator) Alarm(now Time) {
	if !a.leader {
		return
	}
	a.expireNodes(now)
	due := a.stale && now >= a.nextDivision || a.redivideTime > 0 && now >= a.redivideTime
	if due && !a.moveInFlight {
		a.divide(now)
	}
	a.scheduleAlarm(now)
}

// expireNodes removes the nodes whose lease has ended, and answers the requests whose deadline has passed.
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

// scheduleAlarm sets the alarm to the next division or the next request deadline, whichever comes first.
func (a *Allocator) scheduleAlarm(now Time) {
	alarmTime := Time(math.MaxInt64)
	if a.stale && !a.moveInFlight {
		alarmTime = a.nextDivision
	}
	if a.redivideTime > 0 && !a.moveInFlight {
		alarmTime = min(alarmTime, a.redivideTime)
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
