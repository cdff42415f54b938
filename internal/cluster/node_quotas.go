package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	cutoffMarginDivisor = 10 // the margin is at most a tenth of a lease; a connected node renews its quotas long before it begins
	idlePollInterval    = 10 * time.Millisecond
)

// nodeQuotas requests and applies this node's quotas of the cluster's budgets, while it holds the lease of its name.
type nodeQuotas struct {
	member *Member
	lease  *HeldLease

	mu          sync.Mutex
	client      *budget.QuotaClient
	alarm       alarm
	lastRequest uint64 // number of the latest request; responses to earlier ones are ignored
	closed      bool
}

// holdQuotas requests quotas of the budgets while the lease of this node's name is held. When the node leaves the cluster,
// holdQuotas returns the quotas after the requests under them have ended.
func (m *Member) holdQuotas(ctx context.Context, held *HeldLease) {
	q := m.openQuotas(held)
	<-ctx.Done()
	if held.Remaining() > 0 { // the node leaves the cluster, and its quotas are still valid
		q.drain(m.maxRequestDuration + m.client.callTimeout())
	}
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	m.mu.Lock()
	m.quotas = nil
	leaving := m.leaving
	m.mu.Unlock()
	m.applyReserved(!leaving)
}

func (m *Member) openQuotas(held *HeldLease) *nodeQuotas {
	configs := map[string]lease.BudgetConfig{}
	for _, b := range m.config.Budgets {
		// The client declares these configurations to a cluster that has lost its budgets, as one that was founded anew.
		configs[b.Name] = m.agreedConfig(b)
	}
	q := &nodeQuotas{member: m, lease: held}
	q.alarm = newAlarm(q.onAlarm)
	q.mu.Lock()
	q.client = budget.NewQuotaClient(q, now(), nodeLease(m.config.Node), held.Token(), m.config.Weight, configs, held.Expiry(),
		toLeaseTime(m.cutoffMargin()))
	q.mu.Unlock()
	m.mu.Lock()
	m.quotas = q
	m.mu.Unlock()
	return q
}

// drain begins no further requests under the quotas, and waits until the requests in flight have ended, up to a timeout.
func (q *nodeQuotas) drain(timeout time.Duration) {
	q.mu.Lock()
	q.client.Close(now())
	q.mu.Unlock()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(idlePollInterval) {
		q.mu.Lock()
		idle := q.client.Idle(now())
		q.mu.Unlock()
		if idle {
			return
		}
	}
}

func (q *nodeQuotas) onAlarm() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		q.client.ExtendLease(q.lease.Expiry())
		q.client.Alarm(now())
	}
}

// The following methods implement the host of a budget.QuotaClient, which calls them with the lock of nodeQuotas held.

// SetAlarm sets the time of the client's next alarm.
func (q *nodeQuotas) SetAlarm(alarmTime lease.Time) { q.alarm.set(alarmTime) }

// SetQuota applies a quota to this node until a time.
func (q *nodeQuotas) SetQuota(name string, c lease.BudgetConfig, units, reserved int, until lease.Time) quotalimit.Usage {
	return q.member.applyQuota(name, c, units, reserved, toDuration(until-now()), q.member.cutoffMargin())
}

// Send sends a quota request to the leader.
func (q *nodeQuotas) Send(r budget.Request) {
	q.lastRequest++
	number := q.lastRequest
	go func() {
		var reply QuotaResponse
		err := q.member.client.callCurrentTimeout(methodQuotas, &r, &reply, toDuration(r.MaxWait)+q.member.client.callTimeout())
		q.handleOutcome(number, reply, err)
	}()
}

// handleOutcome passes the response or the error of a request to the quota client, unless a later request was sent.
func (q *nodeQuotas) handleOutcome(number uint64, reply QuotaResponse, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.lastRequest != number {
		return
	}
	q.client.ExtendLease(q.lease.Expiry())
	if err != nil {
		q.member.log.Debug("quota request failed", zap.Error(err))
		q.client.HandleTimeout(now())
		return
	}
	if traceQuotas != nil {
		traceQuotas(q.member.config.Node, reply.Updates)
	}
	for _, difference := range q.client.HandleResponse(now(), budget.Response{Updates: reply.Updates, Err: reply.Error.toError()}) {
		q.member.log.Warn("budget differs from the configuration, the cluster's is used", zap.String("budget", difference.Name),
			zap.Float64("configured_limit", difference.Local.Limit()), zap.Float64("cluster_limit", difference.ClusterConfig.Limit()),
			zap.Any("configured", difference.Local), zap.Any("cluster", difference.ClusterConfig))
	}
	q.member.recordAgreedConfigs(reply.Updates)
}

func (m *Member) recordAgreedConfigs(updates []budget.QuotaUpdate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, u := range updates {
		m.agreedConfigs[u.Budget] = u.Config
	}
}

// agreedConfig returns the budget configuration that the cluster last reported, or this node's own if it reported none.
func (m *Member) agreedConfig(b config.Budget) lease.BudgetConfig {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, found := m.agreedConfigs[b.Name]; found {
		return c
	}
	return b.BudgetConfig
}

// cutoffMargin returns the time before the end of a concurrency quota in which no further requests begin. Requests that are
// still in flight at the end are cut off.
func (m *Member) cutoffMargin() time.Duration {
	return min(m.maxRequestDuration, m.config.Lease/cutoffMarginDivisor)
}

// applyReserved sets this node's quotas to those that apply without the cluster: its reserved units while it listens on the
// cluster address, else zero. It returns the number of requests in flight.
func (m *Member) applyReserved(ownsAddress bool) (inFlight int) {
	for _, b := range m.config.Budgets {
		c, reserved := m.agreedConfig(b), 0
		if ownsAddress {
			reserved = c.ReservedPerNode
		}
		inFlight += m.applyQuota(b.Name, c, reserved, reserved, 0, 0).InFlight
	}
	return inFlight
}

// applyQuota sets the node's quota of one budget: units for the duration, and the reserved units afterwards.
func (m *Member) applyQuota(name string, c lease.BudgetConfig, units, reserved int, duration, cutoffMargin time.Duration) quotalimit.Usage {
	index := slices.IndexFunc(m.config.Budgets, func(b config.Budget) bool { return b.Name == name })
	if index < 0 {
		return quotalimit.Usage{}
	}
	rate := 0.0
	if c.Kind == lease.BudgetKindRate {
		rate = c.RatePerUnit * (1 - m.config.MaxDrift) // this node's clock may run too fast by MaxDrift
	}
	quota := quotalimit.Quota{
		Concurrency:   c.Kind == lease.BudgetKindConcurrency,
		Rate:          rate * float64(units),
		Burst:         float64(units),
		RateAfterEnd:  rate * float64(reserved),
		BurstAfterEnd: float64(reserved),
	}
	if faults.Disabled(faults.BurstKept) && !quota.Concurrency {
		m.mu.Lock()
		m.maxBursts[name] = max(m.maxBursts[name], quota.Burst)
		quota.Burst, quota.BurstAfterEnd = m.maxBursts[name], m.maxBursts[name]
		m.mu.Unlock()
	}
	b := m.config.Budgets[index]
	return m.node.SetQuota(b.Limit, b.Tenant, quota, duration, cutoffMargin)
}

// addBudgetMetrics adds the metrics of the budgets as this node sees them.
func (m *Member) addBudgetMetrics(metrics map[string]any) {
	m.mu.Lock()
	q := m.quotas
	m.mu.Unlock()
	if q == nil {
		for _, b := range m.config.Budgets {
			prefix := "budget." + b.Name
			metrics[prefix+".whole"] = m.agreedConfig(b).Limit()
			metrics[prefix+".part"] = 0
			metrics[prefix+".end_ms"] = 0
		}
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.client.Status() {
		limitOf := func(units int) float64 {
			if s.Config.Kind == lease.BudgetKindConcurrency {
				return float64(units)
			}
			return s.Config.RatePerUnit * float64(units)
		}
		// Limits are in requests per second, or in concurrent requests, by the kind of the budget.
		for key, value := range map[string]any{
			"whole":    s.Config.Limit(),                                    // the limit of all nodes together
			"given":    limitOf(s.Allocated),                                // allocated to all nodes
			"reserve":  limitOf(s.Reserve),                                  // held back for newcomers
			"free":     limitOf(max(0, s.Config.Allocatable()-s.Allocated)), // available for allocation
			"apart":    limitOf(s.Config.ReservedPerNode),                   // reserved for each node, also without the cluster
			"part":     limitOf(s.Units),                                    // this node's quota
			"wanted":   limitOf(s.Demand),                                   // this node's demand
			"out":      s.InFlight,                                          // requests in flight
			"used":     s.RequestsStarted,                                   // requests of the latest sample of about 0.1 s
			"end_ms":   max(0, toDuration(s.End-now()).Milliseconds()),      // time until the quota ends
			"revision": s.Config.Revision,
		} {
			metrics["budget."+s.Name+"."+key] = value
		}
	}
}
