//go:build faults

// Package faults is what the rig of processes needs inside a program: a clock that runs fast or slow, a stop at a point
// told by name, safeguards taken out. Only builds with the tag faults have it.
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

// On says whether this build has faults.
const On = true

// What the rig tells a process.
const (
	RateVariable    = "THISTLERUDDER_CLOCK_RATE" // 1.005: half a percent fast
	PointsVariable  = "THISTLERUDDER_POINTS"     // a folder: a file by a point's name stops the process there, once
	WithoutVariable = "THISTLERUDDER_WITHOUT"    // safeguards, by commas
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

// Clock gives what a clock of the rate told shows. It starts together with the true one, when the machine did.
func Clock(t time.Duration) time.Duration { return time.Duration(float64(t) * clockRate) }

// Point stops the process if the rig wants so, until it is let go on.
func Point(name string) {
	if pointsDir == "" {
		return
	}
	if os.Remove(filepath.Join(pointsDir, name)) == nil {
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		time.Sleep(time.Millisecond) // the signal may come a moment later than the call returns
	}
}

// Without says whether the rig has taken a safeguard out.
func Without(safeguard string) bool { return slices.Contains(disabledSafeguards, safeguard) }
