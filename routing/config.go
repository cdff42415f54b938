package routing

import "math"

// Idempotence is the retry class of a request: whether it may take effect more
// than once.
type Idempotence int

// The kinds of idempotence, most restrictive first.
const (
	Unsafe          Idempotence = iota // each attempt may take effect; also the default for unknown requests
	IdempotentByKey                    // servers drop requests that repeat an idempotency key within Class.DedupWindow
	Safe                               // a repeated request has no further effect
)

// String returns the name for logs and test reports.
func (i Idempotence) String() string {
	switch i {
	case Safe:
		return "safe"
	case IdempotentByKey:
		return "idempotent by key"
	}
	return "unsafe"
}

// NoOriginModel is the Config.OriginModel of a deployment whose settings name no
// origin. It is also the Endpoint.Model of servers of an unknown model.
const NoOriginModel = -1

// Config holds the settings of a deployment that decisions depend on.
// DefaultConfig returns the defaults.
type Config struct {
	Nodes       int  // number of nodes that share the servers, including this one
	CacheAside  bool // caches are filled from an origin server
	OriginModel int  // the Endpoint.Model of origins

	MaxAttempts   int  // attempts per request, including the first
	Hedging       bool // whether two attempts of a request may be in flight at once
	MaxRetryAfter Time // longest Retry-After that clients honor; 0: they ignore it

	SlowStartShare  float64 // share of its full capacity that a server has right after its start
	SlowStartWindow Time    // from a server's start until it has its full capacity
	OverloadFactor  float64 // a server in slow start is overloaded at this multiple of its current capacity,
	OverloadWindow  Time    // measured over a window of this length

	MaxPollInterval Time // longest time that the deployment allows between two polls of the endpoint list
	PushedGrace     Time // how long requests may follow the old list after a change was pushed
	Tick            Time // resolution of the deployment's clock

	Classes []Class  // indexed by Request.Class
	Tenants []Tenant // indexed by Request.Tenant
}

// Class is a class of requests. DefaultClass returns the defaults.
type Class struct {
	Idempotence   Idempotence
	SharedDedup   bool    // servers also drop repeats of requests that another server received
	DedupWindow   Time    // how long servers remember an idempotency key
	LatencyTarget Time    // an answer within this time has its full utility
	LateUtility   float64 // share of the full utility that a later answer has
}

// Tenant is a customer whose requests have a share of the capacity.
type Tenant struct {
	Quota float64 // requests per second, total of all nodes; +Inf: unlimited
}

// DefaultConfig returns the conservative defaults of all settings.
func DefaultConfig() Config {
	return Config{
		Nodes:           1,
		OriginModel:     NoOriginModel,
		MaxAttempts:     1,
		SlowStartShare:  0.1,
		SlowStartWindow: 30000 * Millisecond,
		OverloadFactor:  2.0,
		OverloadWindow:  1000 * Millisecond,
		MaxPollInterval: 2 * MaxPollGap,
		PushedGrace:     pushedGraceDivisor * MaxPollGap,
	}
}

// DefaultClass returns the defaults of a class.
func DefaultClass() Class {
	return Class{LatencyTarget: 1000 * Millisecond}
}

// DefaultTenant returns the defaults of a tenant.
func DefaultTenant() Tenant {
	return Tenant{Quota: math.Inf(1)}
}
