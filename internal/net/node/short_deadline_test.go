package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Requests with 1 to 20 ms left until their deadline are answered at the deadline, whatever their class, although the servers never answer. So are
// requests whose deadline has passed on arrival.
func TestRequestWithShortDeadlineIsAnsweredOnTime(t *testing.T) {
	const maxLateness = 150 * time.Millisecond // after the deadline, allows for a busy machine; an answer 0.5 s late counts as lost
	testDone := make(chan struct{})
	w := newTestEnv(t, func(_ string, _ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-testDone:
		}
	}, "a", "b")
	defer close(testDone)
	s := w.nodeConfig(256)
	defer startNode(t, s)()
	var requests sync.WaitGroup
	for _, remainingMs := range []int{0, 1, 2, 5, 10, 20} {
		for _, requestLine := range []string{"GET /read/k", "GET /once/k", "PUT /once/k"} {
			requests.Go(func() {
				start := time.Now()
				status, body := sendRequest(s.ListenAddress, requestLine+fmt.Sprint(remainingMs), "Content-Length: 0", fmt.Sprintf("X-Trace-Id: %s-%d", requestLine, remainingMs), fmt.Sprintf("X-Expires-In: %dm", remainingMs))
				lateness := time.Since(start) - time.Duration(remainingMs)*time.Millisecond
				if status != http.StatusServiceUnavailable && status != http.StatusBadGateway {
					t.Errorf("%s with %d ms left: %d %s", requestLine, remainingMs, status, body)
				}
				if lateness > maxLateness {
					t.Errorf("%s with %d ms left: answered %v late", requestLine, remainingMs, lateness)
				}
			})
		}
	}
	requests.Wait()
}
