package frontend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// A connection may be idle before its first request, or between two requests, until shortly before its deadline, and then receive a request in parts
// that arrive before and after that deadline. The request's own timeout starts with its first byte, so it must be answered.
func TestRequestStartedBeforeTimeoutIsAnswered(t *testing.T) {
	_, attempts, address := startServer(t, 8, true)
	answerAll(t, attempts, []byte("v"))
	for _, previous := range []int{0, 1} {
		for _, idle := range []time.Duration{headerTimeout - 150*time.Millisecond, headerTimeout - 10*time.Millisecond} {
			t.Run(fmt.Sprint(previous, " requests before, idle for ", idle), func(t *testing.T) {
				t.Parallel()
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				request := func(id int, pause time.Duration) {
					t.Helper()
					head := fmt.Sprintf("GET /read/k HTTP/1.1\r\nHost: n\r\nX-Trace-Id: %s-%d\r\nX-Expires-In: 280m\r\n\r\n", t.Name(), id)
					fmt.Fprint(conn, head[:30])
					time.Sleep(pause)
					fmt.Fprint(conn, head[30:])
					_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
					r, err := http.ReadResponse(reader, nil)
					if err != nil {
						t.Fatalf("request %d: %v", id, err)
					}
					r.Body.Close()
					if r.StatusCode != http.StatusOK {
						t.Errorf("request %d: status %d", id, r.StatusCode)
					}
				}
				for i := range previous {
					request(i, 0)
				}
				time.Sleep(idle)
				request(previous, 300*time.Millisecond)
			})
		}
	}
}

// A long body may take longer to arrive than net/http allows for writing an answer, counted from the head. The answer is delivered all the same.
func TestAnswerAfterLongUploadIsDelivered(t *testing.T) {
	server, attempts, listener := newTestServer(t, 8, true)
	server.limits.MaxStreamedBody = 1 << 20
	server.httpServer.WriteTimeout = 200 * time.Millisecond
	go func() { _ = server.Serve(listener) }()
	go func() {
		for attempt := range attempts {
			_, _ = io.Copy(io.Discard, attempt.BodyStream)
			attempt.ReportBodySent()
			attempt.Finish(dispatch.Complete, dispatch.Answer{Body: []byte("kept")})
		}
	}()
	const pieces = 8
	piece := bytes.Repeat([]byte("x"), 100)
	for _, duration := range []time.Duration{0, 3 * server.httpServer.WriteTimeout} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "PUT /once/k HTTP/1.1\r\nHost: n\r\nX-Trace-Id: t%d\r\nX-Expires-In: 280m\r\nContent-Length: %d\r\n\r\n", duration, pieces*len(piece))
		for range pieces {
			time.Sleep(duration / pieces)
			_, _ = conn.Write(piece)
		}
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("upload of %v: %v", duration, err)
			continue
		}
		if body, err := io.ReadAll(r.Body); r.StatusCode != http.StatusOK || string(body) != "kept" || err != nil {
			t.Errorf("upload of %v: status %d, %q, %v", duration, r.StatusCode, body, err)
		}
	}
}
