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

// entry is a server in the endpoint list.
type entry struct {
	ID      string `json:"id"`
	Address string `json:"addr"`
	Kind    string `json:"kind"`
	State   string `json:"state"`
	Started int64  `json:"started_ms"`
	version int    // version of the list that last changed the entry
}

// discovery holds the endpoint list and the current fault of the discovery service.
type discovery struct {
	recorder  *recorder
	mu        sync.Mutex
	version   int
	entries   map[string]*entry
	changed   chan struct{} // closed at the next change
	bytesSent atomic.Int64  // total size of the responses, including any that could not be delivered
	fault     string        // "refusing": responds with 503; "silent": never responds; "slow": delays responses; empty: no fault
}

func newDiscovery(rec *recorder) *discovery {
	return &discovery{recorder: rec, version: 1, entries: map[string]*entry{}, changed: make(chan struct{})}
}

// set adds or replaces entries as one new version of the list, and wakes the watches.
func (d *discovery) set(changes ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, e := range changes {
		e.version = d.version
		d.entries[e.ID] = &e
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// get returns an entry, which has to exist.
func (d *discovery) get(id string) entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return *d.entries[id]
}

// setFault sets the fault of the service; an empty one ends it.
func (d *discovery) setFault(fault string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
}

// discoveryHost differs from the host of the servers. Nodes may send requests to a server that has ended but is still in the list, so
// no discovery server may listen at the same address and port.
const discoveryHost = "127.0.0.2"

// discoveryServer serves the list to one process of a node at an address of its own, so that it is known which process received a
// change.
type discoveryServer struct {
	discovery  *discovery
	view       *processView
	address    string
	httpServer *http.Server
}

// processView records which states of servers one process of a node has received, at any of its discovery addresses.
type processView struct {
	recorder     *recorder
	nodeIndex    int
	record       *processRecord
	mu           sync.Mutex
	states       map[string]string       // last state received, by server ID
	latestDrains map[string]*drainNotice // latest drain notice, by server ID
	ended        bool                    // the process has ended
}

func newProcessView(rec *recorder, nodeIndex int) *processView {
	v := &processView{recorder: rec, nodeIndex: nodeIndex, record: &processRecord{nodeIndex: nodeIndex, startedAt: time.Now(), firstReadyAt: map[string]time.Time{}}, states: map[string]string{},
		latestDrains: map[string]*drainNotice{}}
	rec.update(func() { rec.processes = append(rec.processes, v.record) })
	return v
}

// markEnded records that the process has ended.
func (v *processView) markEnded() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ended = true
	v.recorder.update(func() {
		v.record.endedAt = time.Now()
		for _, notice := range v.latestDrains {
			notice.processEndedAt = time.Now()
		}
	})
}

// listen serves the list to a process at a new address.
func (d *discovery) listen(view *processView) (*discoveryServer, error) {
	l, err := net.Listen("tcp", discoveryHost+":0")
	if err != nil {
		return nil, err
	}
	ds := &discoveryServer{discovery: d, view: view, address: l.Addr().String()}
	ds.httpServer = &http.Server{Handler: ds}
	go func() { _ = ds.httpServer.Serve(l) }()
	return ds, nil
}

// ServeHTTP responds to a request for the whole list at once. A request whose query has "from" is a watch: ServeHTTP responds to it
// once the list's version is above "from", or after hold_ms milliseconds.
func (ds *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	watch := r.URL.Query().Has("from")
	fromVersion, _ := strconv.Atoi(r.URL.Query().Get("from"))
	holdMs, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	holdTimer := time.NewTimer(time.Duration(holdMs) * time.Millisecond)
	defer holdTimer.Stop()
	for {
		ds.discovery.mu.Lock()
		fault, changed, version := ds.discovery.fault, ds.discovery.changed, ds.discovery.version
		ds.discovery.mu.Unlock()
		switch fault {
		case "refusing":
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "silent":
			<-r.Context().Done()
			return
		case "slow":
			time.Sleep(300 * time.Millisecond)
		}
		if !watch || version > fromVersion {
			ds.respond(w, r, watch, fromVersion, version)
			return
		}
		select {
		case <-changed:
		case <-holdTimer.C:
			ds.respond(w, r, watch, fromVersion, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// respond writes the whole list or, for a watch, the entries changed after fromVersion. If the response could be sent, it records the
// entries in the process's view.
func (ds *discoveryServer) respond(w http.ResponseWriter, r *http.Request, watch bool, fromVersion, version int) {
	ds.discovery.mu.Lock()
	entries := []entry{}
	for _, e := range ds.discovery.entries {
		if e.version <= version && (watch && e.version > fromVersion || !watch && e.State != "Gone") {
			entries = append(entries, *e)
		}
	}
	ds.discovery.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"version": version, "full": !watch, "servers": entries})
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	ds.discovery.bytesSent.Add(int64(len(data)))
	if _, err := w.Write(data); err != nil || http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
		return
	}
	ds.view.observe(entries, !watch)
}

// observe records the entries of a response that the process has received. full tells whether they are the whole list.
func (v *processView) observe(entries []entry, full bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		v.observeState(e.ID, e.State, now)
	}
	for id := range v.states {
		if full && !listed[id] { // a server that is missing from a whole list is gone
			v.observeState(id, "Gone", now)
		}
	}
}

// observeState records the state of a server that the process has received. v.mu must be held.
func (v *processView) observeState(id, state string, now time.Time) {
	notReady := state != "Ready"
	last := v.latestDrains[id]
	v.states[id] = state
	v.recorder.update(func() {
		if _, recorded := v.record.firstReadyAt[id]; !notReady && !recorded {
			v.record.firstReadyAt[id] = now
		}
		switch {
		case notReady && !v.ended && (last == nil || !last.withdrawnAt.IsZero()):
			v.latestDrains[id] = &drainNotice{serverID: id, nodeIndex: v.nodeIndex, process: v.record, receivedAt: now}
			v.recorder.drainNotices = append(v.recorder.drainNotices, v.latestDrains[id])
		case !notReady && last != nil && last.withdrawnAt.IsZero():
			last.withdrawnAt = now
		}
	})
}
