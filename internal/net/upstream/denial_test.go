package upstream

import (
	"errors"
	"testing"

	"github.com/thistlerudder/thistlerudder/internal/net/admission"
)

// The transport hands a connection on when an answer's last byte was read, before who sent that request has asked what became of it. What the next
// request was denied is not its denial: it would be sent again though it was answered.
func TestADenialIsOfItsOwnRequest(t *testing.T) {
	near, _ := tcp(t)
	c := newConn(near, func() {})
	first, second := &outgoingRequest{}, &outgoingRequest{presetRefusal: admission.NotQuiet}
	c.acquire(false, first)
	if _, err := c.Write([]byte("first")); err != nil {
		t.Fatal(err)
	}
	c.acquire(false, second)
	if why := c.denial(first); why != admission.Granted {
		t.Errorf("the first request, which was written, was withheld: %v", why)
	}
	_, err := c.Write([]byte("second"))
	if why := (denialError{}); !errors.As(err, &why) || why.reason != admission.NotQuiet || c.denial(second) != admission.NotQuiet {
		t.Errorf("the second request: %v", err)
	}
	if why := c.denial(first); why != admission.Granted {
		t.Errorf("the first request counts as withheld when the second was: %v", why)
	}
}
