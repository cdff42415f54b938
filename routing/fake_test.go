package routing

import (
	"fmt"
	"math/rand"
	"slices"
)

// fakeHost is a Host that checks the rules of routing at every call and tracks the requests and attempts in flight.
// It also plays the clients and the servers.
type fakeHost struct {
	b             *Balancer
	rnd           *rand.Rand
	now           Time
	requests      []*fakeRequest
	freeIDs       []int
	endpoints     []Endpoint
	alarms        map[int][]Time
	polls         int
	closeAllCalls int      // calls of CloseIdleConnections that keep no connection
	lastKeep      int      // keep of the latest call of CloseIdleConnections
	violations    []string // broken rules
	streamReads   bool     // whether reads may be streamed, too
}

// fakeRequest is the state of a request at its client and the servers.
type fakeRequest struct {
	idempotence Idempotence
	deadline    Time
	ended       bool
	retryAfter  Time // of the rejection, if the request was rejected
	attempts    []fakeAttempt
	inFlight    int
	streaming   bool
}

type fakeAttempt struct {
	server            int
	sentAt, timeoutAt Time
	done              bool
	result            Result
	bodySent          bool // the last byte of the body was written
}

// mayHaveRun reports whether the attempt may have had an effect.

func (a fakeAttempt) mayHaveRun() bool {
	return !a.done || a.result != Rejected && a.result != ConnectFailed && a.result != NotSent && a.result < NotFound
}

// violationf records a broken rule.
func (f *fakeHost) violationf(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

func (f *fakeHost) Send(id, server int, timeout Time) {
	request := f.requests[id]
	if request.ended || f.now >= request.deadline {
		f.violationf("attempt of a request that has ended or is past its deadline")
	}
	if f.endpoints[server].State != Ready {
		f.violationf("attempt at a server that is not ready")
	}
	for i := range request.attempts {
		a := &request.attempts[i]
		dedupExpired := request.idempotence == IdempotentByKey && f.now-a.sentAt >= dedupWindow
		if a.mayHaveRun() && (request.idempotence == Unsafe || dedupExpired) {
			f.violationf("a request that is %s may run twice", request.idempotence)
		}
	}
	request.attempts = append(request.attempts, fakeAttempt{server: server, sentAt: f.now, timeoutAt: min(f.now+timeout, request.deadline)})
	request.inFlight++
}

func (f *fakeHost) Reject(id int, retryAfter Time) {
	request := f.requests[id]
	if request.idempotence == Unsafe && slices.ContainsFunc(request.attempts, fakeAttempt.mayHaveRun) {
		f.violationf("an unsafe request was rejected though it may have run")
	}
	request.retryAfter = retryAfter
	f.endRequest(id)
}

func (f *fakeHost) Fail(id int) { f.endRequest(id) }

func (f *fakeHost) endRequest(id int) {
	if request := f.requests[id]; request.ended {
		f.violationf("a second final answer")
	} else {
		request.ended = true
	}
	f.releaseID(id)
}

func (f *fakeHost) Subscribe() { f.polls++ }

func (f *fakeHost) CloseIdleConnections(_, keep int) {
	if f.lastKeep = keep; keep == 0 {
		f.closeAllCalls++
	}
}

func (f *fakeHost) SetAlarm(alarmTime Time, handle int) {
	f.alarms[handle] = append(f.alarms[handle], alarmTime)
}

// releaseID frees the index of a request that has ended and has no attempt in flight.
func (f *fakeHost) releaseID(id int) {
	if request := f.requests[id]; request.ended && request.inFlight == 0 {
		f.freeIDs = append(f.freeIDs, id)
		f.requests[id] = &fakeRequest{ended: true, inFlight: -1}
	}
}

const dedupWindow = 400 * Millisecond

var idempotences = []Idempotence{Safe, IdempotentByKey, Unsafe}

// modifiedConfig returns the default configuration as modified by a function.
func modifiedConfig(modify func(*Config)) Config {
	config := DefaultConfig()
	modify(&config)
	return config
}

// newFakeHost returns the host of one of two nodes, with three classes, two tenants, n warm caches and an origin.
// The index of the origin is n.
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

// request starts a request and returns its index and state.
func (f *fakeHost) request(class int, key string, write bool, deadline Time) (int, *fakeRequest) {
	id := len(f.requests)
	if n := len(f.freeIDs); n > 0 {
		id, f.freeIDs = f.freeIDs[n-1], f.freeIDs[:n-1]
	} else {
		f.requests = append(f.requests, nil)
	}
	request := &fakeRequest{idempotence: idempotences[class], deadline: deadline}
	f.requests[id] = request
	request.streaming = (write || f.streamReads) && f.rnd.Intn(4) == 0
	f.b.StartRequest(f.now, id, Request{Class: class, Tenant: class % 2, Key: key, Write: write, Deadline: deadline,
		Streaming: request.streaming})
	return id, request
}

// bodySent reports the last byte of a streamed attempt, if it was not reported yet.
func (f *fakeHost) bodySent(id, attempt int) {
	if request := f.requests[id]; request.streaming && !request.attempts[attempt].bodySent {
		request.attempts[attempt].bodySent = true
		f.b.BodySent(f.now, id, attempt)
	}
}

// attemptDone ends an attempt with a result.
func (f *fakeHost) attemptDone(id, attempt int, result Result) {
	request := f.requests[id]
	f.bodySent(id, attempt)
	request.attempts[attempt].done, request.attempts[attempt].result = true, result
	request.inFlight--
	if result == EndedBeforeWrite && !request.ended { // this result is possible only after the request has ended
		request.ended = true
		f.b.ClientGone(f.now, id)
	}
	request.ended = request.ended || result == Served
	f.b.AttemptDone(f.now, id, attempt, result, request.ended)
	f.releaseID(id)
}

// advance advances the clock and fires the timeouts and alarms that are due.
func (f *fakeHost) advance(elapsed Time) {
	f.now += elapsed
	for id, request := range f.requests {
		for i := range request.attempts {
			if a := &request.attempts[i]; !a.done && f.now >= a.timeoutAt && f.requests[id] == request {
				f.attemptDone(id, i, TimedOut)
			}
		}
	}
	for handle := 0; handle <= 2*max(len(f.requests), len(f.endpoints)); handle++ {
		due := f.alarms[handle]
		f.alarms[handle] = slices.DeleteFunc(slices.Clone(due), func(alarmTime Time) bool { return alarmTime <= f.now })
		for _, alarmTime := range due {
			if alarmTime <= f.now {
				f.b.HandleAlarm(f.now, handle)
			}
		}
	}
	for _, request := range f.requests {
		if !request.ended && f.now > request.deadline+8*Millisecond {
			f.violationf("a request has no final answer after its deadline")
		}
	}
}

// step plays one random event.
func (f *fakeHost) step() {
	switch r := f.rnd.Intn(100); {
	case r < 45:
		deadline := f.now + Time(f.rnd.Intn(8000)-100) // some deadlines have already passed
		key := []string{"", fmt.Sprint("k", f.rnd.Intn(1+f.rnd.Intn(40)))}[min(1, f.rnd.Intn(20))]
		class := f.rnd.Intn(3)
		f.request(class, key, class > 0 && f.rnd.Intn(2) == 0, deadline)
	case r < 80:
		f.finishRandomAttempt(Result(f.rnd.Intn(int(EndedBeforeWrite) + 1)))
	case r < 82 && len(f.requests) > 0:
		if id := f.rnd.Intn(len(f.requests)); !f.requests[id].ended {
			f.requests[id].ended = true
			f.b.ClientGone(f.now, id)
			f.releaseID(id)
		}
	case r < 83 && len(f.requests) > 0:
		id := f.rnd.Intn(len(f.requests))
		for i, a := range f.requests[id].attempts {
			if !a.done {
				f.bodySent(id, i)
			}
		}
	case r < 84:
		f.b.HandleAlarm(f.now, f.rnd.Intn(50)) // a stale alarm
	case r < 88:
		endpoint := &f.endpoints[f.rnd.Intn(len(f.endpoints))]
		endpoint.State = State(f.rnd.Intn(3))
		if f.rnd.Intn(2) == 0 {
			endpoint.State, endpoint.StartedAt = Ready, f.now
		}
		f.b.UpdateEndpoints(f.now, Incremental, []Endpoint{*endpoint})
	case r < 89:
		f.b.UpdateEndpoints(f.now, Failed, nil)
		for n := len(f.endpoints); n < 60 && f.rnd.Intn(4) == 0 && len(f.endpoints) < 2*n; { // adds caches in slow start, up to twice the number of endpoints
			f.endpoints = append(f.endpoints, Endpoint{Server: len(f.endpoints), ID: fmt.Sprint("11.", f.rnd.Int()), StartedAt: f.now})
		}
		f.b.UpdateEndpoints(f.now, Incremental, f.endpoints)
	case r < 90:
		f.endpoints[f.rnd.Intn(len(f.endpoints))].State = Gone
		listed := slices.DeleteFunc(slices.Clone(f.endpoints), func(e Endpoint) bool { return e.State == Gone })
		f.b.UpdateEndpoints(f.now, Full, listed)
	default:
		f.advance(Time(1 + f.rnd.Intn(200)))
	}
}

// finishRandomAttempt ends a random attempt in flight.
func (f *fakeHost) finishRandomAttempt(result Result) {
	for try := 0; try < 20 && len(f.requests) > 0; try++ {
		id := f.rnd.Intn(len(f.requests))
		for i, a := range f.requests[id].attempts {
			if !a.done {
				f.attemptDone(id, i, result)
				return
			}
		}
	}
}
