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

// ends says how a server ends its connection behind an answer.
func ends(c net.Conn, how string) {
	tcp := c.(*net.TCPConn)
	switch how {
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
func TestAnAnswerBrokenOffIsNeverWhole(t *testing.T) {
	for _, framing := range []string{"length", "chunked", "none"} {
		for _, size := range []int{100, 300 << 10} {
			for _, how := range []string{"resets", "resets at once", "closes", "ends, then resets"} {
				t.Run(fmt.Sprintf("%s, %d bytes, %s", framing, size, how), func(t *testing.T) {
					t.Parallel()
					body := strings.Repeat("x", size)
					w := newWorld(t, nil, "a", "b", "c")
					w.raw = func(_ string, to http.ResponseWriter, _ *http.Request) {
						c, _, err := http.NewResponseController(to).Hijack()
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
						ends(c, how)
					}
					s := w.station(128)
					run(t, s)
					ended := framing == "none" && (how == "closes" || how == "ends, then resets") // no reset breaks it off then
					broken := 0
					for i := range 5 {
						status, got := ask(s.Listen, fmt.Sprint("GET /read/", i), fmt.Sprint("X-Trace-Id: t", i), "X-Expires-In: 800m")
						if whole := status == http.StatusOK; whole != ended || whole && got != body {
							t.Errorf("%d, %d bytes", status, len(got))
						}
						if status == 0 {
							broken++
						}
					}
					if size > maxBufferedBodyBytes && how == "resets" && broken == 0 {
						t.Error("no answer has begun") // all were turned away
					}
					g := &gated{world: w, station: s}
					g.until("open_requests", 0)
				})
			}
		}
	}
}

// Answers that never end, byte by byte, so that no pause tells: a request is answered, or its answer has begun, by its time; nothing
// grows meanwhile, and all is given back when the client goes.
func TestAnswersThatNeverEnd(t *testing.T) {
	w := newWorld(t, nil, "a", "b", "c")
	w.raw = func(_ string, to http.ResponseWriter, r *http.Request) {
		kind := strings.Split(r.URL.Path, "/")[2]
		c, _, err := http.NewResponseController(to).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		first, again, _ := strings.Cut(map[string]string{
			"head":        "HTTP/1.1 200 OK\r\nX-More: |x",
			"provisional": "|HTTP/1.1 103 Hints\r\n\r\n",
			"length":      "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n|x",
			"chunked":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n|1\r\nx\r\n",
			"none":        "HTTP/1.1 200 OK\r\n\r\n|x",
		}[kind], "|")
		_, err = io.WriteString(c, first)
		for ; err == nil; time.Sleep(5 * time.Millisecond) {
			_, err = io.WriteString(c, again)
		}
	}
	s := w.station(128)
	run(t, s)
	ask(s.Listen, "GET /read/head/0", "X-Trace-Id: first", "X-Expires-In: 100m")
	before, begun := runtime.NumGoroutine(), map[string]int{}
	for _, kind := range []string{"head", "provisional", "length", "chunked", "none"} {
		for i := range 2 {
			c, err := net.Dial("tcp", s.Listen)
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			fmt.Fprintf(c, "GET /read/%s/%d HTTP/1.1\r\nHost: n\r\nX-Trace-Id: %s%d\r\nX-Expires-In: 300m\r\n\r\n", kind, i, kind, i)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(kind, err)
			}
			// An answer of no told length may be long: it is the client's from half of its time on.
			passed := kind == "chunked" || kind == "none"
			if r.StatusCode == http.StatusOK {
				begun[kind]++
			}
			if took := time.Since(began); (r.StatusCode == http.StatusOK) != passed && r.StatusCode != http.StatusServiceUnavailable || took > 2*time.Second {
				t.Errorf("%s: %d after %v", kind, r.StatusCode, took)
			}
			c.Close()
		}
	}
	if begun["chunked"] == 0 || begun["none"] == 0 {
		t.Errorf("of no told length have begun %v", begun)
	}
	for by := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if open := figure(s.Admin, "open_requests"); open == 0 && runtime.NumGoroutine() <= before+20 {
			return
		} else if time.Now().After(by) {
			t.Fatalf("open_requests=%d, %d goroutines, %d before", open, runtime.NumGoroutine(), before)
		}
	}
}
