package cluster

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

// bootTime reads the clock that leases are counted by: it goes on while the machine sleeps, which the one behind time.Now
// doesn't, so a machine that wakes up knows that its leases are over.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had it since 2.6.39; without a clock nothing may be held
	}
	return faults.Clock(time.Duration(t.Nano()))
}

func now() lease.Time { return toLeaseTime(bootTime()) }

const leaseTimeUnit = time.Millisecond / time.Duration(lease.Millisecond)

func toLeaseTime(d time.Duration) lease.Time { return lease.Time(d / leaseTimeUnit) }

func toDuration(t lease.Time) time.Duration { return time.Duration(t) * leaseTimeUnit }

// alarm calls once, at or after the latest time set. The timer's clock stands still in suspension; whoever is called
// looks at the other one.
type alarm struct{ timer *time.Timer }

func newAlarm(ring func()) alarm {
	t := time.AfterFunc(time.Hour, ring)
	t.Stop()
	return alarm{t}
}

// set asks to be called at that time, in place of any earlier wish.
func (a alarm) set(at lease.Time) { a.timer.Reset(max(0, toDuration(at-now())) + leaseTimeUnit) }
