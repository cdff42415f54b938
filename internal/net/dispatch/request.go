package dispatch

import "time"

// Request is what a client has sent: the fields that routing needs, and the bytes that are forwarded as they came. It
// must not change once it is submitted.
type Request struct {
	Class, Tenant, Key string
	Work               float64 // the client's estimate, in milliseconds; 0: none
	Write              bool

	Method, Target          string // the target is the raw path and query
	TraceID, IdempotencyKey string
	Body                    []byte        // all of it, or what comes before Rest
	Rest                    *BodyStream   // of a streamed body; nil: there is none
	Length                  int64         // of a streamed body, in bytes; -1: unknown
	Timeout                 time.Duration // of a request with a streamed body, from its last byte on
	ClientGone              func() bool   // reports whether the client has closed its connection; nil: unknown
}
