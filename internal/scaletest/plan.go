package scaletest

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Scenarios of a run. The first four are work that all nodes do during the whole run, the others are phases of their own.
const (
	ScenarioList            = "list"          // each node follows the discovery service's endpoint list
	ScenarioLease           = "lease"         // each node holds the lease of its name, granted by three voters
	ScenarioBudget          = "budget"        // each node gets a quota of a budget
	ScenarioConfiguration   = "configuration" // each node reloads its configuration file repeatedly
	ScenarioChurn           = "churn"         // machines restart and change at the operators' rates times ChurnFactor
	ScenarioRestart         = "restart"       // all hollow nodes of a zone restart at once
	ScenarioRackLoss        = "rack"          // all machines of a rack are lost at once, and come back
	ScenarioZoneLoss        = "zone"
	ScenarioRegionLoss      = "region"
	ScenarioPartition       = "cut"       // a region's nodes reach neither voters nor the discovery service for a time
	ScenarioDiscoveryOutage = "discovery" // the discovery service stops for a time
	ScenarioLeaderKill      = "leader"    // the leader is killed
	ScenarioPurge           = "purge"     // rejected, as no mechanism carries purges
)

// AllScenarios lists the scenarios that a plan may include, in the order in which they run.
var AllScenarios = []string{ScenarioList, ScenarioLease, ScenarioBudget, ScenarioConfiguration, ScenarioChurn, ScenarioRestart, ScenarioRackLoss,
	ScenarioZoneLoss, ScenarioRegionLoss, ScenarioPartition, ScenarioDiscoveryOutage, ScenarioLeaderKill}

// Plan describes a run.
type Plan struct {
	HollowNodes, RealNodes, CacheServers int
	PhaseDuration                        time.Duration // of the phase without churn, and of the phase with churn
	Seed                                 uint64
	Scenarios                            []string
	ChurnFactor                          float64       // the rate of churn as a multiple of the operators' rate
	PartitionDuration                    time.Duration // how long a region is cut off
	ConfigFileKB                         int           // size of the padding in each node's configuration file
	NoLoad                               bool          // real nodes get no lookups, and hollow nodes have no demand for the budget
	Program                              string        // path of the program, built with the tag faults
}

// Includes reports whether the plan includes a scenario.
func (p *Plan) Includes(scenario string) bool { return slices.Contains(p.Scenarios, scenario) }

// ParseScenarios parses a comma-separated list of scenarios.
func ParseScenarios(list string) (scenarios []string, err error) {
	for name := range strings.SplitSeq(list, ",") {
		switch name = strings.TrimSpace(name); {
		case name == ScenarioPurge:
			return nil, fmt.Errorf("what: no mechanism carries purges today, so the scenario cannot run")
		case !slices.Contains(AllScenarios, name):
			return nil, fmt.Errorf("what: expected some of %s, not %q", strings.Join(AllScenarios, ","), name)
		case !slices.Contains(scenarios, name):
			scenarios = append(scenarios, name)
		}
	}
	includes := func(name string) bool { return slices.Contains(scenarios, name) }
	switch {
	case !includes(ScenarioList):
		return nil, fmt.Errorf("what: expected list: a node without an endpoint list is not ready")
	case (includes(ScenarioBudget) || includes(ScenarioLeaderKill)) && !includes(ScenarioLease):
		return nil, fmt.Errorf("what: expected lease: budget and leader depend on it")
	}
	return scenarios, nil
}

// The layout of the simulated fleet.
const (
	voterCount        = 3
	minZones          = 4
	maxZones          = 20
	nodesPerZone      = 232 // as in the operators' fleet
	zonesPerRegion    = 4   // as in the operators' fleet, which has 82 zones in 23 regions
	racksPerZone      = 2   // a rack is one process of hollow nodes, so that a rack is lost by killing its process
	maxCacheListeners = 256 // with more cache servers on the list, several share an address
)

// Zones returns the number of zones.
func (p *Plan) Zones() int { return min(maxZones, max(minZones, p.HollowNodes/nodesPerZone)) }

// Regions returns the number of regions.
func (p *Plan) Regions() int { return max(2, p.Zones()/zonesPerRegion) }

// Place is the region, zone and rack of a machine, by number.
type Place struct{ Region, Zone, Rack int }

// PlaceOf returns the place of a hollow node or a cache server. It spreads the machines evenly over the racks.
func (p *Plan) PlaceOf(machine int) Place {
	rack := machine % (p.Zones() * racksPerZone)
	zone := rack / racksPerZone
	return Place{zone % p.Regions(), zone, rack}
}
