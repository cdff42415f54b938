package soaktest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	meanFaultInterval = 60 * time.Millisecond // mean time between the starts of two faults
	minFaultDuration  = 200 * time.Millisecond
	maxFaultDuration  = 2500 * time.Millisecond
	maxStall          = 150 * time.Millisecond // the longest stall of a process that the operators name
	drainDuration     = 1200 * time.Millisecond
	maxServersAway    = 3                     // how many servers drain or are away at the same time
	reloadPause       = 10 * time.Millisecond // between configurations in quick succession
	endlessFaultShare = 0.2                   // share of servers' faults that are endless answers
)

// injectFaults starts faults for the duration of the run and returns when the last has ended. Faults last longer than
// meanFaultInterval, so that several overlap at all times.
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

// drawFault draws the next fault and returns a function that carries it out. A fault of a node does nothing if another fault of
// that node is in progress.
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
		plan := drawShutdown(rng)
		return onNode("SIGTERM and restart", func() error { return nd.restart(plan) })
	case roll < 0.14:
		return onNode("killed", nd.kill)
	case roll < 0.30:
		stall := randomDuration(rng, 10*time.Millisecond, maxStall)
		return onNode("stalled", func() error { return nd.stall(stall) })
	case roll < 0.40:
		reloads := 1 + rng.IntN(4)
		return onNode("reloaded", func() error { return nd.reload(reloads, reloadPause) })
	case roll < 0.46 && nd.socket != nil:
		plan := drawShutdown(rng)
		return onNode("handed over", func() error { return nd.handOver(plan) })
	case roll < 0.60:
		return func() error { return tb.replaceServer(rng, awaySlots) }
	case roll < 0.66:
		return func() error { return tb.injectDiscoveryFault(rng) }
	default:
		return func() error { return tb.injectServerFault(rng) }
	}
}

// injectServerFault gives a server a chance of a fault in its answers for a while.
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
	fault := randomChoice(rng, append(serverFaults, answeredTwice, answeredTwice)...) // three times as likely as any other, as nodes meet it least
	chance := 0.1 + 0.6*rng.Float64()
	duration := randomDuration(rng, minFaultDuration, maxFaultDuration)
	if rng.Float64() < endlessFaultShare { // drawn last, so that the draws above stay the same
		fault = endless
	}
	s.setFaultChance(fault, chance)
	time.Sleep(duration)
	s.setFaultChance(fault, 0)
	return nil
}

// injectDiscoveryFault makes the discovery service fail or respond slowly for a while.
func (tb *testbed) injectDiscoveryFault(rng *rand.Rand) error {
	fault := randomChoice(rng, "refusing", "silent", "slow")
	tb.faultCounts.add("discovery: "+fault, 1)
	tb.discovery.setFault(fault)
	time.Sleep(randomDuration(rng, minFaultDuration, maxFaultDuration))
	tb.discovery.setFault("")
	return nil
}

// replaceServer drains a cache server or aborts it without a drain, and starts its replacement at another address. The
// replacement is listed with a new start time, so nodes take its cache to be cold.
func (tb *testbed) replaceServer(rng *rand.Rand, awaySlots chan struct{}) error {
	select {
	case awaySlots <- struct{}{}:
		defer func() { <-awaySlots }()
	default:
		return nil // maxServersAway are away
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
	replacement.slowPeers = tb.plan.SlowPeers
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
