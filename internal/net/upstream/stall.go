package upstream

import (
	"errors"
	"sync"
	"time"
)

const (
	minStallThreshold    = 50 * time.Millisecond  // no answer counts as stalled sooner
	maxLearnedPause      = 250 * time.Millisecond // longer pauses count as this
	stallThresholdFactor = 2                      // of the longest pause seen
	abortThresholdFactor = 4                      // of the stall threshold: a stalled answer is given up
	pauseDecayDivisor    = 64                     // the longest pause fades over some hundred answers
)

// errStalled is the cause of an exchange whose answer has begun and does not go on.
var errStalled = errors.New("the answer has begun and does not go on")

// stallDetector learns how long servers pause within answers that are complete in the end. From what silence on an answer
// is likely stuck differs from cluster to cluster. Its methods may be called from any goroutine.
type stallDetector struct {
	mu           sync.Mutex
	longestPause time.Duration // fading
}

// observe learns from the longest pause of a complete answer.
func (d *stallDetector) observe(pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if pause > d.longestPause {
		d.longestPause = min(pause, maxLearnedPause)
	} else {
		d.longestPause -= (d.longestPause - pause) / pauseDecayDivisor
	}
}

// threshold returns the silence from which on an answer counts as stalled.
func (d *stallDetector) threshold() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(minStallThreshold, stallThresholdFactor*d.longestPause)
}

// newStallTimer returns a stopped timer, to be started with the answer's first byte. It reports a stalled answer to the
// attempt, once, and aborts the exchange if the answer goes on to be silent.
func (x *exchange) newStallTimer() *time.Timer {
	var timer *time.Timer
	reported := false
	timer = time.AfterFunc(time.Hour, func() {
		threshold := x.client.stalls.threshold()
		silence := x.conn.answerSilence()
		abortThreshold := abortThresholdFactor * threshold
		switch {
		case silence >= abortThreshold:
			x.abort(errStalled)
		case silence < threshold:
			timer.Reset(threshold - silence)
		default:
			if !reported {
				reported = true
				x.attempt.Stalled()
			}
			timer.Reset(abortThreshold - silence)
		}
	})
	timer.Stop()
	return timer
}
