//go:build faults

package scaletest

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/faulttest"
)

// start starts all processes, and then all hollow nodes at once. It returns once the nodes are ready.
func (r *run) start() (err error) {
	if err = r.writeConfigs(); err != nil {
		return err
	}
	if err = r.discovery.start(r.Program); err != nil {
		return err
	}
	if _, err = r.discovery.send(command{Name: "open", Entries: r.entries}); err != nil {
		return err
	}
	if r.RealNodes > 0 && !r.NoLoad {
		if err = r.startCacheServers(); err != nil {
			return err
		}
	}
	if r.Includes(ScenarioPartition) {
		if err = r.startRelays(); err != nil {
			return err
		}
	}
	if r.Includes(ScenarioLease) {
		if err = r.startVoters(); err != nil {
			return err
		}
	}
	if err = inParallel(slices.Concat(r.hosts, r.realNodes), func(p *process) error { return p.start(r.Program) }); err != nil {
		return err
	}
	usage, err := r.hosts[0].usage()
	if err != nil {
		return err
	}
	r.baseHeapBytes = usage.Heap
	startNs := faulttest.BootTimeNs()
	if err = inParallel(r.hosts, func(p *process) error { _, err := p.send(command{Name: "start", Nodes: p.nodes}); return err }); err != nil {
		return err
	}
	if err = r.awaitRecovery("start", startNs, maxRecovery); err != nil {
		return err
	}
	if r.RealNodes > 0 && !r.NoLoad {
		for i, p := range r.realNodes {
			address := fmt.Sprintf("%s:%d", loopbackIP(voterCount+i), clientPort)
			if !r.waitUntilServing(address) {
				return fmt.Errorf("%s did not become ready", p.name)
			}
			r.lookupClients.Go(func() { r.lookups.Run(address, r.done, func(int64) bool { return false }) })
		}
	}
	return r.ctx.Err()
}

// waitUntilServing reports whether a real node becomes ready within startStopTimeout.
func (r *run) waitUntilServing(address string) bool {
	httpClient := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startStopTimeout); time.Now().Before(deadline) && r.ctx.Err() == nil; r.sleep(20 * time.Millisecond) {
		if resp, err := httpClient.Get("http://" + address + "/up"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// startCacheServers starts the simulated cache servers and the origin.
func (r *run) startCacheServers() error {
	for i := range min(r.CacheServers, maxCacheListeners) {
		if err := r.startCacheServer(firstCacheAddrIndex + i); err != nil {
			return err
		}
	}
	return r.startCacheServer(firstCacheAddrIndex + maxCacheListeners)
}

// startRelays starts a relay to each voter and one to the discovery service, in front of the region that is to be partitioned.
func (r *run) startRelays() error {
	for i := range voterCount + 1 {
		target := fmt.Sprintf("%s:%d", loopbackIP(i), clusterPort)
		if i == voterCount {
			target = fmt.Sprintf("%s:%d", loopbackIP(discoveryAddrIndex), discoveryPort)
		}
		relay, err := faulttest.NewRelay(fmt.Sprintf("%s:%d", loopbackIP(firstRelayAddrIndex), relayPort+i), target)
		if err != nil {
			return err
		}
		r.relays = append(r.relays, relay)
	}
	return nil
}

// startVoters starts the voters and founds the cluster.
func (r *run) startVoters() error {
	if err := inParallel(r.voters, func(p *process) error { return p.start(r.Program) }); err != nil {
		return err
	}
	clusterConfig, err := config.ReadCluster(filepath.Join(r.dir, "v0.json"))
	if err != nil {
		return err
	}
	r.client = cluster.NewClient(clusterConfig, zap.NewNop())
	for deadline := time.Now().Add(startStopTimeout); ; r.sleep(50 * time.Millisecond) {
		if err = r.client.FoundCluster(0); err == nil {
			return nil
		}
		if time.Now().After(deadline) || r.ctx.Err() != nil {
			return fmt.Errorf("cluster was not founded: %w", err)
		}
	}
}

// startCacheServer starts a simulated cache server or origin.
func (r *run) startCacheServer(addrIndex int) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopbackIP(addrIndex), cachePort))
	if err != nil {
		return err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "value") })}
	r.cacheServers = append(r.cacheServers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}
