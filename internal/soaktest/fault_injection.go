package soaktest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	meanFaultInterval = 60 * time.Millisecond // a new one begins, on average
	minFaultDuration  = 200 * time.Millisecond
	maxFaultDuration  = 2500 * time.Millisecond
	maxStall          = 150 * time.Millisecond // as the operators say
	drainDuration     = 1200 * time.Millisecond
	maxServersAway    = 3 // servers that drain or are away at a time
)

// trouble lets troubles come, so that some overlap at all times, until the run's time is over and the last has ended.
func (tb *testbed) injectFaults(ctx context.Context, rng *rand.Rand) error {
	var running sync.WaitGroup
	defer running.Wait()
	errs := make(chan error, 1)
	awaySlots := make(chan struct{}, maxServersAway)
	runEnded := time.After(tb.plan.Duration)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-runEnded:
			return nil
		case err := <-errs:
			return err
		case <-time.After(randomDuration(rng, 0, 2*meanFaultInterval)):
		}
		inject := tb.drawFault(rand.New(rand.NewPCG(rng.Uint64(), 3)), awaySlots)
		running.Go(func() {
			if err := inject(); err != nil {
				select {
				case errs <- err:
				default:
				}
			}
		})
	}
}

// drawTrouble draws the next trouble.
func (tb *testbed) drawFault(rng *rand.Rand, awaySlots chan struct{}) func() error {
	nd := tb.nodes[rng.IntN(len(tb.nodes))]
	onNode := func(name string, inject func() error) func() error {
		return func() error {
			if !nd.faultMu.TryLock() {
				return nil
			}
			defer nd.faultMu.Unlock()
			tb.faultCounts.add("node: "+name, 1)
			return inject()
		}
	}
	switch roll := rng.Float64(); {
	case roll < 0.10:
		return onNode("SIGTERM and restart", nd.restart)
	case roll < 0.14:
		return onNode("killed", nd.kill)
	case roll < 0.30:
		stall := randomDuration(rng, 10*time.Millisecond, maxStall)
		return onNode("stalled", func() error { return nd.stall(stall) })
	case roll < 0.40:
		reloads := 1 + rng.IntN(4)
		return onNode("reloaded", func() error { return nd.reload(reloads) })
	case roll < 0.46 && nd.socket != nil:
		return onNode("handed over", nd.handOver)
	case roll < 0.60:
		return func() error { return tb.replaceServer(rng, awaySlots) }
	case roll < 0.66:
		return func() error { return tb.injectDiscoveryFault(rng) }
	default:
		return func() error { return tb.injectServerFault(rng) }
	}
}

// disturbServer lets a server answer badly for a while.
func (tb *testbed) injectServerFault(rng *rand.Rand) error {
	tb.mu.Lock()
	var caches []*server
	for i := range tb.plan.Caches {
		if s := tb.servers[fmt.Sprintf("c%d", i)]; s != nil {
			caches = append(caches, s)
		}
	}
	s := caches[rng.IntN(len(caches))]
	if rng.IntN(6) == 0 {
		s = tb.servers["origin"]
	}
	tb.mu.Unlock()
	fault := randomChoice(rng, append(serverFaults, answeredTwice, answeredTwice)...) // the one that is met least
	s.setFaultChance(fault, 0.1+0.6*rng.Float64())
	time.Sleep(randomDuration(rng, minFaultDuration, maxFaultDuration))
	s.setFaultChance(fault, 0)
	return nil
}

// disturbDiscovery lets the service of the list fail for a while.
func (tb *testbed) injectDiscoveryFault(rng *rand.Rand) error {
	mode := randomChoice(rng, "refusing", "silent", "slow")
	tb.faultCounts.add("discovery: "+mode, 1)
	tb.discovery.setMode(mode)
	time.Sleep(randomDuration(rng, minFaultDuration, maxFaultDuration))
	tb.discovery.setMode("")
	return nil
}

// replace drains a server, or lets it die, and brings it back cold at another address.
func (tb *testbed) replaceServer(rng *rand.Rand, awaySlots chan struct{}) error {
	select {
	case awaySlots <- struct{}{}:
		defer func() { <-awaySlots }()
	default:
		return nil // enough are away
	}
	id := fmt.Sprintf("c%d", rng.IntN(tb.plan.Caches))
	tb.mu.Lock()
	old := tb.servers[id]
	delete(tb.servers, id)
	tb.mu.Unlock()
	if old == nil {
		return nil
	}
	e := tb.discovery.get(id)
	if rng.IntN(3) > 0 {
		tb.faultCounts.add("server: drains", 1)
		e.State = "Terminating"
		tb.discovery.set(e)
		time.Sleep(drainDuration)
	} else {
		tb.faultCounts.add("server: dies", 1)
	}
	old.abort()
	e.State = "Gone"
	tb.discovery.set(e)
	time.Sleep(randomDuration(rng, 0, time.Second))
	replacement := newServer(id, false, tb.recorder, tb.faultCounts, rng.Uint64())
	if err := replacement.start(); err != nil {
		return err
	}
	tb.mu.Lock()
	tb.servers[id] = replacement
	tb.mu.Unlock()
	e.State, e.Address, e.Started = "Ready", replacement.address(), time.Now().UnixMilli()
	tb.discovery.set(e)
	return nil
}
