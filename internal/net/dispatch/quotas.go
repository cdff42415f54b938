package dispatch

import (
	"time"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// quotaSendWindow is how long after the balancer's decision the first byte of an attempt under a quota may be written.
// A process that has stalled must not use a quota that belongs to another node by now.
const quotaSendWindow = 50 * time.Millisecond

// quotas bounds attempts by this node's shares of the cluster's limits. It is guarded by the Dispatcher's lock.
type quotas struct {
	active           bool                        // any quota was set
	concurrencyUntil map[routing.Limit]time.Time // when attempts under a concurrency quota must have ended
}

// SetQuota sets this node's quota of a limit. tenant is used for routing.TenantRate only. Rate and Burst of the quota
// apply for validFor, then RateAfterEnd and BurstAfterEnd. Attempts that start under a concurrency quota must have ended
// cutoffMargin after that time. SetQuota returns the usage of the limit since the last call, or a zero value for an
// unknown tenant.
func (d *Dispatcher) SetQuota(limit routing.Limit, tenant string, quota quotalimit.Quota, validFor, cutoffMargin time.Duration) (
	usage quotalimit.Usage) {
	tenantIndex, known := d.settings.Tenants[tenant]
	if limit == routing.TenantRate && !known {
		return usage
	}
	d.withLock("quota", nil, func(now routing.Time) {
		quota.End = int64(now + config.MillisecondsToTime(float64(validFor)/float64(time.Millisecond)))
		usage = d.balancer.SetQuota(now, limit, tenantIndex, quota)
		d.quotas.active = true
		if quota.Concurrency {
			d.quotas.concurrencyUntil[limit] = time.Now().Add(validFor + cutoffMargin)
		}
		if limit == routing.CacheConcurrency {
			d.transport.SetMaxConnsPerCache(max(0, int(quota.Burst)))
		}
	})
	return usage
}

// applyTimeLimits limits SendBy, Timeout and AnswerEnd of an attempt so that it does not outlast its quota.
func (q *quotas) applyTimeLimits(a *Attempt) {
	a.sendBefore(a.startedAt.Add(quotaSendWindow))
	remaining := q.concurrencyUntil[concurrencyLimit(a)].Sub(a.startedAt)
	if remaining > 0 { // otherwise there is no concurrency quota, or the share reserved for its end permits the attempt
		a.Timeout = min(a.Timeout, remaining)
		a.answerEnd = earlier(a.answerEnd, a.startedAt.Add(remaining))
	}
}

// boundsConcurrency reports whether an attempt counts against a concurrency quota. Such an attempt must end before
// another one may replace it, since a slow attempt keeps its server busy whatever other attempts do.
func (q *quotas) boundsConcurrency(a *Attempt) bool {
	_, limited := q.concurrencyUntil[concurrencyLimit(a)]
	return limited
}

// concurrencyLimit returns the concurrency limit that an attempt counts against.
func concurrencyLimit(a *Attempt) routing.Limit {
	if a.Origin {
		return routing.OriginConcurrency
	}
	return routing.CacheConcurrency
}
