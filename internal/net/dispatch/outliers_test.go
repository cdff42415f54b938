package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Probe results of other nodes reach the balancer if the endpoint is listed with this id and address, and are ignored
// otherwise. A good result alone does not end an ejection: a request of this node has to succeed too.
func TestReportProbeResultOfOtherNodes(t *testing.T) {
	transport := &fakeTransport{}
	d := startDispatcher(t, transport)
	for range 40 { // the cache of each range refuses a connection
		submit(t, d, Request{Class: "read", Key: fmt.Sprint(traceIDs.Load())}, time.Second)
		if attempt := transport.take(0); attempt != nil {
			attempt.Finish(ConnectRefused, Answer{})
		}
	}
	ejected := d.EjectedEndpoints()
	if len(ejected) == 0 || ejected["a"] != "" && ejected["a"] != "a:1" {
		t.Fatalf("ejected endpoints: %v", ejected)
	}
	for id, address := range ejected {
		d.ReportProbeResult(id, "elsewhere:1", true, 0)
		d.ReportProbeResult("unknown", address, true, 0)
		d.ReportProbeResult(id, address, true, 0)
	}
	if len(d.EjectedEndpoints()) != len(ejected) {
		t.Error("a probe result alone ended an ejection")
	}
	for n := 0; len(d.EjectedEndpoints()) > 0; n++ {
		if n > 200 {
			t.Fatalf("%v are ejected after good probe results and %d requests", d.EjectedEndpoints(), n)
		}
		submit(t, d, Request{Class: "read", Key: fmt.Sprint(traceIDs.Load())}, time.Second)
		if attempt := transport.take(0); attempt != nil {
			attempt.Finish(Complete, Answer{Outcome: Served})
		}
	}
}
