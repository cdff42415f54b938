package routing

// Request describes a client's request.
type Request struct {
	Class     int     // index in Config.Classes
	Tenant    int     // index in Config.Tenants; -1: none
	Key       string  // key of the cached value; "": none
	Deadline  Time    // clock time at which the client stops waiting
	Work      float64 // estimate of the server's work in milliseconds; 0: unknown
	Write     bool
	Streaming bool // the body is still being received; BodySent reports its last byte
}

// Result is the outcome of an attempt.
type Result int

// The results. "Never ran" means that the attempt had no effect at the server.
const (
	Served           Result = iota
	ServerError             // the server answered with an error
	Rejected                // the server refused the attempt for lack of capacity; never ran
	TimedOut                // no answer within the timeout
	ConnectFailed           // no connection was established; never ran
	ConnectionBroken        // the connection broke during the attempt; only the simulator's network reports it
	Canceled                // the host ended the attempt
	NotSent                 // the host did not send the attempt; never ran
	NotFound                // the server has no value for the key; never ran
	ConnectionLimit         // the server has reached its limit of connections; never ran
	ConnectTimeout          // the address did not respond while connecting; never ran
	EndedBeforeWrite        // the request ended before its first byte, or the last of a streamed body, was written; never ran
)

// UpdateKind is the kind of an update of the endpoint list.
type UpdateKind int

// The kinds of update.
const (
	Incremental UpdateKind = iota // the endpoints that changed
	Full                          // all endpoints; an endpoint that is not listed is Gone
	Cached                        // all endpoints as last known; may be outdated
	Failed                        // a call or the subscription failed; the list is unchanged
)

// State is the state of an endpoint.
type State int

// The states.
const (
	Ready    State = iota // gets new attempts
	Draining              // finishes its attempts in flight and gets no new ones
	Gone                  // no longer listed
)

// Endpoint is a server on the endpoint list, a cache or an origin.
type Endpoint struct {
	Server    int    // index assigned by the caller
	ID        string // sort key of the caches
	Model     int    // index of the machine model; an origin has Config.OriginModel
	State     State
	StartedAt Time // clock time of its latest start; 0: longer ago than any slow start
}

// Limit identifies a cluster-wide limit, of which each node has a quota.
type Limit int

// The limits.
const (
	OriginRate        Limit = iota // attempts per second at the origin
	OriginConcurrency              // attempts in flight at the origin
	TenantRate                     // requests per second of a tenant
	DiscoveryRate                  // calls per second to the discovery service
	SlowStartRate                  // attempts per second at each cache in slow start or after an ejection
	CacheConcurrency               // attempts in flight at each cache
	limitCount
)
