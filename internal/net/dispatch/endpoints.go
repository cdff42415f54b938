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
	bypassFactor = 2 // mean times of its server after which a read is passed, if a later one was answered meanwhile
	meanPart     = 8 // an answer counts as an eighth of the mean: a second's worth of them or so
)

// endpointEntry is a box as the list last told of it.
type endpointEntry struct {
	id, address       string
	listedStartMs     float64      // its start, as the list tells it
	startedAt         routing.Time // the same by our clock, as it was when it was heard of
	ejectedAt         routing.Time // when it was taken out, likewise; 0: never
	restoredAt        routing.Time // when it was put back after that, likewise
	incarnation       uint64       // another number for each box, start and address: what was kept to an earlier one isn't for it
	inFlight          []*Attempt
	meanLatency       time.Duration // of the latest whole answers
	lastAnsweredStart time.Time     // when the latest shot that was answered was sent
	gone              bool
	origin            bool
	model             int
	listedState       routing.State // what the list says,
	effectiveState    routing.State // and what the module is shown
	ejection          Ejection      // the latest
}

// renew takes over what the list says. A box that starts again or moves keeps its index.
func (x *Dispatcher) renew(p *endpointEntry, b Endpoint) {
	if b.State != routing.Gone && (p.id != b.ID || p.address != b.Address || p.listedStartMs != b.StartedMs) {
		x.told++
		if p.id != b.ID || p.listedStartMs != b.StartedMs {
			at := x.started(b.StartedMs)
			if p.id == b.ID && at > 0 && x.live-at > config.Ticks(float64(startToldIn/time.Millisecond)) {
				at = x.live // a list that was told since would have had it: its clock is off
			}
			p.startedAt = at
		}
		p.id, p.address, p.listedStartMs, p.incarnation = b.ID, b.Address, b.StartedMs, x.told
	}
	p.gone, p.listedState = b.State == routing.Gone, b.State
}

// started converts a start time of the list, whose clock agrees with ours as it is now. One in the future is an error of a clock: it is not
// later than the moment at which it is heard of. 0 stays 0, which means long ago.
func (x *Dispatcher) started(ms float64) routing.Time {
	if ms == 0 {
		return 0
	}
	now := time.Now()
	at := fromUnix(ms) - config.Ticks(float64(x.clock.wallOffset(now, x.wall()))/float64(time.Millisecond))
	if heard := x.clock.at(now); at > heard+config.Ticks(float64(minClockStep/time.Millisecond)) {
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
	x.boxes = append(x.boxes, endpointEntry{})
	return len(x.boxes) - 1
}

// giveBack lets an index rest once its box is gone and all shots to it have settled.
func (x *Dispatcher) giveBack(i int) {
	if p := &x.boxes[i]; p.gone && len(p.inFlight) == 0 && p.id != "" {
		delete(x.places, p.id)
		*p = endpointEntry{}
		x.resting = append(x.resting, i)
	}
}

// sent puts a shot down at its place. Only where second copies are allowed may another follow while it is out.
func (x *Dispatcher) sent(s *Attempt) {
	p := &x.boxes[s.endpointIndex]
	p.inFlight = append(p.inFlight, s)
	if !s.Write && x.settings.HedgingAllowed() && x.settings.IsSafe(s.Class) && p.meanLatency > 0 && !x.concurrencyBounded(s) {
		s.bypassTimer = time.AfterFunc(bypassFactor*p.meanLatency, s.checkBypassed)
	}
}

// passed says whether a shot has waited for several of its server's mean times, while one sent later was answered. An
// overloaded server takes longer for all, so that it passes few.
func (p *endpointEntry) passed(s *Attempt) bool {
	return s.startedAt.Before(p.lastAnsweredStart) && time.Since(s.startedAt) >= bypassFactor*p.meanLatency
}

// checkBypassed guards against connections that fall silent, as single ones do while their servers work: the module is told
// that a replayable read that others have passed was called off. It may just be slow, so it stays out, and its answer
// resolves the lookup if it comes first.
func (s *Attempt) checkBypassed() {
	x := s.pending.dispatcher
	x.withLock("watch", s.pending, func(routing.Time) {
		if p := &x.boxes[s.endpointIndex]; !s.reported && p.passed(s) {
			s.report(Bypassed)
		}
	})
}

// drop takes a shot off its place.
func (p *endpointEntry) drop(s *Attempt) {
	p.inFlight = slices.DeleteFunc(p.inFlight, func(o *Attempt) bool { return o == s })
	if s.bypassTimer != nil {
		s.bypassTimer.Stop()
	}
}

// settled notes what an answer tells of its server.
func (p *endpointEntry) settled(s *Attempt, end AttemptResult) {
	if p.incarnation != s.Endpoint || end != Complete && end != NotFound {
		return
	}
	if end == Complete {
		p.meanLatency += (time.Since(s.startedAt) - p.meanLatency) / meanPart
	}
	if s.startedAt.After(p.lastAnsweredStart) {
		p.lastAnsweredStart = s.startedAt
	}
	for _, o := range p.inFlight {
		if o.bypassTimer != nil && p.passed(o) {
			o.bypassTimer.Reset(0)
		}
	}
}
