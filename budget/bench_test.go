package budget

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/lease"
)

// benchFleet is a leader and many nodes; entries are applied as soon as they are proposed.
type benchFleet struct {
	now       Time
	state     *lease.State
	allocator *Allocator
	refs      []uint64
	responses map[uint64]Response
	requests  []Request // by node
	lastIDs   []uint64
	lastID    uint64
}

func (c *benchFleet) SetAlarm(Time)                     {}
func (c *benchFleet) Propose(ref uint64, _ lease.Entry) { c.refs = append(c.refs, ref) }
func (c *benchFleet) Respond(id uint64, a Response)     { c.responses[id] = a }

func (c *benchFleet) apply() (entries int) {
	for ; len(c.refs) > 0; entries++ {
		ref := c.refs[0]
		c.refs = c.refs[1:]
		c.state.Apply(c.allocator.proposals[ref])
		c.allocator.Applied(c.now, ref, false)
	}
	return entries
}

func (c *benchFleet) send(n int) {
	c.lastID++
	c.lastIDs[n] = c.lastID
	c.allocator.Handle(c.now, c.lastID, c.requests[n])
}

// handleResponse lets a node take its response, and send its next request if there were updates.
func (c *benchFleet) handleResponse(n int) {
	a, told := c.responses[c.lastIDs[n]]
	if !told {
		return
	}
	delete(c.responses, c.lastIDs[n])
	for _, x := range a.Updates {
		for i := range c.requests[n].Holdings {
			if h := &c.requests[n].Holdings[i]; h.Budget == x.Budget {
				h.Token, h.Units, h.ShrinkTo, h.Revision = x.Quota.Token, x.Quota.Units, x.ShrinkTo, x.Config.Revision
				if x.ShrinkTo >= 0 {
					h.Units = min(h.Units, x.ShrinkTo)
				}
			}
		}
	}
	if len(a.Updates) > 0 {
		c.send(n)
	}
}

// newBenchFleet has nodes share budgets of two units for each, in steady demand of one unit each.
func newBenchFleet(nodes, budgets int) *benchFleet {
	c := &benchFleet{now: 1, state: lease.NewState(), responses: map[uint64]Response{}, requests: make([]Request, nodes), lastIDs: make([]uint64, nodes)}
	c.state.Apply(lease.Entry{Version: 1, Kind: lease.KindFoundCluster, Name: "f"})
	c.allocator = NewAllocator(c, c.state, Unsafe{})
	c.allocator.Promote(c.now, c.state.Apply(lease.Entry{Version: 1, Kind: lease.KindNewTerm, Name: "l"}).Term)
	declares := map[string]lease.BudgetConfig{}
	var holds []Holding
	for i := range budgets {
		name := fmt.Sprint("budget-", i)
		declares[name] = lease.BudgetConfig{Kind: lease.RateKind, Units: 2 * nodes, RatePerUnit: 1, MaxNodes: nodes}
		holds = append(holds, Holding{Budget: name, Demand: 1, ShrinkTo: -1})
	}
	for n := range nodes {
		name := fmt.Sprintf("node/%05d", n)
		r := c.state.Apply(lease.Entry{Version: 1, Kind: lease.KindGrant, Name: name, Holder: lease.Holder{Name: name, Process: n}})
		c.requests[n] = Request{Lease: name, Token: r.Token, Weight: 1, Wait: requestWait, Declared: declares, Holdings: append([]Holding(nil), holds...)}
		c.send(n)
	}
	for range 8 {
		c.now += minMoveInterval
		c.apply()
		c.allocator.Alarm(c.now)
		c.apply()
		for n := range nodes {
			c.requests[n].Declared = nil
			c.handleResponse(n)
		}
	}
	return c
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequests measures a leader in steady demand: each node's request waits for a second without an update, and is sent
// again. One op is one node's request and the alarm at its end. The leader's share of a core is nodes times that.
func BenchmarkRequests(b *testing.B) {
	for _, nodes := range []int{100, 232, 500, 1000, 2000, 4090} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := newBenchFleet(nodes, 2)
			runtime.GC()
			runtime.ReadMemStats(&after)
			step, n := max(1, 1000*lease.Millisecond/Time(nodes)), 0
			for i := range nodes { // spread over a second
				c.now += step
				c.allocator.Alarm(c.now)
				c.send(i)
				clear(c.responses)
			}
			used := processorTime()
			b.ResetTimer()
			for b.Loop() {
				c.now += step
				c.allocator.Alarm(c.now)
				c.send(n % nodes)
				n++
				clear(c.responses)
			}
			each := float64(processorTime()-used) / float64(b.N)
			b.ReportMetric(each, "cpu-ns/op")
			b.ReportMetric(each*float64(nodes)/1e9, "cores")
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(nodes), "B/node")
			snapshot, err := c.state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(snapshot))/float64(nodes), "snapshot-B/node")
		})
	}
}

// BenchmarkDivisions measures what one log entry costs the leader: a node's demand changes, the budget is divided, and all
// requests that wait are checked for updates.
func BenchmarkDivisions(b *testing.B) {
	for _, nodes := range []int{100, 232, 500, 1000, 2000, 4090} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			c := newBenchFleet(nodes, 2)
			for _, m := range c.allocator.nodes {
				m.deadline = 1 << 60 // BenchmarkRequests measures the waits
			}
			entries, i := 0, 0
			used := processorTime()
			b.ResetTimer()
			for b.Loop() {
				n := i * 7 % nodes
				i++
				c.requests[n].Holdings[0].Demand = 3 - c.requests[n].Holdings[0].Demand // one or two units
				c.send(n)
				c.allocator.nodes[c.requests[n].Lease].deadline = 1 << 60
				for range 2 { // units that are asked back are free in the second one
					c.now += 1000 * lease.Millisecond
					c.allocator.Alarm(c.now)
					entries += c.apply()
					c.handleResponse(n)
				}
				clear(c.responses)
			}
			b.ReportMetric(float64(processorTime()-used)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(entries)/float64(b.N), "entries/op")
		})
	}
}
