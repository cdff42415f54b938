// Package dispatch connects a node's client side (package frontend) and its upstream side (package upstream) with the
// decisions of package routing.
//
// A Dispatcher owns the node's routing.Balancer. Under one lock it reports each event to the balancer and carries out
// what the balancer orders. Nothing that it calls while it holds the lock may block.
//
// A request and its attempts end separately:
//
//	PendingRequest  pending -> ended (final answer or client gone) -> released (index and trace id are free)
//	Attempt         in flight -> reported (the balancer knows its result) -> finished
//
//	Attempt.Finish            ends an attempt, once; the transport calls it
//	Attempt.Deliver           gives the client an answer that is still being received, before Finish
//	Attempt.ReportLong        settles an attempt whose delivered answer is long, before Finish
//	Attempt.settle            delivers a complete answer to the client, then calls report
//	Attempt.report            tells the balancer the result, once; a Bypassed attempt is reported before it is settled
//	host.endWith              ends a request without an answer, or holds that end while an answer is being received
//	Dispatcher.finish         delivers a request's final answer and ends the request
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
	"github.com/thistlerudder/thistlerudder/internal/net/requestids"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Transport carries attempts to the upstream servers. Its methods are called with the Dispatcher's lock held and must
// not block.
type Transport interface {
	// Send starts an attempt. The transport calls Attempt.Finish for it, from another goroutine, once its answer has been
	// received or has failed. An answer that is streamed is given to Attempt.Deliver before.
	Send(*Attempt)
	// CloseIdleConnections closes the idle connections to an endpoint except for keep of them. The incarnation identifies the
	// endpoint, as in Attempt.
	CloseIdleConnections(incarnation uint64, keep int)
	// SetMaxConnsPerCache bounds the connections to each cache server, dials included. There is no bound until it is called.
	SetMaxConnsPerCache(n int)
}

// EndpointSource watches the endpoint list and reports it to Dispatcher.UpdateEndpoints.
type EndpointSource interface {
	// Subscribe tries once to fetch the list and to watch it. It must not block.
	Subscribe()
}

// Errors of Submit.
var (
	// ErrUnknownClass is returned for a request whose class is not in the configuration.
	ErrUnknownClass = errors.New("unknown namespace")
	// ErrDuplicateID is returned for a request whose trace id is in use by another one, or was a short time ago by one that
	// may have run and must not run again. A server could not tell the two apart.
	ErrDuplicateID = errors.New("a lookup with this id is out already")
)

// Dispatcher reports a node's events to its balancer and carries out the balancer's orders. Its methods may be called
// from any goroutine, after Start.
type Dispatcher struct {
	log      *zap.Logger
	settings *config.Settings
	clock    clock
	wallNow  func() time.Time // reads the wall clock
	metrics  *metrics.Metrics

	// Set once, by Start and ShareIDs.
	transport      Transport
	endpointSource EndpointSource
	ids            *requestids.Table

	mu             sync.Mutex // guards everything below
	balancer       *routing.Balancer
	decisionTime   time.Time // when the latest event was reported to the balancer
	requests       requestTable
	endpoints      endpointIndex
	ejections      map[string]Ejection // the latest one of each endpoint, by endpoint id
	listedIDs      listedIDs
	listReceived   bool         // a non-empty endpoint list was received
	lastLiveUpdate routing.Time // time of the latest full or incremental update of the endpoint list; 0: none yet
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
		ids:       requestids.New(),
	}
	d.alarms.timer = time.AfterFunc(time.Hour, d.fireAlarms)
	d.alarms.timer.Stop()
	return d
}

// Start creates the balancer and seeds its random choices. It is called once, before any other method.
func (d *Dispatcher) Start(seed uint64, transport Transport, endpointSource EndpointSource) {
	d.transport = transport
	d.endpointSource = endpointSource
	d.withLock("start", nil, func(now routing.Time) {
		d.balancer = routing.New(host{d}, seed, now, d.settings.Routing)
	})
}

// ShareIDs makes the dispatcher remember ids in a table that the processes of a node share. It is called before Submit.
func (d *Dispatcher) ShareIDs(ids *requestids.Table) { d.ids = ids }

// withLock runs f with the lock held. A panic in f is logged, and the request r, if not nil, fails: one defect must not
// end the node with all its requests. event names the call in the log.
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

// beginDecision returns the present time, to be reported to the balancer with an event. It also sets decisionTime, from
// which the timeouts of the attempts that the balancer then orders count. Called with the lock held.
func (d *Dispatcher) beginDecision() routing.Time {
	d.decisionTime = time.Now()
	return d.clock.toRoutingTime(d.decisionTime)
}

// Submit passes a client's request to the balancer. receivedAt is when the last byte of a buffered request was
// received, or of a streamed one its head. The client waits until timeout after the request's last byte. It is worked on
// for the configuration's longest deadline at most. Submit returns ErrUnknownClass or ErrDuplicateID if it
// does not accept the request.
func (d *Dispatcher) Submit(request Request, receivedAt time.Time, timeout time.Duration) (*PendingRequest, error) {
	class, known := d.settings.Classes[request.Class]
	if !known {
		return nil, ErrUnknownClass
	}
	tenant, known := d.settings.Tenants[request.Tenant]
	if !known {
		tenant = -1
	}
	r := &PendingRequest{Request: request, dispatcher: d, receivedAt: receivedAt, clientDeadline: receivedAt.Add(timeout),
		answers: make(chan Answer, 1)}
	duplicate := false
	d.withLock("request", r, func(now routing.Time) {
		if duplicate = d.requests.contains(request.TraceID) || !d.reserveID(r); duplicate {
			return
		}
		d.requests.add(r)
		d.stats.Requests++
		d.balancer.StartRequest(now, r.index, routing.Request{
			Class:     class,
			Tenant:    tenant,
			Key:       request.Key,
			Deadline:  d.clock.toRoutingTime(earlier(r.clientDeadline, d.decisionTime.Add(d.settings.MaxDeadline))),
			Work:      request.EstimatedMs,
			Write:     request.Write,
			Streaming: request.BodyStream != nil,
		})
	})
	if duplicate {
		return nil, ErrDuplicateID
	}
	return r, nil
}

// Ready reports whether requests can be routed, which takes a non-empty endpoint list.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listReceived
}

// finish delivers a request's final answer, unless the request has ended. Called with the lock held.
func (d *Dispatcher) finish(r *PendingRequest, answer Answer) {
	if r.ended.Load() {
		return
	}
	d.end(r) // before the client sees the answer, since no attempt may begin after that
	answer.Attempts = r.attempts
	r.answers <- answer
	latency := time.Since(r.receivedAt)
	d.stats.count(answer, latency)
	d.log.Debug("request ended", zap.String("trace", r.TraceID), zap.Stringer("outcome", answer.Outcome),
		zap.Int("attempts", r.attempts), zap.Int("in_flight", r.inFlight), zap.Bool("may_have_run", r.mayHaveRun),
		zap.Duration("after", latency))
}

// finishHeld delivers the held answer of a request once no attempt in flight has begun to bring another one. Called with the lock held.
func (d *Dispatcher) finishHeld(r *PendingRequest) {
	if r.held == nil || r.awaitsAnswer() {
		return
	}
	d.finish(r, *r.held)
}

// end marks a request as ended. Called with the lock held.
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
	d.releaseID(r)
	d.requests.release(r)
}
