package cluster

import (
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

// handleLeaseRequest passes a request to the lease manager, and waits for the response, the end of the caller's connection or
// the end of the voter.
func (v *Voter) handleLeaseRequest(r lease.Request, disconnected <-chan struct{}) lease.Response {
	response := make(chan lease.Response, 1)
	v.mu.Lock()
	if v.endReason != nil {
		v.mu.Unlock()
		return lease.Response{Err: lease.ErrNotLeader}
	}
	v.lastRequestID++
	id := v.lastRequestID
	v.leaseRequests[id] = response
	v.leases.Handle(now(), id, r)
	v.mu.Unlock()
	select {
	case r := <-response:
		return r
	case <-disconnected:
	case <-v.stop:
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.leaseRequests, id)
	v.leases.CancelRequest(now(), id)
	return lease.Response{Err: lease.ErrNotLeader}
}

// leaseHost is the lease.Host of a voter's lease manager. Its methods are called with the voter's lock held.
type leaseHost struct{ *Voter }

func (h leaseHost) SetAlarm(alarmTime lease.Time) { h.leaseAlarm.set(alarmTime) }

func (h leaseHost) Respond(id uint64, response lease.Response) {
	if pending, found := h.leaseRequests[id]; found {
		delete(h.leaseRequests, id)
		pending <- response // buffered
	}
}

func (h leaseHost) Propose(ref uint64, e lease.Entry) {
	leaderChange := h.leaderChanges
	go func() {
		result, err := h.propose(e)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.leaderChanges == leaderChange {
			h.leases.HandleProposalResult(now(), ref, result, err != nil)
		}
	}()
}

func (h leaseHost) ConfirmLeadership(round uint64) {
	leaderChange := h.leaderChanges
	go func() {
		faults.StopPoint(faults.OnRenewal)
		confirmed := faults.Disabled(faults.Confirmation) || h.confirmLeadership()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.quorumRounds++
		if h.leaderChanges == leaderChange {
			h.leases.LeadershipConfirmed(now(), round, confirmed)
		}
	}()
}

func (v *Voter) onLeaseAlarm() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leases.Alarm(now())
}
