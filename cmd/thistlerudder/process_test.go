package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// addresses counts those that were given out.
var addresses atomic.Uint32

// freeAddress gives an address on loopback that nobody listens on, nor will before we do: its host is this test's own, and its
// port lies below those that the system gives to connections and to whoever asks for any.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		n, pid := addresses.Add(1), uint32(os.Getpid())
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", 64+pid%64, pid/64%256, 1+n%250, 7000+n/250))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free address")
	return ""
}

// listenAt listens on such an address. A process that is just being started holds what we have closed until it is another program.
func listenAt(t *testing.T, address string) (l net.Listener) {
	t.Helper()
	var err error
	if !waitFor(5*time.Second, func() bool { l, err = net.Listen("tcp", address); return err == nil }) {
		t.Fatal(err)
	}
	return l
}

// process is the program, run under a configuration and limits of its own.
type process struct {
	*exec.Cmd
	config, listen, admin string
	env                   []string
	passed                *os.File // the clients' socket; nil: it opens one
	began                 time.Time
	log                   *logText
}

// logText keeps what a process writes to standard error.
type logText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logText) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// newProcess makes one that is not started yet, with addresses of its own. more goes over the configuration.
func newProcess(t *testing.T, discovery string, more map[string]any, env ...string) *process {
	t.Helper()
	p := &process{config: filepath.Join(t.TempDir(), "node.json"), listen: freeAddress(t), admin: freeAddress(t),
		env: append([]string{"TMPDIR=" + t.TempDir()}, env...)}
	p.configure(t, discovery, more)
	return p
}

// configure writes the configuration, in one step.
func (p *process) configure(t *testing.T, discovery string, more map[string]any) {
	t.Helper()
	all := map[string]any{"listen": p.listen, "discovery": discovery, "admin_addr": p.admin, "seed": fmt.Sprintf("%x", addresses.Load()),
		"limits": map[string]any{"cores": 1, "memory_mb": 64},
		"settings": map[string]any{"models": []string{"box", "origin"}, "domain": map[string]any{"mode": "aside", "origin-kind": 1},
			"permissions": map[string]any{"most-shots": 3}, "invariants": map[string]any{"stop-sending-within-ms": 400, "ask-within-ms": 8000},
			"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 800, "time-limit-ms": 2000}}}}
	for key, value := range more {
		all[key] = value
	}
	text, err := json.Marshal(all)
	if err == nil {
		err = os.WriteFile(p.config+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(p.config+".new", p.config)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// start runs it, once more if it has ended.
func (p *process) start(t *testing.T) {
	t.Helper()
	p.log = &logText{}
	p.Cmd = exec.Command(os.Args[0], "serve", "--config", p.config)
	p.Env = append(append(os.Environ(), asProgram+"=1", "GORACE=atexit_sleep_ms=0"), p.env...)
	if p.Stderr = p.log; p.passed != nil {
		p.ExtraFiles = []*os.File{p.passed}
	}
	p.began = time.Now()
	if err := p.Cmd.Start(); err != nil {
		t.Fatal(err)
	}
	started := p.Cmd
	t.Cleanup(func() { _ = started.Process.Kill() })
}

// lookup makes a call at the clients' address on a connection of its own, and gives its status; 0: no whole answer.
func lookup(address, path, id string, within time.Duration) (int, string) {
	c, err := net.DialTimeout("tcp", address, within)
	if err != nil {
		return 0, err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: n\r\nX-Trace-Id: %s\r\nX-Expires-In: 2000m\r\n\r\n", path, id)
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

// ready waits for the yes on GET /up, and gives how long after the start it came; false if it didn't.
func (p *process) ready(within time.Duration) (time.Duration, bool) {
	for time.Since(p.began) < within {
		if status, _ := lookup(p.listen, "/up", "", time.Second); status == http.StatusOK {
			return time.Since(p.began), true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(p.began), false
}

// service is a discovery service that goes down and comes back at one address. Down it refuses; what else it does, do says.
type service struct {
	t       *testing.T
	address string

	mu      sync.Mutex
	server  *http.Server
	version int
	states  map[string]string // of servers by id
	entries []map[string]any
	changed chan struct{}
	told    time.Time // when the present version was first written, whole or as a change
	calls   int
	do      func(w http.ResponseWriter, r *http.Request) bool // true: that was all
}

func newService(t *testing.T, entries []map[string]any) *service {
	s := &service{t: t, address: freeAddress(t), version: 1, entries: entries, states: map[string]string{}, changed: make(chan struct{})}
	t.Cleanup(s.down)
	return s
}

func (s *service) up() {
	s.t.Helper()
	l := listenAt(s.t, s.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = &http.Server{Handler: s}
	go func(server *http.Server) { _ = server.Serve(l) }(s.server)
}

// down resets what is open, and refuses from then on.
func (s *service) down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// change gives a server another state.
func (s *service) change(id, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states[id] = state
	s.version++
	s.told = time.Time{}
	close(s.changed)
	s.changed = make(chan struct{})
}

// toldAt says when the present version was written to somebody; zero: not yet.
func (s *service) toldAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	do, changed := s.do, s.changed
	same := r.URL.Query().Get("from") == fmt.Sprint(s.version)
	s.mu.Unlock()
	if do != nil && do(w, r) {
		return
	}
	if same {
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
	page := s.page()
	_, _ = w.Write(page)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.told.IsZero() {
		s.told = time.Now()
	}
}

// page is the whole list.
func (s *service) page() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]map[string]any, 0, len(s.entries))
	for _, e := range s.entries {
		one := map[string]any{"state": "Ready"}
		for key, value := range e {
			one[key] = value
		}
		if state, is := s.states[e["id"].(string)]; is {
			one["state"] = state
		}
		list = append(list, one)
	}
	text, err := json.Marshal(map[string]any{"version": s.version, "full": true, "servers": list})
	if err != nil {
		s.t.Error(err)
	}
	return text
}

// counter is a cache server that counts what comes, with when the latest request did.
type counter struct {
	mu     sync.Mutex
	n      int
	latest time.Time
}

func (c *counter) seen() (int, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n, c.latest
}

// newCounters starts cache servers by these ids and the origin z, each of which takes so long to answer.
func newCounters(t *testing.T, takes time.Duration, ids ...string) ([]map[string]any, map[string]*counter) {
	t.Helper()
	var entries []map[string]any
	counters := map[string]*counter{}
	for _, id := range append(ids, "z") {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c := &counter{}
		counters[id] = c
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c.mu.Lock()
			c.n++
			c.latest = time.Now()
			c.mu.Unlock()
			time.Sleep(takes)
			fmt.Fprint(w, "value of "+r.URL.Path)
		})}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		kind := "box"
		if id == "z" {
			kind = "origin"
		}
		entries = append(entries, map[string]any{"id": id, "addr": l.Addr().String(), "kind": kind, "started_ms": 0})
	}
	return entries, counters
}

// waitFor waits until it holds, and says whether it did in time.
func waitFor(within time.Duration, holds func() bool) bool {
	for end := time.Now().Add(within); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// stop ends it as an operator does.
func (p *process) stop(t *testing.T) {
	t.Helper()
	_ = p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("the process ended with %v:\n%s", err, tail(p.log.String()))
	}
}

// tail gives the last lines of a log.
func tail(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-20):], "\n")
}
