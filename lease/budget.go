package lease

import (
	"fmt"
	"maps"
)

const (
	maxBudgets       = 64      // of a cluster
	maxUnits         = 1 << 20 // of a budget: sums stay far from overflow
	maxMovesPerEntry = 16384
	maxRatePerUnit   = 1e6 // requests a second
)

// BudgetConfig is a limit that the nodes of a cluster share. It is divided in whole units, so that sums are exact: a
// concurrency limit has one unit for each request in flight, a rate limit one for each request of its burst, with an equal
// part of the rate.
type BudgetConfig struct {
	Kind            string  `json:"kind"` // RateKind or ConcurrencyKind
	Resource        string  `json:"of"`   // what is limited
	Units           int     `json:"units"`
	RatePerUnit     float64 `json:"each"`  // requests a second of one unit of a rate; it never changes, so that all nodes value a unit alike
	ReservedPerNode int     `json:"apart"` // units that each node has at all times, connected or not; they are never allocated to another
	MaxNodes        int     `json:"nodes"` // that units are reserved for
	Revision        uint64  `json:"revision"`
}

// The kinds of budget.
const (
	RateKind        = "rate"
	ConcurrencyKind = "number"
)

// Budget is a budget and the quotas allocated from it. A quota ends with the lease it belongs to, that of a node's name.
type Budget struct {
	BudgetConfig
	Quotas map[string]Quota `json:"parts"` // by lease
}

// Quota is the number of units allocated to the holder of a lease. Its token changes with each change of the quota, so that
// messages about an earlier one can be recognised.
type Quota struct {
	Token uint64 `json:"token"`
	Units int    `json:"units"`
}

// QuotaMove sets a quota to Units, if the lease is held with Token and the quota still has the token FromToken.
type QuotaMove struct {
	Budget    string `json:"b"`
	Lease     string `json:"l"`
	Token     uint64 `json:"t"`           // of the lease
	FromToken uint64 `json:"u,omitempty"` // of the quota; 0: there is none yet
	Units     int    `json:"n,omitempty"`
}

// Validate returns an error that wraps ErrInvalidBudget if a field is out of its range.
func (c BudgetConfig) Validate() error {
	switch {
	case c.Kind != RateKind && c.Kind != ConcurrencyKind:
		return fmt.Errorf("%w: kind %.50q, expected %s or %s", ErrInvalidBudget, c.Kind, RateKind, ConcurrencyKind)
	case c.Kind == RateKind && !(c.RatePerUnit > 0 && c.RatePerUnit <= maxRatePerUnit):
		return fmt.Errorf("%w: %g a second for each unit, expected a number above 0, at most %g", ErrInvalidBudget, c.RatePerUnit, maxRatePerUnit)
	case c.Units < 1 || c.Units > maxUnits:
		return fmt.Errorf("%w: %d units, expected 1 to %d", ErrInvalidBudget, c.Units, maxUnits)
	case c.MaxNodes < 1 || c.MaxNodes > maxLeases || c.ReservedPerNode < 0 || c.ReservedPerNode*c.MaxNodes > c.Units:
		return fmt.Errorf("%w: %d units, with %d reserved for each of %d nodes: expected %d or more", ErrInvalidBudget, c.Units,
			c.ReservedPerNode, c.MaxNodes, c.ReservedPerNode*c.MaxNodes)
	}
	return nil
}

// Allocatable returns how many units may be allocated as quotas.
func (c BudgetConfig) Allocatable() int { return c.Units - c.ReservedPerNode*c.MaxNodes }

// Limit returns the whole budget: requests a second, or requests in flight.
func (c BudgetConfig) Limit() float64 {
	if c.Kind == ConcurrencyKind {
		return float64(c.Units)
	}
	return c.RatePerUnit * float64(c.Units)
}

// Allocated returns how many units are allocated as quotas.
func (b *Budget) Allocated() (units int) {
	for _, quota := range b.Quotas {
		units += quota.Units
	}
	return units
}

// Clone returns a deep copy, whose Quotas is never nil.
func (b *Budget) Clone() *Budget {
	clone := *b
	clone.Quotas = maps.Clone(b.Quotas)
	if clone.Quotas == nil {
		clone.Quotas = map[string]Quota{}
	}
	return &clone
}

// setBudget declares a budget or changes its number of units. Nothing else of a declared budget changes: a node that is
// disconnected goes on with its reserved units and doesn't learn of the change. Quotas stay as they are too, so a lowered
// limit holds once enough units have been returned.
func (s *State) setBudget(e Entry) Result {
	if e.Budget == nil {
		return Result{Err: fmt.Errorf("%w: no budget given", ErrMalformed)}
	}
	config := *e.Budget
	budget, known := s.Budgets[e.Name]
	switch {
	case !known && len(s.Budgets) >= maxBudgets:
		return Result{Err: ErrLimitExceeded}
	case known && (config.Revision == 0 || config.Revision != budget.Revision): // declared before, or changed since
		return Result{Token: budget.Revision, Err: ErrDuplicate}
	case known:
		units := config.Units
		config = budget.BudgetConfig
		config.Units = units
	}
	if err := config.Validate(); err != nil {
		return Result{Err: err}
	}
	config.Revision++
	if !known {
		budget = &Budget{Quotas: map[string]Quota{}}
		s.Budgets[e.Name] = budget
	}
	budget.BudgetConfig = config
	return Result{Token: config.Revision}
}

// moveQuotas applies each of the moves that is still valid, and never allocates more than is allocatable.
func (s *State) moveQuotas(moves []QuotaMove) Result {
	if len(moves) > maxMovesPerEntry {
		return Result{Err: fmt.Errorf("%w: %d moves, %d at most", ErrMalformed, len(moves), maxMovesPerEntry)}
	}
	allocated := map[string]int{} // by budget, of the budgets met so far
	for _, move := range moves {
		budget, known := s.Budgets[move.Budget]
		if !known || move.Units < 0 || move.Units > maxUnits {
			continue
		}
		if _, seen := allocated[move.Budget]; !seen {
			allocated[move.Budget] = budget.Allocated()
		}
		previous := budget.Quotas[move.Lease]
		added := move.Units - previous.Units
		lease, held := s.Leases[move.Lease]
		switch {
		case !held || lease.Token != move.Token:
			continue
		case previous.Token != move.FromToken:
			continue
		case added > 0 && allocated[move.Budget]+added > budget.Allocatable():
			continue
		}
		allocated[move.Budget] += added
		s.LastToken++
		if move.Units == 0 {
			delete(budget.Quotas, move.Lease)
		} else {
			budget.Quotas[move.Lease] = Quota{Token: s.LastToken, Units: move.Units}
		}
	}
	return Result{}
}

// revokeQuotas ends all quotas of a lease.
func (s *State) revokeQuotas(lease string) {
	for _, budget := range s.Budgets {
		delete(budget.Quotas, lease)
	}
}
