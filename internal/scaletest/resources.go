package scaletest

import (
	"fmt"
	"time"
)

// Limits of a run, for all its processes together.
const (
	maxProcesses   = 200
	maxMemoryBytes = 12 << 30 // resident memory
)

// Estimates of the resources that a process needs, from a run with 800 nodes and 240 servers, rounded up.
const (
	bytesPerProcess    = 40 << 20
	bytesPerNode       = 600 << 10 // a hollow node without its endpoint list
	bytesPerEntry      = 1200      // an entry of a node's endpoint list
	descriptorsPerNode = 8         // listener, membership file, discovery service, leader, and short-lived ones
	baseDescriptors    = 96        // descriptors of a process without hollow nodes
)

// The number of descriptors to configure for a voter. A voter that becomes leader needs a connection from each node. Every node first
// subtracts a reserve from its configured descriptors, and then uses at most half of the rest for the cluster
// (internal/net/node/limits.go, reserved and clusterShare).
const (
	voterClusterDescriptors = 36  // cluster descriptors that are not for connections from nodes: clusterReserve, and connsPerVoter for each voter
	clusterDivisor          = 2   // clusterDivisor in limits.go
	maxReservedDescriptors  = 64  // the reserve: maxDividedReserve in limits.go
	voterRequestDescriptors = 448 // descriptors for connections from clients and to cache servers
)

// Leases of the cluster. Each node, including the voters, holds a lease on its own name.
const (
	maxLeases  = 4096 // the limit on leases that are held at the same time (lease/state.go, maxLeases)
	taskLeases = 2    // one for each cluster task: probe and roll-up
)

// Resources is what the machine has available for a run.
type Resources struct {
	MemoryBytes int64 // free memory
	Descriptors int   // descriptor limit of a process
}

// voterDescriptors returns how many descriptors a voter needs so that each node can connect to it when it is the leader.
func (p *Plan) voterDescriptors() int {
	return clusterDivisor*(p.HollowNodes+p.RealNodes+voterClusterDescriptors) + maxReservedDescriptors
}

// voterSocketLimit returns the value of limits.sockets for a voter's configuration. It is at most descriptorLimit, the descriptor
// limit of a process.
func (p *Plan) voterSocketLimit(descriptorLimit int) int {
	return min(p.voterDescriptors()+voterRequestDescriptors, descriptorLimit)
}

// exceededLimit describes the first resource or limit that the plan exceeds, or returns "" if the plan fits.
func (p *Plan) exceededLimit(available Resources) string {
	racks := p.Zones() * racksPerZone
	processes := racks + p.RealNodes + 2 // 2: the discovery service and the test process, which also runs the cache servers
	if p.Includes(ScenarioLease) {
		processes += voterCount
	}
	// Each hollow node is counted with twice the size of its configuration file.
	memoryBytes := int64(processes)*bytesPerProcess + int64(p.HollowNodes+p.RealNodes+voterCount)*(bytesPerNode+int64(p.CacheServers)*bytesPerEntry) +
		2*int64(p.ConfigFileKB)<<10*int64(p.HollowNodes)
	memoryLimitBytes := min(maxMemoryBytes, available.MemoryBytes*3/4)
	hostDescriptors := (p.HollowNodes+racks-1)/racks*descriptorsPerNode + baseDescriptors
	leaderDescriptors := 0
	if p.Includes(ScenarioLease) {
		leaderDescriptors = p.voterDescriptors()
	}
	// The largest of: a process of hollow nodes, the leader, the discovery service with a connection from each node, and the test process
	// with its cache servers.
	descriptors := max(hostDescriptors, leaderDescriptors, p.HollowNodes+p.RealNodes+voterCount+baseDescriptors, min(maxCacheListeners, p.CacheServers)+4*p.RealNodes*maxCacheListeners/8+baseDescriptors)
	switch leases := p.HollowNodes + p.RealNodes + voterCount + taskLeases; {
	case processes > maxProcesses:
		return fmt.Sprintf("%d processes, over %d", processes, maxProcesses)
	case memoryBytes > memoryLimitBytes:
		return fmt.Sprintf("%d MB, over %d", memoryBytes>>20, memoryLimitBytes>>20)
	case descriptors > available.Descriptors:
		return fmt.Sprintf("%d descriptors in one process, over %d", descriptors, available.Descriptors)
	case p.Includes(ScenarioLease) && leases > maxLeases:
		return fmt.Sprintf("%d leases, over the limit of %d (lease/state.go, maxLeases)", leases, maxLeases)
	}
	return ""
}

// checkRunLimits returns an error if a run exceeds maxProcesses or maxMemoryBytes.
func checkRunLimits(residentBytes int64, processes int) error {
	if residentBytes > maxMemoryBytes || processes > maxProcesses {
		return fmt.Errorf("run canceled: %d processes use %d MB, the limits are %d processes and %d MB", processes, residentBytes>>20, maxProcesses, int64(maxMemoryBytes)>>20)
	}
	return nil
}

// CheckFits returns an error if the plan is invalid or needs more than the available resources. The error says how many hollow
// nodes would fit.
func (p *Plan) CheckFits(available Resources) error {
	switch {
	case p.HollowNodes < 2*minZones || p.CacheServers < 1 || p.RealNodes < 0 || p.ConfigFileKB < 0 || p.ConfigFileKB > 1024:
		return fmt.Errorf("nodes: expected %d or more, servers 1 or more, real 0 or more, a file of 0 to 1024 KB", 2*minZones)
	case p.PhaseDuration < time.Second || p.PhaseDuration > 10*time.Minute || p.PartitionDuration > 2*time.Minute:
		return fmt.Errorf("for: expected 1s to 10m, and cut 2m at most")
	case !(p.ChurnFactor >= 1 && p.ChurnFactor <= 10_000):
		return fmt.Errorf("faster: expected 1 to 10000")
	}
	reason := p.exceededLimit(available)
	if reason == "" {
		return nil
	}
	fitting, tooMany := 0, p.HollowNodes
	for tooMany-fitting > 1 {
		smaller := *p
		smaller.HollowNodes = (fitting + tooMany) / 2
		if smaller.exceededLimit(available) == "" {
			fitting = smaller.HollowNodes
		} else {
			tooMany = smaller.HollowNodes
		}
	}
	if fitting == 0 {
		return fmt.Errorf("nodes: %d with %d real and %d servers would take %s; no number of nodes fits", p.HollowNodes, p.RealNodes, p.CacheServers, reason)
	}
	return fmt.Errorf("nodes: %d would take %s; %d would fit", p.HollowNodes, reason, fitting)
}
