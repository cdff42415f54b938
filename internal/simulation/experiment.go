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
type Span struct{ time.Duration }

// UnmarshalText reads one.
func (s *Span) UnmarshalText(text []byte) (err error) {
	if s.Duration, err = time.ParseDuration(string(text)); err != nil {
		return fmt.Errorf("expected a time in quotes with its unit, as \"200ms\" or \"2s\", not %s", text)
	}
	return nil
}

// ticks gives it on the module's clock.
func (s Span) ticks() routing.Time { return ticks(s.Duration) }

func ticks(d time.Duration) routing.Time {
	return routing.Time(d / (time.Millisecond / time.Duration(routing.Millisecond)))
}

// Experiment is what is to be played.
type Experiment struct {
	Name     string   `toml:"name"`
	Seed     uint64   `toml:"seed"`
	Length   Span     `toml:"length"`
	Policies []string `toml:"policies"`
	Fleet    Fleet    `toml:"fleet"`
	Origin   Station  `toml:"origin"`
	Network  Network  `toml:"network"`
	Demand   Demand   `toml:"demand"`
	Rules    Rules    `toml:"rules"`
	Events   []Event  `toml:"event"`
	// Vary has lists of values under keys of a description. Each value makes one more, else like this one.
	Vary map[string]any `toml:"vary"`
}

// Station is a server: places at which it works, a queue before them, and how long a lookup takes.
type Station struct {
	Slots   int    `toml:"slots"`
	Queue   int    `toml:"queue"`
	Service Span   `toml:"service"` // mean
	Shape   string `toml:"shape"`   // fixed or exponential
}

// Fleet is the nodes and the caches.
type Fleet struct {
	Nodes  int `toml:"nodes"`
	Caches int `toml:"caches"`
	Station
	Miss      float64 `toml:"miss"` // share of a hit's work that finding nothing takes
	Keep      int     `toml:"keep"` // values that a cache holds; the one used longest ago goes
	ColdShare float64 `toml:"cold_share"`
	WarmUp    Span    `toml:"warm_up"`
	Budget    *Budget `toml:"budget"`
	Probe     bool    `toml:"probe"` // one node tries resting caches for all, and the others hear of it
}

// Network is the way between any two, and how news spreads.
type Network struct {
	OneWay Span `toml:"one_way"`
	Notice Span `toml:"notice"` // the longest until a node hears of a change
}

// Demand is what clients ask.
type Demand struct {
	Rate   float64 `toml:"rate"` // lookups a second before all nodes
	Keys   uint64  `toml:"keys"`
	Skew   float64 `toml:"skew"`   // of Zipf's law, above 1
	Writes float64 `toml:"writes"` // share, each with an effect that must not happen twice
	Tries  int     `toml:"tries"`  // a client asks so often at the most, after deferrals
	Target Span    `toml:"target"`
	Limit  Span    `toml:"limit"`
	Hot    float64 `toml:"hot"` // how many times as much the nodes of a move are asked as others
}

// Rules is what the checker holds a run against.
type Rules struct {
	Shots    int     `toml:"shots"`
	Grace    Span    `toml:"grace"` // from a drain's news to the last new shot
	Overload float64 `toml:"overload"`
	Window   Span    `toml:"window"`
}

// Event is something that happens.
type Event struct {
	At     Span    `toml:"at"`
	What   string  `toml:"what"`
	Caches int     `toml:"caches"`
	Nodes  int     `toml:"nodes"`
	Factor float64 `toml:"factor"`
	For    Span    `toml:"for"`
}

// whats are the kinds of event, with what each needs.
var whats = map[string]func(e Event) string{
	"add":     func(e Event) string { return atLeast("caches", e.Caches, 1) },
	"drain":   func(e Event) string { return atLeast("caches", e.Caches, 1) },
	"crash":   func(e Event) string { return atLeast("caches", e.Caches, 1) },
	"restart": func(e Event) string { return atLeast("nodes", e.Nodes, 1) },
	"slow":    func(e Event) string { return either(atLeast("caches", e.Caches, 1), lasting(e)) },
	"demand":  lasting,
	"shift":   func(Event) string { return "" },
	"silent":  func(e Event) string { return either(atLeast("caches", e.Caches, 1), forSome(e)) },
	"unled":   forSome,
	"move":    func(e Event) string { return atLeast("nodes", e.Nodes, 1) },
	"kill":    func(e Event) string { return atLeast("nodes", e.Nodes, 1) },
	"cut":     func(e Event) string { return either(atLeast("nodes", e.Nodes, 1), forSome(e)) },
}

func atLeast(key string, n, least int) string {
	if n >= least {
		return ""
	}
	return fmt.Sprintf("%s: expected %d or more, not %d", key, least, n)
}

func lasting(e Event) string {
	if e.Factor <= 0 {
		return fmt.Sprintf("factor: expected a number above 0, not %g", e.Factor)
	}
	return forSome(e)
}

func forSome(e Event) string {
	if e.For.Duration <= 0 {
		return "for: expected a time above 0"
	}
	return ""
}

func either(faults ...string) string {
	for _, f := range faults {
		if f != "" {
			return f
		}
	}
	return ""
}

// most bounds what a description may ask for, so that a slip doesn't take a machine down.
const (
	nodesMost  = 20_000
	cachesMost = 6_000
	// pairsMost bounds what all nodes together know of caches, those added later included: some 0.35 KB a pair, as 7.1 GB with
	// 20,000 nodes and 1,000 caches, and 7.8 GB with 3,500 and 5,700.
	pairsMost   = 20_000_000
	lookupsMost = 50_000_000
)

// caches counts those of the start and all that are added.
func (e *Experiment) caches() int {
	n := e.Fleet.Caches
	for _, ev := range e.Events {
		if ev.What == "add" {
			n += max(0, min(ev.Caches, 1<<30)) // a sum of slips must not wrap round
		}
	}
	return n
}

// AtOnce tells how many runs of an experiment may be played at a time, one at least: all keep their pairs in memory.
func (e *Experiment) AtOnce() int {
	return max(1, pairsMost/max(1, e.Fleet.Nodes*e.caches()))
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
	all, err := e.varied(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return append([]*Experiment{e}, all...), nil
}

// Parse reads a description. What is left out takes a value of a middling fleet.
func Parse(text []byte) (*Experiment, error) {
	second := Span{time.Second}
	e := &Experiment{Name: "unnamed", Seed: 1, Length: Span{time.Minute}, Policies: []string{"ranges"},
		Fleet: Fleet{Nodes: 4, Caches: 10, Station: Station{4, 16, Span{8 * time.Millisecond}, "exponential"},
			Miss: 0.2, Keep: 2000, ColdShare: 0.25, WarmUp: Span{15 * time.Second}},
		Origin:  Station{20, 200, Span{60 * time.Millisecond}, "exponential"},
		Network: Network{Span{500 * time.Microsecond}, second},
		Demand: Demand{Rate: 400, Keys: 10000, Skew: 1.1, Writes: 0.04, Tries: 3, Target: Span{200 * time.Millisecond},
			Limit: Span{750 * time.Millisecond}, Hot: 10},
		Rules: Rules{3, Span{500 * time.Millisecond}, 4, Span{1500 * time.Millisecond}}}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(e)
	if unknown := (*toml.StrictMissingError)(nil); errors.As(err, &unknown) {
		var faults []error
		for _, u := range unknown.Errors {
			row, column := u.Position()
			faults = append(faults, fmt.Errorf("line %d, column %d: %v is no key of a description", row, column, strings.Join(u.Key(), ".")))
		}
		return nil, errors.Join(faults...)
	}
	if wrong := (*toml.DecodeError)(nil); errors.As(err, &wrong) {
		row, column := wrong.Position()
		return nil, fmt.Errorf("line %d, column %d: %w", row, column, wrong)
	}
	if err != nil {
		return nil, err
	}
	return e, e.check()
}

func (e *Experiment) check() error {
	var faults []error
	want := func(ok bool, key, expected string, got any) {
		if !ok {
			faults = append(faults, fmt.Errorf("%s: expected %s, not %v", key, expected, got))
		}
	}
	station := func(name string, s Station) {
		want(s.Slots >= 1, name+".slots", "1 or more", s.Slots)
		want(s.Queue >= 0, name+".queue", "0 or more", s.Queue)
		want(s.Service.ticks() >= 1, name+".service", "0.1ms or more", s.Service)
		want(s.Shape == "fixed" || s.Shape == "exponential", name+".shape", "fixed or exponential", s.Shape)
	}
	for i, p := range e.Policies {
		want(policies[p] != nil, fmt.Sprintf("policies[%d]", i), "one of "+fmt.Sprint(Policies()), p)
	}
	want(len(e.Policies) > 0, "policies", "one or more", e.Policies)
	want(e.Length.Duration > 0, "length", "a time above 0", e.Length)
	want(e.Fleet.Nodes >= 1 && e.Fleet.Nodes <= nodesMost, "fleet.nodes", fmt.Sprintf("1 to %d", nodesMost), e.Fleet.Nodes)
	want(e.Fleet.Caches >= 1 && e.Fleet.Caches <= cachesMost, "fleet.caches", fmt.Sprintf("1 to %d", cachesMost), e.Fleet.Caches)
	if all := e.caches(); e.Fleet.Caches <= cachesMost && e.Fleet.Nodes <= nodesMost {
		want(all <= cachesMost, "event", fmt.Sprintf("%d caches at most, with those added", cachesMost), all)
		want(all > cachesMost || e.Fleet.Nodes*all <= pairsMost, "fleet.nodes",
			fmt.Sprintf("%d at most with %d caches, those added included", pairsMost/max(1, all), all), e.Fleet.Nodes)
	}
	station("fleet", e.Fleet.Station)
	station("origin", e.Origin)
	want(e.Fleet.Miss >= 0 && e.Fleet.Miss <= 1, "fleet.miss", "a share from 0 to 1", e.Fleet.Miss)
	want(e.Fleet.Keep >= 1, "fleet.keep", "1 or more", e.Fleet.Keep)
	want(e.Fleet.ColdShare > 0 && e.Fleet.ColdShare <= 1, "fleet.cold_share", "a share above 0, at most 1", e.Fleet.ColdShare)
	want(e.Fleet.WarmUp.Duration >= 0, "fleet.warm_up", "0s or more", e.Fleet.WarmUp)
	want(e.Network.OneWay.Duration >= 0, "network.one_way", "0s or more", e.Network.OneWay)
	want(e.Network.Notice.Duration >= 0, "network.notice", "0s or more", e.Network.Notice)
	want(e.Demand.Rate > 0, "demand.rate", "a number above 0", e.Demand.Rate)
	want(e.Demand.Rate*e.Length.Seconds() <= lookupsMost, "demand.rate", fmt.Sprintf("%d lookups in all at most", lookupsMost), e.Demand.Rate)
	want(e.Demand.Keys >= 1, "demand.keys", "1 or more", e.Demand.Keys)
	want(e.Demand.Skew > 1, "demand.skew", "a number above 1", e.Demand.Skew)
	want(e.Demand.Writes >= 0 && e.Demand.Writes <= 1, "demand.writes", "a share from 0 to 1", e.Demand.Writes)
	want(e.Demand.Tries >= 1, "demand.tries", "1 or more", e.Demand.Tries)
	want(e.Demand.Target.Duration > 0, "demand.target", "a time above 0", e.Demand.Target)
	want(e.Demand.Limit.Duration >= e.Demand.Target.Duration, "demand.limit", "the target or more", e.Demand.Limit)
	want(e.Demand.Hot >= 1, "demand.hot", "1 or more", e.Demand.Hot)
	if e.Fleet.Budget != nil {
		e.Fleet.Budget.check(want)
	}
	want(e.Rules.Shots >= 1, "rules.shots", "1 or more", e.Rules.Shots)
	want(e.Rules.Overload > 0, "rules.overload", "a number above 0", e.Rules.Overload)
	want(e.Rules.Window.Duration > 0, "rules.window", "a time above 0", e.Rules.Window)
	for i, ev := range e.Events {
		at := fmt.Sprintf("event[%d].", i)
		want(ev.At.Duration >= 0 && ev.At.Duration < e.Length.Duration, at+"at", "a time within the length", ev.At)
		needs := whats[ev.What]
		want(needs != nil, at+"what", "one of "+fmt.Sprint(Whats()), ev.What)
		if needs != nil {
			if fault := needs(ev); fault != "" {
				faults = append(faults, errors.New(at+fault))
			}
		}
	}
	return errors.Join(faults...)
}

// Whats names the kinds of event.
func Whats() []string { return sorted(whats) }

// Policies names what nodes can decide by.
func Policies() []string { return sorted(policies) }

func sorted[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
