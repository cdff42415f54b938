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

// A single server is an M/M/c, M/D/1 or M/M/c/c queue. The mean wait and the share of rejected jobs must match the formulas
// of queueing theory.
func TestServerQueueMatchesTheory(t *testing.T) {
	const jobs = 400_000
	erlangB := func(slots int, load float64) float64 {
		b := 1.0
		for n := 1; n <= slots; n++ {
			b = load * b / (float64(n) + load*b)
		}
		return b
	}
	for _, c := range []struct {
		slots, queue            int
		shape                   string
		load                    float64
		meanWait, rejectedShare float64 // in mean service times; share of jobs that are rejected
	}{
		{1, 1 << 30, "exponential", 0.7, 0.7 / 0.3, 0},
		{1, 1 << 30, "fixed", 0.7, 0.7 / 0.3 / 2, 0}, // M/D/1: half of M/M/1, by the Pollaczek-Khinchine formula
		{4, 1 << 30, "exponential", 0.8, func() float64 {
			b := erlangB(4, 3.2)
			return b / (1 - 0.8*(1-b)) / (4 * 0.2) // Erlang C divided by the spare capacity
		}(), 0},
		{4, 0, "exponential", 0.8, 0, erlangB(4, 3.2)},
	} {
		simClock, rng := &clock{now: startTime}, rand.New(rand.NewPCG(1, 1))
		s := &server{clock: simClock, rng: rand.New(rand.NewPCG(2, 2)), slowFactor: 1, isOrigin: true, running: map[int]job{},
			config: ServerConfig{c.slots, c.queue, Duration{100 * time.Millisecond}, c.shape}}
		waitSum, rejectedCount, doneCount := 0.0, 0, 0
		for arrivalTicks, n := 0.0, 0; n < jobs; n++ { // the mean service time of 100 ms is 1000 ticks
			arrivalTicks += rng.ExpFloat64() * 1000 / (c.load * float64(c.slots))
			simClock.runUntil(startTime + routing.Time(arrivalTicks))
			arrivedAt := simClock.now
			s.handle(job{done: func(result routing.Result) {
				if result == routing.Rejected {
					rejectedCount++
					return
				}
				doneCount++
				waitSum += float64(simClock.now - arrivedAt)
			}})
		}
		simClock.runUntil(simClock.now + 1_000_000)
		meanWait, rejectedRatio := waitSum/float64(doneCount)/1000-1, float64(rejectedCount)/jobs
		if math.Abs(meanWait-c.meanWait) > 0.03*c.meanWait+0.01 || math.Abs(rejectedRatio-c.rejectedShare) > 0.005 || doneCount+rejectedCount != jobs {
			t.Errorf("%+v: mean wait %.3f, rejected %.4f, %d of %d jobs ended", c, meanWait, rejectedRatio, doneCount+rejectedCount, jobs)
		}
	}
}

const eventsExperiment = `
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

// Two runs with the same experiment and seed write the same CSV records; a run with another seed writes different ones.
func TestRunSameSeedGivesSameResult(t *testing.T) {
	e := parse(t, eventsExperiment)
	e.Length.Duration, e.Events = 14*time.Second, e.Events[:3]
	text := func(policy string, seed uint64) string {
		result, err := Run(e, policy, seed)
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := result.WritePoints(&b); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	for _, policy := range Policies() {
		if first := text(policy, 7); first != text(policy, 7) || first == text(policy, 8) {
			t.Errorf("%s: the result depends on something else than the seed, or not on the seed", policy)
		}
	}
}

// The balancer breaks no rule and loses no request while caches join, drain, crash and slow down, nodes restart and demand
// changes. It has a better hit ratio than random routing, since it keeps sending a key to the same cache.
func TestBalancerAllEventsBreaksNoRule(t *testing.T) {
	e := parse(t, eventsExperiment)
	for seed := range uint64(3) {
		result, err := Run(e, "ranges", seed)
		if err != nil {
			t.Fatal(err)
		}
		baseline, _ := Run(e, "random", seed)
		if len(result.ViolationCounts) > 0 || result.OfferedRequests < 15000 || result.InTimeShare() < 0.8 {
			t.Errorf("seed %d: %d requests, %.3f in time, broken %v: %v", seed, result.OfferedRequests, result.InTimeShare(), result.ViolationCounts, result.Violations)
		}
		if balancerRatio, baselineRatio := hitRatio(result), hitRatio(baseline); balancerRatio < baselineRatio+0.05 {
			t.Errorf("seed %d: hit ratio %.3f, with random routing %.3f", seed, balancerRatio, baselineRatio)
		}
	}
}

// hitRatio returns the share of hits among all answers to reads.
func hitRatio(result *Result) float64 {
	total := result.total()
	return float64(total.Hits) / float64(total.Hits+total.Fetches)
}

// alteredHost is a node whose Send and Reject are replaced, so that a balancer on it seems to decide differently.
type alteredHost struct {
	*node
	send   func(n *node, request, server int, timeout routing.Time)
	reject func(n *node, request int, retryAfter routing.Time)
}

func (h alteredHost) Send(request, server int, timeout routing.Time) {
	h.send(h.node, request, server, timeout)
}

func (h alteredHost) Reject(request int, retryAfter routing.Time) {
	h.reject(h.node, request, retryAfter)
}

// newestCachePolicy sends the first attempt of each request to the newest cache, whatever its state.
type newestCachePolicy struct {
	*baseline
	newestCache int
}

func (p *newestCachePolicy) UpdateEndpoints(now routing.Time, kind routing.UpdateKind, endpoints []routing.Endpoint) {
	for _, ep := range endpoints {
		if ep.Model == 0 {
			p.newestCache = max(p.newestCache, ep.Server)
		}
	}
	p.baseline.UpdateEndpoints(now, kind, endpoints)
}

func (p *newestCachePolicy) StartRequest(now routing.Time, request int, r routing.Request) {
	p.requests[request] = &baselineRequest{Request: r, triedServers: []int{p.newestCache}}
	p.host.Send(request, p.newestCache, r.Deadline-now)
}

// The checker must report each kind of violation; otherwise runs without violations would prove nothing.
func TestCheckerFaultyPolicyReportsViolation(t *testing.T) {
	e := parse(t, eventsExperiment)
	e.Demand.RequestsPerSecond, e.Length.Duration, e.Events = 3*e.Demand.RequestsPerSecond, 12*time.Second, e.Events[:2]
	unaltered := alteredHost{send: (*node).Send, reject: (*node).Reject}
	withHost := func(change func(f *alteredHost)) policyFactory {
		return func(host routing.Host, seed uint64, now routing.Time, e *Experiment) Policy {
			f := unaltered
			f.node = host.(*node)
			change(&f)
			return newBalancer(f, seed, now, e)
		}
	}
	rejectCount := 0
	for name, c := range map[string]struct {
		rule    string
		factory policyFactory
	}{
		"a request without an answer": {"lost", withHost(func(f *alteredHost) {
			f.reject = func(n *node, request int, retryAfter routing.Time) {
				if rejectCount++; rejectCount%50 != 0 {
					n.Reject(request, retryAfter)
				}
			}
		})},
		"a second final answer": {"lost", withHost(func(f *alteredHost) {
			f.reject = func(n *node, request int, retryAfter routing.Time) {
				req := n.pending[request]
				n.Reject(request, retryAfter)
				n.tb.checker.requestEnded(req, outcomeRejected)
			}
		})},
		"a write executed twice": {"twice", withHost(func(f *alteredHost) {
			f.send = func(n *node, request, server int, timeout routing.Time) {
				n.Send(request, server, timeout)
				if req := n.pending[request]; req.isWrite {
					n.tb.clock.schedule(10, func() { n.tb.recordServerResult(req, req.attempts[0], routing.Served) })
				}
			}
		})},
		"overload of a cache in slow start": {"cold", func(h routing.Host, seed uint64, now routing.Time, e *Experiment) Policy {
			return &newestCachePolicy{baseline: policies["random"](h, seed, now, e).(*baseline)}
		}},
		"too many attempts": {"shots", func(h routing.Host, seed uint64, now routing.Time, e *Experiment) Policy {
			raised := *e
			raised.Rules.MaxAttempts = 9
			return policies["random"](h, seed, now, &raised)
		}},
		"attempts at a draining cache": {"drain", withHost(func(f *alteredHost) {
			f.send = func(n *node, request, server int, timeout routing.Time) {
				for index, s := range n.tb.servers {
					if s.endpoint.State == routing.Draining {
						server = index
					}
				}
				n.Send(request, server, timeout)
			}
		})},
	} {
		result := simulate(e, name, c.factory, 1)
		if result.ViolationCounts[c.rule] == 0 || len(result.Violations) == 0 {
			t.Errorf("%s: not reported, violations %v", name, result.ViolationCounts)
		}
	}
}

// noSlowStartPolicy hides the start times of caches from its policy, so that the policy treats each cache as warm.
type noSlowStartPolicy struct{ Policy }

func (p noSlowStartPolicy) UpdateEndpoints(now routing.Time, kind routing.UpdateKind, endpoints []routing.Endpoint) {
	endpoints = slices.Clone(endpoints)
	for i := range endpoints {
		endpoints[i].StartedAt = 0
	}
	p.Policy.UpdateEndpoints(now, kind, endpoints)
}

const thirtyNodesExperiment = `
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

// Each of thirty nodes sees only its own load, so together they may overload a cache in slow start, above all when nodes
// restart. The attempts of all nodes must stay within the bound of checker.attemptArrived, which is 2*sqrt(expected) + 2 above
// the expected number. The share of requests in time may be at most 0.01 lower than without slow start. Without slow start
// the attempts must exceed the bound, which shows that the experiment loads the caches enough.
func TestThirtyNodesColdCachesNotOverloaded(t *testing.T) {
	text := thirtyNodesExperiment
	for addSecond := 3; addSecond < 30; addSecond += 9 {
		text += fmt.Sprintf("[[event]]\nat = \"%ds\"\nwhat = \"add\"\ncaches = 1\n", addSecond)
		for i := range 6 {
			text += fmt.Sprintf("[[event]]\nat = \"%ds\"\nwhat = \"restart\"\nnodes = 5\n", addSecond+1+i)
		}
	}
	e := parse(t, text)
	for seed := range uint64(4) {
		result := simulate(e, "ranges", newBalancer, seed)
		withoutSlowStart := simulate(e, "no slow start", func(h routing.Host, seed uint64, now routing.Time, e *Experiment) Policy {
			return noSlowStartPolicy{newBalancer(h, seed, now, e)}
		}, seed)
		t.Logf("seed %d: %.3f and %.3f in time, %v and %v", seed, result.InTimeShare(), withoutSlowStart.InTimeShare(), result.Violations, withoutSlowStart.ViolationCounts)
		if len(result.ViolationCounts) > 0 || result.InTimeShare() < withoutSlowStart.InTimeShare()-0.01 {
			t.Errorf("seed %d: %.3f in time, %v", seed, result.InTimeShare(), result.Violations)
		}
		if withoutSlowStart.ViolationCounts["cold"] == 0 {
			t.Errorf("seed %d: no overload without slow start: %v", seed, withoutSlowStart.ViolationCounts)
		}
	}
}

// The error of an invalid experiment names the key or the position, and what is expected there.
func TestParseMalformedExperimentReturnsError(t *testing.T) {
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

// Parse accepts the largest fleets. MaxConcurrentRuns allows only one run of them at a time, and more runs of smaller fleets.
func TestMaxConcurrentRunsLargestExperimentRunsAlone(t *testing.T) {
	for _, c := range []struct{ nodes, caches, want int }{{20000, 1000, 1}, {3333, 6000, 1}, {19000, 70, 15}, {4, 10, maxPairs / 40}} {
		e := parse(t, fmt.Sprintf("[fleet]\nnodes = %d\ncaches = %d", c.nodes, c.caches))
		if got := e.MaxConcurrentRuns(); got != c.want {
			t.Errorf("%+v: got %d runs at a time", c, got)
		}
	}
}

// A run with hundreds of nodes and caches keeps the rules. Its time is logged.
func TestRunLargeFleetBreaksNoRule(t *testing.T) {
	e := parse(t, "length = \"3s\"\n[fleet]\nnodes = 300\ncaches = 100\n[origin]\nslots=200\nqueue=2000\n[demand]\nrate = 12000\nkeys = 100000")
	began := time.Now()
	result, err := Run(e, "ranges", 1)
	if err != nil || len(result.ViolationCounts) > 0 || result.OfferedRequests < 30000 {
		t.Error(err, result.OfferedRequests, result.ViolationCounts, result.Violations)
	}
	t.Logf("%d requests in %v, %.3f in time", result.OfferedRequests, time.Since(began).Round(time.Millisecond), result.InTimeShare())
}

// The vary table defines one experiment per value, with one key changed. The error of an invalid variant names the key and
// the value.
func TestReadVaryTableReturnsVariants(t *testing.T) {
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
		experiments, err := ReadFile(path)
		var got []string
		for _, e := range experiments {
			got = append(got, fmt.Sprint([]any{e.Name, e.Fleet.Nodes, e.Demand.ZipfExponent}))
		}
		if err != nil {
			got = []string{err.Error()}
		}
		if text := strings.Join(got, " "); text != c.want && (err == nil || !strings.Contains(text, c.want)) {
			t.Errorf("%s: %s\nwant %s", c.vary, text, c.want)
		}
	}
}

// With a single key, consistent hashing sends all requests to one of ten caches, which thus has ten times the mean.
func TestRunSingleKeyReportsBusiestCache(t *testing.T) {
	e, err := Parse([]byte("length = \"3s\"\n[demand]\nkeys = 1\nwrites = 0.0\nrate = 100"))
	if err != nil {
		t.Fatal(err)
	}
	if result, err := Run(e, "hashing", 1); err != nil || result.BusiestCacheRatio != 10 {
		t.Errorf("the busiest cache has %.2f times the mean, want 10 (%v)", result.BusiestCacheRatio, err)
	}
}
