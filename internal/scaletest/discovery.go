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
	ID      string  `json:"id"`
	Address string  `json:"addr"`
	Kind    string  `json:"kind"`
	State   string  `json:"state"`
	Started float64 `json:"started_ms"`
	Region  string  `json:"region"`
	Zone    string  `json:"zone"`
}

// page is an answer.
type page struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

const (
	changesKept = 1024 // who asks from before them is told all
	holdMost    = 20 * time.Second
)

// Calls counts what was asked of the stand-in.
type Calls struct{ Whole, Changes, Empty int64 }

// Directory stands in for the discovery service: it gives the list whole, or holds a call until there are changes since a
// version and gives these. An answer's text is made once for all who wait for the same.
type Directory struct {
	mu      sync.Mutex
	version int64
	entries map[string]Entry
	order   []string
	changes [][]string // ids by version, the latest last
	whole   []byte     // of this version, nil: not made yet
	since   map[int64][]byte
	changed chan struct{} // closed with the next change
	calls   Calls
}

// NewDirectory makes one.
func NewDirectory(entries []Entry) *Directory {
	d := &Directory{version: 1, entries: map[string]Entry{}, changed: make(chan struct{}), since: map[int64][]byte{}}
	for _, e := range entries {
		d.entries[e.ID] = e
		d.order = append(d.order, e.ID)
	}
	return d
}

// Change changes entries that are known, as one version, and tells which.
func (d *Directory) Change(entries []Entry) int64 {
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
	if d.changes = append(d.changes, ids); len(d.changes) > changesKept {
		d.changes = d.changes[1:]
	}
	d.whole, d.since = nil, map[int64][]byte{}
	close(d.changed)
	d.changed = make(chan struct{})
	return d.version
}

// Calls tells what was asked so far.
func (d *Directory) Calls() Calls {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// all gives the whole list's text. Called with the lock held.
func (d *Directory) all() []byte {
	d.calls.Whole++
	if d.whole == nil {
		p := page{Version: d.version, Full: true, Servers: []Entry{}}
		for _, id := range d.order {
			if e := d.entries[id]; e.State != "Gone" {
				p.Servers = append(p.Servers, e)
			}
		}
		d.whole = text(p)
	}
	return d.whole
}

// news gives the text of what has changed since a version; nil: nothing has. Called with the lock held.
func (d *Directory) news(from int64) []byte {
	back := int(d.version - from)
	switch {
	case back == 0:
		return nil
	case back < 0 || back > len(d.changes): // of another run of the service, or too old
		return d.all()
	}
	d.calls.Changes++
	if d.since[from] == nil {
		p, told := page{Version: d.version, Servers: []Entry{}}, map[string]bool{}
		for _, ids := range d.changes[len(d.changes)-back:] {
			for _, id := range ids {
				if !told[id] {
					told[id] = true
					p.Servers = append(p.Servers, d.entries[id])
				}
			}
		}
		d.since[from] = text(p)
	}
	return d.since[from]
}

func text(p page) []byte {
	var b bytes.Buffer
	_ = json.NewEncoder(&b).Encode(p)
	return b.Bytes()
}

func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	hold, _ := strconv.Atoi(q.Get("hold_ms"))
	var body []byte
	if err != nil {
		d.mu.Lock()
		body = d.all()
		d.mu.Unlock()
	} else {
		end := time.NewTimer(min(holdMost, time.Duration(hold)*time.Millisecond))
		defer end.Stop()
		for over := false; body == nil; {
			d.mu.Lock()
			changed := d.changed
			if body = d.news(from); body == nil && over {
				d.calls.Empty++
				body = text(page{Version: d.version, Servers: []Entry{}})
			}
			d.mu.Unlock()
			if body != nil {
				break
			}
			select {
			case <-changed:
			case <-end.C:
				over = true
			case <-r.Context().Done():
				return
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
