package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// What the fleet tells of a server reaches the balancer, by id and address; of another address, or none listed, it doesn't.
func TestTheFleetsTrials(t *testing.T) {
	f := &fakeTransport{}
	d := startDispatcher(t, f)
	for range 40 { // each range's cache breaks a connection
		submit(t, d, Request{Class: "read", Key: fmt.Sprint(traceIDs.Load())}, time.Second)
		if s := f.take(0); s != nil {
			s.Finish(ConnectRefused, Answer{})
		}
	}
	resting := d.EjectedEndpoints()
	if len(resting) == 0 || resting["a"] != "" && resting["a"] != "a:1" {
		t.Fatalf("%v rest", resting)
	}
	for id, address := range resting {
		d.ProbeResult(id, "elsewhere:1", true, 0)
		d.ProbeResult("unknown", address, true, 0)
		d.ProbeResult(id, address, true, 0)
	}
	if len(d.EjectedEndpoints()) != len(resting) {
		t.Error("a result alone ends no ejection: an own request has to")
	}
	for n := 0; len(d.EjectedEndpoints()) > 0; n++ {
		if n > 200 {
			t.Fatalf("%v are ejected after good results and %d requests", d.EjectedEndpoints(), n)
		}
		submit(t, d, Request{Class: "read", Key: fmt.Sprint(traceIDs.Load())}, time.Second)
		if s := f.take(0); s != nil {
			s.Finish(Complete, Answer{Outcome: Served})
		}
	}
}
