package routing

import (
	"fmt"
	"math/rand"
	"slices"
)

// fakeHost is a Host that checks the rules at every call and remembers what is in flight.
type fakeHost struct {
	b               *Balancer
	rnd             *rand.Rand
	now             Time
	requests        []*fakeRequest
	freeIDs         []int
	endpoints       []Endpoint
	alarms          map[int][]Time
	polls           int
	closedIdle      int // calls that close all idle connections of a server
	connectionsKept int // what the latest other call left open
	faults          []string
	streamReads     bool // reads may be streamed as well
}

// fakeRequest is one request as its client and the servers see it.
type fakeRequest struct {
	idempotence Idempotence
	deadline    Time
	ended       bool
	retryAfter  Time // of the rejection, if it was rejected
	attempts    []fakeAttempt
	inFlight    int
	streaming   bool
}

type fakeAttempt struct {
	server            int
	sentAt, timeoutAt Time
	done              bool
	result            Result
	bodySent          bool // its last byte was written
}

func (s fakeAttempt) mayHaveRun() bool {
	return !s.done || s.result != Rejected && s.result != ConnectFailed && s.result != NotSent && s.result < NotFound
}

func (f *fakeHost) faultf(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

func (f *fakeHost) Send(id, server int, timeout Time) {
	c := f.requests[id]
	if c.ended || f.now >= c.deadline {
		f.faultf("attempt of an ended or overdue request")
	}
	if f.endpoints[server].State != Ready {
		f.faultf("attempt at a server that is not ready")
	}
	for i := range c.attempts {
		s := &c.attempts[i]
		late := c.idempotence == IdempotentByKey && f.now-s.sentAt >= dedupWindow
		if s.mayHaveRun() && (c.idempotence == Unsafe || late) {
			f.faultf("a request that is %s may run twice", c.idempotence)
		}
	}
	c.attempts = append(c.attempts, fakeAttempt{server: server, sentAt: f.now, timeoutAt: min(f.now+timeout, c.deadline)})
	c.inFlight++
}

func (f *fakeHost) Reject(id int, retryAfter Time) {
	c := f.requests[id]
	if c.idempotence == Unsafe && slices.ContainsFunc(c.attempts, fakeAttempt.mayHaveRun) {
		f.faultf("an unsafe request was rejected though it may have run")
	}
	c.retryAfter = retryAfter
	f.end(id)
}

func (f *fakeHost) Fail(id int) { f.end(id) }

func (f *fakeHost) end(id int) {
	if c := f.requests[id]; c.ended {
		f.faultf("a second final answer")
	} else {
		c.ended = true
	}
	f.releaseID(id)
}

func (f *fakeHost) Subscribe() { f.polls++ }

func (f *fakeHost) CloseIdle(_, but int) {
	if f.connectionsKept = but; but == 0 {
		f.closedIdle++
	}
}

func (f *fakeHost) SetAlarm(at Time, handle int) { f.alarms[handle] = append(f.alarms[handle], at) }

// releaseID frees the index of a request once it has ended and nothing of it is in flight.
func (f *fakeHost) releaseID(id int) {
	if c := f.requests[id]; c.ended && c.inFlight == 0 {
		f.freeIDs = append(f.freeIDs, id)
		f.requests[id] = &fakeRequest{ended: true, inFlight: -1}
	}
}

const dedupWindow = 400 * Millisecond

var idempotences = []Idempotence{Safe, IdempotentByKey, Unsafe}

// configOf returns the default configuration, changed.
func configOf(change func(*Config)) Config {
	c := DefaultConfig()
	change(&c)
	return c
}

// newFakeHost returns the host of a node with three classes, two tenants, n warm caches and an origin.
func newFakeHost(seed int64, n int) *fakeHost {
	f := &fakeHost{rnd: rand.New(rand.NewSource(seed)), now: 1000, alarms: map[int][]Time{}}
	var classes []Class
	for _, k := range idempotences {
		classes = append(classes, Class{Idempotence: k, SharedDedup: true, LatencyTarget: 200 * Millisecond, DedupWindow: dedupWindow})
	}
	f.b = New(f, uint64(seed), f.now, Config{Nodes: 2, CacheAside: true, OriginModel: 1,
		MaxAttempts: 4, MaxRetryAfter: 400 * Millisecond, SlowStartShare: 0.2, Tick: 2 * Millisecond,
		SlowStartWindow: 20000 * Millisecond, OverloadFactor: 4.0, OverloadWindow: 1500 * Millisecond,
		MaxPollInterval: DefaultConfig().MaxPollInterval, PushedGrace: DefaultConfig().PushedGrace,
		Classes: classes, Tenants: []Tenant{{Quota: 50}, DefaultTenant()}})
	for i := range n {
		f.endpoints = append(f.endpoints, Endpoint{Server: i, ID: fmt.Sprintf("10.0.0.%02d", i)})
	}
	f.endpoints = append(f.endpoints, Endpoint{Server: n, ID: "origin", Model: 1})
	f.b.UpdateEndpoints(f.now, Cached, f.endpoints)
	return f
}

// request sends a request and returns its index and state.
func (f *fakeHost) request(class int, key string, write bool, limit Time) (int, *fakeRequest) {
	id := len(f.requests)
	if n := len(f.freeIDs); n > 0 {
		id, f.freeIDs = f.freeIDs[n-1], f.freeIDs[:n-1]
	} else {
		f.requests = append(f.requests, nil)
	}
	c := &fakeRequest{idempotence: idempotences[class], deadline: limit}
	f.requests[id] = c
	c.streaming = (write || f.streamReads) && f.rnd.Intn(4) == 0
	f.b.Request(f.now, id, Request{Class: class, Tenant: class % 2, Key: key, Write: write, Deadline: limit,
		Streaming: c.streaming})
	return id, c
}

// bodySent sends the last byte of a streamed attempt.
func (f *fakeHost) bodySent(id, attempt int) {
	if c := f.requests[id]; c.streaming && !c.attempts[attempt].bodySent {
		c.attempts[attempt].bodySent = true
		f.b.BodySent(f.now, id, attempt)
	}
}

func (f *fakeHost) attemptDone(id, attempt int, result Result) {
	c := f.requests[id]
	f.bodySent(id, attempt)
	c.attempts[attempt].done, c.attempts[attempt].result = true, result
	c.inFlight--
	if result == Withheld && !c.ended { // only of a request that has ended
		c.ended = true
		f.b.ClientGone(f.now, id)
	}
	c.ended = c.ended || result == Served
	f.b.AttemptDone(f.now, id, attempt, result, c.ended)
	f.releaseID(id)
}

// advance moves the clock on and plays timeouts and alarms.
func (f *fakeHost) advance(elapsed Time) {
	f.now += elapsed
	for id, c := range f.requests {
		for i := range c.attempts {
			if s := &c.attempts[i]; !s.done && f.now >= s.timeoutAt && f.requests[id] == c {
				f.attemptDone(id, i, TimedOut)
			}
		}
	}
	for handle := 0; handle <= 2*max(len(f.requests), len(f.endpoints)); handle++ {
		due := f.alarms[handle]
		f.alarms[handle] = slices.DeleteFunc(slices.Clone(due), func(at Time) bool { return at <= f.now })
		for _, at := range due {
			if at <= f.now {
				f.b.Alarm(f.now, handle)
			}
		}
	}
	for _, c := range f.requests {
		if !c.ended && f.now > c.deadline+8*Millisecond {
			f.faultf("a request has no final answer in time")
		}
	}
}

func (f *fakeHost) step() {
	switch r := f.rnd.Intn(100); {
	case r < 45:
		limit := f.now + Time(f.rnd.Intn(8000)-100) // some are already past
		key := []string{"", fmt.Sprint("k", f.rnd.Intn(1+f.rnd.Intn(40)))}[min(1, f.rnd.Intn(20))]
		class := f.rnd.Intn(3)
		f.request(class, key, class > 0 && f.rnd.Intn(2) == 0, limit)
	case r < 80:
		f.anyAttemptDone(Result(f.rnd.Intn(int(Withheld) + 1)))
	case r < 82 && len(f.requests) > 0:
		if id := f.rnd.Intn(len(f.requests)); !f.requests[id].ended {
			f.requests[id].ended = true
			f.b.ClientGone(f.now, id)
			f.releaseID(id)
		}
	case r < 83 && len(f.requests) > 0:
		id := f.rnd.Intn(len(f.requests))
		for i, s := range f.requests[id].attempts {
			if !s.done {
				f.bodySent(id, i)
			}
		}
	case r < 84:
		f.b.Alarm(f.now, f.rnd.Intn(50)) // stale
	case r < 88:
		x := &f.endpoints[f.rnd.Intn(len(f.endpoints))]
		x.State = State(f.rnd.Intn(3))
		if f.rnd.Intn(2) == 0 {
			x.State, x.StartedAt = Ready, f.now
		}
		f.b.UpdateEndpoints(f.now, Incremental, []Endpoint{*x})
	case r < 89:
		f.b.UpdateEndpoints(f.now, Failed, nil)
		for n := len(f.endpoints); n < 60 && f.rnd.Intn(4) == 0 && len(f.endpoints) < 2*n; { // the fleet doubles, in slow start
			f.endpoints = append(f.endpoints, Endpoint{Server: len(f.endpoints), ID: fmt.Sprint("11.", f.rnd.Int()), StartedAt: f.now})
		}
		f.b.UpdateEndpoints(f.now, Incremental, f.endpoints)
	case r < 90:
		f.endpoints[f.rnd.Intn(len(f.endpoints))].State = Gone
		some := slices.DeleteFunc(slices.Clone(f.endpoints), func(x Endpoint) bool { return x.State == Gone })
		f.b.UpdateEndpoints(f.now, Full, some)
	default:
		f.advance(Time(1 + f.rnd.Intn(200)))
	}
}

// anyAttemptDone ends a random attempt in flight.
func (f *fakeHost) anyAttemptDone(result Result) {
	for try := 0; try < 20 && len(f.requests) > 0; try++ {
		id := f.rnd.Intn(len(f.requests))
		for i, s := range f.requests[id].attempts {
			if !s.done {
				f.attemptDone(id, i, result)
				return
			}
		}
	}
}
