package routing

import "github.com/thistlerudder/thistlerudder/budget/quotalimit"

// SetQuota sets this node's quota of a cluster limit, which replaces the node's
// even share. tenant is the index of the tenant for TenantRate and ignored
// otherwise. SetQuota returns the usage since the last call. For a limit that
// applies to each server it is the maximum over the servers.
func (b *Balancer) SetQuota(now Time, limit Limit, tenant int, quota quotalimit.Quota) quotalimit.Usage {
	b.advanceClock(now)
	if limit == TenantRate {
		return quotalimit.SetQuota(&b.tenants[tenant].quota, int64(now), quota)
	}
	usage := quotalimit.SetQuota(&b.quotas[limit], int64(now), quota)
	for _, s := range b.servers {
		if s == nil || s.isOrigin {
			continue
		}
		switch limit {
		case SlowStartRate:
			usage = usage.Max(quotalimit.SetQuota(&s.slowStartQuota, int64(now), quota))
		case CacheConcurrency:
			usage = usage.Max(quotalimit.SetQuota(&s.concurrencyQuota, int64(now), quota))
		}
	}
	return usage
}

// quotaExhausted reports whether a quota is exhausted for the request's next step.
// Repeated checks of a quota in one step count as one denial.
func (b *Balancer) quotaExhausted(r *requestState, quota *quotalimit.Limiter) bool {
	if quota.Available(int64(b.now)) >= 1 {
		return false
	}
	if r.deniedBy != quota {
		quota.RequestDenied()
		r.deniedBy = quota
	}
	return true
}

// spendQuota spends one unit of a quota, or returns false if it is exhausted.
func (b *Balancer) spendQuota(r *requestState, quota *quotalimit.Limiter) bool {
	if b.quotaExhausted(r, quota) {
		return false
	}
	quota.RequestStarted()
	return true
}
