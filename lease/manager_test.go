package lease

import (
	"errors"
	"fmt"
	"testing"
)

// managerHarness is a Manager whose proposals are applied, and whose quorum rounds are confirmed, when a test says so.
type managerHarness struct {
	manager   *Manager
	state     *State
	now       Time
	alarm     Time
	lastID    uint64
	responses map[uint64]Response
	proposed  []uint64
	entries   map[uint64]Entry
	rounds    []uint64
}

func (h *managerHarness) Propose(ref uint64, e Entry) {
	h.proposed = append(h.proposed, ref)
	h.entries[ref] = e
}
func (h *managerHarness) ConfirmLeadership(round uint64)       { h.rounds = append(h.rounds, round) }
func (h *managerHarness) Respond(id uint64, response Response) { h.responses[id] = response }
func (h *managerHarness) SetAlarm(t Time)                      { h.alarm = t }
func (h *managerHarness) handle(r Request) uint64 {
	h.lastID++
	h.manager.Handle(h.now, h.lastID, r)
	return h.lastID
}
func (h *managerHarness) confirm() {
	round := h.rounds[0]
	h.rounds = h.rounds[1:]
	h.manager.LeadershipConfirmed(h.now, round, true)
}

// advance lets time pass, calls the alarm and applies what it proposes.
func (h *managerHarness) advance(d Time) {
	h.now += d
	h.manager.Alarm(h.now)
	h.apply()
}

func holder(n int) Holder { return Holder{Name: fmt.Sprint("h", n), Process: n} }
func acquireRequest(n int, wait Time) Request {
	return Request{Operation: OpAcquire, Name: "task", Holder: holder(n), Wait: wait}
}
func tokenRequest(operation string, n int, token uint64) Request {
	return Request{Operation: operation, Name: "task", Holder: holder(n), Token: token}
}

func (h *managerHarness) apply() {
	for len(h.proposed) > 0 {
		ref := h.proposed[0]
		h.proposed = h.proposed[1:]
		h.manager.Applied(h.now, ref, h.state.Apply(h.entries[ref]), false)
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

// Waiters get the lease in the order of their first requests, also those that have retried meanwhile; one whose caller has
// gone is passed over.
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
	h.manager.Alarm(h.now) // their waits are over
	for n := 1; n <= 4; n++ {
		if response := h.responses[ids[n]]; !errors.Is(response.Err, ErrStillHeld) || response.Holder != holder(0) {
			t.Fatalf("%d: %+v", n, response)
		}
	}
	for _, n := range []int{4, 3, 2} { // 1 went away, and the others come again in another order
		ids[n] = h.handle(acquireRequest(n, testLeaseDuration))
	}
	ids[3] = h.handle(acquireRequest(3, testLeaseDuration)) // on another connection
	h.handle(tokenRequest(OpWithdraw, 4, 0))
	h.handle(tokenRequest(OpRelease, 0, token))
	h.apply()
	if response := h.responses[ids[2]]; response.Err != nil || response.Token != token+1 {
		t.Errorf("the first in line: %+v", response)
	}
	h.handle(tokenRequest(OpRelease, 2, token+1))
	h.apply()
	if response := h.responses[ids[3]]; response.Err != nil || response.Token != token+2 {
		t.Errorf("the next in line: %+v", response)
	}
	if response := h.responses[ids[4]]; !errors.Is(response.Err, ErrWithdrawn) {
		t.Errorf("the one that withdrew: %+v", response)
	}
}

// Each case sends requests for a lease that holder 0 has with token 1.
func TestManagerResponses(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(h *managerHarness) uint64
		want Response
	}{
		{"a renewal confirmed", func(h *managerHarness) uint64 { id := h.handle(tokenRequest(OpRenew, 0, 1)); h.confirm(); return id },
			Response{Token: 1, Holder: holder(0), Duration: testLeaseDuration}},
		{"acquired again by its holder, whose response was lost", func(h *managerHarness) uint64 { id := h.handle(acquireRequest(0, 0)); h.confirm(); return id },
			Response{Token: 1, Holder: holder(0), Duration: testLeaseDuration}},
		{"a renewal that comes while a round is in progress waits for the next", func(h *managerHarness) uint64 {
			h.handle(tokenRequest(OpRenew, 0, 1))
			id := h.handle(tokenRequest(OpRenew, 0, 1))
			h.confirm()
			if _, answered := h.responses[id]; answered {
				return 0
			}
			h.confirm()
			return id
		}, Response{Token: 1, Holder: holder(0), Duration: testLeaseDuration}},
		{"a renewal that isn't confirmed", func(h *managerHarness) uint64 {
			id := h.handle(tokenRequest(OpRenew, 0, 1))
			h.manager.LeadershipConfirmed(h.now, h.rounds[0], false)
			return id
		}, Response{Err: ErrNotLeader}},
		{"another's token", func(h *managerHarness) uint64 { return h.handle(tokenRequest(OpRenew, 1, 1)) }, Response{Err: ErrLeaseExpired}},
		{"a renewal while the release is in progress", func(h *managerHarness) uint64 {
			id := h.handle(tokenRequest(OpRenew, 0, 1))
			h.handle(tokenRequest(OpRelease, 0, 1))
			h.confirm()
			return id
		}, Response{Err: ErrLeaseExpired}},
		{"a release that comes late reaches no later holder", func(h *managerHarness) uint64 {
			h.advance(GranterDuration(testLeaseDuration, 0.01))
			h.handle(acquireRequest(1, 0))
			h.apply()
			return h.handle(tokenRequest(OpRelease, 0, 1))
		}, Response{Err: ErrLeaseExpired}},
		{"held, and the request doesn't wait", func(h *managerHarness) uint64 { return h.handle(acquireRequest(1, 0)) },
			Response{Token: 1, Holder: holder(0), Err: ErrHeld}},
		{"granted after its caller has gone: given back, and the next has it", func(h *managerHarness) uint64 {
			goneRequest, nextRequest := h.handle(acquireRequest(1, testLeaseDuration)), h.handle(acquireRequest(2, testLeaseDuration))
			h.handle(tokenRequest(OpRelease, 0, 1))
			ref := h.proposed[0]
			h.proposed = nil
			h.manager.Applied(h.now, ref, h.state.Apply(h.entries[ref]), false)
			h.manager.CallerGone(h.now, goneRequest)
			h.apply()
			return nextRequest
		}, Response{Token: 3, Holder: holder(2), Duration: testLeaseDuration}},
		{"an effect", func(h *managerHarness) uint64 {
			r := tokenRequest(OpEffect, 0, 1)
			r.Effect, r.Number = "task/x", 1
			id := h.handle(r)
			h.apply()
			return id
		}, Response{Token: 1}},
		{"an act after a later grant", func(h *managerHarness) uint64 {
			h.advance(GranterDuration(testLeaseDuration, 0.01))
			h.handle(acquireRequest(1, 0))
			h.apply()
			r := tokenRequest(OpEffect, 0, 1)
			r.Effect, r.Number = "task/x", 1
			id := h.handle(r)
			h.apply()
			return id
		}, Response{Err: ErrLeaseExpired}},
		{"nothing is decided by the memory of an earlier term", func(h *managerHarness) uint64 {
			id := h.handle(tokenRequest(OpRelease, 0, 1))
			h.state.Apply(Entry{Version: formatVersion, Kind: KindNewTerm, Name: "n2"})
			h.apply()
			return id
		}, Response{Err: ErrNotLeader}},
		{"after the term is over", func(h *managerHarness) uint64 { h.manager.Demote(); return h.handle(tokenRequest(OpRenew, 0, 1)) }, Response{Err: ErrNotLeader}},
		{"a name that can't be one", func(h *managerHarness) uint64 {
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

// A flood of claimants is bounded: those beyond the queue's limit are refused at once, and those in it are served.
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
		t.Errorf("%d refused, %d wait, want %d each", refused, len(h.manager.requests), maxWaitersPerLease)
	}
	h.handle(tokenRequest(OpRelease, 0, 1))
	h.apply()
	if got := h.state.Leases["task"].Holder; got != holder(1) {
		t.Errorf("%v holds it", got)
	}
}

// A new leader lets no lease expire sooner than the previous one may have promised.
func TestNewLeaderExtendsLeasesByFullDuration(t *testing.T) {
	h := newManagerHarness()
	h.handle(acquireRequest(0, 0))
	h.apply()
	h.now += testLeaseDuration
	h.manager.Demote()
	h.manager.Promote(h.now, h.state.Apply(Entry{Version: formatVersion, Kind: KindNewTerm, Name: "n2"}).Term)
	h.advance(testLeaseDuration)
	if len(h.state.Leases) != 1 {
		t.Error("it expires within a lease's duration of the new term")
	}
	h.advance(GranterDuration(testLeaseDuration, 0.01) - testLeaseDuration)
	if len(h.state.Leases) != 0 {
		t.Error("it never expires")
	}
}
