package dispatch

import "time"

// An attempt that is decided on before its endpoint drains must be written within the drain's grace, or not at all. Part
// of the grace passes before the decision, while the drain is not known here yet, and part after the last check.
const (
	maxGraceDivisor = 2                      // at most half of the grace is spent before the first byte
	minGraceDivisor = 8                      // at least an eighth may be, however short the grace is
	maxWriteStall   = 150 * time.Millisecond // a process may be held up so long between its last look at the clock and the write
	maxListDelay    = 20 * time.Millisecond  // an update of the endpoint list takes so long to be read and applied
)

// dedupWindowDivisor gives the part of the deduplication window in which a retry must be written. The balancer orders
// one within half of the window; the last quarter is left for the way to the server.
const dedupWindowDivisor = 4

// sendWindow returns how long after its decision an attempt's first byte may be written, so that none is written after a
// drain's grace.
func sendWindow(grace time.Duration) time.Duration {
	return max(grace/minGraceDivisor, min(grace/maxGraceDivisor, grace-maxWriteStall-maxListDelay))
}
