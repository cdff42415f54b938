//go:build faults

// Package faults injects the faults that the multi-process test rig needs inside the program: it changes the rate of the
// clock, stops the process at named points, and disables safeguards. It also measures the process's use of resources. Only
// builds with the faults tag can do so.
package faults

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Enabled reports whether this build can inject faults.
const Enabled = true

// The environment variables by which the test rig configures a process.
const (
	RateVariable    = "THISTLERUDDER_CLOCK_RATE" // rate of the process's clock; 1.005 is half a percent fast
	PointsVariable  = "THISTLERUDDER_POINTS"     // a folder; a file named after a point stops the process there once
	WithoutVariable = "THISTLERUDDER_WITHOUT"    // the disabled safeguards, separated by commas
)

var (
	clockRate          = readClockRate()
	pointsDir          = os.Getenv(PointsVariable)
	disabledSafeguards = strings.Split(os.Getenv(WithoutVariable), ",")
)

func readClockRate() float64 {
	if r, err := strconv.ParseFloat(os.Getenv(RateVariable), 64); err == nil && r > 0 {
		return r
	}
	return 1
}

// Clock converts t, the time since boot, into the reading of a clock that runs at the configured rate. The two clocks
// agree at boot.
func Clock(t time.Duration) time.Duration { return time.Duration(float64(t) * clockRate) }

// StopPoint stops the process if the points folder has a file of this name. The file is removed, and the process stays
// stopped until it receives SIGCONT.
func StopPoint(name string) {
	if pointsDir == "" {
		return
	}
	if os.Remove(filepath.Join(pointsDir, name)) == nil {
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		time.Sleep(time.Millisecond) // the signal may be delivered shortly after the call returns
	}
}

// Disabled reports whether the test rig has disabled a safeguard.
func Disabled(safeguard string) bool { return slices.Contains(disabledSafeguards, safeguard) }
