package upstream

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// A server that answers a request twice sends the second answer some milliseconds after the first. If the next request is
// written on the connection before that, the second answer can't be distinguished from the answer to the next request.
// Therefore a connection must be quiet, with no bytes read, for a period before it is reused.
const (
	minQuietPeriod    = 10 * time.Millisecond
	maxQuietPeriod    = 60 * time.Millisecond
	quietPeriodFactor = 2               // of the longest delay observed for a second answer, as a safety margin
	quietPeriodTTL    = 2 * time.Minute // how long a learned period applies
	quietWaitDivisor  = 4               // waiting may take a quarter of the remaining time; beyond it another connection is tried
)

// quietPeriods learns which endpoints, by pool key, need a longer quiet period than minQuietPeriod. Its methods are safe
// for concurrent use.
type quietPeriods struct {
	mu    sync.Mutex
	byKey map[string]quietPeriod
}

// quietPeriod is the learned period of one endpoint.
type quietPeriod struct {
	duration   time.Duration
	observedAt time.Time
}

// expired reports whether the period no longer applies.
func (p quietPeriod) expired(now time.Time) bool { return now.Sub(p.observedAt) > quietPeriodTTL }

// observe records that unsolicited bytes were read sinceLastRead after the bytes before them.
func (q *quietPeriods) observe(key string, sinceLastRead time.Duration) {
	duration := min(quietPeriodFactor*sinceLastRead, maxQuietPeriod)
	if sinceLastRead > maxQuietPeriod || duration <= minQuietPeriod {
		return // waiting would take too long, or minQuietPeriod is enough
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(q.byKey, func(_ string, p quietPeriod) bool { return p.expired(now) })
	if q.byKey == nil {
		q.byKey = map[string]quietPeriod{}
	}
	if duration >= q.byKey[key].duration {
		q.byKey[key] = quietPeriod{duration, now}
	}
}

// required returns how long a connection must be quiet before it is reused.
func (q *quietPeriods) required(key string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p, known := q.byKey[key]; known && !p.expired(time.Now()) {
		return p.duration
	}
	return minQuietPeriod
}

// awaitQuiet waits until a reused connection has been quiet for the given period. It refuses the request if that would
// take too much of the time until deadline, or if ctx ends during the wait.
func (c *conn) awaitQuiet(ctx context.Context, request *outgoingRequest, period time.Duration, deadline time.Time) {
	c.mu.Lock()
	lastRead := c.lastRead
	c.mu.Unlock()
	if faults.Disabled(faults.QuietPeriod) {
		return
	}
	wait := period - time.Since(lastRead)
	remaining := time.Until(deadline)
	if lastRead.IsZero() || wait <= 0 || remaining <= 0 {
		return // already quiet, or too late for the request anyway
	}
	if wait > remaining/quietWaitDivisor {
		c.refuse(request, admission.NotQuiet)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		c.refuse(request, reasonOfInterruption(ctx))
	}
}

// reasonOfInterruption returns why an exchange was canceled before its request was written.
func reasonOfInterruption(ctx context.Context) admission.Reason {
	if errors.Is(context.Cause(ctx), errTimedOut) {
		return admission.TooLate
	}
	return admission.NodeLeaving
}
