package lease

import "errors"

// proposal is a log entry that the leader has proposed and that has not been applied yet.
type proposal struct {
	entry     Entry
	requestID uint64 // request to answer with the outcome; 0: none
}

// propose proposes an entry for the replicated log. Its outcome answers the request requestID, unless that is 0.
func (m *Manager) propose(e Entry, requestID uint64) {
	e.Version = versionOfKind(e.Kind)
	m.lastRef++
	m.proposals[m.lastRef] = proposal{entry: e, requestID: requestID}
	m.host.Propose(m.lastRef, e)
}

// revoke proposes to end a lease. No request renews the lease once its revocation is proposed.
func (m *Manager) revoke(name string, token, requestID uint64) {
	m.changePending[name] = true
	m.propose(Entry{Kind: KindRevoke, Term: m.term, Name: name, Token: token}, requestID)
}

// HandleProposalResult handles the outcome of a proposal. outcomeUnknown means that this leader cannot know the outcome.
// The next leader, which may be this process again, learns it from its log.
func (m *Manager) HandleProposalResult(now Time, ref uint64, result Result, outcomeUnknown bool) {
	p, known := m.proposals[ref]
	if !known {
		return
	}
	delete(m.proposals, ref)
	if outcomeUnknown || errors.Is(result.Err, ErrStaleTerm) {
		m.reply(p.requestID, Response{Err: ErrNotLeader})
		return // changePending stays set: the term is over, and Demote or Promote resets it
	}
	name := p.entry.Name
	switch p.entry.Kind {
	case KindGrant:
		m.handleGrantResult(now, p, result)
	case KindRevoke:
		delete(m.changePending, name)
		delete(m.expiries, name)
		m.reply(p.requestID, Response{Err: result.Err})
	case KindEffect:
		m.reply(p.requestID, Response{Token: result.Token, Err: result.Err})
	}
	m.grantNext(name)
	m.scheduleAlarm(now)
}

// handleGrantResult handles the outcome of a proposed grant. If the claimant's request is no longer pending, so that it cannot
// be told, the lease is revoked at once.
func (m *Manager) handleGrantResult(now Time, p proposal, result Result) {
	name := p.entry.Name
	delete(m.changePending, name)
	if result.Err != nil {
		m.reply(p.requestID, Response{Token: result.Token, Err: result.Err})
		return
	}
	m.expiries[name] = now + m.grantDuration
	if _, pending := m.requests[p.requestID]; !pending {
		m.revoke(name, result.Token, 0)
		return
	}
	m.reply(p.requestID, Response{Token: result.Token, Holder: p.entry.Holder, Duration: m.leaseDuration})
}
