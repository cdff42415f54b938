package logic

// This file and list.go hold every decision of a balancer node. New makes one Balancer per node from the terms (a plain
// map of names to values) and a Host to act through; host.go has Host and the plain types. Then the caller
// reports each thing that happens by calling a method: Lookup, Sent, Settled, Tried, Left, List, Part or Alarm,
// with the clock. Methods act by calling the Host before they return. It is laid out to be read in order: the rules,
// the line and its ranges, the walk, the origin, what happens. docs/design.md says where all this comes from.

import (
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
)

const (
	bins       = 2000               // bins of the line; the design's figure
	alphaFloor = 0.000001           // least weight of a lookup; the design's figure
	klStep     = 0.1                // KL divergence (nats) for each doubling of alpha; the design's figure
	klSpan     = 1000 * Millisecond // between comparisons; the design's figure. Lookups count by halves of it
	klGroups   = 20                 // groups of bins compared: few, so that some hundred lookups tell a shift from chance
	fadeFloor  = 1e-9               // renormalise there: far from losing digits, yet rare
	recutSpan  = 2000 * Millisecond // between recuts: a range moves little in it, and 2000 adds are dear

	busyLeast  = 2   // own shots in flight below which a cache is never passed over; the design's figure
	walkMost   = 2   // caches passed over for want of room: a hot key needs some, more scatter keys
	busyFactor = 2.0 // well over our mean: twice it, and one more for chance
	jamFactor  = 1.5 // a full cache with no more than this many times our mean tells of a jam

	halveSpan   = 1000 * Millisecond // between halvings of what is measured: a few seconds' memory
	roomPart    = 0.25               // share of a target time that shots in flight may fill: misses need more
	roomLeast   = 8.0                // shots of all nodes that are always allowed, from one to two for each
	calmPart    = 0.4                // share of its target time after which an answer counts as slow
	calmLost    = 0.1                // share of a calm room that a slow or a full answer takes, and
	calmWon     = 0.1                // shots a quick one adds: a third slow is too many at a room of two
	calmStop    = 0.8                // share that a time-out takes: queues grow for all nodes, each sees little
	calmLeast   = 0.1                // least calm room: one lookup in ten shows whether a box is well again
	calmMost    = 16.0               // most calm room: where rate times time bounds, it need not grow on
	originPart  = 0.6                // share of a target time that fetches in flight may fill at the origin
	originLeast = 12.0               // fetches of all nodes that are always allowed, to measure the origin by
	originOwn   = 3.0                // fetches a node may have out while the origin is calm: some come at once
	originWon   = 0.3                // fetches a quick answer adds up to there: many nodes ask it seldom
	writeRoom   = 2                  // writes may fill the origin this many times as far as fetches
	earlyPart   = 0.4                // share of the target time up to which a second try can still be in time
	returnPart  = 0.1                // share of the target time, and up to as much by chance, to stay away
	shareLeast  = 4.0                // lookups a partner may always save up: of many nodes each has few a minute
	easeLost    = 0.1                // ease lost with a lookup inside its share that we had no room for,
	easeLate    = 0.03               // with one that ran out of time,
	easeWon     = 0.005              // and won with one answered in time: past 5% without room it is nothing
	easeSteps   = 5.0                // its first fifth is for what is surely beyond, its last for what may be

	strikesOut   = 2                  // strikes that make a suspect: one broken connection, two silences
	suspectLeast = 250 * Millisecond  // first rest of a suspect: a few connect time-outs
	suspectMost  = 4000 * Millisecond // longest rest: the list takes about that long to tell

	coldMargin = 0.3 // share of the cold budget that is used: misses flatter warm caches, hints of work err, and
	// what all nodes send varies by chance: beyond the budget only 2 x root of it and 2 more may come
	coldWork = 2.0 // most work of a shot, in mean ones, but for what may be saved up: one alone could push a cache over

	creditEarned = 0.25 // credit for an answer: further shots stay near a quarter of all
	creditMost   = 5.0  // most credit kept, and a server's first: no longer burst of further shots

	AskSpread  = 300 * Millisecond  // those who start, or lose the list, at once spread their calls over this
	AskMost    = 1800 * Millisecond // longest from one call to the next: two, and a slow list, fit into 5 s
	askPart    = 3                  // a third of a pushed list's grace for that, the rest for the call and news
	listHandle = 0                  // the list's alarm; a lookup's handle is its index and one

	keepMost  = 30000 * Millisecond // span for which idle connections are kept at first: as good as no bound
	keepLeast = 50 * Millisecond    // below this one is given back at once: no shot there comes so soon
	keepWon   = 10 * Millisecond    // won with each answer: ten a second make up for a failure in some seconds
	keepPart  = 2                   // a failed connect halves it: the server is full, others want what we hold
)

// New starts a node. The terms it reads are listed in docs/design.md.
func New(host Host, seed uint64, now Time, terms map[string]any) *Balancer {
	b := &Balancer{host: host, terms: terms, seed: seed, now: now, fade: 1,
		nodes: float64(max(1, term(terms, "nodes", 1))), halved: now, ease: 1,
		klDue: now + klSpan, fetches: map[uint64][]int{}, keep: keepMost,
		weight: slices.Repeat([]float64{1.0 / bins}, bins), late: make([]float64, klGroups)}
	b.least = max(1, min(busyLeast, roomLeast/b.nodes))
	b.askWait = max(AskSpread, min(AskMost, term(terms, "ask within", 2*AskMost)/2,
		term(terms, "pushed grace", askPart*AskMost)/askPart))
	b.read()
	host.Wake(now+Time(b.draw()*float64(AskSpread)), listHandle)
	return b
}

// ---- The rules ----

// mayDefer: a deferral promises that a retry is harmless.
func (b *Balancer) mayDefer(l *lookup) bool {
	ns := &b.spaces[l.Namespace]
	_, ran := l.firstRun()
	return !ran || ns.kind == replayable || ns.kind == tagged && ns.groupAll
}

// mayShoot: no effect happens twice, nothing follows the end, and the host's bound on shots holds.
func (b *Balancer) mayShoot(l *lookup) bool {
	if !l.live || b.now >= l.giveUp || len(l.shots) >= term(b.terms, "most shots", 1) {
		return false
	}
	ns := &b.spaces[l.Namespace]
	first, ran := l.firstRun()
	// Half the memory span is kept for the way to the server: it counts from the send.
	return !ran || ns.kind == replayable || ns.kind == tagged && ns.groupAll && b.now-first < ns.memory/2
}

// finish gives the final answer at once.
func (b *Balancer) finish(lkp int) {
	l := &b.lookups[lkp]
	b.feel(l, false)
	if b.mayDefer(l) {
		b.host.Defer(lkp, b.retryAfter(l))
	} else {
		b.host.Abandon(lkp)
	}
	b.end(lkp)
}

// retryAfter asks a client back while an answer can still be in time, else to stay away for long.
func (b *Balancer) retryAfter(l *lookup) Time {
	most := term(b.terms, "longest retry-after", Time(0))
	target := float64(b.spaces[l.Namespace].target)
	if float64(b.now-l.arrived) < earlyPart*target {
		return min(most, Time(returnPart*target*(1+b.draw())))
	} else if l.lacks != nil {
		return most/2 + Time(b.draw()*float64(most/2)) // all nodes may be short, and their clients come at once
	}
	return most
}

// feel notes how we fare with what is inside its share: where it suffers, what is beyond yields first. What
// ran out of time tells of its server more than of the load.
func (b *Balancer) feel(l *lookup, inTime bool) {
	switch {
	case l.over: // worth little whatever becomes of it
	case inTime:
		b.ease = min(1, b.ease+easeWon)
	case b.now >= l.giveUp:
		b.ease = max(0, b.ease-easeLate)
	default:
		b.ease = max(0, b.ease-easeLost)
	}
}

// end forgets a lookup; its shots that are out still settle.
func (b *Balancer) end(lkp int) {
	l := &b.lookups[lkp]
	l.live = false
	if l.waiting {
		l.waiting = false
		b.fetches[l.key] = slices.DeleteFunc(b.fetches[l.key], func(o int) bool { return o == lkp })
	}
	b.release(lkp)
}

// ---- The line and its ranges ----

// learn fades all bins and adds alpha at the lookup's own, lazily. In steady demand all that was seen weighs alike, so
// that nodes come to cut alike; by less than the bound on alpha nothing is learned.
func (b *Balancer) learn(point float64) {
	n := float64(max(1, len(b.ready)))
	b.seen, b.lately = b.seen+1, b.lately+1
	b.alpha = max(alphaFloor, min(1/b.seen, 1/(4*n*n)))
	b.late[int(point)*klGroups/bins]++
	b.fade *= 1 - b.alpha
	b.weight[int(point)] += b.alpha / b.fade
	if b.fade < fadeFloor {
		for i := range b.weight {
			b.weight[i] *= b.fade
		}
		b.fade = 1
	}
}

// adapt doubles alpha for each klStep by which the latest lookups diverge from the histogram, beyond chance.
func (b *Balancer) adapt() {
	kl := (1 - klGroups) / max(1, b.lately) // chance alone gives half of that in the mean
	for g, n := range b.late {
		p := 0.0
		for _, w := range b.weight[g*bins/klGroups : (g+1)*bins/klGroups] {
			p += w * b.fade
		}
		if n > 0 && p > 0 { // all of a group may have faded away
			kl += n / b.lately * math.Log(n/b.lately/p)
		}
		b.late[g] = n / 2
	}
	b.seen, b.lately = math.Ldexp(b.seen, -int(max(0, kl)/klStep)), b.lately/2
}

// recut lays the cuts at equal shares of the sum, interpolated inside bins.
func (b *Balancer) recut() {
	b.cutDue = b.now + recutSpan
	n := len(b.ready)
	b.cuts = b.cuts[:0]
	sum := 0.0
	for _, w := range b.weight {
		sum += w
	}
	run := 0.0
	for i, w := range b.weight {
		for len(b.cuts) < n-1 && run+w >= sum*float64(len(b.cuts)+1)/float64(n) {
			b.cuts = append(b.cuts, float64(i)+(sum*float64(len(b.cuts)+1)/float64(n)-run)/w)
		}
		run += w
	}
	for len(b.cuts) < n {
		b.cuts = append(b.cuts, bins)
	}
}

// ownRange gives the place of the cache among the ready ones whose range holds a point, by cuts of the present list.
func (b *Balancer) ownRange(point float64) int {
	if b.now >= b.cutDue || len(b.cuts) != len(b.ready) {
		b.recut()
	}
	return min(sort.SearchFloat64s(b.cuts, point), len(b.ready)-1)
}

// ---- The walk along the ranges ----

// pick walks from the lookup's own range to the first cache that nothing speaks against; where one has no
// room the origin comes before the next. -1: none.
func (b *Balancer) pick(l *lookup) int {
	n := len(b.ready)
	if n == 0 {
		return -1
	}
	mean := b.mean()
	at, busy, passed := b.ownRange(l.point), -1, 0
	for step := 0; step < n && passed <= walkMost; step++ {
		i := b.ready[(at+step)%n]
		s := b.servers[i]
		if b.passOver(l, i, s) {
			continue
		}
		full := s.inFlight >= int(b.room(l, s)+b.draw())
		if full {
			// The next caches hardly have the value, and misses there would jam them too.
			if to := b.origin(l); to >= 0 {
				return to
			}
		}
		if full && s.inFlight > 0 && float64(s.inFlight) <= jamFactor*mean {
			break // all are about as full: walking on would only scatter the keys and jam the rest
		} else if !full && (s.inFlight < busyLeast || float64(s.inFlight) <= busyFactor*mean+1) {
			return i
		}
		if passed++; busy < 0 && !full {
			busy = i
		}
	}
	return busy
}

// passOver gives the exceptions: each is one more reason to skip a cache.
func (b *Balancer) passOver(l *lookup, i int, s *server) bool {
	if slices.ContainsFunc(l.shots, func(t shot) bool { return t.server == i }) {
		return true // it had its try
	}
	// After a suspect's rest one replayable lookup tries it out.
	if s.rest > 0 && (b.now < s.restEnd || s.trial || b.spaces[l.Namespace].kind != replayable) {
		return true
	}
	if len(l.shots) > 0 && !l.missed && s.credit < 1 {
		return true // a further shot wants credit, lest a jam feed itself
	}
	cold := b.coldShare(s) < 1
	if cold && b.coldBudget(l, s) < l.work {
		return true // also where the fleet has a budget: its whole is one figure, what a cold cache bears grows
	}
	return (cold || s.rest > 0) && b.lacks(l, s.cold) || b.lacks(l, s.links)
}

// room bounds what is in flight at a cache: by rate times time, as measured, with its root for chance, and
// by what keeps it calm.
func (b *Balancer) room(l *lookup, s *server) float64 {
	filled := b.rate(s.answers) * roomPart * seconds(b.spaces[l.Namespace].target)
	return min(s.calm, max(busyLeast, filled+math.Sqrt(filled)))
}

// rate turns a count that is halved into one a second. Halving keeps twice a span's count in the long run.
func (b *Balancer) rate(count float64) float64 {
	return count / (seconds(halveSpan) + seconds(b.now-b.halved))
}

// coldShare is the least share of its capacity that a server has by now.
func (b *Balancer) coldShare(s *server) float64 {
	cold, warmUp := term(b.terms, "cold share", 0.1), term(b.terms, "warm-up", 30000*Millisecond)
	age := b.now - s.Since
	if s.Since == 0 || age >= warmUp {
		return 1
	}
	return cold + (1-cold)*max(0, float64(age)/float64(max(1, warmUp)))
}

// coldBudget fills with time. All nodes together must stay under factor x cold share x capacity x window: a warm
// cache's answers to our first shots are our part of its capacity, which is one in the shortest target time at
// least. What is less than a shot is rounded by chance: were it saved up, many nodes would send a whole one at
// once. So the sum of all has the mean that has filled, whenever their lookups come.
func (b *Balancer) coldBudget(l *lookup, s *server) float64 {
	share := coldMargin * term(b.terms, "overload factor", 2.0) * b.coldShare(s)
	rate := share * max(b.perCache, 1/(b.nodes*seconds(max(1, b.soonest))))
	most := max(share, rate*seconds(term(b.terms, "fall window", 1000*Millisecond))/2)
	s.budget, s.budgetAt = min(most, s.budget+rate*seconds(b.now-s.budgetAt)), b.now
	if s.budget < l.work && l.work <= max(coldWork, most) {
		s.budget = l.work * math.Floor(s.budget/l.work+b.draw())
	}
	return s.budget
}

// shoot sends a lookup and books it.
func (b *Balancer) shoot(lkp, i int) {
	l, s := &b.lookups[lkp], b.servers[i]
	s.trial = s.trial || s.rest > 0
	if b.coldShare(s) < 1 || s.rest > 0 {
		s.cold.Spend()
		s.budget -= l.work
	}
	if s.links.Spend(); s.origin {
		b.parts[OriginRate].Spend()
		b.parts[OriginRoom].Spend()
	} else if len(l.shots) > 0 && !l.missed {
		s.credit--
	}
	if !l.Long {
		b.count(s, 1) // a server begins with the last byte
	}
	l.shots = append(l.shots, shot{server: i, begun: b.now, sent: b.now, out: true})
	b.host.Shoot(lkp, i, l.giveUp-b.now)
}

// advance takes a lookup's next step: its cache, the origin, a wait for the key's fetch, or its end.
func (b *Balancer) advance(lkp int) {
	l := &b.lookups[lkp]
	if slices.ContainsFunc(l.shots, func(s shot) bool { return s.out }) {
		return // its outcome will come
	}
	l.lacks = nil
	if !b.mayShoot(l) {
		b.finish(lkp)
		return
	}
	if q, out := b.fetches[l.key]; out && !l.Write && l.key != 0 {
		l.waiting, b.fetches[l.key] = true, append(q, lkp) // until the other's fetch has ended
		b.host.Wake(l.giveUp, lkp+1)
		return
	}
	to := -1
	if l.Write || len(l.shots) > 0 {
		to = b.origin(l) // where its own cache doesn't give it, hardly another has the value
	}
	if to < 0 && !l.Write && !l.missed {
		to = b.pick(l)
	}
	if to < 0 {
		b.finish(lkp)
		return
	}
	if b.servers[to].origin && l.missed && !l.Write && l.key != 0 { // not where a full cache has the value
		l.fetching = true
		b.fetches[l.key] = nil
	}
	b.shoot(lkp, to)
}

// ---- The origin ----

// origin gives the origin that has room for a lookup and would answer it in time, or -1. What it takes is
// bounded by rate times time, writes first; its least room lets each node measure it.
func (b *Balancer) origin(l *lookup) int {
	if len(b.origins) == 0 {
		return -1
	}
	best := slices.MinFunc(b.origins, func(x, y int) int {
		return b.servers[x].inFlight - b.servers[y].inFlight
	})
	s, target := b.servers[best], b.soonest // what may be patient must not keep waiting what may not
	if l.Write {
		target = b.spaces[l.Namespace].target
	}
	room := max(originLeast/b.nodes, min(s.calm, originOwn), b.rate(s.answers)*originPart*seconds(target))
	if l.Write {
		room = writeRoom * max(1, room)
	}
	if part := b.parts[OriginRoom]; part == nil && s.inFlight >= int(room+b.draw()) || l.giveUp-b.now < s.took ||
		b.lacks(l, part) || b.lacks(l, b.parts[OriginRate]) { // nor a fetch that would come too late
		return -1
	}
	return best
}

// lacks says whether the fleet's budget for the lookup's next step has nothing left for us.
func (b *Balancer) lacks(l *lookup, part *allowance.Allowance) bool {
	if part.Left(int64(b.now)) >= 1 {
		return false
	}
	if l.lacks != part {
		part.Lacked()
		l.lacks = part
	}
	return true
}

// release lets those who waited for this lookup's fetch go on.
func (b *Balancer) release(lkp int) {
	l := &b.lookups[lkp]
	if !l.fetching {
		return
	}
	l.fetching = false
	q := b.fetches[l.key]
	delete(b.fetches, l.key)
	for _, w := range q {
		b.lookups[w].waiting, b.lookups[w].missed = false, false // the value may be stored by now
		b.advance(w)
	}
}

// ---- What happens ----

// Lookup takes a client's lookup, which is owed one final answer from now on.
func (b *Balancer) Lookup(now Time, lkp int, in Lookup) {
	b.clock(now)
	for lkp >= len(b.lookups) {
		b.lookups = append(b.lookups, lookup{})
	}
	l, ns := &b.lookups[lkp], &b.spaces[in.Namespace]
	*l = lookup{Lookup: in, live: true, arrived: now, giveUp: in.Limit, work: 1, shots: l.shots[:0]}
	if ns.late == 0 && ns.kind == replayable {
		// Two ticks early, so that a deferral is still inside the target time.
		l.giveUp = min(in.Limit, now+ns.target-2*term(b.terms, "tick", Time(0)))
	}
	if l.point = b.draw() * bins; in.Key != "" {
		l.key = xxhash.Sum64String(in.Key) | 1
		l.point = pointOf(l.key)
		b.learn(l.point)
	}
	if in.Work > 0 {
		ns.work, ns.asked = ns.work+in.Work, ns.asked+1
		l.work = in.Work * ns.asked / ns.work
	}
	sure := false
	if in.Partner >= 0 && b.partners[in.Partner].part != nil {
		if b.lacks(l, b.partners[in.Partner].part) {
			b.finish(lkp)
			return
		}
		b.partners[in.Partner].part.Spend()
	} else if in.Partner >= 0 {
		p, carry := &b.partners[in.Partner], b.carry(in.Partner)
		p.room = min(p.rate+shareLeast, p.room+p.rate*seconds(now-p.at)) - 1
		p.most = min(p.rate*carry+shareLeast, p.most+p.rate*carry*seconds(now-p.at)) - 1
		p.at = now
		p.asked++
		if p.room < 0 {
			l.over, p.room = true, p.room+1
		}
		if p.most < 0 {
			sure, p.most = true, p.most+1
		}
	}
	ease := easeSteps * b.ease
	if sure {
		ease -= easeSteps - 1
	}
	if l.over && b.draw() >= ease {
		b.finish(lkp)
	} else {
		b.advance(lkp)
	}
}

// carry tells how many even parts of the traffic we carry. Clients are dealt out unevenly, and more of them
// come when other nodes are lost: then the other partners send more than their even parts too.
func (b *Balancer) carry(of int) float64 {
	asked, due := 0.0, 0.0
	for i, p := range b.partners {
		if i != of {
			asked, due = asked+b.rate(p.asked), due+p.rate
		}
	}
	if due == 0 {
		return 1
	}
	return max(1, asked/due)
}

// Sent tells that a long lookup's shot is out whole, or ends before: its time counts from here, and its lookup's.
func (b *Balancer) Sent(now Time, lkp, number int) {
	t := &b.lookups[lkp].shots[number]
	b.lookups[lkp].arrived, t.sent = now, now
	b.count(b.servers[t.server], 1)
}

// Settled tells how a shot ended, and whether the lookup is over.
func (b *Balancer) Settled(now Time, lkp, number int, code Code, ended bool) {
	b.clock(now)
	l := &b.lookups[lkp]
	t := &l.shots[number]
	t.out, t.notRun = false, code == Full || code == Unconnected || code == Unsent || code >= Missing
	s := b.servers[t.server]
	if code != Withheld {
		s.took += (now - t.sent - s.took) / 8
	}
	if s.links.Ended(int64(s.took)); s.origin {
		b.parts[OriginRoom].Ended(int64(s.took))
	}
	// Crowded caches slow down, so the room shrinks until their answers are quick again.
	slow := code != Withheld && now-t.sent > Time(calmPart*float64(b.spaces[l.Namespace].target))
	if code == TimedOut && !slow {
		code = CalledOff // the lookup had little time left, which says nothing of the server
	}
	b.judge(s, number, code)
	none := code == Unconnected || code == Crowded
	s.held, s.quietAt = !none && code != Unheard, now
	switch need := b.rate(s.answers) * seconds(s.took); {
	case s.origin: // all nodes share it and are always at work there: what one has beyond its need never idles out
		b.host.HangUp(t.server, 1+int(need+math.Sqrt(need)))
	case none: // not where the server is dead or cut off: then none is short of connections
		b.giveBack()
	case s.inFlight == 0 && b.keep < keepLeast:
		s.held = false
		b.host.HangUp(t.server, 0)
	}
	switch {
	case code == Withheld && s.Since <= t.begun: // it gives back what it took, but to no server that has begun since
		if s.budget += l.work; number > 0 && !l.missed {
			s.credit = min(creditMost, s.credit+1)
		}
	case code == Crowded: // what it took connections for is what it has room for
		s.calm = min(s.calm, max(1, float64(s.inFlight)))
	case slow && code == TimedOut: // all nodes must let go of it before it works for nobody
		s.calm = max(calmLeast, s.calm*(1-calmStop))
	case slow || code == Full:
		s.calm = max(calmLeast, s.calm*(1-calmLost))
	case code == Answered || code == Missing: // a failure may be quick as well
		won := calmWon
		if s.origin && s.calm < originOwn {
			won = originWon
		}
		s.calm = min(calmMost, s.calm+won)
	}
	l.missed = l.missed || code == Missing
	switch {
	case !l.live:
	case ended:
		b.feel(l, now-l.arrived <= b.spaces[l.Namespace].target)
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
			b.host.HangUp(i, 0)
		}
	}
}

// Left tells that a lookup is over without us.
func (b *Balancer) Left(now Time, lkp int) {
	b.clock(now)
	if b.lookups[lkp].live {
		b.end(lkp)
	}
}

// Rests tells that a server is a suspect, and gets a trial at the most.
func (b *Balancer) Rests(server int) bool { return b.servers[server].rest > 0 }

// Tried tells how another node's trial of a server went, and until when to wait for its next.
func (b *Balancer) Tried(now Time, server int, well bool, next Time) {
	if s := b.servers[server]; well {
		s.restEnd = min(s.restEnd, now)
	} else if s.rest > 0 {
		s.restEnd = max(s.restEnd, min(next, now+suspectMost)) // no word from outside holds for long
	}
}

// Part tells how much of a budget of the fleet is ours, in place of our even part; partner is whose lookups it
// bounds, if any's. It gives what was asked of the bound since the last time, of servers the most at any one.
func (b *Balancer) Part(now Time, of Bound, partner int, p allowance.Part) (u allowance.Use) {
	b.clock(now)
	if of == PartnerRate {
		return allowance.Set(&b.partners[partner].part, int64(now), p)
	}
	u = allowance.Set(&b.parts[of], int64(now), p)
	for _, s := range b.servers {
		if s != nil && !s.origin && of == ColdRate {
			u = u.Max(allowance.Set(&s.cold, int64(now), p))
		} else if s != nil && !s.origin && of == CacheRoom {
			u = u.Max(allowance.Set(&s.links, int64(now), p))
		}
	}
	return u
}

// Alarm comes at or after a time asked for with Wake; a stale one does nothing.
func (b *Balancer) Alarm(now Time, handle int) {
	b.clock(now)
	if handle == listHandle && !b.subscribed && now >= b.askDue {
		if !b.lacks(&lookup{}, b.parts[ListRate]) {
			b.parts[ListRate].Spend()
			b.host.Subscribe()
		}
		b.askDue = now + b.askWait/2 + Time(b.draw()*float64(b.askWait/2))
		b.host.Wake(b.askDue, listHandle)
	} else if i := handle - 1; i >= 0 && i < len(b.lookups) && b.lookups[i].waiting && now >= b.lookups[i].giveUp {
		b.finish(i)
	}
}

// clock moves the time on and does what is due.
func (b *Balancer) clock(now Time) {
	b.now = now
	if now >= b.klDue {
		b.klDue = now + klSpan
		b.adapt()
	}
	if now < b.halved+halveSpan {
		return
	}
	sum, warm := 0.0, 0
	for _, i := range b.ready {
		if s := b.servers[i]; b.coldShare(s) == 1 {
			sum, warm = sum+b.rate(s.firsts), warm+1
		}
	}
	b.perCache = sum / float64(max(1, warm))
	for _, s := range b.servers {
		if s != nil {
			s.answers, s.firsts = s.answers/2, s.firsts/2
		}
	}
	for i := range b.partners {
		b.partners[i].asked /= 2
	}
	b.halved = now
}

// judge learns from an outcome, late ones too.
func (b *Balancer) judge(s *server, number int, code Code) {
	b.count(s, -1)
	s.trial = false
	switch code {
	case Answered, Missing:
		s.strikes, s.rest = 0, 0
		b.keep = min(keepMost, b.keep+keepWon)
		s.credit = min(creditMost, s.credit+creditEarned)
		if s.answers++; number == 0 {
			s.firsts++
		}
	case Full, Crowded:
		s.strikes, s.rest = 0, 0
	case Unconnected, Unheard, Broken:
		b.strike(s, strikesOut)
	case TimedOut, Errored:
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
