package dispatch

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// What of a long body has gone to one server can't go to another: no second attempt is carried, and the request ends.
func TestALongBodyGoesToOneServerOnly(t *testing.T) {
	for begun, want := range map[bool]int{false: 2, true: 1} {
		f := &fakeTransport{}
		d := startDispatcher(t, f)
		in := Request{Class: "read", Write: true, Rest: NewBodyStream(strings.NewReader("rest")), Length: 4, Timeout: 1e9}
		pending := submit(t, d, in, time.Second)
		s := f.take(0)
		if begun {
			_, _ = s.Rest.Read(make([]byte, 1))
		}
		s.Finish(WriteFailed, Answer{})
		attempts := 1
		for end := time.Now().Add(200 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if s = f.take(0); s != nil {
				attempts++
				_, _ = io.Copy(io.Discard, s.Rest)
				s.BodySent()
				s.Finish(Complete, Answer{Body: []byte("v")})
			}
		}
		a, ended := receivedAnswer(pending)
		if attempts != want || !ended || (a.Outcome == Served) == begun {
			t.Errorf("begun %v: %d attempts, ended %v %v", begun, attempts, ended, a.Outcome)
		}
		if d.InFlight() != 0 {
			t.Error("a request is left over")
		}
	}
}

// A long answer is the request's from its first byte on, no other may follow, and the id is out until it is through.
func TestALongAnswerIsTheOnlyOne(t *testing.T) {
	f := &fakeTransport{}
	d := startDispatcher(t, f)
	pending := submit(t, d, Request{Class: "read", Key: "k"}, time.Second)
	s := f.take(0)
	s.Stalled() // it goes elsewhere too
	other := f.take(0)
	if other == nil {
		t.Fatal("no second attempt")
	}
	rest := io.NopCloser(strings.NewReader("long"))
	if !s.Finish(Complete, Answer{Rest: rest, Length: 4}) || other.Finish(Complete, Answer{Rest: rest, Length: 4}) {
		t.Error("want the first answer, and only that")
	}
	if a, ended := receivedAnswer(pending); !ended || a.Rest == nil {
		t.Errorf("%v %+v", ended, a)
	}
	if _, err := d.Submit(pending.Request, time.Now(), time.Second); !errors.Is(err, ErrDuplicateID) {
		t.Errorf("its id is out: %v", err)
	}
	other.Release()
	s.Release()
	s.Release()
	if d.InFlight() != 0 {
		t.Errorf("%d requests are left", d.InFlight())
	}
	again := submit(t, d, Request{Class: "once", Write: true}, time.Second)
	s = f.take(0)
	if s.Stalled(); f.take(0) != nil {
		t.Error("what isn't safe must not go elsewhere")
	}
	again.Cancel()
	if s.Finish(Complete, Answer{Rest: rest, Length: 4}) {
		t.Error("nobody is there to take it")
	}
}
