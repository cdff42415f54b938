//go:build faults

package scaletest

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faulttest"
)

// residentBytes returns the resident memory of a process, or 0 if it cannot be read.
func residentBytes(pid int) int64 {
	statm, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

const (
	stallCheckInterval = 10 * time.Millisecond
	maxStall           = 150 * time.Millisecond // half of the time within which voters and nodes have to respond to each other
)

// stallMonitor records the longest time for which this process was runnable but not scheduled. If it is long, an exceeded bound may
// be due to the machine and not to the program.
type stallMonitor struct{ longestNs atomic.Int64 }

// watch records stalls until ctx is done.
func (m *stallMonitor) watch(ctx context.Context) {
	for ctx.Err() == nil {
		beforeNs := faulttest.BootTimeNs()
		time.Sleep(stallCheckInterval)
		if stallNs := faulttest.BootTimeNs() - beforeNs - int64(stallCheckInterval); stallNs > m.longestNs.Load() {
			m.longestNs.Store(stallNs)
		}
	}
}

// availableResources returns the free memory of the machine and the descriptor limit of a process.
func availableResources() (available Resources, err error) {
	meminfo, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return available, err
	}
	for line := range strings.Lines(string(meminfo)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "MemAvailable:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			available.MemoryBytes = kb << 10
		}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return available, err
	}
	available.Descriptors = int(limit.Cur)
	return available, nil
}
