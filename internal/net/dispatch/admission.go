package dispatch

import (
	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// The balancer's orders are checked against the rules of package admission before they are executed. An order that
// breaks a rule is a defect of the balancer. It is counted and logged, and not executed.

// history returns the facts about the request's attempts for package admission. Called with the lock held.
func (r *PendingRequest) history() admission.History {
	settings := r.dispatcher.settings
	h := admission.History{
		InFlight:    r.inFlight,
		MayHaveRun:  r.mayHaveRun,
		Safe:        settings.IsSafe(r.Class),
		SharedDedup: settings.SharedDedup(r.Class),
	}
	if window := settings.DedupWindow(r.Class); window > 0 && r.mayHaveRun {
		h.DedupUntil = r.earliestMayHaveRun.Add(window)
	}
	return h
}

// mayStart reports whether an attempt that the balancer has ordered may start, and reports a violation if not.
func (h host) mayStart(r *PendingRequest, a *Attempt) bool {
	attempt := admission.Attempt{
		History:  r.history(),
		Ended:    r.ended.Load(),
		Now:      h.decisionTime,
		Hedging:  h.settings.HedgingAllowed() && !h.quotas.boundsConcurrency(a),
		BodySent: r.BodyStream != nil && r.BodyStream.Started(),
	}
	reason := attempt.Decide()
	switch reason {
	case admission.Granted:
		return true
	case admission.BodySent:
		h.metrics.WithheldAttempts[reason].Add(1) // not a defect, as the balancer doesn't know whether a streamed body was read
	default:
		h.reportViolation("attempt", r, reason)
	}
	return false
}

// mayReject reports whether a request may be rejected, and reports a violation if not.
func (h host) mayReject(r *PendingRequest) bool {
	reason := r.history().MayReject()
	if reason != admission.Granted {
		h.reportViolation("refusal", r, reason)
	}
	return reason == admission.Granted
}

// mayAnswer reports whether a request may have a final answer, and reports a violation if it has ended already.
func (h host) mayAnswer(r *PendingRequest) bool {
	ended := r.ended.Load()
	if ended {
		h.reportViolation("answer", r, admission.RequestOver)
	}
	return !ended
}

// reportViolation counts and logs an order that breaks a rule. Called with the lock held.
func (d *Dispatcher) reportViolation(action string, r *PendingRequest, reason admission.Reason) {
	d.metrics.Violations[reason].Add(1)
	d.log.Error("routing ordered what a rule forbids", zap.String("action", action), zap.Stringer("reason", reason),
		zap.String("trace", r.TraceID), zap.Int("attempts", r.attempts), zap.Int("in_flight", r.inFlight))
}
