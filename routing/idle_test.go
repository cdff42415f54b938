package routing

import (
	"fmt"
	"testing"
)

// conn_squeeze: three hundred nodes held what few connections sixty boxes took, and found none at the others. A node
// that finds none gives back what has been idle for as long as it keeps them, the sooner the more often it finds none.
func TestIdleConnectionsAreClosedWhereConnectsFail(t *testing.T) {
	f := newFakeHost(1, 4)
	use := func(server int, code Result) {
		f.b.servers[server].ejectionTime, f.b.servers[server].concurrencyLimit = 0, maxConcurrencyLimit
		lkp, c := f.request(1, key(f.b, server), false, f.now+5000)
		if f.attemptDone(lkp, 0, code); !c.ended {
			f.attemptDone(lkp, 1, Served)
		}
	}
	gave := func(what string, want int) {
		t.Helper()
		if f.closedIdle != want {
			t.Errorf("%s: %d hung up, want %d", what, f.closedIdle, want)
		}
		f.closedIdle = 0
	}
	use(0, Served)
	use(1, Served)
	f.advance(2 * maxIdleTimeout)
	gave("none is scarce", 0)
	use(0, Served)
	use(2, ConnectFailed)
	gave("one has idled for long, one not", 1)
	use(2, ConnectFailed)
	gave("none has idled since", 0)
	use(1, Served)
	for f.b.idleTimeout >= 2*minIdleTimeout {
		use(2, ConnectFailed)
	}
	f.advance(f.b.idleTimeout)
	f.closedIdle = 0
	use(2, ConnectFailed)
	gave("all that idled", 3) // the origin's as well
	f.b.idleTimeout = minIdleTimeout - 2*idleTimeoutIncrease
	use(0, Served)
	gave("at once", 1)
	for range int(minIdleTimeout / idleTimeoutIncrease) {
		use(1, Served)
	}
	f.closedIdle = 0
	use(0, Served)
	gave("connects succeed again", 0)
}

// split: a zone that was cut off took no connection, and nodes gave back what they held at all others.
func TestConnectTimeoutClosesNoIdleConnections(t *testing.T) {
	for code, want := range map[Result]int{ConnectTimeout: 0, ConnectFailed: 1, ConnectionLimit: 1} {
		f := newFakeHost(1, 3)
		lkp, _ := f.request(0, key(f.b, 0), false, f.now+5000)
		f.attemptDone(lkp, 0, Served)
		f.advance(maxIdleTimeout)
		lkp, c := f.request(0, key(f.b, 1), false, f.now+5000)
		f.attemptDone(lkp, 0, code)
		if f.closedIdle != want || (f.b.idleTimeout < maxIdleTimeout) != (want > 0) || c.attempts[0].mayHaveRun() {
			t.Errorf("code %d: %d hung up, want %d; kept for %d", code, f.closedIdle, want, f.b.idleTimeout)
		}
		if rests := f.b.servers[1].ejectionTime > 0; rests != (code != ConnectionLimit) {
			t.Errorf("code %d: the server rests: %v", code, rests)
		}
	}
}

// calm at full size: each of three hundred nodes held three idle connections to the origin, which took 440, since one
// that fetches all the time never finds any of them idle for long. It keeps as many as it needs.
func TestFewIdleConnectionsStayOpenAtTheOrigin(t *testing.T) {
	for _, c := range []struct{ span, want int }{{400, 1}, {10, 9}} { // milliseconds between fetches of 60 each
		f := newFakeHost(1, 2)
		for n := range 60 * 400 / c.span {
			lkp, _ := f.request(0, fmt.Sprint(n), false, f.now+8000)
			f.attemptDone(lkp, 0, NotFound)
			f.now += 60 * Millisecond
			f.attemptDone(lkp, 1, Served)
			f.now += Time(c.span-60) * Millisecond
		}
		if f.connectionsKept != c.want {
			t.Errorf("a fetch each %d ms: %d connections left, want %d", c.span, f.connectionsKept, c.want)
		}
	}
}
