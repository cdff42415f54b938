package routing

import (
	"testing"
)

// A broken connection ejects a server. After the ejection time one safe request probes it.
func TestOutlierEjectedThenProbed(t *testing.T) {
	f := newFakeHost(1, 2)
	k := key(f.b, 0)
	f.b.servers[2].inFlight = 99
	id, client := f.request(0, k, false, f.now+5000)
	if f.attemptDone(id, 0, ConnectionBroken); len(client.attempts) != 2 || client.attempts[1].server != 1 {
		t.Fatal("no second attempt at the cache of the next range")
	}
	for _, tc := range []struct {
		name        string
		elapsed     Time
		class, want int
	}{{"safe request during the ejection", minEjectionTime - 1, 0, 1}, {"unsafe request after the ejection time", 1, 2, 1},
		{"first safe request after the ejection time", 0, 0, 0}, {"second safe request during the probe", 0, 0, 1}} {
		f.now += tc.elapsed
		f.b.servers[1].inFlight = 0
		if _, client := f.request(tc.class, k, false, f.now+5000); client.attempts[0].server != tc.want {
			t.Errorf("%s: attempt at %d, want %d", tc.name, client.attempts[0].server, tc.want)
		}
	}
}

// An unhealthy probe of another node extends the ejection at this node, by maxEjectionTime at most. A healthy probe ends
// the ejection time, so that the next request of this node probes the server. A server that is not ejected is not
// affected.
func TestReportProbeResultOfOtherNodeMovesProbe(t *testing.T) {
	const unhealthyNext, healthy, distantNext = 2000 * Millisecond, 0, 1 << 40
	for _, tc := range []struct {
		name    string
		ejected bool
		next    Time // time until the other node's next probe; healthy: its probe was healthy; negative: no probe
		elapsed Time
		want    int
	}{{"no probe of another node", true, -1, minEjectionTime, 0}, {"unhealthy, before the next probe", true, unhealthyNext, unhealthyNext - 1, 1},
		{"unhealthy, at the next probe", true, unhealthyNext, unhealthyNext, 0}, {"unhealthy, next probe in the distant future", true, distantNext, maxEjectionTime, 0},
		{"healthy", true, healthy, 1, 0}, {"unhealthy, but not ejected at this node", false, unhealthyNext, 1, 0}} {
		f := newFakeHost(1, 2)
		k := key(f.b, 0)
		if tc.ejected {
			id, _ := f.request(0, k, false, f.now+5000)
			f.attemptDone(id, 0, ConnectionBroken)
		}
		if tc.next >= 0 {
			f.b.ReportProbeResult(f.now, 0, tc.next == healthy, f.now+tc.next)
		}
		f.now += tc.elapsed
		f.b.servers[1].inFlight = 0
		if _, client := f.request(0, k, false, f.now+5000); client.attempts[0].server != tc.want {
			t.Errorf("%s: attempt at %d, want %d", tc.name, client.attempts[0].server, tc.want)
		}
	}
}

// A timeout counts as a failure of the server only if the attempt was slow, not if the request had little time left.
func TestShortTimeoutIsNoFailure(t *testing.T) {
	f := newFakeHost(1, 1)
	for _, tc := range []struct {
		timeout  Time
		failures int
	}{{300, 0}, {300, 0}, {900, 1}, {300, 1}, {900, 2}} {
		f.b.servers[0].concurrencyLimit = maxConcurrencyLimit
		id, client := f.request(0, "k", false, f.now+tc.timeout)
		if len(client.attempts) != 1 || client.attempts[0].server != 0 {
			t.Fatalf("after %d failures: attempts %v, want one at server 0", f.b.servers[0].consecutiveFailures, client.attempts)
		}
		f.now += tc.timeout
		f.attemptDone(id, 0, TimedOut)
		if got := f.b.servers[0].consecutiveFailures; got != tc.failures {
			t.Errorf("timeout after %d tenths of a millisecond: %d failures, want %d", tc.timeout, got, tc.failures)
		}
	}
}
