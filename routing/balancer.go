package routing

import (
	"slices"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
)

// Balancer decides for one node. It is not safe for concurrent use.
type Balancer struct {
	host   Host
	config Config
	seed   uint64
	draws  uint64 // random numbers drawn so far
	now    Time   // time of the latest event

	nodeCount             float64
	shortestLatencyTarget Time // of all classes

	classes  []classState
	tenants  []tenantState
	requests []requestState // by the caller's index
	servers  []*serverState // by the caller's index; nil: never listed

	ready    []int // servers that are ready caches, in the order of their IDs
	origins  []int // servers that are ready origins, in ascending order
	inFlight int   // attempts in flight at all ready caches together

	fetchWaiters map[uint64][]int               // requests that wait for a fetch, by key hash
	quotas       [limitCount]*allowance.Limiter // of the cluster's limits; nil: no such limit

	// The histogram of keys and the ranges of the caches, see partition.go.
	binWeights         []float64 // weight of each bin, to be multiplied by weightScale
	weightScale        float64
	alpha              float64   // weight of the newest request in the histogram
	rememberedRequests float64   // requests that the histogram stands for
	recentRequests     float64   // decaying count
	recentByGroup      []float64 // decaying count for each group of bins
	rangeEnds          []float64 // upper end of each ready cache's range, in bins
	adaptDue           Time
	rangesDue          Time

	decayedAt      Time    // when the decaying counts were last halved
	warmCacheRate  float64 // first attempts per second that a warm cache answers this node
	initialLimit   float64 // concurrencyLimit of a new server
	admissionLevel float64 // from 0 to 1, see admissionProbability
	idleTimeout    Time    // how long an idle connection is kept

	subscribed  bool // to the endpoint list
	maxPollWait Time // longest wait between two polls while not subscribed
	pollDue     Time
}

// New returns the Balancer of one node, which starts by polling for the
// endpoint list. The seed should differ from node to node.
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
	b.maxPollWait = maxPollWait(config)
	b.initClasses()
	b.initTenants()
	b.scheduleFirstPoll()
	return b
}

// Request takes a client's request. From now on the client is owed exactly one
// final answer: an attempt that ends the request, Host.Reject or Host.Fail.
func (b *Balancer) Request(now Time, id int, request Request) {
	b.advanceClock(now)
	r := b.startRequest(id, request)
	if !b.admit(r) {
		b.rejectOrFail(id)
		return
	}
	b.advance(id)
}

// BodySent reports that an attempt of a Streaming request was written
// completely, or is about to end. The latencies of the attempt and of the
// request count from here.
func (b *Balancer) BodySent(now Time, id, attemptNumber int) {
	r := &b.requests[id]
	a := &r.attempts[attemptNumber]
	r.arrivedAt = now
	a.sentAt = now
	b.addInFlight(b.servers[a.server], 1)
}

// ClientGone reports that a request has ended without a final answer of the
// Balancer's.
func (b *Balancer) ClientGone(now Time, id int) {
	b.advanceClock(now)
	if b.requests[id].active {
		b.endRequest(id)
	}
}

// Alarm is called at or after a time given to Host.SetAlarm. An alarm that is
// out of date does nothing.
func (b *Balancer) Alarm(now Time, handle int) {
	b.advanceClock(now)
	if handle == pollAlarmHandle {
		b.pollIfDue()
		return
	}
	b.expireFetchWait(handle - firstRequestHandle)
}

// The handles of alarms: one for the poll, one for each request.
const (
	pollAlarmHandle    = 0
	firstRequestHandle = 1
)

// advanceClock moves the time on and does what is done at intervals.
func (b *Balancer) advanceClock(now Time) {
	b.now = now
	b.adaptIfDue()
	b.decayCounts()
}
