package budget

import (
	"errors"
	"maps"
	"slices"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	sampleInterval     = 100 * lease.Millisecond  // time between two samples of the usage
	minRequestInterval = 30 * lease.Millisecond   // minimum time between two requests to the leader
	retryInterval      = 100 * lease.Millisecond  // delay of the next request after a failed one
	requestWait        = 1000 * lease.Millisecond // maximum time for which the leader may delay its response
)

// ClientHost performs the actions of a QuotaClient. Its methods must not call methods of the QuotaClient.
type ClientHost interface {
	// SetQuota sets a budget's limit on this node: units until the given time, and reserved units after it. It returns the
	// usage since the previous call. Under a concurrency budget a request counts until it ends.
	SetQuota(name string, config lease.BudgetConfig, units, reserved int, until Time) quotalimit.Usage
	// Send sends a request to the leader. Its outcome must be reported to QuotaClient.HandleResponse or
	// QuotaClient.HandleTimeout, unless a later request has been sent in the meantime.
	Send(r Request)
	// SetAlarm schedules a call of QuotaClient.Alarm at time t or soon after. It replaces the previous alarm.
	SetAlarm(t Time)
}

// clientBudget is the state of one budget on a node.
type clientBudget struct {
	name      string
	config    lease.BudgetConfig
	confirmed bool   // config comes from the cluster, not from this node's configuration
	token     uint64 // token of the latest quota that the node knows, 0: none
	units     int    // units that new requests may use, without this node's reserved units
	shrinkTo  int    // units that the leader asked the node to shrink its usage to, -1: none

	// unitsInUse is an upper bound on the units in use by this process and the process that it lends to. After the quota has
	// shrunk, the bound falls only as far as requests in flight allow.
	unitsInUse int

	demand demandEstimate

	loan             loan
	requestsInFlight int
	requestsDone     float64 // requests that began between the last two samples

	allocated int // units allocated to all nodes, as last reported by the leader
	reserve   int // units held back for nodes without units, as last reported by the leader
}

// QuotaClient handles all budgets on a node while the node holds the lease of its name. It applies the node's quotas,
// reports demand to the leader, and gives units back. It is not safe for concurrent use.
type QuotaClient struct {
	host    ClientHost
	lease   string
	token   uint64
	weight  float64
	budgets []*clientBudget // sorted by name

	leaseEnd     Time
	cutoffMargin Time // time before the end of the lease during which no request begins under a concurrency budget
	lastSample   Time
	nextRequest  Time // earliest time of the next request to the leader
	reportNeeded bool // a request to the leader is due once nextRequest is reached
	loanEnd      Time // end of the loans to the next process of this node
	closed       bool // Close has been called
}

// NewQuotaClient returns a client without quotas and sends its first request. leaseName and token identify the lease of the
// node's name, which the node holds until leaseEnd. configs contains the budgets of the node's own configuration, by name.
// Under a concurrency budget no request begins within cutoffMargin before the end of the lease, because requests that are
// still in flight at the end are aborted.
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

// ExtendLease sets the end of the lease after a renewal. An end before the current one has no effect.
func (c *QuotaClient) ExtendLease(end Time) { c.leaseEnd = max(c.leaseEnd, end) }

// sample applies the quotas and records the usage since the previous sample. It ends the loans if they have expired.
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
	b.requestsDone = usage.Started
	b.unitsInUse = b.maxUnitsInUse(units, reserved)
	if b.demand.record(now, usage) {
		c.reportNeeded = b.demand.update(now, b.config) || c.reportNeeded
	}
}

// quotaEnd returns the time until which the units of a budget may be used. Under a rate budget this is the end of the lease.
// Under a concurrency budget it is earlier by cutoffMargin, because requests in flight are aborted at the end of the lease.
func (c *QuotaClient) quotaEnd(b *clientBudget) Time {
	if b.config.Kind == lease.BudgetKindConcurrency {
		return c.leaseEnd - c.cutoffMargin
	}
	return c.leaseEnd
}

// maxUnitsInUse returns the upper bound on the units in use under a quota of the given units. reserved is the number of
// units reserved for this node and not lent.
func (b *clientBudget) maxUnitsInUse(units, reserved int) int {
	bound := max(units, b.loan.units)
	if b.config.Kind == lease.BudgetKindConcurrency { // units in use become free only when requests end
		occupied := b.loan.units + max(0, b.requestsInFlight-reserved)
		bound = max(bound, min(b.unitsInUse, occupied))
	}
	return bound
}

// reports returns the node's report on each budget.
func (c *QuotaClient) reports() (reports []Report) {
	for _, b := range c.budgets {
		reports = append(reports, Report{
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

// revision returns the revision of the cluster's budget configuration that the node knows, or 0 if it knows none.
func (b *clientBudget) revision() uint64 {
	if !b.confirmed {
		return 0
	}
	return b.config.Revision
}

// send sends a request with the reports on all budgets to the leader.
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
		Lease:           c.lease,
		Token:           c.token,
		Weight:          c.weight,
		MaxWait:         requestWait,
		Reports:         c.reports(),
		DeclaredConfigs: declared,
	})
	c.host.SetAlarm(c.lastSample + sampleInterval)
}

// ConfigMismatch describes a budget whose configuration on this node (Local) differs from the cluster's (ClusterConfig).
type ConfigMismatch struct {
	Name                 string
	Local, ClusterConfig lease.BudgetConfig
}

// HandleResponse processes the response to the latest request. It returns the budgets whose local configuration differs from
// the cluster's. It returns each of them only once, with the first response that contains the budget.
func (c *QuotaClient) HandleResponse(now Time, r Response) (mismatches []ConfigMismatch) {
	if r.Err != nil && !errors.Is(r.Err, lease.ErrStillHeld) {
		c.nextRequest = now + retryInterval
	}
	c.reportNeeded = true // the next request waits at the leader for the next update
	for _, u := range r.Updates {
		i := slices.IndexFunc(c.budgets, func(b *clientBudget) bool { return b.name == u.Budget })
		if i < 0 {
			continue
		}
		b := c.budgets[i]
		if !b.confirmed && !sameBudget(b.config, u.Config) {
			mismatches = append(mismatches, ConfigMismatch{Name: u.Budget, Local: b.config, ClusterConfig: u.Config})
		}
		b.apply(u)
	}
	c.sample(now)
	c.Alarm(now)
	return mismatches
}

// sameBudget reports whether two configurations are equal apart from their revisions.
func sameBudget(x, y lease.BudgetConfig) bool {
	x.Revision, y.Revision = 0, 0
	return x == y
}

// apply updates the budget from the leader's update. Only an update with a newer quota token can raise the units. With the
// same or an older token it can't, because the node may have reported lower usage since.
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

// HandleTimeout must be called when the latest request got no response. The leader may have received that request.
func (c *QuotaClient) HandleTimeout(now Time) {
	c.reportNeeded = true
	c.nextRequest = now + retryInterval
	c.host.SetAlarm(c.nextRequest)
}

// Alarm must be called at or soon after the time passed to ClientHost.SetAlarm.
func (c *QuotaClient) Alarm(now Time) {
	if now >= c.lastSample+sampleInterval {
		previous := c.reports()
		c.sample(now)
		for i, report := range c.reports() {
			c.reportNeeded = c.reportNeeded || report.Units < previous[i].Units // units became free when requests ended; report that they can be given back
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

// QuotaStatus is a node's view of one budget, for status output.
type QuotaStatus struct {
	Name               string
	Config             lease.BudgetConfig
	Confirmed          bool    // Config comes from the cluster; otherwise it comes from the node's own configuration
	Units, Demand      int     // units of the node's quota, and units that the node could use
	InFlight           int     // requests in flight, under a concurrency budget
	RequestsStarted    float64 // requests that began between the last two samples, which are a tenth of a second apart
	Allocated, Reserve int     // units allocated to all nodes, and held back for nodes without units, as last reported by the leader
	End                Time    // end of the node's lease
}

// Status returns the node's view of all budgets.
func (c *QuotaClient) Status() (statuses []QuotaStatus) {
	for _, b := range c.budgets {
		statuses = append(statuses, QuotaStatus{
			Name:            b.name,
			Config:          b.config,
			Confirmed:       b.confirmed,
			Units:           b.units,
			Demand:          b.demand.units,
			InFlight:        b.requestsInFlight,
			RequestsStarted: b.requestsDone,
			Allocated:       b.allocated,
			Reserve:         b.reserve,
			End:             c.leaseEnd,
		})
	}
	return statuses
}

// Close sets the quotas of this process to 0, so that no new request begins under them. The quotas end with the lease, which the
// caller may release once Idle returns true.
func (c *QuotaClient) Close(now Time) {
	c.closed = true
	c.sample(now)
}

// Idle reports whether no request is in flight and no unit is in use, in this process or in the process that borrows from it.
func (c *QuotaClient) Idle(now Time) bool {
	c.sample(now)
	inUse := func(b *clientBudget) bool { return b.requestsInFlight > 0 || b.unitsInUse > 0 }
	return now >= c.loanEnd && !slices.ContainsFunc(c.budgets, inUse)
}
