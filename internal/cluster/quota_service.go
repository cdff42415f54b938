package cluster

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/lease"
)

// unitRounding is added before a number of units is truncated, so that floating-point error doesn't cost a limit of whole
// units one unit.
const unitRounding = 1e-9

// Part handles a node's quota request, which lists the quotas that it holds and its demand. It returns when there are updates,
// or when the request's waiting time is over.
func (s *rpcService) Part(request *budget.Request, reply *QuotaResponse) error {
	v := s.member.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	response := v.handleQuotaRequest(*request, s.disconnected)
	if errors.Is(response.Err, lease.ErrNotLeader) {
		return lease.ErrNotLeader
	}
	*reply = QuotaResponse{Updates: response.Updates, Error: toWireError(response.Err)}
	return nil
}

// Lend lends half of this node's quotas to the process that replaces this one and waits until the cluster address is free.
func (s *rpcService) Lend(_ *struct{}, reply *LentQuotas) error {
	m := s.member
	m.mu.Lock()
	q := m.quotas
	m.mu.Unlock()
	if q == nil {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil
	}
	quotas, duration := q.client.Lend(now())
	reply.Quotas = quotas
	reply.Duration = int64(duration)
	return nil
}

// SetWhole changes the limit of a budget. Only the leader serves it.
func (s *rpcService) SetWhole(change *LimitChange, reply *BudgetState) error {
	v := s.member.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	config, err := v.budgetConfig(change.Name)
	if err != nil {
		return err
	}
	limitPerUnit := config.RatePerUnit
	if config.Kind == lease.BudgetKindConcurrency {
		limitPerUnit = 1
	}
	config.Units = int(change.Limit/limitPerUnit + unitRounding)
	result, err := v.propose(lease.Entry{Kind: lease.KindSetBudget, Name: change.Name, Budget: &config})
	if err != nil || result.Err != nil {
		return errors.Join(err, result.Err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	reply.Budget = *v.state.Budgets[change.Name].Clone()
	return nil
}

// budgetConfig returns the configuration of a budget, if this voter leads.
func (v *Voter) budgetConfig(name string) (lease.BudgetConfig, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.allocator.IsLeader() {
		return lease.BudgetConfig{}, lease.ErrNotLeader
	}
	b, known := v.state.Budgets[name]
	if !known {
		names := slices.Sorted(maps.Keys(v.state.Budgets))
		return lease.BudgetConfig{}, fmt.Errorf("no budget %q: expected one of %v", name, names)
	}
	return b.BudgetConfig, nil
}

// handleQuotaRequest passes a request to the allocator, and waits for the response, the end of the caller's connection or the
// end of the voter.
func (v *Voter) handleQuotaRequest(r budget.Request, disconnected <-chan struct{}) budget.Response {
	response := make(chan budget.Response, 1)
	v.mu.Lock()
	if v.endReason != nil {
		v.mu.Unlock()
		return budget.Response{Err: lease.ErrNotLeader}
	}
	v.lastRequestID++
	id := v.lastRequestID
	v.quotaRequests[id] = response
	v.allocator.Handle(now(), id, r)
	v.mu.Unlock()
	select {
	case r := <-response:
		return r
	case <-disconnected:
	case <-v.stop:
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.quotaRequests, id)
	v.allocator.CancelRequest(id)
	return budget.Response{Err: lease.ErrNotLeader}
}

// allocatorHost is the budget.Host of a voter's allocator. Its methods are called with the voter's lock held.
type allocatorHost struct{ *Voter }

func (h allocatorHost) SetAlarm(alarmTime lease.Time) { h.allocatorAlarm.set(alarmTime) }

func (h allocatorHost) Respond(id uint64, response budget.Response) {
	if pending, found := h.quotaRequests[id]; found {
		delete(h.quotaRequests, id)
		pending <- response // buffered
	}
}

func (h allocatorHost) Propose(ref uint64, e lease.Entry) {
	leaderChange := h.leaderChanges
	go func() {
		_, err := h.propose(e)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.leaderChanges == leaderChange {
			h.allocator.HandleProposalResult(now(), ref, err != nil)
		}
	}()
}

func (v *Voter) onAllocatorAlarm() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.allocator.Alarm(now())
}
