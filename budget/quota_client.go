package budget

import (
	"errors"
	"maps"
	"math"
	"slices"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	lookEvery  = 100 * lease.Millisecond  // between two looks at what was asked for
	quickSpan  = 400 * lease.Millisecond  // demand of late is the mean over about that,
	meanSpan   = 8000 * lease.Millisecond // and demand the one over that, as long as it is not beyond chance
	chance     = 4.5                      // so many roots off: one look of some ten thousand is, in steady demand
	movingSpan = 1000 * lease.Millisecond // what has moved beyond chance may move on for so long
	slowSpan   = 2000 * lease.Millisecond // less is told once it has been less for that long
	headPart   = 0.05                     // wanted beyond the mean, since demand isn't even: more would lie idle at each of
	roundPart  = 0.6                      // many nodes while others are short. From so much of a unit on a whole one is wanted
	headChance = 1.5                      // and roots of a mean number at a time
	offPart    = 0.1                      // a want is told anew when it is off by a tenth,
	offLeast   = 0.6                      // and so much of a unit
	askLeast   = 30 * lease.Millisecond   // between two askings of a node
	askAgain   = 100 * lease.Millisecond  // after one that came to nothing
	askWait    = 1000 * lease.Millisecond // how long one may wait for news
	lendSpan   = 300 * lease.Millisecond  // for which the next process of a node has its half: it asks thrice in that
)

// ClientHost is what a Purse acts through. None of the methods may call back.
type ClientHost interface {
	// SetQuota tells how many units may be acted on until a time, and how many after it. It gives what was asked since the last
	// time. Acts of a number at a time that go on count until they end.
	SetQuota(name string, t lease.BudgetConfig, units, apart int, until Time) allowance.Usage
	// Send sends an asking; Answered or Unanswered tells how it went, if no other was sent since.
	Send(a Request)
	// SetAlarm asks for Alarm at that time or soon after.
	SetAlarm(at Time)
}

// share is a node's side of one budget.
type share struct {
	name     string
	terms    lease.BudgetConfig
	told     bool   // by the fleet, not by our own papers alone
	token    uint64 // of the part
	units    int    // that we may begin to act on,
	held     int    // and that we act on at the most: acts that go on count
	keep     int    // what we were asked to come down to, -1: nothing
	want     int
	quick    float64 // acts wanted a second of late,
	mean     float64 // and in the mean
	age      float64 // of the latest so many seconds,
	moving   float64 // seconds for which only the latest count, since it has moved
	took     float64 // and what one takes
	seen     Time    // until when they were counted,
	left     float64 // and what has come since
	lessFrom Time    // since when less would do, 0: not
	lent     int     // of the units, to the next process of this node,
	lentOf   int     // and of those apart
	out      int     // acts that go on,
	used     float64 // and those done since the look before
	given    int     // of the whole, to all nodes, and what is held back for newcomers, as last told
	reserve  int
}

// QuotaClient is a node's side, as long as it holds the lease of its name: what it may act on, what it wants, what it gives back.
// It is not safe for concurrent use.
type QuotaClient struct {
	acts   ClientHost
	lease  string
	token  uint64
	weight float64
	shares []*share

	end     Time // of the lease
	takes   Time // the longest that an act of a number at a time goes on: none begins that would outlast the lease
	looked  Time
	out     bool
	asked   Time
	next    Time // when an asking may follow
	news    bool // there is something to say
	lentEnd Time // until when the next process has its half
	closed  bool
}

// NewQuotaClient makes one that holds nothing yet, under a lease held until end. Its terms are those of the node's own papers, by
// name; an act of a number at a time goes on for so long at the most.
func NewQuotaClient(acts ClientHost, now Time, lease string, token uint64, weight float64, terms map[string]lease.BudgetConfig, end, takes Time) *QuotaClient {
	p := &QuotaClient{acts: acts, lease: lease, token: token, weight: weight, end: end, takes: takes, looked: now, news: true, next: now}
	for _, name := range slices.Sorted(maps.Keys(terms)) {
		p.shares = append(p.shares, &share{name: name, terms: terms[name], keep: -1, seen: now})
	}
	p.set(now)
	p.ask(now)
	return p
}

// ExtendLease tells until when the lease is held now, as its holder counts it.
func (p *QuotaClient) ExtendLease(end Time) { p.end = max(p.end, end) }

// set tells the module what holds, and learns what was asked of it.
func (p *QuotaClient) set(now Time) {
	p.looked = now
	for _, s := range p.shares {
		if now >= p.lentEnd {
			s.lent, s.lentOf = 0, 0
		}
		part, units, apart := s.held, s.units, s.terms.ReservedPerNode
		if p.closed {
			units, apart = 0, 0
		}
		own := max(0, units-s.lent)
		apart = max(0, apart-s.lentOf)
		until := p.end
		if s.terms.Kind == lease.ConcurrencyKind {
			until -= p.takes
		}
		u := p.acts.SetQuota(s.name, s.terms, own+apart, apart, until)
		s.out, s.used = u.InFlight, u.Done
		if s.held = max(units, s.lent); s.terms.Kind == lease.ConcurrencyKind { // it comes down only as what goes on ends
			s.held = max(s.held, min(part, s.lent+max(0, u.InFlight-apart)))
		}
		if u.MeanSeconds > 0 {
			s.took = u.MeanSeconds
		}
		if part := seconds(now - s.seen); part > 0 {
			s.seen = now
			moved := s.heed((u.Wanted+s.left)/part, part)
			s.left = 0
			p.wish(now, s, moved)
		} else {
			s.left += u.Wanted
		}
	}
}

// LentQuota is what the next process of this node may act on for a while.
type LentQuota struct {
	Name   string             `json:"Name"`
	Units  int                `json:"Units"`
	Config lease.BudgetConfig `json:"Terms"`
}

// Lend lets the next process of this node have half of all that isn't in use, for a short time that each call begins anew.
func (p *QuotaClient) Lend(now Time) (all []LentQuota, span Time) {
	if p.closed && now >= p.lentEnd {
		return nil, 0
	}
	if !p.closed {
		p.lentEnd = min(now+lendSpan, p.end)
	}
	for _, s := range p.shares {
		if !p.closed {
			idle := s.units + s.terms.ReservedPerNode
			if s.terms.Kind == lease.ConcurrencyKind {
				idle -= min(idle, s.out)
			}
			s.lentOf = max(s.lentOf, min(s.terms.ReservedPerNode/2, idle))
			s.lent = max(s.lent, min(s.units/2, idle-s.lentOf)) // never less while it may be acted on there
		}
		all = append(all, LentQuota{s.name, s.lent + s.lentOf, s.terms})
	}
	p.set(now)
	return all, max(0, p.lentEnd-now)
}

func seconds(t Time) float64 { return float64(t) / float64(1000*lease.Millisecond) }

// heed takes the rate of a look into the means. What moves beyond chance is believed at once.
func (s *share) heed(rate, span float64) (moved bool) {
	s.quick += (rate - s.quick) * min(1, span/seconds(quickSpan))
	s.age = min(s.age+span, seconds(meanSpan))
	s.mean += (rate - s.mean) * min(1, span/s.age)
	off := s.quick - s.mean
	if off*off > chance*chance*max(s.mean, 1/seconds(quickSpan))/2/seconds(quickSpan) {
		s.moving = seconds(movingSpan)
	}
	if s.moving -= span; s.moving > 0 {
		s.mean, s.age = s.quick, seconds(quickSpan)
	}
	return s.moving > 0
}

// wish says how much of a budget could be used.
func (p *QuotaClient) wish(now Time, s *share, moved bool) {
	mean := 0.0
	if s.terms.Kind == lease.RateKind {
		mean = s.mean / s.terms.RatePerUnit
	} else {
		mean = s.mean * s.took
		mean += headChance * math.Sqrt(mean)
	}
	need := mean*(1+headPart) + roundPart
	want, off := 0, max(offLeast, offPart*float64(s.want))
	if s.mean > idle {
		want = max(1, min(s.terms.Units, int(need)))
	}
	switch {
	case moved && math.Abs(need-float64(s.want)) > 1+off:
		s.want, s.lessFrom, p.news = want, 0, true
	case want > s.want && (need >= float64(s.want+1)+off || s.want == 0 || want == s.terms.Units):
		s.want, s.lessFrom, p.news = want, 0, true
	case want >= s.want || want > 0 && need >= float64(s.want)-off:
		s.lessFrom = 0
	case s.lessFrom == 0:
		s.lessFrom = now
	case now-s.lessFrom >= slowSpan:
		s.want, s.lessFrom, p.news = want, 0, true
	}
}

const idle = 0.02 // acts a second: less than one in meanSpan many times over

// Holds gives what is held now, for who has to say so.
func (p *QuotaClient) holds() (all []Holding) {
	for _, s := range p.shares {
		all = append(all, Holding{s.name, s.token, s.held, s.want, s.keep, s.revision()})
	}
	return all
}

func (s *share) revision() uint64 {
	if !s.told {
		return 0
	}
	return s.terms.Revision
}

func (p *QuotaClient) ask(now Time) {
	declares := map[string]lease.BudgetConfig{}
	for _, s := range p.shares {
		if !s.told {
			declares[s.name] = s.terms
		}
	}
	p.out, p.news, p.asked, p.next = true, false, now, now+askLeast
	p.acts.Send(Request{Lease: p.lease, Token: p.token, Weight: p.weight, Wait: askWait, Held: p.holds(), Declared: declares})
	p.acts.SetAlarm(p.looked + lookEvery)
}

// ConfigMismatch gives the names of budgets whose whole the fleet has otherwise than our papers say, as it comes to be known.
type ConfigMismatch struct {
	Name          string
	Local, Agreed lease.BudgetConfig
}

// HandleResponse tells what came of the asking that was sent last.
func (p *QuotaClient) HandleResponse(now Time, a Response) (differ []ConfigMismatch) {
	p.out = false
	if a.Err != nil && !errors.Is(a.Err, lease.ErrStillHeld) {
		p.next = now + askAgain
	}
	p.news = true // the next asking waits for what comes after this
	for _, n := range a.Updates {
		at := slices.IndexFunc(p.shares, func(s *share) bool { return s.name == n.Budget })
		if at < 0 {
			continue
		}
		s := p.shares[at]
		if !s.told {
			ours, fleets := s.terms, n.Config
			if ours.Revision, fleets.Revision = 0, 0; ours != fleets {
				differ = append(differ, ConfigMismatch{n.Budget, s.terms, n.Config})
			}
		}
		s.terms, s.told, s.given, s.reserve = n.Config, true, n.Allocated, n.Reserve
		if n.Quota.Token > s.token { // an earlier one, or the one known, never raises what we came down to
			s.token, s.units, s.keep = n.Quota.Token, n.Quota.Units, -1
		}
		if s.keep = -1; n.Quota.Token == s.token && n.ShrinkTo >= 0 && n.ShrinkTo < s.units {
			s.keep, s.units = n.ShrinkTo, n.ShrinkTo
		} else if n.Quota.Token == s.token && n.ShrinkTo >= 0 {
			s.keep = n.ShrinkTo
		}
	}
	p.set(now)
	p.Alarm(now)
	return differ
}

// HandleTimeout tells that the asking that was sent last came to nothing: nobody knows whether it was heard.
func (p *QuotaClient) HandleTimeout(now Time) {
	p.out, p.news, p.next = false, true, now+askAgain
	p.acts.SetAlarm(p.next)
}

// Alarm comes at or after a time asked for with Wake.
func (p *QuotaClient) Alarm(now Time) {
	if now >= p.looked+lookEvery {
		was := p.holds()
		p.set(now)
		for i, h := range p.holds() { // acts have ended, so that more can be given back
			p.news = p.news || h.Units < was[i].Units
		}
	}
	if p.news && now >= p.next {
		p.ask(now)
		return
	}
	at := p.looked + lookEvery
	if p.news {
		at = min(at, p.next)
	}
	p.acts.SetAlarm(max(at, now+1))
}

// QuotaStatus is how a budget stands at this node, for who wants to see it.
type QuotaStatus struct {
	Name               string
	Config             lease.BudgetConfig
	Confirmed          bool // the fleet has told of it; else it is from our papers
	Units, Demand      int  // of the part
	InFlight           int
	Used               float64 // acts in the last tenth of a second
	Allocated, Reserve int     // of the whole, as last told
	End                Time
}

// Status gives all.
func (p *QuotaClient) Status() (all []QuotaStatus) {
	for _, s := range p.shares {
		all = append(all, QuotaStatus{s.name, s.terms, s.told, s.units, s.want, s.out, s.used, s.given, s.reserve, p.end})
	}
	return all
}

// Close lets nothing more begin. The parts end with the lease; it may be given back once Idle.
func (p *QuotaClient) Close(now Time) {
	p.closed = true
	p.set(now)
}

// Idle says whether nothing goes on any more, here or at the process that half of it was lent to.
func (p *QuotaClient) Idle(now Time) bool {
	p.set(now)
	return now >= p.lentEnd && !slices.ContainsFunc(p.shares, func(s *share) bool { return s.out > 0 || s.held > 0 })
}
