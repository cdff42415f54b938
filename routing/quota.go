package routing

import "github.com/thistlerudder/thistlerudder/budget/allowance"

// SetQuota sets this node's quota of a limit of the cluster, in place of its
// even share. tenant is the tenant of a TenantRate and ignored otherwise. It
// returns the usage since the last call; of limits for each server, the
// largest at any one.
func (b *Balancer) SetQuota(now Time, limit Limit, tenant int, quota allowance.Quota) allowance.Usage {
	b.advanceClock(now)
	if limit == TenantRate {
		return allowance.Set(&b.tenants[tenant].quota, int64(now), quota)
	}
	usage := allowance.Set(&b.quotas[limit], int64(now), quota)
	for _, s := range b.servers {
		if s == nil || s.isOrigin {
			continue
		}
		switch limit {
		case SlowStartRate:
			usage = usage.Max(allowance.Set(&s.slowStartQuota, int64(now), quota))
		case CacheConcurrency:
			usage = usage.Max(allowance.Set(&s.concurrencyQuota, int64(now), quota))
		}
	}
	return usage
}

// quotaExhausted reports whether a quota leaves nothing for the request's next
// step. Each step counts one denial.
func (b *Balancer) quotaExhausted(r *requestState, quota *allowance.Limiter) bool {
	if quota.Available(int64(b.now)) >= 1 {
		return false
	}
	if r.deniedBy != quota {
		quota.Denied()
		r.deniedBy = quota
	}
	return true
}

// spendQuota takes one from a quota, or reports false if nothing is left.
func (b *Balancer) spendQuota(r *requestState, quota *allowance.Limiter) bool {
	if b.quotaExhausted(r, quota) {
		return false
	}
	quota.Spend()
	return true
}
