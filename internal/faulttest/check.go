package faulttest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// event is a line of the record file that package cluster writes in each process. Its times are boot times in ns.
type event struct {
	Type           string `json:"what"` // "begin" or "end" of an action on the unguarded resource, "ask": lease request, "late": scheduling delay
	Node           string `json:"who"`
	PID            int    `json:"pid"`
	TimeNs         int64  `json:"at"`
	StartNs        int64  `json:"from"` // of an end: TimeNs of the action's begin
	Token          uint64 `json:"token"`
	Operation      string `json:"kind"` // of a lease request
	Holder         string `json:"holder"`
	RequestToken   uint64 `json:"asked"` // token in a lease request; Token is that of the response
	CallNs         int64  `json:"call"`
	ReturnNs       int64  `json:"return"`
	ErrorName      string `json:"refusal"` // error in the response; empty: none
	OutcomeUnknown bool   `json:"unknown"` // the request got no response
	DelayNs        int64  `json:"ns"`
}

// resourceRequest is a request that the guarded resource received.
type resourceRequest struct {
	timeNs   int64
	node     string
	token    uint64
	accepted bool
}

// pause is a time in which the test had a process stopped. The exit of a process is recorded as a pause whose endNs is 1 << 62.
type pause struct {
	pid            int
	startNs, endNs int64
}

// history is everything that was recorded in a run.
type history struct {
	events            []event
	requests          []resourceRequest
	pauses            []pause
	holderLosses      []holderLoss
	clocksBeyondBound bool // a clock rate was beyond fleet.drift, so that only fencing tokens protect actions
	leaseDuration     time.Duration
}

// holderLoss is a fault that struck the holder of the lease.
type holderLoss struct {
	fault, node string
	timeNs      int64
}

// checkResult is the outcome of the checks of a history.
type checkResult struct {
	actions           int
	fencingViolations []string                   // stale tokens that the guarded resource accepted
	overlaps          []string                   // of unguarded actions, while no process was paused and all clock rates were in bounds
	orderViolations   []string                   // histories of lease requests that are not linearizable
	maxDelay          time.Duration              // longest scheduling delay of a process that the test did not stop
	failoverTimes     map[string][]time.Duration // by fault
	orderUnknown      bool                       // checkOrder timed out
	excusedOverlaps   int                        // of unguarded actions, while a process was paused or a clock rate out of bounds
	acceptedRequests  int                        // requests that the guarded resource accepted
}

const (
	orderCheckTimeout   = 20 * time.Second
	pauseLookbackLeases = 2 // an overlap is excused if a pause is at most this many lease durations before an action
)

func readEvents(path string) (events []event, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) == nil { // the last line of a killed process may be truncated
			events = append(events, e)
		}
	}
	return events, nil
}

// pausedDuring reports whether the process was stopped, or had exited, at some time from startNs to endNs.
func (h *history) pausedDuring(pid int, startNs, endNs int64) bool {
	return slices.ContainsFunc(h.pauses, func(p pause) bool { return p.pid == pid && p.startNs <= endNs && p.endNs >= startNs })
}

// check checks the history against the guarantees of leases.
func (h *history) check() (result checkResult) {
	h.checkFencing(&result)
	h.checkOverlaps(&result)
	h.checkOrder(&result)
	h.measureFailovers(&result)
	for _, e := range h.events {
		// A delay doesn't count if the process was stopped during it or up to a lease duration before.
		if e.Type == "late" && !h.pausedDuring(e.PID, e.TimeNs-e.DelayNs-int64(h.leaseDuration), e.TimeNs) {
			result.maxDelay = max(result.maxDelay, time.Duration(e.DelayNs))
		}
	}
	return result
}

// checkFencing checks that the guarded resource accepts no token after a higher one. checkOrder checks the same for effects in
// the replicated state.
func (h *history) checkFencing(result *checkResult) {
	maxToken := uint64(0)
	for _, request := range h.requests {
		if !request.accepted {
			continue
		}
		result.acceptedRequests++
		result.actions++
		if request.token < maxToken {
			result.fencingViolations = append(result.fencingViolations, fmt.Sprintf("%s was accepted with token %d after token %d", request.node, request.token, maxToken))
		}
		maxToken = max(maxToken, request.token)
	}
}

// checkOverlaps checks that the actions of two holders on the unguarded resource never overlap.
func (h *history) checkOverlaps(result *checkResult) {
	type action struct {
		event
		endNs int64
	}
	var actions []action
	for _, e := range h.events {
		if e.Type != "begin" {
			continue
		}
		result.actions++
		a := action{e, math.MaxInt64}
		for _, end := range h.events {
			if end.Type == "end" && end.StartNs == e.TimeNs && end.PID == e.PID {
				a.endNs = end.TimeNs
			}
		}
		if a.endNs == math.MaxInt64 { // the process exited during the action, which then lasts until the process was stopped or exited
			for _, p := range h.pauses {
				if p.pid == e.PID && p.startNs >= e.TimeNs {
					a.endNs = min(a.endNs, p.startNs)
				}
			}
		}
		actions = append(actions, a)
	}
	slices.SortFunc(actions, func(a, b action) int { return int(a.TimeNs - b.TimeNs) })
	lookbackNs := int64(pauseLookbackLeases * h.leaseDuration)
	for i, a := range actions {
		for _, b := range actions[i+1:] {
			if b.TimeNs >= a.endNs {
				break
			}
			if a.PID == b.PID {
				continue
			}
			if h.clocksBeyondBound || h.pausedDuring(a.PID, a.TimeNs-lookbackNs, a.endNs) || h.pausedDuring(b.PID, b.TimeNs-lookbackNs, b.endNs) {
				result.excusedOverlaps++
				continue
			}
			result.overlaps = append(result.overlaps, fmt.Sprintf("actions of %s with token %d and %s with token %d overlap for %v", a.Node, a.Token,
				b.Node, b.Token, time.Duration(min(a.endNs, b.endNs)-b.TimeNs)))
		}
	}
}

// leaseState is the state of the lease in the model that checkOrder uses.
type leaseState struct {
	lastToken uint64
	holder    string
	held      bool
}

// checkOrder checks that the lease requests are linearizable: one order of all requests, each between its call and its return,
// explains all responses. In the model, a lease may expire at any time. Requests without a response are left out: they may
// or may not have taken effect, and no later response can contradict either.
func (h *history) checkOrder(result *checkResult) {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{leaseState{}} },
		Step: func(state, input, _ any) []any {
			lease, e := state.(leaseState), input.(event)
			released := lease
			released.held = false
			switch ok := e.ErrorName == ""; {
			case e.Operation == "acquire" && ok && lease.held && lease.holder == e.Holder && lease.lastToken == e.Token:
				return []any{lease}
			case e.Operation == "acquire" && ok && e.Token > lease.lastToken:
				return []any{leaseState{e.Token, e.Holder, true}} // the previous lease has expired
			case (e.Operation == "renew" || e.Operation == "do") && ok && lease.held && lease.lastToken == e.RequestToken:
				return []any{lease}
			case e.Operation == "release" && ok && lease.held && lease.lastToken == e.RequestToken:
				return []any{released}
			case e.ErrorName == "lapsed" && lease.lastToken == e.RequestToken:
				return []any{released}
			case !ok:
				return []any{lease}
			}
			return nil
		},
	}
	var ops []porcupine.Operation
	clientIDs := map[string]int{}
	for _, e := range h.events {
		if e.Type != "ask" || e.OutcomeUnknown || e.ErrorName == "leader" || e.Operation == "withdraw" {
			continue
		}
		if e.Operation == "do" && e.ErrorName == "" {
			result.actions++
		}
		if _, known := clientIDs[e.Holder]; !known {
			clientIDs[e.Holder] = len(clientIDs)
		}
		ops = append(ops, porcupine.Operation{ClientId: clientIDs[e.Holder], Input: e, Call: e.CallNs, Output: e, Return: e.ReturnNs})
	}
	switch porcupine.CheckOperationsTimeout(model.ToModel(), ops, orderCheckTimeout) {
	case porcupine.Illegal:
		result.orderViolations = append(result.orderViolations, fmt.Sprintf("no order of the %d lease requests explains their responses", len(ops)))
	case porcupine.Unknown:
		result.orderUnknown = true
	}
}

// measureFailovers measures the time from the loss of each holder to the next action of another node.
func (h *history) measureFailovers(result *checkResult) {
	result.failoverTimes = map[string][]time.Duration{}
	for _, loss := range h.holderLosses {
		nextNs := int64(math.MaxInt64)
		for _, e := range h.events {
			timeNs := e.TimeNs
			if e.Type == "ask" && e.Operation == "do" && e.ErrorName == "" && !e.OutcomeUnknown {
				timeNs = e.ReturnNs
			} else if e.Type != "begin" {
				continue
			}
			if e.Node != loss.node && timeNs > loss.timeNs {
				nextNs = min(nextNs, timeNs)
			}
		}
		for _, request := range h.requests {
			if request.accepted && request.node != loss.node && request.timeNs > loss.timeNs {
				nextNs = min(nextNs, request.timeNs)
			}
		}
		if nextNs < math.MaxInt64 {
			result.failoverTimes[loss.fault] = append(result.failoverTimes[loss.fault], time.Duration(nextNs-loss.timeNs))
		}
	}
}

func (r *checkResult) violations() []string {
	return slices.Concat(r.fencingViolations, r.overlaps, r.orderViolations)
}
