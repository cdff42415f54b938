package dispatch

import (
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/routing"
)

// What a balancer orders against the rules is counted, and not carried out. The balancer at hand orders nothing of this, so the test
// does in its place.
func TestForbiddenOrderCountedAndDropped(t *testing.T) {
	const server = 0
	for _, c := range []struct {
		name        string
		request     Request
		firstResult AttemptResult // how the first attempt ends; endCount: it is out still
		order       func(h host, pending int)
		want        admission.Reason
		outcome     Outcome
	}{
		{"a second attempt beside an unsafe one", Request{Class: "once", Key: "k"}, attemptResultCount,
			func(h host, i int) { h.Send(i, server, 100) }, admission.MayHaveRun, -1},
		{"a retry of an unsafe one that may have run", Request{Class: "once", Key: "k"}, ConnectionLost,
			func(h host, i int) { h.Send(i, server, 100) }, admission.MayHaveRun, -1},
		{"a refusal of an unsafe one that may have run", Request{Class: "once", Key: "k"}, ConnectionLost,
			func(h host, i int) { h.Reject(i, 0) }, admission.MayHaveRun, Failed},
		{"a refusal of an unsafe one that is out", Request{Class: "once", Key: "k"}, attemptResultCount,
			func(h host, i int) { h.Reject(i, 0) }, admission.MayHaveRun, Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			transport := &fakeTransport{}
			d := startDispatcher(t, transport)
			pending := submit(t, d, c.request, time.Second)
			first := transport.take(0)
			if c.firstResult != attemptResultCount {
				// As the balancer would be told, but for its own end of the request.
				d.mu.Lock()
				first.finished, first.reported = true, true
				pending.inFlight--
				pending.noteMayHaveRun(first.startedAt)
				d.mu.Unlock()
			}
			d.withLock("test", nil, func(routing.Time) { c.order(host{d}, pending.index) })
			if n := d.metrics.Violations[c.want].Load(); n != 1 {
				t.Errorf("%d violations by %v, want one", n, c.want)
			}
			if attempt := transport.take(0); attempt != nil {
				t.Error("an attempt was carried out")
			}
			a, answered := receivedAnswer(pending)
			if answered != (c.outcome >= 0) || answered && a.Outcome != c.outcome {
				t.Errorf("answered: %v, %v", answered, a.Outcome)
			}
		})
	}
}

// A second final answer, and an attempt after the final one, are counted and go nowhere.
func TestOrdersAfterFinalAnswerDropped(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	pending := submit(t, d, Request{Class: "read", Key: "k"}, time.Second)
	inFlight := transport.take(0) // stays out, so that the index is not used again
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

// A keyed request is repeated while its servers remember its key, and not later.
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
		t.Errorf("inside: %v", reason)
	}
	attempt.Now = first.startedAt.Add(500 * time.Millisecond)
	if reason := attempt.Decide(); reason != admission.DedupWindowOver {
		t.Errorf("after it: %v", reason)
	}
}
