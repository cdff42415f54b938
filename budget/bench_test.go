package budget

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/lease"
)

// benchCluster is a leader with many nodes. Log entries are committed without delay when applyProposals is called.
type benchCluster struct {
	now            Time
	state          *lease.State
	allocator      *Allocator
	proposalRefs   []uint64
	responses      map[uint64]Response
	requests       []Request // latest request, by node
	lastRequestIDs []uint64  // ID of the latest request, by node
	lastRequestID  uint64
}

func (c *benchCluster) SetAlarm(Time) {}
func (c *benchCluster) Propose(ref uint64, _ lease.Entry) {
	c.proposalRefs = append(c.proposalRefs, ref)
}
func (c *benchCluster) Respond(id uint64, r Response) { c.responses[id] = r }

func (c *benchCluster) applyProposals() (entries int) {
	for ; len(c.proposalRefs) > 0; entries++ {
		ref := c.proposalRefs[0]
		c.proposalRefs = c.proposalRefs[1:]
		c.state.Apply(c.allocator.proposals[ref])
		c.allocator.HandleProposalResult(c.now, ref, false)
	}
	return entries
}

func (c *benchCluster) sendRequest(node int) {
	c.lastRequestID++
	c.lastRequestIDs[node] = c.lastRequestID
	c.allocator.Handle(c.now, c.lastRequestID, c.requests[node])
}

// handleResponse applies the response to a node's latest request, if there is one. The node sends its next request if the
// response contains updates.
func (c *benchCluster) handleResponse(node int) {
	response, ok := c.responses[c.lastRequestIDs[node]]
	if !ok {
		return
	}
	delete(c.responses, c.lastRequestIDs[node])
	for _, u := range response.Updates {
		for i := range c.requests[node].Reports {
			if h := &c.requests[node].Reports[i]; h.Budget == u.Budget {
				h.Token, h.Units, h.ShrinkTo, h.Revision = u.Quota.Token, u.Quota.Units, u.ShrinkTo, u.Config.Revision
				if u.ShrinkTo >= 0 {
					h.Units = min(h.Units, u.ShrinkTo)
				}
			}
		}
	}
	if len(response.Updates) > 0 {
		c.sendRequest(node)
	}
}

// newBenchCluster returns a cluster in which each budget has two units per node, and each node a steady demand of one unit.
func newBenchCluster(nodes, budgets int) *benchCluster {
	c := &benchCluster{now: 1, state: lease.NewState(), responses: map[uint64]Response{}, requests: make([]Request, nodes), lastRequestIDs: make([]uint64, nodes)}
	c.state.Apply(lease.Entry{Version: 1, Kind: lease.KindFoundCluster, Name: "f"})
	c.allocator = NewAllocator(c, c.state, Unsafe{})
	c.allocator.Promote(c.now, c.state.Apply(lease.Entry{Version: 1, Kind: lease.KindNewTerm, Name: "l"}).Term)
	declared := map[string]lease.BudgetConfig{}
	var reports []Report
	for i := range budgets {
		name := fmt.Sprint("budget-", i)
		declared[name] = lease.BudgetConfig{Kind: lease.BudgetKindRate, Units: 2 * nodes, RatePerUnit: 1, MaxNodes: nodes}
		reports = append(reports, Report{Budget: name, Demand: 1, ShrinkTo: -1})
	}
	for n := range nodes {
		name := fmt.Sprintf("node/%05d", n)
		r := c.state.Apply(lease.Entry{Version: 1, Kind: lease.KindGrant, Name: name, Holder: lease.Holder{Name: name, Process: n}})
		c.requests[n] = Request{Lease: name, Token: r.Token, Weight: 1, MaxWait: requestWait, DeclaredConfigs: declared, Reports: append([]Report(nil), reports...)}
		c.sendRequest(n)
	}
	for range 8 {
		c.now += minMoveInterval
		c.applyProposals()
		c.allocator.Alarm(c.now)
		c.applyProposals()
		for n := range nodes {
			c.requests[n].DeclaredConfigs = nil
			c.handleResponse(n)
		}
	}
	return c
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequests measures the leader under steady demand. Each node's request waits for a second without an update, and is
// then sent again. One op is the request of one node and the alarm at its deadline. The metric "cores" is the leader's use of
// processor cores, which is the number of nodes times the processor seconds per op.
func BenchmarkRequests(b *testing.B) {
	for _, nodes := range []int{100, 232, 500, 1000, 2000, 4090} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := newBenchCluster(nodes, 2)
			runtime.GC()
			runtime.ReadMemStats(&after)
			step, n := max(1, 1000*lease.Millisecond/Time(nodes)), 0
			for i := range nodes { // spreads the requests over a second
				c.now += step
				c.allocator.Alarm(c.now)
				c.sendRequest(i)
				clear(c.responses)
			}
			start := cpuTime()
			b.ResetTimer()
			for b.Loop() {
				c.now += step
				c.allocator.Alarm(c.now)
				c.sendRequest(n % nodes)
				n++
				clear(c.responses)
			}
			nsPerOp := float64(cpuTime()-start) / float64(b.N)
			b.ReportMetric(nsPerOp, "cpu-ns/op")
			b.ReportMetric(nsPerOp*float64(nodes)/1e9, "cores")
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(nodes), "B/node")
			snapshot, err := c.state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(snapshot))/float64(nodes), "snapshot-B/node")
		})
	}
}

// BenchmarkDivisions measures the leader's cost of one change of demand. The demand of a node changes, the leader divides the
// budget, and it checks all waiting requests for updates.
func BenchmarkDivisions(b *testing.B) {
	for _, nodes := range []int{100, 232, 500, 1000, 2000, 4090} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			c := newBenchCluster(nodes, 2)
			for _, n := range c.allocator.nodes {
				n.deadline = 1 << 60 // excludes deadlines, which BenchmarkRequests measures
			}
			entries, i := 0, 0
			start := cpuTime()
			b.ResetTimer()
			for b.Loop() {
				n := i * 7 % nodes
				i++
				c.requests[n].Reports[0].Demand = 3 - c.requests[n].Reports[0].Demand // alternates between one and two units
				c.sendRequest(n)
				c.allocator.nodes[c.requests[n].Lease].deadline = 1 << 60
				for range 2 { // the second division reuses the units that the first one asked back
					c.now += 1000 * lease.Millisecond
					c.allocator.Alarm(c.now)
					entries += c.applyProposals()
					c.handleResponse(n)
				}
				clear(c.responses)
			}
			b.ReportMetric(float64(cpuTime()-start)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(entries)/float64(b.N), "entries/op")
		})
	}
}
