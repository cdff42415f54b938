package routing

import (
	"fmt"
	"testing"
)

// With hundreds of nodes, a tenant's even share at each may be less than one request per second. It must accumulate
// to whole requests, or the tenant would get none of it.
func TestSmallTenantShareAccumulates(t *testing.T) {
	f := newFakeHost(1, 4)
	f.b.config.Nodes = 300
	f.b = New(f, 1, f.now, f.b.config)
	f.b.UpdateEndpoints(f.now, Full, f.endpoints)
	f.b.admissionLevel = 0
	for i := range 20 {
		f.now += 8000 * Millisecond // 50 a second over 300 nodes: one in 6 s
		if id, client := f.request(0, fmt.Sprint(i), false, f.now+5000); len(client.attempts) != 1 {
			t.Fatal("a request within its tenant's share was shed")
		} else {
			f.attemptDone(id, 0, Served)
		}
	}
}

// Requests that exceed their tenant's share are shed if requests within the shares fail, and only then.
func TestTenantExceedingShareShedFirst(t *testing.T) {
	for level, want := range []int{25 + minTenantBurst, 40} { // the quota of 50 a second is divided between two nodes
		f, admitted := newFakeHost(1, 4), 0
		for i := range 40 {
			f.b.admissionLevel = float64(level)
			if id, client := f.request(0, fmt.Sprint(i), false, f.now+5000); len(client.attempts) > 0 {
				admitted++
				f.attemptDone(id, 0, Served)
			}
		}
		if admitted != want {
			t.Errorf("admission level %d: %d admitted, want %d", level, admitted, want)
		}
	}
}

// A node that carries more than its even share, since other nodes failed, detects this from the requests of the other
// tenants. Requests that exceed the carried share are shed as soon as requests within the shares are rejected. Requests
// that exceed only the even share are shed only at the lowest admission levels.
func TestNodeCarryingMoreTrafficShedsLater(t *testing.T) {
	for _, tc := range []struct {
		otherRequests, level float64
		want                 int
	}{{0, 1, 60}, {0, 0.7, 30}, {100, 0.7, 60}, {100, 0, 30}} { // 60 requests in 1.2 s; the even share is 25 a second
		f, admitted := newFakeHost(1, 4), 0
		f.b.tenants[1].evenRate, f.b.tenants[0].evenTokens, f.b.tenants[0].carriedTokens = 25, 0, 0
		for i := range 60 {
			f.now += 20 * Millisecond
			f.b.admissionLevel, f.b.tenants[1].requests = tc.level, tc.otherRequests
			if id, client := f.request(0, fmt.Sprint(i), false, f.now+5000); len(client.attempts) > 0 {
				admitted++
				f.attemptDone(id, 0, Served)
			}
		}
		if admitted < tc.want-1 || admitted > tc.want+1 {
			t.Errorf("other tenants' count %g, admission level %g: %d admitted, want %d", tc.otherRequests, tc.level, admitted, tc.want)
		}
	}
}

// Requests that run out of time may have been sent to one of a few servers that do not respond. So they lower the
// admission level less than rejected requests do.
func TestTimeoutsLowerAdmissionLevelLessThanRejections(t *testing.T) {
	for _, tc := range []struct {
		result   Result
		latency  Time
		minLevel float64
	}{{TimedOut, 200 * Millisecond, 0.8}, {Rejected, Millisecond, 0.4}} {
		f := newFakeHost(1, 1)
		for range 5 {
			f.b.servers[0].ejectionTime, f.b.servers[0].concurrencyLimit, f.b.servers[1].inFlight = 0, maxConcurrencyLimit, 99
			id, _ := f.request(0, "", false, f.now+5000)
			f.now += tc.latency
			f.attemptDone(id, 0, tc.result)
		}
		if f.b.admissionLevel < tc.minLevel || f.b.admissionLevel > tc.minLevel+0.2 {
			t.Errorf("result %d: admission level %.2f, want %.1f or at most 0.2 more", tc.result, f.b.admissionLevel, tc.minLevel)
		}
	}
}
