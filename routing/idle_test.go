package routing

import (
	"fmt"
	"testing"
)

// A node that fails to connect closes the connections that have been idle for its idle timeout, which is the
// shorter the more often connecting fails.
func TestConnectFailureClosesIdleConnections(t *testing.T) {
	f := newFakeHost(1, 4)
	finishRequest := func(server int, result Result) {
		f.b.servers[server].ejectionTime, f.b.servers[server].concurrencyLimit = 0, maxConcurrencyLimit
		id, c := f.request(1, key(f.b, server), false, f.now+5000)
		if f.attemptDone(id, 0, result); !c.ended {
			f.attemptDone(id, 1, Served)
		}
	}
	expectClosed := func(name string, want int) {
		t.Helper()
		if f.closeAllCalls != want {
			t.Errorf("%s: %d closed, want %d", name, f.closeAllCalls, want)
		}
		f.closeAllCalls = 0
	}
	finishRequest(0, Served)
	finishRequest(1, Served)
	f.advance(2 * maxIdleTimeout)
	expectClosed("none is scarce", 0)
	finishRequest(0, Served)
	finishRequest(2, ConnectFailed)
	expectClosed("one has been idle for long, one not", 1)
	finishRequest(2, ConnectFailed)
	expectClosed("none has been idle since", 0)
	finishRequest(1, Served)
	for f.b.idleTimeout >= 2*minIdleTimeout {
		finishRequest(2, ConnectFailed)
	}
	f.advance(f.b.idleTimeout)
	f.closeAllCalls = 0
	finishRequest(2, ConnectFailed)
	expectClosed("all idle ones", 3) // the origin's as well
	f.b.idleTimeout = minIdleTimeout - 2*idleTimeoutIncrease
	finishRequest(0, Served)
	expectClosed("at once", 1)
	for range int(minIdleTimeout / idleTimeoutIncrease) {
		finishRequest(1, Served)
	}
	f.closeAllCalls = 0
	finishRequest(0, Served)
	expectClosed("connecting succeeds again", 0)
}

// A server that does not respond is not short of connections, so none are closed elsewhere.
func TestConnectTimeoutClosesNoIdleConnections(t *testing.T) {
	for result, want := range map[Result]int{ConnectTimeout: 0, ConnectFailed: 1, ConnectionLimit: 1} {
		f := newFakeHost(1, 3)
		id, _ := f.request(0, key(f.b, 0), false, f.now+5000)
		f.attemptDone(id, 0, Served)
		f.advance(maxIdleTimeout)
		id, c := f.request(0, key(f.b, 1), false, f.now+5000)
		f.attemptDone(id, 0, result)
		if f.closeAllCalls != want || (f.b.idleTimeout < maxIdleTimeout) != (want > 0) || c.attempts[0].mayHaveRun() {
			t.Errorf("result %d: %d closed, want %d; idle timeout %d", result, f.closeAllCalls, want, f.b.idleTimeout)
		}
		if ejected := f.b.servers[1].ejectionTime > 0; ejected != (result != ConnectionLimit) {
			t.Errorf("result %d: the server is ejected: %v", result, ejected)
		}
	}
}

// A node that fetches all the time never has a connection to the origin that is idle for long. It keeps as many
// open as it needs.
func TestOriginIdleConnectionsMatchFetchRate(t *testing.T) {
	for _, c := range []struct{ interval, want int }{{400, 1}, {10, 9}} { // milliseconds between fetches of 60 ms each
		f := newFakeHost(1, 2)
		for n := range 60 * 400 / c.interval {
			id, _ := f.request(0, fmt.Sprint(n), false, f.now+8000)
			f.attemptDone(id, 0, NotFound)
			f.now += 60 * Millisecond
			f.attemptDone(id, 1, Served)
			f.now += Time(c.interval-60) * Millisecond
		}
		if f.lastKeep != c.want {
			t.Errorf("a fetch each %d ms: %d connections stay open, want %d", c.interval, f.lastKeep, c.want)
		}
	}
}
