package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
)

// pausedNodeEnv is the environment variable that gives the child process of TestNoAttemptForGoneClientAfterProcessResumes its addresses.
const pausedNodeEnv = "PAUSED_NODE_ADDRESSES"

// TestPausedNodeProcess is that child process. It runs a node until SIGTERM.
func TestPausedNodeProcess(t *testing.T) {
	var addresses struct{ Listen, Admin, Discovery string }
	if err := json.Unmarshal([]byte(os.Getenv(pausedNodeEnv)), &addresses); err != nil {
		t.Skip("runs only as a child process of another test")
	}
	namespace := func(name, repeat string) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "target-time-ms": 4800., "time-limit-ms": 5000.}
	}
	d, err := config.ParseSettings(map[string]any{"models": []any{"box", "origin"}, "domain": map[string]any{"mode": "aside", "origin-kind": 1.},
		"permissions": map[string]any{"most-shots": 3., "connect-timeout-ms": 4500.},
		"namespaces":  []any{namespace("read", "safe"), namespace("once", "unsafe")}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := Run(ctx, &config.Node{Name: "n", ListenAddress: addresses.Listen, Admin: addresses.Admin, Discovery: addresses.Discovery, Cores: 1, MemoryMB: 192,
		Descriptors: 128, Settings: d}, nil, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
}

// The process is stopped (SIGSTOP) while the client disconnects and while the event occurs that its request waits for. It observes both when it
// continues: the request of a disconnected client is not forwarded, and a client that stays is served.
func TestNoAttemptForGoneClientAfterProcessResumes(t *testing.T) {
	for _, c := range []struct {
		place, heldAttempt, missAttempt string
		fullQueue                       bool
		requestLine, headersAndBody     string
	}{
		{place: "behind a fetch", heldAttempt: "o at z", missAttempt: "o at a", requestLine: "GET /read/k"},
		{place: "between two attempts", heldAttempt: "t at a", missAttempt: "t at a", requestLine: "GET /read/k"},
		{place: "for a connection", fullQueue: true, requestLine: "PUT /once/k", headersAndBody: "Content-Length: 1\r\n\r\nv"},
		{place: "for a second attempt's connection", missAttempt: "t at a", fullQueue: true, requestLine: "GET /read/k"},
	} {
		for _, clientAction := range []string{"closes", "resets", clientStays} {
			for _, pipelined := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, pipelined %v", c.place, clientAction, pipelined), func(t *testing.T) {
					t.Parallel()
					g := newGatedNode(t, c.heldAttempt, c.missAttempt, c.fullQueue)
					addresses, _ := json.Marshal(map[string]string{"Listen": g.config.ListenAddress, "Admin": g.config.Admin, "Discovery": g.config.Discovery})
					node := exec.Command(os.Args[0], "-test.run=^TestPausedNodeProcess$", "-test.timeout=60s")
					node.Env = append(os.Environ(), pausedNodeEnv+"="+string(addresses), "TMPDIR="+t.TempDir())
					if err := node.Start(); err != nil {
						t.Fatal(err)
					}
					defer func() {
						_ = node.Process.Signal(syscall.SIGCONT)
						_ = node.Process.Signal(syscall.SIGTERM)
						_ = node.Wait()
					}()
					for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
						if status, _ := adminRequest(g.config.Admin, "GET", "/status"); status == http.StatusOK {
							break
						} else if time.Now().After(deadline) {
							t.Fatal("process did not become ready within 10 s")
						}
					}
					client := func(id, requestLine, headersAndBody string) *net.TCPConn {
						conn, err := net.Dial("tcp", g.config.ListenAddress)
						if err != nil {
							t.Fatal(err)
						}
						t.Cleanup(func() { conn.Close() })
						fmt.Fprint(conn, requestText(requestLine, id, headersAndBody))
						return conn.(*net.TCPConn)
					}
					waitForAttempt := func(attemptKey string) {
						t.Helper()
						for deadline := time.Now().Add(4 * time.Second); g.attemptCount(attemptKey) == 0; time.Sleep(time.Millisecond) {
							if time.Now().After(deadline) {
								t.Fatalf("attempt %s did not reach its server", attemptKey)
							}
						}
					}
					before := 0
					if strings.HasPrefix(c.heldAttempt, "o") {
						client("o", "GET /read/k", "")
						waitForAttempt(c.heldAttempt)
						before = 1
					}
					conn := client("t", c.requestLine, c.headersAndBody)
					g.waitForMetric("open_requests", before+1)
					if strings.HasPrefix(c.missAttempt, "t") {
						waitForAttempt(c.missAttempt)
					}
					if c.fullQueue {
						time.Sleep(30 * time.Millisecond) // until the dial has started
					}
					if pipelined {
						fmt.Fprint(conn, requestText("GET /read/other", "u", ""))
						time.Sleep(10 * time.Millisecond)
					}
					_ = node.Process.Signal(syscall.SIGSTOP)
					switch clientAction {
					case "closes":
						conn.Close()
					case "resets":
						_ = conn.SetLinger(0)
						conn.Close()
					}
					close(g.release)
					time.Sleep(clientGoneDelay)
					if c.fullQueue {
						time.Sleep(1200 * time.Millisecond) // the connection is established with the kernel's second attempt
					}
					_ = node.Process.Signal(syscall.SIGCONT)
					answers := bufio.NewReader(conn)
					for i := 0; clientAction == clientStays && i < 2; i++ {
						if i == 1 && !pipelined {
							break
						}
						_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
						r, err := http.ReadResponse(answers, nil)
						if err != nil {
							t.Fatal(err)
						}
						r.Body.Close()
						if r.StatusCode != http.StatusOK {
							t.Errorf("connected client: status %d", r.StatusCode)
						}
					}
					g.waitForMetric("open_requests", 0)
					time.Sleep(30 * time.Millisecond)
					g.mu.Lock()
					defer g.mu.Unlock()
					for attemptKey, n := range g.attempts {
						if ofClient := strings.HasPrefix(attemptKey, "t at") || strings.HasPrefix(attemptKey, "u at"); ofClient && clientAction != clientStays && attemptKey != c.missAttempt {
							t.Errorf("%s: %d attempts were forwarded", attemptKey, n)
						}
					}
				})
			}
		}
	}
}
