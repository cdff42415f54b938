package soaktest

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// entry is a server as the list has it.
type entry struct {
	ID      string `json:"id"`
	Address string `json:"addr"`
	Kind    string `json:"kind"`
	State   string `json:"state"`
	Started int64  `json:"started_ms"`
	version int
}

// discovery is the list of all servers, and what is wrong with its service.
type discovery struct {
	ledger  *ledger
	mu      sync.Mutex
	version int
	entries map[string]*entry
	changed chan struct{}
	bytes   atomic.Int64 // told so far
	mode    string       // of the service now: "", refusing, silent or slow
}

func newDiscovery(l *ledger) *discovery {
	return &discovery{ledger: l, version: 1, entries: map[string]*entry{}, changed: make(chan struct{})}
}

// set changes entries, and lets watches tell of it.
func (d *discovery) set(all ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, e := range all {
		e.version = d.version
		d.entries[e.ID] = &e
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// get gives an entry.
func (d *discovery) get(id string) entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return *d.entries[id]
}

// turn sets what is wrong with the service.
func (d *discovery) turn(mode string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = mode
}

// discoveryHost is no host of the servers': one that died may still be listed, and its port must not be had by discovery.
const discoveryHost = "127.0.0.2"

// listener is the service for one process of a node, at an address of its own, so that it is known who was told.
type listener struct {
	d        *discovery
	audience *audience
	address  string
	server   *http.Server
}

// audience is a process of a node, and what it was told at any address.
type audience struct {
	ledger *ledger
	node   int
	life   *life
	mu     sync.Mutex
	told   map[string]string   // states, by server
	news   map[string]*drained // the latest drains, by server
	ended  bool
}

func newAudience(l *ledger, node int) *audience {
	a := &audience{ledger: l, node: node, life: &life{node: node, from: time.Now(), ready: map[string]time.Time{}}, told: map[string]string{},
		news: map[string]*drained{}}
	l.change(func() { l.lives = append(l.lives, a.life) })
	return a
}

// end says that the process has ended.
func (a *audience) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.ledger.change(func() {
		a.life.to = time.Now()
		for _, n := range a.news {
			n.ended = time.Now()
		}
	})
}

// listen opens the service for a process.
func (d *discovery) listen(to *audience) (*listener, error) {
	l, err := net.Listen("tcp", discoveryHost+":0")
	if err != nil {
		return nil, err
	}
	own := &listener{d: d, audience: to, address: l.Addr().String()}
	own.server = &http.Server{Handler: own}
	go func() { _ = own.server.Serve(l) }()
	return own, nil
}

// ServeHTTP answers a call for the list, or a watch.
func (l *listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	watch := r.URL.Query().Has("from")
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	until := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer until.Stop()
	for {
		l.d.mu.Lock()
		mode, changed, version := l.d.mode, l.d.changed, l.d.version
		l.d.mu.Unlock()
		switch mode {
		case "refusing":
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "silent":
			<-r.Context().Done()
			return
		case "slow":
			time.Sleep(300 * time.Millisecond)
		}
		if !watch || version > from {
			l.tell(w, r, watch, from, version)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			l.tell(w, r, watch, from, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// tell writes what changed since a version, and notes who is told of which drain.
func (l *listener) tell(w http.ResponseWriter, r *http.Request, watch bool, from, version int) {
	l.d.mu.Lock()
	list := []entry{}
	for _, e := range l.d.entries {
		if e.version <= version && (watch && e.version > from || !watch && e.State != "Gone") {
			list = append(list, *e)
		}
	}
	l.d.mu.Unlock()
	text, _ := json.Marshal(map[string]any{"version": version, "full": !watch, "servers": list})
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	l.d.bytes.Add(int64(len(text)))
	if _, err := w.Write(text); err != nil || http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
		return
	}
	l.audience.hears(list, !watch)
}

// hears notes what the process is told.
func (a *audience) hears(list []entry, whole bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.ID] = true
		a.state(e.ID, e.State, now)
	}
	for id := range a.told {
		if whole && !listed[id] { // a server that the whole list lacks is gone
			a.state(id, "Gone", now)
		}
	}
}

// state notes what the process is told of a server. Called with the lock held.
func (a *audience) state(id, state string, now time.Time) {
	drains := state != "Ready"
	last := a.news[id]
	a.told[id] = state
	a.ledger.change(func() {
		if _, before := a.life.ready[id]; !drains && !before {
			a.life.ready[id] = now
		}
		switch {
		case drains && !a.ended && (last == nil || !last.back.IsZero()):
			a.news[id] = &drained{server: id, node: a.node, by: a.life, told: now}
			a.ledger.drains = append(a.ledger.drains, a.news[id])
		case !drains && last != nil && last.back.IsZero():
			last.back = now
		}
	})
}
