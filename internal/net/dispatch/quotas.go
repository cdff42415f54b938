package dispatch

import (
	"time"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// quotaSendWindow is how long after its decision the first byte of an attempt may be written where a quota bounds it. A
// node that was held up must not use a quota that is another node's by now.
const quotaSendWindow = 50 * time.Millisecond

// quotas bounds attempts by this node's shares of the cluster's limits. It is guarded by the Dispatcher's lock.
type quotas struct {
	active           bool                        // any quota was set
	concurrencyUntil map[routing.Limit]time.Time // when attempts under a concurrency quota have to be over
}

// SetQuota tells the balancer this node's quota of a limit; tenant names it for a routing.TenantRate. New attempts may
// use it for validFor, and then what the quota says for afterwards. Under a concurrency quota they must be over
// cutoffMargin after that. It returns the use of the limit since the last call; a zero value for an unknown tenant.
func (d *Dispatcher) SetQuota(limit routing.Limit, tenant string, quota allowance.Quota, validFor, cutoffMargin time.Duration) (
	usage allowance.Usage) {
	tenantIndex, known := d.settings.Tenants[tenant]
	if limit == routing.TenantRate && !known {
		return usage
	}
	d.withLock("quota", nil, func(now routing.Time) {
		quota.Until = int64(now + config.Ticks(float64(validFor)/float64(time.Millisecond)))
		usage = d.balancer.SetQuota(now, limit, tenantIndex, quota)
		d.quotas.active = true
		if quota.Concurrency {
			d.quotas.concurrencyUntil[limit] = time.Now().Add(validFor + cutoffMargin)
		}
		if limit == routing.CacheConcurrency {
			d.transport.SetMaxConns(max(0, int(quota.Burst)))
		}
	})
	return usage
}

// applyTimeLimits keeps an attempt to the times of the quota that it may use.
func (q *quotas) applyTimeLimits(a *Attempt) {
	a.sendBefore(a.startedAt.Add(quotaSendWindow))
	remaining := q.concurrencyUntil[concurrencyLimit(a)].Sub(a.startedAt)
	if remaining > 0 { // else there is no quota, or the reserved share permits the attempt
		a.Timeout = min(a.Timeout, remaining)
	}
}

// boundsConcurrency reports whether an attempt counts against a concurrency quota. Such an attempt must be over before
// another takes its place: a slow one goes on at its server, whatever others do.
func (q *quotas) boundsConcurrency(a *Attempt) bool {
	_, limited := q.concurrencyUntil[concurrencyLimit(a)]
	return limited
}

// concurrencyLimit returns the limit that an attempt counts against.
func concurrencyLimit(a *Attempt) routing.Limit {
	if a.Origin {
		return routing.OriginConcurrency
	}
	return routing.CacheConcurrency
}
