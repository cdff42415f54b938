package routing

import (
	"fmt"
	"math/rand"
	"slices"
)

// fake is a Host that checks the rules at every call and remembers what is out.
type fake struct {
	b      *Balancer
	rnd    *rand.Rand
	now    Time
	lkps   []*client
	free   []int
	boxes  []Endpoint
	wakes  map[int][]Time
	asked  int
	hungUp int // orders to close all that idle,
	left   int // and how many connections the latest other one left
	faults []string
	long   bool // reads may be long as well
}

// client is one lookup as its client and the servers see it.
type client struct {
	kind     Idempotence
	limit    Time
	ended    bool
	deferred Time // the retry-after, if it was deferred
	shots    []fakeShot
	out      int
	long     bool
}

type fakeShot struct {
	server    int
	sent, due Time
	settled   bool
	code      Result
	whole     bool // its last byte is out
}

func (s fakeShot) mayHaveRun() bool {
	return !s.settled || s.code != Rejected && s.code != ConnectFailed && s.code != NotSent && s.code < NotFound
}

func (f *fake) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

func (f *fake) Send(lkp, server int, timeout Time) {
	c := f.lkps[lkp]
	if c.ended || f.now >= c.limit {
		f.fault("shot for an ended or overdue lookup")
	}
	if f.boxes[server].State != Ready {
		f.fault("shot at a server that is not ready")
	}
	for i := range c.shots {
		s := &c.shots[i]
		late := c.kind == IdempotentByKey && f.now-s.sent >= memorySpan
		if s.mayHaveRun() && (c.kind == Unsafe || late) {
			f.fault("a %s lookup may run twice", c.kind)
		}
	}
	c.shots = append(c.shots, fakeShot{server: server, sent: f.now, due: min(f.now+timeout, c.limit)})
	c.out++
}

func (f *fake) Reject(lkp int, retryAfter Time) {
	c := f.lkps[lkp]
	if c.kind == Unsafe && slices.ContainsFunc(c.shots, fakeShot.mayHaveRun) {
		f.fault("a single-use lookup was deferred though it may have run")
	}
	c.deferred = retryAfter
	f.end(lkp)
}

func (f *fake) Fail(lkp int) { f.end(lkp) }

func (f *fake) end(lkp int) {
	if c := f.lkps[lkp]; c.ended {
		f.fault("a second final answer")
	} else {
		c.ended = true
	}
	f.forget(lkp)
}

func (f *fake) Subscribe() { f.asked++ }

func (f *fake) CloseIdle(_, but int) {
	if f.left = but; but == 0 {
		f.hungUp++
	}
}

func (f *fake) SetAlarm(at Time, handle int) { f.wakes[handle] = append(f.wakes[handle], at) }

// forget hands the index out again, as the adapter does, once nothing of the lookup is out.
func (f *fake) forget(lkp int) {
	if c := f.lkps[lkp]; c.ended && c.out == 0 {
		f.free = append(f.free, lkp)
		f.lkps[lkp] = &client{ended: true, out: -1}
	}
}

const memorySpan = 400 * Millisecond

var kinds = []Idempotence{Safe, IdempotentByKey, Unsafe}

// configOf gives the default configuration, changed.
func configOf(change func(*Config)) Config {
	c := DefaultConfig()
	change(&c)
	return c
}

// newFake starts a node with three namespaces, two partners, n warm caches and an origin.
func newFake(seed int64, n int) *fake {
	f := &fake{rnd: rand.New(rand.NewSource(seed)), now: 1000, wakes: map[int][]Time{}}
	var classes []Class
	for _, k := range kinds {
		classes = append(classes, Class{Idempotence: k, SharedDedup: true, LatencyTarget: 200 * Millisecond, DedupWindow: memorySpan})
	}
	f.b = New(f, uint64(seed), f.now, Config{Nodes: 2, CacheAside: true, OriginKind: 1,
		MaxAttempts: 4, MaxRetryAfter: 400 * Millisecond, SlowStartShare: 0.2, Tick: 2 * Millisecond,
		SlowStartWindow: 20000 * Millisecond, OverloadFactor: 4.0, OverloadWindow: 1500 * Millisecond,
		MaxPollInterval: DefaultConfig().MaxPollInterval, PushedGrace: DefaultConfig().PushedGrace,
		Classes: classes, Tenants: []Tenant{{Quota: 50}, DefaultTenant()}})
	for i := range n {
		f.boxes = append(f.boxes, Endpoint{Server: i, ID: fmt.Sprintf("10.0.0.%02d", i)})
	}
	f.boxes = append(f.boxes, Endpoint{Server: n, ID: "origin", Model: 1})
	f.b.UpdateEndpoints(f.now, Cached, f.boxes)
	return f
}

// ask brings one lookup and gives its client.
func (f *fake) ask(space int, key string, write bool, limit Time) (int, *client) {
	lkp := len(f.lkps)
	if n := len(f.free); n > 0 {
		lkp, f.free = f.free[n-1], f.free[:n-1]
	} else {
		f.lkps = append(f.lkps, nil)
	}
	c := &client{kind: kinds[space], limit: limit}
	f.lkps[lkp] = c
	c.long = (write || f.long) && f.rnd.Intn(4) == 0
	f.b.Request(f.now, lkp, Request{Class: space, Tenant: space % 2, Key: key, Write: write, Deadline: limit,
		Streaming: c.long})
	return lkp, c
}

// sent brings the last byte of a long lookup's shot.
func (f *fake) sent(lkp, shot int) {
	if c := f.lkps[lkp]; c.long && !c.shots[shot].whole {
		c.shots[shot].whole = true
		f.b.BodySent(f.now, lkp, shot)
	}
}

func (f *fake) settle(lkp, shot int, code Result) {
	c := f.lkps[lkp]
	f.sent(lkp, shot)
	c.shots[shot].settled, c.shots[shot].code = true, code
	c.out--
	if code == Withheld && !c.ended { // only of a lookup that is over
		c.ended = true
		f.b.ClientGone(f.now, lkp)
	}
	c.ended = c.ended || code == Served
	f.b.AttemptDone(f.now, lkp, shot, code, c.ended)
	f.forget(lkp)
}

// pass moves the clock on and plays time-outs and alarms.
func (f *fake) pass(span Time) {
	f.now += span
	for lkp, c := range f.lkps {
		for i := range c.shots {
			if s := &c.shots[i]; !s.settled && f.now >= s.due && f.lkps[lkp] == c {
				f.settle(lkp, i, TimedOut)
			}
		}
	}
	for handle := 0; handle <= 2*max(len(f.lkps), len(f.boxes)); handle++ {
		due := f.wakes[handle]
		f.wakes[handle] = slices.DeleteFunc(slices.Clone(due), func(at Time) bool { return at <= f.now })
		for _, at := range due {
			if at <= f.now {
				f.b.Alarm(f.now, handle)
			}
		}
	}
	for _, c := range f.lkps {
		if !c.ended && f.now > c.limit+8*Millisecond {
			f.fault("a lookup has no final answer in time")
		}
	}
}

func (f *fake) step() {
	switch r := f.rnd.Intn(100); {
	case r < 45:
		limit := f.now + Time(f.rnd.Intn(8000)-100) // some are already past
		key := []string{"", fmt.Sprint("k", f.rnd.Intn(1+f.rnd.Intn(40)))}[min(1, f.rnd.Intn(20))]
		space := f.rnd.Intn(3)
		f.ask(space, key, space > 0 && f.rnd.Intn(2) == 0, limit)
	case r < 80:
		f.settleAny(Result(f.rnd.Intn(int(Withheld) + 1)))
	case r < 82 && len(f.lkps) > 0:
		if lkp := f.rnd.Intn(len(f.lkps)); !f.lkps[lkp].ended {
			f.lkps[lkp].ended = true
			f.b.ClientGone(f.now, lkp)
			f.forget(lkp)
		}
	case r < 83 && len(f.lkps) > 0:
		lkp := f.rnd.Intn(len(f.lkps))
		for i, s := range f.lkps[lkp].shots {
			if !s.settled {
				f.sent(lkp, i)
			}
		}
	case r < 84:
		f.b.Alarm(f.now, f.rnd.Intn(50)) // stale
	case r < 88:
		x := &f.boxes[f.rnd.Intn(len(f.boxes))]
		x.State = State(f.rnd.Intn(3))
		if f.rnd.Intn(2) == 0 {
			x.State, x.StartedAt = Ready, f.now
		}
		f.b.UpdateEndpoints(f.now, Incremental, []Endpoint{*x})
	case r < 89:
		f.b.UpdateEndpoints(f.now, Failed, nil)
		for n := len(f.boxes); n < 60 && f.rnd.Intn(4) == 0 && len(f.boxes) < 2*n; { // the fleet doubles, cold
			f.boxes = append(f.boxes, Endpoint{Server: len(f.boxes), ID: fmt.Sprint("11.", f.rnd.Int()), StartedAt: f.now})
		}
		f.b.UpdateEndpoints(f.now, Incremental, f.boxes)
	case r < 90:
		f.boxes[f.rnd.Intn(len(f.boxes))].State = Gone
		some := slices.DeleteFunc(slices.Clone(f.boxes), func(x Endpoint) bool { return x.State == Gone })
		f.b.UpdateEndpoints(f.now, Full, some)
	default:
		f.pass(Time(1 + f.rnd.Intn(200)))
	}
}

// settleAny settles a random shot that is out.
func (f *fake) settleAny(code Result) {
	for try := 0; try < 20 && len(f.lkps) > 0; try++ {
		lkp := f.rnd.Intn(len(f.lkps))
		for i, s := range f.lkps[lkp].shots {
			if !s.settled {
				f.settle(lkp, i, code)
				return
			}
		}
	}
}
