package lease

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// desk is a Keeper whose proposals are applied, and whose rounds are confirmed, when a test says so.
type desk struct {
	k        *Manager
	s        *State
	now      Time
	wake     Time
	ids      uint64
	answers  map[uint64]Response
	proposed []uint64
	entries  map[uint64]Entry
	rounds   []uint64
}

func (d *desk) Propose(ref uint64, e Entry) {
	d.proposed = append(d.proposed, ref)
	d.entries[ref] = e
}
func (d *desk) ConfirmLeadership(round uint64) { d.rounds = append(d.rounds, round) }
func (d *desk) Respond(id uint64, a Response)  { d.answers[id] = a }
func (d *desk) SetAlarm(at Time)               { d.wake = at }
func (d *desk) ask(a Request) uint64           { d.ids++; d.k.Handle(d.now, d.ids, a); return d.ids }
func (d *desk) confirm() {
	r := d.rounds[0]
	d.rounds = d.rounds[1:]
	d.k.LeadershipConfirmed(d.now, r, true)
}
func (d *desk) end(after Time) { d.now += after; d.k.Alarm(d.now); d.apply() }
func holder(n int) Holder      { return Holder{Name: fmt.Sprint("h", n), Process: n} }
func acquire(n int, wait Time) Request {
	return Request{Operation: OpAcquire, Name: "task", Holder: holder(n), Wait: wait}
}
func with(kind string, n int, tk uint64) Request {
	return Request{Operation: kind, Name: "task", Holder: holder(n), Token: tk}
}

func (d *desk) apply() {
	for len(d.proposed) > 0 {
		ref := d.proposed[0]
		d.proposed = d.proposed[1:]
		d.k.Applied(d.now, ref, d.s.Apply(d.entries[ref]), false)
	}
}

const aLease = 3000 * Millisecond

func newDesk() *desk {
	d := &desk{s: NewState(), answers: map[uint64]Response{}, entries: map[uint64]Entry{}}
	d.s.Apply(Entry{Version: formatVersion, Kind: KindFoundCluster, Name: "fleet"})
	d.k = NewManager(d, d.s, aLease, GranterDuration(aLease, 0.01))
	d.k.Promote(d.now, d.s.Apply(Entry{Version: formatVersion, Kind: KindNewTerm, Name: "n1"}).Term)
	return d
}

// Waiters get the lease in the order of their asking, also one that asked again meanwhile; one that went away is passed.
func TestWaitersAreServedInTheirOrder(t *testing.T) {
	d := newDesk()
	first := d.ask(acquire(0, 0))
	d.apply()
	token := d.answers[first].Token
	ids := map[int]uint64{}
	for n := 1; n <= 4; n++ {
		ids[n] = d.ask(acquire(n, aLease))
	}
	d.now += aLease / graceDivisor
	d.k.Alarm(d.now) // their waits are over
	for n := 1; n <= 4; n++ {
		if a := d.answers[ids[n]]; !errors.Is(a.Err, ErrStillHeld) || a.Holder != holder(0) {
			t.Fatalf("%d: %+v", n, a)
		}
	}
	for _, n := range []int{4, 3, 2} { // 1 went away, and the others come again in another order
		ids[n] = d.ask(acquire(n, aLease))
	}
	ids[3] = d.ask(acquire(3, aLease)) // on another connection
	d.ask(with(OpWithdraw, 4, 0))
	d.ask(with(OpRelease, 0, token))
	d.apply()
	if a := d.answers[ids[2]]; a.Err != nil || a.Token != token+1 {
		t.Errorf("the first in line: %+v", a)
	}
	d.ask(with(OpRelease, 2, token+1))
	d.apply()
	if a := d.answers[ids[3]]; a.Err != nil || a.Token != token+2 {
		t.Errorf("the next in line: %+v", a)
	}
	if a := d.answers[ids[4]]; !errors.Is(a.Err, ErrWithdrawn) {
		t.Errorf("the one that withdrew: %+v", a)
	}
}

// Each case asks of a lease that holder 0 has with token 1.
func TestAskings(t *testing.T) {
	for _, c := range []struct {
		what string
		do   func(d *desk) uint64
		want Response
	}{
		{"a renewal confirmed", func(d *desk) uint64 { id := d.ask(with(OpRenew, 0, 1)); d.confirm(); return id },
			Response{Token: 1, Holder: holder(0), Duration: aLease}},
		{"asked for anew by its holder, whose answer was lost", func(d *desk) uint64 { id := d.ask(acquire(0, 0)); d.confirm(); return id },
			Response{Token: 1, Holder: holder(0), Duration: aLease}},
		{"a renewal that comes while a round is out waits for the next", func(d *desk) uint64 {
			d.ask(with(OpRenew, 0, 1))
			id := d.ask(with(OpRenew, 0, 1))
			d.confirm()
			if _, early := d.answers[id]; early {
				return 0
			}
			d.confirm()
			return id
		}, Response{Token: 1, Holder: holder(0), Duration: aLease}},
		{"a renewal that isn't confirmed", func(d *desk) uint64 {
			id := d.ask(with(OpRenew, 0, 1))
			d.k.LeadershipConfirmed(d.now, d.rounds[0], false)
			return id
		}, Response{Err: ErrNotLeader}},
		{"another's token", func(d *desk) uint64 { return d.ask(with(OpRenew, 1, 1)) }, Response{Err: ErrLeaseExpired}},
		{"a renewal while the release is under way", func(d *desk) uint64 {
			id := d.ask(with(OpRenew, 0, 1))
			d.ask(with(OpRelease, 0, 1))
			d.confirm()
			return id
		}, Response{Err: ErrLeaseExpired}},
		{"a release that comes late reaches no later holder", func(d *desk) uint64 {
			d.end(GranterDuration(aLease, 0.01))
			d.ask(acquire(1, 0))
			d.apply()
			return d.ask(with(OpRelease, 0, 1))
		}, Response{Err: ErrLeaseExpired}},
		{"held, and no wish to wait", func(d *desk) uint64 { return d.ask(acquire(1, 0)) },
			Response{Token: 1, Holder: holder(0), Err: ErrHeld}},
		{"granted after its caller has gone: given back, and the next has it", func(d *desk) uint64 {
			gone, next := d.ask(acquire(1, aLease)), d.ask(acquire(2, aLease))
			d.ask(with(OpRelease, 0, 1))
			ref := d.proposed[0]
			d.proposed = nil
			d.k.Applied(d.now, ref, d.s.Apply(d.entries[ref]), false)
			d.k.CallerGone(d.now, gone)
			d.apply()
			return next
		}, Response{Token: 3, Holder: holder(2), Duration: aLease}},
		{"an act", func(d *desk) uint64 {
			a := with(OpEffect, 0, 1)
			a.Effect, a.Number = "task/x", 1
			id := d.ask(a)
			d.apply()
			return id
		}, Response{Token: 1}},
		{"an act after a later holder has come", func(d *desk) uint64 {
			d.end(GranterDuration(aLease, 0.01))
			d.ask(acquire(1, 0))
			d.apply()
			a := with(OpEffect, 0, 1)
			a.Effect, a.Number = "task/x", 1
			id := d.ask(a)
			d.apply()
			return id
		}, Response{Err: ErrLeaseExpired}},
		{"nothing is decided by an earlier reign's memory", func(d *desk) uint64 {
			id := d.ask(with(OpRelease, 0, 1))
			d.s.Apply(Entry{Version: formatVersion, Kind: KindNewTerm, Name: "n2"})
			d.apply()
			return id
		}, Response{Err: ErrNotLeader}},
		{"after the reign is over", func(d *desk) uint64 { d.k.Demote(); return d.ask(with(OpRenew, 0, 1)) }, Response{Err: ErrNotLeader}},
		{"a name that can't be one", func(d *desk) uint64 { return d.ask(Request{Operation: OpAcquire, Name: "a b", Holder: holder(1)}) },
			Response{Err: ErrMalformed}},
	} {
		d := newDesk()
		d.ask(acquire(0, 0))
		d.apply()
		id := c.do(d)
		if got, answered := d.answers[id]; !answered || fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: %+v, want %+v", c.what, got, c.want)
		}
	}
}

// A flood of claimants is bounded: whoever is beyond the line is refused at once, and those in it are served.
func TestAFloodIsTurnedAway(t *testing.T) {
	d := newDesk()
	d.ask(acquire(0, 0))
	d.apply()
	full := 0
	for n := 1; n <= 2*maxWaitersPerLease; n++ {
		if a := d.answers[d.ask(acquire(n, aLease))]; errors.Is(a.Err, ErrLimitExceeded) {
			full++
		}
	}
	if full != maxWaitersPerLease || len(d.k.requests) != maxWaitersPerLease {
		t.Errorf("%d refused, %d wait, want %d each", full, len(d.k.requests), maxWaitersPerLease)
	}
	d.ask(with(OpRelease, 0, 1))
	d.apply()
	if h := d.s.Leases["task"].Holder; h != holder(1) {
		t.Errorf("%v holds it", h)
	}
}

// A new leader lets no lease end sooner than the one before may have promised.
func TestANewLeaderCountsFromItsBeginning(t *testing.T) {
	d := newDesk()
	d.ask(acquire(0, 0))
	d.apply()
	d.now += aLease
	d.k.Demote()
	d.k.Promote(d.now, d.s.Apply(Entry{Version: formatVersion, Kind: KindNewTerm, Name: "n2"}).Term)
	d.end(aLease)
	if len(d.s.Leases) != 1 {
		t.Error("it ends within a length of the new reign")
	}
	d.end(GranterDuration(aLease, 0.01) - aLease)
	if len(d.s.Leases) != 0 {
		t.Error("it never ends")
	}
}

// The state against a plain model, through snapshots: tokens only grow, acts pass under the latest alone and once.
func TestTheStateAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, last, done := NewState(), uint64(0), map[string]uint64{}
		held := map[string]Lease{}
		s.Apply(Entry{Version: formatVersion, Kind: KindFoundCluster, Name: "fleet"})
		for range 200 {
			e := Entry{Version: formatVersion, Kind: rapid.SampledFrom([]string{KindGrant, KindRevoke, KindEffect, KindNewTerm, KindFoundCluster}).Draw(t, "kind"),
				Name:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
				Holder: holder(rapid.IntRange(0, 2).Draw(t, "holder")), Number: uint64(rapid.IntRange(1, 9).Draw(t, "number")),
				Token: uint64(max(0, int(last)-rapid.IntRange(0, 2).Draw(t, "age")))}
			e.Effect = e.Name
			l, is := held[e.Name]
			r := s.Apply(e)
			var want error
			switch e.Kind {
			case KindFoundCluster:
				want = ErrAlreadyFounded
			case KindGrant:
				if is && l.Holder != e.Holder {
					want = ErrHeld
				} else if !is {
					last++
					held[e.Name] = Lease{e.Holder, last}
					if r.Token != last {
						t.Fatalf("token %d, want %d", r.Token, last)
					}
				}
			case KindRevoke, KindEffect:
				switch {
				case !is || l.Token != e.Token:
					want = ErrLeaseExpired
				case e.Kind == KindRevoke:
					delete(held, e.Name)
				case e.Number <= done[e.Name]:
					want = ErrDuplicate
				default:
					done[e.Name] = e.Number
				}
			}
			if !errors.Is(r.Err, want) {
				t.Fatalf("%+v: %v, want %v", e, r.Err, want)
			}
			b, err := s.Snapshot()
			if s = NewState(); err != nil || s.Restore(b) != nil {
				t.Fatal(err)
			}
		}
	})
}

func TestWhatIsMalformedIsRefusedByName(t *testing.T) {
	s := NewState()
	s.Apply(Entry{Version: formatVersion, Kind: KindFoundCluster, Name: "fleet"})
	s.Apply(Entry{Version: formatVersion, Kind: KindGrant, Name: "a", Holder: holder(1)})
	for want, e := range map[string]Entry{
		`version 9 of a "grant" entry`: {Version: 9, Kind: KindGrant, Name: "a"},
		"name":                         {Version: formatVersion, Kind: KindGrant, Name: strings.Repeat("a", maxNameBytes+1)},
		"unknown kind":                 {Version: formatVersion, Kind: "budget", Name: "a"},
		`version 1 of a "whole" entry`: {Version: formatVersion, Kind: KindSetBudget, Name: "a"},
		"no budget given":              {Version: budgetFormatVersion, Kind: KindSetBudget, Name: "a"},
		"rate or number":               {Version: budgetFormatVersion, Kind: KindSetBudget, Name: "a", Budget: &BudgetConfig{Kind: "x", Units: 1, MaxNodes: 1}},
		"0 units":                      {Version: budgetFormatVersion, Kind: KindSetBudget, Name: "a", Budget: &BudgetConfig{Kind: ConcurrencyKind, MaxNodes: 1}},
		"0 a second":                   {Version: budgetFormatVersion, Kind: KindSetBudget, Name: "a", Budget: &BudgetConfig{Kind: RateKind, Units: 1, MaxNodes: 1}},
		"expected 12 or more":          {Version: budgetFormatVersion, Kind: KindSetBudget, Name: "a", Budget: &BudgetConfig{Kind: ConcurrencyKind, Units: 9, ReservedPerNode: 3, MaxNodes: 4}},
		"16384 at most":                {Version: budgetFormatVersion, Kind: KindMoveQuotas, Name: "a", Moves: make([]QuotaMove, maxMovesPerEntry+1)},
		"is not \"a\"":                 {Version: formatVersion, Kind: KindEffect, Name: "a", Token: 1, Effect: "ab"},
		"4096 at most":                 {Version: formatVersion, Kind: KindEffect, Name: "a", Token: 1, Effect: "a", Value: make([]byte, maxValueBytes+1)},
	} {
		if r := s.Apply(e); r.Err == nil || !strings.Contains(r.Err.Error(), want) {
			t.Errorf("%v: want %s", r.Err, want)
		}
	}
	before, _ := s.Snapshot()
	for text, want := range map[string]string{`{"version":3}`: "snapshot version 3: this program reads versions 1 and 2", `{`: "snapshot"} {
		if err := s.Restore([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: want %s", err, want)
		}
	}
	if after, _ := s.Snapshot(); !slices.Equal(before, after) {
		t.Error("a refused snapshot changes something")
	}
}

// More than there is to lend is never out, an old word moves nothing, parts end with their lease, and all of it is in a
// snapshot; one without budgets can be read by a program that knows none.
func TestPartsOfABudget(t *testing.T) {
	s := NewState()
	s.Apply(Entry{Version: formatVersion, Kind: KindFoundCluster, Name: "fleet"})
	a := s.Apply(Entry{Version: formatVersion, Kind: KindGrant, Name: "node/a", Holder: holder(1)}).Token
	b := s.Apply(Entry{Version: formatVersion, Kind: KindGrant, Name: "node/b", Holder: holder(2)}).Token
	if text, _ := s.Snapshot(); !strings.Contains(string(text), `"version":1`) || strings.Contains(string(text), "budgets") {
		t.Errorf("without budgets: %s", text)
	}
	set := func(revision uint64, units int) Result {
		return s.Apply(Entry{Version: budgetFormatVersion, Kind: KindSetBudget, Name: "x", Budget: &BudgetConfig{Kind: RateKind, Units: units, RatePerUnit: 2, ReservedPerNode: 1, MaxNodes: 2, Revision: revision}})
	}
	if r := set(0, 10); r.Err != nil || r.Token != 1 {
		t.Fatal(r)
	}
	if r := set(0, 20); r.Err != ErrDuplicate || s.Budgets["x"].Units != 10 {
		t.Errorf("declared twice: %v, %+v", r, s.Budgets["x"])
	}
	for _, c := range []struct {
		lease        string
		token, under uint64
		units, want  int
	}{
		{"node/a", a, 0, 6, 6},
		{"node/b", b, 0, 3, 0}, // two are apart
		{"node/b", a, 0, 2, 0}, // another's lease
		{"node/b", b, 0, 2, 2},
		{"node/a", a, a, 1, 6}, // under a token that is not the part's
		{"node/a", a, 3, 1, 1},
		{"node/b", b, 4, 7, 7},
		{"node/c", 9, 0, 1, 0},
	} {
		s.Apply(Entry{Version: budgetFormatVersion, Kind: KindMoveQuotas, Name: "parts", Moves: []QuotaMove{{"x", c.lease, c.token, c.under, c.units}}})
		if got := s.Budgets["x"].Quotas[c.lease].Units; got != c.want {
			t.Errorf("%+v: %d units", c, got)
		}
	}
	if r := set(1, 4); r.Err != nil || s.Budgets["x"].Limit() != 8 || s.Budgets["x"].Allocated() != 8 {
		t.Errorf("a whole that is lowered: %v, %+v", r, s.Budgets["x"])
	}
	if r := set(1, 5); r.Err != ErrDuplicate {
		t.Errorf("set on an old revision: %v", r)
	}
	text, _ := s.Snapshot()
	fresh := NewState()
	if err := fresh.Restore(text); err != nil || fresh.Budgets["x"].Allocated() != 8 || fresh.Budgets["x"].BudgetConfig != s.Budgets["x"].BudgetConfig {
		t.Errorf("%v: %+v", err, fresh.Budgets["x"])
	}
	s.Apply(Entry{Version: formatVersion, Kind: KindRevoke, Name: "node/b", Token: b})
	if s.Budgets["x"].Allocated() != 1 {
		t.Errorf("%+v", s.Budgets["x"])
	}
}
