package dispatch

import (
	"errors"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

// doubleFinisher is a transport that finishes each attempt twice, concurrently.
type doubleFinisher struct {
	fakeTransport
	wg sync.WaitGroup
}

func (f *doubleFinisher) Send(a *Attempt) {
	for _, result := range []AttemptResult{Complete, TimedOut} {
		f.wg.Go(func() { a.Finish(result, Answer{}) })
	}
}

// An answer, a timeout and a cancellation by the client occur concurrently. Each request must end exactly once, and
// none may stay in the request table.
func TestConcurrentEventsEndRequestOnce(t *testing.T) {
	transport := &doubleFinisher{}
	d := startDispatcher(t, transport)
	var clients sync.WaitGroup
	for i := range 300 {
		clients.Go(func() {
			pending := submit(t, d, Request{Class: "read", Key: strconv.Itoa(i % 7)}, time.Second)
			if i%3 == 0 {
				pending.Cancel()
				return
			}
			select {
			case <-pending.Answers():
			case <-time.After(5 * time.Second):
				t.Errorf("request %d was not answered", i)
			}
		})
	}
	clients.Wait()
	transport.wg.Wait()
	stats := d.Stats()
	if ends := stats.Served + stats.Rejected + stats.Failed + stats.ClientGone; ends != 300 || d.InFlight() != 0 || stats.Panics != 0 {
		t.Errorf("%d of 300 requests ended, %d in flight, %d panics", ends, d.InFlight(), stats.Panics)
	}
}

// A request that waits for another request's fetch is rejected by an alarm at its deadline, not earlier and not long
// after.
func TestWaitingRequestRejectedAtDeadline(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	first := submit(t, d, Request{Class: "late", Key: "k"}, time.Minute)
	transport.take(0).Finish(NotFound, Answer{})
	submittedAt := time.Now()
	second := submit(t, d, Request{Class: "late", Key: "k"}, 80*time.Millisecond)
	if a := <-second.Answers(); a.Outcome != Rejected {
		t.Errorf("answer %+v, want a rejection", a)
	}
	if elapsed := time.Since(submittedAt); elapsed < 79*time.Millisecond || elapsed > 300*time.Millisecond {
		t.Errorf("answered after %v", elapsed)
	}
	if transport.take(0).Finish(Complete, Answer{}); d.InFlight() != 0 {
		t.Errorf("%d requests are in flight, want none", d.InFlight())
	}
	<-first.Answers()
}

func TestExpiredDeadlineRejectedWithoutAttempt(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	for _, timeout := range []time.Duration{0, -time.Second} {
		if a, answered := receivedAnswer(submit(t, d, Request{Class: "once", Write: true}, timeout)); !answered || a.Outcome != Rejected {
			t.Errorf("%v: %+v, %v", timeout, a, answered)
		}
	}
	if transport.take(0) != nil || d.InFlight() != 0 {
		t.Error("an attempt was sent, or a request is in flight")
	}
}

// A request is rejected without an attempt if its trace id is in use, which lasts until all attempts of the first
// request have finished, even if the first request was canceled.
func TestDuplicateTraceIDRejectedUntilReleased(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	first := submit(t, d, Request{Class: "read", Key: "k"}, time.Second)
	resubmit := func() error {
		_, err := d.Submit(Request{Class: "read", Key: "l", TraceID: first.TraceID}, time.Now(), time.Second)
		return err
	}
	attempt := transport.take(0)
	if err := resubmit(); !errors.Is(err, ErrDuplicateID) || transport.take(0) != nil {
		t.Errorf("while the request is pending: %v", err)
	}
	first.Cancel()
	if err := resubmit(); !errors.Is(err, ErrDuplicateID) || transport.take(0) != nil {
		t.Errorf("while its attempt is in flight: %v", err)
	}
	attempt.Finish(Complete, Answer{})
	if err := resubmit(); err != nil || len(d.requests.byTraceID) != 1 {
		t.Errorf("after its release: %v, %d trace ids stored", err, len(d.requests.byTraceID))
	}
}

func TestTimeoutCappedAtMaxDeadline(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	submit(t, d, Request{Class: "late", Key: "k"}, time.Hour)
	if attempt := transport.take(0); attempt.Timeout > 750*time.Millisecond || attempt.Timeout < 700*time.Millisecond {
		t.Errorf("attempt timeout %v, want 700 ms to 750 ms", attempt.Timeout)
	}
}

// A panic in routing fails the request whose event caused it, without a promise about its effect. The request's index
// is not reused, as the balancer may still refer to it.
func TestPanicFailsRequest(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	balancer := d.balancer
	d.balancer = nil
	pending := submit(t, d, Request{Class: "read"}, time.Second)
	if a, answered := receivedAnswer(pending); !answered || a.Outcome != Failed {
		t.Errorf("%+v, %v", a, answered)
	}
	d.balancer = balancer
	host{d}.Send(pending.index, 0, routing.Millisecond)
	if transport.take(0) != nil || len(d.requests.byTraceID) != 0 {
		t.Errorf("an attempt after the final answer, or %d trace ids stored", len(d.requests.byTraceID))
	}
	if second := submit(t, d, Request{Class: "read"}, time.Second); second.index == pending.index || transport.take(0) == nil {
		t.Errorf("the next request has index %d or no attempt; the failed one had index %d", second.index, pending.index)
	}
}
