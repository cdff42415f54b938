package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/routing"
	"go.uber.org/zap"
)

// A dial may take longer than a drain's grace period. An attempt that gets its connection after SendBy must not be written,
// on a new or a reused connection. It counts as not run, and not against the server.
func TestAttemptPastSendByIsNotWritten(t *testing.T) {
	var served atomic.Int64
	client, server := newTestClient(t), rawServer(t, func(c net.Conn, _ *http.Request, _ int) {
		served.Add(1)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for i, c := range []struct {
		timeLeft time.Duration
		want     dispatch.AttemptResult
	}{{-time.Millisecond, dispatch.NotConnected}, {time.Second, dispatch.Complete}, {-time.Millisecond, dispatch.NotConnected}} {
		late := newAttempt(server, "GET", "")
		late.SendBy = time.Now().Add(c.timeLeft)
		if result, _ := client.send(late); result != c.want {
			t.Errorf("attempt %d ended %v, want %v", i, result, c.want)
		}
	}
	if n := served.Load(); n != 1 {
		t.Errorf("%d attempts were written, want one", n)
	}
}

// When an attempt ends without a complete answer, its connection must be closed already. Where hedging is off, the next
// attempt may be written at once, and the failed one would still be in flight on the open connection.
func TestFailedAttemptClosesConnectionBeforeReturn(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n", "HTTP/1.1 500 Oops\r\nContent-Length: 2000\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "what is this\r\n\r\n"} {
		address := rawServer(t, func(c net.Conn, _ *http.Request, _ int) { _, _ = io.WriteString(c, text) })
		client := newTestClient(t)
		last := trackLatestConn(client)
		open := 0
		for range 4 {
			result, _ := client.send(newAttempt(address, "GET", ""))
			c := *last
			c.mu.Lock()
			if !c.closing {
				open++
			}
			c.mu.Unlock()
			if result != dispatch.Malformed {
				t.Errorf("%q: %v", text, result)
			}
		}
		if open > 0 {
			t.Errorf("%q: %d of 4 connections were still open after their attempt ended", text, open)
		}
	}
}

// failSecondWriteConn fails its second write.
type failSecondWriteConn struct {
	net.Conn
	writes int
}

func (f *failSecondWriteConn) Write(b []byte) (int, error) {
	if f.writes++; f.writes == 2 {
		return 0, syscall.EPIPE
	}
	return f.Conn.Write(b)
}

// Guards against the transport's own retries. A server that closes a reused connection after it has read a request must
// receive that request only once, whatever its method and headers.
func TestTransportDoesNotRetryOnBrokenReusedConnection(t *testing.T) {
	for _, c := range []struct{ method, body, key string }{
		{"GET", "", ""}, {"GET", "", "id"}, {"PUT", "v", "id"}, {"PUT", "", "id"}, {"PUT", "v", ""}} {
		var seen atomic.Int64
		address := rawServer(t, func(conn net.Conn, _ *http.Request, nth int) {
			if seen.Add(1); nth == 0 {
				_, _ = io.WriteString(conn, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
				return
			}
			conn.Close()
		})
		client, attempt := newTestClient(t), newAttempt(address, c.method, c.body)
		attempt.IdempotencyKey = c.key
		first, _ := client.send(attempt)
		second, _ := client.send(attempt)
		if first != dispatch.NotFound || second != dispatch.ConnectionLost || seen.Load() != 2 {
			t.Errorf("%v: %v, then %v; the server received %d requests", c, first, second, seen.Load())
		}
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	var seen *http.Request
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		seen = r
		body, _ = io.ReadAll(r.Body)
	}))
	defer server.Close()
	// Proxies from the environment are never used for loopback addresses, so the requests below would not reveal one.
	if newTestClient(t).transport.Proxy != nil {
		t.Error("the transport may use a proxy")
	}
	for _, c := range []struct{ method, body string }{{"PUT", "a\x00b"}, {"PUT", ""}, {"GET", ""}} {
		attempt := newAttempt(server.Listener.Addr().String(), c.method, c.body)
		attempt.Target, attempt.TraceID, attempt.IdempotencyKey = "/read/a%2Fb;x//c%20?q=%41&&z", "tRaCe", "Key 1"
		if result, _ := newTestClient(t).send(attempt); result != dispatch.Complete {
			t.Fatal(result)
		}
		h := seen.Header
		if seen.RequestURI != attempt.Target || string(body) != c.body || h.Get("X-Trace-Id") != "tRaCe" || seen.Method != c.method ||
			h.Get("Idempotency-Key") != "Key 1" || h.Get("X-Expires-In") != "500000u" ||
			h.Get("Accept-Encoding") != "" {
			t.Errorf("%s %s %q %v", seen.Method, seen.RequestURI, body, h)
		}
	}
}

func TestSilentServerTimesOutAtAttemptTimeout(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := rawServer(t, func(c net.Conn, r *http.Request, _ int) {
		if r.Method == "PUT" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nha") // then silent in the middle of the answer
		}
		<-release
	})
	for _, method := range []string{"GET", "PUT"} {
		client, attempt, start := newTestClient(t), newAttempt(address, method, ""), time.Now()
		attempt.Timeout = minStallThreshold / 2
		if result, _ := client.send(attempt); result != dispatch.TimedOut || time.Since(start) > time.Second {
			t.Errorf("%s: %v after %v", method, result, time.Since(start))
		}
	}
	client := newTestClient(t)
	time.AfterFunc(20*time.Millisecond, client.Close)
	if result, _ := client.send(newAttempt(address, "GET", "")); result != dispatch.Canceled {
		t.Errorf("on Client.Close: %v", result)
	}
}

// noopSubscriber does not subscribe to an endpoint list.
type noopSubscriber struct{}

func (noopSubscriber) Subscribe() {}

// An attempt above MaxAttempts, and one whose goroutine panics, must be finished too; otherwise its request stays in flight.
func TestUnsentAndPanickingAttemptsAreFinished(t *testing.T) {
	for want, breakClient := range map[dispatch.AttemptResult]func(*Client){
		dispatch.NoResources:    func(client *Client) { client.limits.MaxAttempts = 0 },
		dispatch.ConnectionLost: func(client *Client) { client.transport = nil },
	} {
		settings, err := config.ParseSettings(map[string]any{"namespaces": []any{map[string]any{"name": "read", "repeat": "safe",
			"target-time-ms": 200., "time-limit-ms": 750.}}})
		if err != nil {
			t.Fatal(err)
		}
		dispatcher, client := dispatch.New(settings, zap.NewNop()), newTestClient(t)
		dispatcher.Start(1, client, noopSubscriber{})
		dispatcher.UpdateEndpoints(routing.Full, []dispatch.Endpoint{{ID: "a", Address: "127.0.0.1:1"}})
		transport := client.transport
		breakClient(client)
		ticket, err := dispatcher.Submit(dispatch.Request{Class: "read"}, time.Now(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		a := <-ticket.Answers()
		if stats := dispatcher.Stats(); a.Outcome != dispatch.Rejected || stats.Results[want] != 1 || dispatcher.InFlight() != 0 {
			t.Errorf("%v: %+v, results %v", want, a, stats.Results)
		}
		client.transport = transport
	}
}

// Whether the client still waits is checked just before the first byte, on each connection that is tried. After the request
// has ended nothing is written, and that does not count against the server. An attempt that was already written continues.
func TestAttemptIsNotWrittenAfterClientLeaves(t *testing.T) {
	for _, c := range []struct {
		cancelPoint  string // when the client leaves
		want         dispatch.AttemptResult
		wantReceived int64
	}{{"during the dial", dispatch.EndedBeforeWrite, 0}, {"between two dials", dispatch.EndedBeforeWrite, 0}, {"after the write", dispatch.Complete, 1}} {
		settings, err := config.ParseSettings(map[string]any{"namespaces": []any{map[string]any{"name": "read", "repeat": "safe",
			"target-time-ms": 700., "time-limit-ms": 750.}}})
		if err != nil {
			t.Fatal(err)
		}
		var received atomic.Int64
		submitted, cancelRequest := make(chan bool), func() {}
		address := rawServer(t, func(conn net.Conn, _ *http.Request, _ int) {
			received.Add(1)
			cancelRequest()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
		})
		dispatcher, client, dials := dispatch.New(settings, zap.NewNop()), newTestClient(t), 0
		dial := client.transport.DialContext
		client.transport.DialContext = func(ctx context.Context, network, to string) (net.Conn, error) {
			<-submitted
			if dials++; dials == 1 && c.cancelPoint == "between two dials" {
				cancelRequest()
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNRESET} // another connection is tried
			} else if c.cancelPoint == "during the dial" {
				cancelRequest()
			}
			return dial(ctx, network, to)
		}
		dispatcher.Start(1, client, noopSubscriber{})
		dispatcher.UpdateEndpoints(routing.Full, []dispatch.Endpoint{{ID: "a", Address: address}})
		ticket, err := dispatcher.Submit(dispatch.Request{Class: "read", Method: "GET", Target: "/read/k", TraceID: "t"}, time.Now(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		cancelRequest = ticket.Cancel
		close(submitted)
		for deadline := time.Now().Add(time.Second); dispatcher.InFlight() > 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		stats := dispatcher.Stats()
		if stats.Results[c.want] != 1 || stats.ClientGone != 1 || received.Load() != c.wantReceived || dispatcher.Metrics().AttemptsWritten.Load() != c.wantReceived || len(dispatcher.EjectedEndpoints()) > 0 || dispatcher.InFlight() > 0 {
			t.Errorf("%s: results %v, %d clients gone, %d received, %d written, ejected %v, %d in flight", c.cancelPoint, stats.Results, stats.ClientGone, received.Load(),
				dispatcher.Metrics().AttemptsWritten.Load(), dispatcher.EjectedEndpoints(), dispatcher.InFlight())
		}
	}
}
