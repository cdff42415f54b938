package routing

import "github.com/thistlerudder/thistlerudder/budget/allowance"

// tenantState holds a tenant's share of this node. Without a quota of the
// cluster, a tenant's rate is divided evenly between the nodes. Clients are
// spread unevenly, and a node carries more than its even share when others are
// lost; so a node also estimates which share it carries.
type tenantState struct {
	quota *allowance.Limiter // of the cluster's limit for the tenant; nil: the even share applies

	evenRate      float64 // requests per second of the even share
	evenTokens    float64 // requests left of the even share
	carriedTokens float64 // requests left of the share that the node carries
	refilledAt    Time
	requests      float64 // decaying count
}

// minTenantBurst is how many requests a tenant may always save up: with many
// nodes, its even share at each may be a few requests per minute.
const minTenantBurst = 4.0 // requests

// initTenants sets up the tenants of the configuration, each with a full share.
func (b *Balancer) initTenants() {
	for _, tenant := range b.config.Tenants {
		rate := tenant.Quota / b.nodeCount
		b.tenants = append(b.tenants, tenantState{
			evenRate:      rate,
			evenTokens:    rate + minTenantBurst,
			carriedTokens: rate + minTenantBurst,
			refilledAt:    b.now,
		})
	}
}

// admit reports whether a request is let in. A request inside its tenant's
// share always is, one beyond it with the admission probability.
func (b *Balancer) admit(r *requestState) bool {
	if r.Tenant < 0 {
		return true
	}
	if quota := b.tenants[r.Tenant].quota; quota != nil {
		return b.spendQuota(r, quota)
	}
	var exceedsCarriedShare bool
	r.exceedsEvenShare, exceedsCarriedShare = b.spendShare(r.Tenant)
	return !r.exceedsEvenShare || b.draw() < b.admissionProbability(exceedsCarriedShare)
}

// spendShare takes a request from its tenant's shares, and reports whether it
// is beyond the even one and beyond the one that the node carries.
func (b *Balancer) spendShare(tenant int) (exceedsEvenShare, exceedsCarriedShare bool) {
	carriedShares := b.carriedShares(tenant)
	t := &b.tenants[tenant]
	elapsed := b.now - t.refilledAt
	t.evenTokens = refill(t.evenTokens, t.evenRate, elapsed)
	t.carriedTokens = refill(t.carriedTokens, t.evenRate*carriedShares, elapsed)
	t.refilledAt = b.now
	t.requests++
	return !spendToken(&t.evenTokens), !spendToken(&t.carriedTokens)
}

// refill adds the requests that a rate gives in a time. One second of the
// rate may be saved up, and minTenantBurst beside it.
func refill(tokens, rate float64, elapsed Time) float64 {
	return min(rate+minTenantBurst, tokens+rate*seconds(elapsed))
}

// spendToken takes one token, or reports false if there is none.
func spendToken(tokens *float64) bool {
	*tokens--
	if *tokens < 0 {
		*tokens++
		return false
	}
	return true
}

// carriedShares estimates how many even shares of the traffic the node carries
// (at least one), from what the other tenants send.
func (b *Balancer) carriedShares(tenant int) float64 {
	actualRate, evenRate := 0.0, 0.0
	for i, t := range b.tenants {
		if i != tenant {
			actualRate += b.perSecond(t.requests)
			evenRate += t.evenRate
		}
	}
	if evenRate == 0 {
		return 1
	}
	return max(1, actualRate/evenRate)
}

const (
	// admissionSteps divides the admission level into ranges of equal size.
	// While it sinks through the top one, more and more requests beyond the
	// carried share are shed; in the bottom one, all beyond the even share.
	admissionSteps = 5.0

	rejectionLoss = 0.1   // of the level, for a request inside its share that was rejected or late
	expiryLoss    = 0.03  // for one that ran out of time, which may be its server's fault alone
	successGain   = 0.005 // for one answered in time; at 5% of rejections the level sinks to 0
)

// admissionProbability returns the probability with which a request beyond its
// tenant's even share is admitted. 1 and more admit all, 0 and less none.
func (b *Balancer) admissionProbability(exceedsCarriedShare bool) float64 {
	probability := admissionSteps * b.admissionLevel
	if exceedsCarriedShare {
		probability -= admissionSteps - 1
	}
	return probability
}

// adjustAdmissionLevel follows how requests inside their tenants' shares fare:
// where they suffer, requests beyond the shares are shed first.
func (b *Balancer) adjustAdmissionLevel(r *requestState, inTime bool) {
	switch {
	case r.exceedsEvenShare: // says nothing of those inside their shares
	case inTime:
		b.admissionLevel = min(1, b.admissionLevel+successGain)
	case b.now >= r.giveUpAt:
		b.admissionLevel = max(0, b.admissionLevel-expiryLoss)
	default:
		b.admissionLevel = max(0, b.admissionLevel-rejectionLoss)
	}
}
