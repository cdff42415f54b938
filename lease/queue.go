package lease

import (
	"maps"
	"slices"
)

const (
	maxWaitersPerLease = 1024
	graceDivisor       = 3 // a waiter keeps its place for a third of a lease between two requests, and waits as long in each
)

// waiter is a claimant in the queue for a lease.
type waiter struct {
	holder    Holder
	requestID uint64 // 0: it has no request pending, and keeps its place until the deadline
	deadline  Time
}

// enqueue puts a claimant into the queue for a lease, where it keeps a place that it has already.
func (m *Manager) enqueue(now Time, id uint64, r Request) {
	lease := m.state.Leases[r.Name]
	queue := m.queues[r.Name]
	index := slices.IndexFunc(queue, func(w waiter) bool { return w.holder == r.Holder })
	free := lease.Token == 0 && !m.changePending[r.Name] && len(queue) == 0
	switch {
	case index < 0 && !free && r.Wait <= 0:
		m.host.Respond(id, Response{Token: lease.Token, Holder: lease.Holder, Err: ErrHeld})
		return
	case index < 0 && len(queue) >= maxWaitersPerLease:
		m.host.Respond(id, Response{Err: ErrLimitExceeded})
		return
	case index < 0:
		queue = append(queue, waiter{holder: r.Holder})
		index = len(queue) - 1
	case queue[index].requestID != 0:
		m.reply(queue[index].requestID, Response{Err: ErrWithdrawn}) // this request replaces it
	}
	deadline := now + min(max(r.Wait, 0), m.leaseDuration/graceDivisor)
	m.requests[id] = pendingRequest{Request: r, deadline: deadline}
	queue[index].requestID = id
	queue[index].deadline = deadline
	m.queues[r.Name] = queue
	m.grantNext(r.Name)
	m.scheduleAlarm(now)
}

// grantNext proposes to grant a free lease to the first waiter that has a request pending.
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

// withdraw removes a claimant from the queue. A queue that it empties stays until the next alarm, when expireWaiters drops it.
func (m *Manager) withdraw(r Request) {
	m.queues[r.Name] = slices.DeleteFunc(m.queues[r.Name], func(w waiter) bool {
		if w.holder == r.Holder && w.requestID != 0 {
			m.reply(w.requestID, Response{Err: ErrWithdrawn})
		}
		return w.holder == r.Holder
	})
}

// detachRequest notes that a waiter's request has ended; the waiter keeps its place for a while.
func (m *Manager) detachRequest(now Time, name string, id uint64) {
	queue := m.queues[name]
	for i := range queue {
		if queue[i].requestID == id {
			queue[i].requestID = 0
			queue[i].deadline = now + m.leaseDuration/graceDivisor
		}
	}
}

// expireWaiters answers waiters whose request is at its deadline, and removes those that haven't retried in time.
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
