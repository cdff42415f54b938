package upstream

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

const (
	// quietLeast is how long a connection has brought nothing before the next request goes out on it. A server that answers a
	// request twice sends its second answer some milliseconds after the first; once the next request is out, nothing tells it from
	// that request's answer.
	quietLeast = 10 * time.Millisecond
	// quietMost bounds that span where second answers were seen to come later.
	quietMost = 60 * time.Millisecond
	// quietFactor is the margin beyond the latest second answer that was seen.
	quietFactor = 2
	// quietKept is how long a second answer that was seen to come later than usual is heeded.
	quietKept = 2 * time.Minute
	// quietPart is the part of a request's time that it waits for a connection to be quiet at most. Beyond it another connection
	// is tried.
	quietPart = 4
)

// quietPeriods learn how late each place's server sends bytes that belong to no request. Only those that did so lately are kept.
type quietPeriods struct {
	mu sync.Mutex
	of map[string]quietPeriod
}

// quietPeriod is what was learned of one place.
type quietPeriod struct {
	span time.Duration
	seen time.Time // when bytes that late were seen last
}

func (p quietPeriod) over(now time.Time) bool { return now.Sub(p.seen) > quietKept }

// unsolicited notes bytes that came on an idle connection to a place, so long after the latest byte of an answer.
func (q *quietPeriods) unsolicited(place string, after time.Duration) {
	span := min(quietFactor*after, quietMost)
	if after > quietMost || span <= quietLeast {
		return // too late to be waited for, or waited for in any case
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(q.of, func(_ string, p quietPeriod) bool { return p.over(now) })
	if q.of == nil {
		q.of = map[string]quietPeriod{}
	}
	if span >= q.of[place].span {
		q.of[place] = quietPeriod{span, now}
	}
}

// wanted gives how long a connection to a place has to be quiet before it is used again.
func (q *quietPeriods) wanted(place string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p, known := q.of[place]; known && !p.over(time.Now()) {
		return p.span
	}
	return quietLeast
}

// awaitQuiet waits until a connection that is used again has brought nothing for a span. Where that would take more than a part of
// the time up to by, or the context ends meanwhile, the request is refused here.
func (c *conn) awaitQuiet(ctx context.Context, request *outgoing, span time.Duration, by time.Time) {
	c.mu.Lock()
	latest := c.latest
	c.mu.Unlock()
	if faults.Without(faults.QuietPeriod) {
		return
	}
	wait, left := span-time.Since(latest), time.Until(by)
	if latest.IsZero() || wait <= 0 || left <= 0 {
		return // quiet, or too late in any case
	}
	if wait > left/quietPart {
		c.refuse(request, admission.NotQuiet)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		c.refuse(request, admission.NodeLeaving) // or the time is over: the transport says which
	}
}
