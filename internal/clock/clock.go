// Package clock reads the monotonic clock and the wall clock. Durations are measured only with the monotonic clock, because the wall
// clock may be stepped at any time. Wall clock times are only for exchange with other processes and for stored data.
package clock

import (
	"math"
	"time"
)

// processStart holds readings of both clocks, taken at the start of the process.
var processStart = time.Now()

// Wall returns the current wall clock time, without a monotonic reading.
func Wall() time.Time { return time.Now().Round(0) }

// Moment is a reading of the monotonic clock in nanoseconds, which fits an atomic integer. Zero means never.
type Moment int64

// Now returns the current reading of the monotonic clock. It is never zero.
func Now() Moment { return Moment(time.Since(processStart)) + 1 }

// Since returns the time elapsed since m, or math.MaxInt64 if m is zero.
func (m Moment) Since() time.Duration {
	if m == 0 {
		return math.MaxInt64
	}
	return time.Duration(Now() - m)
}

// Time returns m as a time.Time with a monotonic reading, which comparisons use. A zero m yields a year before the start of the process.
func (m Moment) Time() time.Time {
	if m == 0 {
		return processStart.Add(-farPast)
	}
	return processStart.Add(time.Duration(m - 1))
}

// farPast is a year, longer than any duration that is measured.
const farPast = 24 * 365 * time.Hour
