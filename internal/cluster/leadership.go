package cluster

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

// newTermRetryInterval is the time between two attempts to begin a term while the cluster isn't founded.
const newTermRetryInterval = 100 * time.Millisecond

var errUnknownResult = errors.New("the consensus library returned a result of an unknown type")

// followLeadership demotes this voter at each change that the consensus library reports, and begins a new term if this voter
// is the leader.
func (v *Voter) followLeadership(leadership <-chan bool) {
	for {
		select {
		case <-v.stop:
			return
		case leads := <-leadership:
			v.changeLeadership(leads)
		}
	}
}

func (v *Voter) changeLeadership(leads bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !leads && faults.Disabled(faults.Confirmation) {
		return // safeguard off: act as if the loss of leadership were not noticed
	}
	v.leaderChanges++
	v.leases.Demote()
	v.allocator.Demote()
	if leads {
		go v.beginTerm(v.leaderChanges)
	}
}

// beginTerm commits the entry that begins a term, and promotes this voter when the entry is applied: by then the voter has
// applied all entries of earlier leaders. It retries while the cluster isn't founded. leaderChange is the value of
// v.leaderChanges at the change that gave this voter the leadership.
func (v *Voter) beginTerm(leaderChange uint64) {
	for {
		result, err := v.propose(lease.Entry{Kind: lease.KindNewTerm, Name: v.config.Node})
		if v.promote(leaderChange, result, err) || err != nil {
			return
		}
		select {
		case <-time.After(newTermRetryInterval):
		case <-v.stop:
			return
		}
	}
}

// promote makes this voter the leader of the new term, if the entry that begins it was applied. result and err are those of
// the entry's proposal. done is false if the proposal failed (err) or the entry was refused (result.Err). done is also true,
// without a promotion, if the leadership has changed since leaderChange or this voter has ended.
func (v *Voter) promote(leaderChange uint64, result lease.Result, err error) (done bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaderChanges != leaderChange || v.endReason != nil {
		return true
	}
	if err != nil || result.Err != nil {
		return false
	}
	v.leases.Promote(now(), result.Term)
	v.allocator.Promote(now(), result.Term)
	v.probes = lease.NewProbeScheduler()
	v.log.Info("leading the cluster", zap.Uint64("term", result.Term))
	return true
}

// propose appends an entry to the log and waits for its result. An error means that the term is over and that the entry may
// still be applied. On an error the lease manager and the allocator wait for the next term, so a failure that leaves the term
// in force must not be returned as an error. While the consensus library is too busy to accept the entry, propose waits without
// a timeout, because nothing would propose the entry again.
func (v *Voter) propose(e lease.Entry) (lease.Result, error) {
	encoded, err := e.Encode()
	if err != nil {
		return lease.Result{}, err
	}
	future := v.raft.Apply(encoded, 0)
	if err := future.Error(); err != nil {
		return lease.Result{}, err
	}
	result, ok := future.Response().(lease.Result)
	if !ok {
		return lease.Result{}, errUnknownResult
	}
	return result, nil
}
