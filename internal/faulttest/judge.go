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
type note struct {
	What    string `json:"what"`
	Who     string `json:"who"`
	Pid     int    `json:"pid"`
	At      int64  `json:"at"`
	From    int64  `json:"from"`
	Token   uint64 `json:"token"`
	Kind    string `json:"kind"`
	Holder  string `json:"holder"`
	Asked   uint64 `json:"asked"`
	Call    int64  `json:"call"`
	Return  int64  `json:"return"`
	Refusal string `json:"refusal"`
	Unknown bool   `json:"unknown"`
	Ns      int64  `json:"ns"`
}

// pass is what the door outside saw.
type pass struct {
	at     int64
	who    string
	token  uint64
	passed bool
}

// pause is when the rig let a process stand still, or ended it.
type pause struct {
	pid      int
	from, to int64
}

// history is all that a run left behind.
type history struct {
	notes  []note
	passes []pass
	pauses []pause
	losses []loss
	beyond bool // a clock was beyond the bound: outside a door nothing is promised
	lease  time.Duration
}

// loss is a holder struck at a time.
type loss struct {
	kind, who string
	at        int64
}

// verdict is what the judge makes of it.
type verdict struct {
	acts       int
	door       []string // overlaps at a door: never
	outside    []string // overlaps outside one: never while clocks keep the bound and nobody is paused
	order      []string // what no single order explains
	late       time.Duration
	handings   map[string][]time.Duration
	unjudged   bool // the order could not be looked through in time
	excused    int  // overlaps outside a door while paused or beyond the bound
	doorPasses int
}

const (
	orderWithin = 20 * time.Second
	pauseBefore = 2 // leases before an act in which a pause may be behind it
)

func readNotes(path string) (all []note, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		var n note
		if json.Unmarshal(s.Bytes(), &n) == nil { // the last line of a killed process may be cut
			all = append(all, n)
		}
	}
	return all, nil
}

func (h *history) paused(pid int, from, to int64) bool {
	return slices.ContainsFunc(h.pauses, func(p pause) bool { return p.pid == pid && p.from <= to && p.to >= from })
}

// judge holds a run against the rules.
func (h *history) judge() (v verdict) {
	h.atDoors(&v)
	h.outsideDoors(&v)
	h.inOrder(&v)
	h.handedOn(&v)
	for _, n := range h.notes {
		if n.What == "late" && !h.paused(n.Pid, n.At-n.Ns-int64(h.lease), n.At) {
			v.late = max(v.late, time.Duration(n.Ns))
		}
	}
	return v
}

// atDoors: once a later token has passed, no earlier one does. Inside the fleet the order is looked at by inOrder.
func (h *history) atDoors(v *verdict) {
	last := uint64(0)
	for _, p := range h.passes {
		if !p.passed {
			continue
		}
		v.doorPasses++
		v.acts++
		if p.token < last {
			v.door = append(v.door, fmt.Sprintf("%s passes with token %d after %d", p.who, p.token, last))
		}
		last = max(last, p.token)
	}
}

// outsideDoors: acts of two holdings never overlap.
func (h *history) outsideDoors(v *verdict) {
	type act struct {
		note
		to int64
	}
	var acts []act
	for _, n := range h.notes {
		if n.What != "begin" {
			continue
		}
		v.acts++
		a := act{n, math.MaxInt64}
		for _, e := range h.notes {
			if e.What == "end" && e.From == n.At && e.Pid == n.Pid {
				a.to = e.At
			}
		}
		if a.to == math.MaxInt64 { // the process ended in the middle
			for _, p := range h.pauses {
				if p.pid == n.Pid && p.from >= n.At {
					a.to = min(a.to, p.from)
				}
			}
		}
		acts = append(acts, a)
	}
	slices.SortFunc(acts, func(a, b act) int { return int(a.At - b.At) })
	far := int64(pauseBefore * h.lease)
	for i, a := range acts {
		for _, b := range acts[i+1:] {
			if b.At >= a.to {
				break
			}
			if a.Pid == b.Pid {
				continue
			}
			if h.beyond || h.paused(a.Pid, a.At-far, a.to) || h.paused(b.Pid, b.At-far, b.to) {
				v.excused++
				continue
			}
			v.outside = append(v.outside, fmt.Sprintf("%s with token %d and %s with token %d act at once, for %v", a.Who, a.Token,
				b.Who, b.Token, time.Duration(min(a.to, b.to)-b.At)))
		}
	}
}

// held is the lease in the model: the last token, and whether it is held yet.
type held struct {
	last   uint64
	holder string
	is     bool
}

// inOrder: some single order of all askings, each between its call and its return, explains all answers. A lease may run
// out at any time; what nobody had an answer of may have happened or not, and can't be contradicted by a later answer.
func (h *history) inOrder(v *verdict) {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{held{}} },
		Step: func(state, input, _ any) []any {
			s, n := state.(held), input.(note)
			gone := s
			gone.is = false
			switch ok := n.Refusal == ""; {
			case n.Kind == "acquire" && ok && s.is && s.holder == n.Holder && s.last == n.Token:
				return []any{s}
			case n.Kind == "acquire" && ok && n.Token > s.last:
				return []any{held{n.Token, n.Holder, true}} // the one before has run out
			case (n.Kind == "renew" || n.Kind == "do") && ok && s.is && s.last == n.Asked:
				return []any{s}
			case n.Kind == "release" && ok && s.is && s.last == n.Asked:
				return []any{gone}
			case n.Refusal == "lapsed" && s.last == n.Asked:
				return []any{gone}
			case !ok:
				return []any{s}
			}
			return nil
		},
	}
	var ops []porcupine.Operation
	clients := map[string]int{}
	for _, n := range h.notes {
		if n.What != "ask" || n.Unknown || n.Refusal == "leader" || n.Kind == "withdraw" {
			continue
		}
		if n.Kind == "do" && n.Refusal == "" {
			v.acts++
		}
		if _, known := clients[n.Holder]; !known {
			clients[n.Holder] = len(clients)
		}
		ops = append(ops, porcupine.Operation{ClientId: clients[n.Holder], Input: n, Call: n.Call, Output: n, Return: n.Return})
	}
	switch porcupine.CheckOperationsTimeout(model.ToModel(), ops, orderWithin) {
	case porcupine.Illegal:
		v.order = append(v.order, fmt.Sprintf("no order of %d askings explains their answers", len(ops)))
	case porcupine.Unknown:
		v.unjudged = true
	}
}

// handedOn measures from the loss of a holder to the next act of another.
func (h *history) handedOn(v *verdict) {
	v.handings = map[string][]time.Duration{}
	for _, l := range h.losses {
		next := int64(math.MaxInt64)
		for _, n := range h.notes {
			at := n.At
			if n.What == "ask" && n.Kind == "do" && n.Refusal == "" && !n.Unknown {
				at = n.Return
			} else if n.What != "begin" {
				continue
			}
			if n.Who != l.who && at > l.at {
				next = min(next, at)
			}
		}
		for _, p := range h.passes {
			if p.passed && p.who != l.who && p.at > l.at {
				next = min(next, p.at)
			}
		}
		if next < math.MaxInt64 {
			v.handings[l.kind] = append(v.handings[l.kind], time.Duration(next-l.at))
		}
	}
}

func (v *verdict) broken() []string { return slices.Concat(v.door, v.outside, v.order) }
