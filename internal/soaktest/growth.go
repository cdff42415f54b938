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

// Size is what one node needed over a day of so many cache servers, in a fleet of so many nodes.
type Size struct {
	Caches      int
	Nodes       int
	CPU         time.Duration // user's and system's, from readiness to the end
	MemoryKB    int           // the peak
	Descriptors int           // the most that were open at a look
	Connections int64         // made to cache servers
	ListBytes   int64         // of answers from discovery while it told changes
	Served      float64       // share of the requests
}

const (
	growthServers = 8                      // processes' worth of stand-ins behind all ids
	growthClients = 8                      // of the one node
	growthPeriod  = 300 * time.Millisecond // discovery tells changes so often
	growthPart    = 0.6                    // of the cache servers are replaced
	growthWithin  = 7 * time.Second
	growthLook    = 50 * time.Millisecond
)

// Grow plays a day of one node before so many cache servers, of which six in ten are replaced within 7 s. Its settings tell it of so many nodes. The
// traffic is the same at each size.
func Grow(ctx context.Context, program string, caches, nodes int, lasts time.Duration) (size Size, err error) {
	folder, err := os.MkdirTemp("", "growth")
	if err != nil {
		return size, err
	}
	defer os.RemoveAll(folder)
	w := &world{plan: Plan{Program: program, Nodes: nodes, Seed: 1, measured: true}, settings: draw(rand.New(rand.NewPCG(2, 1))), folder: folder, ledger: newLedger(),
		struck: &tally{of: map[string]int{}}, servers: map[string]*server{}}
	w.discovery = newDiscovery(w.ledger)
	if err := w.standFor(caches); err != nil {
		return size, err
	}
	defer w.end()
	x, err := newNode(w, 0)
	if err != nil {
		return size, err
	}
	w.nodes = append(w.nodes, x)
	if err := x.begin(); err != nil {
		return size, err
	}
	size, err = w.grow(ctx, x, caches, lasts)
	size.Nodes = nodes
	size.Served = w.ledger.served()
	return size, err
}

// standFor starts stand-ins of so many cache servers, several ids to each, and of the origin.
func (w *world) standFor(caches int) error {
	for n := range growthServers + 1 {
		s := newServer(fmt.Sprintf("c%d", n), n == growthServers, w.ledger, w.struck, uint64(n))
		if err := s.start(); err != nil {
			return err
		}
		w.servers[s.id] = s
	}
	all := []entry{{ID: "origin", Address: w.servers[fmt.Sprintf("c%d", growthServers)].address(), Kind: "origin", State: "Ready"}}
	for n := range caches {
		all = append(all, w.cacheEntry(n))
	}
	w.discovery.set(all...)
	return nil
}

func (w *world) cacheEntry(n int) entry {
	return entry{ID: fmt.Sprintf("cache-%05d", n), Address: w.servers[fmt.Sprintf("c%d", n%growthServers)].address(), Kind: "cache", State: "Ready"}
}

// grow lets the clients call while cache servers are replaced, and measures the node's process.
func (w *world) grow(ctx context.Context, x *node, caches int, lasts time.Duration) (Size, error) {
	size := Size{Caches: caches}
	pid := x.process.cmd.Process.Pid
	made, told := connections.Load(), w.discovery.bytes.Load()
	done := make(chan struct{})
	var going sync.WaitGroup
	for n := range growthClients {
		c := &client{w: w, plain: true, rand: rand.New(rand.NewPCG(9, uint64(n)))}
		going.Go(func() { c.run(done) })
	}
	going.Go(func() { w.replaceMost(caches, done) })
	for over := time.After(lasts); ; {
		select {
		case <-ctx.Done():
			close(done)
			going.Wait()
			return size, ctx.Err()
		case <-over:
			size.CPU, size.MemoryKB = spent(pid), peak(pid)
			size.Connections, size.ListBytes = connections.Load()-made, w.discovery.bytes.Load()-told
			close(done)
			going.Wait()
			return size, nil
		case <-time.After(growthLook):
			open, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
			size.Descriptors = max(size.Descriptors, len(open))
		}
	}
}

// replaceMost replaces six in ten of the cache servers by others, a part in each period.
func (w *world) replaceMost(caches int, done <-chan struct{}) {
	steps := int(growthWithin / growthPeriod)
	replaced := int(growthPart * float64(caches))
	for step := range steps {
		select {
		case <-done:
			return
		case <-time.After(growthPeriod):
		}
		var changes []entry
		for n := replaced * step / steps; n < replaced*(step+1)/steps; n++ {
			gone, fresh := w.cacheEntry(n), w.cacheEntry(caches+n)
			gone.State = "Gone"
			fresh.Started = time.Now().UnixMilli()
			changes = append(changes, gone, fresh)
		}
		w.discovery.set(changes...)
	}
}

// served gives the share of the requests that were.
func (l *ledger) served() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.requests {
		if r.status == 200 {
			n++
		}
	}
	return float64(n) / float64(max(1, len(l.requests)))
}

// ticksASecond is the unit of processor times in /proc, the same on all of Linux's machines.
const ticksASecond = 100

// spent gives a process's processor time.
func spent(pid int) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const user, system = 11, 12 // counted from the state
	if len(fields) <= system {
		return 0
	}
	u, _ := strconv.Atoi(fields[user])
	s, _ := strconv.Atoi(fields[system])
	return time.Duration(u+s) * time.Second / ticksASecond
}

// peak gives the most memory that a process has had.
func peak(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if kb, is := strings.CutPrefix(line, "VmHWM:"); is {
			n, _ := strconv.Atoi(strings.Fields(kb)[0])
			return n
		}
	}
	return 0
}

// Allowed says what of a size passes what may grow over the usual one, as the operators' page has it; empty: nothing.
func (s Size) Allowed(usual Size) (passed []string) {
	thousands := float64(s.Caches) / 1000
	check := func(what string, got, most float64) {
		if got > most {
			passed = append(passed, fmt.Sprintf("%s: %.2f, %.2f at most", what, got, most))
		}
	}
	check("processor seconds", s.CPU.Seconds(), 1.4*usual.CPU.Seconds()+0.02+0.03*thousands)
	check("memory, MB", float64(s.MemoryKB)/1024, 1.5*float64(usual.MemoryKB)/1024+8+4*thousands)
	check("descriptors", float64(s.Descriptors), 2*float64(usual.Descriptors)+40)
	check("connections", float64(s.Connections), 2.5*float64(usual.Connections)+40)
	check("KB of lists", float64(s.ListBytes)/1024, 2*float64(usual.ListBytes)/1024+64+500*thousands)
	check("not served beside the usual", 1-s.Served, 1-0.85*usual.Served)
	return passed
}

// String tells a size in a line.
func (s Size) String() string {
	return fmt.Sprintf("%d cache servers, %d nodes: %.2f s of processor, %d MB, %d descriptors, %d connections, %d KB of lists, %.3f served", s.Caches, s.Nodes,
		s.CPU.Seconds(), s.MemoryKB/1024, s.Descriptors, s.Connections, s.ListBytes/1024, s.Served)
}
