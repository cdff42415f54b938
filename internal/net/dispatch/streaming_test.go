package dispatch

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/routing"
)

// A streamed body of which a part was read for one server can't be sent to another: there is no retry, and the request
// ends.
func TestStreamedBodyNotRetriedOnceRead(t *testing.T) {
	for started, want := range map[bool]int{false: 2, true: 1} {
		transport := &fakeTransport{}
		d := startDispatcher(t, transport)
		request := Request{Class: "read", Write: true, BodyStream: NewBodyStream(strings.NewReader("rest")), Length: 4}
		pending := submit(t, d, request, time.Second)
		attempt := transport.take(0)
		if started {
			_, _ = attempt.BodyStream.Read(make([]byte, 1))
		}
		attempt.Finish(WriteFailed, Answer{})
		attempts := 1
		for deadline := time.Now().Add(200 * time.Millisecond); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if attempt = transport.take(0); attempt != nil {
				attempts++
				_, _ = io.Copy(io.Discard, attempt.BodyStream)
				attempt.ReportBodySent()
				attempt.Finish(Complete, Answer{Body: []byte("v")})
			}
		}
		a, answered := receivedAnswer(pending)
		if attempts != want || !answered || (a.Outcome == Served) == started {
			t.Errorf("body read %v: %d attempts, answered %v, outcome %v", started, attempts, answered, a.Outcome)
		}
		if d.InFlight() != 0 {
			t.Error("a request is still in flight")
		}
	}
}

// A streamed body can be read once, so its request is never hedged: two attempts would each get a part of it.
func TestStreamedBodyNotHedged(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	submit(t, d, Request{Class: "read", Key: "k", BodyStream: NewBodyStream(strings.NewReader("rest")), Length: 4}, time.Second)
	attempt := transport.take(0)
	attempt.ReportStalled() // before any of the body was read
	if transport.take(0) != nil {
		t.Error("a second attempt with the same body")
	}
	attempt.Finish(Complete, Answer{Body: []byte("v")})
}

// A streamed answer is final from its first byte on, so no other answer may be delivered. The trace id stays in use
// until the stream is closed.
func TestStreamedAnswerIsOnlyAnswer(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	pending := submit(t, d, Request{Class: "read", Key: "k"}, time.Second)
	attempt := transport.take(0)
	attempt.ReportStalled() // a second attempt is started
	hedge := transport.take(0)
	if hedge == nil {
		t.Fatal("no second attempt")
	}
	rest := io.NopCloser(strings.NewReader("long"))
	if !attempt.Deliver(Answer{BodyStream: rest, Length: 4}, true) || hedge.Deliver(Answer{BodyStream: rest, Length: 4}, true) {
		t.Error("want the first answer delivered, and only that")
	}
	if a, answered := receivedAnswer(pending); !answered || a.BodyStream == nil {
		t.Errorf("answered %v: %+v", answered, a)
	}
	if _, err := d.Submit(pending.Request, time.Now(), time.Second); !errors.Is(err, ErrDuplicateID) {
		t.Errorf("trace id in use: %v", err)
	}
	hedge.Finish(Canceled, Answer{})
	if d.InFlight() != 1 {
		t.Errorf("%d requests are in flight while the answer is streamed", d.InFlight())
	}
	attempt.Finish(Complete, Answer{})
	attempt.Finish(Complete, Answer{})
	if d.InFlight() != 0 {
		t.Errorf("%d requests are in flight", d.InFlight())
	}
	unsafe := submit(t, d, Request{Class: "once", Write: true}, time.Second)
	attempt = transport.take(0)
	if attempt.ReportStalled(); transport.take(0) != nil {
		t.Error("an unsafe request was hedged")
	}
	unsafe.Cancel()
	if attempt.Deliver(Answer{BodyStream: rest, Length: 4}, true) {
		t.Error("an answer was delivered after the client had left")
	}
	attempt.Finish(Canceled, Answer{})
}

// Guards against a server whose answers never end counting as sound: an answer that was delivered and has not ended in time is one failed attempt that
// may have run, and servers with such answers are ejected.
func TestUnfinishedAnswerCountsAgainstServer(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	rest := io.NopCloser(strings.NewReader("more"))
	request := Request{Class: "read", Key: "k"} // of one cache
	var servers []string
	for i := range 2 {
		pending := submit(t, d, request, time.Second)
		attempt := transport.take(0)
		if attempt == nil {
			t.Fatalf("request %d got no attempt", i)
		}
		servers = append(servers, attempt.Address)
		if !attempt.Deliver(Answer{BodyStream: rest, Length: -1}, false) {
			t.Fatal("the answer was not delivered")
		}
		attempt.ReportStalled()
		attempt.checkBypassed()
		if transport.take(0) != nil {
			t.Error("a second attempt, though the answer was delivered")
		}
		if n := d.Stats().Results; n != ([attemptResultCount]int{}) {
			t.Errorf("results before the answer's end: %v", n)
		}
		if _, err := d.Submit(pending.Request, time.Now(), time.Second); !errors.Is(err, ErrDuplicateID) {
			t.Errorf("trace id in use: %v", err)
		}
		time.Sleep(90 * time.Millisecond) // a slow answer, by the class's latency target
		attempt.Finish(Unfinished, Answer{})
		attempt.Finish(Complete, Answer{})
		if n := d.Stats().Results; n != ([attemptResultCount]int{Unfinished: 1}) {
			t.Errorf("results after the answer's end: %v", n)
		}
		if !pending.mayHaveRun || d.InFlight() != 0 {
			t.Errorf("may have run %v, %d requests in flight", pending.mayHaveRun, d.InFlight())
		}
		if n := d.Metrics().Interrupted()[Unfinished.String()]; n != int64(i+1) {
			t.Errorf("%d unfinished answers are counted", n)
		}
	}
	submit(t, d, request, time.Second)
	if attempt := transport.take(0); servers[0] != servers[1] || attempt != nil && attempt.Address == servers[0] {
		t.Errorf("servers %v; the one of two unfinished answers was sent a third request", servers)
	}
}

// Guards against an answer counting twice, or not at all, where it becomes long while it is streamed: its attempt is complete from then on.
func TestDeliveredAnswerThatBecomesLongIsComplete(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	submit(t, d, Request{Class: "read", Key: "k"}, time.Second)
	attempt := transport.take(0)
	if !attempt.Deliver(Answer{BodyStream: io.NopCloser(strings.NewReader("more")), Length: -1}, false) {
		t.Fatal("the answer was not delivered")
	}
	attempt.ReportLong()
	if n := d.Stats().Results; n != ([attemptResultCount]int{Complete: 1}) || d.InFlight() != 1 {
		t.Errorf("results of a long answer: %v, %d in flight", n, d.InFlight())
	}
	attempt.Finish(Truncated, Answer{})
	if n := d.Stats().Results; n != ([attemptResultCount]int{}) || d.InFlight() != 0 {
		t.Errorf("results after its end: %v, %d in flight", n, d.InFlight())
	}
	if n := d.Metrics().Interrupted()[Truncated.String()]; n != 1 {
		t.Errorf("%d answers that broke off are counted", n)
	}
}

// Guards against a delivered answer that outlasts its request or the concurrency quota under which it is sent.
func TestAnswerEndIsBounded(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	start := time.Now()
	submit(t, d, Request{Class: "read"}, 300*time.Millisecond)
	if end := transport.take(0).AnswerEnd().Sub(start); end < 300*time.Millisecond || end > 300*time.Millisecond+lostAfter {
		t.Errorf("a request of 300 ms: the answer ends after %v", end)
	}
	submit(t, d, Request{Class: "read"}, time.Minute)
	if end := transport.take(0).AnswerEnd().Sub(start); end > d.settings.MaxDeadline+lostAfter {
		t.Errorf("a request of a minute: the answer ends after %v", end)
	}
	d.SetQuota(routing.OriginConcurrency, "", quotalimit.Quota{Concurrency: true, Burst: 4}, 200*time.Millisecond, 20*time.Millisecond)
	submit(t, d, Request{Class: "once", Write: true}, 500*time.Millisecond)
	attempt := transport.take(0)
	if attempt == nil {
		t.Fatal("the quota admitted no attempt")
	}
	if end := attempt.AnswerEnd().Sub(start); end > 250*time.Millisecond {
		t.Errorf("a quota of 0.22 s: the answer ends after %v", end)
	}
}
