package config

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Defaults. Each is more conservative than the values that deployments usually set.
const (
	defaultConnectTimeout = 100 * time.Millisecond
	defaultIdleTimeout    = 5 * time.Second
	defaultPollInterval   = 10 * time.Second
)

// Settings are the settings that all nodes of a deployment have in common.
type Settings struct {
	// Routing is the configuration of package routing, with that package's defaults.
	Routing routing.Config

	// Classes and Tenants map names to indices of Routing.Classes and Routing.Tenants. Models maps the names of server models to
	// their indices.
	Classes, Tenants, Models map[string]int

	// MaxDeadline is the longest deadline of all classes.
	MaxDeadline time.Duration
	// MaxRetryAfter is the longest Retry-After that clients obey. 0, the default, sends no Retry-After.
	MaxRetryAfter time.Duration
	// ConnectTimeout is the timeout of a connection attempt to a cache server or the origin; 100 ms by default.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which servers close an idle connection; 5 s by default.
	IdleTimeout time.Duration
	// PollInterval is the time between two polls of the endpoint list; 10 s by default.
	PollInterval time.Duration
	// DrainGrace is the time after a drain notification during which the first byte of an attempt may still reach the draining
	// server. 0, the default, sets no limit.
	DrainGrace time.Duration

	originKindSet bool // the key domain.origin-kind holds an integer
}

// class returns the class with the given name, which must be a key of Classes.
func (s *Settings) class(name string) routing.Class { return s.Routing.Classes[s.Classes[name]] }

// IsSafe reports whether a request of the class may be executed more than once.
func (s *Settings) IsSafe(class string) bool {
	return s.class(class).Idempotence == routing.Safe
}

// DedupWindow returns how long servers deduplicate requests of the class by their idempotency key. It returns 0 for classes
// without idempotency keys.
func (s *Settings) DedupWindow(class string) time.Duration {
	if c := s.class(class); c.Idempotence == routing.IdempotentByKey {
		return TimeToDuration(c.DedupWindow)
	}
	return 0
}

// SharedDedup reports whether the servers share the idempotency keys of the class for deduplication. If not, each server knows
// only the keys of the requests that it received itself.
func (s *Settings) SharedDedup(class string) bool {
	c := s.class(class)
	return c.Idempotence == routing.IdempotentByKey && c.SharedDedup
}

// IsOrigin reports whether a server model, given as an index of Models, is that of the origin.
func (s *Settings) IsOrigin(kind int) bool {
	return s.originKindSet && s.Routing.CacheAside && kind == s.Routing.OriginModel
}

// HedgingAllowed reports whether two attempts of a request may be in flight at the same time; false by default.
func (s *Settings) HedgingAllowed() bool { return s.Routing.Hedging }

const (
	domainModeCacheAside = "aside" // value of domain.mode: caches fetch missing objects from an origin
	groupAllServers      = "all"   // value of namespaces[].group: all servers share the idempotency keys
	registryModePolled   = "ask"   // value of registry-mode: nodes poll the endpoint list
)

// ParseSettings reads the settings of a deployment. An absent or invalid key keeps its default. The error names each invalid
// key and each required key that is absent. Unknown keys are ignored, as they may come from a newer version.
func ParseSettings(settings map[string]any) (*Settings, error) {
	var errs []error
	o := object{settings, "settings.", &errs}
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
	for i, m := range listItems(settings["models"]) {
		s.Models[fmt.Sprint(m)] = i
	}
	s.readTimeouts(o)
	return s, errors.Join(errs...)
}

// readGeneral reads the keys that apply to all classes and tenants.
func (s *Settings) readGeneral(o object) {
	c := &s.Routing
	readOptional(o, "balancers", positiveIntegerParser, &c.Nodes)
	var mode string
	readOptional(o, "domain.mode", stringParser, &mode)
	c.CacheAside = mode == domainModeCacheAside
	if v, found := lookup(o.values, "domain.origin-kind"); found {
		_, s.originKindSet = integerParser.parse(v)
	}
	readOptional(o, "domain.origin-kind", integerParser, &c.OriginModel)
	readOptional(o, "permissions.most-shots", positiveIntegerParser, &c.MaxAttempts)
	readOptional(o, "permissions.parallel-tries", boolParser, &c.Hedging)
	readOptional(o, "permissions.max-retry-after-ms", durationParser, &c.MaxRetryAfter)
	readOptional(o, "invariants.cold-from", fractionParser, &c.SlowStartShare)
	readOptional(o, "invariants.warm-up-ms", durationParser, &c.SlowStartWindow)
	readOptional(o, "invariants.overload-factor", nonNegativeParser, &c.OverloadFactor)
	readOptional(o, "invariants.fall-ms", durationParser, &c.OverloadWindow)
	readOptional(o, "invariants.ask-within-ms", durationParser, &c.MaxPollInterval)
	readOptional(o, "tick-ms", durationParser, &c.Tick)
	if enabled, found := lookup(o.values, "permissions.retry-after"); found && enabled == false {
		c.MaxRetryAfter = 0
	}
	s.MaxRetryAfter = TimeToDuration(c.MaxRetryAfter)
}

func (s *Settings) readClasses(o object) {
	classes, indices := namedObjects(o, "namespaces")
	s.Classes = indices
	for _, entry := range classes {
		c := routing.DefaultClass()
		var group string
		var deadline routing.Time
		var utility float64 // validated but not used
		readRequired(entry, "repeat", idempotenceParser, &c.Idempotence)
		readOptional(entry, "group", stringParser, &group)
		readRequired(entry, "target-time-ms", durationParser, &c.LatencyTarget)
		readRequired(entry, "time-limit-ms", durationParser, &deadline)
		readOptional(entry, "memory-span-ms", durationParser, &c.DedupWindow)
		readOptional(entry, "late-utility", fractionParser, &c.LateUtility)
		readOptional(entry, "utility", nonNegativeParser, &utility)
		c.SharedDedup = group == groupAllServers
		s.MaxDeadline = max(s.MaxDeadline, TimeToDuration(deadline))
		s.Routing.Classes = append(s.Routing.Classes, c)
	}
	if len(classes) == 0 {
		o.addError("namespaces", "a list of one namespace at least")
	}
}

func (s *Settings) readTenants(o object) {
	tenants, indices := namedObjects(o, "tenants")
	s.Tenants = indices
	for _, entry := range tenants {
		c := routing.DefaultTenant()
		readOptional(entry, "quota-rps", nonNegativeParser, &c.Quota)
		s.Routing.Tenants = append(s.Routing.Tenants, c)
	}
}

func (s *Settings) readTimeouts(o object) {
	readOptionalTimeout(o, "permissions.connect-timeout-ms", &s.ConnectTimeout)
	readOptionalTimeout(o, "permissions.conn-idle-ms", &s.IdleTimeout)
	readOptionalTimeout(o, "invariants.ask-within-ms", &s.PollInterval)
	readOptionalTimeout(o, "invariants.stop-sending-within-ms", &s.DrainGrace)
	// DrainGrace starts when the node counts as notified of the drain. With polling, that is when the discovery service sends the
	// endpoint list to the node. With pushing, it is when the discovery service itself has the change, so routing has to allow
	// for the delay until the list arrives. If registry-mode is absent, the stricter rule (pushing) applies.
	if mode, _ := lookup(o.values, "registry-mode"); mode != registryModePolled && s.DrainGrace > 0 {
		s.Routing.PushedGrace = routing.Time(s.DrainGrace / tick)
	}
}

// tick is the duration of one unit of routing.Time.
const tick = time.Millisecond / time.Duration(routing.Millisecond)

// MillisecondsToTime converts milliseconds to routing.Time, rounding down.
func MillisecondsToTime(ms float64) routing.Time { return routing.Time(math.Floor(ms * 10)) }

// TimeToDuration converts routing.Time to time.Duration.
func TimeToDuration(t routing.Time) time.Duration {
	return time.Duration(t) * tick
}
