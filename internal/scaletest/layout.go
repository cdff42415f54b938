//go:build faults

package scaletest

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/thistlerudder/thistlerudder/internal/loopback"
)

// Ports of the processes, each on an address of its own.
const (
	clientPort    = 6070
	clusterPort   = 6100
	discoveryPort = 6500
	relayPort     = 6600
	cachePort     = 6700
)

// Indexes of loopback addresses. The voters have the first ones, then the real nodes, then the hollow nodes.
const (
	discoveryAddrIndex  = 60_000
	firstRelayAddrIndex = 60_010
	firstCacheAddrIndex = 60_100
)

// loopbackIP returns an address of the loopback network. Addresses of runs at the same time differ.
func loopbackIP(index int) string {
	return fmt.Sprintf("127.%d.%d.%d", loopback.Octet(), index/250, 1+index%250)
}

// defineProcesses defines all processes and the endpoint list before any process starts.
func (r *run) defineProcesses() {
	discoveryAddress := fmt.Sprintf("%s:%d", loopbackIP(discoveryAddrIndex), discoveryPort)
	r.discovery = &process{name: "discovery", dir: r.dir, acceptsCommands: true, args: []string{"trial", "directory", "--address", discoveryAddress}}
	if r.Includes(ScenarioLease) {
		for i := range voterCount {
			r.voters = append(r.voters, r.nodeProcess(fmt.Sprint("v", i)))
		}
	}
	for i := range r.RealNodes {
		r.realNodes = append(r.realNodes, r.nodeProcess(fmt.Sprint("r", i)))
	}
	for rack := range r.Zones() * racksPerZone {
		p := &process{name: fmt.Sprint("rack", rack), dir: r.dir, acceptsCommands: true, args: []string{"trial", "hollow", "--folder", r.dir,
			"--name", fmt.Sprint("rack", rack), "--seed", fmt.Sprint(r.Seed), fmt.Sprint("--quiet=", r.NoLoad)}}
		for n := range r.HollowNodes {
			if r.PlaceOf(n).Rack == rack {
				p.nodes = append(p.nodes, n)
			}
		}
		r.hosts = append(r.hosts, p)
	}
	for i := range r.CacheServers {
		place := r.PlaceOf(i)
		r.entries = append(r.entries, Entry{ID: fmt.Sprintf("cache-%05d", i),
			Address: fmt.Sprintf("%s:%d", loopbackIP(firstCacheAddrIndex+i%maxCacheListeners), cachePort),
			Kind:    "box", State: "Ready", Region: fmt.Sprint("region-", place.Region), Zone: fmt.Sprint("zone-", place.Zone)})
	}
	r.entries = append(r.entries, Entry{ID: "origin", Address: fmt.Sprintf("%s:%d", loopbackIP(firstCacheAddrIndex+maxCacheListeners), cachePort),
		Kind: "origin", State: "Ready", Region: "region-0", Zone: "zone-0"})
}

// nodeProcess returns the process of a voter or a real node.
func (r *run) nodeProcess(name string) *process {
	return &process{name: name, dir: r.dir, args: []string{"serve", "--config", filepath.Join(r.dir, name+".json")}}
}

// processes returns all processes of the run.
func (r *run) processes() []*process {
	return slices.Concat([]*process{r.discovery}, r.voters, r.realNodes, r.hosts)
}
