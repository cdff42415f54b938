package budget

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/lease"
)

// crowd is a leader with many nodes in touch; entries are applied as soon as they are proposed.
type crowd struct {
	now   Time
	state *lease.State
	d     *Allocator
	refs  []uint64
	told  map[uint64]Response
	asks  []Request // by node
	lasts []uint64
	ids   uint64
}

func (c *crowd) SetAlarm(Time)                     {}
func (c *crowd) Propose(ref uint64, _ lease.Entry) { c.refs = append(c.refs, ref) }
func (c *crowd) Respond(id uint64, a Response)     { c.told[id] = a }

func (c *crowd) apply() (entries int) {
	for ; len(c.refs) > 0; entries++ {
		ref := c.refs[0]
		c.refs = c.refs[1:]
		c.state.Apply(c.d.proposals[ref])
		c.d.Applied(c.now, ref, false)
	}
	return entries
}

func (c *crowd) ask(n int) {
	c.ids++
	c.lasts[n] = c.ids
	c.d.Handle(c.now, c.ids, c.asks[n])
}

// heed lets a node take its answer, and ask again if there was news.
func (c *crowd) heed(n int) {
	a, told := c.told[c.lasts[n]]
	if !told {
		return
	}
	delete(c.told, c.lasts[n])
	for _, x := range a.Updates {
		for i := range c.asks[n].Held {
			if h := &c.asks[n].Held[i]; h.Budget == x.Budget {
				h.Token, h.Units, h.ShrinkTo, h.Revision = x.Quota.Token, x.Quota.Units, x.ShrinkTo, x.Config.Revision
				if x.ShrinkTo >= 0 {
					h.Units = min(h.Units, x.ShrinkTo)
				}
			}
		}
	}
	if len(a.Updates) > 0 {
		c.ask(n)
	}
}

// newCrowd has so many nodes share so many budgets of a unit and a half each, in steady demand.
func newCrowd(nodes, budgets int) *crowd {
	c := &crowd{now: 1, state: lease.NewState(), told: map[uint64]Response{}, asks: make([]Request, nodes), lasts: make([]uint64, nodes)}
	c.state.Apply(lease.Entry{Version: 1, Kind: lease.KindFoundCluster, Name: "f"})
	c.d = NewAllocator(c, c.state, Unsafe{})
	c.d.Promote(c.now, c.state.Apply(lease.Entry{Version: 1, Kind: lease.KindNewTerm, Name: "l"}).Term)
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
		c.asks[n] = Request{Lease: name, Token: r.Token, Weight: 1, Wait: requestWait, Declared: declares, Held: append([]Holding(nil), holds...)}
		c.ask(n)
	}
	for range 8 {
		c.now += minMoveInterval
		c.apply()
		c.d.Alarm(c.now)
		c.apply()
		for n := range nodes {
			c.asks[n].Declared = nil
			c.heed(n)
		}
	}
	return c
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAskings is a leader's second in steady demand by parts: each node asks once a second, waits in vain, and asks
// again. One op is one node's asking and the alarm at its end. The leader's share of a core is nodes times that.
func BenchmarkAskings(b *testing.B) {
	for _, nodes := range []int{100, 232, 500, 1000, 2000, 4090} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := newCrowd(nodes, 2)
			runtime.GC()
			runtime.ReadMemStats(&after)
			step, n := max(1, 1000*lease.Millisecond/Time(nodes)), 0
			for i := range nodes { // spread over a second
				c.now += step
				c.d.Alarm(c.now)
				c.ask(i)
				clear(c.told)
			}
			used := processorTime()
			b.ResetTimer()
			for b.Loop() {
				c.now += step
				c.d.Alarm(c.now)
				c.ask(n % nodes)
				n++
				clear(c.told)
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

// BenchmarkDivisions is what one entry of the log costs the leader: a node wants another part, the budget is divided, and
// all nodes that wait are looked at for news.
func BenchmarkDivisions(b *testing.B) {
	for _, nodes := range []int{100, 232, 500, 1000, 2000, 4090} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			c := newCrowd(nodes, 2)
			for _, m := range c.d.nodes {
				m.deadline = 1 << 60 // what their waits cost is the other benchmark's
			}
			entries, i := 0, 0
			used := processorTime()
			b.ResetTimer()
			for b.Loop() {
				n := i * 7 % nodes
				i++
				c.asks[n].Held[0].Demand = 3 - c.asks[n].Held[0].Demand // one or two units
				c.ask(n)
				c.d.nodes[c.asks[n].Lease].deadline = 1 << 60
				for range 2 { // what is asked back is given in the second
					c.now += 1000 * lease.Millisecond
					c.d.Alarm(c.now)
					entries += c.apply()
					c.heed(n)
				}
				clear(c.told)
			}
			b.ReportMetric(float64(processorTime()-used)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(entries)/float64(b.N), "entries/op")
		})
	}
}
