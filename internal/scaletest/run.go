//go:build faults

package scaletest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/cluster"
	"github.com/thistlerudder/thistlerudder/internal/faulttest"
)

const limitCheckInterval = 500 * time.Millisecond

// run is the state of a run.
type run struct {
	*Plan
	resources     Resources
	ctx           context.Context
	dir           string
	logf          func(format string, args ...any)
	entries       []Entry
	baseHeapBytes uint64 // live heap of a host without hollow nodes

	discovery      *process
	voters         []*process
	hosts          []*process // by rack
	realNodes      []*process
	relays         []*faulttest.Relay // between the partitioned region and the voters and the discovery service
	cacheServers   []*http.Server
	client         *cluster.Client
	lookups        faulttest.Lookups
	lookupClients  sync.WaitGroup
	done           chan struct{}
	configRevision int             // number of times that the configuration files were written
	configPadding  json.RawMessage // in each hollow node's, real node's and voter's file
	budgetLimit    float64
	nodeEvents     []NodeEvent
	report         Report
	stalls         stallMonitor
}

// Run runs the plan. It writes progress by logf. When it returns, even with an error, the processes that it started have ended and
// the files that it wrote are removed.
func Run(ctx context.Context, plan Plan, logf func(format string, args ...any)) (report Report, err error) {
	resources, err := availableResources()
	if err == nil {
		err = plan.CheckFits(resources)
	}
	if err != nil {
		return report, err
	}
	limitedCtx, stop := context.WithTimeout(ctx, plan.MaxDuration())
	defer stop()
	runCtx, fail := context.WithCancelCause(limitedCtx)
	defer fail(nil)
	r := &run{Plan: &plan, resources: resources, ctx: runCtx, logf: logf, done: make(chan struct{}),
		budgetLimit: budgetRatePerNode * float64(plan.HollowNodes+plan.RealNodes+voterCount)}
	if r.dir, err = os.MkdirTemp("", "scale-"); err != nil {
		return report, err
	}
	defer func() {
		r.tearDown()
		err = errors.Join(err, os.RemoveAll(r.dir))
	}()
	r.defineProcesses()
	go r.enforceLimits(fail)
	go r.stalls.watch(runCtx)
	if err = r.runPhases(); err != nil && runCtx.Err() != nil {
		err = context.Cause(runCtx)
	}
	if longestStallNs := r.stalls.longestNs.Load(); len(r.report.ExceededBounds) > 0 && time.Duration(longestStallNs) > maxStall {
		r.report.VoidReason = fmt.Sprintf("the machine did not schedule the test process for %v", time.Duration(longestStallNs).Round(time.Millisecond))
	}
	return r.report, err
}

// enforceLimits cancels the run if it exceeds the limits on memory or processes. The estimate before the run may be wrong.
func (r *run) enforceLimits(fail context.CancelCauseFunc) {
	for ticker := time.NewTicker(limitCheckInterval); ; {
		select {
		case <-r.ctx.Done():
			ticker.Stop()
			return
		case <-ticker.C:
		}
		totalResidentBytes, processes := residentBytes(os.Getpid()), 1
		for _, p := range r.processes() {
			if p.isRunning() {
				totalResidentBytes += residentBytes(p.pid())
				processes++
			}
		}
		if err := checkRunLimits(totalResidentBytes, processes); err != nil {
			fail(err)
		}
	}
}

// tearDown stops all processes by their ids, and closes the client, the relays and the cache servers.
func (r *run) tearDown() {
	select {
	case <-r.done:
	default:
		close(r.done)
	}
	r.lookupClients.Wait()
	if r.client != nil {
		r.client.Close()
	}
	var stopping sync.WaitGroup
	for _, p := range r.processes() {
		stopping.Go(func() { p.stop(syscall.SIGKILL) }) // no graceful shutdown is needed, as the run's files are removed
	}
	stopping.Wait()
	for _, relay := range r.relays {
		relay.Close()
	}
	for _, server := range r.cacheServers {
		_ = server.Close()
	}
}

// inParallel calls do for all processes at once and joins the errors.
func inParallel(processes []*process, do func(*process) error) error {
	errs := make([]error, len(processes))
	var running sync.WaitGroup
	for i, p := range processes {
		running.Go(func() { errs[i] = do(p) })
	}
	running.Wait()
	return errors.Join(errs...)
}

// sleep waits for the duration or until the run is canceled.
func (r *run) sleep(duration time.Duration) {
	select {
	case <-r.ctx.Done():
	case <-time.After(duration):
	}
}

// runPhases starts everything and runs the phases of the plan in order.
func (r *run) runPhases() error {
	if err := r.start(); err != nil {
		return err
	}
	r.sleep(settleDuration)
	if err := r.fetchNodeEvents(); err != nil {
		return err
	}
	if err := r.runPhase("peace", r.steadyChanges()); err != nil {
		return err
	}
	for _, scenario := range AllScenarios {
		if !r.Includes(scenario) || r.ctx.Err() != nil {
			continue
		}
		var err error
		switch scenario {
		case ScenarioChurn:
			err = r.runPhase(ScenarioChurn, r.churnChanges())
		case ScenarioRestart, ScenarioRackLoss, ScenarioZoneLoss, ScenarioRegionLoss:
			err = r.loseAndRestore(scenario)
		case ScenarioPartition:
			err = r.runPartition()
		case ScenarioDiscoveryOutage:
			err = r.runDiscoveryOutage()
		case ScenarioLeaderKill:
			err = r.killLeader()
		default:
			continue
		}
		if err != nil {
			return err
		}
	}
	if r.RealNodes > 0 && !r.NoLoad {
		lookups, unserved, firstReason := r.lookups.Counts()
		r.addLine("lookups at %d real nodes: %d, left unserved by a running node: %d", r.RealNodes, lookups, unserved)
		if unserved > 0 || lookups == 0 {
			r.addExceededBound("%d of %d lookups were not served by nodes that ran; the first: %s", unserved, lookups, firstReason)
		}
	}
	return r.ctx.Err()
}
