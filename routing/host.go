// Package routing decides what a balancer node does with each lookup. The other files hold every decision;
// this file only names what the decisions are told, how they act, and what they keep in mind.
package routing

import (
	"encoding/binary"
	"hash/fnv"
	"math"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
)

// Time is a clock reading or a span in whole tenths of a millisecond. Limits are rounded down on
// their way in, timers up.
type Time int64

// Millisecond is a thousandth of a second.
const Millisecond Time = 10

// Host is all that a Balancer can do. Lookups and servers are named by small indices that the caller hands
// out. A lookup's may be used again once it has ended and all its shots have settled, a server's once it is
// Gone and its shots have settled. Shots of a lookup are numbered from 0 in the order of Shoot.
type Host interface {
	// Send sends the lookup to a server; no answer within timeout settles the shot as TimedOut.
	Send(lkp, server int, timeout Time)
	// Reject ends the lookup: a retry is harmless, and welcome after the time given (0: no advice).
	Reject(lkp int, retryAfter Time)
	// Fail ends the lookup with no promise about its effect.
	Fail(lkp int)
	// Subscribe asks for the box list and its changes; List tells how it went. An order that comes while a call is
	// out is for one more beside it, which may find what the first can't: a service that is back, or one that is not silent.
	Subscribe()
	// CloseIdle closes the connections to a server that carry no shot, but for so many; a shot that finds none opens one.
	CloseIdle(server, but int)
	// SetAlarm asks for Alarm with this handle at that time or soon after.
	SetAlarm(at Time, handle int)
}

// Request is what a client asked for.
type Request struct {
	Class, Tenant int     // places in the terms' lists; Partner is -1 where there are none
	Key           string  // may be empty
	Deadline      Time    // clock time at which the client gives up
	Work          float64 // expected work in milliseconds, rough; 0 where not told
	Write         bool
	Streaming     bool // its body is still coming when a shot is sent; Sent tells of its last byte
}

// Result says how a shot ended.
type Result int

// The codes. Full, Unconnected, Unsent, Missing, Crowded, Unheard and Withheld prove that the shot never ran.
const (
	Served           Result = iota
	ServerError             // the server answered with an error
	Rejected                // turned away unseen
	TimedOut                // no answer in time
	ConnectFailed           // no connection could be made
	ConnectionBroken        // the connection broke while the shot was out
	Canceled                // called off by the host
	NotSent                 // the host had no business sending it
	NotFound                // the server has nothing under this key
	ConnectionLimit         // the server holds as many connections as it takes, and this was one more
	ConnectTimeout          // nobody was heard at the server's address while a connection was to come up
	Withheld                // its lookup was over before its first byte was written: it says nothing of the server
)

// UpdateKind says what a box list event holds.
type UpdateKind int

// The kinds of list event.
const (
	Incremental UpdateKind = iota // changed boxes only
	Full                          // all boxes: those missing are gone
	Cached                        // all boxes as last known, maybe old
	Failed                        // a call failed or the subscription broke; the old list stands
)

// State of a box.
type State int

// The states.
const (
	Ready State = iota
	Draining
	Gone
)

// Endpoint is one server on the list, a cache box or the origin.
type Endpoint struct {
	Server    int    // the caller's index
	ID        string // sorted, it gives the order of the ranges
	Model     int    // place among the machine models
	State     State
	StartedAt Time // its last start; 0: long ago
}

// Limit is what a budget of the whole fleet bounds.
type Limit int

// The bounds.
const (
	OriginRate        Limit = iota // shots at the origin a second,
	OriginConcurrency              // and at a time
	TenantRate                     // a partner's lookups a second
	DiscoveryRate                  // calls for the box list a second
	SlowStartRate                  // shots at each cold or returning cache a second
	CacheConcurrency               // shots at each cache at a time: each wants a connection
	limitCount
)

// ---- What the module keeps in mind ----

// Balancer decides for one node. It is not safe for concurrent use.
type Balancer struct {
	host                  Host
	config                Config
	seed                  uint64
	nodeCount             float64
	initialLimit          float64 // our part of roomLeast
	shortestLatencyTarget Time    // the shortest target time
	draws                 uint64
	now                   Time
	classes               []classState
	tenants               []tenantState

	servers      []*serverState
	ready        []int // ready caches in id order
	origins      []int
	requests     []requestState
	fetchWaiters map[uint64][]int               // key to the lookups that wait for its fetch
	quotas       [limitCount]*allowance.Limiter // of the fleet's budgets; none where nothing was told of one

	inFlight int // shots in flight at all ready caches together

	binWeights                         []float64 // the bins, to be multiplied by fade
	weightScale                        float64
	alpha                              float64
	rememberedRequests, recentRequests float64   // lookups that the bins remember, and the latest,
	recentByGroup                      []float64 // by group of bins; halved at times
	rangeEnds                          []float64 // upper ends of the ranges, in bins
	adaptDue, rangesDue                Time
	decayedAt                          Time
	warmCacheRate                      float64 // our answers a second from a warm cache
	admissionLevel                     float64 // how readily we take lookups beyond a partner's share: 1 where all goes well
	idleTimeout                        Time    // how long an idle connection is kept
	subscribed                         bool
	maxPollWait                        Time // the longest wait from one call for the list to the next, while not subscribed;
	pollDue                            Time // and when that next one is due
}

type classState struct {
	Class
	hintedWork, hintedRequests float64 // work hinted so far, and by how many
}

type tenantState struct {
	evenRate                  float64            // lookups a second within our even part of its share
	evenTokens, carriedTokens float64            // what is left of that, and of what we carry of its share
	quota                     *allowance.Limiter // of the fleet's budget for it
	requests                  float64            // halved now and then
	refilledAt                Time
}

type serverState struct {
	Endpoint
	isOrigin                         bool
	inFlight                         int
	answers                          float64 // to us, halved now and then
	firstAttemptAnswers              float64 // those to first shots
	consecutiveFailures              int
	meanLatency                      Time // mean time of the latest shots
	ejectionTime, ejectedUntil       Time // how long a suspect rests, and until when; rest 0: not suspect
	probing                          bool // a suspect's one trial is out
	retryBudget                      float64
	concurrencyLimit                 float64 // shots in flight with which its answers are quick
	slowStartTokens                  float64 // shots left of a cold cache's budget
	slowStartRefilledAt              Time
	lastDoneAt                       Time               // when the latest shot settled
	hasIdleConnection                bool               // a connection may be kept since
	slowStartQuota, concurrencyQuota *allowance.Limiter // parts of the fleet's budgets for it
}

type attempt struct {
	server    int
	startedAt Time // when it was ordered: its first byte may have left since
	sentAt    Time // when its last byte had, as far as we are told
	inFlight  bool
	neverRan  bool
}

type requestState struct {
	Request
	active      bool
	point       float64
	keyHash     uint64 // 0: none was named
	arrivedAt   Time
	giveUpAt    Time // when an answer is worth nothing any more; the time limit at the latest
	overQuota   bool // beyond its partner's share
	missed      bool
	isFetch     bool               // its fetch stands for all lookups of its key
	awaitsFetch bool               // for another's fetch
	deniedBy    *allowance.Limiter // what kept it from its next step
	work        float64
	attempts    []attempt
}

// firstPossibleRun tells when the first shot that may have run was ordered, if there is one: its server may know it since.
func (l *requestState) firstPossibleRun() (Time, bool) {
	for _, s := range l.attempts {
		if !s.neverRan {
			return s.startedAt, true
		}
	}
	return 0, false
}

// addInFlight books shots that begin or end at a server.
func (b *Balancer) addInFlight(s *serverState, n int) {
	if s.inFlight += n; s.State == Ready && !s.isOrigin {
		b.inFlight += n
	}
}

// meanInFlight is our mean in flight at ready caches, without a look at each. Only where a cache may be at a tie with a multiple of
// it, as 2 at one with 5 at all ten, are they added up one by one: there the rounding of that sum decides, and a few nodes'
// lookups meet ties all the time.
func (b *Balancer) meanInFlight() (mean float64) {
	sum, n := float64(b.inFlight), float64(len(b.ready))
	if sum == 0 || math.Mod(congestionFactor*sum, n) != 0 && math.Mod(busyFactor*sum, n) != 0 {
		return sum / n
	}
	for _, i := range b.ready {
		mean += float64(b.servers[i].inFlight) / n
	}
	return mean
}

func seconds(t Time) float64 { return float64(t) / float64(1000*Millisecond) }

// initClassesAndTenants takes over what the settings say of classes and tenants.
func (b *Balancer) initClassesAndTenants() {
	for _, class := range b.config.Classes {
		b.classes = append(b.classes, classState{Class: class})
		if b.shortestLatencyTarget == 0 || class.LatencyTarget < b.shortestLatencyTarget {
			b.shortestLatencyTarget = class.LatencyTarget
		}
	}
	for _, tenant := range b.config.Tenants {
		rate := tenant.Quota / b.nodeCount
		b.tenants = append(b.tenants, tenantState{evenRate: rate, evenTokens: rate + minTenantBurst, carriedTokens: rate + minTenantBurst, refilledAt: b.now})
	}
}

// draw gives the next number in [0, 1) of this node's own chance.
func (b *Balancer) draw() float64 {
	b.draws++
	h := fnv.New64a()
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], b.seed)
	binary.LittleEndian.PutUint64(buf[8:], b.draws)
	h.Write(buf[:])
	return float64(h.Sum64()%(1<<20)) / (1 << 20)
}

// keyPoint maps a key's hash to its point on the line.
func keyPoint(key uint64) float64 { return float64(key>>11) / (1 << 53) * binCount }
