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

// note is one line of a process's record, by the machine's boot clock in nanoseconds.
type event struct {
	Type           string `json:"what"`
	Node           string `json:"who"`
	PID            int    `json:"pid"`
	TimeNs         int64  `json:"at"`
	StartNs        int64  `json:"from"`
	Token          uint64 `json:"token"`
	Operation      string `json:"kind"`
	Holder         string `json:"holder"`
	RequestToken   uint64 `json:"asked"`
	CallNs         int64  `json:"call"`
	ReturnNs       int64  `json:"return"`
	ErrorName      string `json:"refusal"`
	OutcomeUnknown bool   `json:"unknown"`
	DelayNs        int64  `json:"ns"`
}

// pass is what the door outside saw.
type resourceRequest struct {
	timeNs   int64
	node     string
	token    uint64
	accepted bool
}

// pause is when the rig let a process stand still, or ended it.
type pause struct {
	pid            int
	startNs, endNs int64
}

// history is all that a run left behind.
type history struct {
	events            []event
	requests          []resourceRequest
	pauses            []pause
	holderLosses      []holderLoss
	clocksBeyondBound bool // a clock was beyond the bound: outside a door nothing is promised
	leaseDuration     time.Duration
}

// loss is a holder struck at a time.
type holderLoss struct {
	fault, node string
	timeNs      int64
}

// verdict is what the judge makes of it.
type checkResult struct {
	actions           int
	fencingViolations []string // overlaps at a door: never
	overlaps          []string // overlaps outside one: never while clocks keep the bound and nobody is paused
	orderViolations   []string // what no single order explains
	maxDelay          time.Duration
	failoverTimes     map[string][]time.Duration
	orderUnknown      bool // the order could not be looked through in time
	excusedOverlaps   int  // overlaps outside a door while paused or beyond the bound
	acceptedRequests  int
}

const (
	orderCheckTimeout   = 20 * time.Second
	pauseLookbackLeases = 2 // leases before an act in which a pause may be behind it
)

func readEvents(path string) (events []event, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) == nil { // the last line of a killed process may be cut
			events = append(events, e)
		}
	}
	return events, nil
}

func (h *history) pausedDuring(pid int, startNs, endNs int64) bool {
	return slices.ContainsFunc(h.pauses, func(p pause) bool { return p.pid == pid && p.startNs <= endNs && p.endNs >= startNs })
}

// judge holds a run against the rules.
func (h *history) check() (result checkResult) {
	h.checkFencing(&result)
	h.checkOverlaps(&result)
	h.checkOrder(&result)
	h.measureFailovers(&result)
	for _, e := range h.events {
		if e.Type == "late" && !h.pausedDuring(e.PID, e.TimeNs-e.DelayNs-int64(h.leaseDuration), e.TimeNs) {
			result.maxDelay = max(result.maxDelay, time.Duration(e.DelayNs))
		}
	}
	return result
}

// atDoors: once a later token has passed, no earlier one does. Inside the fleet the order is looked at by inOrder.
func (h *history) checkFencing(result *checkResult) {
	maxToken := uint64(0)
	for _, request := range h.requests {
		if !request.accepted {
			continue
		}
		result.acceptedRequests++
		result.actions++
		if request.token < maxToken {
			result.fencingViolations = append(result.fencingViolations, fmt.Sprintf("%s passes with token %d after %d", request.node, request.token, maxToken))
		}
		maxToken = max(maxToken, request.token)
	}
}

// outsideDoors: acts of two holdings never overlap.
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
		if a.endNs == math.MaxInt64 { // the process ended in the middle
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
			result.overlaps = append(result.overlaps, fmt.Sprintf("%s with token %d and %s with token %d act at once, for %v", a.Node, a.Token,
				b.Node, b.Token, time.Duration(min(a.endNs, b.endNs)-b.TimeNs)))
		}
	}
}

// held is the lease in the model: the last token, and whether it is held yet.
type leaseState struct {
	lastToken uint64
	holder    string
	held      bool
}

// inOrder: some single order of all askings, each between its call and its return, explains all answers. A lease may run
// out at any time; what nobody had an answer of may have happened or not, and can't be contradicted by a later answer.
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
				return []any{leaseState{e.Token, e.Holder, true}} // the one before has run out
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
		result.orderViolations = append(result.orderViolations, fmt.Sprintf("no order of %d askings explains their answers", len(ops)))
	case porcupine.Unknown:
		result.orderUnknown = true
	}
}

// handedOn measures from the loss of a holder to the next act of another.
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
