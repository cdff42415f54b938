package routing

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
)

// slowStartCase is a fleet before a cache that restarts again and again.
type slowStartCase struct {
	nodes        int
	bearable     float64 // N at the start: overload factor x slow-start share x capacity x window
	overload     float64
	initialShare float64 // slow-start share at the start
	load         float64 // share of its capacity that a warm cache's usual demand takes
	hotShare     float64 // share of all requests whose keys are the cache's, beside its part of the others
	lull         float64 // times that, up to
	burst        float64 // times that, for a tenth of the slow start
	variedWork   bool    // work is distributed exponentially, and hinted
	quiet        bool    // no request has the cache's keys before the burst, and half of them do in it
	allCaches    bool    // all caches restart together
	window       Time
	rolling      bool    // the nodes are restarted one after another meanwhile
	quotaFactor  float64 // the fleet has a quota of so many times N for each cache in slow start; 0: none
	starts       int
}

const (
	slowStartCaches = 6
	overloadWindow  = 1000 * Millisecond
)

// slowStartNode is a Host that collects the attempts.
type slowStartNode struct {
	b        *Balancer
	informed bool // of the latest restart
	sent     []int
}

func (n *slowStartNode) Send(_, server int, _ Time) { n.sent = append(n.sent, server) }
func (n *slowStartNode) Reject(int, Time)           {}
func (n *slowStartNode) Fail(int)                   {}
func (n *slowStartNode) Subscribe()                 {}
func (n *slowStartNode) CloseIdle(int, int)         {}
func (n *slowStartNode) SetAlarm(Time, int)         {}

// slowStartOutcome is the result of a slowStartCase.
type slowStartOutcome struct {
	overloads int         // starts at which more work in a window than 2 x root of N and 2 beyond N
	fullest   float64     // the fullest window, as a share of that
	shares    [10]float64 // of a warm cache's attempts, by tenth of the slow start
}

// play restarts cache 0 again and again. Each request has a key of its own and is answered at once; one node in ten gets
// ten times as many as the others. What nodes send that have not learned of the restart yet does not count.
func (c slowStartCase) play() (sum slowStartOutcome) {
	rnd, now := rand.New(rand.NewSource(int64(c.nodes)*1000+int64(c.bearable))), 10000*Millisecond
	capacity := c.bearable / (c.overload * c.initialShare * seconds(overloadWindow))
	var endpoints []Endpoint
	for i := range slowStartCaches {
		endpoints = append(endpoints, Endpoint{Server: i, ID: fmt.Sprint("c", i)})
	}
	fleet, begun := make([]*slowStartNode, c.nodes), 0
	// A unit of the quota allows one at once. With fewer units than nodes they go round.
	units, from := max(1, int(c.quotaFactor*c.bearable/4)), 0
	part := func(i int) {
		has := float64(units / c.nodes)
		if (i-from+c.nodes)%c.nodes < units%c.nodes {
			has++
		}
		fleet[i].b.SetQuota(now, SlowStartRate, 0, allowance.Quota{Rate: has * c.quotaFactor * c.bearable / seconds(overloadWindow) / float64(units), Burst: has,
			Until: math.MaxInt64})
	}
	begin := func(i int) {
		n := &slowStartNode{informed: true}
		begun++
		n.b = New(n, uint64(begun), now, configOf(func(to *Config) {
			to.Nodes, to.MaxAttempts, to.SlowStartShare = c.nodes, 3, c.initialShare
			to.SlowStartWindow, to.OverloadFactor, to.OverloadWindow = c.window, c.overload, overloadWindow
			to.Classes = []Class{{Idempotence: Safe, LatencyTarget: 200 * Millisecond}}
		}))
		if fleet[i] = n; c.quotaFactor > 0 {
			part(i)
		}
		n.b.UpdateEndpoints(now, Full, endpoints)
	}
	for i := range fleet {
		begin(i)
	}
	sendUntil := func(factor, hot float64, until Time, attempt func(server int, informed bool, work float64)) {
		for {
			now += 1 + Time(rnd.ExpFloat64()/(slowStartCaches*c.load*capacity*factor)*float64(1000*Millisecond))
			if now >= until {
				now = until
				return
			}
			i := rnd.Intn(c.nodes)
			if rnd.Intn(2) == 0 {
				i = i / 10 * 10
			}
			n := fleet[i]
			key := fmt.Sprint(rnd.Int63())
			if is := rnd.Float64() < hot; is || hot < 0 {
				for (keyPoint(xxhash.Sum64String(key)|1) < binCount/slowStartCaches) != is {
					key = fmt.Sprint(rnd.Int63())
				}
			}
			work := 1.0
			if c.variedWork {
				work = rnd.ExpFloat64()
			}
			n.b.Request(now, 0, Request{Tenant: -1, Key: key, Deadline: now + 8000, Work: 20 * work})
			for k, to := range n.sent {
				attempt(to, n.informed, work)
				n.b.AttemptDone(now, 0, k, Served, true)
			}
			n.sent = n.sent[:0]
		}
	}
	sendUntil(1, c.hotShare, now+10*overloadWindow, func(int, bool, float64) {})
	for range c.starts {
		began, fell := now, false
		for i := range endpoints {
			if i == 0 || c.allCaches {
				endpoints[i].StartedAt = now
			}
		}
		for _, n := range fleet {
			n.informed = false
		}
		var arrivals []Time
		var works []float64
		const steps = 300
		high, next := rnd.Intn(steps*9/10), 0
		var attempts [10][2]float64
		for step := range steps {
			for i, n := range fleet {
				if !n.informed && (step > 2 || rnd.Intn(2) == 0) { // within four tenths of a second
					n.informed = true
					n.b.UpdateEndpoints(now, Incremental, endpoints)
				}
				if c.rolling && next*steps < step*c.nodes && i == next {
					begin(i)
					next++
				}
			}
			if c.quotaFactor > 0 && step%5 == 0 {
				was := from
				from = (from + 1) % c.nodes
				part(was)
				for i := range fleet {
					part(i)
				}
			}
			factor, hot := 1.0, c.hotShare
			if step < high {
				if factor = c.lull; c.quiet {
					hot = -1
				}
			} else if step < high+steps/10 {
				if factor = c.burst; c.quiet {
					hot = 0.5
				}
			}
			sendUntil(factor, hot, began+c.window*Time(step+1)/steps, func(server int, informed bool, work float64) {
				if server != 0 {
					attempts[step*10/steps][1] += 1.0 / (slowStartCaches - 1)
					return
				}
				if attempts[step*10/steps][0]++; !informed {
					return
				}
				arrivals, works = append(arrivals, now), append(works, work)
				for arrivals[0] <= now-overloadWindow {
					arrivals, works = arrivals[1:], works[1:]
				}
				total := 0.0
				for _, w := range works {
					total += w
				}
				bears := c.bearable * (1 + (1/c.initialShare-1)*float64(now-began)/float64(c.window))
				full := total / (bears + 2*math.Sqrt(bears) + 2)
				sum.fullest, fell = max(sum.fullest, full), fell || full > 1
			})
		}
		for i, s := range attempts {
			sum.shares[i] += s[0] / max(1, s[1]) / float64(c.starts)
		}
		if fell {
			sum.overloads++
		}
		sendUntil(1, c.hotShare, now+5*overloadWindow, func(int, bool, float64) {})
	}
	return sum
}

// Many nodes before a cache in slow start, with uneven traffic, hot keys, bursts and restarts of the nodes: the sum of
// what they send stays under N, what the settings allow in any window, and the 2 × root of N and 2 beyond that are put
// down to chance. It rises until slow start is over.
func TestAllNodesTogetherSpareACacheInSlowStart(t *testing.T) {
	plain := slowStartCase{nodes: 30, overload: 1.5, initialShare: 0.05, load: 0.7, hotShare: 0.2, lull: 1, burst: 2, rolling: true,
		window: 30000 * Millisecond}
	for _, c := range []struct {
		name   string
		bears  float64
		starts int
		change func(c *slowStartCase)
	}{
		{"N is 1", 1, 80, func(*slowStartCase) {}},
		{"one node", 1, 80, func(c *slowStartCase) { c.nodes = 1 }},
		{"one node, N is 10", 10, 10, func(c *slowStartCase) { c.nodes = 1 }},
		{"three nodes", 1, 80, func(c *slowStartCase) { c.nodes = 3 }},
		{"three nodes, N is 4", 4, 20, func(c *slowStartCase) { c.nodes = 3 }},
		{"20 nodes", 1, 40, func(c *slowStartCase) { c.nodes = 20 }},
		{"300 nodes", 1, 15, func(c *slowStartCase) { c.nodes = 300 }},
		{"300 nodes, N is 10", 10, 2, func(c *slowStartCase) { c.nodes = 300 }},
		{"N is 2", 2, 30, func(*slowStartCase) {}},
		{"N is 4, slow-start share 0.1", 4, 15, func(c *slowStartCase) { c.overload, c.initialShare = 2, 0.1 }},
		{"N is 10", 10, 4, func(*slowStartCase) {}},
		{"N is 30", 30, 1, func(*slowStartCase) {}},
		{"a burst after a lull", 1, 40, func(c *slowStartCase) { c.lull, c.burst = 0.1, 3 }},
		{"a burst on what was quiet", 2, 10, func(c *slowStartCase) { c.quiet, c.window, c.rolling = true, 120000*Millisecond, false }},
		{"all caches restart", 1, 40, func(c *slowStartCase) { c.allCaches = true }},
		{"works differ", 1, 40, func(c *slowStartCase) { c.variedWork = true }},
		{"a quota of N", 10, 3, func(c *slowStartCase) { c.quotaFactor = 1 }},
		{"a quota far beyond N", 2, 10, func(c *slowStartCase) { c.quotaFactor = 100 }},
	} {
		x := plain
		x.bearable, x.starts = c.bears, c.starts
		if testing.Short() {
			x.starts = (c.starts + 3) / 4
		}
		c.change(&x)
		s := x.play()
		t.Logf("%s: %d overloads at %d starts, the fullest window %.2f, shares %.2f", c.name, s.overloads, x.starts, s.fullest, s.shares)
		if s.overloads > 0 {
			t.Errorf("%s: the cache in slow start is overloaded at %d starts of %d, the fullest window is %.2f of what it bears", c.name, s.overloads, x.starts, s.fullest)
		}
		if s.shares[9] < slowStartMargin*x.overload/2 && x.quotaFactor == 0 || s.shares[9] == 0 {
			t.Errorf("%s: slow start must end, the cache has %.2f of a warm one's attempts", c.name, s.shares)
		}
	}
}

// A request of many times the mean work may be more than all that a cache in slow start bears: it goes elsewhere,
// until so much may be saved up.
func TestHeavyRequestSparesACacheInSlowStart(t *testing.T) {
	for _, perCache := range []float64{1, 100} {
		f, sent := newFakeHost(1, 2), map[float64]int{}
		for i := range 4000 {
			f.now += 100 * Millisecond
			s := f.b.servers[0]
			s.StartedAt, f.b.warmCacheRate, f.b.decayedAt = f.now-1000*Millisecond, perCache, f.now
			work := []float64{10, 100}[i%10/9]
			f.requests = append(f.requests[:0], &fakeRequest{idempotence: idempotences[0], deadline: f.now + 8000})
			f.b.Request(f.now, 0, Request{Tenant: -1, Key: key(f.b, 0), Work: work, Deadline: f.now + 8000})
			for n, attempt := range f.requests[0].attempts {
				if attempt.server == 0 {
					sent[work]++
				}
				f.attemptDone(0, n, Served)
			}
		}
		if sent[10] == 0 || (sent[100] > 0) != (perCache > 1) {
			t.Errorf("%g answers a second from a warm cache: light and heavy attempts at the one in slow start %v", perCache, sent)
		}
	}
}
