package dispatch

import "time"

// An attempt that was decided before its endpoint began to drain must be written within the drain's grace period, or
// not at all. Part of the grace period passes before the decision, until this node is notified of the drain, and part
// between the last check of SendBy and the write.
const (
	maxGraceDivisor = 2                      // the send window is at most half of the grace period
	minGraceDivisor = 8                      // the send window is at least an eighth of the grace period, however short
	maxWriteStall   = 150 * time.Millisecond // longest stall of the process between its last check of the clock and the write
	maxListDelay    = 20 * time.Millisecond  // longest time to read and apply an update of the endpoint list
)

// dedupWindowDivisor is the fraction of the deduplication window, counted from the decision, within which a retry must
// be written. The balancer orders a retry within the first half of the window, and the last quarter is left for the
// transfer to the server.
const dedupWindowDivisor = 4

// sendWindow returns how long after the decision the first byte of an attempt may be written, so that none is written
// after the grace period of a drain.
func sendWindow(grace time.Duration) time.Duration {
	return max(grace/minGraceDivisor, min(grace/maxGraceDivisor, grace-maxWriteStall-maxListDelay))
}
