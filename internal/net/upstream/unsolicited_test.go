package upstream

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// A server that answers twice sends its second answer some milliseconds after the first. The next request may already be in
// flight on the connection by then. The second answer must not be taken for its answer, however soon that request follows.
func TestSecondAnswerIsNotServedToNextRequest(t *testing.T) {
	const (
		rounds = 60
		// A test server without a free core writes the second answer too late. Answers later than maxDelay are not checked. If they
		// leave less than half of the rounds to check, further rounds follow.
		maxDelay  = minQuietPeriod * 8 / 10
		maxRounds = 10 * rounds
	)
	for _, delay := range []time.Duration{time.Millisecond, 3 * time.Millisecond, 7 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			var delayed sync.Map           // trace ids whose second answer was written later than maxDelay
			var secondAnswers atomic.Int64 // that are still to be written and checked for delay
			address := rawServer(t, func(c net.Conn, r *http.Request, _ int) {
				trace := r.Header.Get("X-Trace-Id")
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(trace), trace)
				time.Sleep(2 * delay) // long enough for the second answer to the previous request
				start := time.Now()
				fmt.Fprint(c, answer)
				secondAnswers.Add(1)
				time.AfterFunc(delay, func() {
					defer secondAnswers.Add(-1)
					fmt.Fprint(c, answer)
					if time.Since(start) > maxDelay {
						delayed.Store(trace, true)
					}
				})
			})
			client := newTestClient(t)
			wrong, checked := 0, 0
			for sent := 0; sent < maxRounds && checked < rounds/2; {
				answerTraces := map[string]string{} // trace id in the answer, by the request's trace id
				for range rounds {
					attempt := newAttempt(address, "GET", "")
					attempt.TraceID = fmt.Sprintf("trace-%d", sent)
					sent++
					result, answer := client.send(attempt)
					if result != dispatch.Complete {
						continue
					}
					answerTraces[attempt.TraceID] = string(answer.Body)
				}
				for secondAnswers.Load() > 0 { // an answer may be read before it is recorded as delayed
					time.Sleep(time.Millisecond)
				}
				for requested, served := range answerTraces {
					if _, wasDelayed := delayed.Load(served); wasDelayed {
						continue
					}
					if checked++; served != requested {
						wrong++
					}
				}
			}
			if wrong > 0 || checked < rounds/2 {
				t.Errorf("%d of %d requests were served another request's answer", wrong, checked)
			}
		})
	}
}

// Sequential requests to a server that answers each once must share one connection.
func TestSequentialRequestsShareConnection(t *testing.T) {
	var opened atomic.Int64
	client, address := newTestClient(t), rawServer(t, func(c net.Conn, _ *http.Request, nth int) {
		if nth == 0 {
			opened.Add(1)
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for i := range 20 {
		if result, _ := client.send(newAttempt(address, "GET", "")); result != dispatch.Complete {
			t.Fatalf("request %d ended %v", i, result)
		}
	}
	if n := opened.Load(); n != 1 {
		t.Errorf("%d connections were made, want one", n)
	}
}

// If waiting for the quiet period would take too much of the attempt's time, the request is sent on a new connection, and that
// does not count against the server.
func TestRequestWithShortTimeoutSkipsQuietPeriod(t *testing.T) {
	var opened atomic.Int64
	client, address := newTestClient(t), rawServer(t, func(c net.Conn, _ *http.Request, nth int) {
		if nth == 0 {
			opened.Add(1)
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	if result, _ := client.send(newAttempt(address, "GET", "")); result != dispatch.Complete {
		t.Fatal(result)
	}
	shortAttempt := newAttempt(address, "GET", "")
	shortAttempt.Timeout = 2 * minQuietPeriod
	if result, _ := client.send(shortAttempt); result != dispatch.Complete {
		t.Errorf("ended %v", result)
	}
	if n := opened.Load(); n != 2 {
		t.Errorf("%d connections were made, want two", n)
	}
}

// A second answer that arrives later than usual must extend the quiet period of its endpoint for quietPeriodTTL, and of no
// other endpoint.
func TestQuietPeriodGrowsAfterLateSecondAnswer(t *testing.T) {
	const lateDelay = 20 * time.Millisecond
	var q quietPeriods
	expect := func(when, key string, want time.Duration) {
		t.Helper()
		if got := q.required(key); got != want {
			t.Errorf("%s: %s waits for %v, want %v", when, key, got, want)
		}
	}
	expect("initially", "a", minQuietPeriod)
	q.observe("a", time.Millisecond)
	expect("after an early second answer", "a", minQuietPeriod)
	q.observe("a", lateDelay)
	expect("after a late second answer", "a", quietPeriodFactor*lateDelay)
	expect("after another endpoint's late second answer", "b", minQuietPeriod)
	q.observe("a", time.Second)
	expect("after one beyond the maximum period", "a", quietPeriodFactor*lateDelay)
	q.byKey["a"] = quietPeriod{quietPeriodFactor * lateDelay, time.Now().Add(-quietPeriodTTL - time.Second)}
	expect("after quietPeriodTTL", "a", minQuietPeriod)
	q.observe("b", lateDelay)
	if len(q.byKey) != 1 {
		t.Errorf("%d endpoints are kept, want only the one observed recently", len(q.byKey))
	}
}
