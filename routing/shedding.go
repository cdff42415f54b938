package routing

import "github.com/thistlerudder/thistlerudder/budget/quotalimit"

// tenantState holds a tenant's share of this node. Without a cluster quota, a
// tenant's rate is divided evenly between the nodes. Clients are spread unevenly,
// and a node receives more than its even share of the traffic when other nodes
// fail. So a node also estimates the share that it actually carries.
type tenantState struct {
	quota *quotalimit.Limiter // quota of the cluster's limit for the tenant; nil: the even share applies

	evenRate      float64 // even share, in requests per second
	evenTokens    float64 // requests left in the even share
	carriedTokens float64 // requests left in the share that the node carries
	refilledAt    Time
	requests      float64 // decaying count
}

// minTenantBurst is how many requests a tenant can always accumulate. In a cluster
// with many nodes, its even share at each may be a few requests per minute.
const minTenantBurst = 4.0 // requests

// initTenants sets up the tenants of the configuration, each with full token
// buckets.
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

// admit reports whether a request is admitted. A request within its tenant's even
// share always is. Another one is admitted with the admission probability.
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

// spendShare deducts a request from its tenant's shares, and reports whether it
// exceeds the even share and whether it exceeds the share that the node carries.
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

// refill adds the tokens that a rate yields in the elapsed time. The burst is one
// second of the rate plus minTenantBurst.
func refill(tokens, rate float64, elapsed Time) float64 {
	return min(rate+minTenantBurst, tokens+rate*seconds(elapsed))
}

// spendToken spends one token, or returns false if there is none.
func spendToken(tokens *float64) bool {
	*tokens--
	if *tokens < 0 {
		*tokens++
		return false
	}
	return true
}

// carriedShares estimates how many even shares of the traffic the node carries, at
// least one, from the requests of the other tenants.
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
	// admissionSteps divides the admission level into ranges of equal size. As
	// the level falls through the top range, a growing share of the requests
	// that exceed the carried share is shed, and as it falls through the bottom
	// range, of all requests that exceed the even share.
	admissionSteps = 5.0

	rejectionDecrease = 0.1   // subtracted for a request within its share that was rejected or late
	expiryDecrease    = 0.03  // subtracted for a request that ran out of time, which may be the fault of a single server
	successIncrease   = 0.005 // added for a request answered in time; at 5% of rejections the level falls to 0
)

// admissionProbability returns the probability with which a request that exceeds
// its tenant's even share is admitted. 1 or more admits all, 0 or less none.
func (b *Balancer) admissionProbability(exceedsCarriedShare bool) float64 {
	probability := admissionSteps * b.admissionLevel
	if exceedsCarriedShare {
		probability -= admissionSteps - 1
	}
	return probability
}

// adjustAdmissionLevel updates the admission level by the outcome of a request
// within its tenant's even share. When such requests are rejected or late, requests
// that exceed their shares are shed first.
func (b *Balancer) adjustAdmissionLevel(r *requestState, inTime bool) {
	switch {
	case r.exceedsEvenShare: // says nothing about requests within their shares
	case inTime:
		b.admissionLevel = min(1, b.admissionLevel+successIncrease)
	case b.now >= r.giveUpAt:
		b.admissionLevel = max(0, b.admissionLevel-expiryDecrease)
	default:
		b.admissionLevel = max(0, b.admissionLevel-rejectionDecrease)
	}
}
