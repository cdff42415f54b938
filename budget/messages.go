package budget

import "github.com/thistlerudder/thistlerudder/lease"

// Time is the clock of leases, in ticks of a tenth of a millisecond.
type Time = lease.Time

// noShrink is the shrink target of a node that may keep all its units.
const noShrink = -1

// Report is a node's report on one budget.
type Report struct {
	Budget   string `json:"Budget"`
	Token    uint64 `json:"Token"`    // token of the latest quota that the node knows, 0: none
	Units    int    `json:"Units"`    // upper bound on the units in use, valid from just before the report is sent
	Demand   int    `json:"Want"`     // units that the node could use now, including its reserved units
	ShrinkTo int    `json:"Keep"`     // latest shrink target that the node knows, -1: none
	Revision uint64 `json:"Revision"` // revision of the budget configuration that the node knows, 0: none
}

// Request is a node's report on all its budgets. The node sends it under the lease of its own name. The leader answers it
// as soon as it has an update for the node. Without an update, it answers with lease.ErrStillHeld after MaxWait.
type Request struct {
	Lease           string                        `json:"Lease"`
	Token           uint64                        `json:"Token"`
	Weight          float64                       `json:"Weight"` // weight of the node relative to other nodes, 0: 1
	MaxWait         Time                          `json:"Wait"`
	Reports         []Report                      `json:"Holds"`
	DeclaredConfigs map[string]lease.BudgetConfig `json:"Declares"` // budgets of the node's configuration that the node hasn't seen in the cluster
}

// QuotaUpdate is the state of one budget that the leader sends to a node.
type QuotaUpdate struct {
	Budget   string             `json:"Budget"`
	Config   lease.BudgetConfig `json:"Terms"`
	Quota    lease.Quota        `json:"Part"`
	ShrinkTo int                `json:"Keep"` // units that the node has to shrink its usage to as soon as possible, -1: none

	Allocated int `json:"Given"`   // units of the budget that are allocated to all nodes
	Reserve   int `json:"Reserve"` // units held back for nodes without units
}

// Response is the answer to a Request. It holds updates on all budgets that the node reported and the cluster has, or an
// error of package lease.
type Response struct {
	Updates []QuotaUpdate
	Err     error
}
