package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// endConnection says ending a server ends its connection behind an answer.
func endConnection(c net.Conn, ending string) {
	tcp := c.(*net.TCPConn)
	switch ending {
	case "resets":
		time.Sleep(20 * time.Millisecond) // what it has written is on its way to the client
		_ = tcp.SetLinger(0)
	case "resets at once":
		_ = tcp.SetLinger(0)
	case "ends, then resets":
		_ = tcp.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_ = tcp.SetLinger(0)
	}
	tcp.Close()
}

// A client can tell an answer that a server breaks off, short or long, however its length is told and however it breaks: it is never
// whole. One of no told length whose server ends it, and resets after that, is whole.
func TestTruncatedResponseIsIncompleteForClient(t *testing.T) {
	for _, framing := range []string{"length", "chunked", "none"} {
		for _, size := range []int{100, 300 << 10} {
			for _, ending := range []string{"resets", "resets at once", "closes", "ends, then resets"} {
				t.Run(fmt.Sprintf("%s, %d bytes, %s", framing, size, ending), func(t *testing.T) {
					t.Parallel()
					body := strings.Repeat("x", size)
					w := newTestEnv(t, nil, "a", "b", "c")
					w.handleRaw = func(_ string, rw http.ResponseWriter, _ *http.Request) {
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
						endConnection(c, ending)
					}
					s := w.nodeConfig(128)
					startNode(t, s)
					complete := framing == "none" && (ending == "closes" || ending == "ends, then resets") // no reset breaks it off then
					truncated := 0
					for i := range 5 {
						status, got := sendRequest(s.Listen, fmt.Sprint("GET /read/", i), fmt.Sprint("X-Trace-Id: t", i), "X-Expires-In: 800m")
						if whole := status == http.StatusOK; whole != complete || whole && got != body {
							t.Errorf("%d, %d bytes", status, len(got))
						}
						if status == 0 {
							truncated++
						}
					}
					if size > maxBufferedBodyBytes && ending == "resets" && truncated == 0 {
						t.Error("no answer has begun") // all were turned away
					}
					g := &gatedNode{testEnv: w, config: s}
					g.waitForMetric("open_requests", 0)
				})
			}
		}
	}
}

// Answers that never end, byte by byte, so that no pause tells: a request is answered, or its answer has begun, by its time; nothing
// grows meanwhile, and all is given back when the client goes.
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
	sendRequest(s.Listen, "GET /read/head/0", "X-Trace-Id: first", "X-Expires-In: 100m")
	before, started := runtime.NumGoroutine(), map[string]int{}
	for _, kind := range []string{"head", "provisional", "length", "chunked", "none"} {
		for i := range 2 {
			c, err := net.Dial("tcp", s.Listen)
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
			// An answer of no told length may be long: it is the client's from half of its time on.
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
		t.Errorf("of no told length have begun %v", started)
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if open := metric(s.Admin, "open_requests"); open == 0 && runtime.NumGoroutine() <= before+20 {
			return
		} else if time.Now().After(deadline) {
			t.Fatalf("open_requests=%d, %d goroutines, %d before", open, runtime.NumGoroutine(), before)
		}
	}
}
