package routing

// Request describes a client's request.
type Request struct {
	Class     int     // index in Config.Classes
	Tenant    int     // index in Config.Tenants; -1: none
	Key       string  // key of the cached value; "": none
	Deadline  Time    // clock time at which the client gives up
	Work      float64 // rough estimate of the server's work in milliseconds; 0: unknown
	Write     bool
	Streaming bool // the body is still being received; BodySent reports its last byte
}

// Result is the outcome of an attempt.
type Result int

// The results. An attempt that ends with one of those marked "never ran" had
// no effect at the server.
const (
	Served           Result = iota
	ServerError             // the server answered with an error
	Rejected                // the server refused the attempt for lack of capacity; never ran
	TimedOut                // no answer within the timeout
	ConnectFailed           // no connection could be made; never ran
	ConnectionBroken        // the connection broke during the attempt; only the simulator's wire reports it
	Canceled                // the host ended the attempt
	NotSent                 // the host did not send it; never ran
	NotFound                // the server has no value for the key; never ran
	ConnectionLimit         // the server holds as many connections as it accepts; never ran
	ConnectTimeout          // the address did not respond while connecting; never ran
	Withheld                // the request ended before the first byte was written; never ran
)

// UpdateKind is the kind of an update of the endpoint list.
type UpdateKind int

// The kinds of update.
const (
	Incremental UpdateKind = iota // the endpoints that changed
	Full                          // all endpoints; those not listed are gone
	Cached                        // all endpoints as last known, possibly outdated
	Failed                        // a call or the subscription failed; the list stays as it is
)

// State is the state of an endpoint.
type State int

// The states.
const (
	Ready    State = iota // gets new attempts
	Draining              // finishes its attempts and gets no new ones
	Gone                  // no longer listed
)

// Endpoint is a server on the endpoint list, a cache or an origin.
type Endpoint struct {
	Server    int    // index assigned by the caller
	ID        string // caches are ordered by it
	Model     int    // index of the machine model; Config.OriginKind marks an origin
	State     State
	StartedAt Time // clock time of its latest start; 0: long ago
}

// Limit names what a quota of the cluster bounds.
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
