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

// scriptedService answers each call with the next of its responses; an empty one is a 503. Calls after the last response are never answered.
type scriptedService struct {
	mu          sync.Mutex
	responses   []string
	requestURIs []string
	callTimes   []time.Time
}

func (s *scriptedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requestURIs, s.callTimes = append(s.requestURIs, r.URL.RequestURI()), append(s.callTimes, time.Now())
	if len(s.responses) == 0 {
		s.mu.Unlock()
		<-r.Context().Done()
		return
	}
	response := s.responses[0]
	s.responses = s.responses[1:]
	s.mu.Unlock()
	if response == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprint(w, response)
}

func (s *scriptedService) calls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requestURIs...)
}

// runClient runs a client against a service with the given responses until it has made wantCalls calls (at most 8 s), and fails the test if
// the number of calls differs in the end.
func runClient(t *testing.T, wantCalls int, responses ...string) (*scriptedService, *dispatch.Dispatcher, *observer.ObservedLogs) {
	t.Helper()
	s := &scriptedService{responses: responses}
	server := httptest.NewServer(s)
	settings, err := config.ParseSettings(
		map[string]any{
			"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 1., "time-limit-ms": 2.}},
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	dispatcher := dispatch.New(settings, zap.NewNop())
	client := New(dispatcher, server.Listener.Addr().String(), 10*time.Second, zap.New(core))
	dispatcher.Start(1, nil, client) // makes the first Subscribe call
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		client.Run(ctx)
		close(done)
	}()
	for end := time.Now().Add(8 * time.Second); len(s.calls()) < wantCalls && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	<-done
	server.CloseClientConnections()
	server.Close()
	if got := s.calls(); len(got) != wantCalls {
		t.Fatalf("%d calls, want %d: %v", len(got), wantCalls, got)
	}
	return s, dispatcher, logs
}

func TestFullListThenWatchesWithoutDelay(t *testing.T) {
	s, dispatcher, _ := runClient(t, 4, `{"version":7,"full":true,"servers":[`+endpointJSON+`]}`, `{"version":9,"full":false,"servers":[`+endpointJSON+`]}`,
		`{"version":9,"full":false,"servers":[]}`)
	want := []string{listPath, listPath + "?from=7&hold_ms=WATCH", listPath + "?from=9&hold_ms=WATCH", listPath + "?from=9&hold_ms=WATCH"}
	if got := normalizeWaits(s.calls()); got != strings.Join(want, " ") || !dispatcher.Ready() {
		t.Errorf("calls %s, want %s; ready %v", got, strings.Join(want, " "), dispatcher.Ready())
	}
	for i := 1; i < len(s.callTimes); i++ {
		if s.callTimes[i].Sub(s.callTimes[i-1]) > 200*time.Millisecond || i == 3 && s.callTimes[i].Sub(s.callTimes[i-1]) < emptyWatchPause {
			t.Errorf("call %d started %v after the previous one", i, s.callTimes[i].Sub(s.callTimes[i-1]))
		}
	}
}

// A watch is silent if its connection stops delivering data. A node must know the changes that such a watch missed within 2 s after the end of
// the watch's wait. The client must get a new list in that time, although the balancer waits before it polls and the service takes a second to
// answer. A watch that is answered a little after its wait must not fail.
func TestSilentWatchNewListInTime(t *testing.T) {
	t.Parallel()
	const pollInterval, answerDelay, pollTime = 300 * time.Millisecond, 30 * time.Millisecond, time.Second
	var mu sync.Mutex
	calls, silentStart := 0, time.Time{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls++
		call := calls
		mu.Unlock()
		switch call {
		case 1:
			fmt.Fprint(w, `{"version":1,"full":true,"servers":[`, endpointJSON, `]}`)
		case 2: // a watch that is answered shortly after its wait
			time.Sleep(pollInterval + answerDelay)
			fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
		case 3:
			mu.Lock()
			silentStart = time.Now()
			mu.Unlock()
			<-r.Context().Done()
		case 4:
			time.Sleep(pollTime)
			fmt.Fprint(w, `{"version":2,"full":true,"servers":[`, strings.Replace(endpointJSON, "Ready", "Terminating", 1), `]}`)
		default:
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	settings, err := config.ParseSettings(map[string]any{"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 1., "time-limit-ms": 2.}}})
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	dispatcher := dispatch.New(settings, zap.NewNop())
	client := New(dispatcher, server.Listener.Addr().String(), pollInterval, zap.New(core))
	dispatcher.Start(1, nil, client)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go client.Run(ctx)
	for end := time.Now().Add(8 * time.Second); logs.FilterMessage("endpoint list updated").Len() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no list after the silent watch within 8 s")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if delay := time.Since(silentStart); calls < 4 || delay > pollInterval+2*time.Second {
		t.Errorf("list %v after the start of the silent watch, at call %d; the wait of the watch was %v", delay, calls, pollInterval)
	}
	if failures := logs.FilterMessage("endpoint list update failed, keeping the last list").Len(); failures != 1 {
		t.Errorf("%d failed calls, want only the silent watch", failures)
	}
	server.CloseClientConnections()
}

// A poll may never be answered, for example if it was made while the service was down. The client must start another poll early enough for two
// more within 6 s, the time within which a node must know a change.
func TestUnansweredPollFurtherPollInTime(t *testing.T) {
	t.Parallel()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) != 2 {
			<-r.Context().Done()
		}
		fmt.Fprint(w, `{"version":1,"full":true,"servers":[`, endpointJSON, `]}`)
	}))
	defer server.Close()
	settings, err := config.ParseSettings(map[string]any{"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 1., "time-limit-ms": 2.}}})
	if err != nil {
		t.Fatal(err)
	}
	dispatcher := dispatch.New(settings, zap.NewNop())
	client := New(dispatcher, server.Listener.Addr().String(), time.Second, zap.NewNop())
	dispatcher.Start(1, nil, client)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go client.Run(ctx)
	start := time.Now()
	for !dispatcher.Ready() && time.Since(start) < 6*time.Second {
		time.Sleep(time.Millisecond)
	}
	if delay := time.Since(start); delay > 4*time.Second {
		t.Errorf("list after %v, at call %d; want at most 4 s", delay, calls.Load())
	}
	server.CloseClientConnections()
}

// normalizeWaits joins calls and replaces random waits of watches with WATCH. These are between half of the longest wait and the longest wait, 5 to
// 10 s here.
func normalizeWaits(calls []string) string {
	return regexp.MustCompile(`hold_ms=(5\d\d\d|[6-9]\d\d\d|10000)\b`).ReplaceAllString(strings.Join(calls, " "), "hold_ms=WATCH")
}

// After rejections of a watch and of resuming polls, the client resumes from the last version with a poll that the service answers at once.
func TestRejectedWatchResumed(t *testing.T) {
	s, dispatcher, _ := runClient(t, 5, `{"version":7,"full":true,"servers":[`+endpointJSON+`]}`, "", "", `{"version":7,"full":false,"servers":[]}`)
	resumeURI := fmt.Sprintf("%s?from=7&hold_ms=%d", listPath, resumeWait.Milliseconds())
	want := []string{listPath, listPath + "?from=7&hold_ms=WATCH", resumeURI, resumeURI, listPath + "?from=7&hold_ms=WATCH"}
	if got := normalizeWaits(s.calls()); got != strings.Join(want, " ") || !dispatcher.Ready() {
		t.Errorf("calls %s, want %s; ready %v", got, strings.Join(want, " "), dispatcher.Ready())
	}
	if delay := s.callTimes[4].Sub(s.callTimes[3]); delay > 200*time.Millisecond {
		t.Errorf("watch started %v after the answer to the resuming poll, want at most 200 ms", delay)
	}
}

// After any failure except a 503 the service may have reset its version counter, so the client polls for the full list. The same holds after an
// older version.
func TestResumeInvalidAnswerFullPoll(t *testing.T) {
	for _, response := range []string{"no list", `{"version":3,"full":false,"servers":[]}`} {
		s, _, _ := runClient(t, 4, `{"version":7,"full":true,"servers":[`+endpointJSON+`]}`, "", response)
		if got := s.calls(); got[2] == listPath || got[3] != listPath {
			t.Errorf("%s: calls %v, want a resuming poll, then one for the full list", response, got)
		}
	}
}

func TestVersionGapFullPoll(t *testing.T) {
	s, _, _ := runClient(t, 3, `{"version":7,"full":true,"servers":[`+endpointJSON+`]}`, `{"version":3,"full":false,"servers":[`+endpointJSON+`]}`)
	if got := s.calls(); got[2] != listPath {
		t.Errorf("calls %v, want a poll for the full list after the older version", got)
	}
}

// A list that is invalid as a whole or in one entry is not published. The client logs one warning and reports the failure, and the balancer
// subscribes again after its delay.
func TestInvalidListIgnored(t *testing.T) {
	for _, response := range []string{"", "no list", `{"full":true,"servers":[]}`, `{"version":1,"full":true,"servers":[{"id":"a","addr":"x","state":"Odd"}]}`,
		`{"version":1,"full":true,"servers":[{"addr":"x","state":"Ready"}]}`, `{"version":1,"full":true,"servers":[{"id":"a","state":"Ready"}]}`,
		`{"version":1,"full":false,"servers":[` + endpointJSON + `]}`} {
		t.Run(response, func(t *testing.T) {
			t.Parallel()
			s, dispatcher, logs := runClient(t, 2, response)
			if dispatcher.Ready() || logs.FilterMessage("endpoint list update failed, keeping the last list").Len() != 1 {
				t.Errorf("%s: ready %v, log %v", response, dispatcher.Ready(), logs.All())
			}
			if s.callTimes[1].Sub(s.callTimes[0]) < 100*time.Millisecond {
				t.Errorf("%s: next poll at once, not after the balancer's delay", response)
			}
		})
	}
}

// SwitchTo keeps the old list until the new service returns a list, whose version is unrelated. From then on the client ignores the old
// service, and starts the next watch at the new one without delay.
func TestSwitchToFollowsOldServiceUntilList(t *testing.T) {
	oldService := &scriptedService{responses: []string{`{"version":70,"full":true,"servers":[` + endpointJSON + `]}`}}
	newService := &scriptedService{responses: []string{"", "no list", `{"version":2,"full":true,"servers":[` + endpointJSON + `]}`, `{"version":3,"full":false,"servers":[]}`}}
	var serviceAddrs [2]string
	for i, s := range []*scriptedService{oldService, newService} {
		server := httptest.NewServer(s)
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		serviceAddrs[i] = server.Listener.Addr().String()
	}
	settings, err := config.ParseSettings(map[string]any{"namespaces": []any{map[string]any{"name": "read", "repeat": "safe",
		"target-time-ms": 1., "time-limit-ms": 2.}}})
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	dispatcher := dispatch.New(settings, zap.NewNop())
	client := New(dispatcher, serviceAddrs[0], 10*time.Second, zap.New(core))
	dispatcher.Start(1, nil, client)
	go client.Run(t.Context())
	for end := time.Now().Add(5 * time.Second); len(oldService.calls()) < 2; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no watch at the old service")
		}
	}
	client.mu.Lock()
	oldSource := client.source
	client.mu.Unlock()
	client.SwitchTo(t.Context(), "127.0.0.1:1") // refuses connections; the next switch cancels this one
	client.SwitchTo(t.Context(), serviceAddrs[1])
	for end := time.Now().Add(5 * time.Second); len(newService.calls()) < 5; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no watch at the new service: ", newService.calls())
		}
	}
	got := normalizeWaits(newService.calls()[2:])
	if want := listPath + " " + listPath + "?from=2&hold_ms=WATCH " + listPath + "?from=3&hold_ms=WATCH"; got != want {
		t.Errorf("calls %s, want %s", got, want)
	}
	if newService.callTimes[3].Sub(newService.callTimes[2]) > 200*time.Millisecond || len(oldService.calls()) != 2 {
		t.Errorf("watch %v after the list, want at most 200 ms; %d calls to the old service, want 2", newService.callTimes[3].Sub(newService.callTimes[2]), len(oldService.calls()))
	}
	if client.publish(oldSource, endpointList{full: true}) || logs.FilterMessage("endpoint list updated").Len() != 2 {
		t.Error("a list from the old service was published after the switch")
	}
	if logs.FilterMessage("endpoint list update failed, keeping the last list").Len() != 0 {
		t.Error("a failure was reported to the dispatcher")
	}
}

func TestLoadCachedPublishesList(t *testing.T) {
	list, err := parseList([]byte(`{"version":41,"full":true,"new":1,"servers":[` + endpointJSON + `,{"id":"b","state":"Gone","started_ms":1700000000123}]}`))
	endpoints := list.endpoints
	if err != nil || !list.full || len(endpoints) != 2 || endpoints[0].Address != "127.0.0.1:1" || endpoints[1].State != routing.Gone ||
		endpoints[1].StartedMs != 1700000000123 {
		t.Errorf("%+v %v", list, err)
	}
	_, dispatcher, _ := runClient(t, 1)
	client := New(dispatcher, "127.0.0.1:1", time.Second, zap.NewNop())
	if err := client.LoadCached([]byte("no list")); err == nil || dispatcher.Ready() {
		t.Errorf("no list: %v, ready %v", err, dispatcher.Ready())
	}
	if err := client.LoadCached([]byte(`{"version":1,"full":true,"servers":[` + endpointJSON + `]}`)); err != nil || !dispatcher.Ready() {
		t.Errorf("a list: %v, ready %v", err, dispatcher.Ready())
	}
}
