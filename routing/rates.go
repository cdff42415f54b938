package routing

// decayInterval is the time between two halvings of the decaying counts, which
// thereby cover the last few seconds.
const decayInterval = 1000 * Millisecond

// perSecond converts a decaying count to a rate. At a constant rate a decaying
// count approaches twice the count of one interval.
func (b *Balancer) perSecond(count float64) float64 {
	return count / (seconds(decayInterval) + seconds(b.now-b.decayedAt))
}

// decayCounts halves the counts of servers and tenants if decayInterval has passed.
func (b *Balancer) decayCounts() {
	if b.now < b.decayedAt+decayInterval {
		return
	}
	b.measureWarmCaches()
	for _, s := range b.servers {
		if s != nil {
			s.answers /= 2
			s.firstAttemptAnswers /= 2
		}
	}
	for i := range b.tenants {
		b.tenants[i].requests /= 2
	}
	b.decayedAt = b.now
}

// measureWarmCaches sets warmCacheRate, from which the limit of a cache in slow
// start is computed. Only first attempts count, since retries would raise that
// limit while caches fail.
func (b *Balancer) measureWarmCaches() {
	sum, warmCaches := 0.0, 0
	for _, i := range b.ready {
		if s := b.servers[i]; b.slowStartShare(s) == 1 {
			sum += b.perSecond(s.firstAttemptAnswers)
			warmCaches++
		}
	}
	b.warmCacheRate = sum / float64(max(1, warmCaches))
}
