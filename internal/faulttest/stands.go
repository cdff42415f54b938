package faulttest

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

// door is an effect outside the fleet that refuses an old token, as whoever guards a thing well does.
type door struct {
	address string
	server  *http.Server
	open    bool // it lets all pass: the safeguard is taken out
	mu      sync.Mutex
	last    uint64
	passes  []pass
}

func newDoor(address string, open bool) (*door, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &door{address: address, open: open}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.URL.Query().Get("token"), 10, 64)
	if err != nil {
		http.Error(w, "token: expected a number", http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p := pass{boot(), r.URL.Query().Get("who"), token, d.open || token >= d.last}
	d.passes = append(d.passes, p)
	if d.last = max(d.last, token); !p.passed {
		w.WriteHeader(http.StatusConflict)
	}
}

// holder is who passed last.
func (d *door) holder() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := len(d.passes) - 1; i >= 0; i-- {
		if d.passes[i].passed {
			return d.passes[i].who
		}
	}
	return ""
}

// stands are what a node serves beside: a cache, an origin, and the list of both.
type stands struct {
	servers   []*http.Server
	discovery string
}

func newStands(ip string) (*stands, error) {
	s := &stands{discovery: ip + ":8500"}
	serve := func(address string, h http.HandlerFunc) error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		x := &http.Server{Handler: h}
		s.servers = append(s.servers, x)
		go func() { _ = x.Serve(l) }()
		return nil
	}
	value := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "value") }
	list := map[string]any{"version": 1, "full": true, "servers": []map[string]string{
		{"id": "c", "addr": ip + ":8501", "kind": "box", "state": "Ready"},
		{"id": "o", "addr": ip + ":8502", "kind": "origin", "state": "Ready"}}}
	for address, h := range map[string]http.HandlerFunc{ip + ":8501": value, ip + ":8502": value,
		s.discovery: func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RawQuery != "" {
				select {
				case <-r.Context().Done():
				case <-time.After(10 * time.Second):
				}
			}
			_ = json.NewEncoder(w).Encode(list)
		}} {
		if err := serve(address, h); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *stands) close() {
	for _, x := range s.servers {
		_ = x.Close()
	}
}

// client asks one node for something, again and again. Whatever becomes of the fleet, a node that runs answers.
type client struct {
	asked, served, failed atomic.Int64
	why                   atomic.Value // of the first that failed
}

const askEvery = 25 * time.Millisecond

func (c *client) run(address string, done <-chan struct{}, excused func(from int64) bool) {
	h := &http.Client{Timeout: 2 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(askEvery):
		}
		r, _ := http.NewRequest("GET", fmt.Sprintf("http://%s/read/k%d", address, i%100), nil)
		r.Header.Set("X-Trace-Id", fmt.Sprintf("%s-%d", address, i))
		r.Header.Set("X-Expires-In", "700m")
		from := boot()
		resp, err := h.Do(r)
		if err == nil {
			_ = resp.Body.Close()
		}
		c.asked.Add(1)
		switch {
		case err == nil && resp.StatusCode == http.StatusOK:
			c.served.Add(1)
		case !excused(from):
			c.failed.Add(1)
			what := fmt.Sprint(err)
			if err == nil {
				what = resp.Status
			}
			c.why.CompareAndSwap(nil, fmt.Sprintf("%s after %v: %s", address, time.Duration(boot()-from).Round(time.Millisecond), what))
		}
	}
}
