package budget

import (
	"errors"
	"maps"
	"slices"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	sampleInterval     = 100 * lease.Millisecond  // between two samples of what was asked for
	minRequestInterval = 30 * lease.Millisecond   // between two requests to the leader
	retryInterval      = 100 * lease.Millisecond  // after a request that failed
	requestWait        = 1000 * lease.Millisecond // that the leader may let a request wait
)

// ClientHost performs the actions of a QuotaClient. Its methods must not call back.
type ClientHost interface {
	// SetQuota sets how many units may be used until the given time, and how many after it. It returns the usage since the
	// call before. Under a concurrency budget a request counts until it ends.
	SetQuota(name string, config lease.BudgetConfig, units, reserved int, until Time) allowance.Usage
	// Send sends a request to the leader. HandleResponse or HandleTimeout reports the outcome, unless a later request was
	// sent in between.
	Send(r Request)
	// SetAlarm schedules a call of QuotaClient.Alarm at that time or soon after; it replaces an earlier alarm.
	SetAlarm(t Time)
}

// clientBudget is a node's side of one budget.
type clientBudget struct {
	name      string
	config    lease.BudgetConfig
	confirmed bool   // config is the cluster's, not only this node's
	token     uint64 // of the latest quota
	units     int    // that new requests may use, this node's reserved ones not included
	shrinkTo  int    // units that the leader asked to come down to, -1: no need to

	// unitsInUse is an upper bound on the units that this node uses, here or in the process that it lends to. It falls below
	// the quota only as far as requests in flight allow.
	unitsInUse int

	demand demandEstimate

	loan             loan
	requestsInFlight int
	requestsDone     float64 // between the last two samples

	allocated int // units allocated to all nodes, as last reported
	reserve   int // units held back for newcomers, as last reported
}

// QuotaClient is a node's side of all budgets, for as long as the node holds the lease of its name: it applies the node's
// quotas, reports its demand, and gives units back. It is not safe for concurrent use.
type QuotaClient struct {
	host    ClientHost
	lease   string
	token   uint64
	weight  float64
	budgets []*clientBudget // by name

	leaseEnd     Time
	cutoffMargin Time // before the lease's end, from which on no request begins under a concurrency budget
	lastSample   Time
	nextRequest  Time // earliest time of the next request to the leader
	reportNeeded bool // there is something to report
	loanEnd      Time
	closed       bool
}

// NewQuotaClient returns a client without any quota, under the node's lease, which is held until leaseEnd, and sends its first request. configs
// are the budgets of the node's own configuration, by name. Under a concurrency budget no request begins within
// cutoffMargin of the lease's end, since what still runs at the end is cut off.
func NewQuotaClient(host ClientHost, now Time, leaseName string, token uint64, weight float64, configs map[string]lease.BudgetConfig, leaseEnd, cutoffMargin Time) *QuotaClient {
	c := &QuotaClient{
		host:         host,
		lease:        leaseName,
		token:        token,
		weight:       weight,
		leaseEnd:     leaseEnd,
		cutoffMargin: cutoffMargin,
		lastSample:   now,
		reportNeeded: true,
		nextRequest:  now,
	}
	for _, name := range slices.Sorted(maps.Keys(configs)) {
		c.budgets = append(c.budgets, &clientBudget{
			name:     name,
			config:   configs[name],
			shrinkTo: noShrink,
			demand:   demandEstimate{countedUntil: now},
		})
	}
	c.sample(now)
	c.send(now)
	return c
}

// ExtendLease sets the end of the lease after a renewal. An earlier end than the present one has no effect.
func (c *QuotaClient) ExtendLease(end Time) { c.leaseEnd = max(c.leaseEnd, end) }

// sample applies the quotas, and takes in the usage since the sample before.
func (c *QuotaClient) sample(now Time) {
	c.lastSample = now
	for _, b := range c.budgets {
		if now >= c.loanEnd {
			b.loan = loan{}
		}
		c.sampleBudget(now, b)
	}
}

func (c *QuotaClient) sampleBudget(now Time, b *clientBudget) {
	units, reserved := b.units, b.config.ReservedPerNode
	if c.closed {
		units, reserved = 0, 0
	}
	ownUnits := max(0, units-b.loan.units)
	reserved = max(0, reserved-b.loan.reserved)
	usage := c.host.SetQuota(b.name, b.config, ownUnits+reserved, reserved, c.quotaEnd(b))
	b.requestsInFlight = usage.InFlight
	b.requestsDone = usage.Done
	b.unitsInUse = b.maxUnitsInUse(units, reserved)
	if b.demand.record(now, usage) {
		c.reportNeeded = b.demand.update(now, b.config) || c.reportNeeded
	}
}

// quotaEnd returns until when units of a budget may be used. Under a concurrency budget that is the margin before the
// lease's end, when the requests in flight are cut off.
func (c *QuotaClient) quotaEnd(b *clientBudget) Time {
	if b.config.Kind == lease.ConcurrencyKind {
		return c.leaseEnd - c.cutoffMargin
	}
	return c.leaseEnd
}

// maxUnitsInUse returns the new bound on the units in use, under a quota of these units and these reserved ones.
func (b *clientBudget) maxUnitsInUse(units, reserved int) int {
	bound := max(units, b.loan.units)
	if b.config.Kind == lease.ConcurrencyKind { // units come back only as requests end
		occupied := b.loan.units + max(0, b.requestsInFlight-reserved)
		bound = max(bound, min(b.unitsInUse, occupied))
	}
	return bound
}

// holdings returns the reports on all budgets.
func (c *QuotaClient) holdings() (reports []Holding) {
	for _, b := range c.budgets {
		reports = append(reports, Holding{
			Budget:   b.name,
			Token:    b.token,
			Units:    b.unitsInUse,
			Demand:   b.demand.units,
			ShrinkTo: b.shrinkTo,
			Revision: b.revision(),
		})
	}
	return reports
}

// revision returns the revision of the cluster's configuration that the node knows, 0 for none.
func (b *clientBudget) revision() uint64 {
	if !b.confirmed {
		return 0
	}
	return b.config.Revision
}

// send sends a request to the leader.
func (c *QuotaClient) send(now Time) {
	declared := map[string]lease.BudgetConfig{}
	for _, b := range c.budgets {
		if !b.confirmed {
			declared[b.name] = b.config
		}
	}
	c.reportNeeded = false
	c.nextRequest = now + minRequestInterval
	c.host.Send(Request{
		Lease:    c.lease,
		Token:    c.token,
		Weight:   c.weight,
		Wait:     requestWait,
		Holdings: c.holdings(),
		Declared: declared,
	})
	c.host.SetAlarm(c.lastSample + sampleInterval)
}

// ConfigMismatch is a budget that the cluster has under another configuration than this node's own.
type ConfigMismatch struct {
	Name          string
	Local, Agreed lease.BudgetConfig
}

// HandleResponse takes the answer to the request that was sent last. It returns the budgets whose configuration turns out
// to differ from the cluster's; each is returned once.
func (c *QuotaClient) HandleResponse(now Time, r Response) (mismatches []ConfigMismatch) {
	if r.Err != nil && !errors.Is(r.Err, lease.ErrStillHeld) {
		c.nextRequest = now + retryInterval
	}
	c.reportNeeded = true // the next request waits at the leader for what follows
	for _, u := range r.Updates {
		i := slices.IndexFunc(c.budgets, func(b *clientBudget) bool { return b.name == u.Budget })
		if i < 0 {
			continue
		}
		b := c.budgets[i]
		if !b.confirmed && !sameBudget(b.config, u.Config) {
			mismatches = append(mismatches, ConfigMismatch{Name: u.Budget, Local: b.config, Agreed: u.Config})
		}
		b.apply(u)
	}
	c.sample(now)
	c.Alarm(now)
	return mismatches
}

// sameBudget compares two configurations but for their revisions.
func sameBudget(x, y lease.BudgetConfig) bool {
	x.Revision, y.Revision = 0, 0
	return x == y
}

// apply takes in the leader's update on the budget. An update with an older token than the known one, or the same, never
// raises the units: the node may have reported since that it has come down.
func (b *clientBudget) apply(u QuotaUpdate) {
	b.config = u.Config
	b.confirmed = true
	b.allocated = u.Allocated
	b.reserve = u.Reserve
	if u.Quota.Token > b.token {
		b.token = u.Quota.Token
		b.units = u.Quota.Units
	}
	b.shrinkTo = noShrink
	if u.Quota.Token == b.token && u.ShrinkTo >= 0 {
		b.shrinkTo = u.ShrinkTo
		b.units = min(b.units, u.ShrinkTo)
	}
}

// HandleTimeout reports that the request sent last got no answer. The leader may have received it.
func (c *QuotaClient) HandleTimeout(now Time) {
	c.reportNeeded = true
	c.nextRequest = now + retryInterval
	c.host.SetAlarm(c.nextRequest)
}

// Alarm must be called at or soon after the time that ClientHost.SetAlarm named.
func (c *QuotaClient) Alarm(now Time) {
	if now >= c.lastSample+sampleInterval {
		previous := c.holdings()
		c.sample(now)
		for i, h := range c.holdings() {
			c.reportNeeded = c.reportNeeded || h.Units < previous[i].Units // requests have ended, so units can be given back
		}
	}
	if c.reportNeeded && now >= c.nextRequest {
		c.send(now)
		return
	}
	alarmTime := c.lastSample + sampleInterval
	if c.reportNeeded {
		alarmTime = min(alarmTime, c.nextRequest)
	}
	c.host.SetAlarm(max(alarmTime, now+1))
}

// QuotaStatus is a node's view of one budget, for display.
type QuotaStatus struct {
	Name               string
	Config             lease.BudgetConfig
	Confirmed          bool    // Config is the cluster's; else it is from the node's own configuration
	Units, Demand      int     // the node's quota, and what it could use
	InFlight           int     // requests under a concurrency budget
	Used               float64 // requests between the last two samples, a tenth of a second apart
	Allocated, Reserve int     // units of the whole budget, as last reported
	End                Time    // of the lease
}

// Status returns the node's view of all budgets.
func (c *QuotaClient) Status() (statuses []QuotaStatus) {
	for _, b := range c.budgets {
		statuses = append(statuses, QuotaStatus{
			Name:      b.name,
			Config:    b.config,
			Confirmed: b.confirmed,
			Units:     b.units,
			Demand:    b.demand.units,
			InFlight:  b.requestsInFlight,
			Used:      b.requestsDone,
			Allocated: b.allocated,
			Reserve:   b.reserve,
			End:       c.leaseEnd,
		})
	}
	return statuses
}

// Close stops all new use of the quotas. They end with the lease, which may be released once Idle returns true.
func (c *QuotaClient) Close(now Time) {
	c.closed = true
	c.sample(now)
}

// Idle reports whether nothing is in flight any more, here or in the process that quotas were lent to.
func (c *QuotaClient) Idle(now Time) bool {
	c.sample(now)
	inUse := func(b *clientBudget) bool { return b.requestsInFlight > 0 || b.unitsInUse > 0 }
	return now >= c.loanEnd && !slices.ContainsFunc(c.budgets, inUse)
}
