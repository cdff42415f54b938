package lease

// Renewals need proof that this process still leads: a quorum round that begins after the request has come. One round
// serves all requests that came before it began.

// renew queues a request for the next quorum round. One already in progress only shows that this process led before the
// request came.
func (m *Manager) renew(id uint64, r Request) {
	m.requests[id] = pendingRequest{Request: r}
	m.queuedRenewals = append(m.queuedRenewals, id)
	m.startRound()
}

// startRound begins a quorum round for the queued renewals, unless one is in progress.
func (m *Manager) startRound() {
	if m.round != 0 || len(m.queuedRenewals) == 0 {
		return
	}
	m.lastRef++
	m.round = m.lastRef
	m.roundRenewals = m.queuedRenewals
	m.queuedRenewals = nil
	m.host.ConfirmLeadership(m.round)
}

// LeadershipConfirmed takes the outcome of a quorum round: it renews the leases of the round if a majority has confirmed
// the leadership, and refuses them otherwise.
func (m *Manager) LeadershipConfirmed(now Time, round uint64, confirmed bool) {
	if round != m.round || round == 0 {
		return
	}
	renewals := m.roundRenewals
	m.round = 0
	m.roundRenewals = nil
	for _, id := range renewals {
		if r, pending := m.requests[id]; pending {
			m.finishRenewal(now, id, r.Request, confirmed)
		}
	}
	m.scheduleAlarm(now)
	m.startRound()
}

// finishRenewal extends and answers one renewal. The lease may have been released or have expired during the round.
func (m *Manager) finishRenewal(now Time, id uint64, r Request, confirmed bool) {
	lease := m.state.Leases[r.Name]
	switch {
	case !confirmed:
		m.reply(id, Response{Err: ErrNotLeader})
	case !m.senderHoldsLease(r) || r.Operation == OpRenew && lease.Token != r.Token:
		m.reply(id, Response{Err: ErrLeaseExpired})
	default:
		m.expiries[r.Name] = max(m.expiries[r.Name], now+m.grantDuration)
		m.reply(id, Response{Token: lease.Token, Holder: lease.Holder, Duration: m.leaseDuration})
	}
}
