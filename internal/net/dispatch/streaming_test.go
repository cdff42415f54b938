package dispatch

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// What of a long body has gone to one server can't go to another: no second attempt is carried, and the request ends.
func TestStreamedBodyNotRetriedOnceRead(t *testing.T) {
	for started, want := range map[bool]int{false: 2, true: 1} {
		transport := &fakeTransport{}
		d := startDispatcher(t, transport)
		request := Request{Class: "read", Write: true, Rest: NewBodyStream(strings.NewReader("rest")), Length: 4, Timeout: 1e9}
		pending := submit(t, d, request, time.Second)
		attempt := transport.take(0)
		if started {
			_, _ = attempt.Rest.Read(make([]byte, 1))
		}
		attempt.Finish(WriteFailed, Answer{})
		attempts := 1
		for deadline := time.Now().Add(200 * time.Millisecond); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if attempt = transport.take(0); attempt != nil {
				attempts++
				_, _ = io.Copy(io.Discard, attempt.Rest)
				attempt.BodySent()
				attempt.Finish(Complete, Answer{Body: []byte("v")})
			}
		}
		a, answered := receivedAnswer(pending)
		if attempts != want || !answered || (a.Outcome == Served) == started {
			t.Errorf("begun %v: %d attempts, ended %v %v", started, attempts, answered, a.Outcome)
		}
		if d.InFlight() != 0 {
			t.Error("a request is left over")
		}
	}
}

// A long answer is the request's from its first byte on, no other may follow, and the id is out until it is through.
func TestStreamedAnswerIsOnlyAnswer(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	pending := submit(t, d, Request{Class: "read", Key: "k"}, time.Second)
	attempt := transport.take(0)
	attempt.Stalled() // it goes elsewhere too
	hedge := transport.take(0)
	if hedge == nil {
		t.Fatal("no second attempt")
	}
	rest := io.NopCloser(strings.NewReader("long"))
	if !attempt.Finish(Complete, Answer{Rest: rest, Length: 4}) || hedge.Finish(Complete, Answer{Rest: rest, Length: 4}) {
		t.Error("want the first answer, and only that")
	}
	if a, answered := receivedAnswer(pending); !answered || a.Rest == nil {
		t.Errorf("%v %+v", answered, a)
	}
	if _, err := d.Submit(pending.Request, time.Now(), time.Second); !errors.Is(err, ErrDuplicateID) {
		t.Errorf("its id is out: %v", err)
	}
	hedge.Release()
	attempt.Release()
	attempt.Release()
	if d.InFlight() != 0 {
		t.Errorf("%d requests are left", d.InFlight())
	}
	unsafe := submit(t, d, Request{Class: "once", Write: true}, time.Second)
	attempt = transport.take(0)
	if attempt.Stalled(); transport.take(0) != nil {
		t.Error("what isn't safe must not go elsewhere")
	}
	unsafe.Cancel()
	if attempt.Finish(Complete, Answer{Rest: rest, Length: 4}) {
		t.Error("nobody is there to take it")
	}
}
