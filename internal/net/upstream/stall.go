package upstream

import (
	"errors"
	"sync"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
)

const (
	minStallThreshold    = 50 * time.Millisecond  // a shorter silence never counts as a stall
	maxLearnedPause      = 250 * time.Millisecond // longer pauses are recorded as this
	stallThresholdFactor = 2                      // of the longest pause seen
	abortThresholdFactor = 4                      // of the stall threshold: an answer silent for that long is aborted
	pauseDecayDivisor    = 64                     // the recorded pause decays over some hundred answers
)

// errStalled is the cancellation cause of an exchange whose answer started and then stalled.
var errStalled = errors.New("answer stalled")

// stallDetector learns how long servers pause within answers that are completed later, and derives the silence after
// which an answer counts as stalled. The threshold is learned because usual pauses differ between clusters. Its methods
// are safe for concurrent use.
type stallDetector struct {
	mu           sync.Mutex
	longestPause time.Duration // decaying maximum
}

// observe records the longest pause within a complete answer.
func (d *stallDetector) observe(pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if pause > d.longestPause {
		d.longestPause = min(pause, maxLearnedPause)
	} else {
		d.longestPause -= (d.longestPause - pause) / pauseDecayDivisor
	}
}

// threshold returns the duration of silence after which an answer counts as stalled.
func (d *stallDetector) threshold() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(minStallThreshold, stallThresholdFactor*d.longestPause)
}

// newStallTimer returns a stopped timer, to be started at the answer's first byte. When the answer stalls, the timer
// reports that to the attempt, once, so that another one may start beside it. It aborts the exchange only if the silence
// continues and retryIsBetter.
func (x *exchange) newStallTimer() *time.Timer {
	var timer *time.Timer
	reported := false
	timer = time.AfterFunc(time.Hour, func() {
		threshold := x.client.stalls.threshold()
		silence := x.conn.answerSilence()
		abortThreshold := abortThresholdFactor * threshold
		switch {
		case silence >= abortThreshold && x.retryIsBetter():
			x.abortStalled()
		case silence < threshold:
			timer.Reset(threshold - silence)
		default:
			if !reported {
				reported = true
				x.attempt.ReportStalled()
			}
			timer.Reset(max(threshold, abortThreshold-silence))
		}
	})
	timer.Stop()
	return timer
}

// retryIsBetter reports whether a stalled answer should be given up for another attempt. As long as its client waits, a
// silent answer may go on, so it is given up only if no other attempt can run beside it, half of the time has passed,
// and no long answer is lost: the time of a long one is that of its first bytes, and whether one of unknown length is
// long isn't known yet.
func (x *exchange) retryIsBetter() bool {
	if faults.Disabled(faults.StallPatience) {
		return true
	}
	length := x.answerLength.Load()
	knownShort := length >= 0 && length <= x.client.limits.MaxBufferedBody
	halfTime := x.initialDeadline.Add(-x.attempt.Timeout / 2)
	return knownShort && x.attempt.MayRetryAlone() && time.Now().After(halfTime)
}

// abortStalled cancels an exchange whose answer has stalled, unless a part of the answer was delivered.
func (x *exchange) abortStalled() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.timeout.stopped && x.timeout.stream == nil {
		x.cancel(errStalled)
	}
}
