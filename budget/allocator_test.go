package budget

import (
	"fmt"
	"slices"
	"testing"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/lease"
)

func TestSharesAreMaxMinByWeight(t *testing.T) {
	for _, c := range []struct {
		units  int
		claims []claim
		want   []int
	}{
		{10, []claim{{demand: 2, weight: 1}, {demand: 3, weight: 1}}, []int{2, 3}},
		{10, []claim{{demand: 2, weight: 1}, {demand: 20, weight: 1}, {demand: 20, weight: 1, rank: 1}}, []int{2, 4, 4}},
		{11, []claim{{demand: 2, weight: 1}, {demand: 20, weight: 1, rank: 1}, {demand: 20, weight: 1}}, []int{2, 4, 5}},
		{12, []claim{{demand: 20, weight: 1}, {demand: 20, weight: 3}}, []int{3, 9}},
		{12, []claim{{demand: 2, weight: 1}, {demand: 20, weight: 1}, {demand: 5, weight: 3}}, []int{2, 5, 5}},
		{1, []claim{{demand: 1, weight: 1, rank: 1}, {demand: 1, weight: 1}}, []int{0, 1}},
		{5, []claim{{weight: 1}, {demand: 9, weight: 1}}, []int{0, 5}},
		{0, []claim{{demand: 9, weight: 1}}, []int{0}},
	} {
		if got := maxMinShares(c.units, c.claims); !slices.Equal(got, c.want) {
			t.Errorf("%d units among %+v: %v, want %v", c.units, c.claims, got, c.want)
		}
	}
}

// fleet is many nodes in peace: askings take no time, entries a moment.
type fleet struct {
	t       *testing.T
	now     Time
	state   *lease.State
	d       *Allocator
	wake    Time
	nodes   []*node
	out     []uint64
	entries int
	lowered bool
}

type node struct {
	f            *fleet
	n            int
	p            *QuotaClient
	asks         float64 // acts a second
	units        int
	looked       Time
	had, longest Time // when it last had units, and for how long it had none
	ask          *Request
	told         []Response
	wake         Time
}

func newFleet(t *testing.T, terms lease.BudgetConfig, nodes int) *fleet {
	f := &fleet{t: t, now: 1, state: lease.NewState()}
	f.state.Apply(lease.Entry{Version: 1, Kind: lease.KindFoundCluster, Name: "f"})
	f.d = NewAllocator(f, f.state, Unsafe{})
	f.d.Promote(f.now, f.state.Apply(lease.Entry{Version: 1, Kind: lease.KindNewTerm, Name: "l"}).Term)
	for range nodes {
		f.join(terms)
	}
	return f
}

func (f *fleet) join(terms lease.BudgetConfig) *node {
	n := &node{f: f, n: len(f.nodes), had: f.now}
	f.nodes = append(f.nodes, n)
	r := f.state.Apply(lease.Entry{Version: 1, Kind: lease.KindGrant, Name: nameOf(n.n), Holder: lease.Holder{Name: fmt.Sprint(n.n)}})
	n.p = NewQuotaClient(n, f.now, nameOf(n.n), r.Token, 1, map[string]lease.BudgetConfig{limit: terms}, 1<<60, 0)
	return n
}

func (f *fleet) SetAlarm(at Time)                  { f.wake = at }
func (f *fleet) Propose(ref uint64, _ lease.Entry) { f.out = append(f.out, ref) }
func (f *fleet) Respond(id uint64, a Response) {
	f.nodes[id%1000].told = append(f.nodes[id%1000].told, a)
}
func (n *node) Send(a Request)   { n.ask = &a }
func (n *node) SetAlarm(at Time) { n.wake = at }
func (n *node) SetQuota(_ string, _ lease.BudgetConfig, units, _ int, _ Time) allowance.Usage {
	if n.units > 0 {
		n.had = n.f.now
	}
	n.longest = max(n.longest, n.f.now-n.had)
	u := allowance.Usage{Wanted: n.asks * seconds(n.f.now-n.looked), MeanSeconds: 0.1}
	n.units, n.looked = units, n.f.now
	return u
}

// pass lets time go by.
func (f *fleet) pass(span Time) {
	for end := f.now + span; f.now < end; f.now += 10 * lease.Millisecond {
		for _, ref := range f.out {
			e := f.d.proposals[ref]
			f.state.Apply(e)
			f.entries++
			f.d.Applied(f.now, ref, false)
		}
		f.out = nil
		if f.now >= f.wake {
			f.d.Alarm(f.now)
		}
		for _, n := range f.nodes {
			if f.now >= n.wake {
				n.p.Alarm(f.now)
			}
			told := n.told
			n.told = nil
			for _, a := range told {
				n.p.HandleResponse(f.now, a)
			}
			if a := n.ask; a != nil {
				n.ask = nil
				f.d.Handle(f.now, uint64(f.now)*1000+uint64(n.n), *a)
			}
		}
		if b := f.state.Budgets[limit]; b != nil && b.Allocated() > b.Allocatable() && !f.lowered {
			f.t.Fatalf("%d units are out, %d may be", b.Allocated(), b.Allocatable())
		}
	}
}

// Twenty at a time for sixty nodes that all want some: units go round, and nobody waits for longer than its turns take.
func TestFewUnitsGoRound(t *testing.T) {
	f := newFleet(t, lease.BudgetConfig{Kind: lease.ConcurrencyKind, Units: 20, MaxNodes: 60}, 60)
	for _, n := range f.nodes {
		n.asks = 20
	}
	f.pass(5000 * lease.Millisecond)
	for _, n := range f.nodes {
		n.longest = 0
	}
	f.pass(20_000 * lease.Millisecond)
	longest := Time(0)
	for _, n := range f.nodes {
		longest = max(longest, n.longest)
	}
	t.Logf("the longest wait is %d ms", longest/lease.Millisecond)
	if most := 60 / 20 * (minTurn + 500*lease.Millisecond); longest > most {
		t.Errorf("a node waited for %d ms, %d at most", longest/lease.Millisecond, most/lease.Millisecond)
	}
}

// Demand that moves is followed within a second, a newcomer has some at once, weights count, a lowered whole comes back, and
// in steady demand there is next to nothing to agree on.
func TestPartsFollowDemand(t *testing.T) {
	terms := lease.BudgetConfig{Kind: lease.RateKind, Units: 100, RatePerUnit: 1, MaxNodes: 20}
	f := newFleet(t, terms, 10)
	for _, n := range f.nodes {
		n.asks = 4
	}
	f.nodes[0].asks = 200
	f.pass(6000 * lease.Millisecond)
	if got := f.nodes[0].units; got < 50 {
		t.Errorf("asked for most, it has %d of 100", got)
	}
	f.nodes[0].asks, f.nodes[5].asks = 4, 200
	f.pass(1000 * lease.Millisecond)
	if got := f.nodes[5].units; got < 45 {
		t.Errorf("a second after demand has moved there, it has %d of 100", got)
	}
	n := f.join(terms)
	n.asks = 4
	f.pass(400 * lease.Millisecond)
	if n.units == 0 {
		t.Error("a newcomer has nothing after 0.4 s")
	}
	f.pass(10_000 * lease.Millisecond)
	f.entries = 0
	f.pass(20_000 * lease.Millisecond)
	if f.entries > 20 {
		t.Errorf("%d entries in 20 s of steady demand", f.entries)
	}
	b := f.state.Budgets[limit]
	f.state.Apply(lease.Entry{Version: 2, Kind: lease.KindSetBudget, Name: limit, Budget: &lease.BudgetConfig{Units: 60, Revision: b.Revision}})
	f.d.StateChanged(f.now)
	out := 0
	f.lowered = true // more is out than there is, for a while
	f.pass(1000 * lease.Millisecond)
	for _, n := range f.nodes {
		out += n.units
	}
	if out > 60 || b.Allocated() > 60 {
		t.Errorf("a second after the whole was lowered to 60, %d are acted on, %d are out", out, b.Allocated())
	}
}
