package dispatch

import (
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/routing"
)

// An attempt under a concurrency quota must be written soon after the decision or not at all, must end with the quota,
// and is not replaced while it is in flight. Without a quota none of these limits applies.
func TestAttemptsUnderConcurrencyQuota(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	submitWrite := func() (*PendingRequest, *Attempt) {
		pending := submit(t, d, Request{Class: "once", Key: "k", Write: true, Method: "PUT"}, 700*time.Millisecond)
		return pending, transport.take(0)
	}
	if _, attempt := submitWrite(); attempt == nil || !attempt.SendBy.IsZero() || attempt.Timeout < 600*time.Millisecond {
		t.Fatalf("without a quota: %+v", attempt)
	}
	quota := quotalimit.Quota{Concurrency: true, Burst: 2, BurstAfterEnd: 1}
	d.SetQuota(routing.OriginConcurrency, "", quota, 200*time.Millisecond, 100*time.Millisecond)
	_, first := submitWrite()
	_, second := submitWrite()
	if first == nil || second == nil || first.SendBy.After(time.Now().Add(quotaSendWindow)) || first.Timeout > 300*time.Millisecond || first.Timeout < 200*time.Millisecond {
		t.Fatalf("under a quota of two: %+v, %+v", first, second)
	}
	if pending, attempt := submitWrite(); attempt != nil {
		t.Error("a third attempt while two are in flight")
	} else if a, answered := receivedAnswer(pending); !answered || a.Outcome != Rejected || a.RetryAfter == 0 {
		t.Errorf("request above the quota: answer %+v, %v; want a rejection with Retry-After", a, answered)
	}
	if !d.quotas.boundsConcurrency(first) {
		t.Error("an attempt under the quota may be replaced while it is in flight")
	}
	first.Finish(Complete, Answer{})
	second.Finish(Complete, Answer{})
	if usage := d.SetQuota(routing.OriginConcurrency, "", quota, 0, 0); usage.Requested != 3 || usage.Started != 2 || usage.InFlight != 0 {
		t.Errorf("usage %+v", usage)
	}
	_, first = submitWrite()
	if _, second = submitWrite(); first == nil || second != nil || first.Timeout < 600*time.Millisecond {
		t.Errorf("after the end of the quota: %+v, %+v; want one attempt, without its time limits", first, second)
	}
	if usage := d.SetQuota(routing.TenantRate, "nobody", quota, 0, 0); usage != (quotalimit.Usage{}) {
		t.Error("usage returned for an unknown tenant")
	}
}
