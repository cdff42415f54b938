package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// endConnection ends a server's connection after a response, in the way that ending names.
func endConnection(t *testing.T, c net.Conn, ending string) {
	tcp := c.(*net.TCPConn)
	switch ending {
	case "resets":
		time.Sleep(20 * time.Millisecond) // so that the response is already on its way to the client
		_ = tcp.SetLinger(0)
	case "resets at once":
		_ = tcp.SetLinger(0)
	case "ends, then resets":
		_ = tcp.CloseWrite()
		awaitAcknowledged(t, tcp) // a reset discards what the kernel has not delivered yet, and the end of the response with it
		_ = tcp.SetLinger(0)
	}
	tcp.Close()
}

// awaitAcknowledged waits until the peer's kernel has acknowledged all bytes that were written, and the end of the sending side if it was shut down.
func awaitAcknowledged(t *testing.T, c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		unacknowledged := 0
		controlErr := raw.Control(func(fd uintptr) { unacknowledged, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		switch {
		case controlErr != nil || err != nil:
			t.Error(controlErr, err)
			return
		case unacknowledged == 0:
			return
		case time.Now().After(deadline):
			t.Errorf("%d bytes are not acknowledged", unacknowledged)
			return
		}
	}
}

// A client never takes a truncated response for a complete one, whatever its size, its framing and the way the server ends the connection. A
// response without Content-Length and chunked encoding is complete if the server closes the connection, also if a reset follows.
func TestTruncatedResponseIsIncompleteForClient(t *testing.T) {
	for _, framing := range []string{"length", "chunked", "none"} {
		for _, size := range []int{100, 300 << 10} {
			for _, ending := range []string{"resets", "resets at once", "closes", "ends, then resets"} {
				t.Run(fmt.Sprintf("%s, %d bytes, %s", framing, size, ending), func(t *testing.T) {
					t.Parallel()
					body := strings.Repeat("x", size)
					w := newTestEnv(t, nil, "a", "b", "c")
					var received sync.Map // trace IDs of the requests that servers received
					w.handleRaw = func(_ string, rw http.ResponseWriter, r *http.Request) {
						received.Store(r.Header.Get("X-Trace-Id"), true)
						c, _, err := http.NewResponseController(rw).Hijack()
						if err != nil {
							t.Error(err)
							return
						}
						switch framing {
						case "length":
							fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size+1, body)
						case "chunked":
							fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", size, body)
						case "none":
							fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", body)
						}
						endConnection(t, c, ending)
					}
					s := w.nodeConfig(128)
					startNode(t, s)
					complete := framing == "none" && (ending == "closes" || ending == "ends, then resets") // closed before any reset
					checked, truncated := 0, 0
					for i := 0; checked < 5; i++ {
						if i == 25 {
							t.Fatalf("%d of %d requests reached a server", checked, i)
						}
						trace := fmt.Sprint("t", i)
						status, got := sendRequest(s.ListenAddress, fmt.Sprint("GET /read/", i), "X-Trace-Id: "+trace, "X-Expires-In: 800m")
						if _, sent := received.Load(trace); !sent && status == http.StatusServiceUnavailable {
							continue // a slow machine: the node rejected the request because no attempt was written in time
						}
						checked++
						if whole := status == http.StatusOK; whole != complete || whole && got != body {
							t.Errorf("status %d, %d bytes", status, len(got))
						}
						if status == 0 {
							truncated++
						}
					}
					if size > maxBufferedBodyBytes && ending == "resets" && truncated == 0 {
						t.Error("no response was passed on to a client") // all requests were rejected
					}
					g := &gatedNode{testEnv: w, config: s}
					g.waitForMetric("open_requests", 0)
				})
			}
		}
	}
}

// Servers send endless responses byte by byte, so that no idle timeout applies. Each request is answered, or its response has started, by its
// deadline. Goroutines do not accumulate, and all resources are released when the client disconnects.
func TestEndlessResponsesReleaseResources(t *testing.T) {
	w := newTestEnv(t, nil, "a", "b", "c")
	w.handleRaw = func(_ string, rw http.ResponseWriter, r *http.Request) {
		kind := strings.Split(r.URL.Path, "/")[2]
		c, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		prefix, repeated, _ := strings.Cut(map[string]string{
			"head":        "HTTP/1.1 200 OK\r\nX-More: |x",
			"provisional": "|HTTP/1.1 103 Hints\r\n\r\n",
			"length":      "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n|x",
			"chunked":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n|1\r\nx\r\n",
			"none":        "HTTP/1.1 200 OK\r\n\r\n|x",
		}[kind], "|")
		_, err = io.WriteString(c, prefix)
		for ; err == nil; time.Sleep(5 * time.Millisecond) {
			_, err = io.WriteString(c, repeated)
		}
	}
	s := w.nodeConfig(128)
	startNode(t, s)
	sendRequest(s.ListenAddress, "GET /read/head/0", "X-Trace-Id: first", "X-Expires-In: 100m")
	before, started := runtime.NumGoroutine(), map[string]int{}
	for _, kind := range []string{"head", "provisional", "length", "chunked", "none"} {
		for i := range 2 {
			c, err := net.Dial("tcp", s.ListenAddress)
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			fmt.Fprintf(c, "GET /read/%s/%d HTTP/1.1\r\nHost: n\r\nX-Trace-Id: %s%d\r\nX-Expires-In: 300m\r\n\r\n", kind, i, kind, i)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(kind, err)
			}
			// A response of unknown length may be long: the node starts to stream it to the client after half of the time to the deadline.
			streamed := kind == "chunked" || kind == "none"
			if r.StatusCode == http.StatusOK {
				started[kind]++
			}
			if elapsed := time.Since(start); (r.StatusCode == http.StatusOK) != streamed && r.StatusCode != http.StatusServiceUnavailable || elapsed > 2*time.Second {
				t.Errorf("%s: %d after %v", kind, r.StatusCode, elapsed)
			}
			c.Close()
		}
	}
	if started["chunked"] == 0 || started["none"] == 0 {
		t.Errorf("responses of unknown length that started: %v", started)
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if open := metric(s.Admin, "open_requests"); open == 0 && runtime.NumGoroutine() <= before+20 {
			return
		} else if time.Now().After(deadline) {
			t.Fatalf("open_requests=%d, %d goroutines, %d before", open, runtime.NumGoroutine(), before)
		}
	}
}
