package upstream

import (
	"errors"
	"testing"

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
