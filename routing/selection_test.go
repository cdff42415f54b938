package routing

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"

	"github.com/cespare/xxhash/v2"
)

// Random runs: outcomes of every code, restarts, drains, list failures, fleets that double, lost clients and
// stale alarms and odd orders of events, as one of two nodes and of a thousand. The fake checks the rules.
func TestRulesHoldInRandomRuns(t *testing.T) {
	run := func(seed int64) bool {
		f := newFakeHost(seed, 1+int(uint64(seed)%7))
		if seed%3 == 0 {
			f.b.nodeCount, f.b.initialLimit = 1000, 1
		}
		for n := 0; n < 800 && len(f.faults) == 0; n++ {
			f.step()
		}
		for n := 0; n < 100 && len(f.faults) == 0; n++ {
			f.advance(10 * Millisecond)
		}
		for i, c := range f.requests {
			if !c.ended && len(f.faults) == 0 {
				f.faultf("lookup %d was lost", i)
			}
		}
		for i, s := range f.b.servers {
			if s != nil && s.inFlight != 0 && len(f.faults) == 0 {
				f.faultf("server %d counts %d in flight though nothing is out", i, s.inFlight)
			}
		}
		t.Log(seed, f.faults)
		return len(f.faults) == 0
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 300, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// Three hundred nodes of one fleet, a few of which carry far more than the rest: in sum they must spare a
// cache that starts cold, whatever each may do at least, and the origin while it does not answer.
func TestSumOverAFleet(t *testing.T) {
	const nodes, cold, stop, steps, window = 300, 30, 90, 120, 15 // in tenths of a second
	var fleet [nodes]*fakeHost
	for i := range fleet {
		fleet[i] = newFakeHost(int64(i), 4)
		fleet[i].b.nodeCount, fleet[i].b.initialLimit = nodes, 1
	}
	rnd, sent, fetches := rand.New(rand.NewSource(1)), [5][steps + 1]float64{}, 0 // shots at each by then
	for step := range steps {
		for s := range sent {
			sent[s][step+1] = sent[s][step]
		}
		for i, f := range fleet {
			if f.now += 100 * Millisecond; step == cold {
				f.endpoints[0].StartedAt = f.now
				f.b.UpdateEndpoints(f.now, Incremental, f.endpoints[:1])
			}
			for range rnd.Intn(2) + 3*(i%50/49) {
				lkp, c := f.request(0, fmt.Sprint("k", rnd.Intn(500)), false, f.now+80000)
				for n := 0; n < len(c.attempts); n++ {
					at := c.attempts[n].server
					if sent[at][step+1]++; at < 4 || step < stop {
						f.attemptDone(lkp, n, []Result{Served, NotFound}[rnd.Intn(2)*min(1, 4-at)])
					} else {
						fetches++
					}
				}
			}
		}
	}
	most := 4 * 0.2 * sent[1][cold] / cold * window // factor x cold share x what a warm one is seen to bear
	for at := cold; at+window <= steps; at++ {
		if got := sent[0][at+window] - sent[0][at]; got > most {
			t.Errorf("step %d: %g shots in a window at the cold cache, at most %g", at, got, most)
		}
	}
	if sent[0][steps] == sent[0][steps-window] || fetches > maxUnmeasuredFetches*nodes {
		t.Errorf("the cold cache must warm up, and %d fetches are out at a stopped origin", fetches)
	}
}

// The lazy fade gives what the plain definition gives.
func TestLazyScalingGivesThePlainWeights(t *testing.T) {
	b := newFakeHost(1, 5).b
	plain := slices.Repeat([]float64{1.0 / binCount}, binCount)
	rnd := rand.New(rand.NewSource(1))
	for range 4000 {
		at := rnd.Intn(1 + rnd.Intn(binCount))
		b.learnPoint(float64(at) + 0.5)
		for i := range plain {
			plain[i] *= 1 - b.alpha
		}
		plain[at] += b.alpha
	}
	for i, want := range plain {
		if got := b.binWeights[i] * b.weightScale; math.Abs(got-want) > 1e-9 {
			t.Fatalf("bin %d: %g, want %g", i, got, want)
		}
	}
}

// In steady demand all that was seen weighs alike, a hot key's bin too; when other keys become popular the bins forget
// within some seconds.
func TestAlphaFollowsTheDemand(t *testing.T) {
	for _, each := range []int{30, 200} { // lookups between two comparisons
		b := newFakeHost(1, 5).b
		rnd := rand.New(rand.NewSource(1))
		ask := func(spans, from int) {
			for range spans {
				for range each {
					at := from + rnd.Intn(1+rnd.Intn(binCount/2))
					if rnd.Intn(8) == 0 {
						at = from + 77
					}
					b.learnPoint(float64(at) + 0.5)
				}
				b.adaptToDemand()
			}
		}
		if ask(100, 0); b.alpha > 1.2/float64(100*each) {
			t.Errorf("%d a span: alpha %g in steady demand, want about %g", each, b.alpha, 1/float64(100*each))
		}
		before := b.alpha
		if ask(4, binCount/2); b.alpha < 20*before {
			t.Errorf("%d a span: alpha %g after a shift, %g before", each, b.alpha, before)
		}
		b.rememberedRequests = 1
		if b.learnPoint(1); b.alpha != 1.0/100 {
			t.Errorf("alpha %g, want its bound", b.alpha)
		}
		b.rememberedRequests = 1e9
		if b.learnPoint(1); b.alpha != minAlpha {
			t.Errorf("alpha %g, want its floor", b.alpha)
		}
	}
}

func TestRangeEnds(t *testing.T) {
	for _, c := range []struct {
		weight map[int]float64 // the rest is 0
		want   []float64
	}{
		{nil, []float64{500, 1000, 1500, 2000}},
		{nil, []float64{2000}},
		{map[int]float64{10: 1, 11: 3}, []float64{11 + 1.0/3, 2000}},
		{map[int]float64{7: 1}, []float64{7.25, 7.5, 7.75, 2000}},
	} {
		b := newFakeHost(1, len(c.want)).b
		if c.weight != nil {
			b.binWeights = make([]float64, binCount)
		}
		for i, w := range c.weight {
			b.binWeights[i] = w
		}
		b.recomputeRanges()
		for i, want := range c.want {
			if math.Abs(b.rangeEnds[i]-want) > 1e-6 {
				t.Errorf("cuts %v, want %v", b.rangeEnds, c.want)
				break
			}
		}
	}
}

// conn_squeeze: three hundred nodes held what few connections sixty boxes took, and found none at the others. A node
// that finds none gives back what has been idle for as long as it keeps them, the sooner the more often it finds none.
func TestIdleConnectionsAreClosedWhereConnectsFail(t *testing.T) {
	f := newFakeHost(1, 4)
	use := func(server int, code Result) {
		f.b.servers[server].ejectionTime, f.b.servers[server].concurrencyLimit = 0, maxConcurrencyLimit
		lkp, c := f.request(1, key(f.b, server), false, f.now+5000)
		if f.attemptDone(lkp, 0, code); !c.ended {
			f.attemptDone(lkp, 1, Served)
		}
	}
	gave := func(what string, want int) {
		t.Helper()
		if f.closedIdle != want {
			t.Errorf("%s: %d hung up, want %d", what, f.closedIdle, want)
		}
		f.closedIdle = 0
	}
	use(0, Served)
	use(1, Served)
	f.advance(2 * maxIdleTimeout)
	gave("none is scarce", 0)
	use(0, Served)
	use(2, ConnectFailed)
	gave("one has idled for long, one not", 1)
	use(2, ConnectFailed)
	gave("none has idled since", 0)
	use(1, Served)
	for f.b.idleTimeout >= 2*minIdleTimeout {
		use(2, ConnectFailed)
	}
	f.advance(f.b.idleTimeout)
	f.closedIdle = 0
	use(2, ConnectFailed)
	gave("all that idled", 3) // the origin's as well
	f.b.idleTimeout = minIdleTimeout - 2*idleTimeoutIncrease
	use(0, Served)
	gave("at once", 1)
	for range int(minIdleTimeout / idleTimeoutIncrease) {
		use(1, Served)
	}
	f.closedIdle = 0
	use(0, Served)
	gave("connects succeed again", 0)
}

// split: a zone that was cut off took no connection, and nodes gave back what they held at all others.
func TestConnectTimeoutClosesNoIdleConnections(t *testing.T) {
	for code, want := range map[Result]int{ConnectTimeout: 0, ConnectFailed: 1, ConnectionLimit: 1} {
		f := newFakeHost(1, 3)
		lkp, _ := f.request(0, key(f.b, 0), false, f.now+5000)
		f.attemptDone(lkp, 0, Served)
		f.advance(maxIdleTimeout)
		lkp, c := f.request(0, key(f.b, 1), false, f.now+5000)
		f.attemptDone(lkp, 0, code)
		if f.closedIdle != want || (f.b.idleTimeout < maxIdleTimeout) != (want > 0) || c.attempts[0].mayHaveRun() {
			t.Errorf("code %d: %d hung up, want %d; kept for %d", code, f.closedIdle, want, f.b.idleTimeout)
		}
		if rests := f.b.servers[1].ejectionTime > 0; rests != (code != ConnectionLimit) {
			t.Errorf("code %d: the server rests: %v", code, rests)
		}
	}
}

// calm at full size: each of three hundred nodes held three idle connections to the origin, which took 440, since one
// that fetches all the time never finds any of them idle for long. It keeps as many as it needs.
func TestFewIdleConnectionsStayOpenAtTheOrigin(t *testing.T) {
	for _, c := range []struct{ span, want int }{{400, 1}, {10, 9}} { // milliseconds between fetches of 60 each
		f := newFakeHost(1, 2)
		for n := range 60 * 400 / c.span {
			lkp, _ := f.request(0, fmt.Sprint(n), false, f.now+8000)
			f.attemptDone(lkp, 0, NotFound)
			f.now += 60 * Millisecond
			f.attemptDone(lkp, 1, Served)
			f.now += Time(c.span-60) * Millisecond
		}
		if f.connectionsKept != c.want {
			t.Errorf("a fetch each %d ms: %d connections left, want %d", c.span, f.connectionsKept, c.want)
		}
	}
}

// A server that takes no more connections has room for those it took, and says nothing of its health.
func TestConnectionLimitSetsTheConcurrencyLimit(t *testing.T) {
	f := newFakeHost(1, 2)
	s := f.b.servers[f.b.ready[0]]
	s.concurrencyLimit = 8
	var lkps []int
	for range 2 {
		lkp, _ := f.request(1, key(f.b, f.b.ready[0]), false, f.now+5000)
		lkps = append(lkps, lkp)
	}
	f.attemptDone(lkps[1], 0, ConnectionLimit)
	if c := f.requests[lkps[1]]; s.concurrencyLimit != 1 || s.ejectionTime != 0 || len(c.attempts) != 2 || c.attempts[1].server != 2 {
		t.Errorf("room %g, rest %d, shots %v: want room for one, no rest and the origin asked", s.concurrencyLimit, s.ejectionTime, c.attempts)
	}
}

// Forty nodes and more sent a twentieth of their lookups to the origin since one was out at the key's cache. Two may be,
// once quick answers have shown that the cache is calm.
func TestTwoAttemptsMayBeInFlightAtAQuickCache(t *testing.T) {
	for calm, want := range map[float64]int{2: 0, 1: 2} {
		f := newFakeHost(1, 2)
		f.b.initialLimit, f.b.servers[0].concurrencyLimit = 1, calm
		f.request(0, key(f.b, 0), false, f.now+5000)
		if _, c := f.request(0, key(f.b, 0), false, f.now+5000); len(c.attempts) != 1 || c.attempts[0].server != want {
			t.Errorf("a calm room of %g: shots %v, want one at %d", calm, c.attempts, want)
		}
	}
}

// The yards: of three hundred nodes each has a part of a lookup a second, which never made a whole one.
func TestSmallTenantShareIsSavedUp(t *testing.T) {
	f := newFakeHost(1, 4)
	f.b.config.Nodes = 300
	f.b = New(f, 1, f.now, f.b.config)
	f.b.UpdateEndpoints(f.now, Full, f.endpoints)
	f.b.admissionLevel = 0
	for i := range 20 {
		f.now += 8000 * Millisecond // 50 a second over 300 nodes: one in 6 s
		if lkp, c := f.request(0, fmt.Sprint(i), false, f.now+5000); len(c.attempts) != 1 {
			t.Fatal("a lookup inside its partner's share was taken as beyond it")
		} else {
			f.attemptDone(lkp, 0, Served)
		}
	}
}

// key finds a key whose range is the cache's.
func key(b *Balancer, server int) string {
	for i := 0; ; i++ {
		k := fmt.Sprint("key", i)
		if b.ready[b.rangeOf(keyPoint(xxhash.Sum64String(k)|1))] == server {
			return k
		}
	}
}

// Where a lookup's shots go when they end so. Server 0 owns its key; the origin comes after the caches.
func TestWhereAttemptsGo(t *testing.T) {
	plain, late := func(*Balancer) {}, func(b *Balancer) { b.servers[1].meanLatency = 200 * Millisecond }
	calm := func(calm float64) func(b *Balancer) { // of the origin, as one of many nodes sees it
		return func(b *Balancer) { b.nodeCount, b.servers[1].concurrencyLimit = 600, calm }
	}
	taken := []int{0, 0, minFleetFetches / 2}                        // all the room that the origin has
	noCredit := func(b *Balancer) { b.servers[1].retryBudget = 0.5 } // lest a jam feed itself
	for _, c := range []struct {
		name          string
		caches, space int
		out           []int // of our shots at each server
		prepare       func(b *Balancer)
		codes         []Result
		took          Time
		want          []int
	}{
		{"a busy cache is passed over", 4, 0, []int{5, 0, 0, 0, minFleetFetches / 2}, plain, nil, 0, []int{1}},
		{"or the origin asked, where it has room", 4, 0, []int{5}, plain, nil, 0, []int{4}},
		{"a jam ends the walk, lest it scatter the keys", 4, 0, []int{3, 3, 3, 3, minFleetFetches / 2}, plain, nil, 0, nil},
		{"a miss goes to the origin", 2, 0, nil, plain, []Result{NotFound}, 10, []int{0, 2}},
		{"a further shot has credit", 2, 0, taken, plain, []Result{ServerError}, 10, []int{0, 1}},
		{"a further shot has no credit", 2, 0, taken, noCredit, []Result{ServerError}, 10, []int{0}},
		// roll at full size: full caches, the next ones as full and without the value, and an origin with time to spare.
		{"a full cache, and the origin has room", 2, 0, nil, plain, []Result{Rejected}, 10, []int{0, 2}},
		{"a full cache, and it has none", 2, 0, taken, plain, []Result{Rejected}, 10, []int{0, 1}},
		// big-1 of the videos: caches that take no connection, the next ones neither, and an origin with time to spare.
		{"no connection, and the origin has room", 2, 0, nil, plain, []Result{ConnectFailed}, 10, []int{0, 2}},
		{"no connection, and it has none", 2, 0, taken, plain, []Result{ConnectFailed}, 10, []int{0, 1}},
		{"the origin has no room", 1, 0, []int{0, minFleetFetches / 2}, plain, []Result{NotFound}, 10, []int{0}},
		// Hundreds of nodes with a fetch now and then. Each needs room for chance
		// while the origin is quick, and none of them a sure one once it is slow.
		{"the origin's least room", 1, 0, []int{0, 2}, calm(3), []Result{NotFound}, 10, []int{0, 1}},
		{"less time than the origin takes", 1, 0, nil, late, []Result{NotFound}, 10, []int{0}},
		{"a slow origin", 1, 0, nil, calm(0), []Result{NotFound}, 10, []int{0}},
		{"tagged, inside its span", 2, 1, nil, plain, []Result{ServerError}, 1000, []int{0, 2}},
		{"tagged, too late", 2, 1, nil, plain, []Result{ServerError}, 2500, []int{0}},
		{"single-use, may have run", 2, 2, nil, plain, []Result{ServerError}, 10, []int{0}},
	} {
		f := newFakeHost(1, c.caches)
		k := key(f.b, 0)
		for i, n := range c.out {
			f.b.servers[i].inFlight = n
		}
		c.prepare(f.b)
		lkp, cl := f.request(c.space, k, false, f.now+5000)
		for n, code := range c.codes {
			f.now += c.took
			f.attemptDone(lkp, n, code)
		}
		var got []int
		for _, s := range cl.attempts {
			got = append(got, s.server)
		}
		if !slices.Equal(got, c.want) || len(got) == len(c.codes) && !cl.ended {
			t.Errorf("%s: shots at %v, want %v; ended %v", c.name, got, c.want, cl.ended)
		}
	}
}

// i98748e, ic385cb: caches that slow down when crowded get less until their answers are quick again.
func TestSlowAnswersLowerTheConcurrencyLimit(t *testing.T) {
	f := newFakeHost(1, 1)
	s := f.b.servers[0]
	f.b.servers[1].inFlight = 99 // no further shot goes to the origin
	for _, c := range []struct {
		after       Time
		code        Result
		least, most float64
	}{{Millisecond, ServerError, 0, s.concurrencyLimit}, {150 * Millisecond, Served, minConcurrencyLimit, 1},
		{10 * Millisecond, Served, 2, maxConcurrencyLimit}} {
		for range 120 {
			if lkp, cl := f.request(0, "a", false, f.now+5000); len(cl.attempts) > 0 {
				f.now += c.after
				f.attemptDone(lkp, 0, c.code)
			}
			f.now += 20 * Millisecond
		}
		if s.concurrencyLimit < c.least || s.concurrencyLimit > c.most {
			t.Errorf("room %g after code %d in %d, want %g to %g", s.concurrencyLimit, c.code, c.after, c.least, c.most)
		}
		s.ejectionTime, s.retryBudget = 0, maxRetryBudget
	}
}

// A crash before six hundred nodes: together they kept the origin's queue longer than their time limits.
func TestTimeoutsAtTheOriginLowerItsLimit(t *testing.T) {
	f := newFakeHost(1, 1)
	for n := range 5 {
		lkp, _ := f.request(0, fmt.Sprint(n), false, f.now+5000)
		f.attemptDone(lkp, 0, NotFound)
		f.now += 150 * Millisecond
		f.attemptDone(lkp, 1, TimedOut)
	}
	if calm := f.b.servers[1].concurrencyLimit; calm != minConcurrencyLimit {
		t.Errorf("calm room %g after five time-outs, want the least", calm)
	}
}

// tenant_burst: a partner beyond its share yields where lookups inside theirs fail, and only there.
func TestTenantBeyondItsShareIsShedFirst(t *testing.T) {
	for ease, want := range []int{25 + minTenantBurst, 40} { // 50 a second over two nodes
		f, taken := newFakeHost(1, 4), 0
		for i := range 40 {
			f.b.admissionLevel = float64(ease)
			if lkp, c := f.request(0, fmt.Sprint(i), false, f.now+5000); len(c.attempts) > 0 {
				taken++
				f.attemptDone(lkp, 0, Served)
			}
		}
		if taken != want {
			t.Errorf("ease %d: %d taken, want %d", ease, taken, want)
		}
	}
}

// zone_loss: nodes that carried twice their part, since others were lost, took half of it for beyond the shares. What
// the other partner sends tells; only what is beyond that too yields as soon as lookups find no room.
func TestNodeThatCarriesMoreShedsLater(t *testing.T) {
	for _, c := range []struct {
		others, ease float64
		want         int
	}{{0, 1, 60}, {0, 0.7, 30}, {100, 0.7, 60}, {100, 0, 30}} { // in 1.2 s, where the even part is 25 a second
		f, taken := newFakeHost(1, 4), 0
		f.b.tenants[1].evenRate, f.b.tenants[0].evenTokens, f.b.tenants[0].carriedTokens = 25, 0, 0
		for i := range 60 {
			f.now += 20 * Millisecond
			f.b.admissionLevel, f.b.tenants[1].requests = c.ease, c.others
			if lkp, asked := f.request(0, fmt.Sprint(i), false, f.now+5000); len(asked.attempts) > 0 {
				taken++
				f.attemptDone(lkp, 0, Served)
			}
		}
		if taken < c.want-1 || taken > c.want+1 {
			t.Errorf("others send %g, ease %g: %d taken, want %d", c.others, c.ease, taken, c.want)
		}
	}
}

// A shot that was withheld says nothing of its server, however long it waited for a connection, and gives back the room, the
// credit and the cold budget that it took; one whose server has begun anew since gives that nothing.
func TestWithheldAttemptIsRefunded(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		f := newFakeHost(1, 2)
		k := key(f.b, 0)
		for _, s := range f.b.servers[:2] {
			s.StartedAt, s.slowStartTokens, s.slowStartRefilledAt = f.now-100*Millisecond, 3, f.now
		}
		f.b.warmCacheRate = 1000
		f.b.servers[2].inFlight = 99
		lkp, c := f.request(0, k, false, f.now+9000)
		f.attemptDone(lkp, 0, ServerError) // further shots cost credit
		if len(c.attempts) != 2 {
			t.Fatalf("%d shots, want a further one", len(c.attempts))
		}
		s := f.b.servers[c.attempts[1].server]
		credit, budget, calm, took := s.retryBudget, s.slowStartTokens, s.concurrencyLimit, s.meanLatency
		f.now += 150 * Millisecond // slow
		if restarted {
			f.endpoints[c.attempts[1].server].StartedAt = f.now - Millisecond
			f.b.UpdateEndpoints(f.now, Incremental, f.endpoints)
			s = f.b.servers[c.attempts[1].server]
			credit, budget = s.retryBudget-1, s.slowStartTokens-1
		}
		f.attemptDone(lkp, 1, Withheld)
		if s.inFlight != 0 || s.retryBudget != credit+1 || s.slowStartTokens != budget+1 || s.concurrencyLimit != calm || s.meanLatency != took && !restarted ||
			s.consecutiveFailures != 0 || s.ejectionTime != 0 || len(f.faults) > 0 {
			t.Errorf("restarted %v: in flight %d, credit %g of %g, budget %g of %g, calm %g of %g, took %d of %d, strikes %d, %v", restarted,
				s.inFlight, s.retryBudget, credit+1, s.slowStartTokens, budget+1, s.concurrencyLimit, calm, s.meanLatency, took, s.consecutiveFailures, f.faults)
		}
	}
}

// h1fdc83, ib55e28: lookups lost at a few silent boxes made all nodes turn away what they held for beyond a share.
func TestTimeoutsLowerTheAdmissionLevelLess(t *testing.T) {
	for _, c := range []struct {
		code  Result
		after Time
		least float64
	}{{TimedOut, 200 * Millisecond, 0.8}, {Rejected, Millisecond, 0.4}} {
		f := newFakeHost(1, 1)
		for range 5 {
			f.b.servers[0].ejectionTime, f.b.servers[0].concurrencyLimit, f.b.servers[1].inFlight = 0, maxConcurrencyLimit, 99
			lkp, _ := f.request(0, "", false, f.now+5000)
			f.now += c.after
			f.attemptDone(lkp, 0, c.code)
		}
		if f.b.admissionLevel < c.least || f.b.admissionLevel > c.least+0.2 {
			t.Errorf("code %d: an ease of %.2f, want %.1f or a little more", c.code, f.b.admissionLevel, c.least)
		}
	}
}

// crash: a broken connection makes a suspect; after its rest one replayable lookup tries it out.
func TestOutlierIsEjectedThenProbed(t *testing.T) {
	f := newFakeHost(1, 2)
	k := key(f.b, 0)
	f.b.servers[2].inFlight = 99
	lkp, c := f.request(0, k, false, f.now+5000)
	if f.attemptDone(lkp, 0, ConnectionBroken); len(c.attempts) != 2 || c.attempts[1].server != 1 {
		t.Fatal("the lookup must go on at the next range's cache")
	}
	for _, c := range []struct {
		what        string
		pass        Time
		space, want int
	}{{"at rest it is passed over", minEjectionTime - 1, 0, 1}, {"single-use lookups don't try it out", 1, 2, 1},
		{"the first replayable one does", 0, 0, 0}, {"one trial at a time", 0, 0, 1}} {
		f.now += c.pass
		f.b.servers[1].inFlight = 0
		if _, cl := f.request(c.space, k, false, f.now+5000); cl.attempts[0].server != c.want {
			t.Errorf("%s: shot at %d, want %d", c.what, cl.attempts[0].server, c.want)
		}
	}
}

// Another node tries a suspect for all: bad news prolongs its rest, for a bounded time, and good news ends it, so that one
// lookup of our own tries it. What doesn't rest here is not touched.
func TestProbeByAnotherNode(t *testing.T) {
	const bad, good, forever = 2000 * Millisecond, 0, 1 << 40
	for _, c := range []struct {
		what  string
		rests bool
		next  Time // good: it went well
		after Time
		want  int
	}{{"in silence its own rest counts", true, -1, minEjectionTime, 0}, {"bad news", true, bad, bad - 1, 1},
		{"after bad news, and silence since", true, bad, bad, 0}, {"bad news for ever", true, forever, maxEjectionTime, 0},
		{"good news", true, good, 1, 0}, {"bad news of a sound one", false, bad, 1, 0}} {
		f := newFakeHost(1, 2)
		k := key(f.b, 0)
		if c.rests {
			lkp, _ := f.request(0, k, false, f.now+5000)
			f.attemptDone(lkp, 0, ConnectionBroken)
		}
		if c.next >= 0 {
			f.b.ProbeResult(f.now, 0, c.next == good, f.now+c.next)
		}
		f.now += c.after
		f.b.servers[1].inFlight = 0
		if _, cl := f.request(0, k, false, f.now+5000); cl.attempts[0].server != c.want {
			t.Errorf("%s: shot at %d, want %d", c.what, cl.attempts[0].server, c.want)
		}
	}
}

// One fetch a key: the second lookup waits for the first one's and then asks the cache again.
// Shots come by chance: where four are in flight in the mean, six often are, and a room of four would defer a third.
func TestInFlightLimitAllowsForRandomVariation(t *testing.T) {
	f := newFakeHost(1, 1)
	s := f.b.servers[0]
	s.concurrencyLimit, s.answers, f.b.decayedAt = maxConcurrencyLimit, 80, f.b.now // 80 a second, for a quarter of 200 ms
	if got := f.b.inFlightLimit(&requestState{}, s); math.Abs(got-6) > 0.01 {
		t.Errorf("a room of %.2f, want 4 and 2 for chance", got)
	}
}

// quiet of the yards: nodes that fetch once a second deferred one miss in eight for the first twenty seconds.
func TestOriginLimitGrowsWithTheFirstAnswers(t *testing.T) {
	f := newFakeHost(1, 1)
	for n := range 4 {
		lkp, _ := f.request(0, fmt.Sprint(n), false, f.now+5000)
		f.attemptDone(lkp, 0, NotFound)
		f.now += 10 * Millisecond
		f.attemptDone(lkp, 1, Served)
	}
	if calm := f.b.servers[1].concurrencyLimit; calm < maxUnmeasuredFetches || calm > maxUnmeasuredFetches+0.5 {
		t.Errorf("calm room %.1f after four quick answers, want %g or a little more", calm, maxUnmeasuredFetches)
	}
}

// rough-1 of the videos: segments, which may take 2.5 s, filled the origin and held up playlists, which may take 0.15.
func TestPatientReadsDontDelayOthersAtTheOrigin(t *testing.T) {
	f := newFakeHost(1, 1)
	f.b.classes[0].LatencyTarget = 2500 * Millisecond // the others have 200 ms
	o := f.b.servers[1]
	o.answers, f.b.decayedAt, o.inFlight = 100, f.b.now, 13 // 100 a second, for 0.6 of 200 ms
	lkp, c := f.request(0, "k", false, f.now+50000)
	if f.attemptDone(lkp, 0, NotFound); len(c.attempts) != 1 || !c.ended {
		t.Errorf("shots %v, want the origin spared", c.attempts)
	}
	o.inFlight = 11
	lkp, c = f.request(0, "k", false, f.now+50000)
	if f.attemptDone(lkp, 0, NotFound); len(c.attempts) != 2 {
		t.Errorf("shots %v, want one at the origin", c.attempts)
	}
}

// Clients that give up early: a shot that ends with its lookup's little time says nothing of its server.
func TestShortTimeoutIsNoFailure(t *testing.T) {
	f := newFakeHost(1, 1)
	for _, c := range []struct {
		span    Time
		strikes int
	}{{300, 0}, {300, 0}, {900, 1}, {300, 1}, {900, 2}} {
		f.b.servers[0].concurrencyLimit = maxConcurrencyLimit
		lkp, asked := f.request(0, "k", false, f.now+c.span)
		if len(asked.attempts) != 1 || asked.attempts[0].server != 0 {
			t.Fatalf("%d strikes: shots %v", f.b.servers[0].consecutiveFailures, asked.attempts)
		}
		f.now += c.span
		f.attemptDone(lkp, 0, TimedOut)
		if got := f.b.servers[0].consecutiveFailures; got != c.strikes {
			t.Errorf("after %d tenths of a millisecond: %d strikes, want %d", c.span, got, c.strikes)
		}
	}
}

func TestFetchesOfAKeyAreCoalesced(t *testing.T) {
	f := newFakeHost(1, 1)
	first, c1 := f.request(0, "a", false, f.now+5000)
	f.attemptDone(first, 0, NotFound)
	_, c2 := f.request(0, "a", false, f.now+5000)
	_, c3 := f.request(1, "a", false, f.now+100*Millisecond)
	f.advance(101 * Millisecond)
	if c1.attempts[1].server != 1 || len(c2.attempts)+len(c3.attempts) != 0 || !c3.ended {
		t.Fatal("want one shot at the origin, and who waits answered at its time limit")
	}
	if f.attemptDone(first, 1, Served); len(c2.attempts) != 1 || c2.attempts[0].server != 0 {
		t.Fatal("the one that waited must go to the cache")
	}
}

// A hot key at a fleet of few nodes: all its lookups waited for one that went to the origin since its cache was full,
// and met the cache together when that was back.
func TestNobodyWaitsForAnAttemptWithoutAMiss(t *testing.T) {
	f := newFakeHost(1, 1)
	lkp, c1 := f.request(0, "a", false, f.now+5000)
	f.attemptDone(lkp, 0, Rejected)
	_, c2 := f.request(0, "a", false, f.now+5000)
	if len(c1.attempts) != 2 || c1.attempts[1].server != 1 || len(c2.attempts) != 1 || c2.attempts[0].server != 0 {
		t.Errorf("shots %v and %v, want one at the origin and one at the cache", c1.attempts, c2.attempts)
	}
}

// A write that a server has nothing for took over the note of its key's fetch, and who waited for that was lost.
func TestWriteKeepsTheWaitersOfAFetch(t *testing.T) {
	f := newFakeHost(1, 1)
	fetch, _ := f.request(0, "a", false, f.now+5000)
	f.attemptDone(fetch, 0, NotFound)
	_, waits := f.request(0, "a", false, f.now+5000)
	write, _ := f.request(0, "a", true, f.now+5000)
	f.attemptDone(write, 0, NotFound)
	if f.attemptDone(fetch, 1, Served); len(waits.attempts) != 1 {
		t.Error("the lookup that waited was not let go")
	}
}

// overload: told to stay away for long, a client deferred early came back too late to be answered in time.
func TestRetryAfter(t *testing.T) {
	f := newFakeHost(1, 1)
	f.b = New(f, 1, f.now, f.b.config) // no list has come yet, and none may spoil the histogram
	if _, c := f.request(0, "a", false, f.now+5000); c.retryAfter < 20*Millisecond || c.retryAfter > 40*Millisecond ||
		math.IsInf(f.b.binWeights[0], 0) || f.b.weightScale == 0 {
		t.Errorf("retry after %d, want a tenth to a fifth of the target time", c.retryAfter)
	}
	f = newFakeHost(1, 1)
	f.b.servers[1].inFlight = 99
	lkp, c := f.request(0, "a", false, f.now+5000)
	f.now += 150 * Millisecond
	if f.attemptDone(lkp, 0, Rejected); c.retryAfter != 400*Millisecond {
		t.Errorf("retry after %d, want the longest once the time is gone", c.retryAfter)
	}
}

// A failed call to the list is made again, later each time, and no more once one went through.
// Another box under an index that was given back has none of its predecessor's past.
func TestReusedIndexHasNoPast(t *testing.T) {
	f := newFakeHost(1, 2)
	s := f.b.servers[0]
	s.consecutiveFailures, s.ejectionTime, s.ejectedUntil, s.retryBudget = 2, maxEjectionTime, f.now+maxEjectionTime, 0
	f.b.UpdateEndpoints(f.now, Incremental, []Endpoint{{Server: 0, ID: "10.0.0.00"}})
	if f.b.servers[0].ejectionTime == 0 {
		t.Error("the same box lost its past")
	}
	f.b.UpdateEndpoints(f.now, Incremental, []Endpoint{{Server: 0, ID: "10.0.0.99"}})
	if s := f.b.servers[0]; s.ejectionTime != 0 || s.consecutiveFailures != 0 || s.retryBudget != maxRetryBudget {
		t.Errorf("another box has %+v", s)
	}
}

// A long body that is still coming is no load for its server: it counts, and is timed, from its last byte on.
func TestStreamedBodyCountsFromItsLastByte(t *testing.T) {
	f := newFakeHost(1, 3)
	origin := f.b.servers[3]
	f.requests = append(f.requests, &fakeRequest{idempotence: IdempotentByKey, streaming: true})
	f.b.Request(f.now, 0, Request{Class: 1, Tenant: 1, Write: true, Streaming: true, Deadline: f.now + 90000})
	f.requests[0].deadline = f.now + 90000
	if len(f.requests[0].attempts) != 1 || origin.inFlight != 0 {
		t.Fatalf("%d shots, %d in flight", len(f.requests[0].attempts), origin.inFlight)
	}
	f.now += 40000 // slower than any server
	calm, took, ease := origin.concurrencyLimit, origin.meanLatency, f.b.admissionLevel
	f.bodySent(0, 0)
	if origin.inFlight != 1 {
		t.Errorf("%d in flight", origin.inFlight)
	}
	f.now += 100
	f.attemptDone(0, 0, Served)
	if origin.inFlight != 0 || origin.meanLatency > took+100 || origin.concurrencyLimit < calm || f.b.admissionLevel < ease {
		t.Errorf("%d in flight, took %v, calm %g to %g, ease %g to %g", origin.inFlight, origin.meanLatency, calm, origin.concurrencyLimit,
			ease, f.b.admissionLevel)
	}
}

// A long body's last byte may come long after its first, from which its server may know its tag: a repeat is bounded from the
// order of the first shot. So is what a withheld shot gives back: nothing to a server that has started since.
func TestStreamedAttemptStartsWhenOrdered(t *testing.T) {
	for _, c := range []struct {
		body  Time // from the first byte to the last
		shots int
	}{{dedupWindow / 4, 2}, {dedupWindow/2 + 10, 1}, {dedupWindow + 10, 1}} {
		f := newFakeHost(1, 3)
		f.requests = append(f.requests, &fakeRequest{idempotence: IdempotentByKey, streaming: true, deadline: f.now + 90000})
		f.b.Request(f.now, 0, Request{Class: 1, Tenant: 1, Write: true, Streaming: true, Deadline: f.now + 90000})
		f.now += c.body
		f.bodySent(0, 0)
		f.now += 10
		cl := f.requests[0]
		f.attemptDone(0, 0, ServerError)
		if len(f.faults) > 0 || len(cl.attempts) != c.shots || cl.ended != (c.shots == 1) {
			t.Errorf("a body of %d, and an error: %d shots, want %d; ended %v, faults %v", c.body, len(cl.attempts), c.shots, cl.ended, f.faults)
		}
	}
	f := newFakeHost(1, 1)
	begin := func() {
		f.endpoints[0].StartedAt = f.now
		f.b.UpdateEndpoints(f.now, Incremental, f.endpoints[:1])
	}
	begin()
	f.now += 1500 * Millisecond
	f.requests = append(f.requests, &fakeRequest{idempotence: Safe, streaming: true, deadline: f.now + 90000})
	f.b.Request(f.now, 0, Request{Tenant: -1, Key: "k", Streaming: true, Deadline: f.now + 90000})
	if len(f.requests[0].attempts) != 1 || f.requests[0].attempts[0].server != 0 {
		t.Fatalf("shots %v, want one at the cold cache", f.requests[0].attempts)
	}
	f.now += 10
	begin()
	f.now += 10
	if f.attemptDone(0, 0, Withheld); f.b.servers[0].slowStartTokens != 0 {
		t.Errorf("a server that has started since was given back %g shots", f.b.servers[0].slowStartTokens)
	}
}
