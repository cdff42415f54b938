// Package dispatch connects a node's client side (package frontend) and its upstream side (package upstream) with the
// decisions of package routing.
//
// A Dispatcher owns the node's routing.Balancer. Under one lock it reports each event to the balancer and carries out
// what the balancer orders. Nothing that it calls while it holds the lock may block.
//
// A request and its attempts end separately:
//
//	PendingRequest  pending -> ended (final answer or client gone) -> released (index and trace id are free)
//	Attempt         in flight -> reported (over for the balancer) -> finished -> streamed answer closed
//
//	Attempt.Finish            ends an attempt, once; the transport calls it
//	Attempt.settle            the rest of Finish: answers the client where the attempt decides that, then reports
//	Attempt.report            tells the balancer the result, once; for Bypassed before Finish
//	Attempt.Release           the rest of a streamed answer is closed; the transport calls it after Finish
//	Dispatcher.finish         gives a request its final answer, and ends it
//	Dispatcher.end            marks a request as ended, with or without an answer
//	Dispatcher.releaseIfDone  releases a request that has ended and has no attempt in flight
package dispatch

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	wallclock "github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Transport carries attempts to the upstream servers. Its methods are called with the Dispatcher's lock held and must
// not block.
type Transport interface {
	// Send starts an attempt. The transport calls Attempt.Finish and then Attempt.Release for it, from another goroutine.
	Send(*Attempt)
	// CloseIdle closes the idle connections to an endpoint, named by its incarnation as in Attempt, except for keep of
	// them.
	CloseIdle(incarnation uint64, keep int)
	// SetMaxConns bounds the connections to each cache server, dials included. There is no bound until it is called.
	SetMaxConns(n int)
}

// EndpointSource watches the endpoint list and reports it to Dispatcher.UpdateEndpoints.
type EndpointSource interface {
	// Subscribe starts one attempt to fetch the list and to watch it. It must not block.
	Subscribe()
}

// Errors of Submit.
var (
	// ErrUnknownClass says that a request names no class of the configuration.
	ErrUnknownClass = errors.New("unknown namespace")
	// ErrDuplicateID says that another request with the same trace id is in flight: a server could not tell them apart.
	ErrDuplicateID = errors.New("a lookup with this id is out already")
)

// maxBodyDuration is longer than any streamed request body takes, from the slowest client too.
const maxBodyDuration = 15 * time.Minute

// Dispatcher reports a node's events to its balancer and carries out the balancer's orders. Its methods may be called
// from any goroutine, after Start.
type Dispatcher struct {
	log      *zap.Logger
	settings *config.Settings
	clock    clock
	wallNow  func() time.Time // reads the wall clock
	metrics  *metrics.Metrics

	// Set once by Start.
	transport      Transport
	endpointSource EndpointSource

	mu             sync.Mutex // guards everything below
	balancer       *routing.Balancer
	decisionTime   time.Time // of the latest event that was reported to the balancer
	requests       requestTable
	endpoints      endpointIndex
	ejections      map[string]Ejection // the latest of each endpoint, by its id
	listedIDs      listedIDs
	listReceived   bool         // an endpoint list that names any endpoint has come
	lastLiveUpdate routing.Time // of the endpoint list; 0: none yet
	alarms         alarmQueue
	quotas         quotas
	stats          Stats
}

// New returns a Dispatcher that does nothing before Start.
func New(settings *config.Settings, log *zap.Logger) *Dispatcher {
	d := &Dispatcher{
		log:       log,
		settings:  settings,
		clock:     clock{time.Now()},
		wallNow:   wallclock.Wall,
		metrics:   metrics.New(slices.Collect(maps.Keys(settings.Classes))),
		requests:  requestTable{byTraceID: map[string]*PendingRequest{}},
		endpoints: endpointIndex{byID: map[string]int{}},
		quotas:    quotas{concurrencyUntil: map[routing.Limit]time.Time{}},
	}
	d.alarms.timer = time.AfterFunc(time.Hour, d.fireAlarms)
	d.alarms.timer.Stop()
	return d
}

// Start creates the balancer, whose random choices follow from seed. It is called once, before any other method.
func (d *Dispatcher) Start(seed uint64, transport Transport, endpointSource EndpointSource) {
	d.transport = transport
	d.endpointSource = endpointSource
	d.withLock("start", nil, func(now routing.Time) {
		d.balancer = routing.New(host{d}, seed, now, d.settings.Routing)
	})
}

// withLock runs f with the lock held. A panic in f is logged and the request at hand, if there is one, fails: one
// defect must not end the node with all its requests.
func (d *Dispatcher) withLock(event string, r *PendingRequest, f func(now routing.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer func() {
		if panicValue := recover(); panicValue != nil {
			d.stats.Panics++
			d.log.Error("routing panicked", zap.String("during", event), zap.Any("panic", panicValue), zap.Stack("stack"))
			if r != nil {
				r.panicked = true
				d.finish(r, Answer{Outcome: Failed})
			}
		}
	}()
	f(d.beginDecision())
}

// beginDecision returns the time of an event for the balancer, and sets decisionTime: the decisions that follow from the
// event count from it. Called with the lock held.
func (d *Dispatcher) beginDecision() routing.Time {
	d.decisionTime = time.Now()
	return d.clock.toRoutingTime(d.decisionTime)
}

// Submit hands a client's request to the balancer. The client waits for timeout from receivedAt on, which is when the
// last byte of a buffered request came; a timeout beyond the configuration's longest deadline is cut to that. It
// returns ErrUnknownClass or ErrDuplicateID for a request that it does not take.
func (d *Dispatcher) Submit(request Request, receivedAt time.Time, timeout time.Duration) (*PendingRequest, error) {
	class, known := d.settings.Classes[request.Class]
	if !known {
		return nil, ErrUnknownClass
	}
	tenant, known := d.settings.Tenants[request.Tenant]
	if !known {
		tenant = -1
	}
	r := &PendingRequest{Request: request, dispatcher: d, receivedAt: receivedAt, answers: make(chan Answer, 1)}
	duplicate := false
	d.withLock("request", r, func(now routing.Time) {
		if duplicate = d.requests.contains(request.TraceID); duplicate {
			return
		}
		d.requests.add(r)
		d.stats.Requests++
		d.balancer.Request(now, r.index, routing.Request{
			Class:     class,
			Tenant:    tenant,
			Key:       request.Key,
			Deadline:  d.clock.toRoutingTime(d.balancerDeadline(r, timeout)),
			Work:      request.Work,
			Write:     request.Write,
			Streaming: request.Rest != nil,
		})
	})
	if duplicate {
		return nil, ErrDuplicateID
	}
	return r, nil
}

// balancerDeadline returns the deadline that the balancer is given, and notes the client's own one where it is known.
// The time of a streamed body counts from its last byte, which the transport sees to.
func (d *Dispatcher) balancerDeadline(r *PendingRequest, timeout time.Duration) time.Time {
	deadline := r.receivedAt.Add(min(timeout, d.settings.MaxDeadline))
	if r.Rest != nil {
		return deadline.Add(maxBodyDuration)
	}
	r.clientDeadline = r.receivedAt.Add(timeout)
	return deadline
}

// Ready reports whether requests can be routed: an endpoint list has come.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listReceived
}

// finish gives a request its one final answer. Called with the lock held.
func (d *Dispatcher) finish(r *PendingRequest, answer Answer) {
	if r.ended.Load() {
		return
	}
	d.end(r) // before the answer is seen: no attempt may begin after it
	r.answers <- answer
	latency := time.Since(r.receivedAt)
	d.stats.count(answer, latency)
	d.log.Debug("request ended", zap.String("trace", r.TraceID), zap.Stringer("outcome", answer.Outcome),
		zap.Int("attempts", r.attempts), zap.Int("in_flight", r.inFlight), zap.Bool("may_have_run", r.mayHaveRun),
		zap.Duration("after", latency))
}

// end marks a request as over. Called with the lock held.
func (d *Dispatcher) end(r *PendingRequest) {
	r.ended.Store(true)
	d.releaseIfDone(r)
}

// releaseIfDone frees a request's index and trace id once it has ended and none of its attempts is in flight. Called
// with the lock held.
func (d *Dispatcher) releaseIfDone(r *PendingRequest) {
	if !r.ended.Load() || r.inFlight > 0 || r.released {
		return
	}
	r.released = true
	d.requests.release(r)
}
