//go:build faults

package scaletest

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/routing"
)

const (
	lowDemandRate     = 5.0  // requests per second under the budget at most nodes
	highDemandRate    = 50.0 // requests per second at the other nodes
	highDemandDivisor = 10   // one node in so many has high demand
)

// loadedNode simulates the demand of lookups, which a hollow node does not accept, on its quota of the budget.
type loadedNode struct {
	cluster.LocalNode
	host     *host
	number   int
	mu       sync.Mutex
	rnd      *rand.Rand
	lastCall time.Time
}

// SetQuota applies a quota and adds the simulated demand since the last call to the usage that it returns.
func (l *loadedNode) SetQuota(limit routing.Limit, partner string, quota quotalimit.Quota, duration, cutoffMargin time.Duration) quotalimit.Usage {
	usage := l.LocalNode.SetQuota(limit, partner, quota, duration, cutoffMargin)
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := time.Since(l.lastCall).Seconds()
	l.lastCall = time.Now()
	if l.host.noLoad {
		return usage
	}
	mean := demandRate(l.host.seed, l.number, l.lastCall) * seconds
	wanted := max(0, mean+l.rnd.NormFloat64()*mean/2)
	return usage.Max(quotalimit.Usage{Requested: wanted, Started: min(wanted, quota.Rate*seconds)})
}

// demandRate returns the demand of a node in requests per second. Which nodes have high demand is pseudo-random, and changes every
// demandShiftInterval.
func demandRate(seed uint64, node int, at time.Time) float64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, seed, node, at.Unix()/int64(demandShiftInterval/time.Second))
	if hash.Sum64()%highDemandDivisor == 0 {
		return highDemandRate
	}
	return lowDemandRate
}
