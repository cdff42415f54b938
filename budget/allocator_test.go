package budget

import (
	"fmt"
	"slices"
	"testing"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
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

// faultFreeCluster is a leader with many nodes. No messages are lost and no node fails. Requests take no time, log entries 10 ms.
type faultFreeCluster struct {
	t              *testing.T
	now            Time
	state          *lease.State
	allocator      *Allocator
	alarmTime      Time
	nodes          []*testNode
	proposals      []uint64
	appliedEntries int
	budgetLowered  bool
}

type testNode struct {
	cluster                   *faultFreeCluster
	index                     int
	client                    *QuotaClient
	rate                      float64 // requests a second
	units                     int
	lastSample                Time
	lastHadUnits, longestWait Time // last sample with units, longest time without units
	request                   *Request
	responses                 []Response
	alarmTime                 Time
}

func newFaultFreeCluster(t *testing.T, config lease.BudgetConfig, nodes int) *faultFreeCluster {
	c := &faultFreeCluster{t: t, now: 1, state: lease.NewState()}
	c.state.Apply(lease.Entry{Version: 1, Kind: lease.KindFoundCluster, Name: "f"})
	c.allocator = NewAllocator(c, c.state, Unsafe{})
	c.allocator.Promote(c.now, c.state.Apply(lease.Entry{Version: 1, Kind: lease.KindNewTerm, Name: "l"}).Term)
	for range nodes {
		c.addNode(config)
	}
	return c
}

func (c *faultFreeCluster) addNode(config lease.BudgetConfig) *testNode {
	n := &testNode{cluster: c, index: len(c.nodes), lastHadUnits: c.now}
	c.nodes = append(c.nodes, n)
	r := c.state.Apply(lease.Entry{Version: 1, Kind: lease.KindGrant, Name: leaseNameOf(n.index), Holder: lease.Holder{Name: fmt.Sprint(n.index)}})
	n.client = NewQuotaClient(n, c.now, leaseNameOf(n.index), r.Token, 1, map[string]lease.BudgetConfig{budgetName: config}, 1<<60, 0)
	return n
}

func (c *faultFreeCluster) SetAlarm(t Time)                   { c.alarmTime = t }
func (c *faultFreeCluster) Propose(ref uint64, _ lease.Entry) { c.proposals = append(c.proposals, ref) }
func (c *faultFreeCluster) Respond(id uint64, r Response) {
	c.nodes[id%1000].responses = append(c.nodes[id%1000].responses, r)
}
func (n *testNode) Send(r Request)  { n.request = &r }
func (n *testNode) SetAlarm(t Time) { n.alarmTime = t }
func (n *testNode) SetQuota(_ string, _ lease.BudgetConfig, units, _ int, _ Time) quotalimit.Usage {
	if n.units > 0 {
		n.lastHadUnits = n.cluster.now
	}
	n.longestWait = max(n.longestWait, n.cluster.now-n.lastHadUnits)
	usage := quotalimit.Usage{Requested: n.rate * seconds(n.cluster.now-n.lastSample), MeanSeconds: 0.1}
	n.units, n.lastSample = units, n.cluster.now
	return usage
}

// run advances the clock by duration, in steps of 10 ms.
func (c *faultFreeCluster) run(duration Time) {
	for end := c.now + duration; c.now < end; c.now += 10 * lease.Millisecond {
		for _, ref := range c.proposals {
			e := c.allocator.proposals[ref]
			c.state.Apply(e)
			c.appliedEntries++
			c.allocator.HandleProposalResult(c.now, ref, false)
		}
		c.proposals = nil
		if c.now >= c.alarmTime {
			c.allocator.Alarm(c.now)
		}
		for _, n := range c.nodes {
			if c.now >= n.alarmTime {
				n.client.Alarm(c.now)
			}
			responses := n.responses
			n.responses = nil
			for _, r := range responses {
				n.client.HandleResponse(c.now, r)
			}
			if r := n.request; r != nil {
				n.request = nil
				c.allocator.Handle(c.now, uint64(c.now)*1000+uint64(n.index), *r)
			}
		}
		if b := c.state.Budgets[budgetName]; b != nil && b.Allocated() > b.Allocatable() && !c.budgetLowered {
			c.t.Fatalf("%d units are allocated, the budget has %d", b.Allocated(), b.Allocatable())
		}
	}
}

// With 20 units and 60 nodes that all have demand, the nodes take turns. No node waits for longer than the turns of the other
// nodes take.
func TestScarceUnitsRotateAmongNodes(t *testing.T) {
	c := newFaultFreeCluster(t, lease.BudgetConfig{Kind: lease.BudgetKindConcurrency, Units: 20, MaxNodes: 60}, 60)
	for _, n := range c.nodes {
		n.rate = 20
	}
	c.run(5000 * lease.Millisecond)
	for _, n := range c.nodes {
		n.longestWait = 0
	}
	c.run(20_000 * lease.Millisecond)
	longestWait := Time(0)
	for _, n := range c.nodes {
		longestWait = max(longestWait, n.longestWait)
	}
	t.Logf("the longest wait is %d ms", longestWait/lease.Millisecond)
	if maxWait := 60 / 20 * (minTurn + 500*lease.Millisecond); longestWait > maxWait {
		t.Errorf("a node waited for %d ms, want %d at most", longestWait/lease.Millisecond, maxWait/lease.Millisecond)
	}
}

// A shift of demand between nodes moves the quotas within a second. A new node gets units within 0.4 s. The nodes shrink to a
// lowered budget within a second. Steady demand takes few log entries.
func TestQuotasFollowDemand(t *testing.T) {
	config := lease.BudgetConfig{Kind: lease.BudgetKindRate, Units: 100, RatePerUnit: 1, MaxNodes: 20}
	c := newFaultFreeCluster(t, config, 10)
	for _, n := range c.nodes {
		n.rate = 4
	}
	c.nodes[0].rate = 200
	c.run(6000 * lease.Millisecond)
	if got := c.nodes[0].units; got < 50 {
		t.Errorf("node with most of the demand has %d of 100 units, want 50 or more", got)
	}
	c.nodes[0].rate, c.nodes[5].rate = 4, 200
	c.run(1000 * lease.Millisecond)
	if got := c.nodes[5].units; got < 45 {
		t.Errorf("node has %d of 100 units 1 s after demand has shifted to it, want 45 or more", got)
	}
	n := c.addNode(config)
	n.rate = 4
	c.run(400 * lease.Millisecond)
	if n.units == 0 {
		t.Error("new node has no units after 0.4 s")
	}
	c.run(10_000 * lease.Millisecond)
	c.appliedEntries = 0
	c.run(20_000 * lease.Millisecond)
	if c.appliedEntries > 20 {
		t.Errorf("%d log entries in 20 s of steady demand, want 20 at most", c.appliedEntries)
	}
	b := c.state.Budgets[budgetName]
	c.state.Apply(lease.Entry{Version: 2, Kind: lease.KindSetBudget, Name: budgetName, Budget: &lease.BudgetConfig{Units: 60, Revision: b.Revision}})
	c.allocator.StateChanged(c.now)
	unitsInUse := 0
	c.budgetLowered = true // until the nodes have shrunk, more units are allocated than the budget has
	c.run(1000 * lease.Millisecond)
	for _, n := range c.nodes {
		unitsInUse += n.units
	}
	if unitsInUse > 60 || b.Allocated() > 60 {
		t.Errorf("%d units in use and %d allocated 1 s after the budget was lowered to 60", unitsInUse, b.Allocated())
	}
}
