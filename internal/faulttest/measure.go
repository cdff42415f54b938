package faulttest

import (
	"context"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClusterCost is the cost of the cluster to its nodes while there are no faults.
type ClusterCost struct {
	VoterLatency, StandaloneLatency map[float64]time.Duration // latency of lookups by percentile, at a voter and at a node that runs without the cluster
	Lookups                         int64
	CoreShares                      map[string]float64 // CPU time used by a node per time elapsed, by node name
	FolderBytesPerHour              int64              // growth of a voter's folder on the disk
}

const (
	clockTicksPerSecond = 100             // unit of the CPU times in /proc/PID/stat on Linux
	settleTime          = 3 * time.Second // from the bootstrap to the measurement
)

// Measure runs a cluster without faults and one node without the cluster. It sends lookups alternately to a voter and to
// that node.
func Measure(ctx context.Context, plan Plan, duration time.Duration) (cost ClusterCost, err error) {
	plan.lastNodeStandalone = true
	tc := &testCluster{plan: plan, program: plan.Program, rnd: rand.New(rand.NewPCG(plan.Seed, 29)), relays: map[route]*relay{},
		faultCounts: map[string]int{}, excusedUntil: map[int]int64{}}
	if tc.dir, err = os.MkdirTemp("", "rig-"); err != nil {
		return cost, err
	}
	defer os.RemoveAll(tc.dir)
	err = tc.setUp(ctx)
	defer tc.tearDown()
	if err != nil {
		return cost, err
	}
	tc.sleep(ctx, settleTime)
	folderBytesBefore, cpuBefore, start := diskUsage(tc.nodes[0].folder), tc.cpuSeconds(), time.Now()
	nodes := []*clusterNode{tc.nodes[0], tc.nodes[plan.Nodes-1]}
	latencies := []*hdrhistogram.Histogram{hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)}
	client := &http.Client{Timeout: 2 * time.Second}
	for i := 0; time.Since(start) < duration && ctx.Err() == nil; i++ {
		node := nodes[i%2]
		req, _ := http.NewRequest("GET", fmt.Sprintf("http://%s:%d/read/k%d", node.ip, clientPort, i%100), nil)
		req.Header.Set("X-Trace-Id", fmt.Sprint("m", i))
		req.Header.Set("X-Expires-In", "700m")
		sentAt := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			return cost, err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return cost, fmt.Errorf("%s: %s", node.name, resp.Status)
		}
		_ = latencies[i%2].RecordValue(time.Since(sentAt).Microseconds())
		cost.Lookups++
		time.Sleep(time.Millisecond)
	}
	elapsed := time.Since(start)
	cost.VoterLatency, cost.StandaloneLatency = map[float64]time.Duration{}, map[float64]time.Duration{}
	for _, percentile := range []float64{50, 90, 99} {
		cost.VoterLatency[percentile] = time.Duration(latencies[0].ValueAtPercentile(percentile)) * time.Microsecond
		cost.StandaloneLatency[percentile] = time.Duration(latencies[1].ValueAtPercentile(percentile)) * time.Microsecond
	}
	cost.FolderBytesPerHour = int64(float64(diskUsage(tc.nodes[0].folder)-folderBytesBefore) * float64(time.Hour) / float64(elapsed))
	cost.CoreShares = map[string]float64{}
	for name, t := range tc.cpuSeconds() {
		cost.CoreShares[name] = (t - cpuBefore[name]) / elapsed.Seconds()
	}
	return cost, ctx.Err()
}

// diskUsage returns the disk space of the files in a folder. It counts allocated blocks, not file sizes, since the log file is
// extended ahead of the data written to it.
func diskUsage(folder string) (bytes int64) {
	_ = filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			if stat, ok := info.Sys().(*syscall.Stat_t); ok {
				bytes += stat.Blocks * 512
			}
		}
		return nil
	})
	return bytes
}

// cpuSeconds returns the CPU time of the current process of each node, by node name.
func (tc *testCluster) cpuSeconds() map[string]float64 {
	seconds := map[string]float64{}
	for _, node := range tc.nodes {
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", node.cmd.Process.Pid))
		_, afterName, _ := strings.Cut(string(stat), ") ")
		if fields := strings.Fields(afterName); len(fields) > 12 {
			userTicks, _ := strconv.Atoi(fields[11])
			systemTicks, _ := strconv.Atoi(fields[12])
			seconds[node.name] = float64(userTicks+systemTicks) / clockTicksPerSecond
		}
	}
	return seconds
}
