package soaktest

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Tolerances of the checks. The first four are granted to the nodes, the others cover the imprecision of what this process records.
const (
	lateAnswerSlack    = 500 * time.Millisecond // an answer that comes later than this after the deadline violates the rule "lost"
	disconnectSlack    = 100 * time.Millisecond // an attempt may still start this long after its client has disconnected
	deadlineSlack      = 150 * time.Millisecond // the deadline declared to a server may exceed the remaining time by this
	dedupWindowSlack   = 150 * time.Millisecond // a node may be descheduled this long between reading its clock and writing the repeat
	recordingSlack     = 20 * time.Millisecond  // time between an event on loopback and its recording in this process
	maxSchedulingDelay = 60 * time.Millisecond  // checks near a longer scheduling delay of this process are inconclusive
	delayEffectSpan    = 300 * time.Millisecond // a scheduling delay affects events recorded up to this long before or after it
)

// Violation is a rule that a node broke.
type Violation struct {
	Rule        string
	RequestID   string // empty if the violation concerns no single request
	Node        int
	Description string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s (node %d): %s", v.Rule, v.RequestID, v.Node, v.Description)
}

// checkSummary holds the results of checking all requests of a run.
type checkSummary struct {
	violations   []Violation
	checked      int
	inconclusive int // requests of which at least one check fell near a scheduling delay of this process
	outcomes     map[string]int
}

// checkRequests checks all requests of a run. All processes of its nodes have ended.
func (rec *recorder) checkRequests(settings settings) checkSummary {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	sort.Slice(rec.delaySamples, func(i, j int) bool { return rec.delaySamples[i].observedAt.Before(rec.delaySamples[j].observedAt) })
	summary := checkSummary{outcomes: map[string]int{}}
	rec.outcomeCounts = summary.outcomes
	for _, id := range rec.unknownIDs {
		summary.violations = append(summary.violations, Violation{Rule: "strange", RequestID: id, Node: -1, Description: "a server received a request ID that no client sent"})
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

// countExcuse counts a violation that is not reported because a scheduling delay of this process may have caused it.
func (rec *recorder) countExcuse(reason string) { rec.outcomeCounts["excused: "+reason]++ }

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// requestCheck checks one request against the rules.
type requestCheck struct {
	rec          *recorder
	settings     settings
	request      *request
	inconclusive bool
	violations   []Violation
}

// addViolation adds a violation by the request, with its timeline.
func (c *requestCheck) addViolation(rule, format string, args ...any) {
	description := fmt.Sprintf(format, args...) + " [" + c.request.class.name + ", " + c.timeline() + "]"
	c.violations = append(c.violations, Violation{Rule: rule, RequestID: c.request.id, Node: c.request.nodeIndex, Description: description})
}

// timeline returns the events of the request, its attempts and the interruptions of its node within a second as one line. The
// times are relative to when the request's last byte was sent, or to its first attempt if it never was.
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
	text := fmt.Sprintf("%s sent %s, status %d at %s, connection broken %s, closed by client %s, first on new connection %v, %s",
		start.Format("05.0000"), sinceStart(r.sentAt), r.status, sinceStart(r.answeredAt),
		sinceStart(r.connectionBrokenAt), sinceStart(r.clientClosedAt), r.firstOnNewConnection, r.misbehavior)
	for _, a := range r.attempts {
		text += fmt.Sprintf("; attempt at %s on connection %d, first byte %s, last byte %s, declared deadline %v, proved not run %s, ended %s",
			a.serverID, a.connectionID, sinceStart(a.firstByteAt), sinceStart(a.lastByteAt), a.declaredDeadline,
			sinceStart(a.provedNotRunAt), sinceStart(a.endedAt))
	}
	for _, interruption := range c.rec.interruptions {
		if interruption.nodeIndex == r.nodeIndex &&
			start.Sub(interruption.endedAt) < time.Second && interruption.startedAt.Sub(start) < time.Second {
			text += fmt.Sprintf("; node %s from %s to %s", interruption.kind, sinceStart(interruption.startedAt), sinceStart(interruption.endedAt))
		}
	}
	return text
}

// schedulingDelay returns by how much a time recorded around t may be late, and whether that is small enough for a conclusive
// check. If not, it marks the request as inconclusive.
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

// outcome returns the name under which the request is counted.
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

// checkRules checks the request against all rules.
func (c *requestCheck) checkRules() {
	c.checkAnswer()
	c.checkRepeats()
	c.checkAttemptStarts()
	c.checkDrains()
	c.checkSlowAnswers()
}

// nodeKilled reports whether the node's process was killed while the request was outstanding.
func (c *requestCheck) nodeKilled() bool {
	for _, interruption := range c.rec.interruptions {
		if interruption.nodeIndex == c.request.nodeIndex && interruption.kind == "killed" &&
			c.request.startedAt.Before(interruption.endedAt.Add(recordingSlack)) &&
			(c.request.connectionBrokenAt.IsZero() || c.request.connectionBrokenAt.After(interruption.startedAt.Add(-recordingSlack))) {
			return true
		}
	}
	return false
}

// checkAnswer checks that the request has exactly one final answer, in time, whose body a server produced for it. A client
// that disconnects or stops in the middle of its request is owed no answer.
func (c *requestCheck) checkAnswer() {
	r := c.request
	if r.answerCount > 1 {
		c.addViolation("answers", "%d answers", r.answerCount)
	}
	if _, delayed := c.rec.lateSecondAnswers[r.answerBody]; delayed && r.status == 200 && !c.rec.completeBodies[r.id][r.answerBody] {
		c.rec.countExcuse("second answers held up here")
	} else if r.status == 200 && !r.answeredAt.IsZero() && !c.rec.completeBodies[r.id][r.answerBody] {
		c.addViolation("answer", "served with a body that no server produced for it: %.90q", r.answerBody)
	}
	if r.sentAt.IsZero() || !r.clientClosedAt.IsZero() || r.misbehavior == "stops in the middle" {
		return
	}
	delay, conclusive := c.schedulingDelay(r.sentAt.Add(r.class.deadline))
	switch {
	case !conclusive:
	case !r.answeredAt.IsZero():
		elapsed := r.answeredAt.Sub(r.sentAt)
		if len(r.answerBody) > longAnswerBytes { // its time is that of its first bytes
			elapsed = r.answerBeganAt.Sub(r.sentAt)
		}
		if elapsed > r.class.deadline+lateAnswerSlack+delay {
			c.addViolation("lost", "answered after %v of %v", elapsed, r.class.deadline)
		}
	case r.status < 0:
		c.checkIncompleteAnswer(delay)
	case c.nodeKilled():
	// On an older connection a request without an attempt may have crossed the node's close of the idle connection.
	case r.firstOnNewConnection, len(r.attempts) > 0:
		c.addViolation("lost", "no answer")
	}
}

// checkIncompleteAnswer checks that an answer that started and is incomplete ended in time, so that the client could see it. An
// answer is in time by its first bytes once it is long.
func (c *requestCheck) checkIncompleteAnswer(delay time.Duration) {
	r := c.request
	elapsed := r.connectionBrokenAt.Sub(r.sentAt)
	switch {
	case r.incompleteBytes > longAnswerBytes:
	case slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayBecomeLong }):
	case r.noEndSeen:
		c.addViolation("lost", "%d bytes of an answer and no end after %v of %v", r.incompleteBytes, elapsed, r.class.deadline)
	case elapsed > r.class.deadline+lateAnswerSlack+delay:
		c.addViolation("lost", "an incomplete answer of %d bytes ended after %v of %v", r.incompleteBytes, elapsed, r.class.deadline)
	}
}

// mayHaveRun reports whether, at time t, the server had not proved that the attempt did not run. An attempt of which the server
// never received the last byte did not run.
func mayHaveRun(a *attempt, t time.Time) bool {
	return !a.lastByteAt.IsZero() && (a.provedNotRunAt.IsZero() || a.provedNotRunAt.After(t))
}

// checkRepeats checks retries and hedges: at most one attempt is in flight unless the request may be hedged, and an attempt that
// may have run is repeated only if the class allows it. It also checks that a request that can't be repeated is rejected only if
// no attempt may have run.
func (c *requestCheck) checkRepeats() {
	r := c.request
	sharedDedup := r.class.idempotence == idempotentByKey && r.class.sharedDedup
	for i, next := range r.attempts {
		delay, conclusive := c.schedulingDelay(next.firstByteAt)
		if !conclusive {
			continue
		}
		for _, earlier := range r.attempts[:i] {
			if !next.lastByteAt.IsZero() && !earlier.lastByteAt.IsZero() && !(c.settings.hedging && r.class.idempotence == safe) &&
				next.connectionID != earlier.connectionID && (earlier.endedAt.IsZero() || earlier.endedAt.After(next.lastByteAt.Add(delay))) {
				c.addViolation("parallel", "a second attempt while the first was in flight")
			}
			if next.lastByteAt.IsZero() || !mayHaveRun(earlier, next.firstByteAt.Add(delay)) {
				continue
			}
			switch {
			case r.class.idempotence == safe:
			case !sharedDedup:
				c.addViolation("duplicate", "a second attempt though the first may have run")
			case next.firstByteAt.Sub(earlier.firstByteAt) > r.class.dedupWindow+dedupWindowSlack+delay:
				c.addViolation("duplicate", "repeated %v after an earlier attempt, dedup window %v", next.firstByteAt.Sub(earlier.firstByteAt), r.class.dedupWindow)
			}
		}
	}
	if (r.status == 503 || r.status == 429) && r.class.idempotence != safe && !sharedDedup {
		delay, conclusive := c.schedulingDelay(r.answeredAt)
		for _, a := range r.attempts {
			if conclusive && mayHaveRun(a, r.answeredAt.Add(delay)) {
				c.addViolation("refusal", "rejected though an attempt may have run")
			}
		}
	}
}

// checkAttemptStarts checks that no attempt starts after the client has disconnected or has its answer, and that the deadline
// declared to the server does not exceed the remaining time.
func (c *requestCheck) checkAttemptStarts() {
	r := c.request
	for _, a := range r.attempts {
		delay, conclusive := c.schedulingDelay(a.firstByteAt)
		if !conclusive {
			continue
		}
		if r.comesAgain { // the recorded times are those of its latest coming
			continue
		}
		if !r.clientClosedAt.IsZero() && a.firstByteAt.Sub(r.clientClosedAt) > disconnectSlack+delay {
			c.addViolation("lost", "an attempt started %v after its client had disconnected", a.firstByteAt.Sub(r.clientClosedAt))
		}
		if !r.answeredAt.IsZero() && a.firstByteAt.Sub(r.answeredAt) > delay {
			c.addViolation("lost", "an attempt started %v after the final answer", a.firstByteAt.Sub(r.answeredAt))
		}
		remaining := r.sentAt.Add(r.class.deadline).Sub(a.firstByteAt)
		if !r.sentAt.IsZero() && a.declaredDeadline > max(0, remaining)+deadlineSlack+delay {
			c.addViolation("deadline", "declared a deadline of %v, %v remained", a.declaredDeadline, remaining)
		}
	}
}

// checkDrains checks that no attempt goes to a draining server after the grace. During a hand-over two processes serve as the
// node and the attempt may be of either, so it is a violation only if neither of them may send it.
func (c *requestCheck) checkDrains() {
	for _, a := range c.request.attempts {
		delay, conclusive := c.schedulingDelay(a.firstByteAt)
		if !conclusive || !c.nodeNotifiedOfDrain(a) {
			continue
		}
		maySend := func(p *processRecord) bool {
			return p.nodeIndex == c.request.nodeIndex &&
				(p.maySend(a.serverID, a.firstByteAt, c.rec.drainNotices, c.settings.drainGrace+delay) ||
					p.maySend(a.serverID, a.firstByteAt.Add(-delay), c.rec.drainNotices, c.settings.drainGrace))
		}
		if !slices.ContainsFunc(c.rec.processes, maySend) {
			c.addViolation("drain", "sent to draining server %s after the grace of %v: %s", a.serverID, c.settings.drainGrace, c.describeDrainNotices(a))
		}
	}
}

// nodeNotifiedOfDrain reports whether a process of the node was notified, before the attempt, that its server drains.
func (c *requestCheck) nodeNotifiedOfDrain(a *attempt) bool {
	return slices.ContainsFunc(c.rec.drainNotices, func(d *drainNotice) bool {
		return d.serverID == a.serverID && d.nodeIndex == c.request.nodeIndex && d.receivedAt.Before(a.firstByteAt)
	})
}

// describeDrainNotices lists how long before the attempt processes of the node were notified that its server drains.
func (c *requestCheck) describeDrainNotices(a *attempt) (text string) {
	for _, d := range c.rec.drainNotices {
		if d.serverID == a.serverID && d.nodeIndex == c.request.nodeIndex && d.receivedAt.Before(a.firstByteAt) {
			text += fmt.Sprintf("notified %v before; ", a.firstByteAt.Sub(d.receivedAt).Round(time.Millisecond))
		}
	}
	return text
}
