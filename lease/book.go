package lease

import (
	"errors"
	"fmt"
	"maps"
)

const (
	budgetsMost = 64      // of a fleet
	unitsMost   = 1 << 20 // of a budget: sums stay far from any integer's end
	movesMost   = 16384   // in one entry
	eachMost    = 1e6     // a second, of one unit
)

// Terms is what a fleet agrees on about a budget. It is divided in whole units, so that no sum is ever rounded: a number
// at a time has as many as it is, a rate as many as its burst, each with its part of the rate and one saved.
type Terms struct {
	Kind     string  `json:"kind"` // RateKind or NumberKind
	Bounds   string  `json:"of"`   // what it bounds
	Units    int     `json:"units"`
	Each     float64 `json:"each"`  // a second, of one unit of a rate; it never changes, so that no unit is worth more to one than to another
	Apart    int     `json:"apart"` // units that each node has for itself, in touch or not; they are never lent
	Nodes    int     `json:"nodes"` // how many there may ever be
	Revision uint64  `json:"revision"`
}

// The kinds of budget.
const (
	RateKind   = "rate"
	NumberKind = "number"
)

// Budget is one with the parts that are out. They end with the lease that they hang on: a node's own name.
type Budget struct {
	Terms
	Parts map[string]Part `json:"parts"` // by lease
}

// Part is so many units of a lease's holder. The token is another one with each change, so that a word about an earlier
// one is known as such.
type Part struct {
	Token uint64 `json:"token"`
	Units int    `json:"units"`
}

// Move changes one part: of the lease with this token, if the part still has the token Under (0: there is none).
type Move struct {
	Budget string `json:"b"`
	Lease  string `json:"l"`
	Token  uint64 `json:"t"`
	Under  uint64 `json:"u,omitempty"`
	Units  int    `json:"n,omitempty"`
}

// ErrWhole says that a whole can't be what was asked.
var ErrWhole = errors.New("not a whole for this budget")

// Check says what is wrong with a budget's terms.
func (t Terms) Check() error {
	switch {
	case t.Kind != RateKind && t.Kind != NumberKind:
		return fmt.Errorf("%w: kind %.50q, expected %s or %s", ErrWhole, t.Kind, RateKind, NumberKind)
	case t.Kind == RateKind && !(t.Each > 0 && t.Each <= eachMost):
		return fmt.Errorf("%w: %g a second of a unit, expected a number above 0, %g at most", ErrWhole, t.Each, eachMost)
	case t.Units < 1 || t.Units > unitsMost:
		return fmt.Errorf("%w: %d units, expected 1 to %d", ErrWhole, t.Units, unitsMost)
	case t.Nodes < 1 || t.Nodes > namesMost || t.Apart < 0 || t.Apart*t.Nodes > t.Units:
		return fmt.Errorf("%w: %d units, and %d each for %d nodes that may be cut off: expected %d or more", ErrWhole, t.Units, t.Apart,
			t.Nodes, t.Apart*t.Nodes)
	}
	return nil
}

// Lendable is how many units may be out as parts.
func (t Terms) Lendable() int { return t.Units - t.Apart*t.Nodes }

// Whole is all of it: a second, or at a time.
func (t Terms) Whole() float64 {
	if t.Kind == NumberKind {
		return float64(t.Units)
	}
	return t.Each * float64(t.Units)
}

// Out is how many units are out as parts.
func (b *Budget) Out() (n int) {
	for _, p := range b.Parts {
		n += p.Units
	}
	return n
}

// Clone copies it.
func (b *Budget) Clone() *Budget {
	o := *b
	if o.Parts = maps.Clone(b.Parts); o.Parts == nil {
		o.Parts = map[string]Part{}
	}
	return &o
}

// whole declares a budget, or changes how much of it there is. What is set apart stays as it was declared: who is cut off
// goes on by it, and hears of no change. Parts stay as well; a whole that was lowered holds once enough has come back.
func (s *State) whole(e Entry) Result {
	is, known := s.Budgets[e.Name]
	if e.Budget == nil {
		return Result{Err: fmt.Errorf("%w: no terms", ErrForm)}
	}
	t := *e.Budget
	switch {
	case !known && len(s.Budgets) >= budgetsMost:
		return Result{Err: ErrFull}
	case known && t.Revision == 0:
		return Result{Token: is.Revision, Err: ErrRepeated} // declared before, perhaps otherwise: what is agreed holds
	case known && t.Revision != is.Revision:
		return Result{Token: is.Revision, Err: ErrRepeated}
	case known:
		t.Apart, t.Nodes, t.Kind, t.Bounds, t.Each = is.Apart, is.Nodes, is.Kind, is.Bounds, is.Each
	}
	if err := t.Check(); err != nil {
		return Result{Err: err}
	}
	if t.Revision++; !known {
		is = &Budget{Parts: map[string]Part{}}
		s.Budgets[e.Name] = is
	}
	is.Terms = t
	return Result{Token: t.Revision}
}

// move changes parts, each if it can be: more is never out than there is to lend.
func (s *State) move(moves []Move) Result {
	if len(moves) > movesMost {
		return Result{Err: fmt.Errorf("%w: %d moves, %d at most", ErrForm, len(moves), movesMost)}
	}
	out := map[string]int{} // of the budgets met
	for _, m := range moves {
		b, known := s.Budgets[m.Budget]
		if !known || m.Units < 0 || m.Units > unitsMost {
			continue
		}
		if _, met := out[m.Budget]; !met {
			out[m.Budget] = b.Out()
		}
		was := b.Parts[m.Lease]
		more := m.Units - was.Units
		held, is := s.Leases[m.Lease]
		if !is || held.Token != m.Token || was.Token != m.Under || more > 0 && out[m.Budget]+more > b.Lendable() {
			continue
		}
		out[m.Budget] += more
		s.Tokens++
		if m.Units == 0 {
			delete(b.Parts, m.Lease)
		} else {
			b.Parts[m.Lease] = Part{s.Tokens, m.Units}
		}
	}
	return Result{}
}

// drop ends the parts of a lease that has ended.
func (s *State) drop(name string) {
	for _, b := range s.Budgets {
		delete(b.Parts, name)
	}
}
