// Package dispatch is where the client side and the server side of a node meet. An Exchange owns the
// decision module: under one lock it reports each thing that happens, keeps the alarms and the indices, and
// carries out what the module orders, without ever blocking.
package dispatch

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	wall "github.com/thistlerudder/thistlerudder/internal/clock"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/metrics"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Transport brings shots to the servers; none of its methods may block. Each shot is settled once, by Settle.
type Transport interface {
	Send(*Attempt)
	// CloseIdle closes the connections to a place that carry no shot, but for so many.
	CloseIdle(place uint64, but int)
	// SetMaxConns bounds the connections to each cache, those being made included; before it is called nothing does.
	SetMaxConns(n int)
}

// EndpointSource follows the box list once it is told to, and reports by List. Subscribe must not block.
type EndpointSource interface{ Subscribe() }

// Endpoint is an entry of the box list.
type Endpoint struct {
	ID, Address, Model string
	State              routing.State
	StartedMs          float64 // Unix time, 0: long ago
}

// Dispatcher is one node's owner of decisions.
type Dispatcher struct {
	log      *zap.Logger
	settings *config.Settings
	clock    clock
	wall     func() time.Time // reads the wall clock
	carrier  Transport
	lister   EndpointSource

	mu       sync.Mutex
	balancer *routing.Balancer
	decided  time.Time         // when the module was told of what it acts on
	tickets  []*PendingRequest // by the module's index
	free     []int
	out      map[string]*PendingRequest // by the client's id, until all shots have settled
	places   map[string]int             // box ids to indices
	boxes    []endpointEntry            // by index
	resting  []int                      // indices that were given back
	told     uint64                     // places that the list has told of so far
	listed   bool
	live     routing.Time // when the list was last told by its service; 0: not yet
	alarms   alarms
	timer    *time.Timer
	tally    Stats
	metrics  *metrics.Metrics
	bans     map[string]Ejection
	heard    listedIDs
	parted   bool                        // parts of the fleet's budgets bound what is done
	cuts     map[routing.Limit]time.Time // when what a part of a number at a time allowed has to be over
}

// New makes the owner; nothing happens before Start.
func New(t *config.Settings, log *zap.Logger) *Dispatcher {
	x := &Dispatcher{log: log, settings: t, clock: clock{time.Now()}, wall: wall.Wall, places: map[string]int{},
		cuts: map[routing.Limit]time.Time{}, out: map[string]*PendingRequest{}, metrics: metrics.New(slices.Collect(maps.Keys(t.Classes)))}
	x.timer = time.AfterFunc(time.Hour, x.ring)
	x.timer.Stop()
	return x
}

// Start hands over those who act, and makes the module.
func (x *Dispatcher) Start(seed uint64, carrier Transport, lister EndpointSource) {
	x.carrier, x.lister = carrier, lister
	x.withLock("start", nil, func(now routing.Time) {
		x.balancer = routing.New(host{x}, seed, now, x.settings.Routing)
	})
}

// withLock runs f as the only owner. A panic in it must not take the node down with all its lookups: it is
// logged, and the lookup at hand is answered with no promise.
func (x *Dispatcher) withLock(what string, t *PendingRequest, f func(now routing.Time)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	defer func() {
		if r := recover(); r != nil {
			x.tally.Panics++
			x.log.Error("the module panicked", zap.String("during", what), zap.Any("panic", r),
				zap.Stack("stack"))
			if t != nil {
				t.panicked = true
				x.finish(t, Answer{Outcome: Failed})
			}
		}
	}()
	f(x.now())
}

// now gives the time of what is told to the module, and keeps it as that of the decisions that follow.
func (x *Dispatcher) now() routing.Time {
	x.decided = time.Now()
	return x.clock.at(x.decided)
}

// ErrUnknownClass says that a lookup names no namespace of the terms.
var ErrUnknownClass = errors.New("unknown namespace")

// ErrDuplicateID says that a lookup has the id of another one that is out: a server could not tell them apart.
var ErrDuplicateID = errors.New("a lookup with this id is out already")

// bodyTakes is more than the longest body takes from the slowest client.
const bodyTakes = 15 * time.Minute

// Submit hands a client's lookup to the module. read is when its last byte had come; within is what the
// client then still gave it. A client may claim any time; beyond the longest time limit of the terms a lookup
// would only hold what others need.
func (x *Dispatcher) Submit(in Request, read time.Time, within time.Duration) (*PendingRequest, error) {
	ns, known := x.settings.Classes[in.Class]
	if !known {
		return nil, ErrUnknownClass
	}
	partner, known := x.settings.Tenants[in.Tenant]
	if !known {
		partner = -1
	}
	t := &PendingRequest{Request: in, dispatcher: x, receivedAt: read, answers: make(chan Answer, 1)}
	twice := false
	x.withLock("lookup", t, func(now routing.Time) {
		if _, twice = x.out[in.TraceID]; twice {
			return
		}
		x.out[in.TraceID] = t
		t.index = len(x.tickets)
		if last := len(x.free) - 1; last >= 0 {
			t.index, x.free = x.free[last], x.free[:last]
			x.tickets[t.index] = t
		} else {
			x.tickets = append(x.tickets, t)
		}
		x.tally.Requests++
		limit := read.Add(min(within, x.settings.MaxDeadline))
		if in.Rest != nil {
			limit = limit.Add(bodyTakes) // its time counts from its last byte; the carrier keeps to that
		} else {
			t.clientDeadline = read.Add(within)
		}
		x.balancer.Request(now, t.index, routing.Request{Class: ns, Tenant: partner, Key: in.Key,
			Deadline: x.clock.at(limit), Work: in.Work, Write: in.Write,
			Streaming: in.Rest != nil})
	})
	if twice {
		return nil, ErrDuplicateID
	}
	return t, nil
}

// UpdateEndpoints tells the module what the box list says.
func (x *Dispatcher) UpdateEndpoints(how routing.UpdateKind, boxes []Endpoint) {
	x.withLock("list", nil, func(now routing.Time) {
		if how == routing.Full || how == routing.Cached {
			for i := range x.boxes {
				x.boxes[i].gone = true // unless the list names it
			}
		}
		list := make([]routing.Endpoint, 0, len(boxes))
		for _, b := range boxes {
			i, known := x.places[b.ID]
			if !known && b.State == routing.Gone {
				continue
			}
			if !known {
				i = x.index()
				x.places[b.ID] = i
			}
			x.heard.add(b.ID)
			p := &x.boxes[i]
			x.renew(p, b)
			if ban, known := x.bans[b.ID]; known {
				x.banned(p, ban)
			}
			kind, known := x.settings.Models[b.Model]
			if !known {
				kind = -1
			}
			p.model, p.origin = kind, x.settings.IsOrigin(kind)
			list = append(list, x.routingEndpoint(i))
		}
		if how == routing.Full || how == routing.Incremental {
			x.live = now
		}
		x.balancer.UpdateEndpoints(now, how, list)
		for i := range x.boxes {
			x.giveBack(i)
		}
		x.census()
		if how != routing.Failed && len(boxes) > 0 {
			x.listed = true
		}
	})
}

// Ready says whether lookups can be decided: the module has been told of a list.
func (x *Dispatcher) Ready() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.listed
}

const (
	gracePart  = 2                      // half of a drain's grace at most passes between a decision and its first byte
	graceLeast = 8                      // an eighth of it may, however short it is
	stallMost  = 150 * time.Millisecond // a process may be held up for so long between its last look at the clock and the write
	newsMost   = 20 * time.Millisecond  // for the news of a drain to be read and told
	memoryPart = 4                      // the module orders a repeat within half of the span; a quarter is left for the way to the server
)

// sendWindow gives how long after its decision an attempt's first byte may be written, so that none comes after a drain's grace:
// the news of the drain may be on its way when it is decided, and the process may be held up when it is written.
func sendWindow(grace time.Duration) time.Duration {
	return max(grace/graceLeast, min(grace/gracePart, grace-stallMost-newsMost))
}

// host is what the module acts through. Its methods run with the lock held.
type host struct{ *Dispatcher }

func (h host) Send(lkp, server int, timeout routing.Time) {
	t := h.tickets[lkp]
	s := &Attempt{
		Request:       &t.Request,
		Address:       h.boxes[server].address,
		Endpoint:      h.boxes[server].incarnation,
		endpointIndex: server,
		startedAt:     h.decided, // not when this line runs: a process that had no core meanwhile would count spans from too late
		Timeout:       toDuration(timeout),
		pending:       t,
		number:        t.attempts,
	}
	if h.settings.DrainGrace > 0 {
		// A dial may take longer than a drain's grace; what was decided before the drain must not go out after it.
		s.SendBy = s.startedAt.Add(sendWindow(h.settings.DrainGrace))
	}
	if by := s.startedAt.Add(h.settings.DedupWindow(t.Class) / memoryPart); t.attempts > 0 && by.After(s.startedAt) && (s.SendBy.IsZero() || by.Before(s.SendBy)) {
		s.SendBy = by // a dial may also outlast the span in which the servers know the first shot
	}
	if s.Origin = h.boxes[server].origin; h.parted {
		h.bounded(s)
	}
	s.deadline = s.startedAt.Add(s.Timeout)
	permitted := h.mayStart(t, s)
	if t.ended.Load() {
		return // only a module that panicked can order this
	}
	t.attempts++
	t.inFlight++
	h.sent(s)
	h.tally.Attempts++
	if !permitted {
		go s.Finish(NoResources, Answer{})
		return
	}
	h.carrier.Send(s)
}

func (h host) Reject(lkp int, retryAfter routing.Time) {
	t, answer := h.tickets[lkp], Answer{Outcome: Rejected, RetryAfter: toDuration(retryAfter)}
	if !h.mayRefuse(t) {
		answer = Answer{Outcome: Failed}
	}
	if h.mayAnswer(t) {
		h.finish(t, answer)
	}
}

func (h host) Fail(lkp int) {
	if t := h.tickets[lkp]; h.mayAnswer(t) {
		h.finish(t, Answer{Outcome: Failed})
	}
}

func (h host) Subscribe() { h.lister.Subscribe() }

// CloseIdle is carried out by the side that holds the connections.
func (h host) CloseIdle(server, but int) { h.carrier.CloseIdle(h.boxes[server].incarnation, but) }

func (h host) SetAlarm(at routing.Time, handle int) { h.wake(at, handle) }

func toDuration(t routing.Time) time.Duration { return config.Duration(t) }

// finish gives a lookup its one final answer. Called with the lock held.
func (x *Dispatcher) finish(t *PendingRequest, a Answer) {
	if t.ended.Load() {
		return
	}
	x.end(t)       // before anybody can hear of it: nothing begins after the final answer
	t.answers <- a // it has room for this one, and there is no other
	took := time.Since(t.receivedAt)
	x.tally.count(a, took)
	x.log.Debug("request ended", zap.String("trace", t.TraceID), zap.Stringer("outcome", a.Outcome), zap.Int("attempts", t.attempts),
		zap.Int("out", t.inFlight), zap.Bool("may have run", t.mayHaveRun), zap.Duration("after", took))
}

func (x *Dispatcher) end(t *PendingRequest) {
	t.ended.Store(true)
	x.forget(t)
}

// forget frees a lookup's index once it is over and all its shots have settled.
func (x *Dispatcher) forget(t *PendingRequest) {
	if !t.ended.Load() || t.inFlight > 0 || t.released {
		return
	}
	t.released = true
	delete(x.out, t.TraceID)
	if t.panicked {
		// The module may still hold the lookup to be live, so its index rests for good, but none of its bytes.
		x.tickets[t.index] = &PendingRequest{dispatcher: x, released: true}
		x.tickets[t.index].ended.Store(true)
		return
	}
	x.tickets[t.index] = nil
	x.free = append(x.free, t.index)
}
