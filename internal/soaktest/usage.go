package soaktest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ResourceUsage is the resource usage of one node in a run.
type ResourceUsage struct {
	Caches         int           // cache servers in the endpoint list
	Nodes          int           // number of nodes in the node's settings; only one node runs
	CPU            time.Duration // user and system time of the process since its start
	PeakMemoryKB   int           // peak resident memory
	MaxDescriptors int           // most open file descriptors in any sample
	Connections    int64         // opened to the stand-ins of servers during the measurement
	ListBytes      int64         // of discovery responses during the measurement
	ServedShare    float64       // share of the requests that were answered with 200
}

const (
	standInCount           = 8                      // stand-ins of cache servers; each has the address of an equal share of the list's cache servers
	usageClientCount       = 8                      // clients that send requests to the node
	replacementInterval    = 300 * time.Millisecond // time between two changes of the list
	replacedShare          = 0.6                    // share of the cache servers that are replaced
	replacementPeriod      = 7 * time.Second        // from the start of the measurement; the list changes only within this time
	descriptorPollInterval = 50 * time.Millisecond
)

// MeasureUsage measures the resource usage of one node for a duration. The endpoint list has the given number of cache servers, of
// which replacedShare are replaced within replacementPeriod. The node's settings are for the given number of nodes. The traffic
// doesn't depend on either number.
func MeasureUsage(ctx context.Context, program string, caches, nodes int, duration time.Duration) (usage ResourceUsage, err error) {
	folder, err := os.MkdirTemp("", "growth")
	if err != nil {
		return usage, err
	}
	defer os.RemoveAll(folder)
	tb := &testbed{plan: Plan{Program: program, Nodes: nodes, Seed: 1, measuresUsage: true},
		settings: drawSettings(rand.New(rand.NewPCG(2, 1))), folder: folder, recorder: newRecorder(),
		faultCounts: &counters{counts: map[string]int{}}, servers: map[string]*server{}}
	tb.discovery = newDiscovery(tb.recorder)
	if err := tb.startStandInsFor(caches); err != nil {
		return usage, err
	}
	defer tb.close()
	nd, err := newNode(tb, 0)
	if err != nil {
		return usage, err
	}
	tb.nodes = append(tb.nodes, nd)
	if err := nd.start(); err != nil {
		return usage, err
	}
	usage, err = tb.measureUsage(ctx, nd, caches, duration)
	usage.Nodes = nodes
	usage.ServedShare = tb.recorder.servedShare()
	return usage, err
}

// startStandInsFor starts the stand-ins of the cache servers and of the origin, and lists the given number of cache servers at the
// stand-ins' addresses.
func (tb *testbed) startStandInsFor(caches int) error {
	for n := range standInCount + 1 {
		s := newServer(fmt.Sprintf("c%d", n), n == standInCount, tb.recorder, tb.faultCounts, uint64(n))
		if err := s.start(); err != nil {
			return err
		}
		tb.servers[s.id] = s
	}
	entries := []entry{{ID: "origin", Address: tb.servers[fmt.Sprintf("c%d", standInCount)].address(), Kind: "origin", State: "Ready"}}
	for n := range caches {
		entries = append(entries, tb.cacheEntry(n))
	}
	tb.discovery.set(entries...)
	return nil
}

// cacheEntry returns the list entry of cache server n.
func (tb *testbed) cacheEntry(n int) entry {
	return entry{ID: fmt.Sprintf("cache-%05d", n), Address: tb.servers[fmt.Sprintf("c%d", n%standInCount)].address(), Kind: "cache", State: "Ready"}
}

// measureUsage runs the clients while cache servers are replaced, and measures the node's process.
func (tb *testbed) measureUsage(ctx context.Context, nd *node, caches int, duration time.Duration) (ResourceUsage, error) {
	usage := ResourceUsage{Caches: caches}
	pid := nd.process.cmd.Process.Pid
	connectionsBefore, bytesBefore := connectionCount.Load(), tb.discovery.bytesSent.Load()
	done := make(chan struct{})
	var running sync.WaitGroup
	for n := range usageClientCount {
		c := &client{testbed: tb, wellBehaved: true, rng: rand.New(rand.NewPCG(9, uint64(n)))}
		running.Go(func() { c.run(done) })
	}
	running.Go(func() { tb.replaceCaches(caches, done) })
	for measurementEnded := time.After(duration); ; {
		select {
		case <-ctx.Done():
			close(done)
			running.Wait()
			return usage, ctx.Err()
		case <-measurementEnded:
			usage.CPU, usage.PeakMemoryKB = cpuTime(pid), peakMemoryKB(pid)
			usage.Connections, usage.ListBytes = connectionCount.Load()-connectionsBefore, tb.discovery.bytesSent.Load()-bytesBefore
			close(done)
			running.Wait()
			return usage, nil
		case <-time.After(descriptorPollInterval):
			open, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
			usage.MaxDescriptors = max(usage.MaxDescriptors, len(open))
		}
	}
}

// replaceCaches replaces replacedShare of the cache servers by new ones, an equal part of them after each replacementInterval.
func (tb *testbed) replaceCaches(caches int, done <-chan struct{}) {
	steps := int(replacementPeriod / replacementInterval)
	replaced := int(replacedShare * float64(caches))
	for step := range steps {
		select {
		case <-done:
			return
		case <-time.After(replacementInterval):
		}
		var changes []entry
		for n := replaced * step / steps; n < replaced*(step+1)/steps; n++ {
			gone, fresh := tb.cacheEntry(n), tb.cacheEntry(caches+n)
			gone.State = "Gone"
			fresh.Started = time.Now().UnixMilli()
			changes = append(changes, gone, fresh)
		}
		tb.discovery.set(changes...)
	}
}

// servedShare returns the share of the requests that were answered with 200.
func (rec *recorder) servedShare() float64 {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	n := 0
	for _, r := range rec.requests {
		if r.status == 200 {
			n++
		}
	}
	return float64(n) / float64(max(1, len(rec.requests)))
}

// clockTicksPerSecond is the rate of the ticks in which /proc/PID/stat gives CPU times. It is the same on all Linux platforms.
const clockTicksPerSecond = 100

// cpuTime returns the user and system time of a process.
func cpuTime(pid int) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const userField, systemField = 11, 12 // indexes in fields, which starts after the process name, with the state
	if len(fields) <= systemField {
		return 0
	}
	userTicks, _ := strconv.Atoi(fields[userField])
	systemTicks, _ := strconv.Atoi(fields[systemField])
	return time.Duration(userTicks+systemTicks) * time.Second / clockTicksPerSecond
}

// peakMemoryKB returns the peak resident memory of a process.
func peakMemoryKB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, _ := strconv.Atoi(strings.Fields(value)[0])
			return n
		}
	}
	return 0
}

// ExceededLimits describes each resource whose usage exceeds its limit. The operators set the limits relative to a baseline. The
// result is empty if no limit is exceeded.
func (u ResourceUsage) ExceededLimits(baseline ResourceUsage) (exceeded []string) {
	thousandCaches := float64(u.Caches) / 1000
	check := func(resource string, got, limit float64) {
		if got > limit {
			exceeded = append(exceeded, fmt.Sprintf("%s: %.2f, %.2f at most", resource, got, limit))
		}
	}
	check("processor seconds", u.CPU.Seconds(), 1.4*baseline.CPU.Seconds()+0.02+0.03*thousandCaches)
	check("memory, MB", float64(u.PeakMemoryKB)/1024, 1.5*float64(baseline.PeakMemoryKB)/1024+8+4*thousandCaches)
	check("descriptors", float64(u.MaxDescriptors), 2*float64(baseline.MaxDescriptors)+40)
	check("connections", float64(u.Connections), 2.5*float64(baseline.Connections)+40)
	check("KB of lists", float64(u.ListBytes)/1024, 2*float64(baseline.ListBytes)/1024+64+500*thousandCaches)
	check("share of requests not served", 1-u.ServedShare, 1-0.85*baseline.ServedShare)
	return exceeded
}

// String returns the usage as one line.
func (u ResourceUsage) String() string {
	return fmt.Sprintf("%d cache servers, %d nodes: %.2f s of processor, %d MB, %d descriptors, %d connections, %d KB of lists, %.3f served", u.Caches, u.Nodes,
		u.CPU.Seconds(), u.PeakMemoryKB/1024, u.MaxDescriptors, u.Connections, u.ListBytes/1024, u.ServedShare)
}
