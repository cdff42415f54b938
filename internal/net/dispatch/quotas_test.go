package dispatch

import (
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/routing"
)

// What a part allowed is written at once or never, and over by the part's end; nothing takes the place of what goes on where
// a number at a time bounds it. Without a part nothing of this holds.
func TestAttemptsUnderConcurrencyQuota(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	submitWrite := func() (*PendingRequest, *Attempt) {
		pending := submit(t, d, Request{Class: "once", Key: "k", Write: true, Method: "PUT"}, 700*time.Millisecond)
		return pending, transport.take(0)
	}
	if _, attempt := submitWrite(); attempt == nil || !attempt.SendBy.IsZero() || attempt.Timeout < 600*time.Millisecond {
		t.Fatalf("without a part: %+v", attempt)
	}
	quota := allowance.Quota{Concurrency: true, Burst: 2, ThenBurst: 1}
	d.SetQuota(routing.OriginConcurrency, "", quota, 200*time.Millisecond, 100*time.Millisecond)
	_, first := submitWrite()
	_, second := submitWrite()
	if first == nil || second == nil || first.SendBy.After(time.Now().Add(quotaSendWindow)) || first.Timeout > 300*time.Millisecond || first.Timeout < 200*time.Millisecond {
		t.Fatalf("under a part of two: %+v, %+v", first, second)
	}
	if pending, attempt := submitWrite(); attempt != nil {
		t.Error("a third attempt while two go on")
	} else if a, answered := receivedAnswer(pending); !answered || a.Outcome != Rejected || a.RetryAfter == 0 {
		t.Errorf("what has no quota is rejected at once: %+v, %v", a, answered)
	}
	if !d.quotas.boundsConcurrency(first) {
		t.Error("another may take its place while it goes on")
	}
	first.Finish(Complete, Answer{})
	second.Finish(Complete, Answer{})
	if usage := d.SetQuota(routing.OriginConcurrency, "", quota, 0, 0); usage.Wanted != 3 || usage.Done != 2 || usage.InFlight != 0 {
		t.Errorf("told of %+v", usage)
	}
	_, first = submitWrite()
	if _, second = submitWrite(); first == nil || second != nil || first.Timeout < 600*time.Millisecond {
		t.Errorf("after its end what is apart holds: %+v, %+v", first, second)
	}
	if usage := d.SetQuota(routing.TenantRate, "nobody", quota, 0, 0); usage != (allowance.Usage{}) {
		t.Error("a tenant of no name is bounded")
	}
}
