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

// guardedResource is a resource outside the cluster that checks fencing tokens: it rejects requests whose token is lower than
// one that it has seen.
type guardedResource struct {
	addr      string
	server    *http.Server
	acceptAll bool // the safeguard door-token is disabled
	mu        sync.Mutex
	maxToken  uint64
	requests  []resourceRequest
}

func newGuardedResource(addr string, acceptAll bool) (*guardedResource, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	g := &guardedResource{addr: addr, acceptAll: acceptAll}
	g.server = &http.Server{Handler: g}
	go func() { _ = g.server.Serve(l) }()
	return g, nil
}

func (g *guardedResource) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.URL.Query().Get("token"), 10, 64)
	if err != nil {
		http.Error(w, "token: expected a number", http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	request := resourceRequest{bootTimeNs(), r.URL.Query().Get("who"), token, g.acceptAll || token >= g.maxToken}
	g.requests = append(g.requests, request)
	if g.maxToken = max(g.maxToken, token); !request.accepted {
		w.WriteHeader(http.StatusConflict)
	}
}

// lastHolder returns the name of the node whose request was accepted last, and "" before the first.
func (g *guardedResource) lastHolder() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := len(g.requests) - 1; i >= 0; i-- {
		if g.requests[i].accepted {
			return g.requests[i].node
		}
	}
	return ""
}

// stubBackends are the backends of a run that tests leases: a cache, an origin, and the discovery service that lists them.
type stubBackends struct {
	servers       []*http.Server
	discoveryAddr string
}

func newStubBackends(ip string) (*stubBackends, error) {
	b := &stubBackends{discoveryAddr: ip + ":8500"}
	serve := func(addr string, handler http.HandlerFunc) error {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler}
		b.servers = append(b.servers, server)
		go func() { _ = server.Serve(l) }()
		return nil
	}
	value := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "value") }
	list := map[string]any{"version": 1, "full": true, "servers": []map[string]string{
		{"id": "c", "addr": ip + ":8501", "kind": "box", "state": "Ready"},
		{"id": "o", "addr": ip + ":8502", "kind": "origin", "state": "Ready"}}}
	for addr, handler := range map[string]http.HandlerFunc{ip + ":8501": value, ip + ":8502": value,
		b.discoveryAddr: func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RawQuery != "" {
				select {
				case <-r.Context().Done():
				case <-time.After(10 * time.Second):
				}
			}
			_ = json.NewEncoder(w).Encode(list)
		}} {
		if err := serve(addr, handler); err != nil {
			b.close()
			return nil, err
		}
	}
	return b, nil
}

func (b *stubBackends) close() {
	for _, server := range b.servers {
		_ = server.Close()
	}
}

// lookupClient sends lookups to a node at lookupInterval. A running node has to serve them whatever the state of the cluster.
type lookupClient struct {
	sent, served, unserved atomic.Int64
	firstUnserved          atomic.Value // description of the first unserved lookup
}

const lookupInterval = 25 * time.Millisecond

func (c *lookupClient) run(address string, done <-chan struct{}, excused func(startNs int64) bool) {
	httpClient := &http.Client{Timeout: 2 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(lookupInterval):
		}
		req, _ := http.NewRequest("GET", fmt.Sprintf("http://%s/read/k%d", address, i%100), nil)
		req.Header.Set("X-Trace-Id", fmt.Sprintf("%s-%d", address, i))
		req.Header.Set("X-Expires-In", "700m")
		startNs := bootTimeNs()
		resp, err := httpClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		c.sent.Add(1)
		switch {
		case err == nil && resp.StatusCode == http.StatusOK:
			c.served.Add(1)
		case !excused(startNs):
			c.unserved.Add(1)
			outcome := fmt.Sprint(err)
			if err == nil {
				outcome = resp.Status
			}
			c.firstUnserved.CompareAndSwap(nil, fmt.Sprintf("%s after %v: %s", address, time.Duration(bootTimeNs()-startNs).Round(time.Millisecond), outcome))
		}
	}
}
