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
	List          = "list"          // each node follows the discovery service
	Lease         = "lease"         // each holds the lease of its name at three voters
	Budget        = "budget"        // and a part of a budget
	Configuration = "configuration" // its file is read anew now and then
	Churn         = "churn"         // machines come and go at the operators' rates, made faster
	Restart       = "restart"       // all nodes of a zone are restarted together
	Rack          = "rack"          // all of a rack is lost at once, and comes back
	Zone          = "zone"
	Region        = "region"
	Cut           = "cut"       // a region's nodes reach nobody for a while
	Discovery     = "discovery" // the discovery service is back after an outage
	Leader        = "leader"    // whoever leads the fleet is killed
	Purge         = "purge"
)

// All are those that can be asked for, in the order in which they are played.
var All = []string{List, Lease, Budget, Configuration, Churn, Restart, Rack, Zone, Region, Cut, Discovery, Leader}

// Plan is what is played.
type Plan struct {
	Nodes, Real, Servers int
	Span                 time.Duration // of peace, and of ordinary churn
	Seed                 uint64
	What                 []string
	Faster               float64       // ordinary churn is this much faster than the operators'
	CutFor               time.Duration // a region is cut off for so long
	FileKB               int           // of each node's configuration
	Quiet                bool          // real nodes get no lookups, and no node has demand for budgets
	Program              string        // of a build with the tag faults
}

// Has says whether something is played.
func (p *Plan) Has(what string) bool { return slices.Contains(p.What, what) }

// Parse reads what is to be played from a list with commas.
func Parse(what string) (all []string, err error) {
	for w := range strings.SplitSeq(what, ",") {
		switch w = strings.TrimSpace(w); {
		case w == Purge:
			return nil, fmt.Errorf("what: no mechanism carries purges today, so none can be played")
		case !slices.Contains(All, w):
			return nil, fmt.Errorf("what: expected some of %s, not %q", strings.Join(All, ","), w)
		case !slices.Contains(all, w):
			all = append(all, w)
		}
	}
	has := func(w string) bool { return slices.Contains(all, w) }
	switch {
	case !has(List):
		return nil, fmt.Errorf("what: expected list among them: a node without it is not up")
	case (has(Budget) || has(Leader)) && !has(Lease):
		return nil, fmt.Errorf("what: expected lease beside budget and leader, which go by it")
	}
	return all, nil
}

// What runs beside the hosts of hollow nodes.
const (
	voters       = 3
	zonesLeast   = 4
	zonesMost    = 20
	zoneNodes    = 232 // as the operators have it
	zonesRegion  = 4   // as the operators' 82 in 23
	racksZone    = 2   // a rack is a process of hollow nodes: what is lost at once is killed at once
	cachesMost   = 256 // stand-ins of cache servers that listen; of more on the list several share one
	processesAll = 200
	memoryAll    = 12 << 30
)

// What a process takes, as measured at 800 nodes and 240 servers, rounded up.
const (
	processBytes = 40 << 20
	nodeBytes    = 600 << 10 // a hollow node without its list,
	entryBytes   = 1200      // and an entry of that
	perNode      = 8         // descriptors of a hollow node: its address, seat, the list, the leader, and those of a moment
	perProcess   = 96
)

// What a voter's file says of descriptors: a voter that leads has a connection from each node.
const (
	fleetOwn     = 36  // of a voter's part beside one for each node (node/limits.go, fleetOwn and fleetVoter),
	fleetPart    = 2   // which is half at most of what is left when
	reserveMost  = 64  // these are set apart;
	voterLookups = 448 // and so many more for clients and servers
)

// namesMost is the most leases that are held at once (lease/state.go). Each node holds that of its name, each voter too, and
// each of the fleet's tasks is one: probe and roll-up.
const (
	namesMost = 4096
	tasks     = 2
)

// voterNeeds gives how many descriptors a voter's process has to have, so that it holds connections of all nodes as the leader.
func (p *Plan) voterNeeds() int { return fleetPart*(p.Nodes+p.Real+fleetOwn) + reserveMost }

// voterSockets is what a voter's file has as limits.sockets, where a process may have so many descriptors.
func (p *Plan) voterSockets(descriptors int) int {
	return min(p.voterNeeds()+voterLookups, descriptors)
}

// Zones gives how many zones there are.
func (p *Plan) Zones() int { return min(zonesMost, max(zonesLeast, p.Nodes/zoneNodes)) }

// Regions gives how many regions there are.
func (p *Plan) Regions() int { return max(2, p.Zones()/zonesRegion) }

// Place is where a machine stands, by number.
type Place struct{ Region, Zone, Rack int }

// PlaceOf spreads machines of one sort evenly.
func (p *Plan) PlaceOf(n int) Place {
	rack := n % (p.Zones() * racksZone)
	zone := rack / racksZone
	return Place{zone % p.Regions(), zone, rack}
}

// Room is what the machine has for a run.
type Room struct {
	Memory      int64 // bytes that are free
	Descriptors int   // that a process may have
}

// lacks says what of the room a plan goes beyond; empty: it fits.
func (p *Plan) lacks(r Room) string {
	racks := p.Zones() * racksZone
	processes := racks + p.Real + 2
	if p.Has(Lease) {
		processes += voters
	}
	memory := int64(processes)*processBytes + int64(p.Nodes+p.Real+voters)*(nodeBytes+int64(p.Servers)*entryBytes) +
		2*int64(p.FileKB)<<10*int64(p.Nodes)
	memoryMost := min(memoryAll, r.Memory*3/4)
	host := (p.Nodes+racks-1)/racks*perNode + perProcess
	voter := 0
	if p.Has(Lease) {
		voter = p.voterNeeds()
	}
	most := max(host, voter, p.Nodes+p.Real+voters+perProcess, min(cachesMost, p.Servers)+4*p.Real*cachesMost/8+perProcess)
	switch held := p.Nodes + p.Real + voters + tasks; {
	case processes > processesAll:
		return fmt.Sprintf("%d processes, over %d", processes, processesAll)
	case memory > memoryMost:
		return fmt.Sprintf("%d MB, over %d", memory>>20, memoryMost>>20)
	case most > r.Descriptors:
		return fmt.Sprintf("%d descriptors in one process, over %d", most, r.Descriptors)
	case p.Has(Lease) && held > namesMost:
		return fmt.Sprintf("%d leases, over the %d that are held at once (lease/state.go, namesMost)", held, namesMost)
	}
	return ""
}

// beyond says whether a run that goes on takes more than a run may.
func beyond(resident int64, processes int) error {
	if resident > memoryAll || processes > processesAll {
		return fmt.Errorf("ended: %d processes take %d MB, over %d or %d MB", processes, resident>>20, processesAll, int64(memoryAll)>>20)
	}
	return nil
}

// Fits refuses a plan that the machine has no room for, and tells the most nodes that it has room for.
func (p *Plan) Fits(r Room) error {
	switch {
	case p.Nodes < 2*zonesLeast || p.Servers < 1 || p.Real < 0 || p.FileKB < 0 || p.FileKB > 1024:
		return fmt.Errorf("nodes: expected %d or more, servers 1 or more, real 0 or more, a file of 0 to 1024 KB", 2*zonesLeast)
	case p.Span < time.Second || p.Span > 10*time.Minute || p.CutFor > 2*time.Minute:
		return fmt.Errorf("for: expected 1s to 10m, and to be cut off for 2m at most")
	case !(p.Faster >= 1 && p.Faster <= 10_000):
		return fmt.Errorf("faster: expected 1 to 10000")
	}
	why := p.lacks(r)
	if why == "" {
		return nil
	}
	fit, over := 0, p.Nodes
	for over-fit > 1 {
		q := *p
		q.Nodes = (fit + over) / 2
		if q.lacks(r) == "" {
			fit = q.Nodes
		} else {
			over = q.Nodes
		}
	}
	if fit == 0 {
		return fmt.Errorf("nodes: %d with %d real and %d servers would take %s; no number of nodes fits", p.Nodes, p.Real, p.Servers, why)
	}
	return fmt.Errorf("nodes: %d would take %s; %d would fit", p.Nodes, why, fit)
}
