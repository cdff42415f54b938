package lease

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// processCPUTime returns the CPU time that this process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// harnessWithHolders returns a leader with the given number of held leases, one per node name, and the requests that renew them.
func harnessWithHolders(b *testing.B, holders int) (*managerHarness, []Request) {
	h := newManagerHarness()
	renewals := make([]Request, holders)
	for n := range renewals {
		name := fmt.Sprintf("node/%05d", n)
		id := h.handle(Request{Operation: OpAcquire, Name: name, Holder: holder(n)})
		h.apply()
		response := h.responses[id]
		if response.Err != nil {
			b.Fatal(n, response.Err)
		}
		renewals[n] = Request{Operation: OpRenew, Name: name, Holder: holder(n), Token: response.Token}
		h.state.Apply(Entry{Version: formatVersion, Kind: KindEffect, Name: name, Token: response.Token, Effect: name, Number: 1, Value: []byte("127.0.0.1:10001")})
	}
	clear(h.responses)
	return h, renewals
}

var holderCounts = []int{100, 232, 500, 1000, 2000, 4090} // up to maxLeases

// BenchmarkRenewal measures the CPU time of one renewal in the Manager, without network and voters, with 1 and with 16 renewals
// in a quorum round. The metric "cores" is the CPU usage of a leader at one renewal per second and holder.
func BenchmarkRenewal(b *testing.B) {
	for _, renewalsPerRound := range []int{1, 16} {
		for _, holders := range holderCounts {
			b.Run(fmt.Sprintf("together=%d/holders=%d", renewalsPerRound, holders), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				h, renewals := harnessWithHolders(b, holders)
				runtime.GC()
				runtime.ReadMemStats(&after)
				next := 0
				round := func(count int) {
					for range count {
						h.handle(renewals[next%holders])
						next++
					}
					for len(h.rounds) > 0 {
						h.confirm()
					}
					h.now += Time(count)
					clear(h.responses)
				}
				round(holders)
				startCPUTime := processCPUTime()
				b.ResetTimer()
				for i := 0; b.Loop(); i++ {
					if i%renewalsPerRound == 0 {
						round(renewalsPerRound)
					}
				}
				nsPerOp := float64(processCPUTime()-startCPUTime) / float64(b.N)
				b.ReportMetric(nsPerOp, "cpu-ns/op")
				b.ReportMetric(nsPerOp*float64(holders)/1e9, "cores")
				b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(holders), "B/holder")
			})
		}
	}
}

// BenchmarkWaiting measures one acquire request for a held lease. Each waiter waits for a quarter of a lease duration and then
// retries, as all nodes but one do for each task. The metric "cores" is the CPU usage of a leader with that many waiters.
func BenchmarkWaiting(b *testing.B) {
	for _, waiters := range []int{100, 232, 500, 1000} { // up to maxWaitersPerLease
		b.Run(fmt.Sprint("waiters=", waiters), func(b *testing.B) {
			h := newManagerHarness()
			h.handle(acquireRequest(0, 0))
			h.apply()
			h.manager.expiries["task"] = 1 << 60 // never expires, as if its holder kept renewing it
			wait := testLeaseDuration / waitDivisor
			step, requests := max(1, wait/Time(waiters)), 0
			request := func() {
				h.now += step
				h.manager.Alarm(h.now)
				h.handle(acquireRequest(1+requests%waiters, wait))
				requests++
				clear(h.responses)
			}
			for range 2 * waiters {
				request()
			}
			startCPUTime := processCPUTime()
			b.ResetTimer()
			for b.Loop() {
				request()
			}
			nsPerOp := float64(processCPUTime()-startCPUTime) / float64(b.N)
			b.ReportMetric(nsPerOp, "cpu-ns/op")
			b.ReportMetric(nsPerOp*float64(waiters)*float64(1000*Millisecond)/float64(wait)/1e9, "cores")
		})
	}
}

// BenchmarkSnapshot measures writing and restoring a snapshot of the state of a number of nodes.
func BenchmarkSnapshot(b *testing.B) {
	for _, holders := range holderCounts {
		b.Run(fmt.Sprint("holders=", holders), func(b *testing.B) {
			h, _ := harnessWithHolders(b, holders)
			size := 0
			for b.Loop() {
				snapshot, err := h.state.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				if err := NewState().Restore(snapshot); err != nil {
					b.Fatal(err)
				}
				size = len(snapshot)
			}
			b.ReportMetric(float64(size)/float64(holders), "B/holder")
		})
	}
}
