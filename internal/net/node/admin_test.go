package node

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// The metrics match what clients and servers counted: with misses, rejections, failures, retries at other servers, clients that disconnect, and
// requests that are refused before admission.
func TestMetricsMatchClientAndServerCounts(t *testing.T) {
	w := newTestEnv(t, func(id string, rw http.ResponseWriter, r *http.Request) {
		switch key := r.URL.Path; {
		case strings.Contains(key, "miss") && id != "z":
			rw.WriteHeader(http.StatusNotFound)
		case strings.Contains(key, "full"):
			rw.Header().Set("X-Never-Ran", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		case strings.Contains(key, "fault"):
			rw.WriteHeader(http.StatusInternalServerError)
		case strings.Contains(key, "slow"):
			time.Sleep(100 * time.Millisecond)
			fmt.Fprint(rw, "value")
		default:
			fmt.Fprint(rw, "value")
		}
	}, "a", "b", "c")
	s := w.nodeConfig(256)
	startNode(t, s)
	statuses := map[string]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range 200 {
		kind := []string{"hit", "miss", "full", "fault", "slow"}[i%5]
		requestLine, namespace, limit := fmt.Sprintf("GET /read/%s%d", kind, i), "read", "X-Expires-In: 800m"
		switch i % 25 {
		case 11, 13:
			requestLine, namespace = fmt.Sprintf("PUT /once/%s%d", kind, i), "once"
		case 20:
			limit = "X-Expires-In: soon" // fails before it is admitted
		case 22:
			requestLine, namespace = "GET /unheard-of/k", "" // an unknown class is not counted
		}
		clients.Go(func() {
			status, _ := sendRequest(s.ListenAddress, requestLine, fmt.Sprint("X-Trace-Id: t", i), limit)
			mu.Lock()
			defer mu.Unlock()
			statuses[namespace+" "+fmt.Sprint(status)]++
		})
		time.Sleep(time.Millisecond)
	}
	for i := range 10 { // these clients disconnect before the response; either outcome may be counted for them
		c, err := net.Dial("tcp", s.ListenAddress)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "GET /read/slow%d HTTP/1.1\r\nHost: n\r\nX-Trace-Id: l%d\r\nX-Expires-In: 800m\r\n\r\n", i, i)
		time.Sleep(10 * time.Millisecond)
		c.Close()
	}
	clients.Wait()
	time.Sleep(200 * time.Millisecond) // for the last attempts of the clients that disconnected
	t.Log(statuses)
	want := map[string]int{"operations.read.fulfilled": statuses["read 200"], "operations.once.fulfilled": statuses["once 200"], "operations.once.throttled": statuses["once 503"],
		"operations.once.faulted": statuses["once 502"], "open_requests": 0, "registry_entries": 3}
	for name, n := range want {
		if got := metric(s.Admin, name); got != n {
			t.Errorf("%s=%d, want %d", name, got, n)
		}
	}
	for name, minCount := range map[string]int{"operations.read.throttled": statuses["read 503"],
		"operations.read.faulted": statuses["read 400"] + statuses["read 502"]} {
		if got := metric(s.Admin, name); got < minCount || got > minCount+10 {
			t.Errorf("%s=%d, want %d and up to ten more for the clients that disconnected", name, got, minCount)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if got := metric(s.Admin, "relayed"); got != w.completeAttempts || got == 0 {
		t.Errorf("relayed=%d, want %d as received by the servers", got, w.completeAttempts)
	}
	if statuses["read 200"] == 0 || statuses["read 503"] == 0 || statuses["read 400"] == 0 || statuses["once 200"] == 0 {
		t.Errorf("the load does not cover all outcomes: %v", statuses)
	}
}

// An admin request is answered while a flood of requests occupies all client connections and others keep the admin connections open.
func TestAdminAnswersWhileConnectionsAreExhausted(t *testing.T) {
	w := newTestEnv(t, func(_ string, rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		fmt.Fprint(rw, "value")
	}, "a", "b")
	s := w.nodeConfig(96)
	startNode(t, s)
	stop := make(chan struct{})
	var flood sync.WaitGroup
	holdConnection := func(address, bytes string) {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
				fmt.Fprint(c, bytes)
				time.Sleep(300 * time.Millisecond)
				c.Close()
			}
		}
	}
	for i := range 120 {
		flood.Go(func() {
			holdConnection(s.ListenAddress, fmt.Sprintf("GET /read/k%d HTTP/1.1\r\nHost: n\r\nX-Trace-Id: f%d\r\nX-Expires-In: 800m\r\n\r\n", i, i))
		})
	}
	for range 40 {
		flood.Go(func() { holdConnection(s.Admin, "GET /status HTTP/1.1\r\nHo") })
	}
	time.Sleep(300 * time.Millisecond)
	for range 20 {
		start := time.Now()
		status, text := adminRequest(s.Admin, "GET", "/status/metrics")
		if elapsed := time.Since(start); status != http.StatusOK || elapsed > time.Second {
			t.Errorf("%d %q after %v", status, text, elapsed)
		}
	}
	if n := metric(s.Admin, "operations.read.throttled"); n < 100 {
		t.Errorf("the flood caused only %d rejections", n)
	}
	close(stop)
	flood.Wait()
}

// An ejected cache gets no requests once the ejection is acknowledged, even if the endpoint list lists it as ready again. One request restores it.
func TestEjectedCacheGetsNoRequestsUntilRestored(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	var mu sync.Mutex
	got := map[string]int{}
	w := newTestEnv(t, func(id string, rw http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		got[id]++
		fmt.Fprint(rw, "value")
	}, "a", "b")
	s := w.nodeConfig(128)
	startNode(t, s)
	requests := 0
	countRequests := func(n int) map[string]int {
		mu.Lock()
		clear(got)
		mu.Unlock()
		for range n {
			requests++
			sendRequest(s.ListenAddress, fmt.Sprintf("GET /read/k%d", requests), fmt.Sprint("X-Trace-Id: t", requests), "X-Expires-In: 800m")
		}
		mu.Lock()
		defer mu.Unlock()
		return map[string]int{"a": got["a"], "b": got["b"]}
	}
	if n := countRequests(100); n["a"] == 0 || n["b"] == 0 {
		t.Fatalf("%v", n)
	}
	for _, path := range []string{"/maintenance/enter/unheard-of", "/maintenance/exit/unheard-of", "/maintenance/enter/"} {
		if status, _ := adminRequest(s.Admin, "POST", path); status != http.StatusNotFound {
			t.Errorf("%s: %d", path, status)
		}
	}
	for range 2 {
		if status, text := adminRequest(s.Admin, "POST", "/maintenance/enter/a"); status != http.StatusOK {
			t.Fatal(status, text)
		}
	}
	if n := countRequests(100); n["a"] != 0 || n["b"] == 0 {
		t.Errorf("with a ejected: %v", n)
	}
	w.updateList(func(e []entry) []entry { // restarted at another address, and listed as ready
		e[0].Started, e[0].Address = float64(time.Now().UnixMilli()), w.startServer("a")
		return e
	})
	time.Sleep(50 * time.Millisecond)
	if n := countRequests(100); n["a"] != 0 {
		t.Errorf("with a ejected and listed again: %v", n)
	}
	time.Sleep(endpointCountInterval)
	if ejected, listed := metric(s.Admin, "out_of_rotation"), metric(s.Admin, "registry_entries"); ejected != 1 || listed != 2 {
		t.Errorf("out_of_rotation=%d of registry_entries=%d", ejected, listed)
	}
	if status, text := adminRequest(s.Admin, "POST", "/maintenance/exit/a"); status != http.StatusOK {
		t.Fatal(status, text)
	}
	// After the restart a is in slow start for 2 s. It gets a fraction of the rate that b was observed to serve, which a node estimates once a second.
	restored, n := time.Now(), map[string]int{}
	for n["a"] == 0 && time.Since(restored) < 1500*time.Millisecond {
		n = countRequests(20)
	}
	if n["a"] == 0 {
		t.Errorf("with a restored: %v after %v", n, time.Since(restored))
	}
}
