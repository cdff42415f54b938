package exchange

import (
	"time"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/internal/terms"
	"github.com/thistlerudder/thistlerudder/logic"
)

// partWithin is how long a shot may be on its way to its first byte where a part of the fleet's budgets allowed it. A node
// that stood still must not send then what it decided before: by now its part may be another's.
const partWithin = 50 * time.Millisecond

// Part tells the module how much of a budget of the fleet is ours: for so long, and then what p says for after that. It
// gives what was asked of its bound since the last time.
func (x *Exchange) Part(of logic.Bound, partner string, p allowance.Part, left time.Duration) (u allowance.Use) {
	place, known := x.terms.Partners[partner]
	if of == logic.PartnerRate && !known {
		return u
	}
	x.do("part", nil, func(now logic.Time) {
		p.Until = int64(now + terms.Tenths(float64(left)/float64(time.Millisecond)))
		u = x.balancer.Part(now, of, place, p)
		x.parted = true
		if of == logic.CacheRoom {
			x.carrier.Most(max(0, int(p.Most)))
		}
	})
	return u
}
