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
	readyIn      = 10 * time.Second // nine in ten restarted processes are owed to be ready by then
	readyAtWorst = 30 * time.Second // and each by then
	outage       = 5 * time.Second  // of discovery, from the processes' start on
)

// hold keeps a call unanswered until its caller gives up.
func hold(_ http.ResponseWriter, r *http.Request) bool {
	<-r.Context().Done()
	return true
}

func refuse(w http.ResponseWriter, _ *http.Request) bool {
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// trickle writes the list in pieces, a pause before each; with whole it comes to its end.
func trickle(s *service, pieces int, pause time.Duration, whole bool) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.RawQuery != "" {
			return false
		}
		page := s.page()
		w.Header().Set("Content-Length", fmt.Sprint(len(page)))
		for i := range pieces {
			select {
			case <-r.Context().Done():
				return true
			case <-time.After(pause):
			}
			if i == pieces-1 && !whole {
				<-r.Context().Done()
				return true
			}
			_, _ = w.Write(page[i*len(page)/pieces : (i+1)*len(page)/pieces])
			_ = http.NewResponseController(w).Flush()
		}
		return true
	}
}

// crowded answers so many calls at once, each of which takes a while; the next wait for a place, and are turned away after 2 s.
func crowded(places int, takes time.Duration) func(http.ResponseWriter, *http.Request) bool {
	free := make(chan struct{}, places)
	return func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.RawQuery != "" {
			return false
		}
		select {
		case free <- struct{}{}:
			defer func() { <-free }()
			time.Sleep(takes)
			return false
		case <-time.After(2 * time.Second):
			return refuse(w, r)
		case <-r.Context().Done():
			return true
		}
	}
}

// Processes are ready as soon as lookups can be decided: with the list as last had at once, whatever discovery does; without it
// with the first list, and nine in ten within 10 s where discovery is back 5 s after their start.
func TestRestartedProcessesAreReadyInTime(t *testing.T) {
	t.Parallel()
	entries, _ := newCounters(t, time.Millisecond, "a", "b", "c")
	stale := []map[string]any{{"id": "old", "addr": "127.0.0.1:1", "kind": "box", "state": "Ready"}}
	many := 24 // a zone
	if testing.Short() {
		many = 10
	}
	for name, c := range map[string]struct {
		nodes  int
		known  any
		during func(s *service) func(http.ResponseWriter, *http.Request) bool // nil: it refuses connections
		after  func(s *service) func(http.ResponseWriter, *http.Request) bool // from the outage's end on; nil: it answers
		atOnce bool                                                           // though discovery stays so
	}{
		"known, refused": {nodes: 4, known: entries, atOnce: true},
		"known, silent":  {nodes: 4, known: entries, during: func(*service) func(http.ResponseWriter, *http.Request) bool { return hold }, atOnce: true},
		"known, 503":     {nodes: 4, known: entries, during: func(*service) func(http.ResponseWriter, *http.Request) bool { return refuse }, atOnce: true},
		"known, stale":   {nodes: 4, known: stale, atOnce: true},
		"known, half a list": {nodes: 4, known: entries, during: func(s *service) func(http.ResponseWriter, *http.Request) bool {
			return trickle(s, 9, 50*time.Millisecond, false)
		}, atOnce: true},
		"known, too many callers": {nodes: 8, known: entries, during: func(*service) func(http.ResponseWriter, *http.Request) bool { return crowded(1, time.Second) }, atOnce: true},
		"known, all of a zone":    {nodes: many, known: entries, atOnce: true},
		"unreadable, answers":     {nodes: 4, known: "no list", during: func(*service) func(http.ResponseWriter, *http.Request) bool { return nil }, atOnce: true},
		"unreadable, refused":     {nodes: 10, known: map[string]any{"servers": 7}},
		"none, refused":           {nodes: 10},
		"none, silent":            {nodes: 10, during: func(*service) func(http.ResponseWriter, *http.Request) bool { return hold }},
		"none, 503":               {nodes: 10, during: func(*service) func(http.ResponseWriter, *http.Request) bool { return refuse }},
		"none, slow list": {nodes: 10, after: func(s *service) func(http.ResponseWriter, *http.Request) bool {
			return trickle(s, 10, 50*time.Millisecond, true)
		}},
		"none, a zone at once":   {nodes: many, during: func(*service) func(http.ResponseWriter, *http.Request) bool { return crowded(2, 100*time.Millisecond) }, atOnce: true},
		"none, a zone after all": {nodes: many, after: func(*service) func(http.ResponseWriter, *http.Request) bool { return crowded(4, 100*time.Millisecond) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newService(t, entries)
			if c.during != nil {
				s.do = c.during(s)
				s.up()
			}
			more := map[string]any{}
			if list, is := c.known.([]map[string]any); is {
				for i := range list {
					if list[i]["state"] == nil {
						list = slices.Clone(list)
						text, _ := json.Marshal(list[i])
						list[i] = map[string]any{}
						_ = json.Unmarshal(text, &list[i])
						list[i]["state"] = "Ready"
					}
				}
				more["known"] = map[string]any{"version": 1, "full": true, "servers": list}
			} else if c.known != nil {
				more["known"] = c.known
			}
			var mu sync.Mutex
			var spans []time.Duration
			var processes sync.WaitGroup
			began := time.Now()
			for range c.nodes {
				p := newProcess(t, s.address, more)
				p.start(t)
				processes.Go(func() {
					after, yes := p.ready(readyAtWorst)
					if !yes {
						t.Errorf("not ready after %v:\n%s", after, tail(p.log.String()))
					}
					if status, body := lookup(p.listen, "/read/k", fmt.Sprint(p.Process.Pid), 3*time.Second); status != http.StatusOK &&
						status != http.StatusServiceUnavailable {
						t.Errorf("once ready: %d %q", status, body)
					}
					mu.Lock()
					spans = append(spans, after)
					mu.Unlock()
				})
			}
			early := func() int {
				mu.Lock()
				defer mu.Unlock()
				return len(spans)
			}
			if !c.atOnce {
				time.Sleep(time.Until(began.Add(outage)))
				if early() > 0 {
					t.Errorf("%d ready without a list", early())
				}
				s.mu.Lock()
				if s.do = nil; c.after != nil {
					s.do = c.after(s)
				}
				down := s.server == nil
				s.mu.Unlock()
				if down {
					s.up()
				}
			}
			processes.Wait()
			slices.Sort(spans)
			p90, worst := spans[(len(spans)*9+9)/10-1], spans[len(spans)-1]
			t.Logf("%s: %d processes ready after %v (p90), %v at worst", name, c.nodes, p90.Round(time.Millisecond), worst.Round(time.Millisecond))
			if p90 > readyIn {
				t.Errorf("ready after %v (p90)", p90)
			}
		})
	}
}

// A process that takes the place of another is ready in time however that one ended, and whatever it left behind: killed with
// connections open, still leaving under the same addresses, a folder that is full of its files or can't be used.
func TestAProcessAfterAnother(t *testing.T) {
	t.Parallel()
	entries, _ := newCounters(t, 600*time.Millisecond, "a", "b")
	s := newService(t, entries)
	s.up()
	held := func(_ *testing.T, p *process) { // a lookup that is out
		go lookup(p.listen, "/read/slow", fmt.Sprintf("slow-%d", time.Now().UnixNano()), 3*time.Second)
		time.Sleep(100 * time.Millisecond)
	}
	ready := func(t *testing.T, p *process) time.Duration {
		t.Helper()
		after, yes := p.ready(readyIn)
		if !yes {
			t.Fatalf("not ready after %v:\n%s", after, tail(p.log.String()))
		}
		return after
	}
	again := func(t *testing.T, p *process, within time.Duration) {
		t.Helper()
		old := p.Cmd
		p.start(t)
		ended := make(chan error, 1)
		go func() { ended <- old.Wait() }()
		if !waitFor(within, func() bool { return call(p.admin, "GET", "/status") == http.StatusOK }) {
			t.Fatalf("no yes within %v:\n%s", within, tail(p.log.String()))
		}
		<-ended // the yes may be the old one's as long as it lives
		after := ready(t, p)
		if status, body := lookup(p.listen, "/read/k", "after", 3*time.Second); status != http.StatusOK {
			t.Errorf("%d %q", status, body)
		}
		t.Logf("ready %v after its start", after.Round(time.Millisecond))
		p.stop(t)
	}
	t.Run("killed with connections open", func(t *testing.T) {
		t.Parallel()
		p := newProcess(t, s.address, nil)
		p.start(t)
		ready(t, p)
		held(t, p)
		_ = p.Process.Kill()
		again(t, p, readyIn)
	})
	t.Run("killed among idle clients", func(t *testing.T) { // who come again at once, and take every place
		t.Parallel()
		p := newProcess(t, s.address, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 64}})
		p.start(t)
		ready(t, p)
		idle := &crowd{stop: make(chan struct{})}
		defer func() {
			close(idle.stop)
			idle.clients.Wait()
		}()
		idle.fill(p.listen, 64, func(int) bool { return false })
		time.Sleep(500 * time.Millisecond)
		_ = p.Process.Kill()
		again(t, p, readyIn)
	})
	t.Run("still leaving", func(t *testing.T) {
		t.Parallel()
		p := newProcess(t, s.address, nil)
		p.start(t)
		ready(t, p)
		held(t, p)
		_ = p.Process.Signal(syscall.SIGTERM)
		again(t, p, readyIn)
	})
	t.Run("killed a while after", func(t *testing.T) { // stopped, so that it keeps its addresses until it is killed
		t.Parallel()
		p := newProcess(t, s.address, nil)
		p.start(t)
		ready(t, p)
		_ = p.Process.Signal(syscall.SIGSTOP)
		old := p.Process
		time.AfterFunc(1500*time.Millisecond, func() { _ = old.Kill() })
		again(t, p, readyIn)
	})
	t.Run("told to end while it waits", func(t *testing.T) {
		t.Parallel()
		p := newProcess(t, s.address, nil)
		taken := listenAt(t, p.listen)
		defer taken.Close()
		p.start(t)
		if !waitFor(readyIn, func() bool { return strings.Contains(p.log.String(), "address is in use, waiting for it") }) {
			t.Errorf("no line of its waiting:\n%s", tail(p.log.String()))
		}
		p.stop(t)
	})
	t.Run("a folder that isn't there", func(t *testing.T) {
		t.Parallel()
		p := newProcess(t, s.address, nil)
		p.env = append(p.env, "TMPDIR="+filepath.Join(t.TempDir(), "none"))
		p.start(t)
		ready(t, p)
		p.stop(t)
	})
	t.Run("a folder of others' files", func(t *testing.T) {
		t.Parallel()
		p := newProcess(t, s.address, nil)
		folder := t.TempDir()
		p.env = append(p.env, "TMPDIR="+folder)
		for i := range 500 {
			if err := os.WriteFile(filepath.Join(folder, fmt.Sprintf("thistlerudder-127.0.0.1_%d.seats", i)), nil, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if err := os.Mkdir(filepath.Join(folder, "thistlerudder-"+strings.ReplaceAll(p.listen, ":", "_")+".seats"), 0o700); err != nil {
			t.Fatal(err)
		}
		p.start(t)
		ready(t, p)
		p.stop(t)
	})
}
