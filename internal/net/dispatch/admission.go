package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// history gives what is known of a request's attempts. Called with the lock held.
func (t *PendingRequest) history() admission.History {
	h := admission.History{InFlight: t.inFlight, MayHaveRun: t.mayHaveRun, Safe: t.dispatcher.settings.IsSafe(t.Class),
		SharedDedup: t.dispatcher.settings.SharedDedup(t.Class)}
	if window := t.dispatcher.settings.DedupWindow(t.Class); window > 0 && t.mayHaveRun {
		h.DedupUntil = t.earliestMayHaveRun.Add(window)
	}
	return h
}

// noteMayHaveRun notes that an attempt may have run. Called with the lock held.
func (t *PendingRequest) noteMayHaveRun(sent time.Time) {
	if !t.mayHaveRun || sent.Before(t.earliestMayHaveRun) {
		t.earliestMayHaveRun = sent
	}
	t.mayHaveRun = true
}

// mayStart checks an attempt that the module has ordered against the rules. Called with the lock held.
func (h host) mayStart(t *PendingRequest, s *Attempt) bool {
	attempt := admission.Attempt{History: t.history(), Over: t.ended.Load(), Now: h.decided,
		Hedging:  h.settings.HedgingAllowed() && !h.concurrencyBounded(s),
		BodySent: t.Rest != nil && t.Rest.Started()}
	why := attempt.Decide()
	switch why {
	case admission.Granted:
		return true
	case admission.BodySent:
		h.metrics.Denied[why].Add(1) // the module doesn't know how much of a body was read
	default:
		h.violated("attempt", t, why)
	}
	return false
}

// mayRefuse checks a refusal that the module has ordered.
func (h host) mayRefuse(t *PendingRequest) bool {
	why := t.history().MayReject()
	if why != admission.Granted {
		h.violated("refusal", t, why)
	}
	return why == admission.Granted
}

// mayAnswer checks that a final answer that the module has ordered is the only one.
func (h host) mayAnswer(t *PendingRequest) bool {
	over := t.ended.Load()
	if over {
		h.violated("answer", t, admission.RequestOver)
	}
	return !over
}

// violated counts and logs what the module ordered against the rules. It is never carried out.
func (x *Dispatcher) violated(action string, t *PendingRequest, why admission.Reason) {
	x.metrics.Violations[why].Add(1)
	x.log.Error("the module ordered what a rule forbids", zap.String("action", action), zap.Stringer("reason", why),
		zap.String("trace", t.TraceID), zap.Int("attempts", t.attempts), zap.Int("out", t.inFlight))
}
