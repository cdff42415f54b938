package dispatch

import "github.com/thistlerudder/thistlerudder/internal/net/admission"

// Request is a client's request: the fields that routing needs, and the parts that are forwarded unchanged. It must not
// change after Submit.
type Request struct {
	Class, Tenant, Key string
	EstimatedMs        float64 // the client's estimate of the request's work, in milliseconds; 0: none
	Write              bool

	Method, Target          string // the target is the raw path and query
	TraceID, IdempotencyKey string
	Body                    []byte      // the whole body, or the part before BodyStream
	BodyStream              *BodyStream // rest of a streamed body; nil: none
	Length                  int64       // of a streamed body, in bytes; -1: unknown

	// CheckClient checks the client's connection and returns admission.Granted, ClientGone or ClientUnknown; nil: Granted.
	CheckClient func() admission.Reason
}
