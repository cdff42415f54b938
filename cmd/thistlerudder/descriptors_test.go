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

// idleClients are clients that keep connections open without using them, some after one request. A client whose connection is closed
// connects again after reconnectDelay.
type idleClients struct {
	stop         chan struct{}
	clients      sync.WaitGroup
	openConns    atomic.Int64
	closedByNode atomic.Int64 // connections that the node closed
}

const (
	reconnectDelay  = 200 * time.Millisecond // from the end of a connection to the next attempt to connect
	idleConnTimeout = 10 * time.Second       // longer than the test
)

// start starts clients, which connect to an address until c.stop is closed.
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

// holdConn opens one connection, and keeps it open until the node closes it or the test ends.
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
	_, _ = reader.ReadByte() // blocks until the connection is closed
	c.closedByNode.Add(1)
}

// Idle clients must not exhaust the descriptors that a node reserves for its own work. They open as many connections as the node accepts,
// before, during and at the end of an outage of the discovery service. The node must still get the list when the service returns, stop
// sending to drained servers, serve the admin address, reload its configuration, switch to another discovery service, and respond to
// requests of other clients. It does so under the descriptor limit of the configuration, and under a lower limit of the process.
func TestIdleClientsFillConnectionsReserveStaysFree(t *testing.T) {
	for name, c := range map[string]struct {
		configuredLimit, processLimit int // number of descriptors; 0: not set
		effectiveLimit                int // number of descriptors that the process may have open
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
	sendRequests := func(n int) { // as clients that connect after the idle ones
		var wg sync.WaitGroup
		for i := range n {
			time.Sleep(20 * time.Millisecond)
			wg.Go(func() {
				start := time.Now()
				traceID := fmt.Sprintf("late-%d-%d", start.UnixNano(), i)
				status, body := sendGet(p.clientAddress, "/read/"+traceID, traceID, 6*time.Second)
				if status == http.StatusOK && body != "value of /read/"+traceID {
					t.Errorf("%s: body of another request: %q", traceID, body)
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
	adminClients := &idleClients{stop: idle.stop} // clients of the admin address that send no request
	defer func() {
		close(idle.stop)
		idle.clients.Wait()
		adminClients.clients.Wait()
	}()
	checkAdmin := func(phase string) {
		t.Helper()
		start := time.Now()
		if status := requestStatus(p.adminAddress, "GET", "/status"); status != http.StatusOK || time.Since(start) > time.Second {
			t.Errorf("%s: the admin address responds with status %d after %v", phase, status, time.Since(start))
		}
	}
	reload := func(phase, message string) {
		t.Helper()
		before := strings.Count(p.log.String(), message)
		_ = p.Process.Signal(syscall.SIGHUP)
		if !waitFor(4*time.Second, func() bool { return strings.Count(p.log.String(), message) > before }) {
			t.Errorf("%s: a reload doesn't log %q:\n%s", phase, message, lastLines(p.log.String()))
		}
	}
	checkDrain := func(s *discoveryServer, id string, timeout time.Duration, phase string) {
		t.Helper()
		start := time.Now()
		if !waitFor(timeout, func() bool { return !s.versionSentAt().IsZero() }) {
			t.Errorf("%s: no list was sent within %v:\n%s", phase, timeout, lastLines(p.log.String()))
			return
		}
		sentAt := s.versionSentAt()
		sendRequests(20)
		time.Sleep(time.Until(sentAt.Add(600 * time.Millisecond)))
		if n, lastRequest := caches[id].stats(); n > 0 && lastRequest.Sub(sentAt) > 400*time.Millisecond {
			t.Errorf("%s: %s received a request %v after its drain was sent", phase, id, lastRequest.Sub(sentAt))
		}
		t.Logf("%s: the list was sent after %v", phase, sentAt.Sub(start).Round(time.Millisecond))
	}

	adminClients.start(p.adminAddress, 2*maxDescriptors/3, func(int) bool { return false })
	idle.start(p.clientAddress, maxDescriptors, func(i int) bool { return i%2 == 0 }) // before the outage
	sendRequests(10)
	current.stop()
	idle.start(p.clientAddress, maxDescriptors/2, func(i int) bool { return i%3 == 0 }) // during the outage
	current.setState("b", "Terminating")
	checkAdmin("during the outage")
	reload("during the outage", "configuration reloaded")
	sendRequests(30)
	idle.start(p.clientAddress, maxDescriptors/2, func(int) bool { return false }) // at the end of the outage
	current.start()
	checkDrain(current, "b", 6*time.Second, "after the return")
	checkAdmin("after the outage")
	next.setState("b", "Terminating")
	next.setState("c", "Terminating")
	p.configure(t, next.address, overrides)
	reload("after the outage", "switched to another discovery service")
	checkDrain(next, "c", 4*time.Second, "after the switch")
	openConns := idle.openConns.Load()
	close(done)
	watcher.Wait()

	slices.Sort(latencies)
	t.Logf("at most %d descriptors of %d; %d idle connections, %d closed by the node; statuses of other clients %v, p90 %v, maximum %v",
		peak, maxDescriptors, openConns, idle.closedByNode.Load(), statusCounts,
		latencies[len(latencies)*9/10].Round(time.Millisecond), latencies[len(latencies)-1].Round(time.Millisecond))
	if peak > maxDescriptors {
		t.Errorf("%d descriptors are open, the limit is %d", peak, maxDescriptors)
	}
	if strings.Contains(p.log.String(), "too many open files") {
		t.Errorf("the process ran out of descriptors:\n%s", p.log.String())
	}
	succeeded, rejected := statusCounts[http.StatusOK], statusCounts[http.StatusServiceUnavailable]
	if unanswered := len(latencies) - succeeded - rejected; unanswered > 0 || succeeded < len(latencies)*8/10 {
		t.Errorf("requests of other clients: statuses %v of %d", statusCounts, len(latencies))
	}
	p.stop(t)
}

// During an upgrade, the two processes of a node together stay within the descriptor limit of one, even if idle clients use all connections
// of the first process and reconnect throughout.
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
			passedSocket := socketFile(t, socket)
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
					t.Fatalf("the second process doesn't serve the admin address:\n%s", lastLines(second.log.String()))
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
			// The idle clients reconnect with requests all at once, so that a request among theirs may be rejected. Its client then sends it again.
			status, body := http.StatusServiceUnavailable, ""
			for try, deadline := 0, time.Now().Add(5*time.Second); status == http.StatusServiceUnavailable && time.Now().Before(deadline); try++ {
				status, body = sendGet(second.clientAddress, "/read/k", fmt.Sprint("after", try), 5*time.Second)
				time.Sleep(20 * time.Millisecond)
			}
			if status != http.StatusOK {
				t.Errorf("%d %q\nfirst process:\n%s\nsecond process:\n%s", status, body, lastLines(first.log.String()), lastLines(second.log.String()))
			}
			t.Logf("at most %d descriptors, %v after the start of the second process, of %d; %d samples over the limit",
				peak, peakTime, maxDescriptors, overLimitSamples)
			if peak > maxDescriptors {
				t.Errorf("%d descriptors of both processes are open, the limit is %d", peak, maxDescriptors)
			}
			if err := first.Wait(); err != nil {
				t.Error(err)
			}
			second.stop(t)
		})
	}
}
