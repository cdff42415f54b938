package routing

import "github.com/thistlerudder/thistlerudder/budget/allowance"

// serverState is what the node knows of a server. A restart of the server
// begins a new one.
type serverState struct {
	Endpoint
	isOrigin bool
	inFlight int // attempts

	answers             float64 // decaying count, see perSecond
	firstAttemptAnswers float64 // those of them that answered first attempts
	meanLatency         Time    // moving average over the latest attempts

	consecutiveFailures int
	ejectionTime        Time // length of the latest ejection; 0: not an outlier
	ejectedUntil        Time
	probing             bool // a probe is in flight

	concurrencyLimit float64 // attempts in flight with which answers are quick
	retryBudget      float64 // retries that the server may be sent

	slowStartTokens     float64 // work that may be sent during slow start, in mean requests
	slowStartRefilledAt Time

	hasIdleConnection bool // one may have stayed open since lastDoneAt
	lastDoneAt        Time // end of the latest attempt

	// The node's quotas of what the cluster may send; nil: no such limit.
	slowStartQuota   *allowance.Limiter
	concurrencyQuota *allowance.Limiter
}

// newServer returns the state of a server that has just been listed or has
// restarted.
func (b *Balancer) newServer() *serverState {
	return &serverState{
		slowStartRefilledAt: b.now,
		concurrencyLimit:    b.initialLimit,
		retryBudget:         maxRetryBudget,
		slowStartQuota:      b.quotas[SlowStartRate].Clone(int64(b.now)),
		concurrencyQuota:    b.quotas[CacheConcurrency].Clone(int64(b.now)),
	}
}

// latencyWeight is the weight of the newest attempt in the mean latency, as a
// divisor.
const latencyWeight = 8

// recordLatency takes an attempt's duration into the mean.
func (s *serverState) recordLatency(latency Time) {
	s.meanLatency += (latency - s.meanLatency) / latencyWeight
}
