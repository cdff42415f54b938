package upstream

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// The transport reuses a connection as soon as an answer's last byte was read, possibly before the first exchange has asked for
// its denial. The denial of the next request must not be returned to the first exchange, which would send an answered request
// again.
func TestDenialAppliesToItsRequestOnly(t *testing.T) {
	near, _ := tcpPair(t)
	c := newConn(near, func() {})
	first, second := &outgoingRequest{}, &outgoingRequest{presetRefusal: admission.NotQuiet}
	c.acquire(false, first)
	if _, err := c.Write([]byte("first")); err != nil {
		t.Fatal(err)
	}
	c.acquire(false, second)
	if reason := c.denial(first); reason != admission.Granted {
		t.Errorf("the first request was written, but its denial is %v", reason)
	}
	_, err := c.Write([]byte("second"))
	if denied := (denialError{}); !errors.As(err, &denied) || denied.reason != admission.NotQuiet || c.denial(second) != admission.NotQuiet {
		t.Errorf("the second request: %v", err)
	}
	if reason := c.denial(first); reason != admission.Granted {
		t.Errorf("the second request's denial is returned for the first: %v", reason)
	}
}

// A wait for a quiet connection that is cut short is counted by what ended it: the attempt's deadline, or the node's shutdown.
func TestDenialOfInterruptedQuietWaitNamesCause(t *testing.T) {
	for cause, want := range map[error]admission.Reason{errTimedOut: admission.TooLate, nil: admission.NodeLeaving} {
		near, far := tcpPair(t)
		c := newConn(near, func() {})
		if _, err := far.Write([]byte("a")); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(cause)
		request := &outgoingRequest{}
		c.awaitQuiet(ctx, request, time.Second, time.Now().Add(time.Minute))
		c.acquire(false, request)
		if _, err := c.Write([]byte("request")); err == nil || c.denial(request) != want {
			t.Errorf("%v: %v, want %v", cause, c.denial(request), want)
		}
	}
}
