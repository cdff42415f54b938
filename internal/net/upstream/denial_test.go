package upstream

import (
	"errors"
	"testing"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// The transport hands a connection on when an answer's last byte was read, before who sent that request has asked what became of it. What the next
// request was denied is not its denial: it would be sent again though it was answered.
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
		t.Errorf("the first request, which was written, was withheld: %v", reason)
	}
	_, err := c.Write([]byte("second"))
	if denied := (denialError{}); !errors.As(err, &denied) || denied.reason != admission.NotQuiet || c.denial(second) != admission.NotQuiet {
		t.Errorf("the second request: %v", err)
	}
	if reason := c.denial(first); reason != admission.Granted {
		t.Errorf("the first request counts as withheld when the second was: %v", reason)
	}
}
