package routing

import "math"

// Idempotence says whether a request may have its effect more than once.
type Idempotence int

// The kinds of idempotence, the most cautious first.
const (
	Unsafe          Idempotence = iota // each attempt may take effect; also if unknown
	IdempotentByKey                    // servers drop repeats of its idempotency key within Class.DedupWindow
	Safe                               // a repeat has no further effect
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

// NoOriginModel is the OriginKind of a deployment whose settings name none. It is
// also the Endpoint.Model of servers of an unknown model.
const NoOriginModel = -1

// Config holds the settings of a deployment that decisions depend on.
// DefaultConfig gives the values for those that are not set.
type Config struct {
	Nodes       int  // nodes that share the servers, this one included
	CacheAside  bool // caches are filled from an origin server
	OriginModel int  // the Endpoint.Model of origins

	MaxAttempts   int  // attempts per request, the first included
	Hedging       bool // whether two attempts of a request may be in flight at once
	MaxRetryAfter Time // longest Retry-After that clients obey; 0: they obey none

	SlowStartShare  float64 // share of its capacity that a server bears right after its start
	SlowStartWindow Time    // from a server's start until it bears all of its capacity
	OverloadFactor  float64 // times what it bears, with which a server in slow start is overloaded,
	OverloadWindow  Time    // counted over a window of this length

	MaxPollInterval Time // longest time between two polls of the endpoint list that the deployment allows
	PushedGrace     Time // how long after a pushed change of the list a request may still follow the old one
	Tick            Time // resolution of the deployment's clock

	Classes []Class  // indexed by Request.Class
	Tenants []Tenant // indexed by Request.Tenant
}

// Class is a class of requests. DefaultClass gives the values for what is not set.
type Class struct {
	Idempotence   Idempotence
	SharedDedup   bool    // servers drop repeats that another server has seen, too
	DedupWindow   Time    // how long servers remember an idempotency key
	LatencyTarget Time    // an answer within it has its full utility
	LateUtility   float64 // share of the utility that a later answer has
}

// Tenant is a customer whose requests have a share of the capacity.
type Tenant struct {
	Quota float64 // requests per second at all nodes together; +Inf: unlimited
}

// DefaultConfig returns the cautious values of settings that are not set.
func DefaultConfig() Config {
	return Config{
		Nodes:           1,
		OriginModel:     NoOriginModel,
		MaxAttempts:     1,
		SlowStartShare:  0.1,
		SlowStartWindow: 30000 * Millisecond,
		OverloadFactor:  2.0,
		OverloadWindow:  1000 * Millisecond,
		MaxPollInterval: 2 * MaxPollWait,
		PushedGrace:     pushedGraceDivisor * MaxPollWait,
	}
}

// DefaultClass returns the values of a class that are not set.
func DefaultClass() Class {
	return Class{LatencyTarget: 1000 * Millisecond}
}

// DefaultTenant returns the values of a tenant that are not set.
func DefaultTenant() Tenant {
	return Tenant{Quota: math.Inf(1)}
}
