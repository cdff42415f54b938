package dispatch

import (
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/routing"
)

// What a part allowed is written at once or never, and over by the part's end; nothing takes the place of what goes on where
// a number at a time bounds it. Without a part nothing of this holds.
func TestShotsUnderAPart(t *testing.T) {
	f := &fakeTransport{}
	d := startDispatcher(t, f)
	write := func() (*PendingRequest, *Attempt) {
		pending := submit(t, d, Request{Class: "once", Key: "k", Write: true, Method: "PUT"}, 700*time.Millisecond)
		return pending, f.take(0)
	}
	if _, s := write(); s == nil || !s.SendBy.IsZero() || s.Timeout < 600*time.Millisecond {
		t.Fatalf("without a part: %+v", s)
	}
	part := allowance.Quota{Concurrency: true, Burst: 2, ThenBurst: 1}
	d.SetQuota(routing.OriginConcurrency, "", part, 200*time.Millisecond, 100*time.Millisecond)
	_, one := write()
	_, two := write()
	if one == nil || two == nil || one.SendBy.After(time.Now().Add(quotaSendWindow)) || one.Timeout > 300*time.Millisecond || one.Timeout < 200*time.Millisecond {
		t.Fatalf("under a part of two: %+v, %+v", one, two)
	}
	if pending, s := write(); s != nil {
		t.Error("a third attempt while two go on")
	} else if a, answered := receivedAnswer(pending); !answered || a.Outcome != Rejected || a.RetryAfter == 0 {
		t.Errorf("what has no quota is rejected at once: %+v, %v", a, answered)
	}
	if !d.quotas.boundsConcurrency(one) {
		t.Error("another may take its place while it goes on")
	}
	one.Finish(Complete, Answer{})
	two.Finish(Complete, Answer{})
	if u := d.SetQuota(routing.OriginConcurrency, "", part, 0, 0); u.Wanted != 3 || u.Done != 2 || u.InFlight != 0 {
		t.Errorf("told of %+v", u)
	}
	_, one = write()
	if _, two = write(); one == nil || two != nil || one.Timeout < 600*time.Millisecond {
		t.Errorf("after its end what is apart holds: %+v, %+v", one, two)
	}
	if u := d.SetQuota(routing.TenantRate, "nobody", part, 0, 0); u != (allowance.Usage{}) {
		t.Error("a tenant of no name is bounded")
	}
}
