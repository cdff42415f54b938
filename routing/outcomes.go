package routing

// This file holds what is learned from how shots ended.

import "math"

// AttemptDone tells how a shot ended, and whether the lookup is over.
func (b *Balancer) AttemptDone(now Time, lkp, number int, code Result, ended bool) {
	b.clock(now)
	l := &b.lookups[lkp]
	t := &l.shots[number]
	t.out, t.notRun = false, code == Rejected || code == ConnectFailed || code == NotSent || code >= NotFound
	s := b.servers[t.server]
	if code != Withheld {
		s.took += (now - t.sent - s.took) / 8
	}
	if s.links.Ended(int64(s.took)); s.origin {
		b.parts[OriginConcurrency].Ended(int64(s.took))
	}
	// Crowded caches slow down, so the room shrinks until their answers are quick again.
	slow := code != Withheld && now-t.sent > Time(calmPart*float64(b.spaces[l.Class].LatencyTarget))
	if code == TimedOut && !slow {
		code = Canceled // the lookup had little time left, which says nothing of the server
	}
	b.judge(s, number, code)
	none := code == ConnectFailed || code == ConnectionLimit
	s.held, s.quietAt = !none && code != ConnectTimeout, now
	switch need := b.rate(s.answers) * seconds(s.took); {
	case s.origin: // all nodes share it and are always at work there: what one has beyond its need never idles out
		b.host.CloseIdle(t.server, 1+int(need+math.Sqrt(need)))
	case none: // not where the server is dead or cut off: then none is short of connections
		b.giveBack()
	case s.inFlight == 0 && b.keep < keepLeast:
		s.held = false
		b.host.CloseIdle(t.server, 0)
	}
	switch {
	case code == Withheld && s.StartedAt <= t.begun: // it gives back what it took, but to no server that has begun since
		if s.budget += l.work; number > 0 && !l.missed {
			s.credit = min(creditMost, s.credit+1)
		}
	case code == ConnectionLimit: // what it took connections for is what it has room for
		s.calm = min(s.calm, max(1, float64(s.inFlight)))
	case slow && code == TimedOut: // all nodes must let go of it before it works for nobody
		s.calm = max(calmLeast, s.calm*(1-calmStop))
	case slow || code == Rejected:
		s.calm = max(calmLeast, s.calm*(1-calmLost))
	case code == Served || code == NotFound: // a failure may be quick as well
		won := calmWon
		if s.origin && s.calm < originOwn {
			won = originWon
		}
		s.calm = min(calmMost, s.calm+won)
	}
	l.missed = l.missed || code == NotFound
	switch {
	case !l.live:
	case ended:
		b.feel(l, now-l.arrived <= b.spaces[l.Class].LatencyTarget)
		b.end(lkp)
	default:
		b.release(lkp)
		b.advance(lkp)
	}
}

// giveBack closes what has been idle for as long as we keep it, when a connect has failed elsewhere.
func (b *Balancer) giveBack() {
	b.keep /= keepPart
	for i, s := range b.servers {
		if s != nil && s.inFlight == 0 && s.held && b.now >= s.quietAt+b.keep {
			s.held = false
			b.host.CloseIdle(i, 0)
		}
	}
}

// judge learns from an outcome, late ones too.
func (b *Balancer) judge(s *server, number int, code Result) {
	b.count(s, -1)
	s.trial = false
	switch code {
	case Served, NotFound:
		s.strikes, s.rest = 0, 0
		b.keep = min(keepMost, b.keep+keepWon)
		s.credit = min(creditMost, s.credit+creditEarned)
		if s.answers++; number == 0 {
			s.firsts++
		}
	case Rejected, ConnectionLimit:
		s.strikes, s.rest = 0, 0
	case ConnectFailed, ConnectTimeout, ConnectionBroken:
		b.strike(s, strikesOut)
	case TimedOut, ServerError:
		b.strike(s, 1)
	}
}

// strike counts failures in a row; enough of them make a suspect, resting longer each time.
func (b *Balancer) strike(s *server, n int) {
	if s.strikes += n; s.strikes >= strikesOut && b.now >= s.restEnd {
		s.rest = min(max(suspectLeast, 2*s.rest), suspectMost)
		s.restEnd = b.now + s.rest
	}
}

// IsEjected tells that a server is a suspect, and gets a trial at the most.
func (b *Balancer) IsEjected(server int) bool { return b.servers[server].rest > 0 }

// ProbeResult tells how another node's trial of a server went, and until when to wait for its next.
func (b *Balancer) ProbeResult(now Time, server int, well bool, next Time) {
	if s := b.servers[server]; well {
		s.restEnd = min(s.restEnd, now)
	} else if s.rest > 0 {
		s.restEnd = max(s.restEnd, min(next, now+suspectMost)) // no word from outside holds for long
	}
}
