package routing

import (
	"slices"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
)

// Balancer makes the routing decisions of one node. It is not safe for
// concurrent use.
type Balancer struct {
	host   Host
	config Config
	seed   uint64
	draws  uint64 // random numbers drawn so far
	now    Time   // time of the latest event

	nodeCount             float64
	shortestLatencyTarget Time // minimum over all classes

	classes  []classState
	tenants  []tenantState
	requests []requestState // by the caller's index
	servers  []*serverState // by the caller's index; nil: was never listed

	ready    []int // servers that are ready caches, sorted by ID
	origins  []int // servers that are ready origins, in ascending order of their index
	inFlight int   // total attempts in flight at ready caches

	fetchWaiters map[uint64][]int                // requests that wait for a fetch in flight, by key hash
	quotas       [limitCount]*quotalimit.Limiter // this node's quotas; nil: the cluster has no such limit

	// Histogram of the keys and ranges of the caches, see partition.go.
	binWeights         []float64 // weight of each bin, before multiplication by weightScale
	weightScale        float64
	alpha              float64   // weight of the newest request in the histogram
	rememberedRequests float64   // number of requests that the histogram represents
	recentRequests     float64   // decaying count
	recentByGroup      []float64 // decaying counts by group of bins
	rangeEnds          []float64 // upper end of each ready cache's range, in bins
	adaptDue           Time      // when the histogram is next adapted to the demand
	rangesDue          Time      // when the ranges are next recomputed

	decayedAt      Time    // when decayCounts last halved the counts of servers and tenants
	warmCacheRate  float64 // mean first attempts per second that a warm cache answers for this node
	initialLimit   float64 // initial concurrencyLimit of a server
	admissionLevel float64 // from 0 to 1, see admissionProbability
	idleTimeout    Time    // how long an idle connection is kept open

	subscribed bool // whether a subscription to the endpoint list is active
	maxPollGap Time // longest wait between two polls while not subscribed
	pollDue    Time // when the next poll is due
}

// New returns the Balancer of one node. It starts polling for the endpoint list.
// The seed should differ between nodes.
func New(host Host, seed uint64, now Time, config Config) *Balancer {
	b := &Balancer{
		host:           host,
		config:         config,
		seed:           seed,
		now:            now,
		nodeCount:      float64(max(1, config.Nodes)),
		fetchWaiters:   map[uint64][]int{},
		binWeights:     slices.Repeat([]float64{1.0 / binCount}, binCount),
		weightScale:    1,
		recentByGroup:  make([]float64, binGroups),
		adaptDue:       now + adaptInterval,
		decayedAt:      now,
		admissionLevel: 1,
		idleTimeout:    maxIdleTimeout,
	}
	b.initialLimit = initialConcurrencyLimit(b.nodeCount)
	b.maxPollGap = maxPollGap(config)
	b.initClasses()
	b.initTenants()
	b.scheduleFirstPoll()
	return b
}

// StartRequest starts a client's request. The request gets exactly one final answer:
// an attempt that ends it, Host.Reject or Host.Fail.
func (b *Balancer) StartRequest(now Time, id int, request Request) {
	b.advanceClock(now)
	r := b.initRequest(id, request)
	if !b.admit(r) {
		b.rejectOrFail(id)
		return
	}
	b.advance(id)
}

// BodySent reports that an attempt of a Streaming request was written
// completely, or is about to end. The latencies of the attempt and of the
// request are measured from this time.
func (b *Balancer) BodySent(now Time, id, attemptNumber int) {
	r := &b.requests[id]
	a := &r.attempts[attemptNumber]
	r.arrivedAt = now
	a.sentAt = now
	b.addInFlight(b.servers[a.server], 1)
}

// ClientGone reports that a request has ended without a final answer from the
// Balancer.
func (b *Balancer) ClientGone(now Time, id int) {
	b.advanceClock(now)
	if b.requests[id].active {
		b.endRequest(id)
	}
}

// HandleAlarm reports that a time passed to Host.SetAlarm has been reached. A stale
// alarm has no effect.
func (b *Balancer) HandleAlarm(now Time, handle int) {
	b.advanceClock(now)
	if handle == pollAlarmHandle {
		b.pollIfDue()
		return
	}
	b.expireFetchWait(handle - firstRequestHandle)
}

// Alarm handles: one for polls, and one for each request.
const (
	pollAlarmHandle    = 0
	firstRequestHandle = 1
)

// advanceClock sets the current time and runs the periodic work that is due.
func (b *Balancer) advanceClock(now Time) {
	b.now = now
	b.adaptIfDue()
	b.decayCounts()
}
