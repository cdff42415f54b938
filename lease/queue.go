package lease

import (
	"maps"
	"slices"
)

const (
	maxWaitersPerLease = 1024

	// graceDivisor is 3: a request waits at most a third of a lease duration, and a waiter without a pending request keeps
	// its place in the queue for a third of a lease duration.
	graceDivisor = 3
)

// waiter is a claimant in the queue for a lease.
type waiter struct {
	holder    Holder
	requestID uint64 // pending request; 0: none
	deadline  Time   // end of the pending request's wait or, without one, of the waiter's place in the queue
}

// enqueue adds a claimant to the queue for a lease and grants the lease if possible. A claimant that is already in the queue
// keeps its place.
func (m *Manager) enqueue(now Time, id uint64, r Request) {
	lease := m.state.Leases[r.Name]
	queue := m.queues[r.Name]
	index := slices.IndexFunc(queue, func(w waiter) bool { return w.holder == r.Holder })
	free := lease.Token == 0 && !m.changePending[r.Name] && len(queue) == 0
	switch {
	case index < 0 && !free && r.MaxWait <= 0:
		m.host.Respond(id, Response{Token: lease.Token, Holder: lease.Holder, Err: ErrHeld})
		return
	case index < 0 && len(queue) >= maxWaitersPerLease:
		m.host.Respond(id, Response{Err: ErrLimitExceeded})
		return
	case index < 0:
		queue = append(queue, waiter{holder: r.Holder})
		index = len(queue) - 1
	case queue[index].requestID != 0:
		m.reply(queue[index].requestID, Response{Err: ErrWithdrawn}) // the new request replaces it
	}
	deadline := now + min(max(r.MaxWait, 0), m.leaseDuration/graceDivisor)
	m.requests[id] = pendingRequest{Request: r, deadline: deadline}
	queue[index].requestID = id
	queue[index].deadline = deadline
	m.queues[r.Name] = queue
	m.grantNext(r.Name)
	m.scheduleAlarm(now)
}

// grantNext proposes to grant the lease, if it is free, to the first waiter that has a pending request.
func (m *Manager) grantNext(name string) {
	if _, held := m.state.Leases[name]; held || m.changePending[name] || !m.leading {
		return
	}
	queue := m.queues[name]
	index := slices.IndexFunc(queue, func(w waiter) bool { return w.requestID != 0 })
	if index < 0 {
		return
	}
	w := queue[index]
	m.queues[name] = slices.Delete(queue, index, index+1)
	m.dropEmptyQueue(name)
	m.changePending[name] = true
	m.propose(Entry{Kind: KindGrant, Term: m.term, Name: name, Holder: w.holder}, w.requestID)
}

// withdraw removes a claimant from the queue. It does not delete an empty queue; expireWaiters does so at the next alarm.
func (m *Manager) withdraw(r Request) {
	m.queues[r.Name] = slices.DeleteFunc(m.queues[r.Name], func(w waiter) bool {
		if w.holder == r.Holder && w.requestID != 0 {
			m.reply(w.requestID, Response{Err: ErrWithdrawn})
		}
		return w.holder == r.Holder
	})
}

// detachRequest clears the waiter's ended request. The waiter keeps its place for a third of a lease duration.
func (m *Manager) detachRequest(now Time, name string, id uint64) {
	queue := m.queues[name]
	for i := range queue {
		if queue[i].requestID == id {
			queue[i].requestID = 0
			queue[i].deadline = now + m.leaseDuration/graceDivisor
		}
	}
}

// expireWaiters answers requests whose wait has ended with ErrStillHeld, and removes waiters that have not retried within a
// third of a lease duration.
func (m *Manager) expireWaiters(now Time) {
	for _, name := range slices.Sorted(maps.Keys(m.queues)) {
		for _, w := range slices.Clone(m.queues[name]) {
			if now < w.deadline {
				continue
			}
			if w.requestID == 0 {
				m.queues[name] = slices.DeleteFunc(m.queues[name], func(other waiter) bool { return other.holder == w.holder })
				continue
			}
			lease := m.state.Leases[name]
			m.detachRequest(now, name, w.requestID)
			m.reply(w.requestID, Response{Token: lease.Token, Holder: lease.Holder, Err: ErrStillHeld})
		}
		m.dropEmptyQueue(name)
	}
}

func (m *Manager) dropEmptyQueue(name string) {
	if len(m.queues[name]) == 0 {
		delete(m.queues, name)
	}
}
