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

// Measured is what a fleet in peace costs.
type Measured struct {
	With, Without map[float64]time.Duration // times of lookups by percentile, at a voter and at a node that has no fleet
	Lookups       int64
	CPU           map[string]float64 // shares of a core, by node
	GrowthAnHour  int64              // bytes of a voter's folder
}

const (
	clockTicks = 100 // a second, as the kernel tells processes' times on Linux
	settle     = 3 * time.Second
)

// Measure starts a fleet without faults, and beside it one node that has none, and asks a voter and that node in turn.
func Measure(ctx context.Context, plan Plan, span time.Duration) (m Measured, err error) {
	plan.plain = true
	w := &world{plan: plan, program: plan.Program, rnd: rand.New(rand.NewPCG(plan.Seed, 29)), links: map[[2]int]*link{},
		struck: map[string]int{}, touched: map[int]int64{}}
	if w.folder, err = os.MkdirTemp("", "rig-"); err != nil {
		return m, err
	}
	defer os.RemoveAll(w.folder)
	err = w.setUp(ctx)
	defer w.tearDown()
	if err != nil {
		return m, err
	}
	w.sleep(ctx, settle)
	size, used, began := sizeOf(w.processes[0].folder), w.cpu(), time.Now()
	asked := []*process{w.processes[0], w.processes[plan.Processes-1]}
	times := []*hdrhistogram.Histogram{hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)}
	h := &http.Client{Timeout: 2 * time.Second}
	for i := 0; time.Since(began) < span && ctx.Err() == nil; i++ {
		p := asked[i%2]
		r, _ := http.NewRequest("GET", fmt.Sprintf("http://%s:%d/read/k%d", p.ip, clientsPort, i%100), nil)
		r.Header.Set("X-Trace-Id", fmt.Sprint("m", i))
		r.Header.Set("X-Expires-In", "700m")
		from := time.Now()
		resp, err := h.Do(r)
		if err != nil {
			return m, err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return m, fmt.Errorf("%s: %s", p.name, resp.Status)
		}
		_ = times[i%2].RecordValue(time.Since(from).Microseconds())
		m.Lookups++
		time.Sleep(time.Millisecond)
	}
	took := time.Since(began)
	m.With, m.Without = map[float64]time.Duration{}, map[float64]time.Duration{}
	for _, p := range []float64{50, 90, 99} {
		m.With[p] = time.Duration(times[0].ValueAtPercentile(p)) * time.Microsecond
		m.Without[p] = time.Duration(times[1].ValueAtPercentile(p)) * time.Microsecond
	}
	m.GrowthAnHour = int64(float64(sizeOf(w.processes[0].folder)-size) * float64(time.Hour) / float64(took))
	m.CPU = map[string]float64{}
	for name, t := range w.cpu() {
		m.CPU[name] = (t - used[name]) / took.Seconds()
	}
	return m, ctx.Err()
}

// sizeOf adds up what a folder's files take on the disk: a store's file is longer than what is written of it.
func sizeOf(folder string) (sum int64) {
	_ = filepath.WalkDir(folder, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return nil
		}
		if i, err := d.Info(); err == nil {
			if s, ok := i.Sys().(*syscall.Stat_t); ok {
				sum += s.Blocks * 512
			}
		}
		return nil
	})
	return sum
}

// cpu gives the seconds that each process has had.
func (w *world) cpu() map[string]float64 {
	all := map[string]float64{}
	for _, p := range w.processes {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		_, after, _ := strings.Cut(string(text), ") ")
		if f := strings.Fields(after); len(f) > 12 {
			user, _ := strconv.Atoi(f[11])
			system, _ := strconv.Atoi(f[12])
			all[p.name] = float64(user+system) / clockTicks
		}
	}
	return all
}
