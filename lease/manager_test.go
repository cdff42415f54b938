package lease

import (
	"errors"
	"fmt"
	"testing"
)

// managerHarness is a Manager and its Host. Tests apply its proposals with apply and confirm its quorum rounds with confirm.
type managerHarness struct {
	manager   *Manager
	state     *State
	now       Time
	alarm     Time
	lastID    uint64
	responses map[uint64]Response
	proposed  []uint64         // refs of the proposals that are not applied yet
	entries   map[uint64]Entry // proposed entries by ref
	rounds    []uint64         // quorum rounds that are not confirmed yet
}

func (h *managerHarness) Propose(ref uint64, e Entry) {
	h.proposed = append(h.proposed, ref)
	h.entries[ref] = e
}
func (h *managerHarness) ConfirmLeadership(round uint64)       { h.rounds = append(h.rounds, round) }
func (h *managerHarness) Respond(id uint64, response Response) { h.responses[id] = response }
func (h *managerHarness) SetAlarm(t Time)                      { h.alarm = t }

// handle passes a request to the Manager and returns its id.
func (h *managerHarness) handle(r Request) uint64 {
	h.lastID++
	h.manager.Handle(h.now, h.lastID, r)
	return h.lastID
}

// confirm confirms the leadership in the oldest quorum round.
func (h *managerHarness) confirm() {
	round := h.rounds[0]
	h.rounds = h.rounds[1:]
	h.manager.LeadershipConfirmed(h.now, round, true)
}

// advance moves the clock forward by d, calls Manager.Alarm and applies all proposals.
func (h *managerHarness) advance(d Time) {
	h.now += d
	h.manager.Alarm(h.now)
	h.apply()
}

func holder(n int) Holder { return Holder{Name: fmt.Sprint("h", n), Process: n} }

// acquireRequest returns a request of holder n for the lease "task".
func acquireRequest(n int, wait Time) Request {
	return Request{Operation: OpAcquire, Name: "task", Holder: holder(n), MaxWait: wait}
}

// tokenRequest returns a request of holder n that refers to the lease "task" by a token.
func tokenRequest(operation string, n int, token uint64) Request {
	return Request{Operation: operation, Name: "task", Holder: holder(n), Token: token}
}

// apply applies all proposals and reports their outcomes to the Manager.
func (h *managerHarness) apply() {
	for len(h.proposed) > 0 {
		ref := h.proposed[0]
		h.proposed = h.proposed[1:]
		h.manager.HandleProposalResult(h.now, ref, h.state.Apply(h.entries[ref]), false)
	}
}

const testLeaseDuration = 3000 * Millisecond

func newManagerHarness() *managerHarness {
	h := &managerHarness{state: NewState(), responses: map[uint64]Response{}, entries: map[uint64]Entry{}}
	h.state.Apply(Entry{Version: formatVersion, Kind: KindFoundCluster, Name: "fleet"})
	h.manager = NewManager(h, h.state, testLeaseDuration, GranterDuration(testLeaseDuration, 0.01))
	h.manager.Promote(h.now, h.state.Apply(Entry{Version: formatVersion, Kind: KindNewTerm, Name: "n1"}).Term)
	return h
}

// Waiters are granted the lease in the order of their first requests, even if they retry in another order. A waiter without a
// pending request is skipped.
func TestWaitersServedInRequestOrder(t *testing.T) {
	h := newManagerHarness()
	holderRequest := h.handle(acquireRequest(0, 0))
	h.apply()
	token := h.responses[holderRequest].Token
	ids := map[int]uint64{}
	for n := 1; n <= 4; n++ {
		ids[n] = h.handle(acquireRequest(n, testLeaseDuration))
	}
	h.now += testLeaseDuration / graceDivisor
	h.manager.Alarm(h.now) // the waits of all four end
	for n := 1; n <= 4; n++ {
		if response := h.responses[ids[n]]; !errors.Is(response.Err, ErrStillHeld) || response.Holder != holder(0) {
			t.Fatalf("%d: %+v", n, response)
		}
	}
	for _, n := range []int{4, 3, 2} { // holder 1 does not retry, the others retry in another order
		ids[n] = h.handle(acquireRequest(n, testLeaseDuration))
	}
	ids[3] = h.handle(acquireRequest(3, testLeaseDuration)) // the same request again, on another connection
	h.handle(tokenRequest(OpWithdraw, 4, 0))
	h.handle(tokenRequest(OpRelease, 0, token))
	h.apply()
	if response := h.responses[ids[2]]; response.Err != nil || response.Token != token+1 {
		t.Errorf("first waiter, holder 2: %+v", response)
	}
	h.handle(tokenRequest(OpRelease, 2, token+1))
	h.apply()
	if response := h.responses[ids[3]]; response.Err != nil || response.Token != token+2 {
		t.Errorf("second waiter, holder 3: %+v", response)
	}
	if response := h.responses[ids[4]]; !errors.Is(response.Err, ErrWithdrawn) {
		t.Errorf("withdrawn waiter, holder 4: %+v", response)
	}
}

// Holder 0 has the lease "task" with token 1. Each case sends requests and returns the id of the one whose response is checked.
func TestManagerResponses(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(h *managerHarness) uint64
		want Response
	}{
		{"renewal, leadership confirmed", func(h *managerHarness) uint64 { id := h.handle(tokenRequest(OpRenew, 0, 1)); h.confirm(); return id },
			Response{Token: 1, Holder: holder(0), Duration: testLeaseDuration}},
		{"acquire by the holder, which retries after a lost response", func(h *managerHarness) uint64 { id := h.handle(acquireRequest(0, 0)); h.confirm(); return id },
			Response{Token: 1, Holder: holder(0), Duration: testLeaseDuration}},
		{"renewal during a quorum round waits for the next round", func(h *managerHarness) uint64 {
			h.handle(tokenRequest(OpRenew, 0, 1))
			id := h.handle(tokenRequest(OpRenew, 0, 1))
			h.confirm()
			if _, answered := h.responses[id]; answered {
				return 0
			}
			h.confirm()
			return id
		}, Response{Token: 1, Holder: holder(0), Duration: testLeaseDuration}},
		{"renewal, leadership not confirmed", func(h *managerHarness) uint64 {
			id := h.handle(tokenRequest(OpRenew, 0, 1))
			h.manager.LeadershipConfirmed(h.now, h.rounds[0], false)
			return id
		}, Response{Err: ErrNotLeader}},
		{"renewal with the token of another holder", func(h *managerHarness) uint64 { return h.handle(tokenRequest(OpRenew, 1, 1)) }, Response{Err: ErrLeaseExpired}},
		{"renewal while the release is in progress", func(h *managerHarness) uint64 {
			id := h.handle(tokenRequest(OpRenew, 0, 1))
			h.handle(tokenRequest(OpRelease, 0, 1))
			h.confirm()
			return id
		}, Response{Err: ErrLeaseExpired}},
		{"late release after the lease was granted to another holder", func(h *managerHarness) uint64 {
			h.advance(GranterDuration(testLeaseDuration, 0.01))
			h.handle(acquireRequest(1, 0))
			h.apply()
			return h.handle(tokenRequest(OpRelease, 0, 1))
		}, Response{Err: ErrLeaseExpired}},
		{"acquire of a held lease without wait", func(h *managerHarness) uint64 { return h.handle(acquireRequest(1, 0)) },
			Response{Token: 1, Holder: holder(0), Err: ErrHeld}},
		{"lease granted after its caller is gone is revoked and granted to the next waiter", func(h *managerHarness) uint64 {
			goneRequest, nextRequest := h.handle(acquireRequest(1, testLeaseDuration)), h.handle(acquireRequest(2, testLeaseDuration))
			h.handle(tokenRequest(OpRelease, 0, 1))
			ref := h.proposed[0]
			h.proposed = nil
			h.manager.HandleProposalResult(h.now, ref, h.state.Apply(h.entries[ref]), false)
			h.manager.CancelRequest(h.now, goneRequest)
			h.apply()
			return nextRequest
		}, Response{Token: 3, Holder: holder(2), Duration: testLeaseDuration}},
		{"effect", func(h *managerHarness) uint64 {
			r := tokenRequest(OpEffect, 0, 1)
			r.Effect, r.Number = "task/x", 1
			id := h.handle(r)
			h.apply()
			return id
		}, Response{Token: 1}},
		{"effect after the lease was granted to another holder", func(h *managerHarness) uint64 {
			h.advance(GranterDuration(testLeaseDuration, 0.01))
			h.handle(acquireRequest(1, 0))
			h.apply()
			r := tokenRequest(OpEffect, 0, 1)
			r.Effect, r.Number = "task/x", 1
			id := h.handle(r)
			h.apply()
			return id
		}, Response{Err: ErrLeaseExpired}},
		{"release proposed in an earlier term", func(h *managerHarness) uint64 {
			id := h.handle(tokenRequest(OpRelease, 0, 1))
			h.state.Apply(Entry{Version: formatVersion, Kind: KindNewTerm, Name: "n2"})
			h.apply()
			return id
		}, Response{Err: ErrNotLeader}},
		{"renewal after the leadership ended", func(h *managerHarness) uint64 { h.manager.Demote(); return h.handle(tokenRequest(OpRenew, 0, 1)) }, Response{Err: ErrNotLeader}},
		{"invalid lease name", func(h *managerHarness) uint64 {
			return h.handle(Request{Operation: OpAcquire, Name: "a b", Holder: holder(1)})
		},
			Response{Err: ErrMalformed}},
	} {
		h := newManagerHarness()
		h.handle(acquireRequest(0, 0))
		h.apply()
		id := c.send(h)
		if got, answered := h.responses[id]; !answered || fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// The queue for a lease is bounded: claimants beyond its limit are refused at once, and the queued ones are still served.
func TestFullQueueRefusesClaimants(t *testing.T) {
	h := newManagerHarness()
	h.handle(acquireRequest(0, 0))
	h.apply()
	refused := 0
	for n := 1; n <= 2*maxWaitersPerLease; n++ {
		if response := h.responses[h.handle(acquireRequest(n, testLeaseDuration))]; errors.Is(response.Err, ErrLimitExceeded) {
			refused++
		}
	}
	if refused != maxWaitersPerLease || len(h.manager.requests) != maxWaitersPerLease {
		t.Errorf("%d requests refused, %d pending, want %d each", refused, len(h.manager.requests), maxWaitersPerLease)
	}
	h.handle(tokenRequest(OpRelease, 0, 1))
	h.apply()
	if got := h.state.Leases["task"].Holder; got != holder(1) {
		t.Errorf("lease held by %v, want %v", got, holder(1))
	}
}

// The previous leader may have renewed a lease until the new term began, so a new leader expires no lease earlier than a full
// lease duration after that.
func TestNewLeaderExtendsLeasesByFullDuration(t *testing.T) {
	h := newManagerHarness()
	h.handle(acquireRequest(0, 0))
	h.apply()
	h.now += testLeaseDuration
	h.manager.Demote()
	h.manager.Promote(h.now, h.state.Apply(Entry{Version: formatVersion, Kind: KindNewTerm, Name: "n2"}).Term)
	h.advance(testLeaseDuration)
	if len(h.state.Leases) != 1 {
		t.Error("lease expired within its nominal duration after the new term began")
	}
	h.advance(GranterDuration(testLeaseDuration, 0.01) - testLeaseDuration)
	if len(h.state.Leases) != 0 {
		t.Error("lease not expired after its full duration by the granter's clock")
	}
}
