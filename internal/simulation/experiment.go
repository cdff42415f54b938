// Package simulation is a discrete-event simulation of a fleet: clients, nodes, caches, an origin and a discovery service
// share one virtual clock. Nodes decide with the same routing.Balancer as real nodes, or with a simple baseline policy. The
// result depends only on the experiment, the policy and the seed. The simulation reaches fleet sizes that are out of reach
// for tests with real connections.
package simulation

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Duration is a duration in an experiment file, such as "200ms" or "2s".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Duration) UnmarshalText(text []byte) (err error) {
	if s.Duration, err = time.ParseDuration(string(text)); err != nil {
		return fmt.Errorf("expected a time in quotes with its unit, as \"200ms\" or \"2s\", not %s", text)
	}
	return nil
}

// ticks returns the duration in the unit of routing.Time.
func (s Duration) ticks() routing.Time { return ticks(s.Duration) }

func ticks(d time.Duration) routing.Time {
	return routing.Time(d / (time.Millisecond / time.Duration(routing.Millisecond)))
}

// Experiment describes the runs of a simulation. It is read from a TOML file.
type Experiment struct {
	Name     string       `toml:"name"`
	Seed     uint64       `toml:"seed"`
	Length   Duration     `toml:"length"`
	Policies []string     `toml:"policies"`
	Fleet    Fleet        `toml:"fleet"`
	Origin   ServerConfig `toml:"origin"`
	Network  Network      `toml:"network"`
	Demand   Demand       `toml:"demand"`
	Rules    Rules        `toml:"rules"`
	Events   []Event      `toml:"event"`
	// Vary maps keys of an experiment to lists of values. Each value defines one more experiment, which differs from this
	// one in that key only.
	Vary map[string]any `toml:"vary"`
}

// ServerConfig configures a kind of server. It executes as many jobs at a time as it has slots, and queues further ones.
type ServerConfig struct {
	Slots   int      `toml:"slots"`
	Queue   int      `toml:"queue"`
	Service Duration `toml:"service"` // mean service time of a job
	Shape   string   `toml:"shape"`   // distribution of service times: fixed or exponential
}

// Fleet configures the nodes and the caches.
type Fleet struct {
	Nodes  int `toml:"nodes"`
	Caches int `toml:"caches"`
	ServerConfig
	MissCost      float64  `toml:"miss"`       // service time of a miss, relative to that of a hit
	CacheSize     int      `toml:"keep"`       // keys that a cache holds; it evicts the least recently used one
	ColdShare     float64  `toml:"cold_share"` // share of its capacity that a cache has right after its start
	WarmUp        Duration `toml:"warm_up"`    // from a cache's start to its full capacity
	Budget        *Budget  `toml:"budget"`     // nil: no limit of fetches
	ClusterProbes bool     `toml:"probe"`      // ejected caches are probed once for all nodes, which learn the result
}

// Network configures delays.
type Network struct {
	OneWayDelay          Duration `toml:"one_way"` // between any two machines
	MaxNotificationDelay Duration `toml:"notice"`  // largest delay until a node learns of a change of the endpoint list; the delay is uniformly random
}

// Demand configures the requests of clients.
type Demand struct {
	RequestsPerSecond float64  `toml:"rate"`   // new requests at all nodes together
	KeyCount          uint64   `toml:"keys"`   // number of different keys
	ZipfExponent      float64  `toml:"skew"`   // exponent of the Zipf distribution of keys, above 1
	WriteShare        float64  `toml:"writes"` // share of requests that are writes, which must not be executed twice
	MaxTries          int      `toml:"tries"`  // maximum number of times a client sends a request that is rejected
	LatencyTarget     Duration `toml:"target"` // a later answer counts as late
	TimeLimit         Duration `toml:"limit"`  // from each try to the request's deadline
	HotFactor         float64  `toml:"hot"`    // after a move event: requests of a hot node relative to those of another node
}

// Rules configures the checker, and the limits of the policies that must keep its rules.
type Rules struct {
	MaxAttempts    int      `toml:"shots"`    // maximum number of attempts of a request at a node
	DrainGrace     Duration `toml:"grace"`    // after a node learns that a server drains, it may still send attempts for this long
	OverloadFactor float64  `toml:"overload"` // limit of attempts at a cache in slow start, relative to its current capacity
	OverloadWindow Duration `toml:"window"`   // window in which these attempts are counted
}

// Event is a change of the fleet or of the demand during a run. Its kind determines which keys it needs.
type Event struct {
	Start    Duration `toml:"at"`     // time from the start of the run
	Kind     string   `toml:"what"`   // one of EventKinds
	Caches   int      `toml:"caches"` // number of caches affected
	Nodes    int      `toml:"nodes"`  // number of nodes affected
	Factor   float64  `toml:"factor"` // multiplies service times (slow) or the request rate (demand)
	Duration Duration `toml:"for"`    // how long the change lasts
}

// eventChecks maps each kind of event to the check of the keys that it needs. A check returns an error message, or an empty
// string if the event is valid.
var eventChecks = map[string]func(e Event) string{
	// Cold caches join.
	"add": func(e Event) string { return atLeast("caches", e.Caches, 1) },
	// Caches drain, then leave.
	"drain": func(e Event) string { return atLeast("caches", e.Caches, 1) },
	// Caches fail and leave the endpoint list.
	"crash": func(e Event) string { return atLeast("caches", e.Caches, 1) },
	// Nodes are killed and started again at once.
	"restart": func(e Event) string { return atLeast("nodes", e.Nodes, 1) },
	// Service times of caches are multiplied.
	"slow": func(e Event) string { return firstNonEmpty(atLeast("caches", e.Caches, 1), checkFactorAndDuration(e)) },
	// The request rate is multiplied.
	"demand": checkFactorAndDuration,
	// Other keys become popular.
	"shift": func(Event) string { return "" },
	// Caches ignore attempts and stay on the endpoint list.
	"silent": func(e Event) string { return firstNonEmpty(atLeast("caches", e.Caches, 1), checkDuration(e)) },
	// The cluster has no leader.
	"unled": checkDuration,
	// These nodes become hot, others are no longer.
	"move": func(e Event) string { return atLeast("nodes", e.Nodes, 1) },
	// Nodes end for good.
	"kill": func(e Event) string { return atLeast("nodes", e.Nodes, 1) },
	// Nodes can't reach the leader of the cluster.
	"cut": func(e Event) string { return firstNonEmpty(atLeast("nodes", e.Nodes, 1), checkDuration(e)) },
}

func atLeast(key string, n, minimum int) string {
	if n >= minimum {
		return ""
	}
	return fmt.Sprintf("%s: expected %d or more, not %d", key, minimum, n)
}

func checkFactorAndDuration(e Event) string {
	if e.Factor <= 0 {
		return fmt.Sprintf("factor: expected a number above 0, not %g", e.Factor)
	}
	return checkDuration(e)
}

func checkDuration(e Event) string {
	if e.Duration.Duration <= 0 {
		return "for: expected a time above 0"
	}
	return ""
}

func firstNonEmpty(messages ...string) string {
	for _, message := range messages {
		if message != "" {
			return message
		}
	}
	return ""
}

// These limits of an experiment keep a typing error from exhausting the machine.
const (
	maxNodes  = 20_000
	maxCaches = 6_000
	// maxPairs limits the number of nodes times the number of caches, including those added by events, since each node keeps
	// state of each cache. A pair takes about 0.35 KB: 20,000 nodes and 1,000 caches take 7.1 GB, 3,500 nodes and 5,700 caches
	// 7.8 GB.
	maxPairs    = 20_000_000
	maxRequests = 50_000_000 // at the configured rate over the whole length
)

// totalCaches returns the number of caches, including those added by events.
func (e *Experiment) totalCaches() int {
	n := e.Fleet.Caches
	for _, ev := range e.Events {
		if ev.Kind == "add" {
			n += max(0, min(ev.Caches, 1<<30)) // keeps the sum from overflowing
		}
	}
	return n
}

// MaxConcurrentRuns returns how many runs of the experiment may be simulated at the same time, which is 1 or more. The runs together
// keep about maxPairs pairs in memory.
func (e *Experiment) MaxConcurrentRuns() int {
	return max(1, maxPairs/max(1, e.Fleet.Nodes*e.totalCaches()))
}

// ReadFile reads an experiment from a TOML file and returns it, followed by the variants of its vary table. The error names
// each invalid key with what is expected there.
func ReadFile(path string) ([]*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	variants, err := e.variants(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return append([]*Experiment{e}, variants...), nil
}

// Parse parses an experiment from TOML. Keys that are left out have the values of a medium-sized fleet.
func Parse(text []byte) (*Experiment, error) {
	second := Duration{time.Second}
	e := &Experiment{Name: "unnamed", Seed: 1, Length: Duration{time.Minute}, Policies: []string{"ranges"},
		Fleet: Fleet{Nodes: 4, Caches: 10, ServerConfig: ServerConfig{4, 16, Duration{8 * time.Millisecond}, "exponential"},
			MissCost: 0.2, CacheSize: 2000, ColdShare: 0.25, WarmUp: Duration{15 * time.Second}},
		Origin:  ServerConfig{20, 200, Duration{60 * time.Millisecond}, "exponential"},
		Network: Network{Duration{500 * time.Microsecond}, second},
		Demand: Demand{RequestsPerSecond: 400, KeyCount: 10000, ZipfExponent: 1.1, WriteShare: 0.04, MaxTries: 3,
			LatencyTarget: Duration{200 * time.Millisecond}, TimeLimit: Duration{750 * time.Millisecond}, HotFactor: 10},
		Rules: Rules{3, Duration{500 * time.Millisecond}, 4, Duration{1500 * time.Millisecond}}}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(e)
	if strictErr := (*toml.StrictMissingError)(nil); errors.As(err, &strictErr) {
		var errs []error
		for _, unknownKey := range strictErr.Errors {
			row, column := unknownKey.Position()
			errs = append(errs, fmt.Errorf("line %d, column %d: %v is no key of a description", row, column, strings.Join(unknownKey.Key(), ".")))
		}
		return nil, errors.Join(errs...)
	}
	if decodeErr := (*toml.DecodeError)(nil); errors.As(err, &decodeErr) {
		row, column := decodeErr.Position()
		return nil, fmt.Errorf("line %d, column %d: %w", row, column, decodeErr)
	}
	if err != nil {
		return nil, err
	}
	return e, e.check()
}

// check returns an error that lists all invalid values.
func (e *Experiment) check() error {
	var errs []error
	require := func(ok bool, key, expected string, got any) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: expected %s, not %v", key, expected, got))
		}
	}
	checkServer := func(name string, config ServerConfig) {
		require(config.Slots >= 1, name+".slots", "1 or more", config.Slots)
		require(config.Queue >= 0, name+".queue", "0 or more", config.Queue)
		require(config.Service.ticks() >= 1, name+".service", "0.1ms or more", config.Service)
		require(config.Shape == "fixed" || config.Shape == "exponential", name+".shape", "fixed or exponential", config.Shape)
	}
	for i, policy := range e.Policies {
		require(policies[policy] != nil, fmt.Sprintf("policies[%d]", i), "one of "+fmt.Sprint(Policies()), policy)
	}
	require(len(e.Policies) > 0, "policies", "one or more", e.Policies)
	require(e.Length.Duration > 0, "length", "a time above 0", e.Length)
	require(e.Fleet.Nodes >= 1 && e.Fleet.Nodes <= maxNodes, "fleet.nodes", fmt.Sprintf("1 to %d", maxNodes), e.Fleet.Nodes)
	require(e.Fleet.Caches >= 1 && e.Fleet.Caches <= maxCaches, "fleet.caches", fmt.Sprintf("1 to %d", maxCaches), e.Fleet.Caches)
	if total := e.totalCaches(); e.Fleet.Caches <= maxCaches && e.Fleet.Nodes <= maxNodes {
		require(total <= maxCaches, "event", fmt.Sprintf("%d caches at most, with those added", maxCaches), total)
		require(total > maxCaches || e.Fleet.Nodes*total <= maxPairs, "fleet.nodes",
			fmt.Sprintf("%d at most with %d caches, those added included", maxPairs/max(1, total), total), e.Fleet.Nodes)
	}
	checkServer("fleet", e.Fleet.ServerConfig)
	checkServer("origin", e.Origin)
	require(e.Fleet.MissCost >= 0 && e.Fleet.MissCost <= 1, "fleet.miss", "a share from 0 to 1", e.Fleet.MissCost)
	require(e.Fleet.CacheSize >= 1, "fleet.keep", "1 or more", e.Fleet.CacheSize)
	require(e.Fleet.ColdShare > 0 && e.Fleet.ColdShare <= 1, "fleet.cold_share", "a share above 0, at most 1", e.Fleet.ColdShare)
	require(e.Fleet.WarmUp.Duration >= 0, "fleet.warm_up", "0s or more", e.Fleet.WarmUp)
	require(e.Network.OneWayDelay.Duration >= 0, "network.one_way", "0s or more", e.Network.OneWayDelay)
	require(e.Network.MaxNotificationDelay.Duration >= 0, "network.notice", "0s or more", e.Network.MaxNotificationDelay)
	require(e.Demand.RequestsPerSecond > 0, "demand.rate", "a number above 0", e.Demand.RequestsPerSecond)
	require(e.Demand.RequestsPerSecond*e.Length.Seconds() <= maxRequests, "demand.rate",
		fmt.Sprintf("%d lookups in all at most", maxRequests), e.Demand.RequestsPerSecond)
	require(e.Demand.KeyCount >= 1, "demand.keys", "1 or more", e.Demand.KeyCount)
	require(e.Demand.ZipfExponent > 1, "demand.skew", "a number above 1", e.Demand.ZipfExponent)
	require(e.Demand.WriteShare >= 0 && e.Demand.WriteShare <= 1, "demand.writes", "a share from 0 to 1", e.Demand.WriteShare)
	require(e.Demand.MaxTries >= 1, "demand.tries", "1 or more", e.Demand.MaxTries)
	require(e.Demand.LatencyTarget.Duration > 0, "demand.target", "a time above 0", e.Demand.LatencyTarget)
	require(e.Demand.TimeLimit.Duration >= e.Demand.LatencyTarget.Duration, "demand.limit", "the target or more", e.Demand.TimeLimit)
	require(e.Demand.HotFactor >= 1, "demand.hot", "1 or more", e.Demand.HotFactor)
	if e.Fleet.Budget != nil {
		e.Fleet.Budget.check(require)
	}
	require(e.Rules.MaxAttempts >= 1, "rules.shots", "1 or more", e.Rules.MaxAttempts)
	require(e.Rules.OverloadFactor > 0, "rules.overload", "a number above 0", e.Rules.OverloadFactor)
	require(e.Rules.OverloadWindow.Duration > 0, "rules.window", "a time above 0", e.Rules.OverloadWindow)
	for i, ev := range e.Events {
		prefix := fmt.Sprintf("event[%d].", i)
		require(ev.Start.Duration >= 0 && ev.Start.Duration < e.Length.Duration, prefix+"at", "a time within the length", ev.Start)
		checkEvent := eventChecks[ev.Kind]
		require(checkEvent != nil, prefix+"what", "one of "+fmt.Sprint(EventKinds()), ev.Kind)
		if checkEvent != nil {
			if message := checkEvent(ev); message != "" {
				errs = append(errs, errors.New(prefix+message))
			}
		}
	}
	return errors.Join(errs...)
}

// EventKinds returns the names of the kinds of event, sorted.
func EventKinds() []string { return sortedKeys(eventChecks) }

// Policies returns the names of the policies, sorted.
func Policies() []string { return sortedKeys(policies) }

func sortedKeys[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
