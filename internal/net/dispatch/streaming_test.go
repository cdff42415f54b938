package dispatch

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"
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
	if !attempt.Finish(Complete, Answer{BodyStream: rest, Length: 4}) || hedge.Finish(Complete, Answer{BodyStream: rest, Length: 4}) {
		t.Error("want the first answer delivered, and only that")
	}
	if a, answered := receivedAnswer(pending); !answered || a.BodyStream == nil {
		t.Errorf("answered %v: %+v", answered, a)
	}
	if _, err := d.Submit(pending.Request, time.Now(), time.Second); !errors.Is(err, ErrDuplicateID) {
		t.Errorf("trace id in use: %v", err)
	}
	hedge.ReportAnswerClosed()
	attempt.ReportAnswerClosed()
	attempt.ReportAnswerClosed()
	if d.InFlight() != 0 {
		t.Errorf("%d requests are in flight", d.InFlight())
	}
	unsafe := submit(t, d, Request{Class: "once", Write: true}, time.Second)
	attempt = transport.take(0)
	if attempt.ReportStalled(); transport.take(0) != nil {
		t.Error("an unsafe request was hedged")
	}
	unsafe.Cancel()
	if attempt.Finish(Complete, Answer{BodyStream: rest, Length: 4}) {
		t.Error("an answer was delivered after the client had left")
	}
}
