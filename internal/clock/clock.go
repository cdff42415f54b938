// Package clock reads the monotonic clock and the wall clock. Durations are measured by the monotonic clock alone, since the wall
// clock may be stepped at any moment. Wall clock times are only for exchange with other processes and for stored data.
package clock

import (
	"math"
	"time"
)

// processStart has a reading of both clocks from the start of the process.
var processStart = time.Now()

// Wall returns the wall clock's time, without a monotonic reading.
func Wall() time.Time { return time.Now().Round(0) }

// Moment is a reading of the monotonic clock that fits an atomic integer, in nanoseconds. Zero means never.
type Moment int64

// Now returns the present moment.
func Now() Moment { return Moment(time.Since(processStart)) + 1 }

// Since returns the time that has passed since a moment, math.MaxInt64 for zero.
func (m Moment) Since() time.Duration {
	if m == 0 {
		return math.MaxInt64
	}
	return time.Duration(Now() - m)
}

// Time returns the moment as a time that compares with others by the monotonic clock. Zero is a year before the process's start.
func (m Moment) Time() time.Time {
	if m == 0 {
		return processStart.Add(-farPast)
	}
	return processStart.Add(time.Duration(m - 1))
}

// farPast is longer than any duration that is measured.
const farPast = 24 * 365 * time.Hour
