package upstream

import (
	"net"
	"testing"
)

// A connection is counted until its descriptor is closed, so that there are never more than the bound.
func TestAPlaceIsGivenBackAfterItsDescriptor(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := c.(socket).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	given := 0
	own := newConn(c.(socket), func() {
		given++
		if raw.Control(func(uintptr) {}) == nil {
			t.Error("the connection is no longer counted while its descriptor is open")
		}
	})
	if err := own.Close(); err != nil || given != 1 {
		t.Errorf("%v, given back %d times", err, given)
	}
}
