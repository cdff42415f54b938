package budget

import (
	"fmt"
	"slices"
	"testing"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/lease"
)

func TestMaxMinSharesByWeight(t *testing.T) {
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

// steadyFleet is a leader and many nodes without faults: requests take no time, log entries 10 ms.
type steadyFleet struct {
	t         *testing.T
	now       Time
	state     *lease.State
	allocator *Allocator
	wake      Time
	nodes     []*node
	proposals []uint64
	entries   int
	lowered   bool
}

type node struct {
	fleet                     *steadyFleet
	n                         int
	client                    *QuotaClient
	rate                      float64 // requests a second
	units                     int
	lastSample                Time
	lastHadUnits, longestWait Time // when it last had units, and for how long it had none
	request                   *Request
	responses                 []Response
	wake                      Time
}

func newFleet(t *testing.T, terms lease.BudgetConfig, nodes int) *steadyFleet {
	f := &steadyFleet{t: t, now: 1, state: lease.NewState()}
	f.state.Apply(lease.Entry{Version: 1, Kind: lease.KindFoundCluster, Name: "f"})
	f.allocator = NewAllocator(f, f.state, Unsafe{})
	f.allocator.Promote(f.now, f.state.Apply(lease.Entry{Version: 1, Kind: lease.KindNewTerm, Name: "l"}).Term)
	for range nodes {
		f.join(terms)
	}
	return f
}

func (f *steadyFleet) join(terms lease.BudgetConfig) *node {
	n := &node{fleet: f, n: len(f.nodes), lastHadUnits: f.now}
	f.nodes = append(f.nodes, n)
	r := f.state.Apply(lease.Entry{Version: 1, Kind: lease.KindGrant, Name: leaseNameOf(n.n), Holder: lease.Holder{Name: fmt.Sprint(n.n)}})
	n.client = NewQuotaClient(n, f.now, leaseNameOf(n.n), r.Token, 1, map[string]lease.BudgetConfig{budgetName: terms}, 1<<60, 0)
	return n
}

func (f *steadyFleet) SetAlarm(at Time)                  { f.wake = at }
func (f *steadyFleet) Propose(ref uint64, _ lease.Entry) { f.proposals = append(f.proposals, ref) }
func (f *steadyFleet) Respond(id uint64, a Response) {
	f.nodes[id%1000].responses = append(f.nodes[id%1000].responses, a)
}
func (n *node) Send(a Request)   { n.request = &a }
func (n *node) SetAlarm(at Time) { n.wake = at }
func (n *node) SetQuota(_ string, _ lease.BudgetConfig, units, _ int, _ Time) allowance.Usage {
	if n.units > 0 {
		n.lastHadUnits = n.fleet.now
	}
	n.longestWait = max(n.longestWait, n.fleet.now-n.lastHadUnits)
	u := allowance.Usage{Wanted: n.rate * seconds(n.fleet.now-n.lastSample), MeanSeconds: 0.1}
	n.units, n.lastSample = units, n.fleet.now
	return u
}

// run advances the clock in steps of 10 ms.
func (f *steadyFleet) run(span Time) {
	for end := f.now + span; f.now < end; f.now += 10 * lease.Millisecond {
		for _, ref := range f.proposals {
			e := f.allocator.proposals[ref]
			f.state.Apply(e)
			f.entries++
			f.allocator.Applied(f.now, ref, false)
		}
		f.proposals = nil
		if f.now >= f.wake {
			f.allocator.Alarm(f.now)
		}
		for _, n := range f.nodes {
			if f.now >= n.wake {
				n.client.Alarm(f.now)
			}
			told := n.responses
			n.responses = nil
			for _, a := range told {
				n.client.HandleResponse(f.now, a)
			}
			if a := n.request; a != nil {
				n.request = nil
				f.allocator.Handle(f.now, uint64(f.now)*1000+uint64(n.n), *a)
			}
		}
		if b := f.state.Budgets[budgetName]; b != nil && b.Allocated() > b.Allocatable() && !f.lowered {
			f.t.Fatalf("%d units are allocated, the budget has %d", b.Allocated(), b.Allocatable())
		}
	}
}

// Twenty units for sixty nodes that all want some: the nodes take turns, and none waits for longer than the others' turns take.
func TestFewUnitsAreTakenInTurns(t *testing.T) {
	f := newFleet(t, lease.BudgetConfig{Kind: lease.ConcurrencyKind, Units: 20, MaxNodes: 60}, 60)
	for _, n := range f.nodes {
		n.rate = 20
	}
	f.run(5000 * lease.Millisecond)
	for _, n := range f.nodes {
		n.longestWait = 0
	}
	f.run(20_000 * lease.Millisecond)
	longest := Time(0)
	for _, n := range f.nodes {
		longest = max(longest, n.longestWait)
	}
	t.Logf("the longest wait is %d ms", longest/lease.Millisecond)
	if most := 60 / 20 * (minTurn + 500*lease.Millisecond); longest > most {
		t.Errorf("a node waited for %d ms, want %d at most", longest/lease.Millisecond, most/lease.Millisecond)
	}
}

// Quotas follow a shift of demand within a second, a newcomer has some at once, a lowered budget is respected within a second,
// and steady demand costs few log entries.
func TestQuotasFollowDemand(t *testing.T) {
	terms := lease.BudgetConfig{Kind: lease.RateKind, Units: 100, RatePerUnit: 1, MaxNodes: 20}
	f := newFleet(t, terms, 10)
	for _, n := range f.nodes {
		n.rate = 4
	}
	f.nodes[0].rate = 200
	f.run(6000 * lease.Millisecond)
	if got := f.nodes[0].units; got < 50 {
		t.Errorf("the node with most of the demand has %d of 100", got)
	}
	f.nodes[0].rate, f.nodes[5].rate = 4, 200
	f.run(1000 * lease.Millisecond)
	if got := f.nodes[5].units; got < 45 {
		t.Errorf("a second after demand has shifted to it, a node has %d of 100", got)
	}
	n := f.join(terms)
	n.rate = 4
	f.run(400 * lease.Millisecond)
	if n.units == 0 {
		t.Error("a newcomer has nothing after 0.4 s")
	}
	f.run(10_000 * lease.Millisecond)
	f.entries = 0
	f.run(20_000 * lease.Millisecond)
	if f.entries > 20 {
		t.Errorf("%d entries in 20 s of steady demand", f.entries)
	}
	b := f.state.Budgets[budgetName]
	f.state.Apply(lease.Entry{Version: 2, Kind: lease.KindSetBudget, Name: budgetName, Budget: &lease.BudgetConfig{Units: 60, Revision: b.Revision}})
	f.allocator.StateChanged(f.now)
	out := 0
	f.lowered = true // more is allocated than there is, for a while
	f.run(1000 * lease.Millisecond)
	for _, n := range f.nodes {
		out += n.units
	}
	if out > 60 || b.Allocated() > 60 {
		t.Errorf("a second after the budget was lowered to 60, %d are in use, %d are allocated", out, b.Allocated())
	}
}
