// Package clock reads the two clocks that the program goes by. Spans are measured by the monotonic clock alone: the wall clock may be
// stepped at any moment, by seconds or by an hour, and only times that are told to others, or come from them, are its readings.
package clock

import (
	"math"
	"time"
)

// origin is a reading of both clocks at the start of the process.
var origin = time.Now()

// Wall gives the wall clock's time, with no monotonic reading in it.
func Wall() time.Time { return time.Now().Round(0) }

// Moment is a reading of the monotonic clock that fits an atomic integer. Zero is never.
type Moment int64

// Now gives the present moment.
func Now() Moment { return Moment(time.Since(origin)) + 1 }

// Since gives how long ago a moment was; one that never was is as long ago as can be.
func (m Moment) Since() time.Duration {
	if m == 0 {
		return math.MaxInt64
	}
	return time.Duration(Now() - m)
}

// Time gives the moment as a time that compares with others by the monotonic clock. One that never was is long ago.
func (m Moment) Time() time.Time {
	if m == 0 {
		return origin.Add(-longAgo)
	}
	return origin.Add(time.Duration(m - 1))
}

// longAgo is beyond any span that is measured.
const longAgo = 24 * 365 * time.Hour
