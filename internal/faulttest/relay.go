// Package faulttest tests a cluster of real processes under faults. It starts the processes on loopback addresses, routes all
// traffic between them through its own relays, injects a seeded sequence of faults, and then checks leases and budgets by the
// events that the processes and backends recorded. The checks share no code with the program.
package faulttest

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relay forwards the connections that one node opens to another.
type relay struct {
	listener net.Listener
	target   string         // address
	toTarget relayDirection // from the node that opens the connections
	toDialer relayDirection // to the node that opens the connections

	mu    sync.Mutex
	conns map[net.Conn]bool // open connections, from dialers and to the target
}

// relayDirection controls one direction of a relay. While it is blocked, the relay holds the data back and keeps the connections open,
// as when a machine loses power or a network is partitioned.
type relayDirection struct {
	blocked atomic.Bool
	delayNs atomic.Int64 // from the reading of data until it is forwarded
}

// chunk holds the data of one read and the time at which to forward it.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

const (
	blockedPollInterval = 2 * time.Millisecond
	maxQueuedChunks     = 256 // per connection and direction; when the queue is full, the relay stops reading from the sender
)

func newRelay(listenAddr, target string) (*relay, error) {
	l, err := net.Listen("tcp", listenAddr)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, conns: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

func (r *relay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

// track adds a connection to conns, or removes it once it is closed.
func (r *relay) track(c net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.conns[c] = true
	} else {
		delete(r.conns, c)
	}
}

// forward opens a connection to the target and forwards data in both directions until one of the connections ends.
func (r *relay) forward(dialer net.Conn) {
	defer dialer.Close()
	r.track(dialer, true)
	defer r.track(dialer, false)
	for r.toTarget.blocked.Load() || r.toDialer.blocked.Load() { // a blocked relay opens no connection to its target
		time.Sleep(blockedPollInterval)
	}
	upstream, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		r.reset(dialer)
		return
	}
	defer upstream.Close()
	r.track(upstream, true)
	defer r.track(upstream, false)
	var copying sync.WaitGroup
	copyDirection := func(dst, src net.Conn, direction *relayDirection) {
		defer dst.Close()
		defer src.Close()
		chunks := make(chan chunk, maxQueuedChunks)
		copying.Go(func() {
			defer close(chunks)
			for {
				data := make([]byte, 16<<10)
				n, err := src.Read(data)
				if n > 0 {
					chunks <- chunk{data[:n], time.Now().Add(time.Duration(direction.delayNs.Load()))}
				}
				if err != nil {
					return
				}
			}
		})
		for c := range chunks {
			time.Sleep(time.Until(c.deliverAt))
			for direction.blocked.Load() {
				time.Sleep(blockedPollInterval)
			}
			if _, err := dst.Write(c.data); err != nil {
				_ = src.Close()
				for range chunks { // drain, so that the reading goroutine can exit
				}
				return
			}
		}
	}
	copying.Go(func() { copyDirection(upstream, dialer, &r.toTarget) })
	copying.Go(func() { copyDirection(dialer, upstream, &r.toDialer) })
	copying.Wait()
}

// reset closes a connection with a TCP reset.
func (r *relay) reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (r *relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		r.reset(c)
	}
}

func (r *relay) close() {
	r.toTarget.blocked.Store(false)
	r.toDialer.blocked.Store(false)
	_ = r.listener.Close()
	r.resetAll()
}
