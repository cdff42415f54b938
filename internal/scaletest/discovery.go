package scaletest

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a machine on the list, in the discovery service's form, with its place beside.
type Entry struct {
	ID        string  `json:"id"`
	Address   string  `json:"addr"`
	Kind      string  `json:"kind"`
	State     string  `json:"state"`
	StartedMs float64 `json:"started_ms"`
	Region    string  `json:"region"`
	Zone      string  `json:"zone"`
}

// page is an answer.
type listResponse struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

const (
	maxKeptVersions = 1024 // who asks from before them is told all
	maxHold         = 20 * time.Second
)

// Calls counts what was asked of the stand-in.
type CallCounts struct {
	FullLists int64 `json:"Whole"`
	Changes   int64 `json:"Changes"`
	Empty     int64 `json:"Empty"`
}

// Directory stands in for the discovery service: it gives the list whole, or holds a call until there are changes since a
// version and gives these. An answer's text is made once for all who wait for the same.
type DiscoveryServer struct {
	mu             sync.Mutex
	version        int64
	entries        map[string]Entry
	ids            []string
	changedIDs     [][]string // ids by version, the latest last
	encodedList    []byte     // of this version, nil: not made yet
	encodedChanges map[int64][]byte
	nextChange     chan struct{} // closed with the next change
	callCounts     CallCounts
}

// NewDirectory makes one.
func NewDiscoveryServer(entries []Entry) *DiscoveryServer {
	d := &DiscoveryServer{version: 1, entries: map[string]Entry{}, nextChange: make(chan struct{}), encodedChanges: map[int64][]byte{}}
	for _, e := range entries {
		d.entries[e.ID] = e
		d.ids = append(d.ids, e.ID)
	}
	return d
}

// Change changes entries that are known, as one version, and tells which.
func (d *DiscoveryServer) ChangeEntries(entries []Entry) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for _, e := range entries {
		if _, known := d.entries[e.ID]; known {
			d.entries[e.ID] = e
			ids = append(ids, e.ID)
		}
	}
	d.version++
	if d.changedIDs = append(d.changedIDs, ids); len(d.changedIDs) > maxKeptVersions {
		d.changedIDs = d.changedIDs[1:]
	}
	d.encodedList, d.encodedChanges = nil, map[int64][]byte{}
	close(d.nextChange)
	d.nextChange = make(chan struct{})
	return d.version
}

// Calls tells what was asked so far.
func (d *DiscoveryServer) CallCounts() CallCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callCounts
}

// all gives the whole list's text. Called with the lock held.
func (d *DiscoveryServer) fullList() []byte {
	d.callCounts.FullLists++
	if d.encodedList == nil {
		list := listResponse{Version: d.version, Full: true, Servers: []Entry{}}
		for _, id := range d.ids {
			if e := d.entries[id]; e.State != "Gone" {
				list.Servers = append(list.Servers, e)
			}
		}
		d.encodedList = encode(list)
	}
	return d.encodedList
}

// news gives the text of what has changed since a version; nil: nothing has. Called with the lock held.
func (d *DiscoveryServer) changesSince(version int64) []byte {
	versionsBehind := int(d.version - version)
	switch {
	case versionsBehind == 0:
		return nil
	case versionsBehind < 0 || versionsBehind > len(d.changedIDs): // of another run of the service, or too old
		return d.fullList()
	}
	d.callCounts.Changes++
	if d.encodedChanges[version] == nil {
		changes, added := listResponse{Version: d.version, Servers: []Entry{}}, map[string]bool{}
		for _, ids := range d.changedIDs[len(d.changedIDs)-versionsBehind:] {
			for _, id := range ids {
				if !added[id] {
					added[id] = true
					changes.Servers = append(changes.Servers, d.entries[id])
				}
			}
		}
		d.encodedChanges[version] = encode(changes)
	}
	return d.encodedChanges[version]
}

func encode(list listResponse) []byte {
	var b bytes.Buffer
	_ = json.NewEncoder(&b).Encode(list)
	return b.Bytes()
}

func (d *DiscoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	version, err := strconv.ParseInt(q.Get("from"), 10, 64)
	holdMs, _ := strconv.Atoi(q.Get("hold_ms"))
	var body []byte
	if err != nil {
		d.mu.Lock()
		body = d.fullList()
		d.mu.Unlock()
	} else {
		holdTimer := time.NewTimer(min(maxHold, time.Duration(holdMs)*time.Millisecond))
		defer holdTimer.Stop()
		for holdExpired := false; body == nil; {
			d.mu.Lock()
			nextChange := d.nextChange
			if body = d.changesSince(version); body == nil && holdExpired {
				d.callCounts.Empty++
				body = encode(listResponse{Version: d.version, Servers: []Entry{}})
			}
			d.mu.Unlock()
			if body != nil {
				break
			}
			select {
			case <-nextChange:
			case <-holdTimer.C:
				holdExpired = true
			case <-r.Context().Done():
				return
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
