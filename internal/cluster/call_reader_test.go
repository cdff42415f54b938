package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc/jsonrpc"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/lease"
)

// awaitEnd waits until the other side has closed the connection, and reports whether it did so within a time.
func awaitEnd(c net.Conn, within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := io.Copy(io.Discard, c)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against a peer whose call never ends: a call is read within callReadTimeout of its first byte, also if it trickles.
func TestCallThatTricklesEndsConnection(t *testing.T) {
	_, dialer, address := metricsListener(t, 4, time.Millisecond, stubNode{})
	c, err := dialer.Dial(address, transport.PurposeRPC, "v", 5*time.Second) // addressed to a voter, so never evicted
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	done := make(chan struct{})
	defer close(done)
	go func() {
		_, err := io.WriteString(c, `{"method":"`)
		for err == nil {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			_, err = io.WriteString(c, "x")
		}
	}()
	if !awaitEnd(c, callReadTimeout+2*time.Second) {
		t.Error("the connection is still open")
	}
}

// Guards against a peer whose call grows without bound: it may have maxCallBytes.
func TestCallOverMaxCallBytesEndsConnection(t *testing.T) {
	_, dialer, address := metricsListener(t, 4, time.Millisecond, stubNode{})
	c, err := dialer.Dial(address, transport.PurposeRPC, "v", 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sent := make(chan int, 1)
	go func() {
		_, err := io.WriteString(c, `{"method":"`)
		n := 0
		for part := strings.Repeat("x", 64<<10); err == nil && n < 64<<20; n += len(part) {
			_, err = io.WriteString(c, part)
		}
		sent <- n
	}()
	ended := awaitEnd(c, callReadTimeout/2)
	_ = c.Close()
	if n := <-sent; !ended || n > 16<<20 {
		t.Errorf("the connection ended %v, %d bytes of one call were taken", ended, n)
	}
}

// Guards against cutting off a connection that waits, or whose calls are long and many: the bounds hold for each call.
func TestCallBoundsHoldForEachCall(t *testing.T) {
	_, dialer, address := metricsListener(t, 4, time.Minute, stubNode{"resolved": 7})
	c, err := dialer.Dial(address, transport.PurposeRPC, "v", 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	conn := jsonrpc.NewClient(c)
	defer conn.Close()
	padding := map[string]string{"ignored": strings.Repeat("x", maxCallBytes*2/3)}
	for i := range 3 {
		metrics := map[string]int64{}
		if err := call(conn, methodMetrics, padding, &metrics, 5*time.Second); err != nil || metrics["resolved"] != 7 {
			t.Errorf("call %d: %v, %v", i, metrics, err)
		}
	}
	largest := EjectionReport{Servers: map[string]string{}}
	const longestID, longestAddress = 256, 64 // bytes
	for i := range maxReportedServers {
		largest.Servers[fmt.Sprintf("%0*d", longestID, i)] = strings.Repeat("a", longestAddress)
	}
	if encoded, err := json.Marshal(largest); err != nil || len(encoded) > maxCallBytes {
		t.Errorf("the largest report has %d bytes, a call may have %d; %v", len(encoded), maxCallBytes, err)
	}
}

// Guards against a probe of a server whose answer trickles without end: it is over within probeTimeout.
func TestProbeOfTricklingServerEnds(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for control := http.NewResponseController(w); control.Flush() == nil; time.Sleep(10 * time.Millisecond) {
			_, _ = w.Write([]byte("x"))
		}
	}))
	defer server.Close()
	m := &Member{config: clusterConfigs(t, 1)[0], log: zap.NewNop()}
	start := time.Now()
	if m.probeServer(t.Context(), newProbeClient(), lease.Probe{Address: server.Listener.Addr().String()}) {
		t.Error("a server whose answer does not end counts as healthy")
	}
	if elapsed := time.Since(start); elapsed > probeTimeout+time.Second {
		t.Errorf("the probe took %v", elapsed)
	}
}

// Guards against a peer whose answer to a call trickles without end: the caller's timeout holds for the whole call.
func TestCallToTricklingPeerTimesOut(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	go func() {
		_, err := io.WriteString(far, `{"result":"`)
		for ; err == nil; time.Sleep(10 * time.Millisecond) {
			_, err = io.WriteString(far, "x")
		}
	}()
	start := time.Now()
	err := call(jsonrpc.NewClient(near), methodStatus, &struct{}{}, &Status{}, 200*time.Millisecond)
	if elapsed := time.Since(start); !errors.Is(err, errCallTimeout) || elapsed > time.Second {
		t.Errorf("%v after %v", err, elapsed)
	}
}

// Guards against a peer whose first line trickles without end: the handshake's timeout holds for the whole line.
func TestTricklingHelloEndsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := transport.NewListener(l, transport.ListenerConfig{Cluster: "f", MaxConnections: 4, HelloTimeout: 200 * time.Millisecond,
		VoterID: func() string { return "v" }, ServeRPC: func(*transport.Conn) {}})
	go listener.Serve()
	defer listener.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go func() {
		for err := error(nil); err == nil; time.Sleep(10 * time.Millisecond) {
			_, err = io.WriteString(c, "x")
		}
	}()
	if !awaitEnd(c, 2*time.Second) {
		t.Error("the connection is still open")
	}
}
