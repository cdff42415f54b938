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

// A server that answers twice sends its second answer some milliseconds after the first, when the next request may be out on
// the connection already. The second answer must not be taken for that request's, however soon the request follows.
func TestSecondAnswerIsNotServedToNextRequest(t *testing.T) {
	const (
		rounds   = 60
		maxDelay = minQuietPeriod * 8 / 10 // a stand-in that has no core writes its second answer later than it is to; that is not judged
	)
	for _, after := range []time.Duration{time.Millisecond, 3 * time.Millisecond, 7 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			var delayed sync.Map           // ids whose second answer came later than it was to
			var secondAnswers atomic.Int64 // that are not yet written and judged
			address := rawServer(t, func(c net.Conn, r *http.Request, _ int) {
				trace := r.Header.Get("X-Trace-Id")
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(trace), trace)
				time.Sleep(2 * after) // the work: the second answer to the request before comes meanwhile
				start := time.Now()
				fmt.Fprint(c, answer)
				secondAnswers.Add(1)
				time.AfterFunc(after, func() {
					defer secondAnswers.Add(-1)
					fmt.Fprint(c, answer)
					if time.Since(start) > maxDelay {
						delayed.Store(trace, true)
					}
				})
			})
			client := newTestClient(t)
			servedBy := map[string]string{} // the id that an answer names, by the request's id
			for i := range rounds {
				attempt := newAttempt(address, "GET", "")
				attempt.TraceID = fmt.Sprintf("trace-%d", i)
				result, answer := client.send(attempt)
				if result != dispatch.Complete {
					continue
				}
				servedBy[attempt.TraceID] = string(answer.Body)
			}
			for secondAnswers.Load() > 0 { // a late one may be read before it is known to be late
				time.Sleep(time.Millisecond)
			}
			wrong, judged := 0, 0
			for requested, served := range servedBy {
				if _, wasDelayed := delayed.Load(served); wasDelayed {
					continue
				}
				if judged++; served != requested {
					wrong++
				}
			}
			if wrong > 0 || judged < rounds/2 {
				t.Errorf("%d of %d requests were served another request's answer", wrong, judged)
			}
		})
	}
}

// A server that answers once keeps its connection: requests in a row go out on the same one.
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

// Where a connection can't be known to be quiet in time, the request goes on another, and holds nothing against the server.
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

// A second answer that was seen to come later than usual makes later requests to that server wait for longer, for a while, and no others.
func TestQuietPeriodGrowsAfterLateSecondAnswer(t *testing.T) {
	const lateDelay = 20 * time.Millisecond
	var q quietPeriods
	expect := func(when, key string, want time.Duration) {
		t.Helper()
		if got := q.required(key); got != want {
			t.Errorf("%s: %s waits for %v, want %v", when, key, got, want)
		}
	}
	expect("at first", "a", minQuietPeriod)
	q.observe("a", time.Millisecond)
	expect("after a soon one", "a", minQuietPeriod)
	q.observe("a", lateDelay)
	expect("after a late one", "a", quietPeriodFactor*lateDelay)
	expect("after another's late one", "b", minQuietPeriod)
	q.observe("a", time.Second)
	expect("after one that nobody can wait for", "a", quietPeriodFactor*lateDelay)
	q.byKey["a"] = quietPeriod{quietPeriodFactor * lateDelay, time.Now().Add(-quietPeriodTTL - time.Second)}
	expect("long after", "a", minQuietPeriod)
	q.observe("b", lateDelay)
	if len(q.byKey) != 1 {
		t.Errorf("%d places are kept, want the one that did so lately", len(q.byKey))
	}
}
