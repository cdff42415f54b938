package frontend

import (
	"bufio"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"testing/quick"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// Requests with every kind of framing are pipelined and split at random positions. Each head must be classified on its own, whatever the bodies contain.
func TestFramingOfPipelinedRequests(t *testing.T) {
	const misleadingBody = "x\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	seed := int64(0)
	check := func() bool {
		seed++
		r := rand.New(rand.NewSource(seed))
		var text strings.Builder
		var want []bool
		for range 1 + r.Intn(6) {
			unambiguous := true
			fmt.Fprintf(&text, "PUT /once/k HTTP/1.1\r\nHost: %s\r\n", strings.Repeat("h", r.Intn(200)))
			switch body := misleadingBody[:r.Intn(len(misleadingBody))]; r.Intn(5) {
			case 0:
				fmt.Fprint(&text, "\r\n")
			case 1:
				fmt.Fprintf(&text, "content-LENGTH:  %d \r\n\r\n%s", len(body), body)
			case 2, 3:
				fmt.Fprint(&text, "Transfer-Encoding: chunked\r\n\r\n")
				for _, piece := range []string{body[:len(body)/2], body[len(body)/2:]} {
					if len(piece) > 0 {
						fmt.Fprintf(&text, "%x;ext=\"a;b\"\r\n%s\r\n", len(piece), piece)
					}
				}
				fmt.Fprint(&text, "0\r\nTrailer: t\r\nContent-Length: 5\r\n\r\n")
			case 4:
				fmt.Fprint(&text, "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
				unambiguous = false
			}
			if want = append(want, unambiguous); !unambiguous {
				break
			}
		}
		var f framing
		for rest := []byte(text.String()); len(rest) > 0; {
			n := 1 + r.Intn(len(rest))
			f.read(rest[:n])
			rest = rest[n:]
		}
		for i, unambiguous := range want {
			if got := f.nextUnambiguous(); got != unambiguous {
				t.Errorf("seed %d: head %d of %q: unambiguous = %v", seed, i, text.String(), got)
				return false
			}
		}
		if f.nextUnambiguous() {
			t.Errorf("seed %d: one more head than was sent", seed)
		}
		return !t.Failed()
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 2000}); err != nil {
		t.Error(err)
	}
}

// Pipelined requests whose bodies contain lines that look like Content-Length must all be answered, also with a target in absolute form. A request with
// Expect: 100-continue must receive a 100 response.
func TestUnusualValidRequestsAreServed(t *testing.T) {
	_, attempts, address := startServer(t, 8, true)
	go func() {
		for attempt := range attempts {
			attempt.Finish(dispatch.Complete, dispatch.Answer{Body: []byte(attempt.Target + " " + string(attempt.Body))})
		}
	}()
	conn := dial(t, address)
	head := func(requestLine, traceID string) string {
		return requestLine + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: " + traceID + "\r\n" + timeoutHeader + "\r\n"
	}
	body := "a\nContent-Length: 5\nb"
	fmt.Fprint(conn, head("PUT /once/k1", "1"), "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x;q=1\r\n%s\r\n0\r\nT: v\r\n\r\n", len(body), body),
		head("PUT http://service.internal/once/k2?x=1", "2"), fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		head("PUT /once/k3", "3"), "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		head("GET /read/k4", "4"), "\r\n")
	for _, want := range []string{"/once/k1 " + body, "/once/k2?x=1 " + body, "/once/k3 " + body, "/read/k4 "} {
		if r, got := conn.receive(t); r.StatusCode != 200 || got != want {
			t.Errorf("%d %q, want %q", r.StatusCode, got, want)
		}
	}
	fmt.Fprint(conn, head("PUT /once/k5", "5"), "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
		t.Errorf("%q %v", line, err)
	}
}
