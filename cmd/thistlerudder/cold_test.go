package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// A cold cache as the settings of TestThirtyProcessesSpareAColdCache have it: N is 2.25 at its start, and 6.5 after the four
// seconds for which each start is looked at.
const (
	thirty       = 30
	coldFactor   = 1.5
	coldFrom     = 0.05
	coldCapacity = 60.0 // a second
	coldWindow   = 500 * time.Millisecond
	coldWarmUp   = 40 * time.Second
	coldSeen     = 4 * time.Second
)

// coldStand counts what comes at the cache that starts cold, from processes that have been told of the start.
type coldStand struct {
	mu       sync.Mutex
	version  int
	started  time.Time
	changed  chan struct{}
	boxes    []map[string]any
	had      [thirty]int // the latest that was written to each node's process
	told     [thirty]time.Time
	arrivals []time.Time
	counted  int
	most     float64 // the fullest window, as a share of what it bears
}

// list answers a node's call: at once, or as soon as there is a newer list than it has.
func (c *coldStand) list(node int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if r.URL.Query().Get("from") == fmt.Sprint(c.version) {
			changed := c.changed
			c.mu.Unlock()
			select {
			case <-r.Context().Done():
			case <-changed:
			}
			c.mu.Lock()
		}
		if json.NewEncoder(w).Encode(map[string]any{"version": c.version, "full": true, "servers": c.boxes}) == nil {
			c.had[node], c.told[node] = c.version, time.Now()
		}
	}
}

// start lets the first cache start cold.
func (c *coldStand) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.started, c.arrivals = time.Now(), nil
	c.boxes[0]["started_ms"] = c.started.UnixMilli()
	close(c.changed)
	c.changed = make(chan struct{})
}

// arrived counts a shot of a node that was told a twentieth of a second ago or earlier.
func (c *coldStand) arrived(trace string) {
	var node int
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if _, err := fmt.Sscanf(trace, "n%d-", &node); err != nil || c.started.IsZero() || c.had[node] < c.version ||
		now.Sub(c.told[node]) < 50*time.Millisecond {
		return
	}
	c.counted++
	c.arrivals = append(c.arrivals, now)
	for now.Sub(c.arrivals[0]) >= coldWindow {
		c.arrivals = c.arrivals[1:]
	}
	share := coldFrom + (1-coldFrom)*now.Sub(c.started).Seconds()/coldWarmUp.Seconds()
	bears := coldFactor * share * coldCapacity * coldWindow.Seconds()
	c.most = max(c.most, float64(len(c.arrivals))/(bears+2*math.Sqrt(bears)+2))
}

// Thirty processes before a cache that starts cold, half of the traffic at three of them and twice as much of it in the
// second half of each start, while one process after another is replaced: what comes at the cache in any window stays under
// N and 2 roots of it and 2, and it gets something. So it does where the fleet has a budget of what a warm one bears.
func TestThirtyProcessesSpareAColdCache(t *testing.T) {
	t.Run("alone", func(t *testing.T) { thirtyBeforeAColdCache(t, 2, false) })
	t.Run("with a budget", func(t *testing.T) { thirtyBeforeAColdCache(t, 1, true) })
}

func thirtyBeforeAColdCache(t *testing.T, starts int, budget bool) {
	c := &coldStand{version: 1, changed: make(chan struct{})}
	for i := range 4 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if i == 0 {
				c.arrived(r.Header.Get("X-Trace-Id"))
			}
			fmt.Fprint(w, "value")
		}))
		t.Cleanup(s.Close)
		c.boxes = append(c.boxes, map[string]any{"id": fmt.Sprint("c", i), "addr": s.Listener.Addr().String(), "kind": "box", "state": "Ready"})
	}
	var sockets [thirty]net.Listener
	var passed [thirty]*os.File
	var configs, folders [thirty]string
	var running [thirty]*exec.Cmd
	fellow := func(i int) string { // its address in the fleet, on which no outgoing connection can be
		return fmt.Sprintf("127.%d.37.%d:7100", 1+os.Getpid()%250, i+1)
	}
	var voters []map[string]string
	for i := range 3 {
		voters = append(voters, map[string]string{"name": fmt.Sprint("n", i), "address": fellow(i)})
	}
	for i := range thirty {
		var err error
		if sockets[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		if passed[i], err = sockets[i].(*net.TCPListener).File(); err != nil {
			t.Fatal(err)
		}
		defer sockets[i].Close()
		defer passed[i].Close()
		discovery := httptest.NewServer(c.list(i))
		t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
		folders[i] = t.TempDir()
		configs[i] = filepath.Join(folders[i], "node.json")
		papers := map[string]any{"name": fmt.Sprint("n", i), "listen": sockets[i].Addr().String(), "discovery": discovery.Listener.Addr().String(),
			"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
			"settings": map[string]any{"models": []string{"box"}, "balancers": thirty, "permissions": map[string]any{"most-shots": 3},
				"invariants": map[string]any{"cold-from": coldFrom, "warm-up-ms": coldWarmUp.Milliseconds(), "overload-factor": coldFactor,
					"fall-ms": coldWindow.Milliseconds(), "stop-sending-within-ms": 200},
				"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 400, "time-limit-ms": 800}}}}
		if budget {
			fleet := map[string]any{"name": "f", "address": fellow(i), "voters": voters, "lease_ms": 2000, "delay_ms": 40,
				"nodes": 2 * thirty, "budgets": []any{map[string]any{"name": "cold", "kind": "rate", "bounds": "cold",
					"whole": coldFactor * coldCapacity, "burst": coldFactor * coldCapacity, "apart": 0.0}}}
			if i < len(voters) {
				fleet["folder"] = filepath.Join(folders[i], "vote")
			}
			papers["fleet"] = fleet
		}
		text, err := json.Marshal(papers)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(configs[i], text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var starting sync.WaitGroup
	for n := range 6 { // so many at a time: each is to say yes within a while
		starting.Go(func() {
			for i := n; i < thirty; i += 6 {
				running[i], _ = start(t, configs[i], folders[i], passed[i])
			}
		})
	}
	starting.Wait()
	for end := time.Now().Add(10 * time.Second); budget && !t.Failed(); time.Sleep(50 * time.Millisecond) {
		if out, err := run("fleet", "found", "--config", configs[0]); err == nil {
			break
		} else if time.Now().After(end) {
			t.Fatal(out)
		}
	}
	if t.Failed() {
		return
	}

	done, rnd := make(chan struct{}), rand.New(rand.NewSource(1))
	var all sync.WaitGroup
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	asked, answered, replaced, doubled := 0, 0, 0, false
	all.Go(func() {
		for next := time.Now(); ; time.Sleep(time.Until(next)) {
			select {
			case <-done:
				return
			default:
			}
			mu.Lock()
			rate := 160.0 // 40 a second at each cache, two thirds of what one bears
			if doubled {
				rate *= 2
			}
			asked++
			n, node := asked, rnd.Intn(thirty)
			mu.Unlock()
			next = next.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
			if rnd.Intn(2) == 0 {
				node = node / 10 * 10
			}
			all.Go(func() {
				r, _ := http.NewRequest("GET", fmt.Sprintf("http://%s/read/k%d", sockets[node].Addr(), n), nil)
				r.Header.Set("X-Trace-Id", fmt.Sprintf("n%d-%d", node, n))
				r.Header.Set("X-Expires-In", "700m")
				if resp, err := client.Do(r); err == nil {
					body, _ := io.ReadAll(resp.Body)
					resp.Body.Close()
					if mu.Lock(); strings.HasPrefix(string(body), "value") {
						answered++
					}
					mu.Unlock()
				}
			})
		}
	})
	time.Sleep(2500 * time.Millisecond) // each learns what a warm cache answers
	all.Go(func() {
		for i := range thirty {
			c.mu.Lock()
			c.had[i] = 0
			c.mu.Unlock()
			next, _ := start(t, configs[i], folders[i], passed[i])
			_ = running[i].Process.Signal(syscall.SIGTERM)
			_ = running[i].Wait()
			running[i] = next
			replaced++
			select {
			case <-done:
				return
			default:
			}
		}
	})
	for n := range starts {
		c.start()
		time.Sleep(coldSeen / 2)
		mu.Lock()
		doubled = true
		mu.Unlock()
		time.Sleep(coldSeen / 2)
		mu.Lock()
		doubled = false
		mu.Unlock()
		c.mu.Lock()
		t.Logf("start %d: %d shots so far, the fullest window %.2f of what the cache bears", n, c.counted, c.most)
		c.mu.Unlock()
	}
	close(done)
	all.Wait()
	for _, p := range running {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range running {
		_ = p.Wait()
	}
	t.Logf("%d lookups, %d answered, %d processes replaced", asked, answered, replaced)
	if c.most > 1 {
		t.Errorf("the cold cache falls: its fullest window is %.2f of what it bears", c.most)
	}
	if c.counted == 0 || answered < asked*9/10 {
		t.Errorf("%d shots at the cold cache; of %d lookups %d were answered", c.counted, asked, answered)
	}
}
