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
func (h *managerHarness) ConfirmLeadership(round uint64) { h.rounds = append(h.rounds, round) }
func (h *managerHarness) Respond(id uint64, a Response)  { h.responses[id] = a }
func (h *managerHarness) SetAlarm(at Time)               { h.alarm = at }
func (h *managerHarness) handle(a Request) uint64 {
	h.lastID++
	h.manager.Handle(h.now, h.lastID, a)
	return h.lastID
}
func (h *managerHarness) confirm() {
	r := h.rounds[0]
	h.rounds = h.rounds[1:]
	h.manager.LeadershipConfirmed(h.now, r, true)
}

// advance lets time pass, calls the alarm and applies what it proposes.
func (h *managerHarness) advance(by Time) {
	h.now += by
	h.manager.Alarm(h.now)
	h.apply()
}

func holder(n int) Holder { return Holder{Name: fmt.Sprint("h", n), Process: n} }
func acquireRequest(n int, wait Time) Request {
	return Request{Operation: OpAcquire, Name: "task", Holder: holder(n), Wait: wait}
}
func tokenRequest(kind string, n int, tk uint64) Request {
	return Request{Operation: kind, Name: "task", Holder: holder(n), Token: tk}
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
func TestWaitersAreServedInTheirOrder(t *testing.T) {
	h := newManagerHarness()
	first := h.handle(acquireRequest(0, 0))
	h.apply()
	token := h.responses[first].Token
	ids := map[int]uint64{}
	for n := 1; n <= 4; n++ {
		ids[n] = h.handle(acquireRequest(n, testLeaseDuration))
	}
	h.now += testLeaseDuration / graceDivisor
	h.manager.Alarm(h.now) // their waits are over
	for n := 1; n <= 4; n++ {
		if a := h.responses[ids[n]]; !errors.Is(a.Err, ErrStillHeld) || a.Holder != holder(0) {
			t.Fatalf("%d: %+v", n, a)
		}
	}
	for _, n := range []int{4, 3, 2} { // 1 went away, and the others come again in another order
		ids[n] = h.handle(acquireRequest(n, testLeaseDuration))
	}
	ids[3] = h.handle(acquireRequest(3, testLeaseDuration)) // on another connection
	h.handle(tokenRequest(OpWithdraw, 4, 0))
	h.handle(tokenRequest(OpRelease, 0, token))
	h.apply()
	if a := h.responses[ids[2]]; a.Err != nil || a.Token != token+1 {
		t.Errorf("the first in line: %+v", a)
	}
	h.handle(tokenRequest(OpRelease, 2, token+1))
	h.apply()
	if a := h.responses[ids[3]]; a.Err != nil || a.Token != token+2 {
		t.Errorf("the next in line: %+v", a)
	}
	if a := h.responses[ids[4]]; !errors.Is(a.Err, ErrWithdrawn) {
		t.Errorf("the one that withdrew: %+v", a)
	}
}

// Each case sends requests for a lease that holder 0 has with token 1.
func TestRequests(t *testing.T) {
	for _, c := range []struct {
		what string
		do   func(h *managerHarness) uint64
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
			if _, early := h.responses[id]; early {
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
			gone, next := h.handle(acquireRequest(1, testLeaseDuration)), h.handle(acquireRequest(2, testLeaseDuration))
			h.handle(tokenRequest(OpRelease, 0, 1))
			ref := h.proposed[0]
			h.proposed = nil
			h.manager.Applied(h.now, ref, h.state.Apply(h.entries[ref]), false)
			h.manager.CallerGone(h.now, gone)
			h.apply()
			return next
		}, Response{Token: 3, Holder: holder(2), Duration: testLeaseDuration}},
		{"an effect", func(h *managerHarness) uint64 {
			a := tokenRequest(OpEffect, 0, 1)
			a.Effect, a.Number = "task/x", 1
			id := h.handle(a)
			h.apply()
			return id
		}, Response{Token: 1}},
		{"an act after a later grant", func(h *managerHarness) uint64 {
			h.advance(GranterDuration(testLeaseDuration, 0.01))
			h.handle(acquireRequest(1, 0))
			h.apply()
			a := tokenRequest(OpEffect, 0, 1)
			a.Effect, a.Number = "task/x", 1
			id := h.handle(a)
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
		id := c.do(h)
		if got, answered := h.responses[id]; !answered || fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: %+v, want %+v", c.what, got, c.want)
		}
	}
}

// A flood of claimants is bounded: those beyond the queue's limit are refused at once, and those in it are served.
func TestAFloodOfClaimantsIsRefused(t *testing.T) {
	h := newManagerHarness()
	h.handle(acquireRequest(0, 0))
	h.apply()
	full := 0
	for n := 1; n <= 2*maxWaitersPerLease; n++ {
		if a := h.responses[h.handle(acquireRequest(n, testLeaseDuration))]; errors.Is(a.Err, ErrLimitExceeded) {
			full++
		}
	}
	if full != maxWaitersPerLease || len(h.manager.requests) != maxWaitersPerLease {
		t.Errorf("%d refused, %d wait, want %d each", full, len(h.manager.requests), maxWaitersPerLease)
	}
	h.handle(tokenRequest(OpRelease, 0, 1))
	h.apply()
	if got := h.state.Leases["task"].Holder; got != holder(1) {
		t.Errorf("%v holds it", got)
	}
}

// A new leader lets no lease expire sooner than the previous one may have promised.
func TestANewLeaderCountsFromItsBeginning(t *testing.T) {
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
