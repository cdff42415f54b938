package routing

import "github.com/thistlerudder/thistlerudder/budget/quotalimit"

// serverState is the node's state of a server. It is reset when the server
// restarts.
type serverState struct {
	Endpoint
	isOrigin bool
	inFlight int // attempts

	answers             float64 // decaying count, see perSecond
	firstAttemptAnswers float64 // answers to first attempts; decaying count
	meanLatency         Time    // moving average over the latest attempts

	consecutiveFailures int
	ejectionTime        Time // length of the latest ejection; 0: not ejected
	ejectedUntil        Time
	probing             bool // a probe is in flight

	concurrencyLimit float64 // attempts in flight; adapted so that answers stay quick
	retryBudget      float64 // retries that may be sent to the server

	slowStartTokens     float64 // work that may be sent during slow start, in multiples of the mean request
	slowStartRefilledAt Time

	hasIdleConnection bool // a connection may have been idle since lastDoneAt
	lastDoneAt        Time // end of the latest attempt

	// The node's quotas of the cluster's limits for this server; nil: no limit.
	slowStartQuota   *quotalimit.Limiter
	concurrencyQuota *quotalimit.Limiter
}

// newServer returns the initial state of a server that was added to the list or
// has restarted.
func (b *Balancer) newServer() *serverState {
	return &serverState{
		slowStartRefilledAt: b.now,
		concurrencyLimit:    b.initialLimit,
		retryBudget:         maxRetryBudget,
		slowStartQuota:      b.quotas[SlowStartRate].Clone(int64(b.now)),
		concurrencyQuota:    b.quotas[CacheConcurrency].Clone(int64(b.now)),
	}
}

// meanLatencyDivisor is the inverse weight of the newest attempt in the mean latency.
const meanLatencyDivisor = 8

// recordLatency adds the latency of an attempt to the moving average.
func (s *serverState) recordLatency(latency Time) {
	s.meanLatency += (latency - s.meanLatency) / meanLatencyDivisor
}
