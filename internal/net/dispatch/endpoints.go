package dispatch

import (
	"slices"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// startToldIn is how late a list may tell of a start: services notice some seconds late.
const startToldIn = 30 * time.Second

const (
	passedTimes = 2 // mean times of its server after which a read is passed, if a later one was answered meanwhile
	meanPart    = 8 // an answer counts as an eighth of the mean: a second's worth of them or so
)

// place is a box as the list last told of it.
type place struct {
	id, address string
	since       float64      // its start, as the list tells it
	startedAt   routing.Time // the same by our clock, as it was when it was heard of
	outAt       routing.Time // when it was taken out, likewise; 0: never
	backAt      routing.Time // when it was put back after that, likewise
	nth         uint64       // another number for each box, start and address: what was kept to an earlier one isn't for it
	out         []*Attempt
	mean        time.Duration // of the latest whole answers
	answered    time.Time     // when the latest shot that was answered was sent
	gone        bool
	origin      bool
	kind        int
	listed      routing.State // what the list says,
	state       routing.State // and what the module is shown
	ban         Ejection      // the latest
}

// renew takes over what the list says. A box that starts again or moves keeps its index.
func (x *Dispatcher) renew(p *place, b Endpoint) {
	if b.State != routing.Gone && (p.id != b.ID || p.address != b.Address || p.since != b.StartedMs) {
		x.told++
		if p.id != b.ID || p.since != b.StartedMs {
			at := x.started(b.StartedMs)
			if p.id == b.ID && at > 0 && x.live-at > config.Ticks(float64(startToldIn/time.Millisecond)) {
				at = x.live // a list that was told since would have had it: its clock is off
			}
			p.startedAt = at
		}
		p.id, p.address, p.since, p.nth = b.ID, b.Address, b.StartedMs, x.told
	}
	p.gone, p.listed = b.State == routing.Gone, b.State
}

// started converts a start time of the list, whose clock agrees with ours as it is now. One in the future is an error of a clock: it is not
// later than the moment at which it is heard of. 0 stays 0, which means long ago.
func (x *Dispatcher) started(ms float64) routing.Time {
	if ms == 0 {
		return 0
	}
	now := time.Now()
	at := fromUnix(ms) - config.Ticks(float64(x.clock.step(now, x.wall()))/float64(time.Millisecond))
	if heard := x.clock.at(now); at > heard+config.Ticks(float64(stepMost/time.Millisecond)) {
		at = heard
	}
	return max(1, at)
}

// index gives one for a new box: boxes come under new ids all day, so those of boxes that went are used anew.
func (x *Dispatcher) index() int {
	if last := len(x.resting) - 1; last >= 0 {
		i := x.resting[last]
		x.resting = x.resting[:last]
		return i
	}
	x.boxes = append(x.boxes, place{})
	return len(x.boxes) - 1
}

// giveBack lets an index rest once its box is gone and all shots to it have settled.
func (x *Dispatcher) giveBack(i int) {
	if p := &x.boxes[i]; p.gone && len(p.out) == 0 && p.id != "" {
		delete(x.places, p.id)
		*p = place{}
		x.resting = append(x.resting, i)
	}
}

// sent puts a shot down at its place. Only where second copies are allowed may another follow while it is out.
func (x *Dispatcher) sent(s *Attempt) {
	p := &x.boxes[s.server]
	p.out = append(p.out, s)
	if !s.Write && x.terms.HedgingAllowed() && x.terms.IsSafe(s.Class) && p.mean > 0 && !x.alone(s) {
		s.watch = time.AfterFunc(passedTimes*p.mean, s.look)
	}
}

// passed says whether a shot has waited for several of its server's mean times, while one sent later was answered. An
// overloaded server takes longer for all, so that it passes few.
func (p *place) passed(s *Attempt) bool {
	return s.sent.Before(p.answered) && time.Since(s.sent) >= passedTimes*p.mean
}

// look guards against connections that fall silent, as single ones do while their servers work: the module is told
// that a replayable read that others have passed was called off. It may just be slow, so it stays out, and its answer
// resolves the lookup if it comes first.
func (s *Attempt) look() {
	x := s.ticket.x
	x.do("watch", s.ticket, func(routing.Time) {
		if p := &x.boxes[s.server]; !s.told && p.passed(s) {
			s.tell(Bypassed)
		}
	})
}

// drop takes a shot off its place.
func (p *place) drop(s *Attempt) {
	p.out = slices.DeleteFunc(p.out, func(o *Attempt) bool { return o == s })
	if s.watch != nil {
		s.watch.Stop()
	}
}

// settled notes what an answer tells of its server.
func (p *place) settled(s *Attempt, end AttemptResult) {
	if p.nth != s.Endpoint || end != Complete && end != NotFound {
		return
	}
	if end == Complete {
		p.mean += (time.Since(s.sent) - p.mean) / meanPart
	}
	if s.sent.After(p.answered) {
		p.answered = s.sent
	}
	for _, o := range p.out {
		if o.watch != nil && p.passed(o) {
			o.watch.Reset(0)
		}
	}
}
