package cluster

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

// leaseTimeUnit is the unit of lease.Time.
const leaseTimeUnit = time.Millisecond / time.Duration(lease.Millisecond)

// bootTime reads the clock that measures leases. Unlike the monotonic clock of time.Now, it advances while the machine is
// suspended, so that after a resume the process knows that its leases have expired.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had this clock since 2.6.39, and no lease may be held without it
	}
	return faults.Clock(time.Duration(t.Nano()))
}

// now returns bootTime as a lease.Time.
func now() lease.Time { return toLeaseTime(bootTime()) }

func toLeaseTime(d time.Duration) lease.Time { return lease.Time(d / leaseTimeUnit) }

func toDuration(t lease.Time) time.Duration { return time.Duration(t) * leaseTimeUnit }

// alarm calls a function once, at or after the time that was set last. Its timer doesn't advance while the machine is
// suspended, so the function has to read the clock itself.
type alarm struct{ timer *time.Timer }

// newAlarm returns an alarm that isn't set.
func newAlarm(f func()) alarm {
	timer := time.AfterFunc(time.Hour, f)
	timer.Stop()
	return alarm{timer: timer}
}

// set replaces the time of the alarm.
func (a alarm) set(alarmTime lease.Time) {
	a.timer.Reset(max(0, toDuration(alarmTime-now())) + leaseTimeUnit)
}
