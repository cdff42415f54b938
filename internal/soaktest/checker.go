package soaktest

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// What the rules allow, and what the judge allows itself.
const (
	lateAnswerSlack    = 500 * time.Millisecond // beyond its time a request with no answer is lost
	disconnectSlack    = 100 * time.Millisecond // an attempt may begin for so long after its client has gone
	deadlineSlack      = 150 * time.Millisecond // by which the deadline told may exceed what is left
	dedupWindowSlack   = 150 * time.Millisecond // a process may be held up for so long between its clock and the write
	recordingSlack     = 20 * time.Millisecond  // between what happens on loopback and its note here
	maxSchedulingDelay = 60 * time.Millisecond  // where the judge was later than that it can't tell
	delayEffectSpan    = 300 * time.Millisecond // how far from its note a lag may have had an effect
)

// Break is a broken rule.
type Violation struct {
	Rule        string
	RequestID   string // id; empty: of no single request
	Node        int
	Description string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s (node %d): %s", v.Rule, v.RequestID, v.Node, v.Description)
}

// verdict is what the judge found.
type checkSummary struct {
	violations   []Violation
	checked      int
	inconclusive int // requests with something that the judge was too late to tell
	outcomes     map[string]int
}

// judge judges a run whose processes have all ended.
func (rec *recorder) checkRequests(settings settings) checkSummary {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	sort.Slice(rec.delaySamples, func(i, check int) bool {
		return rec.delaySamples[i].observedAt.Before(rec.delaySamples[check].observedAt)
	})
	summary := checkSummary{outcomes: map[string]int{}}
	rec.excuseCounts = summary.outcomes
	for _, id := range rec.unknownIDs {
		summary.violations = append(summary.violations, Violation{"strange", id, -1, "an id came to a server that no client sent"})
	}
	for _, r := range rec.requests {
		check := requestCheck{rec: rec, settings: settings, request: r}
		slices.SortFunc(r.attempts, func(a, b *attempt) int { return a.firstByteAt.Compare(b.firstByteAt) })
		check.checkRules()
		summary.checked++
		if check.inconclusive {
			summary.inconclusive++
		}
		summary.violations = append(summary.violations, check.violations...)
		summary.outcomes[check.outcome()]++
		summary.outcomes["attempts"] += len(r.attempts)
	}
	slices.SortFunc(summary.violations, func(a, b Violation) int { return compare(a.Rule+a.RequestID, b.Rule+b.RequestID) })
	return summary
}

// excuse counts what would be a break but for the judge's own lag.
func (rec *recorder) countExcuse(reason string) { rec.excuseCounts["excused: "+reason]++ }

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// judgement is of one request.
type requestCheck struct {
	rec          *recorder
	settings     settings
	request      *request
	inconclusive bool
	violations   []Violation
}

func (c *requestCheck) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, c.request.id, c.request.nodeIndex, fmt.Sprintf(format, args...) + " [" + c.request.class.name + ", " + c.timeline() + "]"})
}

// life tells a request's life in a line.
func (c *requestCheck) timeline() string {
	r := c.request
	start := r.sentAt
	if start.IsZero() && len(r.attempts) > 0 {
		start = r.attempts[0].firstByteAt
	}
	sinceStart := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return t.Sub(start).Round(100 * time.Microsecond).String()
	}
	text := fmt.Sprintf("%s sent %s, status %d at %s, broken %s, left %s, fresh %v, %s", start.Format("05.0000"), sinceStart(r.sentAt), r.status, sinceStart(r.answeredAt),
		sinceStart(r.connectionBrokenAt), sinceStart(r.clientClosedAt), r.firstOnNewConnection, r.misbehavior)
	for _, a := range r.attempts {
		text += fmt.Sprintf("; at %s on %d from %s to %s, told %v, not run %s, over %s", a.serverID, a.connectionID, sinceStart(a.firstByteAt), sinceStart(a.lastByteAt), a.declaredDeadline, sinceStart(a.provedNotRunAt), sinceStart(a.endedAt))
	}
	for _, interruption := range c.rec.interruptions {
		if interruption.nodeIndex == r.nodeIndex && start.Sub(interruption.endedAt) < time.Second && interruption.startedAt.Sub(start) < time.Second {
			text += fmt.Sprintf("; node %s from %s to %s", interruption.kind, sinceStart(interruption.startedAt), sinceStart(interruption.endedAt))
		}
	}
	return text
}

// lag gives how late the judge may have been about then, and whether that is little enough.
func (c *requestCheck) schedulingDelay(t time.Time) (time.Duration, bool) {
	i := sort.Search(len(c.rec.delaySamples), func(i int) bool { return c.rec.delaySamples[i].observedAt.After(t.Add(-delayEffectSpan)) })
	delay := time.Duration(0)
	for ; i < len(c.rec.delaySamples) && c.rec.delaySamples[i].observedAt.Before(t.Add(delayEffectSpan)); i++ {
		delay = max(delay, c.rec.delaySamples[i].delay)
	}
	if delay > maxSchedulingDelay {
		c.inconclusive = true
	}
	return recordingSlack + delay, delay <= maxSchedulingDelay
}

func (c *requestCheck) outcome() string {
	switch r := c.request; {
	case r.sentAt.IsZero():
		return "never sent whole"
	case !r.clientClosedAt.IsZero():
		return "left"
	case r.status == 200:
		return "served"
	case r.status == 503 || r.status == 429:
		return "refused"
	case r.status != 0:
		return "failed"
	default:
		return "unanswered"
	}
}

func (c *requestCheck) checkRules() {
	c.checkAnswer()
	c.checkRepeats()
	c.checkAttemptStarts()
	c.checkDrains()
}

// killed says that the node's process was killed while the request was out.
func (c *requestCheck) nodeKilled() bool {
	for _, interruption := range c.rec.interruptions {
		if interruption.nodeIndex == c.request.nodeIndex && interruption.kind == "killed" && c.request.startedAt.Before(interruption.endedAt.Add(recordingSlack)) && (c.request.connectionBrokenAt.IsZero() || c.request.connectionBrokenAt.After(interruption.startedAt.Add(-recordingSlack))) {
			return true
		}
	}
	return false
}

// answered judges the final answer.
func (c *requestCheck) checkAnswer() {
	r := c.request
	if r.answerCount > 1 {
		c.addViolation("answers", "%d answers", r.answerCount)
	}
	if _, delayed := c.rec.lateSecondAnswers[r.answerBody]; delayed && r.status == 200 && !c.rec.completeBodies[r.id][r.answerBody] {
		c.rec.countExcuse("second answers held up here")
	} else if r.status == 200 && !r.answeredAt.IsZero() && !c.rec.completeBodies[r.id][r.answerBody] {
		c.addViolation("answer", "served with what no server made for it: %.90q", r.answerBody)
	}
	if r.sentAt.IsZero() || !r.clientClosedAt.IsZero() || r.misbehavior == "stops in the middle" {
		return
	}
	delay, conclusive := c.schedulingDelay(r.sentAt.Add(r.class.deadline))
	switch {
	case !conclusive:
	case !r.answeredAt.IsZero():
		if elapsed := r.answeredAt.Sub(r.sentAt); elapsed > r.class.deadline+lateAnswerSlack+delay {
			c.addViolation("lost", "answered after %v of %v", elapsed, r.class.deadline)
		}
	case r.status < 0: // begun, and visibly not whole
	case c.nodeKilled():
	case r.firstOnNewConnection, len(r.attempts) > 0:
		c.addViolation("lost", "no answer")
	}
}

// unproved says that at a time nothing proved that an attempt had not run. An attempt whose last byte never came has not.
func mayHaveRun(a *attempt, t time.Time) bool {
	return !a.lastByteAt.IsZero() && (a.provedNotRunAt.IsZero() || a.provedNotRunAt.After(t))
}

// repeats judges retries, hedges and refusals.
func (c *requestCheck) checkRepeats() {
	r := c.request
	sharedDedup := r.class.idempotence == idempotentByKey && r.class.sharedDedup
	for i, next := range r.attempts {
		delay, conclusive := c.schedulingDelay(next.firstByteAt)
		if !conclusive {
			continue
		}
		for _, earlier := range r.attempts[:i] {
			if !next.lastByteAt.IsZero() && !earlier.lastByteAt.IsZero() && !(c.settings.hedging && r.class.idempotence == safe) && next.connectionID != earlier.connectionID &&
				(earlier.endedAt.IsZero() || earlier.endedAt.After(next.lastByteAt.Add(delay))) {
				c.addViolation("parallel", "a second attempt while the first was out")
			}
			if next.lastByteAt.IsZero() || !mayHaveRun(earlier, next.firstByteAt.Add(delay)) {
				continue
			}
			switch {
			case r.class.idempotence == safe:
			case !sharedDedup:
				c.addViolation("duplicate", "a second attempt though the first may have run")
			case next.firstByteAt.Sub(earlier.firstByteAt) > r.class.dedupWindow+dedupWindowSlack+delay:
				c.addViolation("duplicate", "repeated %v after the first, window %v", next.firstByteAt.Sub(earlier.firstByteAt), r.class.dedupWindow)
			}
		}
	}
	if (r.status == 503 || r.status == 429) && r.class.idempotence != safe && !sharedDedup {
		delay, conclusive := c.schedulingDelay(r.answeredAt)
		for _, a := range r.attempts {
			if conclusive && mayHaveRun(a, r.answeredAt.Add(delay)) {
				c.addViolation("refusal", "refused though an attempt may have run")
			}
		}
	}
}

// begins judges when attempts begin, and what they tell.
func (c *requestCheck) checkAttemptStarts() {
	r := c.request
	for _, a := range r.attempts {
		delay, conclusive := c.schedulingDelay(a.firstByteAt)
		if !conclusive {
			continue
		}
		if !r.clientClosedAt.IsZero() && a.firstByteAt.Sub(r.clientClosedAt) > disconnectSlack+delay {
			c.addViolation("lost", "an attempt began %v after its client had gone", a.firstByteAt.Sub(r.clientClosedAt))
		}
		if !r.answeredAt.IsZero() && a.firstByteAt.Sub(r.answeredAt) > delay {
			c.addViolation("lost", "an attempt began %v after the final answer", a.firstByteAt.Sub(r.answeredAt))
		}
		remaining := r.sentAt.Add(r.class.deadline).Sub(a.firstByteAt)
		if !r.sentAt.IsZero() && r.misbehavior != "uploads in two pieces" && a.declaredDeadline > max(0, remaining)+deadlineSlack+delay {
			c.addViolation("deadline", "told %v, %v were left", a.declaredDeadline, remaining)
		}
	}
}

// drains judges whether a server was used after the grace. While two processes serve as the node it isn't known which of them acted: then one
// of them has to have been allowed to.
func (c *requestCheck) checkDrains() {
	for _, a := range c.request.attempts {
		delay, conclusive := c.schedulingDelay(a.firstByteAt)
		if !conclusive || !c.nodeNotifiedOfDrain(a) {
			continue
		}
		maySend := func(p *processRecord) bool {
			return p.nodeIndex == c.request.nodeIndex && (p.maySend(a.serverID, a.firstByteAt, c.rec.drainNotices, c.settings.drainGrace+delay) || p.maySend(a.serverID, a.firstByteAt.Add(-delay), c.rec.drainNotices, c.settings.drainGrace))
		}
		if !slices.ContainsFunc(c.rec.processes, maySend) {
			c.addViolation("drain", "sent to %s after its drain, grace %v, %s", a.serverID, c.settings.drainGrace, c.describeDrainNotices(a))
		}
	}
}

// toldOfDrain says that a process of the node was told, before an attempt, that its server drains.
func (c *requestCheck) nodeNotifiedOfDrain(a *attempt) bool {
	return slices.ContainsFunc(c.rec.drainNotices, func(d *drainNotice) bool {
		return d.serverID == a.serverID && d.nodeIndex == c.request.nodeIndex && d.receivedAt.Before(a.firstByteAt)
	})
}

// drainsOf tells what the node's processes were told of an attempt's server before it.
func (c *requestCheck) describeDrainNotices(a *attempt) (text string) {
	for _, d := range c.rec.drainNotices {
		if d.serverID == a.serverID && d.nodeIndex == c.request.nodeIndex && d.receivedAt.Before(a.firstByteAt) {
			text += fmt.Sprintf("told %v before; ", a.firstByteAt.Sub(d.receivedAt).Round(time.Millisecond))
		}
	}
	return text
}
