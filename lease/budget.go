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

// BudgetConfig is what a fleet agrees on about a budget. It is divided in whole units, so that no sum is ever rounded: a number
// at a time has as many as it is, a rate as many as its burst, each with its part of the rate and one saved.
type BudgetConfig struct {
	Kind            string  `json:"kind"` // RateKind or NumberKind
	Resource        string  `json:"of"`   // what it bounds
	Units           int     `json:"units"`
	RatePerUnit     float64 `json:"each"`  // a second, of one unit of a rate; it never changes, so that no unit is worth more to one than to another
	ReservedPerNode int     `json:"apart"` // units that each node has for itself, in touch or not; they are never lent
	MaxNodes        int     `json:"nodes"` // how many there may ever be
	Revision        uint64  `json:"revision"`
}

// The kinds of budget.
const (
	RateKind        = "rate"
	ConcurrencyKind = "number"
)

// Budget is one with the parts that are out. They end with the lease that they hang on: a node's own name.
type Budget struct {
	BudgetConfig
	Quotas map[string]Quota `json:"parts"` // by lease
}

// Quota is so many units of a lease's holder. The token is another one with each change, so that a word about an earlier
// one is known as such.
type Quota struct {
	Token uint64 `json:"token"`
	Units int    `json:"units"`
}

// QuotaMove changes one part: of the lease with this token, if the part still has the token Under (0: there is none).
type QuotaMove struct {
	Budget    string `json:"b"`
	Lease     string `json:"l"`
	Token     uint64 `json:"t"`
	FromToken uint64 `json:"u,omitempty"`
	Units     int    `json:"n,omitempty"`
}

// ErrInvalidBudget says that a whole can't be what was asked.
var ErrInvalidBudget = errors.New("not a whole for this budget")

// Validate says what is wrong with a budget's terms.
func (t BudgetConfig) Validate() error {
	switch {
	case t.Kind != RateKind && t.Kind != ConcurrencyKind:
		return fmt.Errorf("%w: kind %.50q, expected %s or %s", ErrInvalidBudget, t.Kind, RateKind, ConcurrencyKind)
	case t.Kind == RateKind && !(t.RatePerUnit > 0 && t.RatePerUnit <= eachMost):
		return fmt.Errorf("%w: %g a second of a unit, expected a number above 0, %g at most", ErrInvalidBudget, t.RatePerUnit, eachMost)
	case t.Units < 1 || t.Units > unitsMost:
		return fmt.Errorf("%w: %d units, expected 1 to %d", ErrInvalidBudget, t.Units, unitsMost)
	case t.MaxNodes < 1 || t.MaxNodes > namesMost || t.ReservedPerNode < 0 || t.ReservedPerNode*t.MaxNodes > t.Units:
		return fmt.Errorf("%w: %d units, and %d each for %d nodes that may be cut off: expected %d or more", ErrInvalidBudget, t.Units, t.ReservedPerNode,
			t.MaxNodes, t.ReservedPerNode*t.MaxNodes)
	}
	return nil
}

// Allocatable is how many units may be out as parts.
func (t BudgetConfig) Allocatable() int { return t.Units - t.ReservedPerNode*t.MaxNodes }

// Limit is all of it: a second, or at a time.
func (t BudgetConfig) Limit() float64 {
	if t.Kind == ConcurrencyKind {
		return float64(t.Units)
	}
	return t.RatePerUnit * float64(t.Units)
}

// Allocated is how many units are out as parts.
func (b *Budget) Allocated() (n int) {
	for _, p := range b.Quotas {
		n += p.Units
	}
	return n
}

// Clone copies it.
func (b *Budget) Clone() *Budget {
	o := *b
	if o.Quotas = maps.Clone(b.Quotas); o.Quotas == nil {
		o.Quotas = map[string]Quota{}
	}
	return &o
}

// whole declares a budget, or changes how much of it there is. What is set apart stays as it was declared: who is cut off
// goes on by it, and hears of no change. Parts stay as well; a whole that was lowered holds once enough has come back.
func (s *State) whole(e Entry) Result {
	is, known := s.Budgets[e.Name]
	if e.Budget == nil {
		return Result{Err: fmt.Errorf("%w: no terms", ErrMalformed)}
	}
	t := *e.Budget
	switch {
	case !known && len(s.Budgets) >= budgetsMost:
		return Result{Err: ErrLimitExceeded}
	case known && t.Revision == 0:
		return Result{Token: is.Revision, Err: ErrDuplicate} // declared before, perhaps otherwise: what is agreed holds
	case known && t.Revision != is.Revision:
		return Result{Token: is.Revision, Err: ErrDuplicate}
	case known:
		t.ReservedPerNode, t.MaxNodes, t.Kind, t.Resource, t.RatePerUnit = is.ReservedPerNode, is.MaxNodes, is.Kind, is.Resource, is.RatePerUnit
	}
	if err := t.Validate(); err != nil {
		return Result{Err: err}
	}
	if t.Revision++; !known {
		is = &Budget{Quotas: map[string]Quota{}}
		s.Budgets[e.Name] = is
	}
	is.BudgetConfig = t
	return Result{Token: t.Revision}
}

// move changes parts, each if it can be: more is never out than there is to lend.
func (s *State) move(moves []QuotaMove) Result {
	if len(moves) > movesMost {
		return Result{Err: fmt.Errorf("%w: %d moves, %d at most", ErrMalformed, len(moves), movesMost)}
	}
	out := map[string]int{} // of the budgets met
	for _, m := range moves {
		b, known := s.Budgets[m.Budget]
		if !known || m.Units < 0 || m.Units > unitsMost {
			continue
		}
		if _, met := out[m.Budget]; !met {
			out[m.Budget] = b.Allocated()
		}
		was := b.Quotas[m.Lease]
		more := m.Units - was.Units
		held, is := s.Leases[m.Lease]
		if !is || held.Token != m.Token || was.Token != m.FromToken || more > 0 && out[m.Budget]+more > b.Allocatable() {
			continue
		}
		out[m.Budget] += more
		s.LastToken++
		if m.Units == 0 {
			delete(b.Quotas, m.Lease)
		} else {
			b.Quotas[m.Lease] = Quota{s.LastToken, m.Units}
		}
	}
	return Result{}
}

// drop ends the parts of a lease that has ended.
func (s *State) drop(name string) {
	for _, b := range s.Budgets {
		delete(b.Quotas, name)
	}
}
