package routing

import "slices"

// Fetches of the same key are coalesced: while one request fetches a missing
// value from the origin, other requests of this node for the key wait. When the
// fetch is done, they are sent to the cache.

// mustAwaitFetch reports whether a request has to wait for another request's
// fetch of its key.
func (b *Balancer) mustAwaitFetch(r *requestState) bool {
	if r.Write || r.keyHash == 0 {
		return false
	}
	_, found := b.fetchWaiters[r.keyHash]
	return found
}

// isFetchAttempt reports whether an attempt at a server would be a fetch that
// other requests can wait for. A request that goes to the origin because the
// cache was full is no fetch: the cache may have the value, so other requests
// need not wait.
func (b *Balancer) isFetchAttempt(r *requestState, server int) bool {
	return b.servers[server].isOrigin && r.missed && !r.Write && r.keyHash != 0
}

// beginFetch marks a request as the fetch of its key, for which later requests
// wait.
func (b *Balancer) beginFetch(r *requestState) {
	r.isFetch = true
	b.fetchWaiters[r.keyHash] = nil
}

// awaitFetch makes a request wait for the fetch of its key, until giveUpAt at the
// latest.
func (b *Balancer) awaitFetch(id int) {
	r := &b.requests[id]
	r.awaitsFetch = true
	b.fetchWaiters[r.keyHash] = append(b.fetchWaiters[r.keyHash], id)
	b.host.SetAlarm(r.giveUpAt, firstRequestHandle+id)
}

// expireFetchWait rejects or fails a request that still waits for a fetch at its
// giveUpAt.
func (b *Balancer) expireFetchWait(id int) {
	if id < 0 || id >= len(b.requests) {
		return
	}
	if r := &b.requests[id]; r.awaitsFetch && b.now >= r.giveUpAt {
		b.rejectOrFail(id)
	}
}

// stopAwaitingFetch removes a request from the waiters of its key's fetch.
func (b *Balancer) stopAwaitingFetch(id int) {
	r := &b.requests[id]
	if !r.awaitsFetch {
		return
	}
	r.awaitsFetch = false
	b.fetchWaiters[r.keyHash] = slices.DeleteFunc(b.fetchWaiters[r.keyHash], func(other int) bool { return other == id })
}

// releaseFetchWaiters resumes the requests that wait for a request's fetch. It does
// nothing if the request is no fetch.
func (b *Balancer) releaseFetchWaiters(id int) {
	r := &b.requests[id]
	if !r.isFetch {
		return
	}
	r.isFetch = false
	waiters := b.fetchWaiters[r.keyHash]
	delete(b.fetchWaiters, r.keyHash)
	for _, waiter := range waiters {
		w := &b.requests[waiter]
		w.awaitsFetch = false
		w.missed = false // the cache may have the value by now
		b.advance(waiter)
	}
}
