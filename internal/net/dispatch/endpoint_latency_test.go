package dispatch

import (
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/routing"
)

// A read that waits while later ones at its server are answered, for several of its mean times, may be on a connection
// that has fallen silent: it goes to another server as well. It doesn't while none was answered, and a write or
// an unsafe one never. The slow answer still counts, once.
func TestBypassedReadHedged(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	d.UpdateEndpoints(routing.Full, []Endpoint{testEndpoints[0], testEndpoints[1], testEndpoints[3]})
	for i := range d.endpoints.entries {
		d.endpoints.entries[i].meanLatency = 5 * time.Millisecond
	}
	send := func(request Request) (*PendingRequest, *Attempt) {
		return submit(t, d, request, time.Second), transport.take(0)
	}
	expectNoAttempt := func() {
		t.Helper()
		time.Sleep(4 * bypassFactor * 5 * time.Millisecond)
		if attempt := transport.take(0); attempt != nil {
			t.Fatalf("an attempt to %s", attempt.Address)
		}
	}
	read := Request{Class: "read", Key: "k"}
	pending, slow := send(read)
	expectNoAttempt() // nothing says that the server works
	_, later := send(read)
	if later.Address != slow.Address {
		t.Fatalf("the second went to %s, the first to %s", later.Address, slow.Address)
	}
	later.Finish(Complete, Answer{})
	var hedge *Attempt
	for deadline := time.Now().Add(time.Second); hedge == nil && time.Now().Before(deadline); hedge = transport.take(0) {
		time.Sleep(time.Millisecond)
	}
	if hedge == nil || hedge.TraceID != slow.TraceID || hedge.Address == slow.Address {
		t.Fatalf("passed, and then %v", hedge)
	}
	slow.Finish(Complete, Answer{Body: []byte("slow")})
	if a, _ := receivedAnswer(pending); string(a.Body) != "slow" {
		t.Errorf("the slow answer did not count: %v", a)
	}
	if hedge.ClientState() == admission.Granted { // its connection may come up only now
		t.Error("an attempt may begin after the final answer")
	}
	var ended *PendingRequest
	ended, attempt := send(Request{Class: "read", Key: "k", ClientGone: func() bool {
		ended.Cancel() // the request ends while the kernel is asked for its client
		return false
	}})
	if attempt.ClientState() == admission.Granted {
		t.Error("an attempt may begin when its request ended meanwhile")
	}
	attempt.Finish(Withheld, Answer{})
	hedge.Finish(Complete, Answer{Body: []byte("other")})
	if a, answeredTwice := receivedAnswer(pending); answeredTwice {
		t.Errorf("another final answer: %v", a)
	}
	for _, request := range []Request{{Class: "read", Write: true}, {Class: "once", Key: "k"}} {
		_, first := send(request)
		_, second := send(request)
		if first.ClientState() != admission.Granted {
			t.Error("a request that has no answer yet is not wanted")
		}
		second.Finish(Complete, Answer{})
		expectNoAttempt() // another attempt of what isn't safe might be an effect twice
		first.Finish(Complete, Answer{})
	}
	if stats := d.Stats(); stats.Results[Bypassed] != 1 || stats.Panics > 0 || len(d.requests.byTraceID) > 0 {
		t.Errorf("tally %+v, %d ids out", stats, len(d.requests.byTraceID))
	}
	for _, entry := range d.endpoints.entries {
		if len(entry.inFlight) > 0 {
			t.Errorf("%d attempts are still counted at %s", len(entry.inFlight), entry.id)
		}
	}
}

// Where hedged requests are off, a read that later ones pass has no other attempt beside it; the balancer's next one waits for
// its end.
func TestBypassedReadNotHedgedWhenHedgingOff(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		transport := &fakeTransport{}
		d := startDispatcher(t, transport)
		d.settings.Routing.Hedging = allowed
		for i := range d.endpoints.entries {
			d.endpoints.entries[i].meanLatency = 2 * time.Millisecond
		}
		read := Request{Class: "read", Key: "k"}
		submit(t, d, read, time.Second)
		slow := transport.take(0)
		submit(t, d, read, time.Second)
		transport.take(0).Finish(Complete, Answer{})
		time.Sleep(50 * time.Millisecond)
		if hedge := transport.take(0); (hedge != nil) != allowed {
			t.Errorf("hedging %v: %v beside the first attempt", allowed, hedge)
		}
		slow.Finish(ServerError, Answer{})
		if next := transport.take(0); !allowed && next == nil {
			t.Error("no further attempt once the first was over")
		}
	}
}
