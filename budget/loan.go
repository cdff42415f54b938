package budget

import "github.com/thistlerudder/thistlerudder/lease"

// loanDuration is the lifetime of a loan that is not renewed. The borrower renews the loan three times within this time.
const loanDuration = 300 * lease.Millisecond

// loan is the part of a budget that a process lends to the next process of the same node during a handover.
type loan struct {
	units    int // units lent from the quota
	reserved int // units lent from those reserved for the node
}

// LentQuota is the loan of one budget, as sent to the borrowing process.
type LentQuota struct {
	Name   string             `json:"Name"`
	Units  int                `json:"Units"`
	Config lease.BudgetConfig `json:"Terms"`
}

// Lend lends up to half of each budget's units, as far as they are idle, to the next process of this node for the returned
// duration. Each call renews the loan. A closed client neither raises nor renews its loans.
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

// lendHalf raises the loan to half of the quota and half of the reserved units, as far as these are idle. It never lowers the
// loan, because the borrower may be using it.
func (b *clientBudget) lendHalf() {
	idle := b.units + b.config.ReservedPerNode
	if b.config.Kind == lease.BudgetKindConcurrency {
		idle -= min(idle, b.requestsInFlight)
	}
	b.loan.reserved = max(b.loan.reserved, min(b.config.ReservedPerNode/2, idle))
	b.loan.units = max(b.loan.units, min(b.units/2, idle-b.loan.reserved))
}
