package metrics

import (
	"os"
	"runtime"
	"strconv"
	"strings"
)

// Memory is what a process uses, in bytes.
type Memory struct {
	HeapAllocated int64 // live objects, and those not collected yet
	HeapInUse     int64 // spans with at least one object
	Stacks        int64
	Runtime       int64 // the runtime's own structures
	Anonymous     int64 // resident pages of the process's own
	Mapped        int64 // resident pages of files, most of them the program's
	Goroutines    int64
}

// ReadMemory returns what this process uses. The resident pages are 0 where the system doesn't tell them.
func ReadMemory() Memory {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	m := Memory{
		HeapAllocated: int64(stats.HeapAlloc),
		HeapInUse:     int64(stats.HeapInuse),
		Stacks:        int64(stats.StackSys),
		Runtime:       int64(stats.MSpanSys + stats.MCacheSys + stats.GCSys + stats.BuckHashSys + stats.OtherSys),
		Goroutines:    int64(runtime.NumGoroutine()),
	}
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return m
	}
	m.Anonymous = statusBytes(string(text), "RssAnon:")
	m.Mapped = statusBytes(string(text), "RssFile:") + statusBytes(string(text), "RssShmem:")
	return m
}

// statusBytes returns the value of a line of /proc/self/status, in bytes; 0 if there is no such line.
func statusBytes(status, name string) int64 {
	for line := range strings.Lines(status) {
		value, found := strings.CutPrefix(line, name)
		if !found {
			continue
		}
		kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		return kilobytes << 10
	}
	return 0
}
