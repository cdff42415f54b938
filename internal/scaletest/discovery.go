package scaletest

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a server of the endpoint list in the discovery service's JSON format, with its region and zone.
type Entry struct {
	ID        string  `json:"id"`
	Address   string  `json:"addr"`
	Kind      string  `json:"kind"`
	State     string  `json:"state"`
	StartedMs float64 `json:"started_ms"`
	Region    string  `json:"region"`
	Zone      string  `json:"zone"`
}

// listResponse is the body of a response: the full list, or the entries changed since the requested version.
type listResponse struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

const (
	maxKeptVersions = 1024 // a client with an older version gets the full list
	maxHold         = 20 * time.Second
)

// CallCounts counts the responses of a DiscoveryServer by type.
type CallCounts struct {
	FullLists int64 `json:"Whole"`
	Changes   int64 `json:"Changes"`
	Empty     int64 `json:"Empty"`
}

// DiscoveryServer simulates the discovery service. A request without a version gets the full list. A request with a version is
// held until entries have changed since that version (long polling), and gets the changed entries. Each response body is encoded
// once for all clients that request the same.
type DiscoveryServer struct {
	mu             sync.Mutex
	version        int64
	entries        map[string]Entry
	ids            []string
	changedIDs     [][]string       // ids of the entries that each version changed, the latest version last
	encodedList    []byte           // full list at this version, nil: not encoded yet
	encodedChanges map[int64][]byte // by the version that the client has
	nextChange     chan struct{}    // closed at the next change
	callCounts     CallCounts
}

// NewDiscoveryServer returns a server whose list has the given entries in this order.
func NewDiscoveryServer(entries []Entry) *DiscoveryServer {
	d := &DiscoveryServer{version: 1, entries: map[string]Entry{}, nextChange: make(chan struct{}), encodedChanges: map[int64][]byte{}}
	for _, e := range entries {
		d.entries[e.ID] = e
		d.ids = append(d.ids, e.ID)
	}
	return d
}

// ChangeEntries replaces entries by their ids, as one version, and returns that version. It ignores unknown ids.
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

// CallCounts returns the number of responses so far.
func (d *DiscoveryServer) CallCounts() CallCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callCounts
}

// fullList returns the encoded full list. The caller holds d.mu.
func (d *DiscoveryServer) fullList() []byte {
	d.callCounts.FullLists++
	if d.encodedList == nil {
		list := listResponse{Version: d.version, Full: true, Servers: []Entry{}}
		for _, id := range d.ids {
			if e := d.entries[id]; e.State != "Gone" {
				list.Servers = append(list.Servers, e)
			}
		}
		d.encodedList = encodeJSON(list)
	}
	return d.encodedList
}

// changesSince returns the encoded changes since a version, or nil if there are none. The caller holds d.mu.
func (d *DiscoveryServer) changesSince(version int64) []byte {
	versionsBehind := int(d.version - version)
	switch {
	case versionsBehind == 0:
		return nil
	case versionsBehind < 0 || versionsBehind > len(d.changedIDs): // the version is from another run of the service, or too old
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
		d.encodedChanges[version] = encodeJSON(changes)
	}
	return d.encodedChanges[version]
}

func encodeJSON(list listResponse) []byte {
	var b bytes.Buffer
	_ = json.NewEncoder(&b).Encode(list)
	return b.Bytes()
}

// ServeHTTP returns the endpoint list, or its changes since the version in the query parameter from. It waits for a change for
// at most hold_ms.
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
				body = encodeJSON(listResponse{Version: d.version, Servers: []Entry{}})
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
