package dispatch

import (
	"errors"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/routing"
)

// doubleFinisher settles each attempt twice at once, from two goroutines.
type doubleFinisher struct {
	fakeTransport
	wg sync.WaitGroup
}

func (f *doubleFinisher) Send(a *Attempt) {
	for _, result := range []AttemptResult{Complete, TimedOut} {
		f.wg.Go(func() { a.Finish(result, Answer{}) })
	}
}

// Answer, time-out and the client's leaving come at once: one end for each request, and nothing is kept.
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
				t.Errorf("request %d had no answer", i)
			}
		})
	}
	clients.Wait()
	transport.wg.Wait()
	stats := d.Stats()
	if ends := stats.Served + stats.Rejected + stats.Failed + stats.ClientGone; ends != 300 || d.InFlight() != 0 || stats.Panics != 0 {
		t.Errorf("%d ends of 300, %d still known, %d panics", ends, d.InFlight(), stats.Panics)
	}
}

// A request that waits for another's fetch is answered by its alarm, not before its limit and not long after.
func TestWaitingRequestRejectedAtDeadline(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	first := submit(t, d, Request{Class: "late", Key: "k"}, time.Minute)
	transport.take(0).Finish(NotFound, Answer{})
	submittedAt := time.Now()
	second := submit(t, d, Request{Class: "late", Key: "k"}, 80*time.Millisecond)
	if a := <-second.Answers(); a.Outcome != Rejected {
		t.Errorf("got %+v", a)
	}
	if elapsed := time.Since(submittedAt); elapsed < 79*time.Millisecond || elapsed > 300*time.Millisecond {
		t.Errorf("answered after %v", elapsed)
	}
	if transport.take(0).Finish(Complete, Answer{}); d.InFlight() != 0 {
		t.Errorf("%d requests are still known", d.InFlight())
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
		t.Error("an attempt was sent, or a request is still known")
	}
}

// The id of a request that is in flight is rejected with nothing sent, until all its attempts have settled.
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
		t.Errorf("while it is out: %v", err)
	}
	first.Cancel()
	if err := resubmit(); !errors.Is(err, ErrDuplicateID) || transport.take(0) != nil {
		t.Errorf("while its attempt is out: %v", err)
	}
	attempt.Finish(Complete, Answer{})
	if err := resubmit(); err != nil || len(d.requests.byTraceID) != 1 {
		t.Errorf("afterwards: %v, %d ids are kept", err, len(d.requests.byTraceID))
	}
}

func TestTimeoutCappedAtMaxDeadline(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	submit(t, d, Request{Class: "late", Key: "k"}, time.Hour)
	if attempt := transport.take(0); attempt.Timeout > 750*time.Millisecond || attempt.Timeout < 700*time.Millisecond {
		t.Errorf("the attempt has %v", attempt.Timeout)
	}
}

// A panic of routing answers the request at hand with no promise; its index is not used again.
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
		t.Errorf("an attempt after the final answer, or %d ids are kept", len(d.requests.byTraceID))
	}
	if second := submit(t, d, Request{Class: "read"}, time.Second); second.index == pending.index || transport.take(0) == nil {
		t.Errorf("the next request has index %d after %d", second.index, pending.index)
	}
}
