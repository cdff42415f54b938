package budget

import "github.com/thistlerudder/thistlerudder/lease"

// Rate limits on log entries that move quotas. Under steady demand, moves are small and take few entries.
const (
	smallMovesPerNode = 0.05                    // entries per second with small moves, for each node
	minSmallMoves     = 0.8                     // lower bound on the entries per second with small moves, for all nodes
	largeMoveRate     = 4.0                     // entries per second with large moves
	largeMoveBurst    = 12.0                    // burst of entries with large moves
	minMoveInterval   = 150 * lease.Millisecond // between any two entries
)

// moveSize classifies the moves of a division.
type moveSize int

const (
	noMove moveSize = iota
	smallMove
	largeMove
)

// moveRate limits the rate of log entries that move quotas. It has a token bucket for each move size and enforces a minimum
// interval between any two entries.
type moveRate struct {
	smallTokens   float64
	largeTokens   float64
	refilledAt    Time
	lastEntryTime Time
}

// reset fills the bucket for large moves at the start of a term.
func (r *moveRate) reset(now Time) {
	r.largeTokens = largeMoveBurst
	r.refilledAt = now
	r.lastEntryTime = now - minMoveInterval
}

// earliestEntryTime refills the buckets. It returns the earliest time at which an entry with moves of this size may be
// proposed.
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

// nextTokenTime returns when a bucket that now holds less than one token will hold one.
func nextTokenTime(now Time, tokens, perSecond float64) Time {
	return now + 1 + Time((1-tokens)/perSecond*float64(1000*lease.Millisecond))
}

// spend takes one token for an entry with moves of this size.
func (r *moveRate) spend(now Time, size moveSize) {
	r.lastEntryTime = now
	if size == largeMove {
		r.largeTokens--
	} else {
		r.smallTokens--
	}
}
