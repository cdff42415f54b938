package fellows

import (
	"net"
	"testing"
	"time"
)

// Fellows hold no more connections than their part of the descriptors: the next is closed, and finds a place once one has gone.
func TestFellowsStayWithinTheirPart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const most = 3
	gone := make(chan struct{})
	p := newPorch(l, most, "f", time.Second, func() string { return "" }, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1)) // until its end
		gone <- struct{}{}
	})
	go p.serve()
	defer p.close()
	d := dialer{fleet: "f", node: "n"}
	var held []net.Conn
	for range most {
		c, err := d.dial(l.Addr().String(), forAsks, "", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		held = append(held, c)
	}
	if c, err := d.dial(l.Addr().String(), forAsks, "", time.Second); err == nil {
		c.Close()
		t.Error("one more than the part is held")
	}
	_ = held[0].Close()
	<-gone
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		c, err := d.dial(l.Addr().String(), forAsks, "", time.Second)
		if err == nil {
			go func() { <-gone }()
			c.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	go func() { // the rest end with the test
		for range most {
			<-gone
		}
	}()
}
