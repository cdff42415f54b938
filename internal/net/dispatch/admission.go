package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// history gives what is known of a request's attempts. Called with the lock held.
func (t *Ticket) history() admission.History {
	h := admission.History{InFlight: t.out, MayHaveRun: t.mayHaveRun, Safe: t.x.terms.IsSafe(t.Class),
		SharedDedup: t.x.terms.SharedDedup(t.Class)}
	if window := t.x.terms.DedupWindow(t.Class); window > 0 && t.mayHaveRun {
		h.DedupUntil = t.firstMayHaveRun.Add(window)
	}
	return h
}

// ran notes that an attempt may have run. Called with the lock held.
func (t *Ticket) ran(sent time.Time) {
	if !t.mayHaveRun || sent.Before(t.firstMayHaveRun) {
		t.firstMayHaveRun = sent
	}
	t.mayHaveRun = true
}

// mayStart checks an attempt that the module has ordered against the rules. Called with the lock held.
func (h host) mayStart(t *Ticket, s *Attempt) bool {
	attempt := admission.Attempt{History: t.history(), Over: t.over.Load(), Now: h.decided,
		Hedging:  h.terms.HedgingAllowed() && !h.alone(s),
		BodySent: t.Rest != nil && t.Rest.Begun()}
	why := attempt.Decide()
	switch why {
	case admission.Granted:
		return true
	case admission.BodySent:
		h.figures.Denied[why].Add(1) // the module doesn't know how much of a body was read
	default:
		h.violated("attempt", t, why)
	}
	return false
}

// mayRefuse checks a refusal that the module has ordered.
func (h host) mayRefuse(t *Ticket) bool {
	why := t.history().MayReject()
	if why != admission.Granted {
		h.violated("refusal", t, why)
	}
	return why == admission.Granted
}

// mayAnswer checks that a final answer that the module has ordered is the only one.
func (h host) mayAnswer(t *Ticket) bool {
	over := t.over.Load()
	if over {
		h.violated("answer", t, admission.RequestOver)
	}
	return !over
}

// violated counts and logs what the module ordered against the rules. It is never carried out.
func (x *Dispatcher) violated(action string, t *Ticket, why admission.Reason) {
	x.figures.Violations[why].Add(1)
	x.log.Error("the module ordered what a rule forbids", zap.String("action", action), zap.Stringer("reason", why),
		zap.String("trace", t.TraceID), zap.Int("attempts", t.shots), zap.Int("out", t.out))
}
