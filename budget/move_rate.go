package budget

import "github.com/thistlerudder/thistlerudder/lease"

// How many entries of moves the log takes. Steady demand, where moves are small, costs few of them.
const (
	smallMovesPerNode = 0.05 // entries a second for small moves, for each node,
	minSmallMoves     = 0.8  // and at least so many a second for all
	largeMoveRate     = 4.0  // entries a second for large moves
	largeMoveBurst    = 12.0 // and so many at once
	minMoveInterval   = 150 * lease.Millisecond
)

// moveSize says how much a division has to move.
type moveSize int

const (
	noMove moveSize = iota
	smallMove
	largeMove
)

// moveRate limits the rate of log entries for moves: a token bucket for each size, and an interval between any two.
type moveRate struct {
	smallTokens   float64
	largeTokens   float64
	refilledAt    Time
	lastEntryTime Time
}

// reset fills the bucket of large moves for a new term.
func (r *moveRate) reset(now Time) {
	r.largeTokens = largeMoveBurst
	r.refilledAt = now
	r.lastEntryTime = now - minMoveInterval
}

// earliestEntryTime refills the buckets and returns the earliest time at which an entry for moves of this size may be proposed.
func (r *moveRate) earliestEntryTime(now Time, size moveSize, nodes int) Time {
	elapsed := seconds(now - r.refilledAt)
	smallRate := max(minSmallMoves, smallMovesPerNode*float64(nodes))
	r.smallTokens = min(1, r.smallTokens+smallRate*elapsed)
	r.largeTokens = min(largeMoveBurst, r.largeTokens+largeMoveRate*elapsed)
	r.refilledAt = now
	t := r.lastEntryTime + minMoveInterval
	if size == smallMove && r.smallTokens < 1 {
		t = max(t, nextTokenTime(now, r.smallTokens, smallRate))
	}
	if size == largeMove && r.largeTokens < 1 {
		t = max(t, nextTokenTime(now, r.largeTokens, largeMoveRate))
	}
	return t
}

// nextTokenTime returns when a bucket will have a whole token.
func nextTokenTime(now Time, tokens, perSecond float64) Time {
	return now + 1 + Time((1-tokens)/perSecond*float64(1000*lease.Millisecond))
}

// spend counts an entry.
func (r *moveRate) spend(now Time, size moveSize) {
	r.lastEntryTime = now
	if size == largeMove {
		r.largeTokens--
	} else {
		r.smallTokens--
	}
}
