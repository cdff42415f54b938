package config

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Defaults, each on the cautious side of what deployments set.
const (
	defaultConnectTimeout = 100 * time.Millisecond
	defaultIdleTimeout    = 5 * time.Second
	defaultPollInterval   = 10 * time.Second
)

// Settings is what a deployment sets for all its nodes.
type Settings struct {
	// Routing is the configuration of package routing, with that package's defaults.
	Routing routing.Config

	// Classes, Tenants and Models map names to indices: of Routing.Classes, of Routing.Tenants, and of the kinds of machine.
	Classes, Tenants, Models map[string]int

	// MaxDeadline is the longest deadline of all classes.
	MaxDeadline time.Duration
	// MaxRetryAfter is the longest Retry-After that clients heed; 0: send none, which is also the default.
	MaxRetryAfter time.Duration
	// ConnectTimeout limits connecting to a cache server or the origin; 100 ms by default.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which servers close an idle connection; 5 s by default.
	IdleTimeout time.Duration
	// PollInterval is the time between two polls of the endpoint list; 10 s by default.
	PollInterval time.Duration
	// DrainGrace is the time from a drain's notice in which the first byte of an attempt may still reach the draining server;
	// 0, the default: no limit.
	DrainGrace time.Duration

	originKindSet bool // the settings name the origin's kind
}

// class returns a class by its name, which must be one of Classes.
func (s *Settings) class(name string) routing.Class { return s.Routing.Classes[s.Classes[name]] }

// IsSafe reports whether requests of a class may be executed any number of times.
func (s *Settings) IsSafe(class string) bool {
	return s.class(class).Idempotence == routing.Safe
}

// DedupWindow returns the time in which servers drop repeats of a request with an idempotency key, 0 for classes without.
func (s *Settings) DedupWindow(class string) time.Duration {
	if c := s.class(class); c.Idempotence == routing.IdempotentByKey {
		return Duration(c.DedupWindow)
	}
	return 0
}

// SharedDedup reports whether all servers together drop repeats of a request of this class by its idempotency key; else
// each server knows only the keys that it has seen itself.
func (s *Settings) SharedDedup(class string) bool {
	c := s.class(class)
	return c.Idempotence == routing.IdempotentByKey && c.SharedDedup
}

// IsOrigin reports whether a kind of machine, an index of Models, is the origin's.
func (s *Settings) IsOrigin(kind int) bool {
	return s.originKindSet && s.Routing.CacheAside && kind == s.Routing.OriginModel
}

// HedgingAllowed reports whether two attempts of a request may be in flight at once. The default is no.
func (s *Settings) HedgingAllowed() bool { return s.Routing.Hedging }

const (
	modeCacheAside = "aside" // domain.mode: caches are filled from an origin
	groupAll       = "all"   // namespaces[].group: all servers drop repeats of a key together
	modePolled     = "ask"   // registry-mode: nodes poll the endpoint list
)

// ParseSettings reads a deployment's settings. A key that is absent or malformed leaves the default; the error names each
// key that is malformed, or absent though required. Unknown keys are ignored: they may be of a newer version.
func ParseSettings(settings map[string]any) (*Settings, error) {
	var faults []error
	o := object{settings, "settings.", &faults}
	s := &Settings{
		Routing:        routing.DefaultConfig(),
		ConnectTimeout: defaultConnectTimeout,
		IdleTimeout:    defaultIdleTimeout,
		PollInterval:   defaultPollInterval,
	}
	s.readGeneral(o)
	s.readClasses(o)
	s.readTenants(o)
	s.Models = map[string]int{}
	for i, m := range items(settings["models"]) {
		s.Models[fmt.Sprint(m)] = i
	}
	s.readTimeouts(o)
	return s, errors.Join(faults...)
}

// readGeneral reads the keys that hold for all classes and tenants.
func (s *Settings) readGeneral(o object) {
	c := &s.Routing
	optional(o, "balancers", positiveInteger, &c.Nodes)
	var mode string
	optional(o, "domain.mode", text, &mode)
	c.CacheAside = mode == modeCacheAside
	if v, found := find(o.values, "domain.origin-kind"); found {
		_, s.originKindSet = integer.parse(v)
	}
	optional(o, "domain.origin-kind", integer, &c.OriginModel)
	optional(o, "permissions.most-shots", positiveInteger, &c.MaxAttempts)
	optional(o, "permissions.parallel-tries", boolean, &c.Hedging)
	optional(o, "permissions.max-retry-after-ms", duration, &c.MaxRetryAfter)
	optional(o, "invariants.cold-from", fraction, &c.SlowStartShare)
	optional(o, "invariants.warm-up-ms", duration, &c.SlowStartWindow)
	optional(o, "invariants.overload-factor", nonNegative, &c.OverloadFactor)
	optional(o, "invariants.fall-ms", duration, &c.OverloadWindow)
	optional(o, "invariants.ask-within-ms", duration, &c.MaxPollInterval)
	optional(o, "tick-ms", duration, &c.Tick)
	if advice, found := find(o.values, "permissions.retry-after"); found && advice == false {
		c.MaxRetryAfter = 0
	}
	s.MaxRetryAfter = Duration(c.MaxRetryAfter)
}

func (s *Settings) readClasses(o object) {
	classes, indices := objects(o, "namespaces")
	s.Classes = indices
	for _, x := range classes {
		c := routing.DefaultClass()
		var group string
		var deadline routing.Time
		var utility float64 // checked but not used
		required(x, "repeat", idempotence, &c.Idempotence)
		optional(x, "group", text, &group)
		required(x, "target-time-ms", duration, &c.LatencyTarget)
		required(x, "time-limit-ms", duration, &deadline)
		optional(x, "memory-span-ms", duration, &c.DedupWindow)
		optional(x, "late-utility", fraction, &c.LateUtility)
		optional(x, "utility", nonNegative, &utility)
		c.SharedDedup = group == groupAll
		s.MaxDeadline = max(s.MaxDeadline, Duration(deadline))
		s.Routing.Classes = append(s.Routing.Classes, c)
	}
	if len(classes) == 0 {
		o.fault("namespaces", "a list of one namespace at least")
	}
}

func (s *Settings) readTenants(o object) {
	tenants, indices := objects(o, "tenants")
	s.Tenants = indices
	for _, x := range tenants {
		c := routing.DefaultTenant()
		optional(x, "quota-rps", nonNegative, &c.Quota)
		s.Routing.Tenants = append(s.Routing.Tenants, c)
	}
}

func (s *Settings) readTimeouts(o object) {
	optionalTimeout(o, "permissions.connect-timeout-ms", &s.ConnectTimeout)
	optionalTimeout(o, "permissions.conn-idle-ms", &s.IdleTimeout)
	optionalTimeout(o, "invariants.ask-within-ms", &s.PollInterval)
	optionalTimeout(o, "invariants.stop-sending-within-ms", &s.DrainGrace)
	// The grace of a drain begins once the node is notified of it. A polled endpoint list notifies the node when it is sent, a
	// pushed one as soon as the discovery service has it, so that routing has to allow for the delay. Without the key, the
	// stricter of the two holds.
	if mode, _ := find(o.values, "registry-mode"); mode != modePolled && s.DrainGrace > 0 {
		s.Routing.PushedGrace = routing.Time(s.DrainGrace / tick)
	}
}

// tick is one unit of routing.Time.
const tick = time.Millisecond / time.Duration(routing.Millisecond)

// Ticks converts milliseconds to routing.Time, rounded down.
func Ticks(ms float64) routing.Time { return routing.Time(math.Floor(ms * 10)) }

// Duration converts routing.Time to the standard library's type.
func Duration(t routing.Time) time.Duration {
	return time.Duration(t) * tick
}
