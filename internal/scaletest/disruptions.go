//go:build faults

package scaletest

import (
	"fmt"
	"syscall"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faulttest"
)

// loseAndRestore loses a rack, zone or region and brings it back. It kills the processes of its hollow nodes and removes its cache
// servers from the list. A restart shuts down the nodes of a zone gracefully instead and leaves the list as it is.
func (r *run) loseAndRestore(scenario string) error {
	lostRacks := r.racksToLose(scenario)
	var hosts []*process
	for rack, isLost := range lostRacks {
		if isLost {
			hosts = append(hosts, r.hosts[rack])
		}
	}
	var removedEntries []Entry
	for i, e := range r.entries[:r.CacheServers] {
		if place := r.PlaceOf(i); scenario != ScenarioRestart && lostRacks[place.Rack] {
			e.State = "Gone"
			removedEntries = append(removedEntries, e)
		}
	}
	before, err := r.startMeasurement()
	if err != nil {
		return err
	}
	leader := r.leaderIndex()
	if scenario == ScenarioRestart {
		_ = inParallel(hosts, func(p *process) error { _, err := p.send(command{Name: "leave"}); return err })
	}
	_ = inParallel(hosts, func(p *process) error { p.stop(syscall.SIGKILL); return nil })
	if scenario != ScenarioRestart {
		change, err := r.changeEntries(removedEntries)
		if err != nil {
			return err
		}
		r.sleep(outageDuration)
		if err := r.appendNodeEvents(); err != nil {
			return err
		}
		remainingNodes := r.nodesOutside(lostRacks)
		r.reportLatencies(scenario, "list in force at who is left",
			changeLatencies([]AppliedChange{change}, groupByNode(r.nodeEvents), remainingNodes, eventListInForce, maxPropagation))
		r.addLine("%s: %d nodes and %d cache servers lost at once", scenario, r.HollowNodes-len(remainingNodes), len(removedEntries))
	}
	restartNs := faulttest.BootTimeNs()
	if err := inParallel(hosts, func(p *process) error {
		if err := p.start(r.Program); err != nil {
			return err
		}
		_, err := p.send(command{Name: "start", Nodes: p.nodes})
		return err
	}); err != nil {
		return err
	}
	var change AppliedChange
	if len(removedEntries) > 0 {
		for i := range removedEntries {
			removedEntries[i].State, removedEntries[i].StartedMs = "Ready", float64(time.Now().UnixMilli())
		}
		if change, err = r.changeEntries(removedEntries); err != nil {
			return err
		}
	}
	if err := r.awaitRecovery(scenario, restartNs, maxRecovery); err != nil {
		return err
	}
	if len(removedEntries) > 0 {
		r.reportLatencies(scenario, "list in force at its return",
			changeLatencies([]AppliedChange{change}, groupByNode(r.nodeEvents), r.nodesOutside(lostRacks), eventListInForce, maxPropagation))
	}
	return r.reportLeaderAndDiscoveryUsage(scenario, before, leader, hosts)
}

// racksToLose maps the racks that are lost in a scenario to true.
func (r *run) racksToLose(scenario string) map[int]bool {
	lostRacks := map[int]bool{}
	for _, p := range r.hosts {
		place := r.PlaceOf(p.nodes[0])
		switch scenario {
		case ScenarioRackLoss:
			lostRacks[place.Rack] = lostRacks[place.Rack] || place.Rack == 0
		case ScenarioZoneLoss, ScenarioRestart:
			lostRacks[place.Rack] = lostRacks[place.Rack] || place.Zone == 0
		case ScenarioRegionLoss:
			lostRacks[place.Rack] = lostRacks[place.Rack] || place.Region == 0
		}
	}
	return lostRacks
}

// runPartition cuts a region off from the voters and the discovery service for PartitionDuration.
func (r *run) runPartition() error {
	before, err := r.startMeasurement()
	if err != nil {
		return err
	}
	leader, racksOutside := r.leaderIndex(), map[int]bool{}
	for _, p := range r.hosts {
		if place := r.PlaceOf(p.nodes[0]); place.Region != 0 {
			racksOutside[place.Rack] = true
		}
	}
	partitionedNodes := r.nodesOutside(racksOutside)
	for _, relay := range r.relays {
		relay.SetBlocked(true)
	}
	r.sleep(r.PartitionDuration / 2)
	entry := r.entries[0]
	entry.StartedMs = float64(time.Now().UnixMilli())
	change, err := r.changeEntries([]Entry{entry}) // the nodes outside get it at once
	if err != nil {
		return err
	}
	r.sleep(r.PartitionDuration / 2)
	healedNs := faulttest.BootTimeNs()
	for _, relay := range r.relays {
		relay.SetBlocked(false)
	}
	var listLatencies, leaseLatencies Latencies
	for deadline := time.Now().Add(maxRecovery); ; r.sleep(200 * time.Millisecond) {
		if err := r.appendNodeEvents(); err != nil {
			return err
		}
		eventsByNode := groupByNode(r.nodeEvents)
		listLatencies = changeLatencies([]AppliedChange{{healedNs, change.MinValue}}, eventsByNode, partitionedNodes, eventListInForce, maxRecovery)
		leaseLatencies = renewalLatencies(eventsByNode, partitionedNodes, healedNs, maxRecovery)
		if listLatencies.Missing+leaseLatencies.Missing == 0 || !r.Includes(ScenarioLease) && listLatencies.Missing == 0 ||
			time.Now().After(deadline) || r.ctx.Err() != nil {
			break
		}
	}
	r.addLine("%s: %d nodes of a region reached nobody for %v", ScenarioPartition, len(partitionedNodes), r.PartitionDuration)
	r.reportLatencies(ScenarioPartition, "list in force after the cut", listLatencies)
	if r.Includes(ScenarioLease) {
		r.reportLatencies(ScenarioPartition, "lease renewed or had again after the cut", leaseLatencies)
		r.reportLostLeases(ScenarioPartition)
	}
	return r.reportLeaderAndDiscoveryUsage(ScenarioPartition, before, leader, nil)
}

// runDiscoveryOutage stops the discovery service for outageDuration. Afterwards all nodes call it at once.
func (r *run) runDiscoveryOutage() error {
	before, err := r.startMeasurement()
	if err != nil {
		return err
	}
	leader := r.leaderIndex()
	if _, err := r.discovery.send(command{Name: "close"}); err != nil {
		return err
	}
	r.sleep(outageDuration / 2)
	entry := r.entries[0]
	entry.StartedMs = float64(time.Now().UnixMilli())
	change, err := r.changeEntries([]Entry{entry})
	if err != nil {
		return err
	}
	r.sleep(outageDuration / 2)
	reopened, err := r.discovery.send(command{Name: "open again"})
	if err != nil {
		return err
	}
	var latencies Latencies
	for deadline := time.Now().Add(maxRecovery); ; r.sleep(200 * time.Millisecond) {
		if err := r.appendNodeEvents(); err != nil {
			return err
		}
		latencies = changeLatencies([]AppliedChange{{reopened.BootTimeNs, change.MinValue}}, groupByNode(r.nodeEvents),
			r.nodesOutside(nil), eventListInForce, maxRecovery)
		if latencies.Missing == 0 || time.Now().After(deadline) || r.ctx.Err() != nil {
			break
		}
	}
	r.reportLatencies(ScenarioDiscoveryOutage, fmt.Sprintf("list in force after an outage of %v", outageDuration), latencies)
	return r.reportLeaderAndDiscoveryUsage(ScenarioDiscoveryOutage, before, leader, nil)
}

// killLeader kills the leader, and starts it again once the nodes have renewed their leases at its successor.
func (r *run) killLeader() error {
	leader := r.leaderIndex()
	if leader < 0 {
		return fmt.Errorf("no leader is known")
	}
	before, err := r.startMeasurement()
	if err != nil {
		return err
	}
	killedNs := faulttest.BootTimeNs()
	r.voters[leader].stop(syscall.SIGKILL)
	var latencies Latencies
	for deadline := time.Now().Add(maxRecovery); ; r.sleep(200 * time.Millisecond) {
		if err := r.appendNodeEvents(); err != nil {
			return err
		}
		latencies = renewalLatencies(groupByNode(r.nodeEvents), r.nodesOutside(nil), killedNs, maxRecovery)
		if latencies.Missing == 0 || time.Now().After(deadline) || r.ctx.Err() != nil {
			break
		}
	}
	r.reportLatencies(ScenarioLeaderKill, "lease renewed or had again", latencies)
	r.reportLostLeases(ScenarioLeaderKill)
	if err := r.reportLeaderAndDiscoveryUsage(ScenarioLeaderKill, before, r.leaderIndex(), []*process{r.voters[leader]}); err != nil {
		return err
	}
	return r.voters[leader].start(r.Program)
}
