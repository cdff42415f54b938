package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// What the fleet tells of a server reaches the balancer, by id and address; of another address, or none listed, it doesn't.
func TestProbeResultsOfOtherNodes(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	for range 40 { // each range's cache breaks a connection
		submit(t, d, Request{Class: "read", Key: fmt.Sprint(traceIDs.Load())}, time.Second)
		if attempt := transport.take(0); attempt != nil {
			attempt.Finish(ConnectRefused, Answer{})
		}
	}
	ejected := d.EjectedEndpoints()
	if len(ejected) == 0 || ejected["a"] != "" && ejected["a"] != "a:1" {
		t.Fatalf("%v rest", ejected)
	}
	for id, address := range ejected {
		d.ProbeResult(id, "elsewhere:1", true, 0)
		d.ProbeResult("unknown", address, true, 0)
		d.ProbeResult(id, address, true, 0)
	}
	if len(d.EjectedEndpoints()) != len(ejected) {
		t.Error("a result alone ends no ejection: an own request has to")
	}
	for n := 0; len(d.EjectedEndpoints()) > 0; n++ {
		if n > 200 {
			t.Fatalf("%v are ejected after good results and %d requests", d.EjectedEndpoints(), n)
		}
		submit(t, d, Request{Class: "read", Key: fmt.Sprint(traceIDs.Load())}, time.Second)
		if attempt := transport.take(0); attempt != nil {
			attempt.Finish(Complete, Answer{Outcome: Served})
		}
	}
}
