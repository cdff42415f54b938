package soaktest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	troublesEvery = 60 * time.Millisecond // a new one begins, on average
	troubleLeast  = 200 * time.Millisecond
	troubleMost   = 2500 * time.Millisecond
	stallMost     = 150 * time.Millisecond // as the operators say
	drainFor      = 1200 * time.Millisecond
	drainedMost   = 3 // servers that drain or are away at a time
)

// trouble lets troubles come, so that some overlap at all times, until the run's time is over and the last has ended.
func (w *world) trouble(ctx context.Context, r *rand.Rand) error {
	var going sync.WaitGroup
	defer going.Wait()
	failed := make(chan error, 1)
	away := make(chan struct{}, drainedMost)
	over := time.After(w.plan.For)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-over:
			return nil
		case err := <-failed:
			return err
		case <-time.After(span(r, 0, 2*troublesEvery)):
		}
		act := w.drawTrouble(rand.New(rand.NewPCG(r.Uint64(), 3)), away)
		going.Go(func() {
			if err := act(); err != nil {
				select {
				case failed <- err:
				default:
				}
			}
		})
	}
}

// drawTrouble draws the next trouble.
func (w *world) drawTrouble(r *rand.Rand, away chan struct{}) func() error {
	x := w.nodes[r.IntN(len(w.nodes))]
	onNode := func(name string, act func() error) func() error {
		return func() error {
			if !x.busy.TryLock() {
				return nil
			}
			defer x.busy.Unlock()
			w.struck.add("node: "+name, 1)
			return act()
		}
	}
	switch roll := r.Float64(); {
	case roll < 0.10:
		return onNode("SIGTERM and restart", x.restart)
	case roll < 0.14:
		return onNode("killed", x.kill)
	case roll < 0.30:
		s := span(r, 10*time.Millisecond, stallMost)
		return onNode("stalled", func() error { return x.stall(s) })
	case roll < 0.40:
		n := 1 + r.IntN(4)
		return onNode("reloaded", func() error { return x.reload(n) })
	case roll < 0.46 && x.socket != nil:
		return onNode("handed over", x.handOver)
	case roll < 0.60:
		return func() error { return w.replace(r, away) }
	case roll < 0.66:
		return func() error { return w.disturbDiscovery(r) }
	default:
		return func() error { return w.disturbServer(r) }
	}
}

// disturbServer lets a server answer badly for a while.
func (w *world) disturbServer(r *rand.Rand) error {
	w.mu.Lock()
	var all []*server
	for n := range w.plan.Caches {
		if s := w.servers[fmt.Sprintf("c%d", n)]; s != nil {
			all = append(all, s)
		}
	}
	s := all[r.IntN(len(all))]
	if r.IntN(6) == 0 {
		s = w.servers["origin"]
	}
	w.mu.Unlock()
	m := pick(r, append(troubles, twice, twice)...) // the one that is met least
	s.trouble(m, 0.1+0.6*r.Float64())
	time.Sleep(span(r, troubleLeast, troubleMost))
	s.trouble(m, 0)
	return nil
}

// disturbDiscovery lets the service of the list fail for a while.
func (w *world) disturbDiscovery(r *rand.Rand) error {
	mode := pick(r, "refusing", "silent", "slow")
	w.struck.add("discovery: "+mode, 1)
	w.discovery.turn(mode)
	time.Sleep(span(r, troubleLeast, troubleMost))
	w.discovery.turn("")
	return nil
}

// replace drains a server, or lets it die, and brings it back cold at another address.
func (w *world) replace(r *rand.Rand, away chan struct{}) error {
	select {
	case away <- struct{}{}:
		defer func() { <-away }()
	default:
		return nil // enough are away
	}
	id := fmt.Sprintf("c%d", r.IntN(w.plan.Caches))
	w.mu.Lock()
	old := w.servers[id]
	delete(w.servers, id)
	w.mu.Unlock()
	if old == nil {
		return nil
	}
	e := w.discovery.get(id)
	if r.IntN(3) > 0 {
		w.struck.add("server: drains", 1)
		e.State = "Terminating"
		w.discovery.set(e)
		time.Sleep(drainFor)
	} else {
		w.struck.add("server: dies", 1)
	}
	old.die()
	e.State = "Gone"
	w.discovery.set(e)
	time.Sleep(span(r, 0, time.Second))
	s := newServer(id, false, w.ledger, w.struck, r.Uint64())
	if err := s.start(); err != nil {
		return err
	}
	w.mu.Lock()
	w.servers[id] = s
	w.mu.Unlock()
	e.State, e.Address, e.Started = "Ready", s.address(), time.Now().UnixMilli()
	w.discovery.set(e)
	return nil
}
