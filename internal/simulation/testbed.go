package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/thistlerudder/thistlerudder/routing"
)

type outcome int

const (
	resolved outcome = iota
	deferred
	abandoned
)

// testbed is one run: a policy, a seed, and all that stands round the nodes.
type testbed struct {
	e       *Experiment
	clock   *clock
	maker   maker
	servers []*server // the origin first
	nodes   []*node
	check   *checker
	series  *Series

	demand float64    // factor on the rate
	offset uint64     // of the popular keys
	rnd    *rand.Rand // the clients'; the same for all policies
	chance *rand.Rand // delays, and which servers events strike
	zipf   *rand.Zipf
	seeds  *rand.Rand
	made   int // caches so far
	sick   silenceStats

	division *division // of a budget; nil: there is none
	hot      []int     // nodes that are asked more than others
	dead     map[int]bool
}

const second = 1000 * routing.Millisecond

// Run plays an experiment under one policy and one seed.
func Run(e *Experiment, policy string, seed uint64) (*Series, error) {
	m := policies[policy]
	if m == nil {
		return nil, fmt.Errorf("policy %q: expected one of %v", policy, Policies())
	}
	return play(e, policy, m, seed), nil
}

func play(e *Experiment, policy string, m maker, seed uint64) *Series {
	w := &testbed{e: e, clock: &clock{now: origo}, maker: m, demand: 1, dead: map[int]bool{},
		seeds: rand.New(rand.NewPCG(seed, 5)),
		rnd:   rand.New(rand.NewPCG(seed, 2)), chance: rand.New(rand.NewPCG(seed, 3))}
	w.zipf = rand.NewZipf(w.rnd, e.Demand.Skew, 1, e.Demand.Keys-1)
	w.series = newSeries(e, policy, seed)
	w.check = newChecker(w)
	w.add(e.Origin, true, 0)
	for range e.Fleet.Caches {
		w.add(e.Fleet.Station, false, 0)
	}
	for i := range e.Fleet.Nodes {
		w.nodes = append(w.nodes, w.newNode(i, w.seed()))
	}
	for _, ev := range e.Events {
		w.clock.in(ev.At.ticks(), func() { w.happens(ev) })
	}
	if e.Fleet.Probe {
		w.probe()
	}
	if e.Fleet.Budget != nil {
		w.divide()
	}
	w.arrive()
	w.tick()
	w.clock.run(origo + e.Length.ticks())
	w.series.Offered, w.series.Busiest = w.check.offered, w.busiest()
	w.demand = 0 // what is out ends
	w.clock.run(w.clock.now + routing.Time(e.Demand.Tries)*(e.Demand.Limit.ticks()+3*e.Demand.Target.ticks()) + second)
	w.check.close()
	w.series.Sick = w.sick
	if w.division != nil {
		w.series.Use = &w.division.use
	}
	w.series.Broken, w.series.Faults = w.check.broken, w.check.faults
	return w.series
}

// busiest gives the shots at the busiest of the caches that were there all the time, over their mean.
func (w *testbed) busiest() float64 {
	most, sum, n := 0, 0, 0
	for _, s := range w.servers {
		if !s.origin && s.box.StartedAt == 0 && s.box.State == routing.Ready {
			most, sum, n = max(most, s.jobs), sum+s.jobs, n+1
		}
	}
	return float64(most) * float64(n) / float64(max(1, sum))
}

// seed gives the next node or server one of its own.
func (w *testbed) seed() uint64 { return w.seeds.Uint64() }

// add starts a server; since 0 says that it has run for long.
func (w *testbed) add(of Station, origin bool, since routing.Time) {
	i := len(w.servers)
	s := &server{clock: w.clock, rnd: rand.New(rand.NewPCG(w.seed(), 4)), of: of, origin: origin, miss: w.e.Fleet.Miss,
		coldShare: w.e.Fleet.ColdShare, warmUp: w.e.Fleet.WarmUp.ticks(), slow: 1, values: newValues(w.e.Fleet.Keep),
		working: map[int]job{}, box: routing.Endpoint{Server: i, ID: "origin", Model: 1, StartedAt: since}}
	if !origin {
		w.made++
		s.box.ID, s.box.Model = fmt.Sprintf("c-%08x", w.chance.Uint32()), 0
	}
	w.servers = append(w.servers, s)
}

// boxes is the list as the discovery service has it.
func (w *testbed) boxes() (list []routing.Endpoint) {
	for _, s := range w.servers {
		if s.box.State != routing.Gone {
			list = append(list, s.box)
		}
	}
	return list
}

// delay is how long a node takes to hear of something.
func (w *testbed) delay() routing.Time {
	return routing.Time(w.chance.Float64() * float64(w.e.Network.Notice.ticks()))
}

// tell brings a change of the list to each node, to each in its own time and in order.
func (w *testbed) tell(changed ...*server) {
	boxes := make([]routing.Endpoint, 0, len(changed))
	for _, s := range changed {
		boxes = append(boxes, s.box)
	}
	for _, n := range w.nodes {
		w.clock.in(w.delay(), func() {
			// A later change may have come first: what holds now is told.
			for i := range boxes {
				boxes[i] = w.servers[boxes[i].Server].box
			}
			n.list(routing.Incremental, slices.Clone(boxes))
		})
	}
}

// caches gives those in a state, in an order of chance.
func (w *testbed) caches(state routing.State, most int) (some []*server) {
	for _, s := range w.servers {
		if !s.origin && s.box.State == state {
			some = append(some, s)
		}
	}
	w.chance.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:min(most, len(some))]
}

// happens plays an event.
func (w *testbed) happens(ev Event) {
	switch ev.What {
	case "add":
		from := len(w.servers)
		for range ev.Caches {
			w.add(w.e.Fleet.Station, false, w.clock.now)
		}
		w.tell(w.servers[from:]...)
	case "drain":
		some := w.caches(routing.Ready, ev.Caches)
		for _, s := range some {
			s.box.State = routing.Draining
		}
		w.tell(some...)
		w.clock.in(w.e.Network.Notice.ticks()+w.e.Rules.Grace.ticks()+w.e.Demand.Limit.ticks(), func() {
			for _, s := range some {
				s.box.State = routing.Gone
			}
			w.tell(some...)
		})
	case "crash":
		some := w.caches(routing.Ready, ev.Caches)
		for _, s := range some {
			s.crash()
		}
		w.tell(some...)
	case "slow":
		some := w.caches(routing.Ready, ev.Caches)
		for _, s := range some {
			s.slow *= ev.Factor
		}
		w.clock.in(ev.For.ticks(), func() {
			for _, s := range some {
				s.slow /= ev.Factor
			}
		})
	case "demand":
		w.demand *= ev.Factor
		w.clock.in(ev.For.ticks(), func() { w.demand /= ev.Factor })
	case "restart":
		for _, i := range w.chance.Perm(len(w.nodes))[:min(ev.Nodes, len(w.nodes))] {
			// The old process answers what it has; the new one knows the list and nothing else.
			w.nodes[i] = w.newNode(i, w.seed())
			if w.division != nil { // as a process that is killed: its lease runs on
				w.division.holds[i].kill()
				w.division.holds[i].down = false
				w.division.holds[i].begin()
			}
		}
	case "silent":
		w.silence(w.caches(routing.Ready, ev.Caches), ev.For.ticks())
	case "unled":
		w.sick.unled = max(w.sick.unled, w.clock.now+ev.For.ticks())
		if w.division != nil {
			w.division.lose(ev.For.ticks())
		}
	case "move":
		w.hot = w.chance.Perm(len(w.nodes))[:min(ev.Nodes, len(w.nodes))]
		if w.division != nil {
			w.division.moved(w.hot)
		}
	case "kill":
		if w.division != nil {
			w.division.killed()
		}
		for _, i := range w.chance.Perm(len(w.nodes))[:min(ev.Nodes, len(w.nodes)-1)] {
			w.dead[i] = true
			if w.division != nil {
				w.division.holds[i].kill()
			}
		}
	case "cut":
		for _, i := range w.chance.Perm(len(w.nodes))[:min(ev.Nodes, len(w.nodes))] {
			if w.division != nil {
				w.division.holds[i].cut = w.clock.now + ev.For.ticks()
			}
		}
	case "shift":
		w.offset += w.e.Demand.Keys / 2
	}
}

// arrive brings the next request, and books the one after it.
func (w *testbed) arrive() {
	if w.demand > 0 {
		r := &request{key: (w.zipf.Uint64() + w.offset) % w.e.Demand.Keys, write: w.rnd.Float64() < w.e.Demand.Writes,
			node: w.rnd.IntN(len(w.nodes)), arrived: w.clock.now}
		if len(w.hot) > 0 && w.rnd.Float64() < w.heat() {
			r.node = w.hot[w.rnd.IntN(len(w.hot))]
		}
		for w.dead[r.node] {
			r.node = w.rnd.IntN(len(w.nodes))
		}
		gap := w.rnd.ExpFloat64() / (w.e.Demand.Rate * w.demand) * float64(second)
		w.clock.in(routing.Time(math.Round(gap)), w.arrive)
		w.check.offered++
		w.nodes[r.node].take(r)
	}
}

// heat is the share of all demand that goes to the hot nodes alone: so that each has so many times what another has.
func (w *testbed) heat() float64 {
	n, k := float64(len(w.nodes)), float64(len(w.hot))
	return k * (w.e.Demand.Hot - 1) / (n - k + k*w.e.Demand.Hot)
}

// worked says what a shot came to at its server: a value fetched is stored where it was missing, one written is
// dropped everywhere.
func (w *testbed) worked(l *pendingRequest, s *attempt, code routing.Result) {
	if code != routing.Served {
		return
	}
	w.check.ran(l)
	switch {
	case l.write:
		for _, c := range w.servers[1:] {
			c.values.drop(l.key)
		}
	case s.server.origin:
		w.series.now().Fetches++
		for _, t := range l.shots {
			if !t.server.origin && t.server.box.State != routing.Gone {
				t.server.values.store(l.key)
			}
		}
	default:
		w.series.now().Hits++
	}
}

// ended notes a final answer, and lets a client that was deferred come back.
func (w *testbed) ended(l *pendingRequest, how outcome, retryAfter routing.Time) {
	took, target := w.clock.now-l.arrived, w.e.Demand.Target.ticks()
	at := w.series.now()
	switch {
	case how == resolved && took <= target:
		at.InTime++
	case how == resolved:
		at.Late++
	case how == deferred && l.tries < w.e.Demand.Tries:
		at.Deferrals++
		wait := max(retryAfter, target/20) + routing.Time(w.rnd.Float64()*float64(target)/10)
		w.clock.in(wait, func() { w.nodes[l.node].take(l.request) })
		return
	case how == deferred:
		at.Refused++
	default:
		at.Failed++
	}
	if how == resolved {
		w.series.took(took)
	}
	w.check.done++
}

// tick notes the state of the fleet at each second.
func (w *testbed) tick() {
	w.clock.in(second, func() {
		w.series.next(w)
		w.tick()
	})
}
