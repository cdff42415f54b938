package budget

import "github.com/thistlerudder/thistlerudder/lease"

// Time is the clock of leases, in ticks of a tenth of a millisecond.
type Time = lease.Time

// noShrink as a shrink target means that the node may keep all its units.
const noShrink = -1

// Holding is a node's report on one budget.
type Holding struct {
	Budget   string `json:"Budget"`
	Token    uint64 `json:"Token"`    // of the latest quota that the node knows, 0: none
	Units    int    `json:"Units"`    // upper bound on the units in use from the moment before the report was sent
	Demand   int    `json:"Want"`     // units that the node could use now, its reserved ones included
	ShrinkTo int    `json:"Keep"`     // the latest shrink target that the node knows, -1: none
	Revision uint64 `json:"Revision"` // of the configuration that the node knows
}

// Request is a node's report on all its budgets, sent under the lease of the node's name. The leader answers it as soon as
// something has changed for the node, or with lease.ErrStillHeld after Wait.
type Request struct {
	Lease    string                        `json:"Lease"`
	Token    uint64                        `json:"Token"`
	Weight   float64                       `json:"Weight"` // relative to other nodes, 0: 1
	Wait     Time                          `json:"Wait"`
	Holdings []Holding                     `json:"Holds"`
	Declared map[string]lease.BudgetConfig `json:"Declares"` // from the node's configuration, for budgets that the cluster doesn't have yet
}

// QuotaUpdate is the state of one budget, as the leader reports it to a node.
type QuotaUpdate struct {
	Budget   string             `json:"Budget"`
	Config   lease.BudgetConfig `json:"Terms"`
	Quota    lease.Quota        `json:"Part"`
	ShrinkTo int                `json:"Keep"` // units to come down to as soon as possible; -1: no need to

	Allocated int `json:"Given"`   // units of the whole budget that are allocated
	Reserve   int `json:"Reserve"` // units held back for nodes that have none
}

// Response answers a Request: with updates on all budgets that the node named, or with an error of package lease.
type Response struct {
	Updates []QuotaUpdate
	Err     error
}
