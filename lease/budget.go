package lease

import (
	"fmt"
	"maps"
)

const (
	maxBudgets       = 64      // per cluster
	maxUnits         = 1 << 20 // per budget; keeps sums far from integer overflow
	maxMovesPerEntry = 16384
	maxRatePerUnit   = 1e6 // requests a second
)

// BudgetConfig is a limit that the nodes of a cluster share. It is divided into integer units, so that sums are exact. A
// unit of a concurrency limit is one request in flight. A unit of a rate limit is one request of its burst, together with an
// equal share of its rate.
type BudgetConfig struct {
	Kind            string  `json:"kind"` // BudgetKindRate or BudgetKindConcurrency
	Resource        string  `json:"of"`   // the limited resource
	Units           int     `json:"units"`
	RatePerUnit     float64 `json:"each"`  // requests/s of one unit of a rate limit; it never changes, so that a unit is worth the same on all nodes
	ReservedPerNode int     `json:"apart"` // units that each node may always use, even when disconnected; they are never allocated to another node
	MaxNodes        int     `json:"nodes"` // number of nodes that units are reserved for
	Revision        uint64  `json:"revision"`
}

// Kinds of budget.
const (
	BudgetKindRate        = "rate"
	BudgetKindConcurrency = "number"
)

// Budget is a budget and the quotas allocated from it. A quota belongs to the lease of a node's name and ends with that lease.
type Budget struct {
	BudgetConfig
	Quotas map[string]Quota `json:"parts"` // by lease name
}

// Quota is the number of units allocated to the holder of a lease. The token changes with every change of the quota, so that
// messages about an earlier quota can be recognised.
type Quota struct {
	Token uint64 `json:"token"`
	Units int    `json:"units"`
}

// QuotaChange sets a quota to Units if the lease is held with Token and the quota's token is still FromToken.
type QuotaChange struct {
	Budget    string `json:"b"`
	Lease     string `json:"l"`
	Token     uint64 `json:"t"`           // fencing token of the lease
	FromToken uint64 `json:"u,omitempty"` // current token of the quota; 0: no quota yet
	Units     int    `json:"n,omitempty"`
}

// Validate returns an error that wraps ErrInvalidBudget if a field is out of range.
func (c BudgetConfig) Validate() error {
	switch {
	case c.Kind != BudgetKindRate && c.Kind != BudgetKindConcurrency:
		return fmt.Errorf("%w: kind %.50q, expected %s or %s", ErrInvalidBudget, c.Kind, BudgetKindRate, BudgetKindConcurrency)
	case c.Kind == BudgetKindRate && !(c.RatePerUnit > 0 && c.RatePerUnit <= maxRatePerUnit):
		return fmt.Errorf("%w: %g a second for each unit, expected a number above 0, at most %g", ErrInvalidBudget, c.RatePerUnit, maxRatePerUnit)
	case c.Units < 1 || c.Units > maxUnits:
		return fmt.Errorf("%w: %d units, expected 1 to %d", ErrInvalidBudget, c.Units, maxUnits)
	case c.MaxNodes < 1 || c.MaxNodes > maxLeases || c.ReservedPerNode < 0 || c.ReservedPerNode*c.MaxNodes > c.Units:
		return fmt.Errorf("%w: %d units, with %d reserved for each of %d nodes: expected %d or more", ErrInvalidBudget, c.Units,
			c.ReservedPerNode, c.MaxNodes, c.ReservedPerNode*c.MaxNodes)
	}
	return nil
}

// Allocatable returns the number of units that may be allocated as quotas: all that are not reserved.
func (c BudgetConfig) Allocatable() int { return c.Units - c.ReservedPerNode*c.MaxNodes }

// Limit returns the limit of the whole budget, in requests/s for a rate and in requests in flight for a concurrency limit.
func (c BudgetConfig) Limit() float64 {
	if c.Kind == BudgetKindConcurrency {
		return float64(c.Units)
	}
	return c.RatePerUnit * float64(c.Units)
}

// Allocated returns the number of units allocated as quotas.
func (b *Budget) Allocated() (units int) {
	for _, quota := range b.Quotas {
		units += quota.Units
	}
	return units
}

// Clone returns a deep copy. Its Quotas map is never nil.
func (b *Budget) Clone() *Budget {
	clone := *b
	clone.Quotas = maps.Clone(b.Quotas)
	if clone.Quotas == nil {
		clone.Quotas = map[string]Quota{}
	}
	return &clone
}

// setBudget declares a budget or changes its number of units. All other fields of a declared budget are immutable, because a
// disconnected node keeps using its reserved units and does not learn of a change. Existing quotas are unchanged, so a
// lowered limit takes effect once nodes have returned enough units.
func (s *State) setBudget(e Entry) Result {
	if e.Budget == nil {
		return Result{Err: fmt.Errorf("%w: no budget given", ErrMalformed)}
	}
	config := *e.Budget
	budget, known := s.Budgets[e.Name]
	switch {
	case !known && len(s.Budgets) >= maxBudgets:
		return Result{Err: ErrLimitExceeded}
	case known && (config.Revision == 0 || config.Revision != budget.Revision): // already declared, or changed since that revision
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

// moveQuotas applies the moves that are still valid. It skips a move that would exceed the allocatable units.
func (s *State) moveQuotas(moves []QuotaChange) Result {
	if len(moves) > maxMovesPerEntry {
		return Result{Err: fmt.Errorf("%w: %d moves, %d at most", ErrMalformed, len(moves), maxMovesPerEntry)}
	}
	allocated := map[string]int{} // by budget name, for the budgets of the moves so far
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
