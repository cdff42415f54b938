// Package faulttest starts several real processes of the program on loopback, lets all talk between them go through relays of
// its own, strikes them with faults by a seeded script, and judges what they did by their records. The judge shares no
// code with the program.
package faulttest

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is one way from a process to another, with all connections on it.
type link struct {
	listener net.Listener
	target   string
	forth    flow // from who dials
	back     flow

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// flow is one direction of a link. What is held is neither lost nor told of: the connection stays open, as where a
// machine vanished or a way is cut.
type flow struct {
	held  atomic.Bool
	delay atomic.Int64
}

// chunk is what came in one read, and when it is to go on.
type chunk struct {
	bytes []byte
	due   time.Time
}

const (
	holdLook   = 2 * time.Millisecond
	chunksMost = 256 // on the way on one connection; beyond, who sends waits
)

func newLink(at, target string) (*link, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, conns: map[net.Conn]bool{}}
	go k.serve()
	return k, nil
}

func (k *link) serve() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.join(c)
	}
}

func (k *link) keep(c net.Conn, is bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if is {
		k.conns[c] = true
	} else {
		delete(k.conns, c)
	}
}

func (k *link) join(c net.Conn) {
	defer c.Close()
	k.keep(c, true)
	defer k.keep(c, false)
	for k.forth.held.Load() || k.back.held.Load() { // a cut way opens no connection
		time.Sleep(holdLook)
	}
	o, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		k.reset(c)
		return
	}
	defer o.Close()
	k.keep(o, true)
	defer k.keep(o, false)
	var both sync.WaitGroup
	carry := func(to, from net.Conn, f *flow) {
		defer to.Close()
		defer from.Close()
		chunks := make(chan chunk, chunksMost)
		both.Go(func() {
			defer close(chunks)
			for {
				buf := make([]byte, 16<<10)
				n, err := from.Read(buf)
				if n > 0 {
					chunks <- chunk{buf[:n], time.Now().Add(time.Duration(f.delay.Load()))}
				}
				if err != nil {
					return
				}
			}
		})
		for x := range chunks {
			time.Sleep(time.Until(x.due))
			for f.held.Load() {
				time.Sleep(holdLook)
			}
			if _, err := to.Write(x.bytes); err != nil {
				_ = from.Close()
				for range chunks { // until the reader has noticed
				}
				return
			}
		}
	}
	both.Go(func() { carry(o, c, &k.forth) })
	both.Go(func() { carry(c, o, &k.back) })
	both.Wait()
}

// reset ends a connection as a reset.
func (k *link) reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (k *link) resetAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		k.reset(c)
	}
}

func (k *link) close() {
	k.forth.held.Store(false)
	k.back.held.Store(false)
	_ = k.listener.Close()
	k.resetAll()
}
