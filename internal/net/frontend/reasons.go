package frontend

import (
	"go.uber.org/zap"
)

// refusal is why a request was answered without a decision of the balancer. The values are names in metrics and logs.
type refusal string

// The refusals.
const (
	refusedVersion     refusal = "version"       // not HTTP/1.1
	refusedAmbiguous   refusal = "ambiguous"     // the body's length is given in two ways
	refusedTooLong     refusal = "body_too_long" // over MaxStreamedBody
	refusedBodySlow    refusal = "body_slow"
	refusedBodyBroken  refusal = "body_broken" // malformed, or its client is gone
	refusedInvalid     refusal = "invalid"     // a header or the method
	refusedClass       refusal = "unknown_class"
	refusedDuplicate   refusal = "duplicate_id"
	refusedConcurrency refusal = "concurrency" // the limit on requests in flight
	refusedMemory      refusal = "memory"      // of the bodies of all requests
	refusedDraining    refusal = "draining"    // the node is about to end
	refusedHead        refusal = "head_too_long"
	refusedPaced       refusal = "paced" // counted beside the reason where the connection was held back for it
)

// closeReason is why this node has closed a client's connection, or is about to. The values are names in metrics and logs.
type closeReason string

// The reasons.
const (
	closedForNewClient closeReason = "for_new_client" // idle while others wait
	closedDraining     closeReason = "draining"
	closedOverLimit    closeReason = "over_limit"    // with its answer, as more are open than the limit
	closedHeadTooLong  closeReason = "head_too_long" // after 431
	closedStreamedBody closeReason = "streamed_body" // with its answer
	closedTruncated    closeReason = "truncated"     // its answer can't be completed
	closedBody         closeReason = "body_refused"  // with the refusal
)

// countRefusal counts and logs a refused request.
func (h *handler) countRefusal(reason refusal, status int, detail error) {
	h.metrics.Refusals.Add(string(reason))
	h.log.Debug("request refused", zap.String("reason", string(reason)), zap.String("trace", h.traceID()), zap.Int("status", status), zap.Error(detail))
}

// closeAfterAnswer makes net/http close the connection after the answer, and counts the reason.
func (h *handler) closeAfterAnswer(reason closeReason) {
	if h.w.Header().Get("Connection") != "close" {
		h.metrics.ConnCloses.Add(string(reason))
	}
	h.w.Header().Set("Connection", "close")
}
