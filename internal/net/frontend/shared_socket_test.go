package frontend

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// A process that shares the listening socket may put it into blocking mode, as os/exec does with a file of TCPListener.File. An Accept may then wait in the
// kernel, out of the Go runtime's reach. Shutdown must end in time all the same, and requests that come meanwhile must be answered.
func TestShutdownWithBlockingSocket(t *testing.T) {
	srv, attempts, listener := newTestServer(t, 8, true)
	file, err := listener.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	go func() { _ = srv.Serve(listener) }()
	go func() {
		for attempt := range attempts {
			attempt.Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v")})
		}
	}()
	request := func(id string) {
		t.Helper()
		conn := dial(t, listener.Addr().String())
		conn.send("GET /read/k", "X-Trace-Id: "+id, timeoutHeader)
		if r, _ := conn.receive(t); r.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d", id, r.StatusCode)
		}
	}
	request("before")
	_ = file.Fd()       // sets the blocking mode of the shared socket
	request("blocking") // wakes the Accept that waits for readiness; the next one waits in the kernel
	start, shutdownErr := time.Now(), make(chan error, 1)
	go func() { shutdownErr <- srv.Shutdown(false) }()
	time.Sleep(drainAcceptTime / 2)
	request("during the shutdown")
	select {
	case err := <-shutdownErr:
		if err != nil || time.Since(start) > maxDeadline+700*time.Millisecond {
			t.Errorf("Shutdown took %v: %v", time.Since(start), err)
		}
	case <-time.After(5 * time.Second):
		t.Error("Shutdown has not ended after 5 s")
	}
	if conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond); err == nil {
		_ = conn.Close() // the file keeps the socket open
	}
}
