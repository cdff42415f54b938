package lease

import (
	"maps"
	"slices"
)

// maxPendingRequests is the maximum number of unanswered requests at a leader, for all leases together.
const maxPendingRequests = 8192

// Host carries out the effects of a Manager. None of its methods may block or call back into the Manager.
type Host interface {
	// Propose proposes an entry for the replicated log. The host reports the outcome to Manager.HandleProposalResult.
	Propose(ref uint64, e Entry)
	// ConfirmLeadership starts a quorum round that confirms whether this process is still the leader. The host reports
	// the outcome to Manager.LeadershipConfirmed.
	ConfirmLeadership(round uint64)
	// Respond answers the request with the given id.
	Respond(id uint64, response Response)
	// SetAlarm schedules a call of Manager.Alarm at or soon after time t. It replaces an earlier alarm.
	SetAlarm(t Time)
}

// pendingRequest is an unanswered request.
type pendingRequest struct {
	Request
	deadline Time // end of its wait, for the request of a waiter
}

// Manager is the leader's unreplicated state: the expiries of leases, the queues of waiters and the proposals in progress. A
// new leader starts from State alone, so it extends every lease by its full duration. A Manager is not safe for concurrent
// use.
type Manager struct {
	host          Host
	state         *State
	leaseDuration Time // nominal
	grantDuration Time // by the granter's clock, see GranterDuration

	leading       bool
	term          uint64
	expiries      map[string]Time           // by lease
	changePending map[string]bool           // leases with a proposed grant or revocation
	queues        map[string][]waiter       // by lease
	requests      map[uint64]pendingRequest // by id
	proposals     map[uint64]proposal       // by ref
	lastRef       uint64                    // last ref given to a proposal or a round

	queuedRenewals []uint64 // ids of requests for the next quorum round
	round          uint64   // quorum round in progress; 0: none
	roundRenewals  []uint64 // ids of requests served by the round in progress
}

// NewManager returns a Manager that is not the leader. leaseDuration is the nominal duration of a lease, grantDuration its
// duration by the granter's clock.
func NewManager(host Host, state *State, leaseDuration, grantDuration Time) *Manager {
	m := &Manager{host: host, state: state, leaseDuration: leaseDuration, grantDuration: grantDuration}
	m.Demote()
	return m
}

// Promote makes this process the leader of a term. It is called once the KindNewTerm entry of that term has been applied.
func (m *Manager) Promote(now Time, term uint64) {
	m.Demote()
	m.leading = true
	m.term = term
	for name := range m.state.Leases {
		m.expiries[name] = now + m.grantDuration // the previous leader may have renewed it until now
	}
	m.scheduleAlarm(now)
}

// Demote ends the leadership: it discards the leader's state and answers all pending requests with ErrNotLeader.
func (m *Manager) Demote() {
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		m.host.Respond(id, Response{Err: ErrNotLeader})
	}
	m.leading = false
	m.round = 0
	m.queuedRenewals = nil
	m.roundRenewals = nil
	m.expiries = map[string]Time{}
	m.changePending = map[string]bool{}
	m.queues = map[string][]waiter{}
	m.requests = map[uint64]pendingRequest{}
	m.proposals = map[uint64]proposal{}
}

// IsLeader reports whether this process believes that it is the leader.
func (m *Manager) IsLeader() bool { return m.leading }

// LeaseStatus returns the time at which a lease expires by the leader's clock, and the number of claimants in its queue.
func (m *Manager) LeaseStatus(name string) (expiry Time, waiting int) {
	return m.expiries[name], len(m.queues[name])
}

// Handle processes a request. Host.Respond answers it, possibly before Handle returns. The id must be above 0 and must differ
// from the ids of all pending requests.
func (m *Manager) Handle(now Time, id uint64, r Request) {
	switch {
	case !m.leading:
		m.host.Respond(id, Response{Err: ErrNotLeader})
		return
	case len(m.requests) >= maxPendingRequests:
		m.host.Respond(id, Response{Err: ErrLimitExceeded})
		return
	case !ValidName(r.Name) || r.Holder.Name == "":
		m.host.Respond(id, Response{Err: ErrMalformed})
		return
	}
	switch r.Operation {
	case OpAcquire:
		m.acquire(now, id, r)
	case OpRenew:
		if !m.senderHoldsToken(r) {
			m.host.Respond(id, Response{Err: ErrLeaseExpired})
			return
		}
		m.renew(id, r)
	case OpRelease:
		if !m.senderHoldsToken(r) {
			m.host.Respond(id, Response{Err: ErrLeaseExpired})
			return
		}
		m.requests[id] = pendingRequest{Request: r}
		m.revoke(r.Name, r.Token, id)
	case OpWithdraw:
		m.withdraw(r)
		m.host.Respond(id, Response{})
	case OpEffect:
		m.requests[id] = pendingRequest{Request: r}
		m.propose(Entry{Kind: KindEffect, Name: r.Name, Token: r.Token, Effect: r.Effect, Number: r.Number, Value: r.Value}, id)
	default:
		m.host.Respond(id, Response{Err: ErrMalformed})
	}
}

// acquire renews the lease if the sender already holds it, and adds any other sender to the queue.
func (m *Manager) acquire(now Time, id uint64, r Request) {
	if m.senderHoldsLease(r) {
		m.renew(id, r)
		return
	}
	m.enqueue(now, id, r)
}

// senderHoldsLease reports whether the sender of a request holds the lease and no grant or revocation of it is pending.
func (m *Manager) senderHoldsLease(r Request) bool {
	lease, held := m.state.Leases[r.Name]
	return held && lease.Holder == r.Holder && !m.changePending[r.Name]
}

// senderHoldsToken reports whether senderHoldsLease is true and the request has the lease's current token.
func (m *Manager) senderHoldsToken(r Request) bool {
	return m.senderHoldsLease(r) && m.state.Leases[r.Name].Token == r.Token
}

// CancelRequest drops a request whose caller can no longer be answered. A waiter keeps its place in the queue for a third of a
// lease duration, because it may retry on another connection.
func (m *Manager) CancelRequest(now Time, id uint64) {
	r, pending := m.requests[id]
	if !pending {
		return
	}
	delete(m.requests, id)
	m.detachRequest(now, r.Name, id)
}

// reply answers a request, if it is still pending.
func (m *Manager) reply(id uint64, response Response) {
	if _, pending := m.requests[id]; pending {
		delete(m.requests, id)
		m.host.Respond(id, response)
	}
}

// Alarm revokes expired leases and answers waiters whose deadline has passed. The host calls it at or after the time passed
// to Host.SetAlarm.
func (m *Manager) Alarm(now Time) {
	if !m.leading {
		return
	}
	m.revokeExpired(now)
	m.expireWaiters(now)
	m.scheduleAlarm(now)
}

func (m *Manager) revokeExpired(now Time) {
	for _, name := range slices.Sorted(maps.Keys(m.expiries)) {
		if now < m.expiries[name] || m.changePending[name] {
			continue
		}
		if lease, held := m.state.Leases[name]; held {
			m.revoke(name, lease.Token, 0)
		} else {
			delete(m.expiries, name)
		}
	}
}

// scheduleAlarm sets the alarm to the earliest expiry or deadline.
func (m *Manager) scheduleAlarm(now Time) {
	earliest, found := Time(0), false
	consider := func(t Time) {
		if !found || t < earliest {
			earliest, found = t, true
		}
	}
	for name, expiry := range m.expiries {
		if !m.changePending[name] {
			consider(expiry)
		}
	}
	for _, queue := range m.queues {
		for _, w := range queue {
			consider(w.deadline)
		}
	}
	if found {
		m.host.SetAlarm(max(earliest, now))
	}
}
