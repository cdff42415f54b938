package discovery

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/routing"
)

// The bounds on when a list is had, from the moment at which its service is back.
const (
	answersIn     = 4 * time.Second // where it answers
	rejectedIn    = 5 * time.Second // where it first turns a call away as one of too many
	switchIn      = 4 * time.Second // from a signal to move
	silentIn      = 2 * time.Second // from the end of a silent watch's wait
	busyAllowance = 400 * time.Millisecond

	healthyPollTime = 1 * time.Second // for a poll of the full list and its connect, where the service is well
)

// The sums beside the constants, with what a busy machine takes: raising any of the constants, here or in the module, breaks one.
// TestNextPollIsNeverFar checks that the waits between polls keep to PollSpread and MaxPollWait.
func TestTheListIsHadInTime(t *testing.T) {
	spread, most := config.Duration(routing.PollSpread), config.Duration(routing.MaxPollWait)
	for _, c := range []struct {
		what string
		sum  time.Duration
		in   time.Duration
	}{
		{"a call begins, whatever has become of those before, and is answered", most + healthyPollTime + busyAllowance, answersIn},
		{"it is turned away, and the next one is answered", most + most + healthyPollTime + busyAllowance, rejectedIn},
		{"one beside a call that may be in line is put off, and answered", maxQueueTime + healthyPollTime + busyAllowance, answersIn},
		{"the same, turned away: the next word isn't put off", max(maxQueueTime, most+most) + healthyPollTime + busyAllowance, rejectedIn},
		{"a gap, a lost watch, a start", spread + healthyPollTime + busyAllowance, answersIn},
		{"the same, turned away", spread + most + healthyPollTime + busyAllowance, rejectedIn},
		{"a silent watch, from the end of its wait", watchGrace + spread + healthyPollTime + busyAllowance, silentIn},
		{"a move whose first call is silent, and the second and third turned away", 3*maxSwitchRetryWait + healthyPollTime, switchIn},
		{"a resumed watch that has nothing to tell", resumeWait, emptyWatchPause},
		{"news between two watches", emptyWatchPause + busyAllowance/4, 200 * time.Millisecond},
	} {
		if c.sum > c.in {
			t.Errorf("%s: %v, want %v at most", c.what, c.sum, c.in)
		}
	}
	// A call must not wait for a connection behind connects that hang.
	if connects := int(math.Ceil(float64(connectTimeout) / float64(spread/2))); connects+2 > maxConnsPerHost {
		t.Errorf("%d connects may hang at once, and a move's and a watch's connection come on top: %d are too few", connects, maxConnsPerHost)
	}
	if healthyPollTime < connectTimeout {
		t.Errorf("a list takes %v at most, and its connect %v", healthyPollTime, connectTimeout)
	}
	if maxConcurrentPolls < 3 {
		t.Errorf("of %d calls the oldest keeps its place, the latest begins, and one is given up", maxConcurrentPolls)
	}
}

// outage is a discovery service on loopback that is down in a given way for a while.
type outage struct {
	t        *testing.T
	how      string
	address  string
	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	back     time.Time // 0: it is up, or down
	down     bool
	turns    int          // calls that it turns away after its return
	watches  atomic.Int64 // that have come
	hangs    atomic.Bool  // connects that begin now hang
	out, top atomic.Int64
	calls    atomic.Int64
}

var addresses atomic.Int64

func newOutage(t *testing.T, how string, turns int, down bool) *outage {
	nth := addresses.Add(1) // one of its own, which nobody else takes while it is closed
	o := &outage{t: t, how: how, turns: turns}
	o.listen(fmt.Sprintf("127.%d.%d.%d:0", 80+os.Getpid()%100, nth/200, 1+nth%200))
	o.address = o.listener.Addr().String()
	t.Cleanup(func() { o.server.Close() })
	if down {
		o.begin()
	}
	return o
}

func (o *outage) listen(at string) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		o.t.Error(err)
		return
	}
	o.server, o.listener = &http.Server{Handler: o}, l
	go o.server.Serve(l)
}

// begin takes the service down; its watches end.
func (o *outage) begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = true
	if o.how == "a connect that hangs" {
		o.hangs.Store(true)
	}
	o.listener.Close() // also where it isn't served yet
	if o.server.Close(); o.how != "refused" {
		o.listen(o.address)
	}
}

// end brings it back. What it had accepted while it was down is never answered.
func (o *outage) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.how == "refused" {
		o.listen(o.address)
	}
	o.hangs.Store(false)
	o.down, o.back = false, time.Now()
}

func (o *outage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.top.Store(max(o.top.Load(), o.out.Add(1)))
	defer o.out.Add(-1)
	if r.URL.RawQuery != "" {
		o.watches.Add(1)
	}
	o.mu.Lock()
	down, version := o.down, 1
	if !o.back.IsZero() {
		version = 2
	}
	turn := version == 2 && o.turns > 0
	if turn {
		o.turns--
	}
	o.mu.Unlock()
	whole := fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, endpointJSON)
	switch {
	case down && o.how == "reset":
		c, _, _ := w.(http.Hijacker).Hijack()
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	case down && o.how == "503", turn, down && o.how == "503, then silent" && o.calls.Add(1)%2 > 0:
		w.WriteHeader(http.StatusServiceUnavailable)
	case down && o.how == "half a list, then silent":
		w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		fmt.Fprint(w, whole[:len(whole)/2])
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	case down && o.how == "half a list, then its end":
		w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		fmt.Fprint(w, whole[:len(whole)/2])
	case down && o.how == "an older version":
		fmt.Fprint(w, `{"version":0,"full":false,"servers":[]}`)
	case down, r.URL.RawQuery != "": // a watch has nothing to tell
		<-r.Context().Done()
	default:
		fmt.Fprint(w, whole)
	}
}

var outages = []string{"refused", "reset", "503", "silent", "half a list, then silent", "half a list, then its end", "an older version",
	"a connect that hangs", "503, then silent"}

// follower gives a follower and its exchange; told has the time of each whole list.
func (o *outage) follower(settings map[string]any) (*Client, chan time.Time) {
	settings["namespaces"] = []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 1., "time-limit-ms": 2.}}
	d, err := config.ParseSettings(settings)
	if err != nil {
		o.t.Fatal(err)
	}
	told := make(chan time.Time, 100)
	log := zap.New(zapcore.NewNopCore()).WithOptions(zap.WrapCore(func(zapcore.Core) zapcore.Core { return &listLog{told} }))
	x := dispatch.New(d, zap.NewNop())
	f := New(x, o.address, 10*time.Second, log)
	dial := f.transport.DialContext
	f.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if o.hangs.Load() {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dial(ctx, network, address)
	}
	x.Start(uint64(time.Now().UnixNano()), nil, f)
	return f, told
}

// listLog is a logger that sends the time of each list.
type listLog struct{ told chan time.Time }

func (e *listLog) Enabled(zapcore.Level) bool        { return true }
func (e *listLog) With([]zapcore.Field) zapcore.Core { return e }
func (e *listLog) Sync() error                       { return nil }
func (e *listLog) Check(entry zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if entry.Message == "endpoint list updated" {
		return c.AddCore(entry, e)
	}
	return c
}

func (e *listLog) Write(entry zapcore.Entry, _ []zapcore.Field) error {
	e.told <- entry.Time
	return nil
}

// Followers have the list in time after outages of all kinds and many lengths, also when the service turns the first call after
// its return away, and also where the node started, or was told to move there, in the outage.
func TestTheListIsHadAfterAnOutage(t *testing.T) {
	t.Parallel()
	const grace = 1500 * time.Millisecond
	each := 8
	if testing.Short() {
		each = 2
	}
	var wg sync.WaitGroup
	type row struct {
		how, when string
		turns     int
	}
	var mu sync.Mutex
	worst := map[row]time.Duration{}
	for _, how := range outages {
		for _, when := range []string{"followed", "start", "move", "pushed"} {
			for turns := range 2 {
				if when == "start" && how == "an older version" {
					continue
				}
				for n := range each {
					wg.Go(func() {
						lasts := time.Duration(500+(n*4231+turns*617+len(how)*331)%4000) * time.Millisecond
						settings := map[string]any{"registry-mode": "ask", "invariants": map[string]any{"ask-within-ms": 10000.}}
						if when == "pushed" {
							settings = map[string]any{"registry-mode": "push", "invariants": map[string]any{"ask-within-ms": 10000., "stop-sending-within-ms": float64(grace.Milliseconds())}}
						}
						o := newOutage(t, how, turns, when == "start" || when == "move")
						at := o
						if when == "move" {
							at = newOutage(t, how, 0, false)
						}
						f, told := at.follower(settings)
						if when == "move" {
							dial := f.transport.DialContext
							f.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
								if address == o.address && o.hangs.Load() {
									ctx, cancel := context.WithTimeout(ctx, connectTimeout)
									defer cancel()
									<-ctx.Done()
									return nil, ctx.Err()
								}
								return dial(ctx, network, address)
							}
						}
						go f.Run(t.Context())
						if when != "start" {
							for <-told; at.watches.Load() == 0; time.Sleep(time.Millisecond) {
							}
						}
						if time.Sleep(time.Duration(n*37) * time.Millisecond); when == "move" {
							f.SwitchTo(t.Context(), o.address)
						} else if when != "start" {
							o.begin()
						}
						time.Sleep(lasts)
						o.end()
						in := answersIn
						if turns > 0 {
							in = rejectedIn
						} else if when == "pushed" {
							in = grace // it runs from the return
						}
						took := 2 * in
						select {
						case at := <-told:
							took = at.Sub(o.back)
						case <-time.After(2 * in):
						}
						if took > in {
							t.Errorf("%s, %s, %d turned away, an outage of %v: a list %v after its end, want %v at most", how, when, turns, lasts, took, in)
						}
						if top := o.top.Load(); top > maxConcurrentPolls+2 {
							t.Errorf("%s, %s: %d calls at once", how, when, top)
						}
						mu.Lock()
						worst[row{how, when, turns}] = max(worst[row{how, when, turns}], took)
						mu.Unlock()
					})
				}
			}
		}
	}
	wg.Wait()
	var text strings.Builder
	for _, how := range outages {
		fmt.Fprintf(&text, "\n%-26s", how)
		for _, when := range []string{"followed", "start", "move", "pushed"} {
			fmt.Fprintf(&text, " %s %.2f %.2f", when, worst[row{how, when, 0}].Seconds(), worst[row{how, when, 1}].Seconds())
		}
	}
	t.Logf("seconds from the return to the list at most, with the first call answered and turned away:%s", &text)
}

// A service whose line is long answers the first call late: it keeps its place there, though others are begun beside it, and the
// calls at a time stay few.
func TestTheOldestCallKeepsItsPlace(t *testing.T) {
	t.Parallel()
	var calls, out, top atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		nth := calls.Add(1)
		top.Store(max(top.Load(), out.Add(1)))
		defer out.Add(-1)
		if nth == 1 {
			time.Sleep(1800 * time.Millisecond)
			fmt.Fprint(w, `{"version":1,"full":true,"servers":[`, endpointJSON, `]}`)
			return
		}
		<-r.Context().Done()
	}))
	defer s.Close()
	defer s.CloseClientConnections()
	o := &outage{t: t, address: s.Listener.Addr().String()}
	f, told := o.follower(map[string]any{"registry-mode": "push", "invariants": map[string]any{"stop-sending-within-ms": 1500.}})
	go f.Run(t.Context())
	select {
	case <-told:
	case <-time.After(5 * time.Second):
		t.Fatal("no list")
	}
	if n := calls.Load(); n < 4 || n > 9 {
		t.Errorf("%d calls in 1.8 s", n)
	}
	if top := top.Load(); top > maxConcurrentPolls+1 { // one that is given up may be seen to end a little late
		t.Errorf("%d calls at once", top)
	}
	time.Sleep(50 * time.Millisecond)
	before := calls.Load()
	if time.Sleep(time.Second); calls.Load() > before+1 {
		t.Errorf("%d further calls beside a watch", calls.Load()-before)
	}
}

// An order that crosses the list that it is for is not followed when a later watch fails: the module orders anew, by its own spread.
func TestAnOrderThatCrossesItsListIsForgotten(t *testing.T) {
	t.Parallel()
	var wholes atomic.Int64
	var f *Client
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			f.Subscribe()
			w.WriteHeader(http.StatusInternalServerError) // after a 503 the next call would only ask for what changed
			return
		}
		if wholes.Add(1) > 1 {
			time.Sleep(600 * time.Millisecond) // longer than the module waits after a watch, shorter than between calls
		}
		if wholes.Load() == 1 {
			fmt.Fprint(w, `{"version":1,"full":true,"servers":[`, endpointJSON, `]}`)
		}
	}))
	defer s.Close()
	defer s.CloseClientConnections()
	o := &outage{t: t, address: s.Listener.Addr().String()}
	f, told := o.follower(map[string]any{"registry-mode": "ask"})
	go f.Run(t.Context())
	<-told
	if time.Sleep(500 * time.Millisecond); wholes.Load() != 2 {
		t.Errorf("%d calls for the list, want one before and one after the watch", wholes.Load())
	}
}
