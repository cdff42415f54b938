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

// The operators' figures are what clients and servers saw: through misses, refusals, faults, lookups that are asked
// for again elsewhere, clients that leave, and lookups that are turned away unheard.
func TestFiguresAreWhatWasSeen(t *testing.T) {
	w := newWorld(t, func(id string, to http.ResponseWriter, r *http.Request) {
		switch key := r.URL.Path; {
		case strings.Contains(key, "miss") && id != "z":
			to.WriteHeader(http.StatusNotFound)
		case strings.Contains(key, "full"):
			to.Header().Set("X-Never-Ran", "1")
			to.WriteHeader(http.StatusServiceUnavailable)
		case strings.Contains(key, "fault"):
			to.WriteHeader(http.StatusInternalServerError)
		case strings.Contains(key, "slow"):
			time.Sleep(100 * time.Millisecond)
			fmt.Fprint(to, "value")
		default:
			fmt.Fprint(to, "value")
		}
	}, "a", "b", "c")
	s := w.station(256)
	run(t, s)
	seen := map[string]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range 200 {
		kind := []string{"hit", "miss", "full", "fault", "slow"}[i%5]
		first, namespace, limit := fmt.Sprintf("GET /read/%s%d", kind, i), "read", "X-Expires-In: 800m"
		switch i % 25 {
		case 11, 13:
			first, namespace = fmt.Sprintf("PUT /once/%s%d", kind, i), "once"
		case 20:
			limit = "X-Expires-In: soon" // faulted before it is taken
		case 22:
			first, namespace = "GET /unheard-of/k", "" // counts nowhere
		}
		clients.Go(func() {
			status, _ := ask(s.Listen, first, fmt.Sprint("X-Trace-Id: t", i), limit)
			mu.Lock()
			defer mu.Unlock()
			seen[namespace+" "+fmt.Sprint(status)]++
		})
		time.Sleep(time.Millisecond)
	}
	for i := range 10 { // these leave in the middle, and any count will do for them
		c, err := net.Dial("tcp", s.Listen)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "GET /read/slow%d HTTP/1.1\r\nHost: n\r\nX-Trace-Id: l%d\r\nX-Expires-In: 800m\r\n\r\n", i, i)
		time.Sleep(10 * time.Millisecond)
		c.Close()
	}
	clients.Wait()
	time.Sleep(200 * time.Millisecond) // the last shots of those that left
	t.Log(seen)
	want := map[string]int{"operations.read.fulfilled": seen["read 200"], "operations.once.fulfilled": seen["once 200"], "operations.once.throttled": seen["once 503"],
		"operations.once.faulted": seen["once 502"], "open_requests": 0, "registry_entries": 3}
	for name, n := range want {
		if got := figure(s.Admin, name); got != n {
			t.Errorf("%s=%d, seen %d", name, got, n)
		}
	}
	for name, least := range map[string]int{"operations.read.throttled": seen["read 503"],
		"operations.read.faulted": seen["read 400"] + seen["read 502"]} {
		if got := figure(s.Admin, name); got < least || got > least+10 {
			t.Errorf("%s=%d, seen %d and ten that left", name, got, least)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if got := figure(s.Admin, "relayed"); got != w.written || got == 0 {
		t.Errorf("relayed=%d, the servers saw %d", got, w.written)
	}
	if seen["read 200"] == 0 || seen["read 503"] == 0 || seen["read 400"] == 0 || seen["once 200"] == 0 {
		t.Errorf("the test shows too little: %v", seen)
	}
}

// While a flood holds all of the clients' places, and others hold the operators' connections, a call is answered.
func TestCallsAreAnsweredInAFlood(t *testing.T) {
	w := newWorld(t, func(_ string, to http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		fmt.Fprint(to, "value")
	}, "a", "b")
	s := w.station(96)
	run(t, s)
	stop := make(chan struct{})
	var flood sync.WaitGroup
	hold := func(address, bytes string) {
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
			hold(s.Listen, fmt.Sprintf("GET /read/k%d HTTP/1.1\r\nHost: n\r\nX-Trace-Id: f%d\r\nX-Expires-In: 800m\r\n\r\n", i, i))
		})
	}
	for range 40 {
		flood.Go(func() { hold(s.Admin, "GET /status HTTP/1.1\r\nHo") })
	}
	time.Sleep(300 * time.Millisecond)
	for range 20 {
		began := time.Now()
		status, text := operator(s.Admin, "GET", "/status/metrics")
		if took := time.Since(began); status != http.StatusOK || took > time.Second {
			t.Errorf("%d %q after %v", status, text, took)
		}
	}
	if n := figure(s.Admin, "operations.read.throttled"); n < 100 {
		t.Errorf("the flood brought only %d refusals", n)
	}
	close(stop)
	flood.Wait()
}

// A cache that is taken out gets nothing from the yes on, whatever the list says meanwhile; one call back ends that,
// and it is used again.
func TestACacheIsTakenOutAndPutBack(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	var mu sync.Mutex
	got := map[string]int{}
	w := newWorld(t, func(id string, to http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		got[id]++
		fmt.Fprint(to, "value")
	}, "a", "b")
	s := w.station(128)
	run(t, s)
	asked := 0
	load := func(n int) map[string]int {
		mu.Lock()
		clear(got)
		mu.Unlock()
		for range n {
			asked++
			ask(s.Listen, fmt.Sprintf("GET /read/k%d", asked), fmt.Sprint("X-Trace-Id: t", asked), "X-Expires-In: 800m")
		}
		mu.Lock()
		defer mu.Unlock()
		return map[string]int{"a": got["a"], "b": got["b"]}
	}
	if n := load(100); n["a"] == 0 || n["b"] == 0 {
		t.Fatalf("%v", n)
	}
	for _, path := range []string{"/maintenance/enter/unheard-of", "/maintenance/exit/unheard-of", "/maintenance/enter/"} {
		if status, _ := operator(s.Admin, "POST", path); status != http.StatusNotFound {
			t.Errorf("%s: %d", path, status)
		}
	}
	for range 2 {
		if status, text := operator(s.Admin, "POST", "/maintenance/enter/a"); status != http.StatusOK {
			t.Fatal(status, text)
		}
	}
	if n := load(100); n["a"] != 0 || n["b"] == 0 {
		t.Errorf("a is out: %v", n)
	}
	w.change(func(e []entry) []entry { // restarted at another address, and listed as ready
		e[0].Started, e[0].Address = float64(time.Now().UnixMilli()), w.server("a")
		return e
	})
	time.Sleep(50 * time.Millisecond)
	if n := load(100); n["a"] != 0 {
		t.Errorf("a is out and listed anew: %v", n)
	}
	time.Sleep(endpointCountInterval)
	if out, listed := figure(s.Admin, "out_of_rotation"), figure(s.Admin, "registry_entries"); out != 1 || listed != 2 {
		t.Errorf("out_of_rotation=%d of registry_entries=%d", out, listed)
	}
	if status, text := operator(s.Admin, "POST", "/maintenance/exit/a"); status != http.StatusOK {
		t.Fatal(status, text)
	}
	// It is cold, and gets a part of what b was seen to answer, of which a node makes up its mind once a second; it is warm after 2 s.
	back, n := time.Now(), map[string]int{}
	for n["a"] == 0 && time.Since(back) < 1500*time.Millisecond {
		n = load(20)
	}
	if n["a"] == 0 {
		t.Errorf("a is back: %v after %v", n, time.Since(back))
	}
}
