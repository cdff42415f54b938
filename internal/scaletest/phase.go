//go:build faults

package scaletest

import (
	"errors"
	"math"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faulttest"
)

// runPhase applies the scheduled changes. It then reports how long they took to come into force at the nodes, and what the processes
// used during the phase.
func (r *run) runPhase(name string, schedule []ScheduledChange) error {
	leader := r.leaderIndex()
	before, err := r.usageByProcess()
	if err != nil {
		return err
	}
	if err := r.fetchNodeEvents(); err != nil { // discards events from before this phase
		return err
	}
	r.nodeEvents = nil
	startTime, startNs := time.Now(), faulttest.BootTimeNs()
	changes, failedLimitChanges, err := r.applyChanges(name, schedule, startTime)
	if err != nil {
		return err
	}
	r.sleep(time.Until(startTime.Add(r.PhaseDuration)))
	after, err := r.usageByProcess()
	if err != nil {
		return err
	}
	r.sleep(maxPropagation / 5) // waits for events of changes that nodes get after the phase ends
	if err := r.appendNodeEvents(); err != nil {
		return err
	}
	r.reportUsage(name, before, after, leader)
	r.reportPhase(name, changes, failedLimitChanges, startNs)
	if leaderNow := r.leaderIndex(); leaderNow != leader {
		r.addLine("%s: another voter came to lead meanwhile: what the leader used is not all told", name)
	}
	return nil
}

// applyChanges applies each scheduled change at its offset from startTime. It returns the applied changes by kind, and how many changes
// of the budget's limit failed.
func (r *run) applyChanges(name string, schedule []ScheduledChange, startTime time.Time) (map[string][]AppliedChange, int, error) {
	changes, failedLimitChanges := map[string][]AppliedChange{}, 0
	var mu, reloadMu sync.Mutex
	var errs []error
	var slowChanges sync.WaitGroup // changes that run in the background, since they would delay the other changes
	recordChange := func(kind string, c AppliedChange, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			errs = append(errs, err)
			return
		}
		changes[kind] = append(changes[kind], c)
	}
	for _, scheduled := range schedule {
		r.sleep(time.Until(startTime.Add(scheduled.Offset)))
		if r.ctx.Err() != nil {
			return nil, 0, r.ctx.Err()
		}
		switch scheduled.Kind {
		case changeEntry:
			entry := r.entries[scheduled.Index]
			entry.StartedMs = float64(time.Now().UnixMilli())
			c, err := r.changeEntries([]Entry{entry})
			recordChange(scheduled.Kind, c, err)
		case changeConfig:
			slowChanges.Go(func() {
				reloadMu.Lock() // one reload at a time
				defer reloadMu.Unlock()
				c, err := r.reloadConfigs()
				recordChange(scheduled.Kind, c, err)
			})
		case changeBudget:
			// Raises the limit by 10%. If it would exceed 1.2 times the configured limit, lowers it to the previous limit / 1.1 instead.
			if r.budgetLimit *= 1.1; r.budgetLimit > 1.2*budgetRatePerNode*float64(r.HollowNodes+r.RealNodes+voterCount) {
				r.budgetLimit /= 1.21
			}
			limit := math.Round(r.budgetLimit)
			slowChanges.Go(func() {
				c := AppliedChange{BootTimeNs: faulttest.BootTimeNs()}
				status, err := r.client.SetLimit(budgetName, limit)
				if err != nil { // for example during an election; the phase continues
					mu.Lock()
					defer mu.Unlock()
					r.addLine("%s: the budget's whole could not be set: %v", name, err)
					failedLimitChanges++
					return
				}
				c.MinValue = int64(status.BudgetConfig.Revision)
				recordChange(scheduled.Kind, c, nil)
			})
		case restartNode:
			_, err := r.hosts[r.PlaceOf(scheduled.Index).Rack].send(command{Name: "restart", Nodes: []int{scheduled.Index}})
			recordChange(scheduled.Kind, AppliedChange{}, err)
		}
	}
	slowChanges.Wait()
	return changes, failedLimitChanges, errors.Join(errs...)
}

// reportPhase reports how long the changes of a phase took to come into force at the nodes, how long restarted nodes took to have their
// lists, leases and quotas, and how long lease renewals took.
func (r *run) reportPhase(name string, changes map[string][]AppliedChange, failedLimitChanges int, startNs int64) {
	eventsByNode, nodes := groupByNode(r.nodeEvents), r.nodesOutside(nil) // all hollow nodes
	for i, p := range r.realNodes {
		eventsByNode[firstRealNodeNumber+i] = p.loggedEvents(firstRealNodeNumber + i)
		nodes = append(nodes, firstRealNodeNumber+i)
	}
	r.reportLatencies(name, "list in force",
		changeLatencies(changes[changeEntry], eventsByNode, nodes, eventListInForce, maxPropagation))
	if r.Includes(ScenarioConfiguration) {
		r.reportLatencies(name, "configuration in force",
			changeLatencies(changes[changeConfig], eventsByNode, nodes, eventConfigInForce, maxPropagation))
	}
	if r.Includes(ScenarioBudget) { // without the real nodes, whose logs don't show received quotas
		if r.addMeasurement(name, "node", "wholes that could not be set", float64(failedLimitChanges)); failedLimitChanges > 0 {
			r.addExceededBound("%s: a budget's whole could not be set %d times", name, failedLimitChanges)
		}
		r.reportLatencies(name, "budget's whole in force",
			changeLatencies(changes[changeBudget], eventsByNode, r.nodesOutside(nil), eventQuotasReceived, maxPropagation))
	}
	if n := len(changes[restartNode]); n > 0 {
		r.addLine("%s: %d nodes restarted, %d entries changed: %g times the operators' whole fleet's", name, n, len(changes[changeEntry]), r.ChurnFactor)
		for _, kind := range r.requiredEvents() {
			r.reportLatencies(name, eventLabels[kind]+" after a start",
				startLatencies(eventsByNode, r.nodesOutside(nil), startNs, kind, maxPropagation))
		}
	}
	if r.Includes(ScenarioLease) {
		r.reportRenewals(name)
	}
}

// changeEntries replaces entries of the endpoint list at the discovery service.
func (r *run) changeEntries(entries []Entry) (AppliedChange, error) {
	response, err := r.discovery.send(command{Name: "change", Entries: entries})
	return AppliedChange{response.BootTimeNs, response.Version}, err
}

// reloadConfigs rewrites all configuration files and makes all nodes except the voters reload them.
func (r *run) reloadConfigs() (AppliedChange, error) {
	if err := r.writeConfigs(); err != nil {
		return AppliedChange{}, err
	}
	startNs := faulttest.BootTimeNs()
	err := inParallel(r.hosts, func(p *process) error { _, err := p.send(command{Name: "reload"}); return err })
	for _, p := range r.realNodes {
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	}
	return AppliedChange{BootTimeNs: startNs}, err
}

// leaderIndex returns the index of the leader among the voters, or -1 if no leader is known.
func (r *run) leaderIndex() int {
	if r.client == nil {
		return -1
	}
	s, err := r.client.Status()
	if err != nil {
		return -1
	}
	return slices.IndexFunc(r.voters, func(p *process) bool { return p.name == s.Node })
}
