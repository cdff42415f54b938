// Package simulation plays a fleet in simulated time: clients, nodes, caches, an origin and a discovery service. The nodes
// decide by the same routing.Balancer as the real ones, or by plain baselines. A run is told by its description and its
// seed alone, so that designs can be tried at sizes that sockets do not reach.
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

// Span is a time of a description, as 200ms or 2s.
type Duration struct{ time.Duration }

// UnmarshalText reads one.
func (s *Duration) UnmarshalText(text []byte) (err error) {
	if s.Duration, err = time.ParseDuration(string(text)); err != nil {
		return fmt.Errorf("expected a time in quotes with its unit, as \"200ms\" or \"2s\", not %s", text)
	}
	return nil
}

// ticks gives it on the module's clock.
func (s Duration) ticks() routing.Time { return ticks(s.Duration) }

func ticks(d time.Duration) routing.Time {
	return routing.Time(d / (time.Millisecond / time.Duration(routing.Millisecond)))
}

// Experiment is what is to be played.
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
	// Vary has lists of values under keys of a description. Each value makes one more, else like this one.
	Vary map[string]any `toml:"vary"`
}

// Station is a server: places at which it works, a queue before them, and how long a lookup takes.
type ServerConfig struct {
	Slots   int      `toml:"slots"`
	Queue   int      `toml:"queue"`
	Service Duration `toml:"service"` // mean
	Shape   string   `toml:"shape"`   // fixed or exponential
}

// Fleet is the nodes and the caches.
type Fleet struct {
	Nodes  int `toml:"nodes"`
	Caches int `toml:"caches"`
	ServerConfig
	MissCost      float64  `toml:"miss"` // share of a hit's work that finding nothing takes
	CacheSize     int      `toml:"keep"` // values that a cache holds; the one used longest ago goes
	ColdShare     float64  `toml:"cold_share"`
	WarmUp        Duration `toml:"warm_up"`
	Budget        *Budget  `toml:"budget"`
	ClusterProbes bool     `toml:"probe"` // one node tries resting caches for all, and the others hear of it
}

// Network is the way between any two, and how news spreads.
type Network struct {
	OneWayDelay          Duration `toml:"one_way"`
	MaxNotificationDelay Duration `toml:"notice"` // the longest until a node hears of a change
}

// Demand is what clients ask.
type Demand struct {
	RequestsPerSecond float64  `toml:"rate"` // lookups a second before all nodes
	KeyCount          uint64   `toml:"keys"`
	ZipfExponent      float64  `toml:"skew"`   // of Zipf's law, above 1
	WriteShare        float64  `toml:"writes"` // share, each with an effect that must not happen twice
	MaxTries          int      `toml:"tries"`  // a client asks so often at the most, after deferrals
	LatencyTarget     Duration `toml:"target"`
	TimeLimit         Duration `toml:"limit"`
	HotFactor         float64  `toml:"hot"` // how many times as much the nodes of a move are asked as others
}

// Rules is what the checker holds a run against.
type Rules struct {
	MaxAttempts    int      `toml:"shots"`
	DrainGrace     Duration `toml:"grace"` // from a drain's news to the last new shot
	OverloadFactor float64  `toml:"overload"`
	OverloadWindow Duration `toml:"window"`
}

// Event is something that happens.
type Event struct {
	Start    Duration `toml:"at"`
	Kind     string   `toml:"what"`
	Caches   int      `toml:"caches"`
	Nodes    int      `toml:"nodes"`
	Factor   float64  `toml:"factor"`
	Duration Duration `toml:"for"`
}

// whats are the kinds of event, with what each needs.
var eventChecks = map[string]func(e Event) string{
	"add":     func(e Event) string { return atLeast("caches", e.Caches, 1) },
	"drain":   func(e Event) string { return atLeast("caches", e.Caches, 1) },
	"crash":   func(e Event) string { return atLeast("caches", e.Caches, 1) },
	"restart": func(e Event) string { return atLeast("nodes", e.Nodes, 1) },
	"slow":    func(e Event) string { return firstNonEmpty(atLeast("caches", e.Caches, 1), checkFactorAndDuration(e)) },
	"demand":  checkFactorAndDuration,
	"shift":   func(Event) string { return "" },
	"silent":  func(e Event) string { return firstNonEmpty(atLeast("caches", e.Caches, 1), checkDuration(e)) },
	"unled":   checkDuration,
	"move":    func(e Event) string { return atLeast("nodes", e.Nodes, 1) },
	"kill":    func(e Event) string { return atLeast("nodes", e.Nodes, 1) },
	"cut":     func(e Event) string { return firstNonEmpty(atLeast("nodes", e.Nodes, 1), checkDuration(e)) },
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

// most bounds what a description may ask for, so that a slip doesn't take a machine down.
const (
	maxNodes  = 20_000
	maxCaches = 6_000
	// pairsMost bounds what all nodes together know of caches, those added later included: some 0.35 KB a pair, as 7.1 GB with
	// 20,000 nodes and 1,000 caches, and 7.8 GB with 3,500 and 5,700.
	maxPairs    = 20_000_000
	maxRequests = 50_000_000
)

// caches counts those of the start and all that are added.
func (e *Experiment) totalCaches() int {
	n := e.Fleet.Caches
	for _, ev := range e.Events {
		if ev.Kind == "add" {
			n += max(0, min(ev.Caches, 1<<30)) // a sum of slips must not wrap round
		}
	}
	return n
}

// AtOnce tells how many runs of an experiment may be played at a time, one at least: all keep their pairs in memory.
func (e *Experiment) AtOnce() int {
	return max(1, maxPairs/max(1, e.Fleet.Nodes*e.totalCaches()))
}

// Read reads a description from a file, and all that it varies to. The error names each place, and what was expected there.
func Read(path string) ([]*Experiment, error) {
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

// Parse reads a description. What is left out takes a value of a middling fleet.
func Parse(text []byte) (*Experiment, error) {
	second := Duration{time.Second}
	e := &Experiment{Name: "unnamed", Seed: 1, Length: Duration{time.Minute}, Policies: []string{"ranges"},
		Fleet: Fleet{Nodes: 4, Caches: 10, ServerConfig: ServerConfig{4, 16, Duration{8 * time.Millisecond}, "exponential"},
			MissCost: 0.2, CacheSize: 2000, ColdShare: 0.25, WarmUp: Duration{15 * time.Second}},
		Origin:  ServerConfig{20, 200, Duration{60 * time.Millisecond}, "exponential"},
		Network: Network{Duration{500 * time.Microsecond}, second},
		Demand: Demand{RequestsPerSecond: 400, KeyCount: 10000, ZipfExponent: 1.1, WriteShare: 0.04, MaxTries: 3, LatencyTarget: Duration{200 * time.Millisecond},
			TimeLimit: Duration{750 * time.Millisecond}, HotFactor: 10},
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
	require(e.Demand.RequestsPerSecond*e.Length.Seconds() <= maxRequests, "demand.rate", fmt.Sprintf("%d lookups in all at most", maxRequests), e.Demand.RequestsPerSecond)
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

// Whats names the kinds of event.
func EventKinds() []string { return sortedKeys(eventChecks) }

// Policies names what nodes can decide by.
func Policies() []string { return sortedKeys(policies) }

func sortedKeys[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
