package soaktest

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	maxCrowdPause = 100 * time.Millisecond // longest time until a client of the crowd connects again
	crowdStream   = 1 << 20                // first random stream of the crowd, apart from those of other clients
)

// startCrowd starts the idle clients of each node. They connect, send nothing, and connect again when the node closes their connection.
func (tb *testbed) startCrowd(running *sync.WaitGroup, done <-chan struct{}) {
	for i := range len(tb.nodes) * tb.plan.CrowdPerNode {
		nd, rng := tb.nodes[i%len(tb.nodes)], rand.New(rand.NewPCG(tb.plan.Seed, uint64(crowdStream+i)))
		running.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(randomDuration(rng, 0, maxCrowdPause)):
				}
				if nd.accepting.Load() {
					tb.stayIdle(nd.address, done)
				}
			}
		})
	}
}

// stayIdle connects and waits for the end of the connection, or until done is closed.
func (tb *testbed) stayIdle(address string, done <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	tb.faultCounts.add("crowd: connects", 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = conn.Read(make([]byte, 1))
	}()
	select {
	case <-done:
	case <-ended:
	}
}
