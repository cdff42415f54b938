package dispatch

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/routing"
)

// PendingRequest is a request that Submit has accepted. Its unexported fields are guarded by the Dispatcher's lock
// unless noted otherwise.
type PendingRequest struct {
	Request
	dispatcher     *Dispatcher // never changes
	receivedAt     time.Time   // of the last byte, or of the head of a request with a streamed body; never changes
	clientDeadline time.Time   // when the client stops waiting, or with a streamed body the earliest such time; never changes
	answers        chan Answer // holds the final answer; its capacity is 1, so that sending never blocks

	ended              atomic.Bool // no attempt may begin; set with the lock held, read without it
	index              int         // identifies the request to the balancer
	attempts           int         // started so far
	inFlight           int         // attempts that have not finished
	started            []*Attempt  // all attempts, in the order of their numbers
	held               *Answer     // the final answer unless an attempt in flight completes, see holdAnswer; nil: none
	released           bool        // its trace id is free, and so is its index unless it panicked
	panicked           bool        // a panic occurred in one of its events
	mayHaveRun         bool        // a reported attempt may have had an effect on its server
	earliestMayHaveRun time.Time   // start of the first such attempt
}

// Answers returns the channel that delivers the final answer.
func (r *PendingRequest) Answers() <-chan Answer { return r.answers }

// Cancel reports that the client is gone. No answer is delivered afterwards. Attempts in flight still finish.
func (r *PendingRequest) Cancel() {
	r.dispatcher.withLock("client gone", r, r.clientGone)
}

// GiveUp ends a request that this node can't wait for any longer. Its final answer is a rejection with retryAfter if a
// retry by the client is harmless, else a failure. It does nothing to a request that has ended.
func (r *PendingRequest) GiveUp(retryAfter time.Duration) {
	d := r.dispatcher
	d.withLock("given up", r, func(now routing.Time) {
		if r.ended.Load() {
			return
		}
		answer := Answer{Outcome: Failed}
		neverRan := r.BodyStream != nil && r.BodyStream.Aborted()
		if neverRan || r.history().MayReject() == admission.Granted {
			answer = Answer{Outcome: Rejected, RetryAfter: retryAfter}
		}
		d.balancer.ClientGone(now, r.index)
		d.finish(r, answer)
	})
}

// clientGone ends a request whose client is gone. Called with the lock held.
func (r *PendingRequest) clientGone(now routing.Time) {
	if r.ended.Load() {
		return
	}
	d := r.dispatcher
	d.stats.ClientGone++
	d.balancer.ClientGone(now, r.index)
	d.end(r)
}

// awaitsAnswer reports whether an attempt in flight has begun to bring an answer. Called with the lock held.
func (r *PendingRequest) awaitsAnswer() bool {
	return slices.ContainsFunc(r.started, func(a *Attempt) bool { return !a.finished && a.answerBegun.Load() })
}

// noteMayHaveRun records that an attempt, started at startedAt, may have had an effect. Called with the lock held.
func (r *PendingRequest) noteMayHaveRun(startedAt time.Time) {
	if !r.mayHaveRun || startedAt.Before(r.earliestMayHaveRun) {
		r.earliestMayHaveRun = startedAt
	}
	r.mayHaveRun = true
}

// requestTable finds pending requests by the balancer's index and by trace id. It is guarded by the Dispatcher's lock.
type requestTable struct {
	slots     []*PendingRequest // by index; nil: free
	free      []int             // free indices, the next one last
	byTraceID map[string]*PendingRequest
}

// contains reports whether a request with this trace id is pending.
func (t *requestTable) contains(traceID string) bool {
	_, pending := t.byTraceID[traceID]
	return pending
}

// add assigns an index to a request.
func (t *requestTable) add(r *PendingRequest) {
	t.byTraceID[r.TraceID] = r
	last := len(t.free) - 1
	if last < 0 {
		r.index = len(t.slots)
		t.slots = append(t.slots, r)
		return
	}
	r.index = t.free[last]
	t.free = t.free[:last]
	t.slots[r.index] = r
}

// release removes a request and frees its index. After a panic the balancer may still use the index, so it is not
// reused: a placeholder that has ended occupies the slot.
func (t *requestTable) release(r *PendingRequest) {
	delete(t.byTraceID, r.TraceID)
	if r.panicked {
		placeholder := &PendingRequest{dispatcher: r.dispatcher, released: true}
		placeholder.ended.Store(true)
		t.slots[r.index] = placeholder
		return
	}
	t.slots[r.index] = nil
	t.free = append(t.free, r.index)
}

// len returns how many indices are in use.
func (t *requestTable) len() int { return len(t.slots) - len(t.free) }
