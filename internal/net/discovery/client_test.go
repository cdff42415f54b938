package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/routing"
)

const endpointJSON = `{"id":"a","addr":"127.0.0.1:1","kind":"box","state":"Ready","started_ms":0}`

// scriptedService answers each call with the next of its pages; an empty one is a failure, and the last one waits.
type scriptedService struct {
	mu    sync.Mutex
	pages []string
	asked []string
	at    []time.Time
}

func (s *scriptedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.asked, s.at = append(s.asked, r.URL.RequestURI()), append(s.at, time.Now())
	if len(s.pages) == 0 {
		s.mu.Unlock()
		<-r.Context().Done()
		return
	}
	page := s.pages[0]
	s.pages = s.pages[1:]
	s.mu.Unlock()
	if page == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprint(w, page)
}

func (s *scriptedService) calls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.asked...)
}

// follow runs a follower against the pages until so many calls were made.
func follow(t *testing.T, calls int, pages ...string) (*scriptedService, *dispatch.Dispatcher, *observer.ObservedLogs) {
	t.Helper()
	s := &scriptedService{pages: pages}
	server := httptest.NewServer(s)
	d, err := config.ParseSettings(
		map[string]any{
			"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 1., "time-limit-ms": 2.}},
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	x := dispatch.New(d, zap.NewNop())
	f := New(x, server.Listener.Addr().String(), 10*time.Second, zap.New(core))
	x.Start(1, nil, f) // the module gives the first order by itself
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	for end := time.Now().Add(8 * time.Second); len(s.calls()) < calls && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	stop()
	<-done
	server.CloseClientConnections()
	server.Close()
	if got := s.calls(); len(got) != calls {
		t.Fatalf("%d calls, want %d: %v", len(got), calls, got)
	}
	return s, x, logs
}

func TestTheWholeListThenWatchesWithoutAPause(t *testing.T) {
	s, x, _ := follow(t, 4, `{"version":7,"full":true,"servers":[`+endpointJSON+`]}`, `{"version":9,"full":false,"servers":[`+endpointJSON+`]}`,
		`{"version":9,"full":false,"servers":[]}`)
	want := []string{listPath, listPath + "?from=7&hold_ms=WATCH", listPath + "?from=9&hold_ms=WATCH", listPath + "?from=9&hold_ms=WATCH"}
	if got := normalizeWaits(s.calls()); got != strings.Join(want, " ") || !x.Ready() {
		t.Errorf("asked %s; ready %v", got, x.Ready())
	}
	for i := 1; i < len(s.at); i++ {
		if s.at[i].Sub(s.at[i-1]) > 200*time.Millisecond || i == 3 && s.at[i].Sub(s.at[i-1]) < emptyWatchPause {
			t.Errorf("call %d came %v after the one before", i, s.at[i].Sub(s.at[i-1]))
		}
	}
}

// What a watch that has fallen silent missed counts as told 2 s after its wait is over: by then the list has been had anew,
// though the module waits before it asks and the service takes a second to answer. A service that answers a little after the
// wait is not given up for that.
func TestASilentWatchIsMadeUpForInTime(t *testing.T) {
	t.Parallel()
	const hold, late, takes = 300 * time.Millisecond, 30 * time.Millisecond, time.Second
	var mu sync.Mutex
	calls, silent := 0, time.Time{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls++
		nth := calls
		mu.Unlock()
		switch nth {
		case 1:
			fmt.Fprint(w, `{"version":1,"full":true,"servers":[`, endpointJSON, `]}`)
		case 2: // a watch that ends in time, in its service's
			time.Sleep(hold + late)
			fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
		case 3:
			mu.Lock()
			silent = time.Now()
			mu.Unlock()
			<-r.Context().Done()
		case 4:
			time.Sleep(takes)
			fmt.Fprint(w, `{"version":2,"full":true,"servers":[`, strings.Replace(endpointJSON, "Ready", "Terminating", 1), `]}`)
		default:
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	d, err := config.ParseSettings(map[string]any{"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 1., "time-limit-ms": 2.}}})
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	x := dispatch.New(d, zap.NewNop())
	f := New(x, server.Listener.Addr().String(), hold, zap.New(core))
	x.Start(1, nil, f)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go f.Run(ctx)
	for end := time.Now().Add(8 * time.Second); logs.FilterMessage("endpoint list updated").Len() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no list after the silent watch")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if took := time.Since(silent); calls < 4 || took > hold+2*time.Second {
		t.Errorf("known %v after the watch began, at call %d; its wait was %v", took, calls, hold)
	}
	if lost := logs.FilterMessage("endpoint list update failed, keeping the last list").Len(); lost != 1 {
		t.Errorf("%d calls were given up, want the silent one", lost)
	}
	server.CloseClientConnections()
}

// A call for the whole list that a service never answers, as one that was made while it was down, has another beside it in
// time for two more within the 6 s after which what it missed counts as told.
func TestACallThatIsNeverAnsweredIsMadeAnew(t *testing.T) {
	t.Parallel()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) != 2 {
			<-r.Context().Done()
		}
		fmt.Fprint(w, `{"version":1,"full":true,"servers":[`, endpointJSON, `]}`)
	}))
	defer server.Close()
	d, err := config.ParseSettings(map[string]any{"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 1., "time-limit-ms": 2.}}})
	if err != nil {
		t.Fatal(err)
	}
	x := dispatch.New(d, zap.NewNop())
	f := New(x, server.Listener.Addr().String(), time.Second, zap.NewNop())
	x.Start(1, nil, f)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go f.Run(ctx)
	began := time.Now()
	for !x.Ready() && time.Since(began) < 6*time.Second {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("a list after %v, at call %d", took, calls.Load())
	}
	server.CloseClientConnections()
}

// normalizeWaits joins calls, with WATCH for a wait that is drawn between half of the longest and all of it: 5 to 10 s here.
func normalizeWaits(calls []string) string {
	return regexp.MustCompile(`hold_ms=(5\d\d\d|[6-9]\d\d\d|10000)\b`).ReplaceAllString(strings.Join(calls, " "), "hold_ms=WATCH")
}

// A watch that was turned away, again and again, goes on from the version that was had, with a call that is answered at once.
func TestAWatchThatWasTurnedAwayIsResumed(t *testing.T) {
	s, x, _ := follow(t, 5, `{"version":7,"full":true,"servers":[`+endpointJSON+`]}`, "", "", `{"version":7,"full":false,"servers":[]}`)
	again := fmt.Sprintf("%s?from=7&hold_ms=%d", listPath, resumeWait.Milliseconds())
	want := []string{listPath, listPath + "?from=7&hold_ms=WATCH", again, again, listPath + "?from=7&hold_ms=WATCH"}
	if got := normalizeWaits(s.calls()); got != strings.Join(want, " ") || !x.Ready() {
		t.Errorf("asked %s; ready %v", got, x.Ready())
	}
	if took := s.at[4].Sub(s.at[3]); took > 200*time.Millisecond {
		t.Errorf("the watch goes on %v after the answer: it is a new one", took)
	}
}

// After anything but a 503 the service may count anew: the whole list is asked for, as after an older version.
func TestOnlyAWatchThatWasTurnedAwayIsResumed(t *testing.T) {
	for _, page := range []string{"no list", `{"version":3,"full":false,"servers":[]}`} {
		s, _, _ := follow(t, 4, `{"version":7,"full":true,"servers":[`+endpointJSON+`]}`, "", page)
		if got := s.calls(); got[2] == listPath || got[3] != listPath {
			t.Errorf("%s: asked %v", page, got)
		}
	}
}

func TestAGapAsksForTheWholeList(t *testing.T) {
	s, _, _ := follow(t, 3, `{"version":7,"full":true,"servers":[`+endpointJSON+`]}`, `{"version":3,"full":false,"servers":[`+endpointJSON+`]}`)
	if got := s.calls(); got[2] != listPath {
		t.Errorf("asked %v", got)
	}
}

// What can't be read, in part or in whole, changes nothing: one line, a failed call, and the module asks again.
func TestABadListLeavesTheOldOne(t *testing.T) {
	for _, page := range []string{"", "no list", `{"full":true,"servers":[]}`, `{"version":1,"full":true,"servers":[{"id":"a","addr":"x","state":"Odd"}]}`,
		`{"version":1,"full":true,"servers":[{"addr":"x","state":"Ready"}]}`, `{"version":1,"full":true,"servers":[{"id":"a","state":"Ready"}]}`,
		`{"version":1,"full":false,"servers":[` + endpointJSON + `]}`} {
		t.Run(page, func(t *testing.T) {
			t.Parallel()
			s, x, logs := follow(t, 2, page)
			if x.Ready() || logs.FilterMessage("endpoint list update failed, keeping the last list").Len() != 1 {
				t.Errorf("%s: ready %v, log %v", page, x.Ready(), logs.All())
			}
			if s.at[1].Sub(s.at[0]) < 100*time.Millisecond {
				t.Errorf("%s: asked again at once, not when the module said so", page)
			}
		})
	}
}

// A move goes on with the old list until the new address has given one, whatever its versions; then the old address
// has no say, and the next watch is due at the new one without a pause.
func TestAMoveLeavesNoGap(t *testing.T) {
	old := &scriptedService{pages: []string{`{"version":70,"full":true,"servers":[` + endpointJSON + `]}`}}
	next := &scriptedService{pages: []string{"", "no list", `{"version":2,"full":true,"servers":[` + endpointJSON + `]}`, `{"version":3,"full":false,"servers":[]}`}}
	var at [2]string
	for i, s := range []*scriptedService{old, next} {
		server := httptest.NewServer(s)
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		at[i] = server.Listener.Addr().String()
	}
	d, err := config.ParseSettings(map[string]any{"namespaces": []any{map[string]any{"name": "read", "repeat": "safe",
		"target-time-ms": 1., "time-limit-ms": 2.}}})
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	x := dispatch.New(d, zap.NewNop())
	f := New(x, at[0], 10*time.Second, zap.New(core))
	x.Start(1, nil, f)
	go f.Run(t.Context())
	for end := time.Now().Add(5 * time.Second); len(old.calls()) < 2; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no watch at the old address")
		}
	}
	f.mu.Lock()
	before := f.source
	f.mu.Unlock()
	f.SwitchTo(t.Context(), "127.0.0.1:1") // refused; the next move takes its place
	f.SwitchTo(t.Context(), at[1])
	for end := time.Now().Add(5 * time.Second); len(next.calls()) < 5; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no watch at the new address: ", next.calls())
		}
	}
	got := normalizeWaits(next.calls()[2:])
	if want := listPath + " " + listPath + "?from=2&hold_ms=WATCH " + listPath + "?from=3&hold_ms=WATCH"; got != want {
		t.Errorf("asked %s", got)
	}
	if next.at[3].Sub(next.at[2]) > 200*time.Millisecond || len(old.calls()) != 2 {
		t.Errorf("the watch came after %v; the old address was asked %d times", next.at[3].Sub(next.at[2]), len(old.calls()))
	}
	if f.publish(before, endpointList{full: true}) || logs.FilterMessage("endpoint list updated").Len() != 2 {
		t.Error("the old address still has a say")
	}
	if logs.FilterMessage("endpoint list update failed, keeping the last list").Len() != 0 {
		t.Error("the module was told of a failure")
	}
}

func TestKnownIsToldAsPersisted(t *testing.T) {
	list, err := parseList([]byte(`{"version":41,"full":true,"new":1,"servers":[` + endpointJSON + `,{"id":"b","state":"Gone","started_ms":1700000000123}]}`))
	endpoints := list.endpoints
	if err != nil || !list.full || len(endpoints) != 2 || endpoints[0].Address != "127.0.0.1:1" || endpoints[1].State != routing.Gone ||
		endpoints[1].StartedMs != 1700000000123 {
		t.Errorf("%+v %v", list, err)
	}
	_, x, _ := follow(t, 1)
	f := New(x, "127.0.0.1:1", time.Second, zap.NewNop())
	if err := f.LoadCached([]byte("no list")); err == nil || x.Ready() {
		t.Errorf("no list: %v, ready %v", err, x.Ready())
	}
	if err := f.LoadCached([]byte(`{"version":1,"full":true,"servers":[` + endpointJSON + `]}`)); err != nil || !x.Ready() {
		t.Errorf("a list: %v, ready %v", err, x.Ready())
	}
}
