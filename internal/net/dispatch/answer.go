package dispatch

import (
	"io"
	"time"
)

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes.
const (
	Served   Outcome = iota // with a server's answer
	Rejected                // with the promise that a retry is harmless
	Failed                  // with no promise about its effect
)

var outcomeNames = [...]string{Served: "served", Rejected: "rejected", Failed: "failed"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is the final answer to a request.
type Answer struct {
	Outcome     Outcome
	Body        []byte        // the whole body, or the part before BodyStream
	BodyStream  io.ReadCloser // of a streamed body, closed by the receiver of the answer; nil: none
	Length      int64         // of a streamed body, in bytes; -1: unknown
	ContentType string
	RetryAfter  time.Duration // of a rejected request; 0: none
	Attempts    int           // that the request has had, set by the Dispatcher
}
