package routing

import (
	"testing"
)

// A broken connection ejects a server; after the ejection time one safe request probes it.
func TestOutlierEjectedThenProbed(t *testing.T) {
	f := newFakeHost(1, 2)
	k := key(f.b, 0)
	f.b.servers[2].inFlight = 99
	id, c := f.request(0, k, false, f.now+5000)
	if f.attemptDone(id, 0, ConnectionBroken); len(c.attempts) != 2 || c.attempts[1].server != 1 {
		t.Fatal("the request must go on at the next range's cache")
	}
	for _, c := range []struct {
		name        string
		elapsed     Time
		class, want int
	}{{"during the ejection it is skipped", minEjectionTime - 1, 0, 1}, {"unsafe requests do not probe it", 1, 2, 1},
		{"the first safe one does", 0, 0, 0}, {"one probe at a time", 0, 0, 1}} {
		f.now += c.elapsed
		f.b.servers[1].inFlight = 0
		if _, client := f.request(c.class, k, false, f.now+5000); client.attempts[0].server != c.want {
			t.Errorf("%s: attempt at %d, want %d", c.name, client.attempts[0].server, c.want)
		}
	}
}

// A bad probe by another node prolongs an ejection, for a bounded time; a good one ends the wait, so that one
// request of this node probes the server. A server that is not ejected stays as it is.
func TestProbeResultOfOtherNodeMovesProbe(t *testing.T) {
	const unhealthyNext, healthy, distantNext = 2000 * Millisecond, 0, 1 << 40
	for _, c := range []struct {
		name    string
		ejected bool
		next    Time // good: it went well
		elapsed Time
		want    int
	}{{"without news its own ejection counts", true, -1, minEjectionTime, 0}, {"bad news", true, unhealthyNext, unhealthyNext - 1, 1},
		{"after bad news, and none since", true, unhealthyNext, unhealthyNext, 0}, {"bad news for ever", true, distantNext, maxEjectionTime, 0},
		{"good news", true, healthy, 1, 0}, {"bad news of a healthy one", false, unhealthyNext, 1, 0}} {
		f := newFakeHost(1, 2)
		k := key(f.b, 0)
		if c.ejected {
			id, _ := f.request(0, k, false, f.now+5000)
			f.attemptDone(id, 0, ConnectionBroken)
		}
		if c.next >= 0 {
			f.b.ProbeResult(f.now, 0, c.next == healthy, f.now+c.next)
		}
		f.now += c.elapsed
		f.b.servers[1].inFlight = 0
		if _, client := f.request(0, k, false, f.now+5000); client.attempts[0].server != c.want {
			t.Errorf("%s: attempt at %d, want %d", c.name, client.attempts[0].server, c.want)
		}
	}
}

// A timeout because the request had little time left says nothing of its server.
func TestShortTimeoutIsNoFailure(t *testing.T) {
	f := newFakeHost(1, 1)
	for _, c := range []struct {
		timeout  Time
		failures int
	}{{300, 0}, {300, 0}, {900, 1}, {300, 1}, {900, 2}} {
		f.b.servers[0].concurrencyLimit = maxConcurrencyLimit
		id, client := f.request(0, "k", false, f.now+c.timeout)
		if len(client.attempts) != 1 || client.attempts[0].server != 0 {
			t.Fatalf("%d failures: attempts %v", f.b.servers[0].consecutiveFailures, client.attempts)
		}
		f.now += c.timeout
		f.attemptDone(id, 0, TimedOut)
		if got := f.b.servers[0].consecutiveFailures; got != c.failures {
			t.Errorf("after %d tenths of a millisecond: %d failures, want %d", c.timeout, got, c.failures)
		}
	}
}
