package soaktest

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// What the rules allow, and what the judge allows itself.
const (
	lostAfter     = 500 * time.Millisecond // beyond its time a request with no answer is lost
	goneFor       = 100 * time.Millisecond // an attempt may begin for so long after its client has gone
	deadlineSlack = 150 * time.Millisecond // by which the deadline told may exceed what is left
	windowSlack   = 150 * time.Millisecond // a process may be held up for so long between its clock and the write
	ownSlack      = 20 * time.Millisecond  // between what happens on loopback and its note here
	lagMost       = 60 * time.Millisecond  // where the judge was later than that it can't tell
	lagAround     = 300 * time.Millisecond // how far from its note a lag may have had an effect
)

// Break is a broken rule.
type Break struct {
	Rule    string
	Request string // id; empty: of no single request
	Node    int
	What    string
}

func (b Break) String() string {
	return fmt.Sprintf("%s: %s (node %d): %s", b.Rule, b.Request, b.Node, b.What)
}

// verdict is what the judge found.
type verdict struct {
	breaks []Break
	judged int
	void   int // requests with something that the judge was too late to tell
	counts map[string]int
}

// judge judges a run whose processes have all ended.
func (l *ledger) judge(s settings) verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	sort.Slice(l.late, func(i, j int) bool { return l.late[i].at.Before(l.late[j].at) })
	v := verdict{counts: map[string]int{}}
	l.excused = v.counts
	for _, id := range l.strange {
		v.breaks = append(v.breaks, Break{"strange", id, -1, "an id came to a server that no client sent"})
	}
	for _, r := range l.requests {
		j := judgement{l: l, s: s, r: r}
		slices.SortFunc(r.attempts, func(a, b *attempt) int { return a.first.Compare(b.first) })
		j.all()
		v.judged++
		if j.void {
			v.void++
		}
		v.breaks = append(v.breaks, j.breaks...)
		v.counts[j.outcome()]++
		v.counts["attempts"] += len(r.attempts)
	}
	slices.SortFunc(v.breaks, func(a, b Break) int { return compare(a.Rule+a.Request, b.Rule+b.Request) })
	return v
}

// excuse counts what would be a break but for the judge's own lag.
func (l *ledger) excuse(what string) { l.excused["excused: "+what]++ }

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
type judgement struct {
	l      *ledger
	s      settings
	r      *request
	void   bool
	breaks []Break
}

func (j *judgement) broke(rule, format string, args ...any) {
	j.breaks = append(j.breaks, Break{rule, j.r.id, j.r.node, fmt.Sprintf(format, args...) + " [" + j.r.class.name + ", " + j.life() + "]"})
}

// life tells a request's life in a line.
func (j *judgement) life() string {
	r := j.r
	base := r.sent
	if base.IsZero() && len(r.attempts) > 0 {
		base = r.attempts[0].first
	}
	at := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return t.Sub(base).Round(100 * time.Microsecond).String()
	}
	text := fmt.Sprintf("%s sent %s, status %d at %s, broken %s, left %s, fresh %v, %s", base.Format("05.0000"), at(r.sent), r.status, at(r.answered),
		at(r.broken), at(r.left), r.fresh, r.misbehave)
	for _, a := range r.attempts {
		text += fmt.Sprintf("; at %s on %d from %s to %s, told %v, not run %s, over %s", a.server, a.connection, at(a.first), at(a.last), a.told, at(a.notRun), at(a.over))
	}
	for _, s := range j.l.stops {
		if s.node == r.node && base.Sub(s.to) < time.Second && s.from.Sub(base) < time.Second {
			text += fmt.Sprintf("; node %s from %s to %s", s.kind, at(s.from), at(s.to))
		}
	}
	return text
}

// lag gives how late the judge may have been about then, and whether that is little enough.
func (j *judgement) lag(t time.Time) (time.Duration, bool) {
	i := sort.Search(len(j.l.late), func(i int) bool { return j.l.late[i].at.After(t.Add(-lagAround)) })
	by := time.Duration(0)
	for ; i < len(j.l.late) && j.l.late[i].at.Before(t.Add(lagAround)); i++ {
		by = max(by, j.l.late[i].by)
	}
	if by > lagMost {
		j.void = true
	}
	return ownSlack + by, by <= lagMost
}

func (j *judgement) outcome() string {
	switch r := j.r; {
	case r.sent.IsZero():
		return "never sent whole"
	case !r.left.IsZero():
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

func (j *judgement) all() {
	j.answered()
	j.repeats()
	j.begins()
	j.drains()
}

// killed says that the node's process was killed while the request was out.
func (j *judgement) killed() bool {
	for _, s := range j.l.stops {
		if s.node == j.r.node && s.kind == "killed" && j.r.began.Before(s.to.Add(ownSlack)) && (j.r.broken.IsZero() || j.r.broken.After(s.from.Add(-ownSlack))) {
			return true
		}
	}
	return false
}

// answered judges the final answer.
func (j *judgement) answered() {
	r := j.r
	if r.answers > 1 {
		j.broke("answers", "%d answers", r.answers)
	}
	if _, held := j.l.seconds[r.body]; held && r.status == 200 && !j.l.made[r.id][r.body] {
		j.l.excuse("second answers held up here")
	} else if r.status == 200 && !r.answered.IsZero() && !j.l.made[r.id][r.body] {
		j.broke("answer", "served with what no server made for it: %.90q", r.body)
	}
	if r.sent.IsZero() || !r.left.IsZero() || r.misbehave == "stops in the middle" {
		return
	}
	lag, sure := j.lag(r.sent.Add(r.class.deadline))
	switch {
	case !sure:
	case !r.answered.IsZero():
		if took := r.answered.Sub(r.sent); took > r.class.deadline+lostAfter+lag {
			j.broke("lost", "answered after %v of %v", took, r.class.deadline)
		}
	case r.status < 0: // begun, and visibly not whole
	case j.killed():
	case r.fresh, len(r.attempts) > 0:
		j.broke("lost", "no answer")
	}
}

// unproved says that at a time nothing proved that an attempt had not run. An attempt whose last byte never came has not.
func unproved(a *attempt, at time.Time) bool {
	return !a.last.IsZero() && (a.notRun.IsZero() || a.notRun.After(at))
}

// repeats judges retries, hedges and refusals.
func (j *judgement) repeats() {
	r := j.r
	keyedForAll := r.class.repeat == keyed && r.class.forAll
	for i, next := range r.attempts {
		lag, sure := j.lag(next.first)
		if !sure {
			continue
		}
		for _, earlier := range r.attempts[:i] {
			if !next.last.IsZero() && !earlier.last.IsZero() && !(j.s.hedging && r.class.repeat == safe) && next.connection != earlier.connection &&
				(earlier.over.IsZero() || earlier.over.After(next.last.Add(lag))) {
				j.broke("parallel", "a second attempt while the first was out")
			}
			if next.last.IsZero() || !unproved(earlier, next.first.Add(lag)) {
				continue
			}
			switch {
			case r.class.repeat == safe:
			case !keyedForAll:
				j.broke("duplicate", "a second attempt though the first may have run")
			case next.first.Sub(earlier.first) > r.class.window+windowSlack+lag:
				j.broke("duplicate", "repeated %v after the first, window %v", next.first.Sub(earlier.first), r.class.window)
			}
		}
	}
	if (r.status == 503 || r.status == 429) && r.class.repeat != safe && !keyedForAll {
		lag, sure := j.lag(r.answered)
		for _, a := range r.attempts {
			if sure && unproved(a, r.answered.Add(lag)) {
				j.broke("refusal", "refused though an attempt may have run")
			}
		}
	}
}

// begins judges when attempts begin, and what they tell.
func (j *judgement) begins() {
	r := j.r
	for _, a := range r.attempts {
		lag, sure := j.lag(a.first)
		if !sure {
			continue
		}
		if !r.left.IsZero() && a.first.Sub(r.left) > goneFor+lag {
			j.broke("lost", "an attempt began %v after its client had gone", a.first.Sub(r.left))
		}
		if !r.answered.IsZero() && a.first.Sub(r.answered) > lag {
			j.broke("lost", "an attempt began %v after the final answer", a.first.Sub(r.answered))
		}
		left := r.sent.Add(r.class.deadline).Sub(a.first)
		if !r.sent.IsZero() && r.misbehave != "uploads in two pieces" && a.told > max(0, left)+deadlineSlack+lag {
			j.broke("deadline", "told %v, %v were left", a.told, left)
		}
	}
}

// drains judges whether a server was used after the grace. While two processes serve as the node it isn't known which of them acted: then one
// of them has to have been allowed to.
func (j *judgement) drains() {
	for _, a := range j.r.attempts {
		lag, sure := j.lag(a.first)
		if !sure || !j.toldOfDrain(a) {
			continue
		}
		allowed := func(p *life) bool {
			return p.node == j.r.node && (p.may(a.server, a.first, j.l.drains, j.s.grace+lag) || p.may(a.server, a.first.Add(-lag), j.l.drains, j.s.grace))
		}
		if !slices.ContainsFunc(j.l.lives, allowed) {
			j.broke("drain", "sent to %s after its drain, grace %v, %s", a.server, j.s.grace, j.drainsOf(a))
		}
	}
}

// toldOfDrain says that a process of the node was told, before an attempt, that its server drains.
func (j *judgement) toldOfDrain(a *attempt) bool {
	return slices.ContainsFunc(j.l.drains, func(d *drained) bool {
		return d.server == a.server && d.node == j.r.node && d.told.Before(a.first)
	})
}

// drainsOf tells what the node's processes were told of an attempt's server before it.
func (j *judgement) drainsOf(a *attempt) (text string) {
	for _, d := range j.l.drains {
		if d.server == a.server && d.node == j.r.node && d.told.Before(a.first) {
			text += fmt.Sprintf("told %v before; ", a.first.Sub(d.told).Round(time.Millisecond))
		}
	}
	return text
}
