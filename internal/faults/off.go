//go:build !faults

// Package faults injects the faults that the multi-process test rig needs inside the program: it changes the rate of the
// clock, stops the process at named points, and disables safeguards. It also measures the process's use of resources. In a
// release build, which has no faults tag, its functions change nothing.
package faults

import "time"

// Enabled reports whether this build can inject faults.
const Enabled = false

// Clock returns t unchanged.
func Clock(t time.Duration) time.Duration { return t }

// StopPoint does nothing. With the faults tag, the test rig can stop the process here.
func StopPoint(string) {}

// Disabled reports whether the test rig has disabled a safeguard, which it cannot do in this build.
func Disabled(string) bool { return false }
