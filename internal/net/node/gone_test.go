package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/internal/net/frontend"
	"github.com/thistlerudder/thistlerudder/internal/net/upstream"
	"github.com/thistlerudder/thistlerudder/routing"
)

// goneFor is beyond the 0.1 s after which no attempt may begin for a client that has gone.
const goneFor = 120 * time.Millisecond

// steered is the server side of a node, whose attempts go where the test says.
type steered struct {
	*upstream.Client
	mu    sync.Mutex
	tries map[string]int
	steer func(a *dispatch.Attempt, nth int) // may hold it up
}

func (s *steered) Send(a *dispatch.Attempt) {
	s.mu.Lock()
	s.tries[a.TraceID]++
	nth := s.tries[a.TraceID]
	s.mu.Unlock()
	go func() {
		s.steer(a, nth)
		s.Client.Send(a)
	}()
}

// unlisted follows no list.
type unlisted struct{}

func (unlisted) Subscribe() {}

// stand serves requests and counts connections on which a byte of one has come, and requests behind them.
func stand(t *testing.T, l net.Listener, f http.HandlerFunc) *atomic.Int64 {
	came := new(atomic.Int64)
	s := &http.Server{Handler: f, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateActive {
			came.Add(1)
		}
	}}
	t.Cleanup(func() { s.Close() })
	go func() { _ = s.Serve(l) }()
	return came
}

// loopback listens where nobody else does: at a port that is used anew connections of other processes may come.
func loopback(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", own())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Places where an attempt of a request waits.
const (
	aFetch   = "behind a fetch of its key"
	attempts = "between two attempts"
	aCore    = "for a core, ordered and not begun"
	aDial    = "for a connection"
	dials    = "between two connections of one attempt"
	aWrite   = "for a core, between the look at its client and the write"
	itsBody  = "with its body half come"
	muchOfIt = "with megabytes of its body come"
	bothOf   = "with megabytes of its body come, for a core" // and a connection that comes up at once
	aFlood   = "for a core, a megabyte behind it"            // more than the kernel takes
	queue    = "in the kernel's queue"
)

// waiting is a row: where a request waits, with which attempt, how its client goes, and whether bytes lie behind the request.
type waiting struct {
	place   string
	attempt int
	goes    string
	behind  bool
}

const (
	stays   = "stays"
	floodOf = 256 // requests of 4 KiB
)

// standing is a node with its stand-ins.
type standing struct {
	waiting
	t         *testing.T
	x         *dispatch.Dispatcher
	at, open  chan struct{} // the request is at its place; it may go on
	there     func()
	other     chan struct{} // the request of the same key is to come,
	fetching  chan struct{} // and its fetch is out
	target    string
	came      *atomic.Int64 // at the target
	first     chan net.Conn // the target's first connection, where two are wanted,
	second    chan struct{} // and the second one has come
	addresses map[string]string
	behinds   *atomic.Int64
	tally     dispatch.Stats
}

// tallied waits for something in the exchange's counts.
func (s *standing) tallied(f func(y dispatch.Stats) bool) {
	for by := time.Now().Add(4 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		y := s.x.Stats()
		s.tally.Requests += y.Requests
		s.tally.Results[dispatch.Shed] += y.Results[dispatch.Shed]
		if f(s.tally) {
			return
		} else if time.Now().After(by) {
			s.t.Errorf("the counts are %+v", s.tally)
			return
		}
	}
}

func (s *standing) await(c chan struct{}, what string) {
	select {
	case <-c:
	case <-time.After(4 * time.Second):
		s.t.Errorf("waited in vain: %s", what)
	}
}

func value(to http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err == nil {
		fmt.Fprint(to, "value")
	}
}

// answers makes the stand-ins.
func (s *standing) answers() {
	away := func(to http.ResponseWriter) {
		to.Header().Set("X-Never-Ran", "1")
		to.WriteHeader(http.StatusServiceUnavailable)
	}
	s.addresses = map[string]string{}
	for name, f := range map[string]http.HandlerFunc{
		"away": func(to http.ResponseWriter, _ *http.Request) { away(to) },
		"before": func(to http.ResponseWriter, _ *http.Request) { // the attempt before the one that is looked at
			if s.place == attempts {
				s.there()
				<-s.open
			} else if s.place == aFetch {
				close(s.other)
				<-s.fetching
			}
			away(to)
		},
		"miss": func(to http.ResponseWriter, _ *http.Request) { to.WriteHeader(http.StatusNotFound) },
		"fetch": func(to http.ResponseWriter, r *http.Request) {
			close(s.fetching)
			<-s.open
			value(to, r)
		},
		"plain": value,
	} {
		l := loopback(s.t)
		s.addresses[name] = l.Addr().String()
		if came := stand(s.t, l, f); name == "plain" {
			s.behinds = came
		}
	}
	switch s.place {
	case aDial, itsBody, muchOfIt:
		address, hear := deaf(s.t)
		s.target, s.came = address, new(atomic.Int64)
		go func() {
			<-s.open
			server := &http.Server{Handler: http.HandlerFunc(value), ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateActive {
					s.came.Add(1)
				}
			}}
			s.t.Cleanup(func() { server.Close() })
			_ = server.Serve(hear())
		}()
	case dials:
		l, second := loopback(s.t), loopback(s.t)
		s.target = l.Addr().String()
		s.came = stand(s.t, second, value)
		go func() { // the first connection is the test's, the next lead to the second stand-in
			for n := 0; ; n++ {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if n == 0 {
					s.first <- c
					go func() {
						if n, _ := c.Read(make([]byte, 1)); n > 0 {
							s.came.Add(100) // behind bytes that are not its answer
						}
					}()
					continue
				}
				if n == 1 {
					close(s.second)
				}
				to, err := net.Dial("tcp", second.Addr().String())
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(to, c); to.Close() }()
				go func() { _, _ = io.Copy(c, to); c.Close() }()
			}
		}()
	default:
		l := loopback(s.t)
		s.target, s.came = l.Addr().String(), stand(s.t, l, value)
	}
}

// steer sends attempts to the stand-ins, and holds the one that is looked at.
func (s *standing) steer(a *dispatch.Attempt, nth int) {
	a.Incarnation = uint64(100*nth + int(a.TraceID[0])) // connections of its own
	switch {
	case a.TraceID == "o" && nth == 1:
		a.Address = s.addresses["miss"]
	case a.TraceID == "o":
		a.Address = s.addresses["fetch"]
	case a.TraceID != "t":
		a.Address = s.addresses["plain"]
	case nth < s.attempt && a.Rest != nil:
		l, err := net.Listen("tcp", own())
		if err == nil {
			a.Address = l.Addr().String()
			l.Close() // refused, so that nothing of the body has gone
		}
	case nth == s.attempt-1:
		a.Address = s.addresses["before"]
	case nth < s.attempt:
		a.Address = s.addresses["away"]
	case nth == s.attempt:
		a.Address = s.target
		s.hold(a)
	default:
		a.Address = s.target
	}
}

func (s *standing) hold(a *dispatch.Attempt) {
	in := *a.Request
	gone, looks := in.ClientGone, 0
	switch s.place {
	case aDial, itsBody, muchOfIt:
		s.there()
	case aCore, bothOf, aFlood:
		s.there()
		<-s.open
	case aWrite:
		in.ClientGone = func() bool {
			saw := gone()
			if looks++; looks == 1 {
				s.there()
				<-s.open // the process has no core
			}
			return saw
		}
	case dials:
		in.ClientGone = func() bool {
			switch looks++; {
			case looks == 1: // half a line comes in the very moment, so that nothing is written
				c := <-s.first
				fmt.Fprint(c, "HTTP/1.1 2")
				time.Sleep(50 * time.Millisecond)
			case s.onSecond():
				s.there()
				<-s.open
			}
			return gone()
		}
	}
	a.Request = &in
}

// onSecond says that a look is on the second connection. The looks on the first are one or two: it is given up after one where the deadline that
// it tells has become too long meanwhile.
func (s *standing) onSecond() bool {
	select {
	case <-s.second:
		return true
	case <-time.After(20 * time.Millisecond): // for the accept; under what makes a look stale
		return false
	}
}

// start makes the node between them, and gives its address and what lets it take connections.
func (s *standing) start() (address string, serve func()) {
	namespace := func(name, repeat string) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "target-time-ms": 4800., "time-limit-ms": 5000.}
	}
	d, err := config.ParseSettings(map[string]any{"models": []any{"box", "origin"}, "domain": map[string]any{"mode": "aside", "origin-kind": 1.},
		"permissions": map[string]any{"most-shots": 3., "connect-timeout-ms": 4500.},
		"namespaces":  []any{namespace("read", "safe"), namespace("once", "unsafe")}})
	if err != nil {
		s.t.Fatal(err)
	}
	s.x = dispatch.New(d, zap.NewNop())
	carrier := upstream.New(upstream.Limits{Descriptors: 32, MaxAttempts: 32, ConnectTimeout: d.ConnectTimeout, IdleTimeout: d.IdleTimeout, MaxBuffered: maxBufferedBodyBytes,
		MaxStreamed: maxStreamedBodyBytes}, zap.NewNop())
	s.t.Cleanup(carrier.Close)
	s.x.Start(1, &steered{Client: carrier, tries: map[string]int{}, steer: s.steer}, unlisted{})
	list := []dispatch.Endpoint{{ID: "z", Address: "z:1", Model: "origin"}}
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, dispatch.Endpoint{ID: id, Address: id + ":1", Model: "box"})
	}
	s.x.UpdateEndpoints(routing.Full, list)
	front := frontend.New(s.x, frontend.Limits{Descriptors: 16, OverflowConns: 2, MaxDeadline: d.MaxDeadline, MaxBuffered: maxBufferedBodyBytes, MaxStreamed: maxStreamedBodyBytes}, zap.NewNop())
	l := loopback(s.t)
	return l.Addr().String(), func() { go func() { _ = front.Serve(l) }() }
}

func (s *standing) dial(address string) *net.TCPConn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// xs are more than two kernels hold, so that a client's end behind them is not told before they are taken.
var xs = bytes.Repeat([]byte("x"), 8<<20)

// play brings the request to its place, has its client go or stay, lets it go on after a while, and looks what came.
func (w waiting) play(t *testing.T, held time.Duration) {
	s := &standing{waiting: w, t: t, at: make(chan struct{}), open: make(chan struct{}), other: make(chan struct{}),
		fetching: make(chan struct{}), first: make(chan net.Conn, 1), second: make(chan struct{})}
	s.there = sync.OnceFunc(func() { close(s.at) })
	release := sync.OnceFunc(func() { close(s.open) })
	defer release()
	s.answers()
	address, serve := s.start()
	if w.place != queue {
		serve()
	}
	if w.place == aFetch && w.attempt == 1 {
		fmt.Fprint(s.dial(address), lookup("GET /read/k", "o", ""))
		s.await(s.fetching, "the other's fetch")
	}
	c := s.dial(address)
	half := xs[:map[string]int{itsBody: maxBufferedBodyBytes, muchOfIt: len(xs), bothOf: len(xs)}[w.place]]
	written := make(chan bool)
	go func() {
		defer close(written)
		if len(half) == 0 {
			fmt.Fprint(c, lookup("GET /read/k", "t", ""))
			return
		}
		// More than the kernels hold, where it is much: its end is behind bytes that nobody takes.
		fmt.Fprint(c, lookup("PUT /once/k", "t", fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(half))))
		_, _ = c.Write(half)
	}()
	if w.place != muchOfIt && w.place != bothOf {
		<-written
	}
	switch {
	case w.place == queue:
	case w.place == aFetch && w.attempt > 1:
		s.await(s.other, "the attempt before")
		fmt.Fprint(s.dial(address), lookup("GET /read/k", "o", ""))
		s.tallied(func(y dispatch.Stats) bool { return y.Results[dispatch.Shed] == w.attempt-1 })
	case w.place == aFetch:
		s.tallied(func(y dispatch.Stats) bool { return y.Requests == 2 })
	default:
		s.await(s.at, "the attempt")
	}
	flooded := make(chan bool)
	switch {
	case w.place == aFlood:
		go func() {
			defer close(flooded)
			for i := range floodOf {
				fmt.Fprint(c, lookup("GET /read/other", fmt.Sprint("u", i), "X-More: "+strings.Repeat("x", 4<<10)+"\r\n\r\n"))
			}
		}()
		select { // the kernels are full, or all is out
		case <-flooded:
		case <-time.After(50 * time.Millisecond):
		}
	case w.behind:
		fmt.Fprint(c, lookup("GET /read/other", "u", ""))
	}
	switch w.goes {
	case "closes":
		c.Close()
	case "shuts its sending side":
		_ = c.CloseWrite()
	case "resets":
		_ = c.SetLinger(0)
		c.Close()
	}
	time.Sleep(held)
	release()
	if w.place == queue {
		serve()
	}
	if w.goes != stays {
		if w.place == queue {
			time.Sleep(goneFor) // it is taken, or not: nobody tells
		}
		for by := time.Now().Add(4 * time.Second); s.x.InFlight() > 0; time.Sleep(2 * time.Millisecond) {
			if time.Now().After(by) {
				t.Error("not over")
				break
			}
		}
		time.Sleep(20 * time.Millisecond)
		if came, behind := s.came.Load(), s.behinds.Load(); came > 0 || behind > 0 {
			t.Errorf("sent on: %d, and %d of what lay behind", came, behind)
		}
		return
	}
	<-written
	_, _ = c.Write(half)
	in, want := bufio.NewReader(c), 1
	if w.behind {
		want = 2
	}
	if w.place == aFlood {
		want = 1 + floodOf
	}
	for range want {
		_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Error(err)
			return
		}
		if body, err := io.ReadAll(r.Body); r.StatusCode != http.StatusOK || string(body) != "value" || err != nil {
			t.Errorf("a client that stays: %d %q, %v", r.StatusCode, body, err)
		}
	}
	if came, behind := s.came.Load(), s.behinds.Load(); came != 1 || int(behind) != want-1 {
		t.Errorf("sent on: %d, and %d of what lay behind", came, behind)
	}
}

// An attempt that waits begins no later than 0.1 s after its client has gone, whichever attempt it is, however the client went and
// whatever lies behind its request; that of one that stays is served. Without the look at the client's connection every place fails,
// with bytes behind or, where net/http can't see an end yet, without. Without the look made anew where it took long fail those between
// the look and the write that have bytes behind, and all between two connections, also where the client stays: what came in the very
// moment was taken for the beginning of the answer.
func TestNoAttemptBeginsForAClientThatHasGone(t *testing.T) {
	var rows sync.WaitGroup
	defer rows.Wait()
	room := make(chan struct{}, 24) // most of them only wait
	for _, place := range []string{aFetch, attempts, aCore, aDial, dials, aWrite, itsBody, muchOfIt, bothOf, aFlood, queue} {
		for attempt := 1; attempt <= 3; attempt++ {
			if place == attempts && attempt == 1 || place == queue && attempt > 1 {
				continue // there is no such attempt
			}
			for _, goes := range []string{"closes", "shuts its sending side", "resets", stays} {
				for _, behind := range []bool{false, true} {
					if (place == itsBody || place == muchOfIt || place == bothOf) && behind || place == aFlood && !behind {
						continue // its own bytes are in the way
					}
					w := waiting{place, attempt, goes, behind}
					rows.Go(func() {
						room <- struct{}{}
						defer func() { <-room }()
						t.Run(fmt.Sprintf("%s, attempt %d, %s, behind %v", place, attempt, goes, behind), func(t *testing.T) { w.play(t, goneFor) })
					})
				}
			}
		}
	}
}

// What an upload waits for a connection is not its client's fault: the time that the client has for its body runs while it is read.
func TestALongUploadMayWait(t *testing.T) {
	waiting{bothOf, 1, stays, false}.play(t, 2800*time.Millisecond) // beyond the 2.6 s that a body may take to begin
}
