package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Requests with 1 to 20 ms left, which servers drop without a word, are answered when their time is over, whatever their class; so are those whose
// time was over when they came.
func TestRequestsWithLittleTimeAreAnswered(t *testing.T) {
	const soon = 150 * time.Millisecond // beyond the time, on a busy machine; 0.5 s late is lost
	over := make(chan struct{})
	w := newWorld(t, func(_ string, _ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-over:
		}
	}, "a", "b")
	defer close(over)
	s := w.station(256)
	defer run(t, s)()
	var asking sync.WaitGroup
	for _, left := range []int{0, 1, 2, 5, 10, 20} {
		for _, first := range []string{"GET /read/k", "GET /once/k", "PUT /once/k"} {
			asking.Go(func() {
				began := time.Now()
				status, body := ask(s.Listen, first+fmt.Sprint(left), "Content-Length: 0", fmt.Sprintf("X-Trace-Id: %s-%d", first, left), fmt.Sprintf("X-Expires-In: %dm", left))
				took := time.Since(began) - time.Duration(left)*time.Millisecond
				if status != http.StatusServiceUnavailable && status != http.StatusBadGateway {
					t.Errorf("%s with %d ms left: %d %s", first, left, status, body)
				}
				if took > soon {
					t.Errorf("%s with %d ms left: answered %v late", first, left, took)
				}
			})
		}
	}
	asking.Wait()
}
