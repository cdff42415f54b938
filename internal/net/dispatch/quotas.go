package dispatch

import (
	"time"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// quotaSendWindow is how long a shot may be on its way to its first byte where a part of the fleet's budgets allowed it. A node
// that stood still must not send then what it decided before: by now its part may be another's.
const quotaSendWindow = 50 * time.Millisecond

// SetQuota tells the module how much of a budget of the fleet is ours: acts may begin for so long, and then what p says for
// after that. What began has to be over takes later, if it is of a number at a time. It gives what was asked of its bound
// since the last time.
func (x *Dispatcher) SetQuota(of routing.Limit, partner string, p allowance.Quota, left, takes time.Duration) (u allowance.Usage) {
	place, known := x.settings.Tenants[partner]
	if of == routing.TenantRate && !known {
		return u
	}
	x.withLock("part", nil, func(now routing.Time) {
		p.Until = int64(now + config.Ticks(float64(left)/float64(time.Millisecond)))
		u = x.balancer.SetQuota(now, of, place, p)
		x.parted = true
		if p.Concurrency {
			x.cuts[of] = time.Now().Add(left + takes)
		}
		if of == routing.CacheConcurrency {
			x.carrier.SetMaxConns(max(0, int(p.Burst)))
		}
	})
	return u
}

// bounded holds a shot that a part may have allowed to the time of that part.
func (x *Dispatcher) bounded(s *Attempt) {
	if by := s.startedAt.Add(quotaSendWindow); s.SendBy.IsZero() || by.Before(s.SendBy) {
		s.SendBy = by
	}
	if left := x.cuts[roomOf(s)].Sub(s.startedAt); left > 0 { // else nothing bounds it, or what is apart allowed it
		s.Timeout = min(s.Timeout, left)
	}
}

func roomOf(s *Attempt) routing.Limit {
	if s.Origin {
		return routing.OriginConcurrency
	}
	return routing.CacheConcurrency
}

// concurrencyBounded says whether a shot has to be over before another one may take its place: where the fleet may do so many at a time,
// one that is slow goes on at its server and counts, whatever others do.
func (x *Dispatcher) concurrencyBounded(s *Attempt) bool {
	_, bounded := x.cuts[roomOf(s)]
	return bounded
}
