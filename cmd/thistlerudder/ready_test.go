package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	readyP90       = 10 * time.Second // 90 % of restarted processes must be ready within this time
	readyMax       = 30 * time.Second // every process must be ready within this time
	outageDuration = 5 * time.Second  // of the discovery service, from the start of the processes
)

// holdUntilCanceled sends no response until the client cancels the request.
func holdUntilCanceled(_ http.ResponseWriter, r *http.Request) bool {
	<-r.Context().Done()
	return true
}

func respondUnavailable(w http.ResponseWriter, _ *http.Request) bool {
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// sendListInPieces returns an interceptor that sends the full list in pieces, with a delay before each. Unless complete is set, it
// withholds the last piece until the client cancels the request. Watches are left to the server.
func sendListInPieces(s *discoveryServer, pieces int, delay time.Duration, complete bool) interceptor {
	return func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.RawQuery != "" {
			return false
		}
		list := s.fullList()
		w.Header().Set("Content-Length", fmt.Sprint(len(list)))
		for i := range pieces {
			select {
			case <-r.Context().Done():
				return true
			case <-time.After(delay):
			}
			if i == pieces-1 && !complete {
				<-r.Context().Done()
				return true
			}
			_, _ = w.Write(list[i*len(list)/pieces : (i+1)*len(list)/pieces])
			_ = http.NewResponseController(w).Flush()
		}
		return true
	}
}

// limitConcurrency returns an interceptor that lets maxConcurrent requests proceed at a time, each after responseDelay. A request that
// waits for 2 s gets 503. Watches are left to the server.
func limitConcurrency(maxConcurrent int, responseDelay time.Duration) interceptor {
	slots := make(chan struct{}, maxConcurrent)
	return func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.RawQuery != "" {
			return false
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			time.Sleep(responseDelay)
			return false
		case <-time.After(2 * time.Second):
			return respondUnavailable(w, r)
		case <-r.Context().Done():
			return true
		}
	}
}

// A restarted process is ready as soon as it can route requests. With a valid cached list in its configuration that is at once, in
// whatever way the discovery service fails. Without one it is after the first list: for 90 % of processes within 10 s if the discovery
// service is back 5 s after their start.
func TestRestartedProcessesReadyInTime(t *testing.T) {
	t.Parallel()
	entries, _ := startCaches(t, time.Millisecond, "a", "b", "c")
	stale := []map[string]any{{"id": "old", "addr": "127.0.0.1:1", "kind": "box", "state": "Ready"}}
	zoneSize := 24
	if testing.Short() {
		zoneSize = 10
	}
	for name, c := range map[string]struct {
		processes    int
		cachedList   any                                  // endpoint list of the configuration; nil: none
		duringOutage func(s *discoveryServer) interceptor // nil: the discovery service refuses connections
		afterOutage  func(s *discoveryServer) interceptor // nil: the discovery service responds at once
		readyAtOnce  bool                                 // processes get ready without a change of the discovery service, whose outage doesn't end
	}{
		"cached list, connections refused": {processes: 4, cachedList: entries, readyAtOnce: true},
		"cached list, no response": {
			processes: 4, cachedList: entries, readyAtOnce: true,
			duringOutage: func(*discoveryServer) interceptor { return holdUntilCanceled },
		},
		"cached list, status 503": {
			processes: 4, cachedList: entries, readyAtOnce: true,
			duringOutage: func(*discoveryServer) interceptor { return respondUnavailable },
		},
		"cached list is stale, connections refused": {processes: 4, cachedList: stale, readyAtOnce: true},
		"cached list, response stalls": {processes: 4, cachedList: entries, duringOutage: func(s *discoveryServer) interceptor {
			return sendListInPieces(s, 9, 50*time.Millisecond, false)
		}, readyAtOnce: true},
		"cached list, service overloaded": {
			processes: 8, cachedList: entries, readyAtOnce: true,
			duringOutage: func(*discoveryServer) interceptor { return limitConcurrency(1, time.Second) },
		},
		"cached list, all processes of a zone": {processes: zoneSize, cachedList: entries, readyAtOnce: true},
		"invalid cached list, no outage": {
			processes: 4, cachedList: "no list", readyAtOnce: true,
			duringOutage: func(*discoveryServer) interceptor { return nil },
		},
		"invalid cached list, connections refused": {processes: 10, cachedList: map[string]any{"servers": 7}},
		"no cached list, connections refused":      {processes: 10},
		"no cached list, no response": {
			processes:    10,
			duringOutage: func(*discoveryServer) interceptor { return holdUntilCanceled },
		},
		"no cached list, status 503": {
			processes:    10,
			duringOutage: func(*discoveryServer) interceptor { return respondUnavailable },
		},
		"no cached list, slow response after outage": {processes: 10, afterOutage: func(s *discoveryServer) interceptor {
			return sendListInPieces(s, 10, 50*time.Millisecond, true)
		}},
		"no cached list, all processes of a zone, no outage": {
			processes: zoneSize, readyAtOnce: true,
			duringOutage: func(*discoveryServer) interceptor { return limitConcurrency(2, 100*time.Millisecond) },
		},
		"no cached list, all processes of a zone after outage": {
			processes:   zoneSize,
			afterOutage: func(*discoveryServer) interceptor { return limitConcurrency(4, 100*time.Millisecond) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newDiscoveryServer(t, entries)
			if c.duringOutage != nil {
				s.intercept = c.duringOutage(s)
				s.start()
			}
			overrides := map[string]any{}
			if list, valid := c.cachedList.([]map[string]any); valid {
				for i := range list {
					if list[i]["state"] == nil {
						list = slices.Clone(list)
						text, _ := json.Marshal(list[i])
						list[i] = map[string]any{}
						_ = json.Unmarshal(text, &list[i])
						list[i]["state"] = "Ready"
					}
				}
				overrides["known"] = map[string]any{"version": 1, "full": true, "servers": list}
			} else if c.cachedList != nil {
				overrides["known"] = c.cachedList
			}
			var mu sync.Mutex
			var readyTimes []time.Duration
			var wg sync.WaitGroup
			start := time.Now()
			for range c.processes {
				p := newProcess(t, s.address, overrides)
				p.start(t)
				wg.Go(func() {
					elapsed, ready := p.waitReady(readyMax)
					if !ready {
						t.Errorf("not ready after %v:\n%s", elapsed, lastLines(p.log.String()))
					}
					if status, body := sendGet(p.clientAddress, "/read/k", fmt.Sprint(p.Process.Pid), 3*time.Second); status != http.StatusOK &&
						status != http.StatusServiceUnavailable {
						t.Errorf("status of a ready process: %d %q", status, body)
					}
					mu.Lock()
					readyTimes = append(readyTimes, elapsed)
					mu.Unlock()
				})
			}
			readyCount := func() int {
				mu.Lock()
				defer mu.Unlock()
				return len(readyTimes)
			}
			if !c.readyAtOnce {
				time.Sleep(time.Until(start.Add(outageDuration)))
				if readyCount() > 0 {
					t.Errorf("%d processes are ready without a list", readyCount())
				}
				s.mu.Lock()
				if s.intercept = nil; c.afterOutage != nil {
					s.intercept = c.afterOutage(s)
				}
				down := s.server == nil
				s.mu.Unlock()
				if down {
					s.start()
				}
			}
			wg.Wait()
			slices.Sort(readyTimes)
			p90, longest := readyTimes[(len(readyTimes)*9+9)/10-1], readyTimes[len(readyTimes)-1]
			t.Logf("%s: %d processes ready after %v (p90), %v (maximum)", name, c.processes, p90.Round(time.Millisecond), longest.Round(time.Millisecond))
			if p90 > readyP90 {
				t.Errorf("ready after %v (p90)", p90)
			}
		})
	}
}

// A process that succeeds another on the same addresses is ready in time, however the predecessor ends and whatever it leaves behind: it is
// killed with open connections, still shuts down and uses the addresses, or the folder of the node's files can't be used.
func TestSuccessorProcessReadyInTime(t *testing.T) {
	t.Parallel()
	entries, _ := startCaches(t, 600*time.Millisecond, "a", "b")
	s := newDiscoveryServer(t, entries)
	s.start()
	startSlowRequest := func(_ *testing.T, p *process) { // leaves a request in flight
		go sendGet(p.clientAddress, "/read/slow", fmt.Sprintf("slow-%d", time.Now().UnixNano()), 3*time.Second)
		time.Sleep(100 * time.Millisecond)
	}
	requireReady := func(t *testing.T, p *process) time.Duration {
		t.Helper()
		elapsed, ready := p.waitReady(readyP90)
		if !ready {
			t.Fatalf("not ready after %v:\n%s", elapsed, lastLines(p.log.String()))
		}
		return elapsed
	}
	testSuccessor := func(t *testing.T, p *process, timeout time.Duration) {
		t.Helper()
		predecessor := p.Cmd
		p.start(t)
		exited := make(chan error, 1)
		go func() { exited <- predecessor.Wait() }()
		if !waitFor(timeout, func() bool { return requestStatus(p.adminAddress, "GET", "/status") == http.StatusOK }) {
			t.Fatalf("the admin address doesn't respond within %v:\n%s", timeout, lastLines(p.log.String()))
		}
		<-exited // until it has exited, the predecessor may have sent the responses
		elapsed := requireReady(t, p)
		if status, body := sendGet(p.clientAddress, "/read/k", "after", 3*time.Second); status != http.StatusOK {
			t.Errorf("%d %q", status, body)
		}
		t.Logf("ready %v after the start", elapsed.Round(time.Millisecond))
		p.stop(t)
	}
	t.Run("predecessor killed with open connections", func(t *testing.T) {
		t.Parallel()
		p := newProcess(t, s.address, nil)
		p.start(t)
		requireReady(t, p)
		startSlowRequest(t, p)
		_ = p.Process.Kill()
		testSuccessor(t, p, readyP90)
	})
	t.Run("predecessor killed with idle clients", func(t *testing.T) { // which reconnect at once, and use all connections that the node accepts
		t.Parallel()
		p := newProcess(t, s.address, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 64}})
		p.start(t)
		requireReady(t, p)
		idle := &idleClients{stop: make(chan struct{})}
		defer func() {
			close(idle.stop)
			idle.clients.Wait()
		}()
		idle.start(p.clientAddress, 64, func(int) bool { return false })
		time.Sleep(500 * time.Millisecond)
		_ = p.Process.Kill()
		testSuccessor(t, p, readyP90)
	})
	t.Run("predecessor shutting down", func(t *testing.T) {
		t.Parallel()
		p := newProcess(t, s.address, nil)
		p.start(t)
		requireReady(t, p)
		startSlowRequest(t, p)
		_ = p.Process.Signal(syscall.SIGTERM)
		testSuccessor(t, p, readyP90)
	})
	t.Run("predecessor suspended, killed later", func(t *testing.T) { // it keeps its addresses until it is killed
		t.Parallel()
		p := newProcess(t, s.address, nil)
		p.start(t)
		requireReady(t, p)
		_ = p.Process.Signal(syscall.SIGSTOP)
		predecessor := p.Process
		time.AfterFunc(1500*time.Millisecond, func() { _ = predecessor.Kill() })
		testSuccessor(t, p, readyP90)
	})
	t.Run("SIGTERM while waiting for address", func(t *testing.T) {
		t.Parallel()
		p := newProcess(t, s.address, nil)
		listener := listenAt(t, p.clientAddress)
		defer listener.Close()
		p.start(t)
		if !waitFor(readyP90, func() bool { return strings.Contains(p.log.String(), "address is in use, waiting for it") }) {
			t.Errorf("the process doesn't log that it waits for the address:\n%s", lastLines(p.log.String()))
		}
		p.stop(t)
	})
	t.Run("folder missing", func(t *testing.T) {
		t.Parallel()
		p := newProcess(t, s.address, nil)
		p.env = append(p.env, "TMPDIR="+filepath.Join(t.TempDir(), "none"))
		p.start(t)
		requireReady(t, p)
		p.stop(t)
	})
	t.Run("folder has other nodes' files, own file is a directory", func(t *testing.T) {
		t.Parallel()
		p := newProcess(t, s.address, nil)
		folder := t.TempDir()
		p.env = append(p.env, "TMPDIR="+folder)
		for i := range 500 {
			if err := os.WriteFile(filepath.Join(folder, fmt.Sprintf("thistlerudder-127.0.0.1_%d.seats", i)), nil, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if err := os.Mkdir(filepath.Join(folder, "thistlerudder-"+strings.ReplaceAll(p.clientAddress, ":", "_")+".seats"), 0o700); err != nil {
			t.Fatal(err)
		}
		p.start(t)
		requireReady(t, p)
		p.stop(t)
	})
}
