package routing

import (
	"fmt"
	"testing"
)

// A node that fails to connect closes the connections that have been idle for its idle timeout. Each failure shortens
// the timeout, and each answer extends it.
func TestConnectFailureClosesIdleConnections(t *testing.T) {
	f := newFakeHost(1, 4)
	finishRequest := func(server int, result Result) {
		f.b.servers[server].ejectionTime, f.b.servers[server].concurrencyLimit = 0, maxConcurrencyLimit
		id, client := f.request(1, key(f.b, server), false, f.now+5000)
		if f.attemptDone(id, 0, result); !client.ended {
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
	expectClosed("no failure to connect", 0)
	finishRequest(0, Served)
	finishRequest(2, ConnectFailed)
	expectClosed("one connection idle for long, one not", 1)
	finishRequest(2, ConnectFailed)
	expectClosed("no connection idle since", 0)
	finishRequest(1, Served)
	for f.b.idleTimeout >= 2*minIdleTimeout {
		finishRequest(2, ConnectFailed)
	}
	f.advance(f.b.idleTimeout)
	f.closeAllCalls = 0
	finishRequest(2, ConnectFailed)
	expectClosed("all idle connections", 3) // including that to the origin
	f.b.idleTimeout = minIdleTimeout - 2*idleTimeoutIncrease
	finishRequest(0, Served)
	expectClosed("timeout below the minimum", 1)
	for range int(minIdleTimeout / idleTimeoutIncrease) {
		finishRequest(1, Served)
	}
	f.closeAllCalls = 0
	finishRequest(0, Served)
	expectClosed("timeout above the minimum again", 0)
}

// A connect timeout means that the server does not respond, not that connections are scarce. So no idle connections to
// other servers are closed, unlike after a refused connection.
func TestConnectTimeoutClosesNoIdleConnections(t *testing.T) {
	for result, want := range map[Result]int{ConnectTimeout: 0, ConnectFailed: 1, ConnectionLimit: 1} {
		f := newFakeHost(1, 3)
		id, _ := f.request(0, key(f.b, 0), false, f.now+5000)
		f.attemptDone(id, 0, Served)
		f.advance(maxIdleTimeout)
		id, client := f.request(0, key(f.b, 1), false, f.now+5000)
		f.attemptDone(id, 0, result)
		if f.closeAllCalls != want || (f.b.idleTimeout < maxIdleTimeout) != (want > 0) || client.attempts[0].mayHaveRun() {
			t.Errorf("result %d: %d closed, want %d; idle timeout %d", result, f.closeAllCalls, want, f.b.idleTimeout)
		}
		if ejected := f.b.servers[1].ejectionTime > 0; ejected != (result != ConnectionLimit) {
			t.Errorf("result %d: server ejected: %v, want %v", result, ejected, !ejected)
		}
	}
}

// A node that fetches constantly never has a connection to the origin that reaches the idle timeout. So it must close
// connections beyond the number that its fetches need.
func TestOriginIdleConnectionsMatchFetchRate(t *testing.T) {
	for _, tc := range []struct{ interval, want int }{{400, 1}, {10, 9}} { // milliseconds between fetches of 60 ms each
		f := newFakeHost(1, 2)
		for n := range 60 * 400 / tc.interval {
			id, _ := f.request(0, fmt.Sprint(n), false, f.now+8000)
			f.attemptDone(id, 0, NotFound)
			f.now += 60 * Millisecond
			f.attemptDone(id, 1, Served)
			f.now += Time(tc.interval-60) * Millisecond
		}
		if f.lastKeep != tc.want {
			t.Errorf("one fetch per %d ms: %d connections stay open, want %d", tc.interval, f.lastKeep, tc.want)
		}
	}
}
