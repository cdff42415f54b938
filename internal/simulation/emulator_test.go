package simulation

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

// A server alone is a queue of which theory knows the figures: the wait before one place and before several, and how
// much several places without a queue turn away.
func TestServersQueueAsTheorySays(t *testing.T) {
	const jobs = 400_000
	erlangB := func(places int, load float64) float64 {
		b := 1.0
		for k := 1; k <= places; k++ {
			b = load * b / (float64(k) + load*b)
		}
		return b
	}
	for _, c := range []struct {
		places, queue int
		shape         string
		busy          float64
		wait, lost    float64 // in mean services; share
	}{
		{1, 1 << 30, "exponential", 0.7, 0.7 / 0.3, 0},
		{1, 1 << 30, "fixed", 0.7, 0.7 / 0.3 / 2, 0}, // half, by Pollaczek and Khinchine
		{4, 1 << 30, "exponential", 0.8, func() float64 {
			b := erlangB(4, 3.2)
			return b / (1 - 0.8*(1-b)) / (4 * 0.2) // Erlang's C over the spare places
		}(), 0},
		{4, 0, "exponential", 0.8, 0, erlangB(4, 3.2)},
	} {
		k, r := &clock{now: origo}, rand.New(rand.NewPCG(1, 1))
		s := &server{clock: k, rnd: rand.New(rand.NewPCG(2, 2)), slow: 1, origin: true, working: map[int]job{},
			of: Station{c.places, c.queue, Span{100 * time.Millisecond}, c.shape}}
		sum, lost, done := 0.0, 0, 0
		for at, n := 0.0, 0; n < jobs; n++ {
			at += r.ExpFloat64() * 1000 / (c.busy * float64(c.places))
			k.run(origo + routing.Time(at))
			came := k.now
			s.take(job{done: func(code routing.Result) {
				if code == routing.Rejected {
					lost++
					return
				}
				done++
				sum += float64(k.now - came)
			}})
		}
		k.run(k.now + 1_000_000)
		wait, share := sum/float64(done)/1000-1, float64(lost)/jobs
		if math.Abs(wait-c.wait) > 0.03*c.wait+0.01 || math.Abs(share-c.lost) > 0.005 || done+lost != jobs {
			t.Errorf("%+v: waits %.3f, turns away %.4f, %d of %d ended", c, wait, share, done+lost, jobs)
		}
	}
}

const eventful = `
name = "eventful"
length = "40s"
policies = ["ranges", "random", "hashing", "least"]
[fleet]
nodes = 6
caches = 8
[demand]
rate = 500
[[event]]
at = "5s"
what = "add"
caches = 2
[[event]]
at = "6s"
what = "drain"
caches = 2
[[event]]
at = "12s"
what = "crash"
caches = 1
[[event]]
at = "16s"
what = "restart"
nodes = 4
[[event]]
at = "20s"
what = "slow"
caches = 2
factor = 6.0
for = "4s"
[[event]]
at = "26s"
what = "demand"
factor = 2.5
for = "5s"
[[event]]
at = "33s"
what = "shift"
`

func parse(t *testing.T, text string) *Experiment {
	t.Helper()
	e, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// The same description and seed give the same run to the last digit; another seed gives another one.
func TestRunsAreToldByTheirSeed(t *testing.T) {
	e := parse(t, eventful)
	e.Length.Duration, e.Events = 14*time.Second, e.Events[:3]
	text := func(policy string, seed uint64) string {
		s, err := Run(e, policy, seed)
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := s.Write(&b); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	for _, p := range Policies() {
		if first := text(p, 7); first != text(p, 7) || first == text(p, 8) {
			t.Errorf("%s: not told by its seed", p)
		}
	}
}

// Through every kind of event the module breaks no rule and loses nothing, and it keeps keys where they are.
func TestTheModuleKeepsTheRulesThroughAllEvents(t *testing.T) {
	e := parse(t, eventful)
	for seed := range uint64(3) {
		s, err := Run(e, "ranges", seed)
		if err != nil {
			t.Fatal(err)
		}
		plain, _ := Run(e, "random", seed)
		if len(s.Broken) > 0 || s.Offered < 15000 || s.Share() < 0.8 {
			t.Errorf("seed %d: %d requests, %.3f in time, broken %v: %v", seed, s.Offered, s.Share(), s.Broken, s.Faults)
		}
		if kept, scattered := hits(s), hits(plain); kept < scattered+0.05 {
			t.Errorf("seed %d: %.3f hits, by chance %.3f", seed, kept, scattered)
		}
	}
}

func hits(s *Series) float64 {
	sum := s.sum()
	return float64(sum.Hits) / float64(sum.Hits+sum.Fetches)
}

// faulty is the module with one of its orders changed.
type faulty struct {
	*node
	shoot func(n *node, lkp, to int, timeout routing.Time)
	give  func(n *node, lkp int, after routing.Time)
}

func (f faulty) Send(lkp, to int, timeout routing.Time) { f.shoot(f.node, lkp, to, timeout) }

func (f faulty) Reject(lkp int, after routing.Time) { f.give(f.node, lkp, after) }

// heedless sends each lookup on at once, whatever the list says, to the newest cache that there ever was.
type heedless struct {
	*plain
	newest int
}

func (h *heedless) UpdateEndpoints(now routing.Time, how routing.UpdateKind, boxes []routing.Endpoint) {
	for _, b := range boxes {
		if b.Model == 0 {
			h.newest = max(h.newest, b.Server)
		}
	}
	h.plain.UpdateEndpoints(now, how, boxes)
}

func (h *heedless) StartRequest(now routing.Time, lkp int, in routing.Request) {
	h.lkps[lkp] = &plainLookup{Request: in, tried: []int{h.newest}}
	h.host.Send(lkp, h.newest, in.Deadline-now)
}

// What breaks a rule is seen to: a checker that nothing can fail shows nothing.
func TestFaultyPoliciesAreCaught(t *testing.T) {
	e := parse(t, eventful)
	e.Demand.Rate, e.Length.Duration, e.Events = 3*e.Demand.Rate, 12*time.Second, e.Events[:2]
	honest := faulty{shoot: (*node).Send, give: (*node).Reject}
	with := func(change func(f *faulty)) maker {
		return func(host routing.Host, seed uint64, now routing.Time, e *Experiment) Policy {
			f := honest
			f.node = host.(*node)
			change(&f)
			return ranges(f, seed, now, e)
		}
	}
	number := 0
	for what, c := range map[string]struct {
		rule string
		make maker
	}{
		"a lookup that is never answered": {"lost", with(func(f *faulty) {
			f.give = func(n *node, lkp int, after routing.Time) {
				if number++; number%50 != 0 {
					n.Reject(lkp, after)
				}
			}
		})},
		"an answer given twice": {"lost", with(func(f *faulty) {
			f.give = func(n *node, lkp int, after routing.Time) {
				l := n.lookups[lkp]
				n.Reject(lkp, after)
				n.w.check.ended(l, deferred)
			}
		})},
		"a write sent twice": {"twice", with(func(f *faulty) {
			f.shoot = func(n *node, lkp, to int, timeout routing.Time) {
				n.Send(lkp, to, timeout)
				if l := n.lookups[lkp]; l.write {
					n.w.clock.in(10, func() { n.w.worked(l, l.shots[0], routing.Served) })
				}
			}
		})},
		"a cold cache pushed over, and one that drains": {"cold", func(h routing.Host, seed uint64, now routing.Time, e *Experiment) Policy {
			return &heedless{plain: policies["random"](h, seed, now, e).(*plain)}
		}},
		"more shots than are allowed": {"shots", func(h routing.Host, seed uint64, now routing.Time, e *Experiment) Policy {
			more := *e
			more.Rules.Shots = 9
			return policies["random"](h, seed, now, &more)
		}},
		"shots at what drains": {"drain", with(func(f *faulty) {
			f.shoot = func(n *node, lkp, to int, timeout routing.Time) {
				for i, s := range n.w.servers {
					if s.box.State == routing.Draining {
						to = i
					}
				}
				n.Send(lkp, to, timeout)
			}
		})},
	} {
		s := play(e, what, c.make, 1)
		if s.Broken[c.rule] == 0 || len(s.Faults) == 0 {
			t.Errorf("%s is not caught: %v", what, s.Broken)
		}
	}
}

// rampless is the module, told of each cache as one that has run for long.
type rampless struct{ Policy }

func (r rampless) UpdateEndpoints(now routing.Time, how routing.UpdateKind, boxes []routing.Endpoint) {
	boxes = slices.Clone(boxes)
	for i := range boxes {
		boxes[i].StartedAt = 0
	}
	r.Policy.UpdateEndpoints(now, how, boxes)
}

const thirty = `
name = "thirty"
length = "40s"
[fleet]
nodes = 30
caches = 6
slots = 2
service = "40ms"
cold_share = 0.05
warm_up = "20s"
[origin]
slots = 100
queue = 1000
[demand]
rate = 240
[rules]
overload = 1.5
window = "1s"
`

// Thirty nodes before caches that join cold while nodes are restarted: the sum stays under what the settings allow, beyond
// which 2 roots of it and 2 are put down to chance, and the caches come to their share. Without the ramp it doesn't.
func TestTheSumOfThirtyNodesSparesColdCaches(t *testing.T) {
	text := thirty
	for at := 3; at < 30; at += 9 {
		text += fmt.Sprintf("[[event]]\nat = \"%ds\"\nwhat = \"add\"\ncaches = 1\n", at)
		for i := range 6 {
			text += fmt.Sprintf("[[event]]\nat = \"%ds\"\nwhat = \"restart\"\nnodes = 5\n", at+1+i)
		}
	}
	e := parse(t, text)
	for seed := range uint64(4) {
		s := play(e, "ranges", ranges, seed)
		bare := play(e, "rampless", func(h routing.Host, seed uint64, now routing.Time, e *Experiment) Policy {
			return rampless{ranges(h, seed, now, e)}
		}, seed)
		t.Logf("seed %d: %.3f and %.3f in time, %v and %v", seed, s.Share(), bare.Share(), s.Faults, bare.Broken)
		if len(s.Broken) > 0 || s.Share() < bare.Share()-0.01 {
			t.Errorf("seed %d: %.3f in time, %v", seed, s.Share(), s.Faults)
		}
		if bare.Broken["cold"] == 0 {
			t.Errorf("seed %d: without the ramp nothing is seen: %v", seed, bare.Broken)
		}
	}
}

// A malformed description is refused with the place and what was expected there.
func TestMalformedDescriptionsAreRefused(t *testing.T) {
	for text, want := range map[string]string{
		"[fleet]\nnodes = 0":                    "fleet.nodes: expected 1 to 20000, not 0",
		"[fleet]\nnodes = 20001":                "fleet.nodes: expected 1 to 20000, not 20001",
		"[fleet]\ncaches = 6001":                "fleet.caches: expected 1 to 6000, not 6001",
		"[fleet]\nnodes = 20000\ncaches = 1001": "fleet.nodes: expected 19980 at most with 1001 caches, those added included, not 20000",
		"[fleet]\nnodes = 4000\ncaches = 5000\n[[event]]\nat = \"1s\"\nwhat = \"add\"\ncaches = 1":                                                     "fleet.nodes: expected 3999 at most with 5001 caches",
		"[[event]]\nat = \"1s\"\nwhat = \"add\"\ncaches = 9999":                                                                                        "event: expected 6000 caches at most, with those added, not 10009",
		"[[event]]\nat = \"1s\"\nwhat = \"add\"\ncaches = 9223372036854775807\n[[event]]\nat = \"1s\"\nwhat = \"add\"\ncaches = 9223372036854775807\n": "event: expected 6000 caches at most, with those added, not 2147483658",
		"[fleet]\nnodes = \"many\"":                                       "line 2, column 9",
		"[fleet]\nnods = 3":                                               "line 2, column 1: fleet.nods is no key",
		"length = \"20\"":                                                 "line 1, column 10: toml: expected a time in quotes with its unit",
		"length = 20":                                                     "with its unit, as \"200ms\" or \"2s\", not 20",
		"policies = [\"rnages\"]":                                         "policies[0]: expected one of [hashing least random ranges]",
		"[demand]\nskew = 1.0":                                            "demand.skew: expected a number above 1, not 1",
		"[demand]\nlimit = \"1ms\"":                                       "demand.limit: expected the target or more, not 1ms",
		"[demand]\nrate = 1e9":                                            "demand.rate: expected 50000000 lookups in all",
		"[[event]]\nat = \"1s\"\nwhat = \"ad\"":                           "event[0].what: expected one of [add crash cut",
		"[[event]]\nat = \"1s\"\nwhat = \"add\"":                          "event[0].caches: expected 1 or more, not 0",
		"[[event]]\nat = \"99s\"\nwhat = \"shift\"":                       "event[0].at: expected a time within the length",
		"[[event]]\nat = \"1s\"\nwhat = \"demand\"\nfactor = -1.0":        "event[0].factor: expected a number above 0, not -1",
		"[[event]]\nat = \"1s\"\nwhat = \"slow\"\ncaches=1\nfactor = 2.0": "event[0].for: expected a time above 0",
		"[origin]\nshape = \"round\"":                                     "origin.shape: expected fixed or exponential, not round",
		"[fleet":                                                          "line 1, column",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// The largest sizes are taken, and of these no two are played at once.
func TestTheLargestSizes(t *testing.T) {
	for _, c := range []struct{ nodes, caches, atOnce int }{{20000, 1000, 1}, {3333, 6000, 1}, {19000, 70, 15}, {4, 10, pairsMost / 40}} {
		e := parse(t, fmt.Sprintf("[fleet]\nnodes = %d\ncaches = %d", c.nodes, c.caches))
		if got := e.AtOnce(); got != c.atOnce {
			t.Errorf("%+v: %d at once", c, got)
		}
	}
}

// Hundreds of nodes and caches play in seconds.
func TestALargeFleet(t *testing.T) {
	e := parse(t, "length = \"3s\"\n[fleet]\nnodes = 300\ncaches = 100\n[origin]\nslots=200\nqueue=2000\n[demand]\nrate = 12000\nkeys = 100000")
	began := time.Now()
	s, err := Run(e, "ranges", 1)
	if err != nil || len(s.Broken) > 0 || s.Offered < 30000 {
		t.Error(err, s.Offered, s.Broken, s.Faults)
	}
	t.Logf("%d requests in %v, %.3f in time", s.Offered, time.Since(began).Round(time.Millisecond), s.Share())
}

// A description varies to one for each value, each with one key changed; a fault names the key and the value.
func TestADescriptionVaries(t *testing.T) {
	for _, c := range []struct{ vary, want string }{
		{"fleet.nodes = [2, 3]\ndemand.skew = [1.5]", "[base 4 1.1] [base, demand.skew 1.5 4 1.5] [base, fleet.nodes 2 2 1.1] [base, fleet.nodes 3 3 1.1]"},
		{`event = [[{at = "1s", what = "shift"}]]`, "[base 4 1.1] [base, event [map[at:1s what:shift]] 4 1.1]"},
		{"fleet.nodes = [2, 0]", "vary.fleet.nodes, value 0: fleet.nodes: expected 1 to 20000, not 0"},
		{"fleet.nodes = 2", "vary.fleet.nodes: expected a list of values, not 2"},
		{"fleet.knots = [2]", "vary.fleet.knots, value 2: fleet.knots is no key of a description"},
		{`length = ["2"]`, "vary.length, value 2: "},
	} {
		path := filepath.Join(t.TempDir(), "d.toml")
		if err := os.WriteFile(path, []byte("name = \"base\"\nlength = \"3s\"\n[vary]\n"+c.vary), 0o600); err != nil {
			t.Fatal(err)
		}
		all, err := Read(path)
		var got []string
		for _, e := range all {
			got = append(got, fmt.Sprint([]any{e.Name, e.Fleet.Nodes, e.Demand.Skew}))
		}
		if err != nil {
			got = []string{err.Error()}
		}
		if text := strings.Join(got, " "); text != c.want && (err == nil || !strings.Contains(text, c.want)) {
			t.Errorf("%s: %s\nwant %s", c.vary, text, c.want)
		}
	}
}

// One cache of ten has all that is asked of a single key.
func TestTheBusiestCacheIsTold(t *testing.T) {
	e, err := Parse([]byte("length = \"3s\"\n[demand]\nkeys = 1\nwrites = 0.0\nrate = 100"))
	if err != nil {
		t.Fatal(err)
	}
	if s, err := Run(e, "hashing", 1); err != nil || s.Busiest != 10 {
		t.Errorf("the busiest has %.2f times the mean, want 10 (%v)", s.Busiest, err)
	}
}
