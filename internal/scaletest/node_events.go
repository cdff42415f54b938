//go:build faults

package scaletest

import (
	"sync"
	"time"
)

// fetchNodeEvents replaces nodeEvents by the events that the hosts have recorded since the last fetch.
func (r *run) fetchNodeEvents() error {
	var mu sync.Mutex
	r.nodeEvents = nil
	return inParallel(r.hosts, func(p *process) error {
		if !p.isRunning() {
			return nil
		}
		fetched, err := p.send(command{Name: "marks"})
		mu.Lock()
		defer mu.Unlock()
		r.nodeEvents = append(r.nodeEvents, fetched.NodeEvents...)
		return err
	})
}

// appendNodeEvents fetches the new events and keeps the earlier ones.
func (r *run) appendNodeEvents() error {
	earlier := r.nodeEvents
	err := r.fetchNodeEvents()
	r.nodeEvents = append(earlier, r.nodeEvents...)
	return err
}

// nodesOutside returns the numbers of all hollow nodes outside the racks.
func (r *run) nodesOutside(racks map[int]bool) (nodes []int) {
	for n := range r.HollowNodes {
		if !racks[r.PlaceOf(n).Rack] {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// requiredEvents returns the kinds of events that each node has after a start.
func (r *run) requiredEvents() (kinds []string) {
	kinds = []string{eventListInForce}
	if r.Includes(ScenarioLease) {
		kinds = append(kinds, eventLeaseAcquired)
	}
	if r.Includes(ScenarioBudget) {
		kinds = append(kinds, eventQuotasReceived)
	}
	return kinds
}

// eventLabels maps kinds of events to their names in the report.
var eventLabels = map[string]string{
	eventListInForce:    "list",
	eventLeaseAcquired:  "lease",
	eventQuotasReceived: "part",
	eventConfigInForce:  "configuration",
}

// awaitRecovery waits until each node that has started since sinceNs has its required events, and reports how long they took.
func (r *run) awaitRecovery(phase string, sinceNs int64, timeout time.Duration) error {
	r.nodeEvents = nil
	for deadline := time.Now().Add(timeout); ; r.sleep(200 * time.Millisecond) {
		if err := r.appendNodeEvents(); err != nil {
			return err
		}
		eventsByNode, missing := groupByNode(r.nodeEvents), 0
		for _, kind := range r.requiredEvents() {
			missing += startLatencies(eventsByNode, r.nodesOutside(nil), sinceNs, kind, timeout).Missing
		}
		if timedOut := time.Now().After(deadline); missing == 0 || timedOut || r.ctx.Err() != nil {
			break
		}
	}
	eventsByNode := groupByNode(r.nodeEvents)
	for _, kind := range r.requiredEvents() {
		r.reportLatencies(phase, eventLabels[kind]+" after a start", startLatencies(eventsByNode, r.nodesOutside(nil), sinceNs, kind, timeout))
	}
	return r.ctx.Err()
}
