package budget

import "github.com/thistlerudder/thistlerudder/lease"

// loanDuration is how long a loan lasts unless it is renewed; the borrower renews it three times within.
const loanDuration = 300 * lease.Millisecond

// loan is what a node's process lends of one budget to the node's next process, during a handover.
type loan struct {
	units    int // of the quota
	reserved int // of the units reserved for the node
}

// LentQuota is the loan of one budget, as the borrowing process gets it.
type LentQuota struct {
	Name   string             `json:"Name"`
	Units  int                `json:"Units"`
	Config lease.BudgetConfig `json:"Terms"`
}

// Lend lets the node's next process use half of the units that are not in use, for the duration returned. Each call renews
// the loan. A closed client lends no more than it has lent already.
func (c *QuotaClient) Lend(now Time) (lent []LentQuota, duration Time) {
	if c.closed && now >= c.loanEnd {
		return nil, 0
	}
	if !c.closed {
		c.loanEnd = min(now+loanDuration, c.leaseEnd)
	}
	for _, b := range c.budgets {
		if !c.closed {
			b.lendHalf()
		}
		lent = append(lent, LentQuota{Name: b.name, Units: b.loan.units + b.loan.reserved, Config: b.config})
	}
	c.sample(now)
	return lent, max(0, c.loanEnd-now)
}

// lendHalf raises the loan to half of what is idle. It never lowers it: the borrower may be using it.
func (b *clientBudget) lendHalf() {
	idle := b.units + b.config.ReservedPerNode
	if b.config.Kind == lease.ConcurrencyKind {
		idle -= min(idle, b.requestsInFlight)
	}
	b.loan.reserved = max(b.loan.reserved, min(b.config.ReservedPerNode/2, idle))
	b.loan.units = max(b.loan.units, min(b.units/2, idle-b.loan.reserved))
}
