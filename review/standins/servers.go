package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// serve plays discovery and the servers until the process is killed.
func serve(discoveryAddress, addresses string, endless int, rec *recorder) error {
	all := strings.Split(addresses, ",")
	ended := make(chan error)
	for i, address := range all {
		if err := listenAndServe(address, &cacheServer{id: fmt.Sprintf("s-%d", i+1), endless: int64(endless), record: rec}, ended); err != nil {
			return err
		}
	}
	if err := listenAndServe(discoveryAddress, discovery{listEntries(all)}, ended); err != nil {
		return err
	}
	return <-ended
}

// listEntries returns the entries of discovery's list; the last server is the origin.
func listEntries(addresses []string) (entries []map[string]any) {
	for i, address := range addresses {
		kind := "fast-box"
		if i == len(addresses)-1 {
			kind = "origin"
		}
		entries = append(entries, map[string]any{"id": fmt.Sprintf("s-%d", i+1), "addr": address, "zone": "dar-ubungo", "kind": kind, "cell": 0,
			"state": "Ready", "weight": 1.0, "started_ms": 0})
	}
	return entries
}

func listenAndServe(address string, h http.Handler, ended chan<- error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { ended <- http.Serve(l, h) }()
	return nil
}

// discovery serves a list that does not change: the whole list to a poll, and no changes to a watch once its wait is over.
type discovery struct{ entries []map[string]any }

const listVersion = 41

func (d discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	list := map[string]any{"version": listVersion, "full": true, "servers": d.entries}
	if r.URL.Query().Get("from") == strconv.Itoa(listVersion) {
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		select {
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		list["full"] = false
		list["servers"] = []any{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// cacheServer is a cache server or the origin. It has every key.
type cacheServer struct {
	id      string
	endless int64 // each so many-th answer to a write is spoilt and never ends; 0: none
	record  *recorder
	writes  atomic.Int64
}

const (
	pieces       = 4 // of a sound answer
	pieceBytes   = 100
	pieceEvery   = 10 * time.Millisecond
	endlessEvery = 50 * time.Millisecond // between the pieces of an answer that never ends
)

// ServeHTTP answers a request in pieces, without a length ahead, so in chunks. A spoilt answer goes on until its connection is closed.
func (s *cacheServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	spoilt := r.Method == http.MethodPut && s.endless > 0 && s.writes.Add(1)%s.endless == 0
	s.record.note("%s runs %s %s id=%s body=%d bytes, spoilt=%v", s.id, r.Method, r.URL.Path, id, len(body), spoilt)
	control := http.NewResponseController(w)
	piece := strings.Repeat("v", pieceBytes)
	for i := 0; i < pieces || spoilt; i++ {
		if _, err := io.WriteString(w, piece); err != nil {
			break
		}
		if control.Flush() != nil {
			break
		}
		pause := pieceEvery
		if spoilt {
			pause = endlessEvery
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			s.record.note("%s sees the connection of id=%s closed", s.id, id)
			return
		}
	}
}
