package dispatch

import "time"

// A request counts as lost if it has no final answer lostAfter its deadline. An answer that the client has begun to
// receive is ended before that, if need be without being whole, so that its client sees the end in time.
const (
	lostAfter   = 500 * time.Millisecond
	endDelivery = 50 * time.Millisecond // longest time from the end of a delivered answer until its client sees it

	// AnswerOverrun is how long after its request's deadline a delivered answer may still end, or turn out to be long.
	AnswerOverrun = lostAfter - maxWriteStall - endDelivery
)

// answerEnd returns when a delivered answer to a request must have ended, if it is not long.
func answerEnd(r *PendingRequest, maxDeadline time.Duration) time.Time {
	return earlier(r.clientDeadline, r.receivedAt.Add(maxDeadline)).Add(AnswerOverrun)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
