package lease

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
)

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// leader has so many holders, each of its own name, as nodes are.
func leader(b *testing.B, holders int) (*desk, []Request) {
	d := newDesk()
	all := make([]Request, holders)
	for n := range all {
		name := fmt.Sprintf("node/%05d", n)
		id := d.ask(Request{Operation: OpAcquire, Name: name, Holder: holder(n)})
		d.apply()
		x := d.answers[id]
		if x.Err != nil {
			b.Fatal(n, x.Err)
		}
		all[n] = Request{Operation: OpRenew, Name: name, Holder: holder(n), Token: x.Token}
		d.s.Apply(Entry{Version: formatVersion, Kind: KindEffect, Name: name, Token: x.Token, Effect: name, Number: 1, Value: []byte("127.0.0.1:10001")})
	}
	clear(d.answers)
	return d, all
}

var holderCounts = []int{100, 232, 500, 1000, 2000, 4090} // up to namesMost

// BenchmarkRenewal is what one renewal costs the leader's memory, without wire and voters: alone in its round to a majority,
// and with fifteen others. The leader's share of a core is holders times that, at a renewal a second each.
func BenchmarkRenewal(b *testing.B) {
	for _, together := range []int{1, 16} {
		for _, holders := range holderCounts {
			b.Run(fmt.Sprintf("together=%d/holders=%d", together, holders), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				d, asks := leader(b, holders)
				runtime.GC()
				runtime.ReadMemStats(&after)
				n := 0
				round := func(many int) {
					for range many {
						d.ask(asks[n%holders])
						n++
					}
					for len(d.rounds) > 0 {
						d.confirm()
					}
					d.now += Time(many)
					clear(d.answers)
				}
				round(holders)
				used := processorTime()
				b.ResetTimer()
				for i := 0; b.Loop(); i++ {
					if i%together == 0 {
						round(together)
					}
				}
				each := float64(processorTime()-used) / float64(b.N)
				b.ReportMetric(each, "cpu-ns/op")
				b.ReportMetric(each*float64(holders)/1e9, "cores")
				b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(holders), "B/holder")
			})
		}
	}
}

// BenchmarkWaiting is one asking of a waiter for a task that another holds: it waits for a quarter of a lease and asks
// again, as all nodes but one do for each task.
func BenchmarkWaiting(b *testing.B) {
	for _, waiters := range []int{100, 232, 500, 1000} { // up to waitersMost
		b.Run(fmt.Sprint("waiters=", waiters), func(b *testing.B) {
			d := newDesk()
			d.ask(acquire(0, 0))
			d.apply()
			d.k.expiries["task"] = 1 << 60 // its holder renews
			wait := aLease / waitDivisor
			step, n := max(1, wait/Time(waiters)), 0
			next := func() {
				d.now += step
				d.k.Alarm(d.now)
				d.ask(acquire(1+n%waiters, wait))
				n++
				clear(d.answers)
			}
			for range 2 * waiters {
				next()
			}
			used := processorTime()
			b.ResetTimer()
			for b.Loop() {
				next()
			}
			each := float64(processorTime()-used) / float64(b.N)
			b.ReportMetric(each, "cpu-ns/op")
			b.ReportMetric(each*float64(waiters)*float64(1000*Millisecond)/float64(wait)/1e9, "cores")
		})
	}
}

// BenchmarkSnapshot writes all that voters agree on of so many nodes, and reads it.
func BenchmarkSnapshot(b *testing.B) {
	for _, holders := range holderCounts {
		b.Run(fmt.Sprint("holders=", holders), func(b *testing.B) {
			d, _ := leader(b, holders)
			size := 0
			for b.Loop() {
				s, err := d.s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				if err := NewState().Restore(s); err != nil {
					b.Fatal(err)
				}
				size = len(s)
			}
			b.ReportMetric(float64(size)/float64(holders), "B/holder")
		})
	}
}
