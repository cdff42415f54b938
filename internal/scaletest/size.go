// Package scaletest plays the control work of a large fleet on one machine: hollow nodes, many to a process, which do it all by a
// node's own code and carry no lookups, beside real nodes, real voters and stand-ins of the rest. docs/scale.md has the page.
package scaletest

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// What is played.
const (
	ScenarioList            = "list"          // each node follows the discovery service
	ScenarioLease           = "lease"         // each holds the lease of its name at three voters
	ScenarioBudget          = "budget"        // and a part of a budget
	ScenarioConfiguration   = "configuration" // its file is read anew now and then
	ScenarioChurn           = "churn"         // machines come and go at the operators' rates, made faster
	ScenarioRestart         = "restart"       // all nodes of a zone are restarted together
	ScenarioRackLoss        = "rack"          // all of a rack is lost at once, and comes back
	ScenarioZoneLoss        = "zone"
	ScenarioRegionLoss      = "region"
	ScenarioPartition       = "cut"       // a region's nodes reach nobody for a while
	ScenarioDiscoveryOutage = "discovery" // the discovery service is back after an outage
	ScenarioLeaderKill      = "leader"    // whoever leads the fleet is killed
	ScenarioPurge           = "purge"
)

// All are those that can be asked for, in the order in which they are played.
var AllScenarios = []string{ScenarioList, ScenarioLease, ScenarioBudget, ScenarioConfiguration, ScenarioChurn, ScenarioRestart, ScenarioRackLoss, ScenarioZoneLoss, ScenarioRegionLoss, ScenarioPartition, ScenarioDiscoveryOutage, ScenarioLeaderKill}

// Plan is what is played.
type Plan struct {
	HollowNodes, RealNodes, CacheServers int
	PhaseDuration                        time.Duration // of peace, and of ordinary churn
	Seed                                 uint64
	Scenarios                            []string
	ChurnFactor                          float64       // ordinary churn is this much faster than the operators'
	PartitionDuration                    time.Duration // a region is cut off for so long
	ConfigFileKB                         int           // of each node's configuration
	NoLoad                               bool          // real nodes get no lookups, and no node has demand for budgets
	Program                              string        // of a build with the tag faults
}

// Has says whether something is played.
func (p *Plan) Includes(scenario string) bool { return slices.Contains(p.Scenarios, scenario) }

// Parse reads what is to be played from a list with commas.
func ParseScenarios(list string) (scenarios []string, err error) {
	for name := range strings.SplitSeq(list, ",") {
		switch name = strings.TrimSpace(name); {
		case name == ScenarioPurge:
			return nil, fmt.Errorf("what: no mechanism carries purges today, so none can be played")
		case !slices.Contains(AllScenarios, name):
			return nil, fmt.Errorf("what: expected some of %s, not %q", strings.Join(AllScenarios, ","), name)
		case !slices.Contains(scenarios, name):
			scenarios = append(scenarios, name)
		}
	}
	includes := func(name string) bool { return slices.Contains(scenarios, name) }
	switch {
	case !includes(ScenarioList):
		return nil, fmt.Errorf("what: expected list among them: a node without it is not up")
	case (includes(ScenarioBudget) || includes(ScenarioLeaderKill)) && !includes(ScenarioLease):
		return nil, fmt.Errorf("what: expected lease beside budget and leader, which go by it")
	}
	return scenarios, nil
}

// What runs beside the hosts of hollow nodes.
const (
	voterCount        = 3
	minZones          = 4
	maxZones          = 20
	nodesPerZone      = 232 // as the operators have it
	zonesPerRegion    = 4   // as the operators' 82 in 23
	racksPerZone      = 2   // a rack is a process of hollow nodes: what is lost at once is killed at once
	maxCacheListeners = 256 // stand-ins of cache servers that listen; of more on the list several share one
	maxProcesses      = 200
	maxMemoryBytes    = 12 << 30
)

// What a process takes, as measured at 800 nodes and 240 servers, rounded up.
const (
	bytesPerProcess    = 40 << 20
	bytesPerNode       = 600 << 10 // a hollow node without its list,
	bytesPerEntry      = 1200      // and an entry of that
	descriptorsPerNode = 8         // descriptors of a hollow node: its address, seat, the list, the leader, and those of a moment
	baseDescriptors    = 96
)

// What a voter's file says of descriptors: a voter that leads has a connection from each node.
const (
	voterClusterDescriptors = 36  // of a voter's part beside one for each node (node/limits.go, fleetOwn and fleetVoter),
	clusterDivisor          = 2   // which is half at most of what is left when
	maxReserve              = 64  // these are set apart;
	voterRequestDescriptors = 448 // and so many more for clients and servers
)

// namesMost is the most leases that are held at once (lease/state.go). Each node holds that of its name, each voter too, and
// each of the fleet's tasks is one: probe and roll-up.
const (
	maxLeases  = 4096
	taskLeases = 2
)

// voterNeeds gives how many descriptors a voter's process has to have, so that it holds connections of all nodes as the leader.
func (p *Plan) voterDescriptors() int {
	return clusterDivisor*(p.HollowNodes+p.RealNodes+voterClusterDescriptors) + maxReserve
}

// voterSockets is what a voter's file has as limits.sockets, where a process may have so many descriptors.
func (p *Plan) voterSocketLimit(descriptors int) int {
	return min(p.voterDescriptors()+voterRequestDescriptors, descriptors)
}

// Zones gives how many zones there are.
func (p *Plan) Zones() int { return min(maxZones, max(minZones, p.HollowNodes/nodesPerZone)) }

// Regions gives how many regions there are.
func (p *Plan) Regions() int { return max(2, p.Zones()/zonesPerRegion) }

// Place is where a machine stands, by number.
type Place struct{ Region, Zone, Rack int }

// PlaceOf spreads machines of one sort evenly.
func (p *Plan) PlaceOf(machine int) Place {
	rack := machine % (p.Zones() * racksPerZone)
	zone := rack / racksPerZone
	return Place{zone % p.Regions(), zone, rack}
}

// Room is what the machine has for a run.
type Resources struct {
	MemoryBytes int64 // bytes that are free
	Descriptors int   // that a process may have
}

// lacks says what of the room a plan goes beyond; empty: it fits.
func (p *Plan) exceeded(available Resources) string {
	racks := p.Zones() * racksPerZone
	processes := racks + p.RealNodes + 2
	if p.Includes(ScenarioLease) {
		processes += voterCount
	}
	memoryBytes := int64(processes)*bytesPerProcess + int64(p.HollowNodes+p.RealNodes+voterCount)*(bytesPerNode+int64(p.CacheServers)*bytesPerEntry) +
		2*int64(p.ConfigFileKB)<<10*int64(p.HollowNodes)
	memoryLimitBytes := min(maxMemoryBytes, available.MemoryBytes*3/4)
	hostDescriptors := (p.HollowNodes+racks-1)/racks*descriptorsPerNode + baseDescriptors
	leaderDescriptors := 0
	if p.Includes(ScenarioLease) {
		leaderDescriptors = p.voterDescriptors()
	}
	descriptors := max(hostDescriptors, leaderDescriptors, p.HollowNodes+p.RealNodes+voterCount+baseDescriptors, min(maxCacheListeners, p.CacheServers)+4*p.RealNodes*maxCacheListeners/8+baseDescriptors)
	switch leases := p.HollowNodes + p.RealNodes + voterCount + taskLeases; {
	case processes > maxProcesses:
		return fmt.Sprintf("%d processes, over %d", processes, maxProcesses)
	case memoryBytes > memoryLimitBytes:
		return fmt.Sprintf("%d MB, over %d", memoryBytes>>20, memoryLimitBytes>>20)
	case descriptors > available.Descriptors:
		return fmt.Sprintf("%d descriptors in one process, over %d", descriptors, available.Descriptors)
	case p.Includes(ScenarioLease) && leases > maxLeases:
		return fmt.Sprintf("%d leases, over the %d that are held at once (lease/state.go, namesMost)", leases, maxLeases)
	}
	return ""
}

// beyond says whether a run that goes on takes more than a run may.
func checkRunLimits(residentBytes int64, processes int) error {
	if residentBytes > maxMemoryBytes || processes > maxProcesses {
		return fmt.Errorf("ended: %d processes take %d MB, over %d or %d MB", processes, residentBytes>>20, maxProcesses, int64(maxMemoryBytes)>>20)
	}
	return nil
}

// Fits refuses a plan that the machine has no room for, and tells the most nodes that it has room for.
func (p *Plan) CheckFits(available Resources) error {
	switch {
	case p.HollowNodes < 2*minZones || p.CacheServers < 1 || p.RealNodes < 0 || p.ConfigFileKB < 0 || p.ConfigFileKB > 1024:
		return fmt.Errorf("nodes: expected %d or more, servers 1 or more, real 0 or more, a file of 0 to 1024 KB", 2*minZones)
	case p.PhaseDuration < time.Second || p.PhaseDuration > 10*time.Minute || p.PartitionDuration > 2*time.Minute:
		return fmt.Errorf("for: expected 1s to 10m, and to be cut off for 2m at most")
	case !(p.ChurnFactor >= 1 && p.ChurnFactor <= 10_000):
		return fmt.Errorf("faster: expected 1 to 10000")
	}
	reason := p.exceeded(available)
	if reason == "" {
		return nil
	}
	fitting, tooMany := 0, p.HollowNodes
	for tooMany-fitting > 1 {
		smaller := *p
		smaller.HollowNodes = (fitting + tooMany) / 2
		if smaller.exceeded(available) == "" {
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
