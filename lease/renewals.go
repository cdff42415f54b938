package lease

// A renewal is answered only after a quorum round that began after the request arrived has confirmed that this process is
// still the leader. One round serves all requests that arrived before it began.

// renew queues a request for the next quorum round. A round already in progress does not suffice: it only confirms that this
// process was the leader before the request arrived.
func (m *Manager) renew(id uint64, r Request) {
	m.requests[id] = pendingRequest{Request: r}
	m.queuedRenewals = append(m.queuedRenewals, id)
	m.startRound()
}

// startRound starts a quorum round for the queued renewals, unless a round is in progress.
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

// LeadershipConfirmed handles the outcome of a quorum round. If a majority confirmed this process as the leader, the round's
// leases are renewed; otherwise its requests are answered with ErrNotLeader.
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

// finishRenewal answers one renewal, and extends its lease if that was neither released nor expired during the round.
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
