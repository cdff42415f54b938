package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
)

// world is what stands round a node in a test: caches, an origin and a discovery service on loopback.
type world struct {
	t         *testing.T
	mu        sync.Mutex
	version   int
	entries   []entry
	changed   chan struct{}
	discovery *httptest.Server
	written   int // shots that came whole
	handle    func(id string, w http.ResponseWriter, r *http.Request)
	raw       func(id string, w http.ResponseWriter, r *http.Request) // the same, with the body to be read
}

type entry struct {
	ID      string  `json:"id"`
	Address string  `json:"addr"`
	Kind    string  `json:"kind"`
	State   string  `json:"state"`
	Started float64 `json:"started_ms"`
}

// newWorld starts caches by these ids and the origin z. Whoever needs other answers than "value" sets handle first.
func newWorld(t *testing.T, handle func(id string, w http.ResponseWriter, r *http.Request), ids ...string) *world {
	w := &world{t: t, version: 1, changed: make(chan struct{}), handle: handle}
	for _, id := range append(ids, "z") {
		w.entries = append(w.entries, entry{ID: id, Address: w.server(id), Kind: "box", State: "Ready"})
	}
	w.entries[len(ids)].Kind = "origin"
	w.discovery = httptest.NewServer(http.HandlerFunc(w.list))
	t.Cleanup(w.discovery.Close)
	return w
}

func (w *world) server(id string) string {
	s := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, r *http.Request) {
		if w.raw != nil {
			w.raw(id, to, r)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			w.mu.Lock()
			w.written++
			w.mu.Unlock()
		}
		if w.handle != nil {
			w.handle(id, to, r)
		} else {
			fmt.Fprint(to, "value")
		}
	}))
	w.t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func (w *world) list(to http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if from := r.URL.Query().Get("from"); from == fmt.Sprint(w.version) {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-changed:
		}
		w.mu.Lock()
	}
	_ = json.NewEncoder(to).Encode(map[string]any{"version": w.version, "full": true, "servers": w.entries})
}

// change changes the list, and tells of it.
func (w *world) change(f func(entries []entry) []entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = f(w.entries)
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
}

// station gives a node's papers, with free addresses.
func (w *world) station(descriptors int) *config.Node {
	w.t.Helper()
	namespace := func(name, repeat string) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "target-time-ms": 400., "time-limit-ms": 900.}
	}
	d, err := config.ParseSettings(map[string]any{"models": []any{"box", "origin"},
		"domain":      map[string]any{"mode": "aside", "origin-kind": 1.},
		"permissions": map[string]any{"most-shots": 3.},
		"invariants":  map[string]any{"stop-sending-within-ms": 200., "warm-up-ms": 2000.},
		"namespaces":  []any{namespace("read", "safe"), namespace("once", "unsafe")}})
	if err != nil {
		w.t.Fatal(err)
	}
	return &config.Node{Name: "n", Listen: free(w.t), Admin: free(w.t), Discovery: w.discovery.Listener.Addr().String(),
		Cores: 1, MemoryMB: 192, Descriptors: descriptors, Settings: d}
}

func free(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// run starts a node and waits until it serves; what it gives back ends it.
func run(t *testing.T, s *config.Node) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, s, nil, zap.NewNop()) }()
	end := sync.OnceFunc(func() {
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(10 * time.Second):
			t.Error("the node does not end")
		}
	})
	t.Cleanup(end)
	for by := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if status, _ := operator(s.Admin, "GET", "/status"); status == http.StatusOK {
			return end
		} else if time.Now().After(by) {
			t.Fatal("the node does not get ready")
		}
	}
}

// operator makes one call.
func operator(address, method, path string) (int, string) {
	c := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, _ := http.NewRequest(method, "http://"+address+path, nil)
	resp, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// figure reads one figure, -1 if it is not there.
func figure(address, name string) int {
	_, page := operator(address, "GET", "/status/metrics")
	for _, line := range strings.Split(page, "\n") {
		if key, value, _ := strings.Cut(line, "="); key == name {
			n := 0
			_, _ = fmt.Sscan(value, &n)
			return n
		}
	}
	return -1
}

// ask makes one lookup on a connection of its own and gives the status and the body; 0 where there is no whole answer.
func ask(address, first string, headers ...string) (int, string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: n\r\n%s\r\n", first, strings.Join(append(headers, ""), "\r\n"))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(body)
}
