package dispatch

import (
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/routing"
)

// An order of the balancer that breaks a rule must be counted and not executed. The real balancer issues no such order,
// so the test calls the host's methods itself.
func TestForbiddenOrderCountedAndDropped(t *testing.T) {
	const server = 0
	for _, c := range []struct {
		name        string
		request     Request
		firstResult AttemptResult // result of the first attempt; attemptResultCount: it is in flight
		order       func(h host, pending int)
		want        admission.Reason
		outcome     Outcome // -1: the request is not answered
	}{
		{"second attempt while unsafe one in flight", Request{Class: "once", Key: "k"}, attemptResultCount,
			func(h host, i int) { h.Send(i, server, 100) }, admission.MayHaveRun, -1},
		{"retry of unsafe request that may have run", Request{Class: "once", Key: "k"}, ConnectionLost,
			func(h host, i int) { h.Send(i, server, 100) }, admission.MayHaveRun, -1},
		{"rejection of unsafe request that may have run", Request{Class: "once", Key: "k"}, ConnectionLost,
			func(h host, i int) { h.Reject(i, 0) }, admission.MayHaveRun, Failed},
		{"rejection of unsafe request in flight", Request{Class: "once", Key: "k"}, attemptResultCount,
			func(h host, i int) { h.Reject(i, 0) }, admission.MayHaveRun, Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			transport := &fakeTransport{}
			d := startDispatcher(t, transport)
			pending := submit(t, d, c.request, time.Second)
			first := transport.take(0)
			if c.firstResult != attemptResultCount {
				// As Finish does it, but without a report to the balancer, which would end the request itself.
				d.mu.Lock()
				first.finished, first.reported = true, true
				pending.inFlight--
				pending.noteMayHaveRun(first.startedAt)
				d.mu.Unlock()
			}
			d.withLock("test", nil, func(routing.Time) { c.order(host{d}, pending.index) })
			if n := d.metrics.Violations[c.want].Load(); n != 1 {
				t.Errorf("%d violations with reason %v, want one", n, c.want)
			}
			if attempt := transport.take(0); attempt != nil {
				t.Error("a forbidden attempt was sent")
			}
			a, answered := receivedAnswer(pending)
			if answered != (c.outcome >= 0) || answered && a.Outcome != c.outcome {
				t.Errorf("answered: %v, %v", answered, a.Outcome)
			}
		})
	}
}

// A second final answer and an attempt after the final answer are counted as violations and not executed.
func TestOrdersAfterFinalAnswerDropped(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	pending := submit(t, d, Request{Class: "read", Key: "k"}, time.Second)
	inFlight := transport.take(0) // stays in flight, so that the index is not reused
	d.withLock("test", nil, func(routing.Time) {
		h := host{d}
		h.Fail(pending.index)
		h.Fail(pending.index)
		h.Reject(pending.index, 0)
		h.Send(pending.index, 0, 100)
	})
	if n := d.metrics.Violations[admission.RequestOver].Load(); n != 3 {
		t.Errorf("%d violations, want three", n)
	}
	if a, answered := receivedAnswer(pending); !answered || a.Outcome != Failed {
		t.Errorf("answered: %v, %v", answered, a.Outcome)
	}
	if _, answeredTwice := receivedAnswer(pending); answeredTwice {
		t.Error("a second final answer")
	}
	if transport.take(0) != nil {
		t.Error("an attempt after the final answer")
	}
	inFlight.Finish(Complete, Answer{})
}

// A keyed request may be retried while its servers store its idempotency key, and not later.
func TestKeyedRetryAllowedWithinDedupWindow(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	pending := submit(t, d, Request{Class: "marked", Key: "k"}, time.Second)
	first := transport.take(0)
	d.mu.Lock()
	defer d.mu.Unlock()
	pending.inFlight--
	pending.noteMayHaveRun(first.startedAt)
	attempt := admission.Attempt{History: pending.history(), Now: first.startedAt.Add(300 * time.Millisecond)}
	if reason := attempt.Decide(); reason != admission.Granted {
		t.Errorf("within the window: %v", reason)
	}
	attempt.Now = first.startedAt.Add(500 * time.Millisecond)
	if reason := attempt.Decide(); reason != admission.DedupWindowOver {
		t.Errorf("after the window: %v", reason)
	}
}
