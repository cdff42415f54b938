package upstream

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// A server that answers a request twice sends the second answer some milliseconds after the first. Once the next request
// is written on the connection, nothing tells the second answer from the next request's, so a connection has to be quiet
// for a period before it is used again.
const (
	minQuietPeriod    = 10 * time.Millisecond
	maxQuietPeriod    = 60 * time.Millisecond
	quietPeriodFactor = 2               // margin beyond the latest second answer that was seen
	quietPeriodTTL    = 2 * time.Minute // for which a longer period is remembered
	quietWaitDivisor  = 4               // a request waits for at most a quarter of its time; then another connection is tried
)

// quietPeriods learns which endpoints, by pool key, need more than minQuietPeriod. Its methods may be called from any
// goroutine.
type quietPeriods struct {
	mu    sync.Mutex
	byKey map[string]quietPeriod
}

// quietPeriod is what one endpoint needs.
type quietPeriod struct {
	duration   time.Duration
	observedAt time.Time
}

// expired reports whether the period is too old to be heeded.
func (p quietPeriod) expired(now time.Time) bool { return now.Sub(p.observedAt) > quietPeriodTTL }

// observe learns from unsolicited bytes that have come so long after the previous bytes.
func (q *quietPeriods) observe(key string, sinceLastRead time.Duration) {
	duration := min(quietPeriodFactor*sinceLastRead, maxQuietPeriod)
	if sinceLastRead > maxQuietPeriod || duration <= minQuietPeriod {
		return // too late to be waited for, or waited for in any case
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

// required returns how long a connection has to be quiet before it is used again.
func (q *quietPeriods) required(key string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p, known := q.byKey[key]; known && !p.expired(time.Now()) {
		return p.duration
	}
	return minQuietPeriod
}

// awaitQuiet waits until a connection that is used again has been quiet for a period. It refuses the request if that
// would take too much of the time until deadline, or if ctx ends meanwhile.
func (c *conn) awaitQuiet(ctx context.Context, request *outgoingRequest, period time.Duration, deadline time.Time) {
	c.mu.Lock()
	lastRead := c.lastRead
	c.mu.Unlock()
	if faults.Without(faults.QuietPeriod) {
		return
	}
	wait := period - time.Since(lastRead)
	remaining := time.Until(deadline)
	if lastRead.IsZero() || wait <= 0 || remaining <= 0 {
		return // quiet, or too late in any case
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
		c.refuse(request, admission.NodeLeaving) // or the deadline has passed: ctx's cause says which
	}
}
