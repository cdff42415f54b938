package routing

import "math"

// Idempotence says what a repeated request does at a server.
type Idempotence int

// The kinds of idempotence, the most cautious first.
const (
	Unsafe          Idempotence = iota // each repeat may take effect; also what is unknown
	IdempotentByKey                    // servers drop a repeat of the same key within the deduplication window
	Safe                               // a repeat has no further effect
)

// String gives the name as it stands in logs and test reports.
func (i Idempotence) String() string {
	switch i {
	case Safe:
		return "safe"
	case IdempotentByKey:
		return "idempotent by key"
	}
	return "unsafe"
}

// NoOriginKind is the OriginKind of a deployment whose settings name none. Servers of an unknown model have this kind.
const NoOriginKind = -1

// Config is what a deployment's settings say to the decisions. DefaultConfig gives the values for what they leave out.
type Config struct {
	Nodes      int  // nodes that share the servers, this one included
	CacheAside bool // caches are filled from an origin server
	OriginKind int  // the Endpoint.Kind of origin servers

	MaxAttempts   int  // attempts of one request, the first included
	Hedging       bool // whether two attempts of a request may be in flight at once
	MaxRetryAfter Time // longest Retry-After that clients heed; 0: they heed none

	SlowStartShare  float64 // share of its capacity that a server bears right after its start
	SlowStartWindow Time    // from a server's start until it bears all of its capacity
	OverloadFactor  float64 // a server in slow start falls when it gets this many times what it bears,
	OverloadWindow  Time    // counted over this span

	MaxPollInterval Time // longest time between two polls of the endpoint list that the deployment allows
	PushedGrace     Time // how long after a pushed change of the endpoint list a request may still go by the old one
	Tick            Time // the clock's step: what is late by two of them counts as in time

	Classes []Class  // of requests, by Request.Class
	Tenants []Tenant // by Request.Tenant
}

// Class is a class of requests. DefaultClass gives the values for what the settings leave out.
type Class struct {
	Idempotence   Idempotence
	SharedDedup   bool    // all servers together drop repeats of a key, not each its own alone
	DedupWindow   Time    // span in which servers drop repeats of a key
	LatencyTarget Time    // an answer within it has its full utility
	LateUtility   float64 // share of the utility that an answer after the latency target still has
}

// Tenant is a customer whose requests have a share of the capacity.
type Tenant struct {
	Quota float64 // requests a second of all nodes together; +Inf: unlimited
}

// DefaultConfig gives the cautious values that hold where the settings are silent.
func DefaultConfig() Config {
	return Config{
		Nodes:           1,
		OriginKind:      NoOriginKind,
		MaxAttempts:     1,
		SlowStartShare:  0.1,
		SlowStartWindow: 30000 * Millisecond,
		OverloadFactor:  2.0,
		OverloadWindow:  1000 * Millisecond,
		MaxPollInterval: 2 * MaxPollWait,
		PushedGrace:     pushedGraceDivisor * MaxPollWait,
	}
}

// DefaultClass gives the values of a class that hold where the settings are silent.
func DefaultClass() Class {
	return Class{LatencyTarget: 1000 * Millisecond}
}

// DefaultTenant gives the values of a tenant that hold where the settings are silent.
func DefaultTenant() Tenant {
	return Tenant{Quota: math.Inf(1)}
}
