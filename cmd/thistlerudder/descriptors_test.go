package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// crowd is clients that open connections and rest on them, some after a lookup; who is closed comes again a little later.
type idleClients struct {
	stop         chan struct{}
	clients      sync.WaitGroup
	openConns    atomic.Int64
	closedByNode atomic.Int64 // closed by the node
}

const (
	reconnectDelay  = 200 * time.Millisecond // until one that was closed comes again
	idleConnTimeout = 10 * time.Second       // longer than the test
)

func (c *idleClients) start(address string, clients int, sendsRequest func(i int) bool) {
	for i := range clients {
		c.clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-c.stop:
					return
				default:
				}
				c.holdConn(address, fmt.Sprintf("idle-%d-%d", i, n), sendsRequest(i))
				select {
				case <-c.stop:
					return
				case <-time.After(reconnectDelay):
				}
			}
		})
	}
}

// rest opens one connection, and holds it until the node or the test ends it.
func (c *idleClients) holdConn(address, traceID string, sendsRequest bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	c.openConns.Add(1)
	defer c.openConns.Add(-1)
	defer conn.Close()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-c.stop:
			_ = conn.Close()
		case <-ended:
		}
	}()
	_ = conn.SetDeadline(time.Now().Add(idleConnTimeout))
	reader := bufio.NewReader(conn)
	if sendsRequest {
		fmt.Fprintf(conn, "GET /read/%s HTTP/1.1\r\nHost: n\r\nX-Trace-Id: %s\r\nX-Expires-In: 2000m\r\n\r\n", traceID, traceID)
		if r, err := http.ReadResponse(reader, nil); err == nil {
			_, _ = reader.Discard(int(r.ContentLength))
		}
	}
	_, _ = reader.ReadByte() // until its end
	c.closedByNode.Add(1)
}

// Idle clients take every place that they can get while discovery is down. The list is had again at its return, drains
// told then are kept, operators are answered, a reload reads its file and moves the list, and who comes later is
// answered: under the limit that the configuration names, under a lower one that the process was started with, and
// with clients filling it before the outage, in it and at its end.
func TestIdleClientsFillConnectionsReserveStaysFree(t *testing.T) {
	for name, c := range map[string]struct {
		configuredLimit, processLimit int // maximum number of descriptors; 0: not set
		effectiveLimit                int // maximum number of descriptors that the process may have open
	}{
		"limit of the configuration":       {64, 0, 64},
		"limits are equal":                 {64, 64, 64},
		"limit of the process is lower":    {1024, 64, 64},
		"limit of the process only":        {0, 100, 100},
		"limit of the process is very low": {64, 40, 40},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testIdleClients(t, c.configuredLimit, c.processLimit, c.effectiveLimit)
		})
	}
}

func testIdleClients(t *testing.T, configuredLimit, processLimit, maxDescriptors int) {
	entries, caches := startCaches(t, 50*time.Millisecond, "a", "b", "c")
	current, next := newDiscoveryServer(t, entries), newDiscoveryServer(t, entries)
	current.start()
	next.start()
	overrides, env := map[string]any{}, []string{}
	if configuredLimit != 0 {
		overrides["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": configuredLimit}
	}
	if processLimit != 0 {
		env = append(env, fmt.Sprintf("%s=%d", descriptorLimitEnv, processLimit))
	}
	p := newProcess(t, current.address, overrides, env...)
	p.start(t)
	if elapsed, ready := p.waitReady(5 * time.Second); !ready {
		t.Fatalf("not ready after %v:\n%s", elapsed, lastLines(p.log.String()))
	}

	done := make(chan struct{})
	var watcher sync.WaitGroup
	peak := 0
	watcher.Go(func() {
		for {
			peak = max(peak, countDescriptors(p.Cmd))
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	var mu sync.Mutex
	var latencies []time.Duration
	statusCounts := map[int]int{}
	sendRequests := func(n int) { // lookups of those who come later
		var wg sync.WaitGroup
		for i := range n {
			time.Sleep(20 * time.Millisecond)
			wg.Go(func() {
				start := time.Now()
				traceID := fmt.Sprintf("late-%d-%d", start.UnixNano(), i)
				status, body := sendGet(p.clientAddress, "/read/"+traceID, traceID, 6*time.Second)
				if status == http.StatusOK && body != "value of /read/"+traceID {
					t.Errorf("%s: another's value %q", traceID, body)
				}
				mu.Lock()
				defer mu.Unlock()
				statusCounts[status]++
				latencies = append(latencies, time.Since(start))
			})
		}
		wg.Wait()
	}
	idle := &idleClients{stop: make(chan struct{})}
	adminClients := &idleClients{stop: idle.stop} // callers at the operators' address that never bring a call
	defer func() {
		close(idle.stop)
		idle.clients.Wait()
		adminClients.clients.Wait()
	}()
	checkAdmin := func(phase string) {
		t.Helper()
		start := time.Now()
		if status := requestStatus(p.adminAddress, "GET", "/status"); status != http.StatusOK || time.Since(start) > time.Second {
			t.Errorf("%s: the operators' address answers %d after %v", phase, status, time.Since(start))
		}
	}
	reload := func(phase, message string) {
		t.Helper()
		before := strings.Count(p.log.String(), message)
		_ = p.Process.Signal(syscall.SIGHUP)
		if !waitFor(4*time.Second, func() bool { return strings.Count(p.log.String(), message) > before }) {
			t.Errorf("%s: a reload gives no line %q:\n%s", phase, message, lastLines(p.log.String()))
		}
	}
	checkDrain := func(s *discoveryServer, id string, timeout time.Duration, phase string) {
		t.Helper()
		start := time.Now()
		if !waitFor(timeout, func() bool { return !s.versionSentAt().IsZero() }) {
			t.Errorf("%s: the list is not had within %v:\n%s", phase, timeout, lastLines(p.log.String()))
			return
		}
		sentAt := s.versionSentAt()
		sendRequests(20)
		time.Sleep(time.Until(sentAt.Add(600 * time.Millisecond)))
		if n, lastRequest := caches[id].stats(); n > 0 && lastRequest.Sub(sentAt) > 400*time.Millisecond {
			t.Errorf("%s: %s is sent a lookup %v after its drain was told", phase, id, lastRequest.Sub(sentAt))
		}
		t.Logf("%s: the list is had after %v", phase, sentAt.Sub(start).Round(time.Millisecond))
	}

	adminClients.start(p.adminAddress, 2*maxDescriptors/3, func(int) bool { return false })
	idle.start(p.clientAddress, maxDescriptors, func(i int) bool { return i%2 == 0 }) // before the outage
	sendRequests(10)
	current.stop()
	idle.start(p.clientAddress, maxDescriptors/2, func(i int) bool { return i%3 == 0 }) // in it
	current.setState("b", "Terminating")
	checkAdmin("in the outage")
	reload("in the outage", "configuration reloaded")
	sendRequests(30)
	idle.start(p.clientAddress, maxDescriptors/2, func(int) bool { return false }) // at its end
	current.start()
	checkDrain(current, "b", 6*time.Second, "at the return")
	checkAdmin("after the outage")
	next.setState("b", "Terminating")
	next.setState("c", "Terminating")
	p.configure(t, next.address, overrides)
	reload("after the outage", "switched to another discovery service")
	checkDrain(next, "c", 4*time.Second, "at a reload")
	openConns := idle.openConns.Load()
	close(done)
	watcher.Wait()

	slices.Sort(latencies)
	t.Logf("%d descriptors at the most, of %d; %d idle connections, %d turned away; late lookups %v, p90 %v, worst %v", peak, maxDescriptors,
		openConns, idle.closedByNode.Load(), statusCounts, latencies[len(latencies)*9/10].Round(time.Millisecond), latencies[len(latencies)-1].Round(time.Millisecond))
	if peak > maxDescriptors {
		t.Errorf("%d descriptors, the limit is %d", peak, maxDescriptors)
	}
	if strings.Contains(p.log.String(), "too many open files") {
		t.Errorf("it ran out of descriptors:\n%s", p.log.String())
	}
	if unanswered := len(latencies) - statusCounts[http.StatusOK] - statusCounts[http.StatusServiceUnavailable]; unanswered > 0 || statusCounts[http.StatusOK] < len(latencies)*8/10 {
		t.Errorf("late lookups: %v of %d", statusCounts, len(latencies))
	}
	p.stop(t)
}

// Two processes of a node at an upgrade have the descriptors of one, also when idle clients had taken every place of the
// first, and go on coming.
func TestUpgradeAmongIdleClientsDescriptorLimitKept(t *testing.T) {
	t.Parallel()
	for _, maxDescriptors := range []int{64, 128} {
		t.Run(fmt.Sprint(maxDescriptors), func(t *testing.T) {
			t.Parallel()
			entries, _ := startCaches(t, 20*time.Millisecond, "a", "b")
			s := newDiscoveryServer(t, entries)
			s.start()
			socket := listenAt(t, freeAddress(t))
			defer socket.Close()
			passedSocket, err := socket.(*net.TCPListener).File()
			if err != nil {
				t.Fatal(err)
			}
			defer passedSocket.Close()
			overrides := map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": maxDescriptors}}
			first := newProcess(t, s.address, overrides, "BALANCER_PASSED_SOCKET=3")
			first.clientAddress, first.passedSocket = socket.Addr().String(), passedSocket
			first.configure(t, s.address, overrides)
			first.start(t)
			if elapsed, ready := first.waitReady(5 * time.Second); !ready {
				t.Fatalf("not ready after %v:\n%s", elapsed, lastLines(first.log.String()))
			}
			idle := &idleClients{stop: make(chan struct{})}
			defer func() {
				close(idle.stop)
				idle.clients.Wait()
			}()
			idle.start(first.clientAddress, maxDescriptors, func(i int) bool { return i%2 == 0 })
			time.Sleep(time.Second)
			second := *first
			second.adminAddress = freeAddress(t)
			second.configFile += ".second"
			second.configure(t, s.address, overrides)
			second.start(t)
			start, peak, peakTime, overLimitSamples := time.Now(), 0, time.Duration(0), 0
			sample := func() {
				if n := countDescriptors(first.Cmd) + countDescriptors(second.Cmd); n > peak {
					peak, peakTime = n, time.Since(start)
				} else if n > maxDescriptors {
					overLimitSamples++
				}
			}
			for ready := false; !ready; ready = requestStatus(second.adminAddress, "GET", "/status") == http.StatusOK {
				sample()
				if time.Since(start) > 5*time.Second {
					t.Fatalf("no yes:\n%s", lastLines(second.log.String()))
				}
			}
			for time.Since(start) < time.Second {
				sample()
				time.Sleep(2 * time.Millisecond)
			}
			_ = first.Process.Signal(syscall.SIGTERM)
			for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
				sample()
			}
			if status, body := sendGet(second.clientAddress, "/read/k", "after", 5*time.Second); status != http.StatusOK {
				t.Errorf("%d %q", status, body)
			}
			t.Logf("%d descriptors at the most, %v after the second's start, of %d; %d looks over that", peak, peakTime, maxDescriptors, overLimitSamples)
			if peak > maxDescriptors {
				t.Errorf("%d descriptors together, the limit is %d", peak, maxDescriptors)
			}
			if err := first.Wait(); err != nil {
				t.Error(err)
			}
			second.stop(t)
		})
	}
}
